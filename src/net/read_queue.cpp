#include "net/read_queue.hpp"

#include "net/stream.hpp"

namespace bellstair::net {

void ReadQueue::on_poll(core::Time previous, core::Time) { previous_poll_ = previous; }

void ReadQueue::add(Stream& stream, ReadPriority priority) {
  if (places_.contains(&stream)) return;
  const auto position = ++last_position_;
  places_.emplace(&stream, Place{priority, position});
  waiting(priority).emplace(position, Waiting{&stream, previous_poll_});
}

void ReadQueue::remove(const Stream& stream) {
  const auto found = places_.find(&stream);
  if (found == places_.end()) return;
  waiting(found->second.priority).erase(found->second.position);
  places_.erase(found);
}

core::Time ReadQueue::read_next(ReadPriority priority) {
  const auto next = waiting(priority).begin()->second;
  remove(*next.stream);
  next.stream->read_input();
  return next.earliest_arrival;
}

}  // namespace bellstair::net
