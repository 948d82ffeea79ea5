// Connections to engines, one call at a time on each, under one budget of descriptors for all engines.
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

// What a driver keeps with a connection of its own: a parser, a session.
struct Session {
  virtual ~Session() = default;
};

class ConnectionPool {
 public:
  struct Connection {
    std::uint64_t serial = 0;
    std::uint32_t engine = 0;
    Stream stream;
    bool idle = false, ready = false;  // ready: dialled, and greeted where the protocol asks for that
    bool used = false;                 // handed out before
    Time since{};
    std::unique_ptr<Session> session;
    std::function<void(std::string_view)> on_data;  // of the call that has it
    std::function<void(bool clean)> on_lost;        // clean: its peer ended it in good form
    Connection(ev::loop_ref loop, Fd fd, std::size_t max_unsent_bytes)
        : stream(loop, std::move(fd), true, max_unsent_bytes) {}
  };
  // A connection, or none: it could not be made, and nothing has left for the engine.
  using AcquireCallback = std::function<void(Connection*)>;
  // Prepares a fresh connection and calls done(true) once calls may use it.
  using Handshake = std::function<void(Connection&, std::function<void(bool)> done)>;

  struct Limits {
    std::size_t max_connections = 512;  // connections, to all engines together
    std::size_t max_unsent_bytes = std::size_t{4} << 20;
    Time connect_timeout{}, idle_timeout{};
    Time reuse_delay{};  // a connection rests so long before another call: more may come than its last answer
  };

  ConnectionPool(ev::loop_ref loop, Limits limits, Handshake greeter = {});

  void set_address(std::uint32_t engine, const std::string& address);  // where it listens now
  void remove_engine(std::uint32_t engine);  // drop its idle connections; no new ones

  // The taker is called later, never from within. 0 is no ticket.
  std::uint64_t acquire(std::uint32_t engine, AcquireCallback taker);
  void cancel(std::uint32_t engine, std::uint64_t ticket);  // the taker is not called any more
  void release(Connection& connection);                     // fit for another call
  void discard(Connection& connection);
  // Moves on what waits, and lets go of what is over. Call it once in each turn of the loop.
  void process_pending();
  void tick(Time now);

  [[nodiscard]] std::size_t size() const { return connections_.size(); }

  // How connections have fared since the last time these were taken.
  struct Counts {
    std::size_t dialled = 0, refused = 0, late = 0;  // connections begun; not made, within the time and after
    std::size_t cut_off = 0;                         // let in, broken off at once, and dialled again
    std::size_t reused = 0, stale = 0,
                broken = 0;  // handed out again; found closed; lost while they lay idle
    std::size_t aged = 0, evicted = 0, starved = 0;  // idle for long; closed for another; none could be
    auto operator<=>(const Counts&) const = default;
  };
  [[nodiscard]] Counts take_counts() { return std::exchange(counts_, {}); }
  [[nodiscard]] std::string state() const;  // what there is now, for the log

 private:
  struct Waiter {
    std::uint64_t ticket = 0;
    AcquireCallback taker;
  };
  struct Engine {
    std::string address;
    bool usable = false;
    std::deque<Connection*> idle;  // the one used last at the back
    std::deque<Waiter> waiting;
    std::size_t dialling = 0;
    std::size_t failures = 0;  // dials that failed, not yet told to a waiter
    std::size_t cut_off = 0;   // dials in a row that were let in and then broken off
    std::size_t late = 0;      // and that were late, while the engine was heard
    Time heard{};              // something has come from it, or a connection has come up
  };

  bool dial(std::uint32_t id, Engine& engine);  // false: there is no descriptor for it
  void dialled(Connection& connection, bool well);
  void not_dialled(Connection& connection);
  void late(Connection& connection);
  void lose(Connection& connection, bool clean);
  void hand_out(std::uint32_t id, Engine& engine);
  bool make_room();
  bool evict();
  void stir();  // those who wait for a descriptor
  void remove(Connection& connection);

  ev::loop_ref loop_;
  Limits limits_;
  Handshake greeter_;
  std::unordered_map<std::uint32_t, Engine> engines_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> gone_;  // freed once no handler of theirs can be running
  core::TimerWheel<std::uint64_t> dials_{std::chrono::milliseconds(5)};
  std::vector<std::uint32_t> stirred_;  // engines for which something may go on
  std::uint64_t serial_ = 0, tickets_ = 0;
  bool starved_ = false;  // a dial waits for a descriptor
  Time now_{}, swept_{};
  Counts counts_;
};

}  // namespace bellstair::net
