#include "app/client_events.hpp"

#include <algorithm>
#include <utility>

namespace bellstair::app {

bool ClientEvents::is_client_event(const core::Event& event) {
  return std::holds_alternative<core::RequestArrived>(event) ||
         std::holds_alternative<core::RequestCancelled>(event) ||
         std::holds_alternative<core::ClientHalfClosed>(event);
}

void ClientEvents::add(core::Event event, core::Time now) {
  if (const auto* arrived = std::get_if<core::RequestArrived>(&event); arrived != nullptr)
    request_bytes_ += arrived->request.body.size() + arrived->request.parameters.size();
  auto& entry = entries_.emplace_back();
  entry.arrival = now;
  entry.event = std::move(event);
}

void ClientEvents::set_arrival(std::size_t first, const net::Arrival& arrival) {
  if (first == entries_.size()) return;
  batches_.push_back({first, entries_.size() - first, arrival});
  for (auto i = first; i < entries_.size(); ++i) {
    // The earliest time, not the estimate: the deadline must not be later than the client's.
    if (auto* arrived = std::get_if<core::RequestArrived>(&entries_[i].event))
      arrived->received_at = arrival.begin;
  }
}

// Of each batch, the system tells when its last bytes were received, and which of two batches began earlier.
// A batch is taken to begin as early as that allows, and its events to be evenly spread from there to its
// end. This is exact for batches of one event, and so whenever a connection brings at most one request
// between two polls.
void ClientEvents::estimate_arrivals() {
  std::ranges::sort(batches_, {}, [](const Batch& batch) { return batch.arrival.report; });
  core::Time earliest{};
  for (const auto& [first, count, arrival] : batches_) {
    const auto begin = count == 1 ? arrival.end : std::min(arrival.end, std::max(arrival.begin, earliest));
    earliest = std::max(earliest, begin);
    const auto steps = std::max<core::Time::rep>(1, static_cast<core::Time::rep>(count) - 1);
    for (std::size_t i = 0; i < count; ++i) {
      auto& entry = entries_[first + i];
      entry.arrival = begin + (arrival.end - begin) * static_cast<core::Time::rep>(i) / steps;
      entry.report = arrival.report;
    }
  }
  batches_.clear();
}

void ClientEvents::move_to(std::deque<core::Event>& events) {
  estimate_arrivals();
  std::ranges::stable_sort(entries_, {},
                           [](const Entry& entry) { return std::pair(entry.arrival, entry.report); });
  for (auto& entry : entries_) events.push_back(std::move(entry.event));
  entries_.clear();
  request_bytes_ = 0;
}

}  // namespace bellstair::app
