// Test harness of the decision module: a gateway on a simulated clock, the actions that it has emitted so
// far, and helpers that build settings and events.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "heronwell/gateway.hpp"

namespace heronwell::test {

using namespace std::chrono_literals;

// One gateway, two kinds of engine with 4 cores and 8192 MB each, and three classes: safe (index 0), unsafe
// (1) and keyed (2), whose latency targets are 1, 2 and 3 s. Cancellation is available; probes, peer
// messages, hedged attempts and progress reports are not. Tests change single fields.
inline Settings base_settings() {
  Settings settings;
  settings.gateways = 1;
  settings.max_attempts = 3;
  settings.sends_retry_after = true;
  settings.max_retry_after = 500ms;
  settings.can_cancel = true;
  settings.kinds = {{"one", 4, 8192}, {"two", 4, 8192}};
  ClassSettings safe_class;
  safe_class.name = "safe";
  safe_class.latency_target = 1s;
  safe_class.request_timeout = 5s;
  ClassSettings unsafe_class = safe_class;
  unsafe_class.name = "unsafe";
  unsafe_class.latency_target = 2s;
  unsafe_class.idempotency = Idempotency::unsafe;
  ClassSettings keyed_class = safe_class;
  keyed_class.name = "keyed";
  keyed_class.latency_target = 3s;
  keyed_class.idempotency = Idempotency::keyed;
  keyed_class.deduplication_scope = DeduplicationScope::zone;
  keyed_class.deduplication_window = 2s;
  settings.classes = {safe_class, unsafe_class, keyed_class};
  settings.slow_start_initial_share = 0.4;
  settings.slow_start_duration = 10s;
  settings.overload_multiple = 2.5;
  settings.overload_window = 2s;
  settings.drain_grace = 500ms;
  return settings;
}

// Passes events to a gateway and records its actions. The clock moves only with handle_at() and run_until();
// a test that sets `now` itself simulates a gateway that was not called meanwhile.
class GatewayHarness {
 public:
  explicit GatewayHarness(Settings settings, std::uint64_t seed = 1) : gateway(std::move(settings), seed) {}

  // Sets the clock to `time`, which must not be before now, passes `events` in one call, records the actions
  // and returns them.
  std::vector<Action> handle_at(Time time, std::vector<Event> events) {
    now = time;
    std::vector<Action> actions;
    gateway.handle(now, events, actions);
    for (const auto& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) sends.push_back(*send);
      if (std::holds_alternative<SetTimer>(action)) next_timer = now + std::get<SetTimer>(action).delay;
      if (const auto* reject = std::get_if<Reject>(&action)) ++rejections[reject->request];
      if (const auto* fail = std::get_if<Fail>(&action)) ++failures[fail->request];
      if (const auto* cancel = std::get_if<CancelAttempt>(&action))
        cancelled_attempts.emplace_back(cancel->request, cancel->attempt);
    }
    return actions;
  }
  // Advances the clock to `time`, with a TimerExpired whenever the gateway's timer is due, and a call without
  // events at the end.
  void run_until(Time time) {
    while (next_timer <= time) handle_at(next_timer, {TimerExpired{}});
    handle_at(time, {});
  }
  // Passes a membership update at the current time.
  void update_membership(std::vector<EngineEntry> engines,
                         MembershipUpdateKind kind = MembershipUpdateKind::full) {
    handle_at(now, {MembershipUpdate{kind, std::move(engines)}});
  }
  // Passes the arrival of a request at the current time. `order_key` 0: no order key.
  void submit_request(RequestId request, ClassIndex class_index, Time time_left = 5s,
                      std::uint64_t order_key = 0, std::int64_t data_group = 1) {
    Arrival arrival;
    arrival.request = request;
    arrival.class_index = class_index;
    arrival.time_left = time_left;
    arrival.order_key = order_key;
    arrival.data_group = data_group;
    handle_at(now, {arrival});
  }
  // Passes the result of an attempt at the current time; only a served one closes its request. The engine
  // reports no load, work or memory.
  void end_attempt(RequestId request, AttemptIndex attempt, EngineId engine, AttemptStatus status,
                   Time latency = 100ms) {
    AttemptResult attempt_result;
    attempt_result.request = request;
    attempt_result.attempt = attempt;
    attempt_result.engine = engine;
    attempt_result.status = status;
    attempt_result.latency = latency;
    attempt_result.request_closed = status == AttemptStatus::served;
    handle_at(now, {attempt_result});
  }
  // Number of attempts of a request that the gateway has sent so far.
  [[nodiscard]] int sends_for_request(RequestId request) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [request](auto& send) { return send.request == request; }));
  }
  // Number of attempts that the gateway has sent to an engine so far.
  [[nodiscard]] int sends_to_engine(EngineId engine) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [engine](auto& send) { return send.engine == engine; }));
  }
  // Number of final replies without a result: rejections and failures.
  [[nodiscard]] int error_replies(RequestId request) { return rejections[request] + failures[request]; }

  Gateway gateway;
  Time now{100s};
  Time next_timer{1000000s};  // when the latest SetTimer is due; at first later than any test runs
  std::vector<Send> sends;    // in the order in which they were emitted
  std::map<RequestId, int> rejections, failures;  // number of Reject and Fail actions of each request
  std::vector<std::pair<RequestId, AttemptIndex>> cancelled_attempts;
};

// Membership entry of a ready engine that started long ago. Its cell has the number of its zone.
inline EngineEntry engine_entry(EngineId engine, std::uint16_t zone = 0, std::uint16_t kind = 0) {
  EngineEntry entry;
  entry.engine = engine;
  entry.zone = zone;
  entry.kind = kind;
  entry.cell = zone;
  return entry;
}

// Returns `entry` with another state.
inline EngineEntry with_state(EngineEntry entry, EngineState state) {
  entry.state = state;
  return entry;
}

}  // namespace heronwell::test
