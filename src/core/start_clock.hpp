// Translates the Unix times at which engines started to the monotonic clock, on a machine whose own wall
// clock may be wrong.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "core/clock.hpp"

namespace bellstair::core {

// The difference between the two clocks is read once, at the program's start. It is corrected where starts
// that the change log tells contradict it: no engine started after it was told of, and what the log tells
// anew did not start long before the log was last known to have nothing newer. An error in doubt makes
// engines seem to have started later than they did, so that they get less than they could take.
class StartClock {
 public:
  // Reports of a start may be so late.
  static constexpr Time kMostReportDelay = std::chrono::seconds(10);
  // A difference that makes the newest start known at the program's start older than this is not believed.
  static constexpr Time kMostBelievedAge = std::chrono::minutes(2);

  // `offset`: Unix time less monotonic time, by the machine's own clock.
  explicit StartClock(Time offset) : machine_offset_(offset), offset_(offset) {}

  // All times are zero or positive; `start` is Unix time.
  [[nodiscard]] Time monotonic(Time start) const { return std::max(Time::zero(), start - offset_); }

  // The change log has said that it has nothing newer.
  void caught_up(Time now) { caught_up_ = now; }

  // A start in the list as it was before the program began. True: the translation has changed.
  bool known_at_start(Time now, Time start) {
    newest_known_ = std::max(newest_known_, start);
    const Time age = now + machine_offset_ - newest_known_;
    const bool believed = age >= Time::zero() && age <= kMostBelievedAge;
    return correct(believed ? machine_offset_ : newest_known_ - now);
  }

  // A start that the change log has told just now. True: the translation has changed.
  bool told(Time now, Time start) {
    const Time translated = start - offset_;
    const bool too_old = caught_up_ && translated + kMostReportDelay < *caught_up_;
    return translated > now || too_old ? correct(start - now) : false;
  }

 private:
  bool correct(Time offset) { return std::exchange(offset_, offset) != offset; }

  Time machine_offset_, offset_, newest_known_{};
  std::optional<Time> caught_up_;
};

}  // namespace bellstair::core
