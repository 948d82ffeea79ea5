// The clocks of the program. Every span (deadlines, timers, windows, graces) is measured on the monotonic
// one.
#pragma once

#include <chrono>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

// Nanoseconds since a fixed moment before the system's start. Never steps. The moment lies so far back that
// no reading is near zero, which stands for "never" wherever a Time is remembered.
[[nodiscard]] inline Time monotonic_now() {
  constexpr Time kOrigin = std::chrono::hours(24 * 365);
  return kOrigin + std::chrono::steady_clock::now().time_since_epoch();
}

// Nanoseconds since the Unix epoch. May step either way at any time: only for moments that other machines
// tell.
[[nodiscard]] inline Time wall_now() { return std::chrono::system_clock::now().time_since_epoch(); }

}  // namespace bellstair::core
