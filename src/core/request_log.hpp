// Rate limit for the log lines on requests that were not served.
#pragma once

#include <cstddef>
#include <utility>

#include "core/clock.hpp"

namespace bellstair::core {

// Allows a fixed number of log lines a second and counts the suppressed ones.
class LogRateLimiter {
 public:
  static constexpr std::size_t kMaxLinesPerSecond = 20;

  // Returns whether a line may be written at monotonic time `now`, and counts it.
  bool allow(Time now) {
    if (now >= interval_start_ + std::chrono::seconds(1)) {
      interval_start_ = now;
      lines_ = 0;
    }
    if (lines_ >= kMaxLinesPerSecond) {
      ++suppressed_;
      return false;
    }
    ++lines_;
    return true;
  }
  // The number of lines suppressed since the last call.
  std::size_t take_suppressed() { return std::exchange(suppressed_, 0); }

 private:
  Time interval_start_{};
  std::size_t lines_ = 0, suppressed_ = 0;
};

}  // namespace bellstair::core
