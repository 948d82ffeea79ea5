// Lines in the log for requests that were not served, a bounded number in each second.
#pragma once

#include <cstddef>
#include <utility>

#include "core/clock.hpp"

namespace bellstair::core {

// Lets so many lines a second pass and counts the others.
class LineBudget {
 public:
  static constexpr std::size_t kLinesPerSecond = 20;

  // True: the line may be written. `now` is monotonic.
  bool take(Time now) {
    if (now >= since_ + std::chrono::seconds(1)) {
      since_ = now;
      lines_ = 0;
    }
    if (lines_ >= kLinesPerSecond) {
      ++left_out_;
      return false;
    }
    ++lines_;
    return true;
  }
  // Lines that did not pass since this was last asked.
  std::size_t take_left_out() { return std::exchange(left_out_, 0); }

 private:
  Time since_{};
  std::size_t lines_ = 0, left_out_ = 0;
};

}  // namespace bellstair::core
