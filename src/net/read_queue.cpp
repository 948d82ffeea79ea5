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

void ReadQueue::add(Stream& stream) {
  auto& state = streams_[&stream];
  if (state.position) return;
  // The system reports streams in the order in which they became readable; libev turns that of one poll
  // round.
  enqueue(stream, state, polls_ * kMaxReportsPerPoll - ++reports_);
}

void ReadQueue::enqueue(Stream& stream, StreamState& state, std::int64_t report) {
  const auto last_end = state.last_arrival.end;
  // The loop would have reported earlier bytes earlier.
  const auto earliest = std::max(last_end, state.drained ? previous_poll_ : core::Time::zero());
  Arrival arrival;
  arrival.report = report;
  arrival.end = std::max(earliest, last_poll_ - stream.time_since_data());
  arrival.begin = std::max(last_end, std::min(previous_poll_, arrival.end));
  // What was left unread may be as old as what was read.
  if (!state.drained) arrival.begin = state.last_arrival.begin;
  state.last_arrival = arrival;
  state.priority = stream.read_priority();
  const auto deferral = state.priority == ReadPriority::deferred ? kDeferral : core::Time::zero();
  state.position = Position{arrival.end + deferral, report};
  waiting(state.priority).emplace(*state.position, Waiting{&stream, arrival});
}

bool ReadQueue::waits(const Stream& stream) const {
  const auto found = streams_.find(&stream);
  return found != streams_.end() && found->second.position;
}

bool ReadQueue::has_input_from_before(core::Time time, ReadPriority priority) const {
  return std::ranges::any_of(waiting(priority), [time, priority](const auto& entry) {
    return entry.second.stream->read_priority() == priority && entry.second.arrival.end < time;
  });
}

bool ReadQueue::has_input_from_before(core::Time time, const Stream& stream) const {
  const auto found = streams_.find(&stream);
  return found != streams_.end() && found->second.position && found->second.last_arrival.begin < time;
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
  const auto found = streams_.find(next.stream);
  if (found == streams_.end()) return next.arrival;  // it has been closed, and so forgotten
  found->second.drained = drained;
  if (!drained && next.stream->wants_input()) enqueue(*next.stream, found->second, next.arrival.report);
  return next.arrival;
}

}  // namespace bellstair::net
