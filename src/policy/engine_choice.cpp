// Picks the engine for a request.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr double kMaxThreadsPerCore = 2.2;     // threads a core, all gateways: even the pool's share is held back
constexpr double kUnreportedBudgetShare = 0.5;  // of the pool, for queries past that to engines long not heard of
constexpr double kLowerClassFactor = 0.7;
constexpr double kUsualLatencyRatio = 1.5;   // answer time against the usual: up to here an engine is at usual speed
constexpr double kOwnLoadWeight = 0.25;     // of an engine's load as judged: own threads times gateways
constexpr double kCrossZoneThreadsPerCore = 20;       // threads a core that another zone must be emptier by, for a price of 1
constexpr double kRunningLoadThreadsPerCore = 6.0;     // threads a core that one loading the group counts as fuller by
constexpr double kSameEngineThreadsPerCore = 3.0;    // threads a core that others may be fuller by for another attempt
constexpr std::size_t kMinPreferredEngines = 2;     // engines that all loads of one group share, at the least;
constexpr std::size_t kPreferredEnginesDivisor = 5;  // and one in so many of a large fleet
constexpr double kReaderThreadsPerCore = 6.0;  // threads a core: a reader of the group keeps off them
constexpr double kCachedDataThreadsPerCore = 0.3;     // threads a core that a group's homes may be fuller by: warm data
constexpr std::size_t kRandomCandidates = 2;     // of them drawn at random
constexpr double kMaxOwnLoadFactor = 6;       // gateways whose share one's own threads speak for, at most
constexpr double kMinJitterThreadsPerCore = 0.01;   // threads a core that an engine may seem fuller by; and at most,
constexpr double kJitterThreadsPerCore = 4.0;         // where reports mislead
}  // namespace

// Room within this gateway's share of the engine, or past it while the engine answers at its usual speed.
bool Gateway::Impl::has_capacity(const Engine& engine, ClassIndex c) const {
  const unsigned threads = settings_.classes[c].threads;
  const double ease = back_off_factor_ * (c == priority_order_.front() ? 1 : small_budget_ ? kLowerClassFactor : 1);
  if (in_slow_start(engine)) return true;  // its turns are fewer than its room
  const double size = engine_cores(engine) * capacity_share(engine, 0s);
  const auto all = all_gateways_threads(engine);
  const double own = engine.threads + 0.5 * threads;
  // Where only answers tell of engines, a gateway held back goes on asking those it has long not heard of:
  // a query each, of the little that all gateways may send so.
  if (all && *all + 0.5 * threads > kMaxThreadsPerCore * ease * size)
    return peer_fleet_load_ < 0 && engine.threads == 0 &&
           to_seconds(now_ - engine.last_load_report) > kReportDecaySeconds &&
           total_running_threads() + threads <= kUnreportedBudgetShare * total_thread_budget_;
  // A slow engine is still sent something by each gateway: its pace would never be seen to change.
  const double swift = size / slowness(engine);
  if (own <= kThreadsPerCore * swift / settings_.gateways || engine.threads == 0) return true;
  if (own > kThreadsPerCore * swift) return false;
  if (all) return *all + 0.5 * threads <= kBorrowingLoadLimit * ease * swift;
  return engine.latency_ratio <= kUsualLatencyRatio * std::max(1.0, std::min(fleet_latency_ratio_, 1.2));
}

// A load of the group is out there: another would stand still behind it.
bool Gateway::Impl::has_running_load(std::int64_t group, const Engine& engine) const {
  return std::ranges::any_of(engine.in_flight, [&](const auto& out) {
    const auto& other = requests_.at(out.first);
    return settings_of(other).locks_data_group && other.arrival.data_group == group;
  });
}

double Gateway::Impl::load_score(const Request& request, Engine& engine) {
  const auto& set = this->settings_of(request);
  // Reports are late and every gateway reads the same: by them alone all would run to one engine at once.
  const double own = engine.threads * std::min<double>(settings_.gateways, kMaxOwnLoadFactor);
  const double all = kOwnLoadWeight * own + (1 - kOwnLoadWeight) * all_gateways_threads(engine).value_or(own);
  double score = (all + set.threads) * slowness(engine) / (engine_cores(engine) * capacity_share(engine, 0s));
  if (engine.entry.zone != settings_.zone) score += kCrossZoneThreadsPerCore * settings_.cross_zone_cost;
  if (!loads_block_readers_ && is_preferred(request.arrival.data_group, engine)) score -= kCachedDataThreadsPerCore;
  if (set.waits_for_data_group && is_preferred(request.arrival.data_group, engine)) score += kReaderThreadsPerCore;
  if (set.locks_data_group && has_running_load(request.arrival.data_group, engine)) score += kRunningLoadThreadsPerCore;
  const auto there = [&](const Attempt& a) { return a.engine == engine.entry.engine; };
  return std::ranges::any_of(request.attempts, there) ? score + kSameEngineThreadsPerCore : score;
}

// All gateways order engines alike for a group, by ids: its loads go to the first, its readers stay away.
const std::vector<Engine*>& Gateway::Impl::preferred_engines(std::int64_t group) {
  auto& homes = preferred_engines_[group];
  if (homes.empty()) {
    for (auto* engine : ready_engines_) {
      if (!is_ejected(*engine)) homes.push_back(engine);
    }
    const auto count = std::min(homes.size(), std::max(kMinPreferredEngines, ready_engines_.size() / kPreferredEnginesDivisor));
    // A load holds its group for as long as it runs: slow engines come last.
    const auto order = [group](const Engine* engine) {
      return std::pair(engine->slow, rendezvous_hash(group, engine->entry.engine));
    };
    std::ranges::partial_sort(homes, homes.begin() + static_cast<std::ptrdiff_t>(count), {}, order);
    homes.resize(count);
  }
  return homes;
}

bool Gateway::Impl::is_preferred(std::int64_t group, Engine& engine) {
  return std::ranges::count(preferred_engines(group), &engine) > 0;
}

// All of a small fleet; of a large one those of the newest reports and a few drawn, at a cost that does not
// grow with the fleet.
const std::vector<Engine*>& Gateway::Impl::candidates(const Request& request) {
  if (loads_block_readers_ && settings_of(request).locks_data_group) return preferred_engines(request.arrival.data_group);
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
    const auto& near = preferred_engines(request.arrival.data_group);
    if (!near.empty()) add(near[random_() % near.size()]);
  }
  for (const auto& [at, engine] : recent_reports_) {
    if (now_ < at + kMaxReportAge) add(engine);
  }
  return candidates_;
}

Engine* Gateway::Impl::choose_engine(Request& request) {
  Engine* best = nullptr;
  double least = 0;
  const auto& engines = candidates(request);
  if (await_probes(request, engines)) return nullptr;
  for (auto* engine : engines) {
    const auto there = [&](const Attempt& a) {
      return a.awaiting_result() && a.engine == engine->entry.engine;
    };
    if (!health_allows(request, *engine) || !has_capacity(*engine, request.arrival.class_index) ||
        !may_send(request, *engine) || std::ranges::any_of(request.attempts, there))
      continue;
    const double score = load_score(request, *engine) + (kMinJitterThreadsPerCore + kJitterThreadsPerCore * (1 - report_confidence())) * random_unit();
    if (best == nullptr || score < least) std::tie(best, least) = std::tuple(engine, score);
  }
  return best;
}

}  // namespace heronwell
