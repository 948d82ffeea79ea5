// Bound values of a prepared statement, their encoding inside the broker, and their form as SQL literals for
// engines that take only text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bellstair::sql {

// SQL NULL.
struct Null {
  bool operator==(const Null&) const = default;
};
// A binary string; its literal is in hex.
struct Bytes {
  std::string bytes;
  bool operator==(const Bytes&) const = default;
};
using Value = std::variant<Null, std::int64_t, std::uint64_t, double, std::string, Bytes>;

// Encodes values for transport inside the broker, in its native byte order. The result is never empty, so
// that an empty string can stand for a statement without parameters.
[[nodiscard]] std::string encode_values(const std::vector<Value>& values);
// Decodes the output of encode_values(); none if it is malformed.
[[nodiscard]] std::optional<std::vector<Value>> decode_values(std::string_view encoded);

// Replaces the placeholders of the statement by the values as literals; none if their numbers differ.
[[nodiscard]] std::optional<std::string> with_literals(std::string_view statement,
                                                       const std::vector<Value>& values);

// A value as text without quotes; none for NULL.
[[nodiscard]] std::optional<std::string> to_text(const Value& value);

}  // namespace bellstair::sql
