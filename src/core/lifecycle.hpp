// The phases of the program, from start to exit.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

// Phases only advance, in this order.
enum class Phase {
  starting,  // until the fronts listen and an engine is known
  serving,   // ready for clients
  draining,  // asked to stop: still accepts and answers requests, but is reported as not ready
  stopping,  // everything is answered, the remaining output is being written
  exited
};

// The phase's name in the log.
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

// The phase state machine:
//   starting -> serving: the fronts listen, and an engine is known or kMaxStartupWait has passed;
//   starting or serving -> draining: on a request to stop;
//   draining -> stopping: after kMinDrainTime, once no accepted request is unanswered and none is being
//   received,
//     or once drain_expired() and no accepted request is unanswered;
//   stopping -> exited: once all output is written, or after kMaxFlushTime.
// All times are on one monotonic clock.
class Lifecycle {
 public:
  // Clients may open connections and send requests for up to 0.7 s after the request to stop.
  static constexpr Time kMinDrainTime = std::chrono::milliseconds(800);
  // The platform kills the program no earlier than 0.7 s plus the longest request timeout of any class after
  // the request to stop; a timeout longer than kMaxDrainTimeout counts as kMaxDrainTimeout. Requests that are
  // unanswered 0.4 s before that are cancelled, so that clients receive the answer and can retry elsewhere.
  static constexpr Time kMaxDrainTimeout = std::chrono::seconds(3);
  static constexpr Time kDrainMargin = std::chrono::milliseconds(300);
  // After this the program is ready even if no engine is known: clients give up for good on a program that
  // isn't ready, whereas a rejected request tells them when to retry.
  static constexpr Time kMaxStartupWait = std::chrono::seconds(3);
  // Limit for writing the remaining output and sending the remaining cancellations to engines.
  static constexpr Time kMaxFlushTime = std::chrono::milliseconds(300);

  // `max_request_timeout`: the longest request timeout of any class.
  explicit Lifecycle(Time max_request_timeout = kMaxDrainTimeout)
      : max_drain_time_(std::min(max_request_timeout, kMaxDrainTimeout) + kDrainMargin) {}

  // All fronts accept connections.
  void set_listening() { listening_ = true; }
  // At least one engine is known to be ready.
  void set_engine_known() { engine_known_ = true; }
  // Starts to drain, unless the program drains or stops already.
  void request_stop(Time now) {
    if (phase_ != Phase::starting && phase_ != Phase::serving) return;
    phase_ = Phase::draining;
    phase_entered_at_ = now;
  }
  // Advances by one phase if that is due, and returns whether it did. `unanswered`: some request has no
  // answer yet; `output_pending`: some output is not written yet; `input_pending`: part of a request has been
  // received, and the rest may follow. Never advances by two phases, since the
  // answers to requests that are cancelled as one phase ends are written in the next.
  bool advance(Time now, bool unanswered, bool output_pending, bool input_pending = false) {
    if (!started_at_) started_at_ = now;
    const Phase next = next_phase(now, unanswered || (input_pending && !drain_expired(now)), output_pending);
    if (next == phase_) return false;
    phase_ = next;
    if (next == Phase::stopping) phase_entered_at_ = now;
    return true;
  }

  [[nodiscard]] Phase phase() const { return phase_; }
  // Requests that are still unanswered must be cancelled now.
  [[nodiscard]] bool drain_expired(Time now) const {
    return phase_ == Phase::draining && now >= phase_entered_at_ + max_drain_time_;
  }
  // While it drains: until when clients may begin to send requests.
  [[nodiscard]] Time min_drain_end() const { return phase_entered_at_ + kMinDrainTime; }
  // The result of the readiness check.
  [[nodiscard]] bool ready() const { return phase_ == Phase::serving; }
  // New requests are rejected: the program would exit before they were answered.
  [[nodiscard]] bool stopped_accepting() const { return phase_ >= Phase::stopping; }

 private:
  [[nodiscard]] Phase next_phase(Time now, bool drains, bool output_pending) const {
    switch (phase_) {
      case Phase::starting:
        return listening_ && (engine_known_ || now >= *started_at_ + kMaxStartupWait) ? Phase::serving
                                                                                      : phase_;
      case Phase::draining:
        return !drains && now >= phase_entered_at_ + kMinDrainTime ? Phase::stopping : phase_;
      case Phase::stopping:
        return !output_pending || now >= phase_entered_at_ + kMaxFlushTime ? Phase::exited : phase_;
      case Phase::serving:
      case Phase::exited:
        break;
    }
    return phase_;
  }

  Phase phase_ = Phase::starting;
  bool listening_ = false, engine_known_ = false;
  std::optional<Time> started_at_;            // the first call of advance()
  Time phase_entered_at_{}, max_drain_time_;  // phase_entered_at_: set for draining and stopping only
};

}  // namespace bellstair::core
