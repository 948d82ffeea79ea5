// Engines that have just started: how much all gateways together may send them.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr double kAdmittedOverloadShare = 0.8;       // of what tips it over, for turns of all gateways together
constexpr Time kAdmissionSlot = 1s;              // how long a turn can be used
constexpr double kMaxSlotDrawSeconds = 0.1;       // s; time without a call of its own brings a gateway no turns
constexpr double kCapacityPerCore = 0.85;  // core-seconds a second for each core: what "capacity" stands for
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
  return engine.slow_start_since > Time::zero() && now_ < engine.slow_start_since + settings_.slow_start_duration;
}

// Least share of its capacity an engine has had over the last `back`.
double Gateway::Impl::capacity_share(const Engine& engine, Time back) const {
  if (!in_slow_start(engine)) return 1;
  const double age =
      std::max(0.0, to_seconds(now_ - engine.slow_start_since - back)) / to_seconds(settings_.slow_start_duration);
  return settings_.slow_start_initial_share + (1 - settings_.slow_start_initial_share) * std::min(1.0, age);
}

// To the rule on cold engines each query weighs its class's usual work: a small one is charged no less.
double Gateway::Impl::slow_start_work(const Request& request) const {
  return expected_work(request) * std::max(1.0, 1 / request.relative_size);
}

// An even share of what tips a cold engine over may hold no query, so gateways have turns at moments drawn
// from their seeds, all together under a part of the whole; one not used is lost, so that none are saved
// up.
bool Gateway::Impl::slow_start_allows(const Request& request, const Engine& engine) const {
  if (settings_.overload_multiple <= 0 || !in_slow_start(engine)) return true;
  return now_ < engine.admission_until && slow_start_work(request) <= engine.admission_work_left;
}

double Gateway::Impl::max_class_work() const {
  return std::ranges::max_element(classes_, {}, &ClassState::mean_work)->mean_work;
}

void Gateway::Impl::draw_admission_slots(double passed) {
  for (auto* engine : ready_engines_) {
    if (settings_.overload_multiple <= 0 || !in_slow_start(*engine)) continue;
    const double share = kAdmittedOverloadShare * settings_.overload_multiple * capacity_share(*engine, settings_.overload_window) *
                         kCapacityPerCore * engine_cores(*engine) / settings_.gateways;  // core-seconds a second
    const double work = std::max(max_class_work(), share * to_seconds(kAdmissionSlot));
    if (random_unit() >= std::min(passed, kMaxSlotDrawSeconds) * share / work) continue;
    engine->admission_until = now_ + kAdmissionSlot;
    engine->admission_work_left = work;
    admitted_engines_.push_back(engine);
  }
}

}  // namespace heronwell
