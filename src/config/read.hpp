// Helpers that read JSON field by field. A value that can't be used throws ConfigError, whose message begins
// with the name of the field (`key`, `field` or `what`).
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace bellstair::config {

// Throws ConfigError("<field>: <what>").
[[noreturn]] void throw_field_error(const std::string& field, const char* what);
// The field `key`; throws if it is missing or null.
[[nodiscard]] const nlohmann::json& require_field(const nlohmann::json& in, const char* key);
// The string; throws if it is of another type.
[[nodiscard]] std::string string_value(const nlohmann::json& value, const char* key);
// The string in the field `key`; empty if the field is missing or null. Throws if it is of another type.
[[nodiscard]] std::string optional_string(const nlohmann::json& in, const char* key);
// The non-negative integer; throws if it is anything else.
[[nodiscard]] std::uint64_t unsigned_value(const nlohmann::json& value, const char* key);
// `value` itself; throws if it is not an object.
const nlohmann::json& require_object(const nlohmann::json& value, const char* key);
// `value` itself; throws if it is not an array.
[[nodiscard]] const nlohmann::json& require_array(const nlohmann::json& value, const char* key);
// Throws if `value` is not "IPv4:port". Accepts an empty one: the address is not configured.
void check_address(const std::string& value, const char* field);
// Parses a JSON object; throws if `in` is anything else.
[[nodiscard]] nlohmann::json parse_json(std::string_view in, const char* what);

}  // namespace bellstair::config
