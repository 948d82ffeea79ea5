// New requests: which are held and which are refused at once.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr double kHoldShare = 0.4;  // of the latency aim: held longer, an answer would come too late
constexpr double kRunShare = 2.0;   // foretold answer times left for running when a hold ends
constexpr double kProbesPerQuery = 1, kProbesSaved = 20;  // at most
constexpr double kTellBytes = 150;                        // of these reports, a query
constexpr double kLeastSize = 0.2, kMostSize = 40;  // of a query by its estimate, in its class's usual ones
constexpr double kSizeCrowd = 1.5;    // threads a core; the largest size taken is this over the level, to
constexpr double kSizePower = 3;      // this power
constexpr double kPaceAsLevel = 0.9;  // threads a core that the usual pace stands for, if none are told
constexpr double kCopyPart = 0.2;     // copies' work against that of all queries, at most
constexpr double kCopiesSaved = 10;   // copies' worth of work that may be saved up, of the heaviest class
}  // namespace

void Gateway::Impl::on(const Arrival& asked) {
  taken_.push_back(now_);
  ++fresh_arrivals_;
  tell_bytes_ = std::min(tell_bytes_ + kTellBytes, 4 * kTellBytes);
  probe_tokens_ = std::min(probe_tokens_ + kProbesPerQuery, kProbesSaved);
  auto& request = requests_[asked.request];
  request.arrival = asked;
  request.deadline = now_ + asked.time_left;
  deadlines_.insert({request.deadline - kDeadlineMargin, asked.request});
  if (asked.class_index >= classes_.size()) return finish(request, "of no class");
  if (in_order(request)) turns_.enqueue(asked.order_key, asked.request);
  request.relative_size = size_of(asked);
  copy_work_ =
      std::min(copy_work_ + kCopyPart * classes_[asked.class_index].mean_work, kCopiesSaved * heaviest());
  if (over_share(asked) && (!classes_[asked.class_index].queue.empty() || crowded()))
    return finish(request, "over share");
  if (too_late(asked)) return finish(request, "late");
  if (too_big(request)) return finish(request, "too big");
  if (foretold(request) > to_seconds(asked.time_left)) return finish(request, "too long");
  // What is refused as it comes uses nothing of its tenant's share.
  if (asked.tenant < tokens_.size() && tokens_[asked.tenant] >= 1) tokens_[asked.tenant] -= 1;
  hold(request, false);
}

// What came while this gateway had no turn has waited already, as its time left tells: what can't be
// answered within its aim any more is settled at once, so that no burst of such work follows.
bool Gateway::Impl::too_late(const Arrival& asked) {
  auto& cls = classes_[asked.class_index];
  if (away_ == Time::zero()) cls.max_time_left = std::max(cls.max_time_left, asked.time_left);
  const double waited = to_seconds(std::clamp(cls.max_time_left - asked.time_left, Time::zero(), away_));
  return waited > 0 && waited + cls.recent_latency > whole_aim(asked.class_index);
}

double Gateway::Impl::whole_aim(ClassIndex c) const {
  return to_seconds(s_.classes[c].latency_target) +
         s_.classes[c].latency_target_per_work * classes_[c].baseline_latency;
}

// Estimates are off by class, so they only tell how a query compares to others of its class.
double Gateway::Impl::size_of(const Arrival& asked) {
  if (!asked.estimated_work || *asked.estimated_work <= Time::zero()) return 1;
  auto& mean = classes_[asked.class_index].mean_estimate;
  const double cost = to_seconds(*asked.estimated_work);
  mean += mean > 0 ? 0.05 * (std::min(cost, 3 * mean) - mean) : cost;
  return std::clamp(cost / mean, kLeastSize, kMostSize);
}

// In a crowd the largest queries are refused: for the work of one, several others are answered. The limit
// goes by the fleet's level or, where nothing tells that, by how slow answers are; a usual query always
// passes. A class worth more for its work than the last in rank has a higher limit by that much.
bool Gateway::Impl::too_big(const Request& request) const {
  const auto dear = [this](ClassIndex c) { return classes_[c].mean_work / s_.classes[c].value; };
  const double load = level() >= 0 ? level() : fleet_pace_ * kPaceAsLevel;
  const double most = std::max(1.0, std::pow(kSizeCrowd / std::max(0.1, load), kSizePower));
  return request.relative_size * std::min(1.0, dear(request.arrival.class_index) / dear(rank_.back())) > most;
}

double Gateway::Impl::work(const Request& request) const {
  return classes_[request.arrival.class_index].mean_work * request.relative_size;
}

double Gateway::Impl::foretold(const Request& request) const {
  return classes_[request.arrival.class_index].median_latency * request.relative_size;
}

void Gateway::Impl::hold(Request& request, bool first) {
  auto& queue = classes_[request.arrival.class_index].queue;
  request.in_queue = true;
  request.queued_since = now_;
  first ? queue.push_front(request.arrival.request) : queue.push_back(request.arrival.request);
}

// Held so long that an answer would come after its aim: given up at once, so that fresher ones are in time.
// An estimate tells how long an answer takes and how far its aim lies; else the class's usual times do.
Time Gateway::Impl::most_hold(const Request& request) const {
  const auto c = request.arrival.class_index;
  const auto& set = s_.classes[c];
  const double least = kHoldShare * to_seconds(set.latency_target),
               stretch = set.latency_target_per_work - kRunShare;
  if (request.arrival.estimated_work)
    return from_seconds(std::max(least, to_seconds(set.latency_target) + stretch * foretold(request)));
  return from_seconds(std::max(least, kHoldShare * whole_aim(c) - classes_[c].recent_latency));
}

void Gateway::Impl::drop_overdue() {
  for (auto& cls : classes_)
    for (const auto id : std::vector(cls.queue.begin(), cls.queue.end()))
      if (auto& request = requests_.at(id); now_ - request.queued_since > most_hold(request))
        finish(request, "held too long");
}

// A flood by one tenant takes nothing from the others: past its share it is refused once queries wait.
bool Gateway::Impl::over_share(const Arrival& asked) const {
  if (s_.over_share_value >= 1 || asked.tenant >= tokens_.size()) return false;
  return tokens_[asked.tenant] < 1;
}

}  // namespace heronwell
