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

// Of each connection, the system tells when its last bytes were received, and which of two connections began
// to send earlier. The batches of a connection are taken to begin as early as that allows, and their events
// to be evenly spread from there to the end. This is exact for a single event, and so whenever a connection
// brings at most one request between two polls.
void ClientEvents::estimate_arrivals() {
  const auto report = [](const Batch& batch) { return batch.arrival.report; };
  std::ranges::stable_sort(batches_, {}, report);
  core::Time earliest{};
  for (auto first = batches_.begin(); first != batches_.end();) {
    const auto end = std::ranges::find_if(first, batches_.end(), [first, &report](const Batch& batch) {
      return report(batch) != report(*first);
    });
    earliest = spread({first, end}, earliest);
    first = end;
  }
  batches_.clear();
}

core::Time ClientEvents::spread(std::span<const Batch> batches, core::Time earliest) {
  using Count = core::Time::rep;
  Count count = 0;
  for (const auto& batch : batches) count += static_cast<Count>(batch.count);
  const auto end = batches.back().arrival.end;
  const auto begin = count == 1 ? end : std::min(end, std::max(batches.front().arrival.begin, earliest));
  Count index = 0;
  for (const auto& batch : batches) {
    for (auto i = batch.first; i < batch.first + batch.count; ++i) {
      entries_[i].arrival = begin + (end - begin) * index++ / std::max<Count>(1, count - 1);
      entries_[i].report = batch.arrival.report;
    }
  }
  return std::max(earliest, begin);
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
