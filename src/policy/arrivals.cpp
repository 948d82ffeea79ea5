// New requests: which are held and which are refused at once.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr double kMaxQueueShare = 0.4;  // of the latency aim: held longer, an answer would come too late
constexpr double kReservedRunTimes = 2.0;   // foretold answer times left for running when a hold ends
constexpr double kProbeTokensPerQuery = 1, kMaxProbeTokens = 20;  // at most
constexpr double kPeerBytesPerQuery = 150;                        // of these reports, a query
constexpr double kMinRelativeSize = 0.2, kMaxRelativeSize = 40;  // of a query by its estimate, in its class's usual ones
constexpr double kSizeLimitThreadsPerCore = 1.5;    // threads a core; the largest size taken is this over the level, to
constexpr double kSizeLimitExponent = 3;      // this power
constexpr double kUsualThreadsPerCore = 0.9;  // threads a core that the usual pace stands for, if none are told
constexpr double kHedgeWorkShare = 0.2;     // copies' work against that of all queries, at most
constexpr double kMaxSavedHedges = 10;   // copies' worth of work that may be saved up, of the heaviest class
}  // namespace

void Gateway::Impl::apply(const Arrival& asked) {
  recent_arrivals_.push_back(now_);
  ++period_arrivals_;
  peer_byte_tokens_ = std::min(peer_byte_tokens_ + kPeerBytesPerQuery, 4 * kPeerBytesPerQuery);
  probe_tokens_ = std::min(probe_tokens_ + kProbeTokensPerQuery, kMaxProbeTokens);
  auto& request = requests_[asked.request];
  request.arrival = asked;
  request.deadline = now_ + asked.time_left;
  deadlines_.insert({request.deadline - kDeadlineMargin, asked.request});
  if (asked.class_index >= classes_.size()) return reject_or_fail(request, "of no class");
  if (is_ordered(request)) key_order_.enqueue(asked.order_key, asked.request);
  request.relative_size = estimate_relative_size(asked);
  hedge_work_tokens_ =
      std::min(hedge_work_tokens_ + kHedgeWorkShare * classes_[asked.class_index].mean_work, kMaxSavedHedges * max_class_work());
  if (over_tenant_share(asked) && (!classes_[asked.class_index].queue.empty() || fleet_overloaded()))
    return reject_or_fail(request, "over share");
  if (arrived_too_late(asked)) return reject_or_fail(request, "late");
  if (too_large(request)) return reject_or_fail(request, "too big");
  if (predicted_latency(request) > to_seconds(asked.time_left)) return reject_or_fail(request, "too long");
  // What is refused as it comes uses nothing of its tenant's share.
  if (asked.tenant < tenant_tokens_.size() && tenant_tokens_[asked.tenant] >= 1) tenant_tokens_[asked.tenant] -= 1;
  add_to_queue(request, false);
}

// What came while this gateway had no turn has waited already, as its time left tells: what can't be
// answered within its aim any more is settled at once, so that no burst of such work follows.
bool Gateway::Impl::arrived_too_late(const Arrival& asked) {
  auto& cls = classes_[asked.class_index];
  if (process_pause_ == Time::zero()) cls.max_time_left = std::max(cls.max_time_left, asked.time_left);
  const double waited = to_seconds(std::clamp(cls.max_time_left - asked.time_left, Time::zero(), process_pause_));
  return waited > 0 && waited + cls.recent_latency > usual_latency_target(asked.class_index);
}

double Gateway::Impl::usual_latency_target(ClassIndex c) const {
  return to_seconds(settings_.classes[c].latency_target) +
         settings_.classes[c].latency_target_per_work * classes_[c].baseline_latency;
}

// Estimates are off by class, so they only tell how a query compares to others of its class.
double Gateway::Impl::estimate_relative_size(const Arrival& asked) {
  if (!asked.estimated_work || *asked.estimated_work <= Time::zero()) return 1;
  auto& mean = classes_[asked.class_index].mean_estimate;
  const double cost = to_seconds(*asked.estimated_work);
  mean += mean > 0 ? 0.05 * (std::min(cost, 3 * mean) - mean) : cost;
  return std::clamp(cost / mean, kMinRelativeSize, kMaxRelativeSize);
}

// In a crowd the largest queries are refused: for the work of one, several others are answered. The limit
// goes by the fleet's level or, where nothing tells that, by how slow answers are; a usual query always
// passes. A class worth more for its work than the last in rank has a higher limit by that much.
bool Gateway::Impl::too_large(const Request& request) const {
  const auto dear = [this](ClassIndex c) { return classes_[c].mean_work / settings_.classes[c].value; };
  const double load = fleet_load() >= 0 ? fleet_load() : fleet_latency_ratio_ * kUsualThreadsPerCore;
  const double most = std::max(1.0, std::pow(kSizeLimitThreadsPerCore / std::max(0.1, load), kSizeLimitExponent));
  return request.relative_size * std::min(1.0, dear(request.arrival.class_index) / dear(priority_order_.back())) > most;
}

double Gateway::Impl::expected_work(const Request& request) const {
  return classes_[request.arrival.class_index].mean_work * request.relative_size;
}

double Gateway::Impl::predicted_latency(const Request& request) const {
  return classes_[request.arrival.class_index].median_latency * request.relative_size;
}

void Gateway::Impl::add_to_queue(Request& request, bool first) {
  auto& queue = classes_[request.arrival.class_index].queue;
  request.in_queue = true;
  request.queued_since = now_;
  first ? queue.push_front(request.arrival.request) : queue.push_back(request.arrival.request);
}

// Held so long that an answer would come after its aim: given up at once, so that fresher ones are in time.
// An estimate tells how long an answer takes and how far its aim lies; else the class's usual times do.
Time Gateway::Impl::max_queue_time(const Request& request) const {
  const auto c = request.arrival.class_index;
  const auto& set = settings_.classes[c];
  const double least = kMaxQueueShare * to_seconds(set.latency_target),
               stretch = set.latency_target_per_work - kReservedRunTimes;
  if (request.arrival.estimated_work)
    return from_seconds(std::max(least, to_seconds(set.latency_target) + stretch * predicted_latency(request)));
  return from_seconds(std::max(least, kMaxQueueShare * usual_latency_target(c) - classes_[c].recent_latency));
}

void Gateway::Impl::reject_overdue() {
  for (auto& cls : classes_)
    for (const auto id : std::vector(cls.queue.begin(), cls.queue.end()))
      if (auto& request = requests_.at(id); now_ - request.queued_since > max_queue_time(request))
        reject_or_fail(request, "held too long");
}

// A flood by one tenant takes nothing from the others: past its share it is refused once queries wait.
bool Gateway::Impl::over_tenant_share(const Arrival& asked) const {
  if (settings_.over_share_value >= 1 || asked.tenant >= tenant_tokens_.size()) return false;
  return tenant_tokens_[asked.tenant] < 1;
}

}  // namespace heronwell
