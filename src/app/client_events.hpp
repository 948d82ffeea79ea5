// The events that come from clients, in the order in which the clients have caused them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <span>
#include <vector>

#include "core/events.hpp"
#include "net/read_queue.hpp"

namespace bellstair::app {

// Requests are numbered in the order in which the reducer receives them, and requests of one key run in that
// order. What several clients have sent between two polls of the loop is therefore sorted by the time at
// which it was received, not by the order in which it was read. The events of one connection keep their
// order.
class ClientEvents {
 public:
  // Whether the event comes from a client, and so belongs here.
  [[nodiscard]] static bool is_client_event(const core::Event& event);

  // Adds an event that was caused at `now`, unless set_arrival() tells otherwise.
  void add(core::Event event, core::Time now);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }
  [[nodiscard]] bool empty() const { return entries_.empty(); }
  // The size of the requests in these events.
  [[nodiscard]] std::size_t request_bytes() const { return request_bytes_; }
  // Tells that the events from index `first` on were read from one connection, and when they were received.
  void set_arrival(std::size_t first, const net::Arrival& arrival);
  // Moves all events, sorted, to the end of `events`.
  void move_to(std::deque<core::Event>& events);

 private:
  struct Entry {
    core::Time arrival{};
    std::int64_t report = std::numeric_limits<std::int64_t>::max();  // as in net::Arrival
    core::Event event;
  };
  // Entries that were read together.
  struct Batch {
    std::size_t first = 0, count = 0;
    net::Arrival arrival;
  };

  // Estimates the arrival of each entry of the batches.
  void estimate_arrivals();
  // Spreads the entries of one connection's batches over the span of their arrival, from `earliest` on.
  // Returns `earliest` for the connection that the system reports next.
  core::Time spread(std::span<const Batch> batches, core::Time earliest);

  std::vector<Entry> entries_;
  std::vector<Batch> batches_;
  std::size_t request_bytes_ = 0;
};

}  // namespace bellstair::app
