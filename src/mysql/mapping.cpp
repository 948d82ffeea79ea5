#include "mysql/mapping.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

#include "sql/statement.hpp"

namespace bellstair::mysql {
namespace {

using Options = std::map<std::string, std::string, std::less<>>;

[[noreturn]] void throw_mapping_error(const std::string& message) {
  throw MappingError{{kWrongArguments, "HY000", message}};
}

constexpr std::string_view kCommentPrefix = "bellstair:";
constexpr std::string_view kWhitespace = " \t\r\n";

bool is_option(std::string_view name) {
  for (const auto* option : {"class", "limit", "unique", "item", "cpu", "ram", "second"}) {
    if (name == option) return true;
  }
  return false;
}

// Reads the options in the comment before a statement, for example
// `/* bellstair: class=load limit=20000 unique=?1 item=?2 */ INSERT ...`; ?N stands for the Nth bound value.
Options comment_options(std::string_view statement, const std::vector<sql::Value>& values) {
  Options out;
  statement.remove_prefix(std::min(statement.find_first_not_of(kWhitespace), statement.size()));
  if (statement.substr(0, 2) != "/*") return out;
  auto text = statement.substr(2, statement.find("*/") - 2);
  text.remove_prefix(std::min(text.find_first_not_of(kWhitespace), text.size()));
  if (text.substr(0, kCommentPrefix.size()) != kCommentPrefix) return out;
  text.remove_prefix(kCommentPrefix.size());
  while (true) {
    text.remove_prefix(std::min(text.find_first_not_of(kWhitespace), text.size()));
    if (text.empty()) return out;
    const auto word = text.substr(0, text.find_first_of(kWhitespace));
    text.remove_prefix(word.size());
    const auto equals = word.find('=');
    if (equals == std::string_view::npos || !is_option(word.substr(0, equals)))
      throw_mapping_error("the comment names no option: " + std::string(word));
    const auto name = word.substr(0, equals);
    auto value = word.substr(equals + 1);
    if (value.substr(0, 1) != "?") {
      out[std::string(name)] = value;
      continue;
    }
    value.remove_prefix(1);
    std::size_t index = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), index);
    if (error != std::errc() || end != value.data() + value.size() || index == 0 || index > values.size())
      throw_mapping_error("the comment names a value that is not bound: " + std::string(word));
    if (const auto bound = sql::to_text(values[index - 1])) out[std::string(name)] = *bound;
  }
}

// The option `name` as a number from 0 to 1e9; `fallback` if it is not given.
double number_option(const Options& options, const char* name, double fallback) {
  const auto found = options.find(name);
  if (found == options.end()) return fallback;
  const auto& text = found->second;
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !(value >= 0 && value <= 1e9))
    throw_mapping_error(std::string(name) + " is not a number in range");
  return value;
}

// Whether the statement only reads.
bool is_read(std::string_view statement) {
  const auto word = sql::first_keyword(statement);
  return word == "select" || word == "with" || word == "show" || word == "values" || word == "table";
}

core::ClassIndex class_of(const Options& options, std::string_view statement, const config::NameIndex& names,
                          const heronwell::Settings& settings) {
  if (const auto class_option = options.find("class"); class_option != options.end()) {
    const auto found = names.classes.find(class_option->second);
    if (found == names.classes.end()) throw_mapping_error("class is in no settings: " + class_option->second);
    return found->second;
  }
  // A statement that only reads needs no class option: it gets the first class that is safe to retry.
  const auto safe = std::ranges::find(settings.classes, heronwell::Idempotency::safe,
                                      &heronwell::ClassSettings::idempotency);
  if (!is_read(statement) || safe == settings.classes.end()) throw_mapping_error("class is missing");
  return static_cast<core::ClassIndex>(safe - settings.classes.begin());
}

}  // namespace

core::ClientRequest map_statement(std::string_view statement, const std::vector<sql::Value>& values,
                                  const std::vector<Attribute>& attributes, std::uint32_t tenant,
                                  const config::NameIndex& names, const heronwell::Settings& settings) {
  auto options = comment_options(statement, values);
  for (const auto& attribute : attributes) {
    // Unknown attributes are ignored: drivers send some of their own.
    if (const auto value = sql::to_text(attribute.value); value && is_option(attribute.name))
      options[attribute.name] = *value;
  }
  core::ClientRequest out;
  out.class_index = class_of(options, statement, names, settings);
  const auto& class_settings = settings.classes.at(out.class_index);
  out.tenant = tenant;
  const double max_timeout_ms =
      std::chrono::duration<double, std::milli>(class_settings.request_timeout).count();
  out.timeout = core::Time(static_cast<std::int64_t>(number_option(options, "limit", max_timeout_ms) * 1e6));
  if (options.contains("cpu"))
    out.estimated_work = core::Time(static_cast<std::int64_t>(number_option(options, "cpu", 0) * 1e6));
  out.estimated_memory_mb = number_option(options, "ram", 0);
  out.is_retry = number_option(options, "second", 0) != 0;
  out.idempotency_key = options["unique"];
  const auto valid_character = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
  if (out.idempotency_key.size() > 128 || !std::ranges::all_of(out.idempotency_key, valid_character))
    throw_mapping_error("unique holds what no key may hold");
  // Without an idempotency key, a resend by the client could not be distinguished from a new request.
  if (class_settings.idempotency == heronwell::Idempotency::keyed && out.idempotency_key.empty())
    throw_mapping_error("unique is missing: " + class_settings.name + " needs it");
  if (const auto& item = options["item"]; !item.empty()) {
    const auto [end, error] = std::from_chars(item.data(), item.data() + item.size(), out.order_key, 16);
    if (error != std::errc() || end != item.data() + item.size())
      throw_mapping_error("item is not up to 16 hex digits");
  }
  out.body = statement;
  if (!values.empty()) out.parameters = sql::encode_values(values);
  out.data_group = sql::table_group(statement);
  return out;
}

Error to_error(const core::Answer& answer) {
  const auto detail = answer.body.empty() ? std::string() : ": " + answer.body;
  switch (answer.kind) {
    case core::AnswerKind::rejected: {
      const auto retry_after_ms =
          std::chrono::duration_cast<std::chrono::milliseconds>(answer.retry_after).count();
      // SQLSTATE 40001 (serialization failure): drivers take it as "not executed, retry".
      return {kRejected, "40001",
              "refused; come back after " + std::to_string(retry_after_ms) + " ms" + detail};
    }
    case core::AnswerKind::timed_out:
      return {kTimedOut, "HYT00", "timed out; it may have run" + detail};
    case core::AnswerKind::failed:
    case core::AnswerKind::served:
      break;
  }
  return {kFailed, "HY000", "failed; it may have run" + detail};
}

}  // namespace bellstair::mysql
