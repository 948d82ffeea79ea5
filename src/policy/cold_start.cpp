// Engines that have just started: how much all gateways together may send them.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr double kTurnPart = 0.8;       // of what tips it over, for turns of all gateways together
constexpr Time kTurn = 1s;              // how long a turn can be used
constexpr double kTurnStep = 0.1;       // s; time without a call of its own brings a gateway no turns
constexpr double kFullCapacity = 0.85;  // core-seconds a second for each core: what "capacity" stands for
}  // namespace

void Gateway::Impl::begin_cold(Engine& engine, Time since) {
  engine.slow_start_since = since;
  engine.connection_broken_at = Time::zero();
  engine.health = Health::healthy;
  engine.error_rate = 0;
  engine.latency_ratio = 1;
  engine.ejection_time = Time::zero();
}

bool Gateway::Impl::cold(const Engine& engine) const {
  return engine.slow_start_since > Time::zero() && now_ < engine.slow_start_since + s_.slow_start_duration;
}

// Least share of its capacity an engine has had over the last `back`.
double Gateway::Impl::warmth(const Engine& engine, Time back) const {
  if (!cold(engine)) return 1;
  const double age =
      std::max(0.0, to_seconds(now_ - engine.slow_start_since - back)) / to_seconds(s_.slow_start_duration);
  return s_.slow_start_initial_share + (1 - s_.slow_start_initial_share) * std::min(1.0, age);
}

// To the rule on cold engines each query weighs its class's usual work: a small one is charged no less.
double Gateway::Impl::cold_work(const Request& request) const {
  return work(request) * std::max(1.0, 1 / request.relative_size);
}

// An even share of what tips a cold engine over may hold no query, so gateways have turns at moments drawn
// from their seeds, all together under a part of the whole; one not used is lost, so that none are saved
// up.
bool Gateway::Impl::cold_room(const Request& request, const Engine& engine) const {
  if (s_.overload_multiple <= 0 || !cold(engine)) return true;
  return now_ < engine.admission_until && cold_work(request) <= engine.admission_work_left;
}

double Gateway::Impl::heaviest() const {
  return std::ranges::max_element(classes_, {}, &ClassState::mean_work)->mean_work;
}

void Gateway::Impl::draw_turns(double passed) {
  for (auto* engine : ready_) {
    if (s_.overload_multiple <= 0 || !cold(*engine)) continue;
    const double share = kTurnPart * s_.overload_multiple * warmth(*engine, s_.overload_window) *
                         kFullCapacity * cores(*engine) / s_.gateways;  // core-seconds a second
    const double work = std::max(heaviest(), share * to_seconds(kTurn));
    if (drawn() >= std::min(passed, kTurnStep) * share / work) continue;
    engine->admission_until = now_ + kTurn;
    engine->admission_work_left = work;
    invited_.push_back(engine);
  }
}

}  // namespace heronwell
