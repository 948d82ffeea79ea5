// Chooses the engine for a request. Scores and penalties are in threads per core.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
// Of all gateways: above this load no gateway sends an engine more, even within its share.
constexpr double kMaxThreadsPerCore = 2.2;
// Up to this share of the total thread budget, a query may still be sent to an engine without a recent
// report.
constexpr double kUnreportedBudgetShare = 0.5;
// Factor on the load limits with a small thread budget, for all classes but the first in the priority order.
constexpr double kLowerClassFactor = 0.7;
// Up to this latency ratio an engine has its usual speed.
constexpr double kUsualLatencyRatio = 1.5;
// Weight of this gateway's own threads, times the number of gateways, in the load of an engine.
constexpr double kOwnLoadWeight = 0.25;
// Penalty of an engine in another zone, for a Settings::cross_zone_cost of 1.
constexpr double kCrossZoneThreadsPerCore = 20;
// Penalty of an engine on which a bulk load of the same data group runs.
constexpr double kRunningLoadThreadsPerCore = 6.0;
// Penalty of an engine that has had an attempt of the same request.
constexpr double kSameEngineThreadsPerCore = 3.0;
// Smallest number of preferred engines of a data group.
constexpr std::size_t kMinPreferredEngines = 2;
// In a large fleet, one in this many engines is a preferred engine of a data group.
constexpr std::size_t kPreferredEnginesDivisor = 5;
// Penalty of the preferred engines for queries that wait for bulk loads of the group.
constexpr double kReaderThreadsPerCore = 6.0;
// Bonus of the preferred engines for other queries: they have the data cached.
constexpr double kCachedDataThreadsPerCore = 0.3;
// Candidates drawn at random.
constexpr std::size_t kRandomCandidates = 2;
// Largest number of gateways that this gateway's own threads are multiplied by.
constexpr double kMaxOwnLoadFactor = 6;
// Range of the random jitter that is added to a score if reports can be believed.
constexpr double kMinJitterThreadsPerCore = 0.01;
// Added to that range in proportion to 1 - report_confidence(): reports that mislead need more spreading.
constexpr double kJitterThreadsPerCore = 4.0;
}  // namespace

// An engine has capacity within this gateway's share of it, and beyond that share as long as it responds at
// its usual speed.
bool Gateway::Impl::has_capacity(const Engine& engine, ClassIndex class_index) const {
  const unsigned threads = settings_.classes[class_index].threads;
  const double back_off = back_off_factor_ * (class_index == priority_order_.front() ? 1
                                              : small_budget_                        ? kLowerClassFactor
                                                                                     : 1);
  if (in_slow_start(engine)) return true;  // admission slots allow less than this would
  const double usable_cores = engine_cores(engine) * capacity_share(engine, 0s);
  const auto total_threads = all_gateways_threads(engine);
  const double own_threads = engine.threads + 0.5 * threads;
  // Where only responses contain load reports, a gateway that has backed off still sends queries to engines
  // without a recent report, to get one: one query each, and only while it uses a part of its budget, as all
  // gateways do so.
  if (total_threads && *total_threads + 0.5 * threads > kMaxThreadsPerCore * back_off * usable_cores)
    return peer_fleet_load_ < 0 && engine.threads == 0 &&
           to_seconds(now_ - engine.last_load_report) > kReportDecaySeconds &&
           total_running_threads() + threads <= kUnreportedBudgetShare * total_thread_budget_;
  // A slow engine still gets a query from each gateway: otherwise its latency ratio would never change.
  const double effective_cores = usable_cores / slowness(engine);
  if (own_threads <= kThreadsPerCore * effective_cores / settings_.gateways || engine.threads == 0)
    return true;
  if (own_threads > kThreadsPerCore * effective_cores) return false;
  if (total_threads)
    return *total_threads + 0.5 * threads <= kBorrowingLoadLimit * back_off * effective_cores;
  return engine.latency_ratio <= kUsualLatencyRatio * std::max(1.0, std::min(fleet_latency_ratio_, 1.2));
}

// A second bulk load of the group would be blocked by the one that runs.
bool Gateway::Impl::has_running_load(std::int64_t group, const Engine& engine) const {
  return std::ranges::any_of(engine.in_flight, [&](const auto& entry) {
    const auto& running = requests_.at(entry.first);
    return settings_of(running).locks_data_group && running.arrival.data_group == group;
  });
}

double Gateway::Impl::load_score(const Request& request, Engine& engine) {
  const auto& class_settings = this->settings_of(request);
  // Reports arrive late and all gateways read the same ones: by reports alone, all would choose the same
  // engine at once. So this gateway's own threads count too.
  const double own_estimate = engine.threads * std::min<double>(settings_.gateways, kMaxOwnLoadFactor);
  const double total_threads = kOwnLoadWeight * own_estimate +
                               (1 - kOwnLoadWeight) * all_gateways_threads(engine).value_or(own_estimate);
  double score = (total_threads + class_settings.threads) * slowness(engine) /
                 (engine_cores(engine) * capacity_share(engine, 0s));
  if (engine.entry.zone != settings_.zone) score += kCrossZoneThreadsPerCore * settings_.cross_zone_cost;
  if (!loads_block_readers_ && is_preferred(request.arrival.data_group, engine))
    score -= kCachedDataThreadsPerCore;
  if (class_settings.waits_for_data_group && is_preferred(request.arrival.data_group, engine))
    score += kReaderThreadsPerCore;
  if (class_settings.locks_data_group && has_running_load(request.arrival.data_group, engine))
    score += kRunningLoadThreadsPerCore;
  const auto on_this_engine = [&](const Attempt& attempt) { return attempt.engine == engine.entry.engine; };
  return std::ranges::any_of(request.attempts, on_this_engine) ? score + kSameEngineThreadsPerCore : score;
}

// All gateways rank the engines for a data group in the same way, by ids: its bulk loads go to the first
// ones, and queries that would be blocked by them avoid these.
const std::vector<Engine*>& Gateway::Impl::preferred_engines(std::int64_t group) {
  auto& preferred = preferred_engines_[group];
  if (preferred.empty()) {
    for (auto* engine : ready_engines_) {
      if (!is_ejected(*engine)) preferred.push_back(engine);
    }
    const auto count = std::min(
        preferred.size(), std::max(kMinPreferredEngines, ready_engines_.size() / kPreferredEnginesDivisor));
    // A bulk load locks its group for as long as it runs: slow engines come last.
    const auto rank = [group](const Engine* engine) {
      return std::pair(engine->slow, rendezvous_hash(group, engine->entry.engine));
    };
    std::ranges::partial_sort(preferred, preferred.begin() + static_cast<std::ptrdiff_t>(count), {}, rank);
    preferred.resize(count);
  }
  return preferred;
}

bool Gateway::Impl::is_preferred(std::int64_t group, Engine& engine) {
  return std::ranges::count(preferred_engines(group), &engine) > 0;
}

// The whole fleet if it is small; otherwise the engines with the latest reports and a few at random, so that
// the cost of a choice does not grow with the fleet.
const std::vector<Engine*>& Gateway::Impl::candidates(const Request& request) {
  if (loads_block_readers_ && settings_of(request).locks_data_group)
    return preferred_engines(request.arrival.data_group);
  if (ready_engines_.size() <= kMaxCandidates) return ready_engines_;
  candidates_.clear();
  ++selection_round_;
  const auto add = [this](Engine* engine) {
    if (engine->last_selection_round != selection_round_ && engine->ready) candidates_.push_back(engine);
    engine->last_selection_round = selection_round_;
  };
  std::erase_if(admitted_engines_, [this](const Engine* engine) { return now_ >= engine->admission_until; });
  for (auto* engine : admitted_engines_) add(engine);
  for (std::size_t i = 0; i < kRandomCandidates; ++i) add(ready_engines_[random_() % ready_engines_.size()]);
  if (!loads_block_readers_) {
    const auto& preferred = preferred_engines(request.arrival.data_group);
    if (!preferred.empty()) add(preferred[random_() % preferred.size()]);
  }
  for (const auto& [reported, engine] : recent_reports_) {
    if (now_ < reported + kMaxReportAge) add(engine);
  }
  return candidates_;
}

Engine* Gateway::Impl::choose_engine(Request& request) {
  Engine* best = nullptr;
  double best_score = 0;
  const auto& engines = candidates(request);
  if (await_probes(request, engines)) return nullptr;
  for (auto* engine : engines) {
    const auto on_this_engine = [&](const Attempt& attempt) {
      return attempt.awaiting_result() && attempt.engine == engine->entry.engine;
    };
    if (!health_allows(request, *engine) || !has_capacity(*engine, request.arrival.class_index) ||
        !may_send(request, *engine) || std::ranges::any_of(request.attempts, on_this_engine))
      continue;
    const double score =
        load_score(request, *engine) +
        (kMinJitterThreadsPerCore + kJitterThreadsPerCore * (1 - report_confidence())) * random_unit();
    if (best == nullptr || score < best_score) std::tie(best, best_score) = std::tuple(engine, score);
  }
  return best;
}

}  // namespace heronwell
