// Slow start: how much all gateways together may send to engines that have just started.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
// The admission slots of all gateways add up to at most this share of the load that overloads an engine in
// slow start.
constexpr double kAdmittedOverloadShare = 0.8;
// How long an admission slot is valid.
constexpr Time kAdmissionSlot = 1s;
// Longest time that counts in one draw: a gateway that was paused has lost its slots of that time.
constexpr double kMaxSlotDrawSeconds = 0.1;
// Core-seconds a second that a core counts for in an engine's capacity.
constexpr double kCapacityPerCore = 0.85;
}  // namespace

void Gateway::Impl::begin_slow_start(Engine& engine, Time since) {
  engine.slow_start_since = since;
  engine.connection_broken_at = Time::zero();
  engine.health = Health::healthy;
  engine.error_rate = 0;
  engine.latency_ratio = 1;
  engine.ejection_time = Time::zero();
}

bool Gateway::Impl::in_slow_start(const Engine& engine) const {
  return engine.slow_start_since > Time::zero() &&
         now_ < engine.slow_start_since + settings_.slow_start_duration;
}

double Gateway::Impl::capacity_share(const Engine& engine, Time period) const {
  if (!in_slow_start(engine)) return 1;
  const double elapsed_share = std::max(0.0, to_seconds(now_ - engine.slow_start_since - period)) /
                               to_seconds(settings_.slow_start_duration);
  return settings_.slow_start_initial_share +
         (1 - settings_.slow_start_initial_share) * std::min(1.0, elapsed_share);
}

// The limit for engines in slow start counts each query with at least the mean work of its class, also a
// small one.
double Gateway::Impl::slow_start_work(const Request& request) const {
  return expected_work(request) * std::max(1.0, 1 / request.relative_size);
}

// An equal share for each gateway of what an engine in slow start can take may be too little for any query.
// So gateways get admission slots at random moments instead, which together stay below the limit. A slot that
// is not used is lost, so that none can be saved up.
bool Gateway::Impl::slow_start_allows(const Request& request, const Engine& engine) const {
  if (settings_.overload_multiple <= 0 || !in_slow_start(engine)) return true;
  return now_ < engine.admission_until && slow_start_work(request) <= engine.admission_work_left;
}

double Gateway::Impl::max_class_work() const {
  return std::ranges::max_element(classes_, {}, &ClassState::mean_work)->mean_work;
}

void Gateway::Impl::draw_admission_slots(double passed_seconds) {
  for (auto* engine : ready_engines_) {
    if (settings_.overload_multiple <= 0 || !in_slow_start(*engine)) continue;
    const double core_seconds_per_second = kAdmittedOverloadShare * settings_.overload_multiple *
                                           capacity_share(*engine, settings_.overload_window) *
                                           kCapacityPerCore * engine_cores(*engine) / settings_.gateways;
    const double slot_work = std::max(max_class_work(), core_seconds_per_second * to_seconds(kAdmissionSlot));
    if (random_unit() >= std::min(passed_seconds, kMaxSlotDrawSeconds) * core_seconds_per_second / slot_work)
      continue;
    engine->admission_until = now_ + kAdmissionSlot;
    engine->admission_work_left = slot_work;
    admitted_engines_.push_back(engine);
  }
}

}  // namespace heronwell
