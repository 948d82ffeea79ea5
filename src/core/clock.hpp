// The program's clocks. All durations (deadlines, timers, grace periods and so on) are measured on the
// monotonic clock.
#pragma once

#include <time.h>

#include <chrono>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

// Monotonic time: nanoseconds since a fixed point long before the system started. It never jumps. No reading
// is near zero, since a stored Time of zero means "never".
[[nodiscard]] inline Time monotonic_now() {
  constexpr Time kOrigin = std::chrono::hours(24 * 365);
  return kOrigin + std::chrono::steady_clock::now().time_since_epoch();
}

// Wall-clock time: nanoseconds since the Unix epoch. It may jump forward or back at any time, so it is only
// used for timestamps from other machines.
[[nodiscard]] inline Time wall_now() { return std::chrono::system_clock::now().time_since_epoch(); }

// Processor time that the calling thread has used since it started.
[[nodiscard]] inline Time thread_cpu_time() {
  timespec used{};
  if (::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0) return Time::zero();
  return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

// For the event loop, whose timers count in seconds.
[[nodiscard]] constexpr double seconds(Time time) { return std::chrono::duration<double>(time).count(); }

}  // namespace bellstair::core
