// The phases of the program, from start to exit.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

enum class Phase { starting, serving, draining, stopping, exited };

[[nodiscard]] constexpr const char* name(Phase phase) {
  switch (phase) {
    case Phase::starting:
      return "starting";
    case Phase::serving:
      return "serving";
    case Phase::draining:
      return "draining";
    case Phase::stopping:
      return "stopping";
    case Phase::exited:
      return "exited";
  }
  return "?";
}

// starting -> serving once the fronts listen and an engine is known, or can't be had for long; any of both ->
// draining on a request to stop; draining -> stopping once clients have had time to turn away and nothing
// taken is unanswered; stopping -> exited once all that is left has been written.
class Lifecycle {
 public:
  // After the request to stop, connections and requests go on coming for 0.7 s at the most.
  static constexpr Time kLinger = std::chrono::milliseconds(800);
  // The platform kills the program so long after the request to stop at the earliest: the longest deadline of
  // any class, or this where that is longer, and 0.7 s. What is not answered 0.4 s before is given up, in
  // time for clients to hear of it and to ask elsewhere.
  static constexpr Time kLongestDeadline = std::chrono::seconds(3);
  static constexpr Time kToSpare = std::chrono::milliseconds(300);
  // Not to be ready turns clients away for good; with no engine known they are refused, and told when to
  // come.
  static constexpr Time kMostStart = std::chrono::seconds(3);
  // What is left to write, and what engines still have to be told, gets this long.
  static constexpr Time kFlush = std::chrono::milliseconds(300);

  explicit Lifecycle(Time longest_deadline = kLongestDeadline)
      : most_drain_(std::min(longest_deadline, kLongestDeadline) + kToSpare) {}

  void listening() { listening_ = true; }
  void fleet_known() { fleet_known_ = true; }
  void stop(Time now) {
    if (phase_ != Phase::starting && phase_ != Phase::serving) return;
    phase_ = Phase::draining;
    since_ = now;
  }
  // Moves on by one phase, if what is unanswered (`owed`) and unwritten allows. True if the phase has
  // changed. Never by two: what is given up as one phase ends still has to be written in the next.
  bool advance(Time now, bool owed, bool unwritten) {
    if (!begun_) begun_ = now;
    const Phase next = next_phase(now, owed, unwritten);
    if (next == phase_) return false;
    phase_ = next;
    if (next == Phase::stopping) since_ = now;
    return true;
  }

  [[nodiscard]] Phase phase() const { return phase_; }
  [[nodiscard]] bool overdue(Time now) const {
    return phase_ == Phase::draining && now >= since_ + most_drain_;
  }
  [[nodiscard]] bool green() const { return phase_ == Phase::serving; }
  // Too late for another request to be sent on: the program would end before its answer came.
  [[nodiscard]] bool closed() const { return phase_ >= Phase::stopping; }

 private:
  [[nodiscard]] Phase next_phase(Time now, bool owed, bool unwritten) const {
    switch (phase_) {
      case Phase::starting:
        return listening_ && (fleet_known_ || now >= *begun_ + kMostStart) ? Phase::serving : phase_;
      case Phase::draining:
        return !owed && now >= since_ + kLinger ? Phase::stopping : phase_;
      case Phase::stopping:
        return !unwritten || now >= since_ + kFlush ? Phase::exited : phase_;
      case Phase::serving:
      case Phase::exited:
        break;
    }
    return phase_;
  }

  Phase phase_ = Phase::starting;
  bool listening_ = false, fleet_known_ = false;
  std::optional<Time> begun_;
  Time since_{}, most_drain_;
};

}  // namespace bellstair::core
