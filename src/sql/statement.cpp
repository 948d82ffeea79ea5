#include "sql/statement.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>
#include <string>

namespace bellstair::sql {
namespace {

enum class Kind { name, quoted, text, dot, placeholder, other, end };
struct Token {
  Kind kind = Kind::end;
  std::string_view text;  // part of the statement, without quotes
};

bool is_name_char(char c) {
  const auto u = static_cast<unsigned char>(c);
  return std::isalnum(u) != 0 || c == '_' || c == '$' || u >= 0x80;
}

// Splits a statement into tokens; comments are skipped.
class Scanner {
 public:
  explicit Scanner(std::string_view in) : in_(in) {}

  // The next token; `Kind::end` at the end of the statement.
  Token next() {
    skip_space_and_comments();
    if (position_ >= in_.size()) return {};
    const char c = in_[position_];
    if (c == '\'') return {Kind::text, quoted(c)};
    if (c == '"') return {Kind::quoted, quoted(c)};  // a name or a string, depending on the dialect
    if (c == '`') return {Kind::name, quoted(c)};
    const auto begin = position_++;
    if (c == '?') return {Kind::placeholder, in_.substr(begin, 1)};
    if (c == '.') return {Kind::dot, "."};
    if (!is_name_char(c)) return {Kind::other, in_.substr(begin, 1)};
    while (position_ < in_.size() && is_name_char(in_[position_])) ++position_;
    return {Kind::name, in_.substr(begin, position_ - begin)};
  }

 private:
  [[nodiscard]] bool starts_with(std::string_view prefix) const {
    return in_.substr(position_, prefix.size()) == prefix;
  }

  void skip_space_and_comments() {
    while (position_ < in_.size()) {
      if (std::isspace(static_cast<unsigned char>(in_[position_])) != 0) {
        ++position_;
      } else if (starts_with("--") || starts_with("#")) {
        position_ = std::min(in_.find('\n', position_), in_.size());
      } else if (starts_with("/*")) {
        const auto end = in_.find("*/", position_ + 2);
        position_ = end == std::string_view::npos ? in_.size() : end + 2;
      } else {
        return;
      }
    }
  }

  // Reads up to the closing quote, or to the end of the statement if there is none.
  std::string_view quoted(char quote) {
    const auto begin = ++position_;
    for (; position_ < in_.size(); ++position_) {
      if (in_[position_] == '\\' && quote != '`') {
        ++position_;
      } else if (in_[position_] == quote) {
        if (position_ + 1 >= in_.size() || in_[position_ + 1] != quote) break;
        ++position_;  // a doubled quote is part of the text
      }
    }
    const auto end = std::min(position_, in_.size());
    position_ = std::min(position_ + 1, in_.size());
    return in_.substr(begin, end - begin);
  }

  std::string_view in_;
  std::size_t position_ = 0;
};

// The number after the last underscore.
std::optional<std::int64_t> group_suffix(std::string_view schema) {
  const auto underscore = schema.rfind('_');
  if (underscore == std::string_view::npos) return std::nullopt;
  const auto digits = schema.substr(underscore + 1);
  std::int64_t group = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), group);
  if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return group;
}

// Compares ignoring case; `lower` must be in lower case.
bool equals_lower_case(std::string_view text, std::string_view lower) {
  return std::ranges::equal(text, lower,
                            [](char x, char y) { return std::tolower(static_cast<unsigned char>(x)) == y; });
}

// Whether the name after this token is that of a table.
bool precedes_table_name(std::string_view token) {
  for (const auto* keyword : {"from", "join", "into", "update", "table", "ignore", "replace"}) {
    if (equals_lower_case(token, keyword)) return true;
  }
  return false;
}

}  // namespace

std::vector<std::size_t> placeholder_positions(std::string_view statement) {
  Scanner scanner(statement);
  std::vector<std::size_t> out;
  for (auto token = scanner.next(); token.kind != Kind::end; token = scanner.next()) {
    if (token.kind == Kind::placeholder)
      out.push_back(static_cast<std::size_t>(token.text.data() - statement.data()));
  }
  return out;
}

std::string first_keyword(std::string_view statement) {
  Scanner scanner(statement);
  auto token = scanner.next();
  while (token.kind == Kind::other && token.text == "(") token = scanner.next();
  std::string out(token.kind == Kind::name ? token.text : std::string_view());
  std::ranges::transform(out, out.begin(), [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::int64_t table_group(std::string_view statement) {
  Scanner scanner(statement);
  std::optional<std::int64_t> ambiguous_group;  // the first that could also name a column or a function
  Token last;
  Token token = scanner.next();
  while (token.kind != Kind::end) {
    const Token previous = last;
    last = token;
    const bool is_name = token.kind == Kind::name || token.kind == Kind::quoted;
    Token following = scanner.next();
    if (is_name && following.kind == Kind::dot && previous.kind != Kind::dot) {
      if (const auto group = group_suffix(token.text); group && !equals_lower_case(token.text, "staging")) {
        if (previous.kind == Kind::name && precedes_table_name(previous.text)) return *group;
        if (!ambiguous_group) ambiguous_group = group;
      }
    }
    token = following;
  }
  return ambiguous_group.value_or(0);
}

}  // namespace bellstair::sql
