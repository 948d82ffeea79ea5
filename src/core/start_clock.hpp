// Translates the Unix times at which engines started to the monotonic clock, on a machine whose wall clock
// may be wrong.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

#include "core/clock.hpp"

namespace bellstair::core {

// Keeps the offset between the two clocks. It is read once, when the program starts, and corrected when a
// reported engine start contradicts it: an engine can't have started after its start was reported, and a
// start that the change log reports as a new event can't lie long before the time at which the change log was
// last known to have no newer event. Where the true offset remains uncertain, engines seem to have started
// later than they did, and receive less load than they could take.
class StartClock {
 public:
  // A start may be reported this long after it took place.
  static constexpr Time kMaxReportDelay = std::chrono::seconds(10);
  // If the system's offset makes the newest start of the initial membership older than this, that offset is
  // not used.
  static constexpr Time kMaxPlausibleAge = std::chrono::minutes(2);

  // `offset`: Unix time minus monotonic time, by the system's clocks.
  explicit StartClock(Time offset) : system_offset_(offset), offset_(offset) {}

  // Translates Unix time `start`, which is not negative, to the monotonic clock. Not negative either.
  [[nodiscard]] Time to_monotonic(Time start) const { return std::max(Time::zero(), start - offset_); }

  // The change log has reported at monotonic time `now` that it has no newer event.
  void set_caught_up(Time now) { caught_up_at_ = now; }

  // A start (Unix time) in the membership from before the program started. Returns whether the translation
  // has changed.
  bool observe_initial(Time now, Time start) {
    newest_initial_start_ = std::max(newest_initial_start_, start);
    const Time age = now + system_offset_ - newest_initial_start_;
    const bool plausible = age >= Time::zero() && age <= kMaxPlausibleAge;
    return set_offset(plausible ? system_offset_ : newest_initial_start_ - now);
  }

  // A start (Unix time) that the change log has just reported. Returns whether the translation has changed.
  bool observe_live(Time now, Time start) {
    const Time translated = start - offset_;
    const bool too_old = caught_up_at_ && translated + kMaxReportDelay < *caught_up_at_;
    return translated > now || too_old ? set_offset(start - now) : false;
  }

 private:
  bool set_offset(Time offset) { return std::exchange(offset_, offset) != offset; }

  Time system_offset_, offset_, newest_initial_start_{};
  std::optional<Time> caught_up_at_;  // none: the change log has not been read to its end yet
};

}  // namespace bellstair::core
