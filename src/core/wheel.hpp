// A hashed timer wheel with a coarse tick. Arming a timer costs O(1); a tick visits one slot.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

// Timers can't be cancelled: the callback checks whether the timer still applies. `Key` is passed to it.
template <class Key>
class TimerWheel {
 public:
  // `tick`: the resolution; greater than 0.
  explicit TimerWheel(Time tick) : tick_(tick) {}

  // The timer fires in the first advance() that reaches `at`, rounded up to a whole tick, and never earlier.
  // A timer for the past fires at the next tick.
  void arm(Time at, Key key) {
    const auto due =
        std::max(at.count() / tick_.count() + (at.count() % tick_.count() != 0 ? 1 : 0), next_tick_);
    slots_[static_cast<std::size_t>(due) % kSlots].push_back({due, std::move(key)});
    ++armed_;
  }

  // Calls `fire(key)` for every timer that is due at `now`. `fire` may arm further timers.
  template <class Fire>
  void advance(Time now, Fire fire) {
    const auto target = now.count() / tick_.count();
    if (target < next_tick_) return;
    // After a long pause one revolution visits every slot, since timers are compared with the target tick.
    const auto from = std::max(next_tick_, target - kTicksPerRevolution + 1);
    next_tick_ = target + 1;
    for (auto at = from; at <= target; ++at) {
      auto& slot = slots_[static_cast<std::size_t>(at) % kSlots];
      if (slot.empty()) continue;
      due_.clear();
      std::size_t kept = 0;
      for (auto& entry : slot) {
        if (entry.first <= target) {
          due_.push_back(std::move(entry.second));
        } else {
          if (&slot[kept] != &entry) slot[kept] = std::move(entry);
          ++kept;
        }
      }
      slot.resize(kept);
      armed_ -= due_.size();
      for (std::size_t i = 0; i < due_.size(); ++i) fire(due_[i]);
    }
  }

  // The number of timers that have not fired.
  [[nodiscard]] std::size_t armed() const { return armed_; }

 private:
  static constexpr std::size_t kSlots = 1024;
  static constexpr std::int64_t kTicksPerRevolution = kSlots;
  Time tick_;
  std::int64_t next_tick_ = 0;  // the first tick that was not visited yet
  std::size_t armed_ = 0;
  // The timers by due tick modulo kSlots, as pairs of due tick and key.
  std::array<std::vector<std::pair<std::int64_t, Key>>, kSlots> slots_;
  std::vector<Key> due_;  // reused by advance() to save allocations
};

}  // namespace bellstair::core
