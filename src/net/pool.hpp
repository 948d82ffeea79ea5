// Pool of connections to the engines, with at most one call at a time on each and one limit for all engines.
#pragma once

#include <ev++.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/wheel.hpp"
#include "net/stream.hpp"

namespace bellstair::net {

using core::Time;

// Base of the per-connection state of a protocol, such as its parser.
struct Session {
  virtual ~Session() = default;
};

// Opens connections as calls request them, reuses idle ones, and evicts idle ones when the limit is reached.
class ConnectionPool {
 public:
  struct Connection {
    std::uint64_t id = 0;
    std::uint32_t engine = 0;
    Stream stream;
    bool idle = false, ready = false;  // ready: established, and the protocol's handshake is complete
    bool used = false;                 // has been assigned to a call before
    Time state_since{};                // when it began to connect, or when it last became idle
    std::unique_ptr<Session> session;
    std::function<void(std::string_view)> on_data;  // of the current call: received bytes
    std::function<void(bool clean)> on_lost;        // of the current call; clean: the peer ended the stream
    Connection(ev::loop_ref loop, Fd fd, std::size_t max_unsent_bytes)
        : stream(loop, std::move(fd), true, max_unsent_bytes) {}
  };
  // Receives a connection, or nullptr if none could be established; then nothing has been sent to the engine.
  using AcquireCallback = std::function<void(Connection*)>;
  // Prepares a new connection and calls done(true) once calls may use it, or done(false) if it can't be used.
  using Handshake = std::function<void(Connection&, std::function<void(bool)> done)>;

  struct Limits {
    std::size_t max_connections = 512;                    // to all engines together
    std::size_t max_unsent_bytes = std::size_t{4} << 20;  // output buffer of each connection
    // For establishing a connection; after which an idle one is closed.
    Time connect_timeout{}, idle_timeout{};
    // Between two calls on one connection: a duplicate of the last response may still arrive.
    Time reuse_delay{};
  };

  ConnectionPool(ev::loop_ref loop, Limits limits, Handshake handshake = {});

  // Sets where the engine listens and allows connections to it. Idle ones to another address are closed.
  void set_address(std::uint32_t engine, const std::string& address);
  // Closes the engine's idle connections and opens no new ones; pending requests receive nullptr.
  void remove_engine(std::uint32_t engine);

  // Requests a connection to the engine. The callback is called from process_pending(), never from within
  // this function. Returns an id for cancel(), which is never 0.
  std::uint64_t acquire(std::uint32_t engine, AcquireCallback callback);
  // Cancels a request for a connection: its callback is not called any more.
  void cancel(std::uint32_t engine, std::uint64_t waiter_id);
  // Returns a connection that is fit for another call.
  void release(Connection& connection);
  // Resets and removes a connection that must not be used again.
  void discard(Connection& connection);
  // Assigns connections to pending requests and frees closed connections. Call it once
  // per iteration of the event loop.
  void process_pending();
  // Takes over the current monotonic time, and handles connect and idle timeouts.
  void tick(Time now);

  [[nodiscard]] std::size_t size() const { return connections_.size(); }

  // Number of events since the counters were last taken.
  struct Counts {
    // Connects begun; failed before the timeout; not established within it.
    std::size_t started = 0, failed = 0, timed_out = 0;
    // Connects that the engine accepted and reset at once, and that were retried.
    std::size_t reset = 0;
    // Connections assigned to a call; found closed when about to be assigned; lost while idle.
    std::size_t assigned = 0, closed_by_peer = 0, lost_idle = 0;
    // Idle connections closed after the idle timeout; closed to make room. Times that none could be closed.
    std::size_t idle_timeouts = 0, evicted = 0, exhausted = 0;
    auto operator<=>(const Counts&) const = default;
  };
  [[nodiscard]] Counts take_counts() { return std::exchange(counts_, {}); }
  // Summary of the present connections for the log.
  [[nodiscard]] std::string state() const;

 private:
  struct Waiter {
    std::uint64_t waiter_id = 0;
    AcquireCallback callback;
  };
  struct Engine {
    std::string address;
    bool usable = false;
    std::deque<Connection*> idle;  // the most recently used at the back
    std::deque<Waiter> waiting;
    std::size_t connecting = 0;
    std::size_t unreported_failures = 0;   // failed connects not yet reported to a waiter
    std::size_t consecutive_resets = 0;    // connects in a row that were accepted and then reset
    std::size_t consecutive_timeouts = 0;  // connects in a row that timed out though the engine had responded
    Time last_contact{};                   // when bytes last came from it, or a connection was established
  };

  // Begins to connect. Returns false if a local resource such as a descriptor is short.
  bool connect(std::uint32_t id, Engine& engine);
  void on_connect_result(Connection& connection, bool succeeded);
  void on_connect_failed(Connection& connection);
  void on_connect_timeout(Connection& connection);
  void on_connection_lost(Connection& connection, bool clean);
  void assign(std::uint32_t id, Engine& engine);
  bool make_room();
  bool evict_idle();
  // Has process_pending() look again at all engines with waiters, after a descriptor may have become free.
  void schedule_waiters();
  void remove(Connection& connection);

  ev::loop_ref loop_;
  Limits limits_;
  Handshake handshake_;
  std::unordered_map<std::uint32_t, Engine> engines_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>>
      closed_;  // freed later, when none of their handlers can be running
  core::TimerWheel<std::uint64_t> connect_timeouts_{std::chrono::milliseconds(5)};
  std::vector<std::uint32_t> pending_engines_;  // engines that process_pending() looks at
  std::uint64_t last_connection_id_ = 0, last_waiter_id_ = 0;
  bool connect_deferred_ = false;  // a connect waits for a descriptor
  Time now_{}, last_sweep_{};
  Counts counts_;
};

}  // namespace bellstair::net
