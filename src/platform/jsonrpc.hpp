// JSON-RPC 2.0 with one message per line, as the platform's clients use it. Free of I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "config/config.hpp"
#include "core/events.hpp"

namespace bellstair::platform {

// A request to run a query.
struct RpcRequest {
  std::uint64_t id = 0;
  core::ClientRequest request;  // its client handle is not set
};
// A call that cancels a request, given by its id or its ticket.
struct RpcCancel {
  std::optional<std::uint64_t> id;  // of this call, if it expects a response
  std::optional<std::uint64_t> request_id;
  std::string ticket;  // may be empty
};
// A call that asks whether the broker is ready.
struct RpcHealth {
  std::uint64_t id = 0;
};
// A line that is no valid call, as the error response to send.
struct RpcError {
  std::optional<std::uint64_t> id;
  int code = 0;
  std::string message;
};
using RpcMessage = std::variant<RpcRequest, RpcCancel, RpcHealth, RpcError>;

// Error codes of responses to lines that are no valid request, and to requests.
inline constexpr int kRpcInvalidRequest = -32600;
inline constexpr int kRpcRejected = -32066;
inline constexpr int kRpcFailed = -32069;
inline constexpr int kRpcTimedOut = -32079;

// Parses one line. `names` holds the classes and tenants of the configuration.
[[nodiscard]] RpcMessage parse_rpc(std::string_view line, const config::NameIndex& names);
// Format responses, each with its line feed. `body` is sent as base64; `retry_after` in milliseconds, and
// only if it is positive.
[[nodiscard]] std::string rpc_result(std::uint64_t id, std::string_view body);
[[nodiscard]] std::string rpc_health(std::uint64_t id, bool ready);
[[nodiscard]] std::string rpc_error(std::optional<std::uint64_t> id, int code, std::string_view message,
                                    core::Time retry_after = {});

}  // namespace bellstair::platform
