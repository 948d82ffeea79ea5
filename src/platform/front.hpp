// Server for the platform's clients, which speak JSON-RPC over TCP.
#pragma once

#include <ev++.h>

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "core/wheel.hpp"
#include "net/driver.hpp"
#include "net/stream.hpp"
#include "platform/jsonrpc.hpp"
#include "platform/rpc_id_scanner.hpp"

namespace bellstair::platform {

// Parses the clients' lines and emits RequestArrived, RequestCancelled and ClientHalfClosed. A connection may
// have several requests open. It ends after too many invalid lines, a line that is too long, or a first
// request that is incomplete for too long, but not before all of its open requests are answered. Until then
// every further request on it gets a response too.
class Front {
 public:
  // `names` and `read_queue`, in which the connections wait to be read, must outlive this object.
  // `last_client_handle` is the last client handle assigned; all fronts share it. `ready`: what a health call
  // is answered with.
  Front(ev::loop_ref loop, net::Fd listening, net::ReadQueue& read_queue, const config::NameIndex& names,
        std::size_t max_connections, std::uint64_t& last_client_handle, std::function<bool()> ready,
        net::EventSink emit);

  // The address that it listens on.
  [[nodiscard]] const std::string& address() const { return address_; }
  // Sends the response to a request. Returns false if the client is not one of this front's.
  bool run(const core::Answer& answer);
  // Whether the client of an open request may have cancelled it, or closed its connection, some time before
  // `now`, which shows only once what it has sent is read. False if the client is not one of this front's.
  [[nodiscard]] bool awaits_input(core::ClientHandle client, core::Time now) const;
  // Frees closed connections. To be called outside of their handlers.
  void release_closed() { closed_.clear(); }
  // Takes over the current monotonic time and handles timeouts.
  void tick(core::Time now);
  // Stops accepting connections and requests: the sending side of each connection is closed after the last
  // response, and further input is read and dropped.
  void stop();
  // Whether some client has sent part of a request lately, so that the rest may follow. Of clients that have
  // sent no request before, only lines count that were begun before `begun_before`.
  [[nodiscard]] bool receives_request(core::Time begun_before = core::Time::max()) const;
  // Bytes that it holds of the incomplete lines of all clients.
  [[nodiscard]] std::size_t partial_bytes() const { return partial_bytes_; }
  // Lines that were rejected before their end and have not been answered yet, since their ids are not known.
  [[nodiscard]] std::size_t rejected_lines() const;
  // True while output is waiting to be sent; after stop(), until all connections are closed.
  [[nodiscard]] bool has_unsent_output() const;

 private:
  static constexpr std::size_t kMaxLineBytes = std::size_t{256} * 1024;
  static constexpr std::size_t kMaxUnsentBytes = std::size_t{4} << 20;
  // Of the incomplete lines of all clients together. Beyond it the line that uses most of it is rejected.
  static constexpr std::size_t kMaxPartialBytes = std::size_t{4} << 20;
  // On one connection.
  static constexpr unsigned kMaxProtocolErrors = 64;
  static constexpr std::size_t kMaxOpenRequests = 32;

  // Connections are closed to make room in this order, busy ones never. ended: half-closed by this side.
  // useless: has sent something that is no valid request. unidentified: has sent no request.
  enum class EvictionRank { ended, useless, unidentified, idle, busy };
  // The response to a line that is rejected before its id has been received.
  struct Rejection {
    int code = 0;
    std::string_view reason;
    RpcIdScanner scanner;
    std::size_t line_bytes = 0;
    core::Time deadline{};  // it is sent without an id then; 0: not while the client goes on sending
  };
  // How much was read from a connection lately.
  class RecentInput {
   public:
    void add(core::Time now, std::size_t size);
    // In the last two windows of kInputGap; 0 if nothing was read for so long.
    [[nodiscard]] std::size_t bytes(core::Time now) const;

   private:
    core::Time window_start_{}, last_read_at_{};
    std::size_t bytes_ = 0, previous_bytes_ = 0;
  };
  struct Connection {
    std::uint64_t id = 0;
    net::Stream stream;
    std::string partial_line;
    std::uint64_t max_request_id = 0;
    bool input_ended = false;            // the client has closed its sending side
    bool line_received = false;          // a complete line has been received
    bool request_received = false;       // a request has been accepted
    bool skips_line = false;             // the current line was rejected, and the rest of it is dropped
    bool rejects_requests = false;       // after too many invalid lines
    bool sends_useless_input = false;    // has sent something that is no valid request
    bool half_closed = false;            // by this side: nothing more is sent, and further input is dropped
    std::optional<Rejection> rejection;  // pending, while skips_line
    core::Time timer_at{};               // of its earliest timer; 0: none is armed
    unsigned protocol_errors = 0;
    std::size_t cancellations = 0;  // of open requests, in the input that is being processed
    RecentInput recent_input;
    core::Time line_started_at{};  // when the first part of the incomplete line was received
    core::Time timeout_start{};    // when it was accepted, last sent part of a line, or was half-closed
    EvictionRank rank = EvictionRank::unidentified;
    std::list<Connection*>::iterator rank_position;
    std::unordered_map<std::uint64_t, core::ClientHandle> open_requests;  // by the client's request id
    Connection(ev::loop_ref loop, net::Fd fd, net::ReadQueue& read_queue)
        : stream(loop, std::move(fd), false, kMaxUnsentBytes, &read_queue) {}
  };
  struct OpenRequest {
    std::uint64_t connection_id = 0, request_id = 0;
    std::string ticket;
  };

  void accept(net::Fd fd);
  void on_data(Connection& connection, std::string_view bytes);
  // Whether input of the connection is still parsed.
  [[nodiscard]] bool reads_lines(const Connection& connection) const;
  // Handles the end of a line, whose beginning may have been received before.
  void on_line_end(Connection& connection, std::string_view bytes);
  // Stores part of an incomplete line.
  void on_partial_line(Connection& connection, std::string_view bytes);
  void on_line(Connection& connection, std::string_view line);
  void on_request(Connection& connection, RpcRequest& request);
  void on_cancel(Connection& connection, const RpcCancel& message);
  void close(Connection& connection);
  // Drops a line of which only the beginning has been received and the rest of it, and responds with an error
  // once its id is known.
  void reject_line(Connection& connection, int code, std::string_view reason);
  // Takes part of a rejected line.
  void on_skipped_bytes(Connection& connection, std::string_view bytes);
  // Sends the response to a rejected line, with its id if that is known.
  void send_rejection(Connection& connection);
  // Whether the rest of a line is still to come.
  [[nodiscard]] static bool receives_line(const Connection& connection) {
    return !connection.partial_line.empty() || connection.rejection;
  }
  // Rejects incomplete lines until all that remain fit kMaxPartialBytes.
  void limit_partial_bytes();
  // The connection with the incomplete line to reject first; all lines together must exceed kMaxPartialBytes.
  Connection& costliest_partial_line();
  // Half-closes a connection that can't be used any more once it has no open requests. Returns whether it
  // did.
  bool end_if_unusable(Connection& connection);
  // Closes the sending side after all output has been sent. The connection is closed when the client closes
  // its side too, or after kLingerTimeout.
  void half_close(Connection& connection);
  // Counts an invalid line, whose response has been sent. Too many of them end the connection.
  void count_protocol_error(Connection& connection);
  // Sends an error and rejects all further requests, since the client sends too many lines of no use: invalid
  // ones, or more cancellations at once than it can have requests open.
  void reject_further_requests(Connection& connection);
  void arm_timer(Connection& connection, core::Time at);
  void update_rank(Connection& connection);
  // Decides how soon and how much at once the connection is read from now on.
  void update_reading(Connection& connection);
  // Whether a new connection can be accepted now. If not, it can be once more input has been read.
  [[nodiscard]] bool can_accept() const;
  // The connection to close if there are too many; null if all have open requests or input that has not been
  // read.
  [[nodiscard]] Connection* connection_to_evict() const;
  // Closes a connection if there are too many. Returns false if none can be closed.
  bool make_room();

  bool stopped_ = false;
  ev::loop_ref loop_;
  net::ReadQueue& read_queue_;
  const config::NameIndex& names_;
  std::size_t max_connections_;
  std::uint64_t& last_client_handle_;
  std::function<bool()> ready_;
  net::EventSink emit_;
  std::string address_;
  std::optional<net::Listener> listener_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<core::ClientHandle, OpenRequest> open_requests_;
  std::vector<std::unique_ptr<Connection>> closed_;
  using Connections = std::list<Connection*>;
  [[nodiscard]] Connections& with_rank(EvictionRank rank) { return by_rank_[static_cast<std::size_t>(rank)]; }
  [[nodiscard]] const Connections& with_rank(EvictionRank rank) const {
    return by_rank_[static_cast<std::size_t>(rank)];
  }
  std::array<Connections, 5> by_rank_;  // by EvictionRank, the longest in that rank in front
  core::TimerWheel<std::uint64_t> timers_{std::chrono::milliseconds(5)};
  std::size_t partial_bytes_ = 0;
  std::uint64_t last_connection_id_ = 0;
  core::Time now_{};
};

}  // namespace bellstair::platform
