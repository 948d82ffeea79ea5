#include "config/read.hpp"

#include "net/socket.hpp"

namespace bellstair::config {

using nlohmann::json;

void throw_field_error(const std::string& field, const char* what) { throw ConfigError(field + ": " + what); }

const json& require_field(const json& in, const char* key) {
  const auto found = in.find(key);
  if (found == in.end() || found->is_null()) throw_field_error(key, "is missing");
  return *found;
}

std::string string_value(const json& value, const char* key) {
  if (!value.is_string()) throw_field_error(key, "is not a string");
  return value.get<std::string>();
}

std::string optional_string(const json& in, const char* key) {
  const auto found = in.find(key);
  return found == in.end() || found->is_null() ? std::string() : string_value(*found, key);
}

std::uint64_t unsigned_value(const json& value, const char* key) {
  if (!value.is_number_unsigned()) throw_field_error(key, "is not a whole number of 0 or more");
  return value.get<std::uint64_t>();
}

const json& require_object(const json& value, const char* key) {
  if (!value.is_object()) throw_field_error(key, "is not an object");
  return value;
}

const json& require_array(const json& value, const char* key) {
  if (!value.is_array()) throw_field_error(key, "is not an array");
  return value;
}

void check_address(const std::string& value, const char* field) {
  if (!value.empty() && !net::parse_address(value)) throw_field_error(field, "is not an address with a port");
}

json parse_json(std::string_view in, const char* what) {
  json out = json::parse(in, nullptr, false);
  if (out.is_discarded() || !out.is_object()) throw_field_error(what, "is not a JSON object");
  return out;
}
}  // namespace bellstair::config
