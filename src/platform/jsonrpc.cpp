#include "platform/jsonrpc.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

#include "platform/base64.hpp"
#include "sql/statement.hpp"

namespace bellstair::platform {
namespace {
using nlohmann::json;

constexpr int kParseError = -32700, kUnknownMethod = -32601, kInvalidParams = -32602;
constexpr double kMaxTimeoutMs = 3'600'000;
// Larger estimates are implausible and would distort the scheduling of all other requests.
constexpr double kMaxCpuMs = 1e7, kMaxRamMb = 1e7;
constexpr int kMaxNestingDepth = 8;  // of arrays and objects
constexpr std::size_t kMaxKeyBytes = 128;

// Thrown when a parameter is missing or invalid; the message is sent to the client.
struct InvalidParams {
  std::string message;
};

// A string parameter; empty if it is absent and not required.
std::string string_param(const json& params, const char* key, bool required) {
  const auto found = params.find(key);
  if (found == params.end() || found->is_null()) {
    if (required) throw InvalidParams{std::string(key) + " is missing"};
    return {};
  }
  if (!found->is_string()) throw InvalidParams{std::string(key) + " is not a text"};
  return found->get<std::string>();
}

// A number parameter from 0 to the maximum; nullopt if it is absent.
std::optional<double> number_param(const json& params, const char* key, double maximum) {
  const auto found = params.find(key);
  if (found == params.end() || found->is_null()) return std::nullopt;
  if (!found->is_number()) throw InvalidParams{std::string(key) + " is not a number"};
  const double value = found->get<double>();
  if (!(value >= 0 && value <= maximum)) throw InvalidParams{std::string(key) + " is out of range"};
  return value;
}

// The value is sent in an HTTP header, so it must not contain anything that could end one.
void require_printable(const std::string& value, const char* key) {
  const auto is_printable = [](unsigned char c) { return c > 0x20 && c < 0x7f; };
  if (value.size() > kMaxKeyBytes || !std::ranges::all_of(value, is_printable))
    throw InvalidParams{std::string(key) + " holds what no id may hold"};
}

std::uint64_t parse_hex(const std::string& digits, const char* key) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (error != std::errc() || end != digits.data() + digits.size())
    throw InvalidParams{std::string(key) + " is not 16 hex digits"};
  return value;
}

core::ClientRequest parse_request(const json& params, core::ClassIndex class_index,
                                  const config::NameIndex& names) {
  core::ClientRequest result;
  result.class_index = class_index;
  result.ticket = string_param(params, "txn", true);
  // The ticket is also part of an HTTP path.
  if (result.ticket.size() != 16) throw InvalidParams{"txn is not 16 hex digits"};
  parse_hex(result.ticket, "txn");
  const auto limit = number_param(params, "limit", kMaxTimeoutMs);
  if (!limit) throw InvalidParams{"limit is missing"};
  result.timeout = core::Time(static_cast<std::int64_t>(*limit * 1e6));
  // If there are tenants, each request must name one, so that requests without a
  // tenant use up no tenant's share.
  if (const auto team = string_param(params, "team", !names.tenants.empty()); !team.empty()) {
    const auto found = names.tenants.find(team);
    if (found == names.tenants.end()) throw InvalidParams{"team is in no settings"};
    result.tenant = found->second;
  }
  if (const auto retry = params.find("second"); retry != params.end() && !retry->is_null())
    result.is_retry = retry->is_boolean() ? retry->get<bool>() : !(retry->is_number() && *retry == 0);
  result.idempotency_key = string_param(params, "unique", false);
  require_printable(result.idempotency_key, "unique");
  if (const auto cpu = number_param(params, "cpu", kMaxCpuMs))
    result.estimated_work = core::Time(static_cast<std::int64_t>(*cpu * 1e6));
  result.estimated_memory_mb = number_param(params, "ram", kMaxRamMb).value_or(0);
  if (const auto item = string_param(params, "item", false); !item.empty())
    result.order_key = parse_hex(item, "item");
  auto body = from_base64(string_param(params, "data", true));
  if (!body) throw InvalidParams{"data is not base64"};
  result.body = std::move(*body);
  result.data_group = sql::table_group(result.body);
  return result;
}

std::string serialize_line(json message) {
  message["jsonrpc"] = "2.0";
  return message.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

json json_id(std::optional<std::uint64_t> id) { return id ? json(*id) : json(nullptr); }
}  // namespace

RpcMessage parse_rpc(std::string_view line, const config::NameIndex& names) {
  // Deeply nested input and nested arrays, which no call contains, are dropped while they are parsed: to
  // store them takes far more time and memory than to read them.
  bool too_deep = false;
  const auto is_stored = [&too_deep](int depth, json::parse_event_t event, json&) {
    too_deep = too_deep || depth > kMaxNestingDepth;
    return !too_deep && (event != json::parse_event_t::array_start || depth == 0);
  };
  const json message = json::parse(line, is_stored, false);
  if (too_deep) return RpcError{std::nullopt, kRpcInvalidRequest, "nested too deeply"};
  if (message.is_discarded()) return RpcError{std::nullopt, kParseError, "no JSON"};
  if (!message.is_object()) return RpcError{std::nullopt, kRpcInvalidRequest, "no call"};
  std::optional<std::uint64_t> id;
  if (const auto found = message.find("id"); found != message.end() && !found->is_null()) {
    if (!found->is_number_unsigned())
      return RpcError{std::nullopt, kRpcInvalidRequest, "id is not a whole number from 1 up"};
    id = found->get<std::uint64_t>();
  }
  const auto method = message.find("method");
  const auto version = message.find("jsonrpc");
  if (method == message.end() || !method->is_string() || version == message.end() || *version != "2.0")
    return RpcError{id, kRpcInvalidRequest, "no call of JSON-RPC 2.0"};
  const auto name = method->get<std::string>();
  const auto params_entry = message.find("params");
  static const json kNoParams = json::object();
  const json& params = params_entry == message.end() ? kNoParams : *params_entry;
  try {
    if (!params.is_object()) throw InvalidParams{"params is not an object"};
    if (name == "cancel") {
      RpcCancel result;
      result.id = id;
      if (const auto request = params.find("id"); request != params.end() && request->is_number_unsigned())
        result.request_id = request->get<std::uint64_t>();
      result.ticket = string_param(params, "txn", false);
      return result;
    }
    if (!id) return RpcError{std::nullopt, kRpcInvalidRequest, "id is missing"};
    if (name == "health") return RpcHealth{*id};
    const auto class_index = names.classes.find(name);
    if (class_index == names.classes.end()) return RpcError{id, kUnknownMethod, "no class of this name"};
    return RpcRequest{*id, parse_request(params, class_index->second, names)};
  } catch (const InvalidParams& error) {
    return RpcError{id, kInvalidParams, error.message};
  }
}

std::string rpc_result(std::uint64_t id, std::string_view body) {
  // Built directly: nothing in it needs escaping, and results are by far the longest messages.
  return "{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(id) + ",\"result\":{\"data\":\"" + to_base64(body) +
         "\"}}\n";
}

std::string rpc_health(std::uint64_t id, bool ready) {
  return serialize_line({{"id", id}, {"result", {{"green", ready}}}});
}

std::string rpc_error(std::optional<std::uint64_t> id, int code, std::string_view message,
                      core::Time retry_after) {
  json error = {{"code", code}, {"message", message}};
  if (retry_after > core::Time::zero())
    error["data"] = {{"later", std::chrono::duration_cast<std::chrono::milliseconds>(retry_after).count()}};
  return serialize_line({{"id", json_id(id)}, {"error", std::move(error)}});
}

}  // namespace bellstair::platform
