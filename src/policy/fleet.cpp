// The membership: which engines there are, what they can take, and how slow they are.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
// A total thread budget for fewer queries of the largest class than this is too small to control classes by
// their budgets.
constexpr double kSmallBudgetQueries = 4;
// Upper limit of slowness().
constexpr double kMaxSlowness = 6.0;
}  // namespace

void Gateway::Impl::apply(const MembershipUpdate& update) {
  if (update.kind == MembershipUpdateKind::failed) membership_retry_at_ = now_ + 1s;
  if (update.kind == MembershipUpdateKind::full || update.kind == MembershipUpdateKind::cached) {
    for (auto& [id, engine] : engines_) engine.ready = false;
  }
  for (const auto& entry : update.engines) {
    auto& engine = engines_[entry.engine];
    if (entry.last_start > engine.entry.last_start) begin_slow_start(engine, entry.last_start);
    engine.entry = entry;
    engine.ready = entry.state == EngineState::ready && entry.kind < settings_.kinds.size();
  }
  fleet_changed_ = true;
}

void Gateway::Impl::apply(const MembershipConfirmed& confirmed) {
  membership_confirmed_at_ = std::max(membership_confirmed_at_, confirmed.at);
}

Time Gateway::Impl::membership_lease_end() const {
  return settings_.membership_lease > Time::zero() ? membership_confirmed_at_ + settings_.membership_lease
                                                   : Time::zero();
}

// An engine may have begun to drain, and this gateway would be held to that, without a way to know of it.
bool Gateway::Impl::membership_expired() const {
  return membership_lease_end() > Time::zero() && now_ >= membership_lease_end();
}

void Gateway::Impl::trace_membership_lease() {
  if (membership_expired() == membership_expiry_traced_) return;
  membership_expiry_traced_ = !membership_expiry_traced_;
  emit(Trace{membership_expiry_traced_ ? "the membership has expired: nothing is sent before it is confirmed"
                                       : "the membership is confirmed again"});
}

// Runs only when the membership or the health of an engine has changed, not in each call.
void Gateway::Impl::update_fleet() {
  fleet_changed_ = false;
  ready_engines_.clear();
  preferred_engines_.clear();
  total_thread_budget_ = fleet_cores_ = 0;
  const auto removed = [](const Engine* engine) { return !engine->ready && engine->in_flight.empty(); };
  std::erase_if(recent_reports_, [&](const auto& report) { return removed(report.second); });
  std::erase_if(admitted_engines_, removed);
  std::erase_if(engines_, [&](const auto& entry) { return removed(&entry.second); });
  for (auto& [id, engine] : engines_) {
    if (!engine.ready) continue;
    ready_engines_.push_back(&engine);
    fleet_cores_ += engine_cores(engine);
    if (!is_ejected(engine))
      total_thread_budget_ += kThreadsPerCore * engine_cores(engine) / settings_.gateways;
  }
  small_budget_ = total_thread_budget_ < kSmallBudgetQueries * max_query_threads_;
}

double Gateway::Impl::engine_cores(const Engine& engine) const {
  return settings_.kinds[engine.entry.kind].cores;
}

// An engine that responds far slower than the others, for example because another program uses a part of the
// machine, has that much less capacity. Its reports of memory and disk use do not show this.
double Gateway::Impl::slowness(const Engine& engine) const {
  const double ratio = engine.latency_ratio / std::max(1.0, fleet_latency_ratio_);
  return ratio <= kSlowEngineLatencyRatio ? 1 : std::min(ratio, kMaxSlowness);
}

}  // namespace heronwell
