#include "net/read_queue.hpp"

#include <algorithm>

#include "net/stream.hpp"

namespace bellstair::net {
namespace {
// More than a process may have descriptors.
constexpr std::int64_t kMaxReportsPerPoll = std::int64_t{1} << 24;
}  // namespace

void ReadQueue::on_poll(core::Time previous, core::Time now) {
  previous_poll_ = previous;
  last_poll_ = now;
  ++polls_;
  reports_ = 0;
}

void ReadQueue::add(Stream& stream, ReadPriority priority) {
  auto& state = streams_[&stream];
  if (state.position) return;
  // The loop would have reported earlier bytes earlier.
  const auto earliest = std::max(state.last_arrival, state.drained ? previous_poll_ : core::Time::zero());
  Arrival arrival;
  arrival.end = std::max(earliest, last_poll_ - stream.time_since_data());
  arrival.begin = std::max(state.last_arrival, std::min(previous_poll_, arrival.end));
  state.last_arrival = arrival.end;
  state.priority = priority;
  // The system reports streams in the order in which they became readable; libev turns that of one poll
  // round.
  arrival.report = polls_ * kMaxReportsPerPoll - ++reports_;
  state.position = Position{arrival.end, arrival.report};
  waiting(priority).emplace(*state.position, Waiting{&stream, arrival});
}

void ReadQueue::remove(const Stream& stream) {
  const auto found = streams_.find(&stream);
  if (found == streams_.end()) return;
  const auto& state = found->second;
  if (state.position) waiting(state.priority).erase(*state.position);
  streams_.erase(found);
}

Arrival ReadQueue::read_next(ReadPriority priority) {
  auto& line = waiting(priority);
  const auto next = line.begin()->second;
  line.erase(line.begin());
  streams_.at(next.stream).position.reset();
  const bool drained = next.stream->read_input();
  // It may have been closed, and so forgotten.
  if (const auto found = streams_.find(next.stream); found != streams_.end()) found->second.drained = drained;
  return next.arrival;
}

}  // namespace bellstair::net
