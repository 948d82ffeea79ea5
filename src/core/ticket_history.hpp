// The tickets of recently answered requests, which are not accepted again.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <utility>

#include "core/clock.hpp"

namespace bellstair::core {

// Stores tickets for a fixed time, or until there are too many. Those of requests that must not run twice are
// stored apart, so that no number of other requests displaces them.
class TicketHistory {
 public:
  static constexpr Time kRetention = std::chrono::seconds(30);
  // Of requests that must not run twice, and of others.
  static constexpr std::size_t kMaxExecuted = 32768, kMaxOthers = 8192;

  // `executed`: its request may have run, and must not run again.
  void add(Time now, std::string ticket, bool executed) {
    (executed ? executed_ : others_).emplace_back(now, std::move(ticket));
  }
  // Calls `forget(ticket)` for each ticket that is no longer stored.
  template <class Forget>
  void expire(Time now, Forget forget) {
    expire(executed_, kMaxExecuted, now, forget);
    expire(others_, kMaxOthers, now, forget);
  }

 private:
  using Tickets = std::deque<std::pair<Time, std::string>>;  // since when; the oldest first

  template <class Forget>
  static void expire(Tickets& tickets, std::size_t max_size, Time now, Forget& forget) {
    while (!tickets.empty() && (tickets.front().first + kRetention <= now || tickets.size() > max_size)) {
      forget(tickets.front().second);
      tickets.pop_front();
    }
  }

  Tickets executed_, others_;
};

}  // namespace bellstair::core
