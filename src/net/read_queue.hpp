// Decides in which order connections are read and how much is read from each, so that a few busy peers can't
// keep the event loop from everything else.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/clock.hpp"

namespace bellstair::net {

class Stream;

// prompt: read as soon as it becomes readable. bulk: read with what time is left, for peers whose input can
// wait.
enum class ReadPriority { prompt, bulk };

// When the bytes that were read from a stream were received: all within this span, and the last of them at
// its end. On the monotonic clock.
struct Arrival {
  core::Time begin{}, end{};
  // Of two streams, the one whose first bytes were received earlier has the lower number, as far as the
  // system tells.
  std::int64_t report = 0;
};

// The streams that are readable and have not been read yet, by priority in the order in which their bytes
// were received. The event loop reports a stream that has not been read again and again, so nothing is lost
// if it waits here.
class ReadQueue {
 public:
  // To be called after each poll of the event loop, before the streams that it reports are added. Both times
  // are on the monotonic clock: of the poll before, and of this one.
  void on_poll(core::Time previous, core::Time now);
  // Adds a stream that is readable. Does nothing if it waits already.
  void add(Stream& stream, ReadPriority priority);
  // Forgets a stream that is closed.
  void remove(const Stream& stream);
  [[nodiscard]] bool empty(ReadPriority priority) const { return waiting(priority).empty(); }
  [[nodiscard]] std::size_t size(ReadPriority priority) const { return waiting(priority).size(); }
  // Reads from the first stream of this priority; there must be one. Returns when what it has read was
  // received. What is read from one stream later was not received earlier by this.
  Arrival read_next(ReadPriority priority);

 private:
  struct Waiting {
    Stream* stream = nullptr;
    Arrival arrival;
  };
  using Position = std::pair<core::Time, std::int64_t>;  // the end of its arrival, its report
  using Line = std::map<Position, Waiting>;
  struct StreamState {
    ReadPriority priority = ReadPriority::prompt;
    std::optional<Position> position;  // none: it doesn't wait
    core::Time last_arrival{};
    bool drained = true;  // nothing was left unread when it was read last
  };

  [[nodiscard]] Line& waiting(ReadPriority priority) { return lines_[static_cast<std::size_t>(priority)]; }
  [[nodiscard]] const Line& waiting(ReadPriority priority) const {
    return lines_[static_cast<std::size_t>(priority)];
  }

  std::array<Line, 2> lines_;  // by priority
  std::unordered_map<const Stream*, StreamState> streams_;
  core::Time previous_poll_{}, last_poll_{};
  std::int64_t polls_ = 0, reports_ = 0;  // reports_: streams added since the last poll
};

}  // namespace bellstair::net
