// Decides in which order connections are read and how much is read from each, so that a few busy peers can't
// keep the event loop from everything else.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

#include "core/clock.hpp"

namespace bellstair::net {

class Stream;

// prompt: read as soon as it becomes readable. bulk: read with what time is left, for peers whose input can
// wait.
enum class ReadPriority { prompt, bulk };

// The streams that are readable and have not been read yet, by priority in the order in which they became
// readable. The event loop reports a stream that has not been read again and again, so nothing is lost if
// it waits here.
class ReadQueue {
 public:
  // To be called after each poll of the event loop, before the streams that it reports are added. Both times
  // are on the monotonic clock: of the poll before, and of this one.
  void on_poll(core::Time previous, core::Time now);
  // Adds a stream that has become readable. Does nothing if it waits already.
  void add(Stream& stream, ReadPriority priority);
  // Forgets a stream that is closed.
  void remove(const Stream& stream);
  [[nodiscard]] bool empty(ReadPriority priority) const { return waiting(priority).empty(); }
  [[nodiscard]] std::size_t size(ReadPriority priority) const { return waiting(priority).size(); }
  // Reads from the first stream of this priority; there must be one. Returns the earliest time at which what
  // it has read can have been received.
  core::Time read_next(ReadPriority priority);

 private:
  struct Waiting {
    Stream* stream = nullptr;
    core::Time earliest_arrival{};
  };
  using Position = std::uint64_t;  // in the order of arrival
  using Line = std::map<Position, Waiting>;
  struct Place {
    ReadPriority priority = ReadPriority::prompt;
    Position position{};
  };

  [[nodiscard]] Line& waiting(ReadPriority priority) { return lines_[static_cast<std::size_t>(priority)]; }
  [[nodiscard]] const Line& waiting(ReadPriority priority) const {
    return lines_[static_cast<std::size_t>(priority)];
  }

  Line lines_[2];  // by priority
  std::unordered_map<const Stream*, Place> places_;
  Position last_position_{};
  core::Time previous_poll_{};
};

}  // namespace bellstair::net
