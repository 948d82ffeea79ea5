// Decides in which order connections are read and how much is read from each, so that a few busy peers can't
// keep the event loop from everything else.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

#include "core/clock.hpp"

namespace bellstair::net {

class Stream;

// prompt: read as soon as it becomes readable. deferred: in one line with prompt, but as if its bytes had
// been received ReadQueue::kDeferral later. normal: for peers that send much. bulk: for peers whose input can
// wait.
enum class ReadPriority { prompt, deferred, normal, bulk };

// When the bytes that were read from a stream were received: all within this span, and the last bytes of the
// stream at its end. On the monotonic clock.
struct Arrival {
  core::Time begin{}, end{};
  // Of two streams, the one whose first bytes were received earlier has the lower number, as far as the
  // system tells. Turns of one stream have the same number until it has been read to its end.
  std::int64_t report = 0;
};

// The streams that are readable and have not been read to their end, in three lines (prompt with deferred,
// normal, bulk), each in the order in which their bytes were received. The event loop reports a stream that
// has not been read again and again, so nothing is lost if it waits here.
class ReadQueue {
 public:
  // Less than clients wait before they send a second request of a key after one on a new connection, so that
  // such requests are read in their order.
  static constexpr core::Time kDeferral = std::chrono::milliseconds(75);
  // Input that has been unread for longer may be a cancellation, or hide that the peer has gone, for too
  // long: no attempt may begin 100 ms after that.
  static constexpr core::Time kMaxUnreadTime = std::chrono::milliseconds(50);

  // To be called after each poll of the event loop, before the streams that it reports are added. Both times
  // are on the monotonic clock: of the poll before, and of this one.
  void on_poll(core::Time previous, core::Time now);
  // Adds a stream that is readable, with its priority. Does nothing if it waits already.
  void add(Stream& stream);
  // Forgets a stream that is closed.
  void remove(const Stream& stream);
  // Whether the stream has input that has not been read.
  [[nodiscard]] bool waits(const Stream& stream) const;
  // Of the line of streams with this priority.
  [[nodiscard]] bool empty(ReadPriority priority) const { return waiting(priority).empty(); }
  [[nodiscard]] std::size_t size(ReadPriority priority) const { return waiting(priority).size(); }
  // Whether some waiting stream of this priority has input that was received before this time.
  [[nodiscard]] bool has_input_from_before(core::Time time, ReadPriority priority) const;
  // Whether this stream has input that has not been read and may have been received before this time.
  [[nodiscard]] bool has_input_from_before(core::Time time, const Stream& stream) const;
  // Lets the first stream in the line of this priority have its turn; there must be one. If it has more to
  // read, it waits again. Returns when what it has read was received.
  Arrival read_next(ReadPriority priority);

 private:
  struct Waiting {
    Stream* stream = nullptr;
    Arrival arrival;
  };
  using Position =
      std::pair<core::Time, std::int64_t>;  // the end of its arrival, deferred or not, its report
  using Line = std::map<Position, Waiting>;
  struct StreamState {
    ReadPriority priority = ReadPriority::prompt;  // with which it waits
    std::optional<Position> position;              // none: it doesn't wait
    Arrival last_arrival;
    bool drained = true;  // nothing was left unread when it was read last
  };

  [[nodiscard]] static std::size_t line_index(ReadPriority priority) {
    return static_cast<std::size_t>(priority == ReadPriority::deferred ? ReadPriority::prompt : priority);
  }
  [[nodiscard]] Line& waiting(ReadPriority priority) { return lines_[line_index(priority)]; }
  [[nodiscard]] const Line& waiting(ReadPriority priority) const { return lines_[line_index(priority)]; }
  // Lets the stream wait. `report`: see Arrival.
  void enqueue(Stream& stream, StreamState& state, std::int64_t report);

  std::array<Line, 4> lines_;  // by priority
  std::unordered_map<const Stream*, StreamState> streams_;
  core::Time previous_poll_{}, last_poll_{};
  std::int64_t polls_ = 0, reports_ = 0;  // reports_: streams added since the last poll
};

}  // namespace bellstair::net
