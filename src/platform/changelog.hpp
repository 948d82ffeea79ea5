// Client of the change log, which publishes the membership of the fleet.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "net/driver.hpp"
#include "net/stream.hpp"
#include "platform/http.hpp"

namespace bellstair::platform {

// Long-polls the change log for events after the last one known, and emits a MembershipChange for each, then
// MembershipConfirmed. Emits DiscoveryIdle when there are no more events, or when a request fails; it
// reconnects after failures. A response that is overdue is requested again on another connection, but is
// still used if it comes.
class ChangeLog {
 public:
  // How long a long poll asks the change log to wait for new events. If the change log stops, the broker is
  // held to what it would have reported from 2 s after the end of that wait on, and the shorter the wait, the
  // sooner the broker notices the silence and asks again.
  static constexpr core::Time kLongPollTimeout = std::chrono::milliseconds(1000);
  // For a complete response, until it is requested again.
  static constexpr core::Time kResponseTimeout = kLongPollTimeout + std::chrono::milliseconds(500);
  static constexpr core::Time kConnectTimeout = std::chrono::milliseconds(500);
  static constexpr core::Time kReconnectDelay = std::chrono::milliseconds(100);
  static constexpr core::Time kMinPollInterval = std::chrono::milliseconds(10);
  static constexpr std::size_t kMaxBodyBytes = std::size_t{1} << 20;
  // On which overdue responses are awaited: as many as kResponseTimeout allows to begin while the membership
  // may be used without a response. A change log that takes longer than that is not heard.
  static constexpr std::size_t kMaxOverdueConnections = 4;

  // `names` must outlive this object. `last_seq`: the number of the last event known.
  ChangeLog(ev::loop_ref loop, std::string address, const config::NameIndex& names, std::uint64_t last_seq,
            net::EventSink emit);

  // Continues at another address, from the same event number. A pending request is repeated there.
  void set_address(const std::string& address);
  // Takes over the current monotonic time; starts connections and requests and handles timeouts.
  void tick(core::Time now);

 private:
  enum class Stage { disconnected, connecting, idle, polling };
  struct Connection {
    std::unique_ptr<net::Stream> stream;
    HttpResponseParser parser{kMaxBodyBytes};
    core::Time polled_at{};  // when its last request was sent
  };

  void connect();
  void poll();
  void on_data(Connection& connection, std::string_view bytes);
  void on_response(Connection& connection);
  // The response on the current connection is overdue.
  void on_response_timeout();
  // The connection can't be used any more.
  void on_connection_failure(Connection& connection, const char* reason);
  // The change log can't be read through the current connection, or through none.
  void on_failure(const char* reason);
  // Makes the connection the current one, and closes all others.
  void keep_only(Connection& connection);
  void disconnect();
  void close(std::unique_ptr<Connection> connection);
  // Emits the membership changes of a response. Throws config::ConfigError if the response is malformed.
  void apply(const std::string& body);

  ev::loop_ref loop_;
  std::string address_;
  const config::NameIndex& names_;
  std::uint64_t last_seq_;
  net::EventSink emit_;
  Stage stage_ = Stage::disconnected;  // of the current connection
  std::unique_ptr<Connection> current_;
  std::deque<std::unique_ptr<Connection>> overdue_;  // their responses are overdue; the oldest first
  // Freed later, when none of their handlers can be running.
  std::vector<std::unique_ptr<Connection>> closed_;
  bool caught_up_ = false;       // the last response held no new events
  bool failure_logged_ = false;  // a failure was logged, and no valid response has been received since
  core::Time now_{}, due_{};     // due_: when the stage times out, or when its next action may begin
};

}  // namespace bellstair::platform
