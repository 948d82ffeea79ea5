// Scans SQL statements for what a front needs to know: table group, placeholders and kind of statement. This
// is a tokenizer, not a parser: it accepts any text and reports no errors.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bellstair::sql {

// The data group of the tables that a statement reads or writes: the number after the last underscore of the
// schema, 17 for `sales_17.orders`. Names in strings and comments don't count, nor does the schema `staging`.
// 0 if no group is named.
[[nodiscard]] std::int64_t table_group(std::string_view statement);

// The byte offsets of the question marks that bind values; not those in strings, names and comments.
[[nodiscard]] std::vector<std::size_t> placeholder_positions(std::string_view statement);

// The first keyword in lower case, which tells the kind of statement: "select" for `(SELECT 1)`. Empty if the
// statement does not begin with a word.
[[nodiscard]] std::string first_keyword(std::string_view statement);

}  // namespace bellstair::sql
