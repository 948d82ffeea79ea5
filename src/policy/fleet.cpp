// Which engines there are, what they can take, and how slow they are.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr double kSmallBudgetQueries = 4;  // of the widest class: a pool for fewer can't keep the ranks by budgets;
constexpr double kMaxSlowness = 6.0;  // times slower than the fleet that an engine counts for at most
}  // namespace

void Gateway::Impl::apply(const MembershipUpdate& list) {
  if (list.kind == MembershipUpdateKind::failed) membership_retry_at_ = now_ + 1s;
  if (list.kind == MembershipUpdateKind::full || list.kind == MembershipUpdateKind::cached) {
    for (auto& [id, engine] : engines_) engine.ready = false;
  }
  for (const auto& entry : list.engines) {
    auto& engine = engines_[entry.engine];
    if (entry.last_start > engine.entry.last_start) begin_slow_start(engine, entry.last_start);
    engine.entry = entry;
    engine.ready = entry.state == EngineState::ready && entry.kind < settings_.kinds.size();
  }
  fleet_changed_ = true;
}

// What is summed over the fleet, made anew only when the list or an engine's health has changed.
void Gateway::Impl::update_fleet() {
  fleet_changed_ = false;
  ready_engines_.clear();
  preferred_engines_.clear();
  total_thread_budget_ = fleet_cores_ = 0;
  const auto gone = [](const Engine* engine) { return !engine->ready && engine->in_flight.empty(); };
  std::erase_if(recent_reports_, [&](const auto& report) { return gone(report.second); });
  std::erase_if(admitted_engines_, gone);
  std::erase_if(engines_, [&](const auto& entry) { return gone(&entry.second); });
  for (auto& [id, engine] : engines_) {
    if (!engine.ready) continue;
    ready_engines_.push_back(&engine);
    fleet_cores_ += engine_cores(engine);
    if (!is_ejected(engine)) total_thread_budget_ += kThreadsPerCore * engine_cores(engine) / settings_.gateways;
  }
  small_budget_ = total_thread_budget_ < kSmallBudgetQueries * max_query_threads_;
}

double Gateway::Impl::engine_cores(const Engine& engine) const { return settings_.kinds[engine.entry.kind].cores; }

// An engine that answers far slower than the others, as when another program takes a part of it, has that
// much less room. Reports of its memory and disks do not show it.
double Gateway::Impl::slowness(const Engine& engine) const {
  const double times = engine.latency_ratio / std::max(1.0, fleet_latency_ratio_);
  return times <= kSlowEngineLatencyRatio ? 1 : std::min(times, kMaxSlowness);
}

}  // namespace heronwell
