// A gateway on a hand-driven clock, and what it has done so far.
#pragma once

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "heronwell/gateway.hpp"

namespace heronwell::test {

using namespace std::chrono_literals;

inline Settings base_settings() {
  Settings s;
  s.gateways = 1;
  s.max_attempts = 3;
  s.sends_retry_after = true;
  s.max_retry_after = 500ms;
  s.can_cancel = true;
  s.kinds = {{"one", 4, 8192}, {"two", 4, 8192}};
  ClassSettings quick;
  quick.name = "quick";
  quick.latency_target = 1s;
  quick.request_timeout = 5s;
  ClassSettings once = quick;
  once.name = "once";
  once.latency_target = 2s;
  once.idempotency = Idempotency::unsafe;
  ClassSettings keyed = quick;
  keyed.name = "keyed";
  keyed.latency_target = 3s;
  keyed.idempotency = Idempotency::keyed;
  keyed.deduplication_scope = DeduplicationScope::zone;
  keyed.deduplication_window = 2s;
  s.classes = {quick, once, keyed};
  s.slow_start_initial_share = 0.4;
  s.slow_start_duration = 10s;
  s.overload_multiple = 2.5;
  s.overload_window = 2s;
  s.drain_grace = 500ms;
  return s;
}

class GatewayHarness {
 public:
  explicit GatewayHarness(Settings settings, std::uint64_t seed = 1) : gateway(std::move(settings), seed) {}

  std::vector<Action> handle_at(Time time, std::vector<Event> events) {
    now = time;
    std::vector<Action> out;
    gateway.handle(now, events, out);
    for (const auto& action : out) {
      if (const auto* send = std::get_if<Send>(&action)) sends.push_back(*send);
      if (std::holds_alternative<SetTimer>(action)) next_timer = now + std::get<SetTimer>(action).delay;
      if (const auto* refuse = std::get_if<Reject>(&action)) ++rejections[refuse->request];
      if (const auto* fail = std::get_if<Fail>(&action)) ++failures[fail->request];
      if (const auto* off = std::get_if<CancelAttempt>(&action))
        cancelled_attempts.emplace_back(off->request, off->attempt);
    }
    return out;
  }
  // Lets the clock run; wakes come when they were asked for.
  void run_until(Time time) {
    while (next_timer <= time) handle_at(next_timer, {TimerExpired{}});
    handle_at(time, {});
  }
  void update_membership(std::vector<EngineEntry> engines,
                         MembershipUpdateKind kind = MembershipUpdateKind::full) {
    handle_at(now, {MembershipUpdate{kind, std::move(engines)}});
  }
  void submit_request(RequestId id, ClassIndex cls, Time left = 5s, std::uint64_t key = 0,
                      std::int64_t group = 1) {
    Arrival a;
    a.request = id;
    a.class_index = cls;
    a.time_left = left;
    a.order_key = key;
    a.data_group = group;
    handle_at(now, {a});
  }
  void end_attempt(RequestId id, AttemptIndex n, EngineId engine, AttemptStatus result,
                   Time latency = 100ms) {
    AttemptResult o;
    o.request = id;
    o.attempt = n;
    o.engine = engine;
    o.status = result;
    o.latency = latency;
    o.request_closed = result == AttemptStatus::served;
    handle_at(now, {o});
  }
  [[nodiscard]] int sends_for_request(RequestId id) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [id](auto& s) { return s.request == id; }));
  }
  [[nodiscard]] int sends_to_engine(EngineId engine) const {
    return static_cast<int>(
        std::count_if(sends.begin(), sends.end(), [engine](auto& s) { return s.engine == engine; }));
  }
  [[nodiscard]] int error_replies(RequestId id) { return rejections[id] + failures[id]; }

  Gateway gateway;
  Time now{100s};
  Time next_timer{1000000s};
  std::vector<Send> sends;
  std::map<RequestId, int> rejections, failures;
  std::vector<std::pair<RequestId, AttemptIndex>> cancelled_attempts;
};

inline EngineEntry engine_entry(EngineId id, std::uint16_t zone = 0, std::uint16_t kind = 0) {
  EngineEntry e;
  e.engine = id;
  e.zone = zone;
  e.kind = kind;
  e.cell = zone;
  return e;
}

inline EngineEntry with_state(EngineEntry e, EngineState state) {
  e.state = state;
  return e;
}

}  // namespace heronwell::test
