// Results of statements in the form that the core transports: rows as text and an opaque encoded schema.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mysql/packet.hpp"

namespace bellstair::mysql {

// The column names of a result, or the counts of a statement that returns no rows.
struct ResultSchema {
  bool has_rows = true;
  std::vector<std::string> column_names;
  std::uint64_t affected_rows = 0, insert_id = 0;
};
// Encodes a schema; never empty.
[[nodiscard]] std::string encode_schema(const ResultSchema& schema);
// Decodes a schema; none if `encoded` is empty (engines of the platform report no schema) or malformed.
[[nodiscard]] std::optional<ResultSchema> decode_schema(std::string_view encoded);

// Appends a row to the body of a result: cells separated by tabs, escaped as by `mysql --batch`, \N for NULL,
// and a line feed at the end.
void append_row(std::string& body, const std::vector<Cell>& cells);
// Splits a body into rows of cells. `escaped`: cells are as append_row() writes them; otherwise they are
// taken literally.
[[nodiscard]] std::vector<std::vector<Cell>> parse_rows(std::string_view body, bool escaped);

}  // namespace bellstair::mysql
