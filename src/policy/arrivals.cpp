// Admission of new requests: which are queued and which are rejected at once; and the time they may stay in
// the queue.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
// Longest time in the queue, as a share of the latency target: after a longer one the response would be late.
constexpr double kMaxQueueShare = 0.4;
// Predicted latencies that must be left for execution when the time in the queue ends.
constexpr double kReservedRunTimes = 2.0;
constexpr double kProbeTokensPerQuery = 1,  // probes that one query pays for
    kMaxProbeTokens = 20;                   // probes that may be saved up
// Bytes of messages to other gateways that one query pays for.
constexpr double kPeerBytesPerQuery = 150;
constexpr double kMinRelativeSize = 0.2,  // limits of relative sizes,
    kMaxRelativeSize = 40;                // as estimates may be far off
// The largest relative size admitted is (kSizeLimitThreadsPerCore / fleet load) ^ kSizeLimitExponent.
constexpr double kSizeLimitThreadsPerCore = 1.5;
// See kSizeLimitThreadsPerCore.
constexpr double kSizeLimitExponent = 3;
// Threads per core that a latency ratio of 1 stands for, where the fleet load is unknown.
constexpr double kUsualThreadsPerCore = 0.9;
// Largest work of hedged attempts, as a share of the work of all queries.
constexpr double kHedgeWorkShare = 0.2;
// Hedged attempts of the class with most work that may be saved up.
constexpr double kMaxSavedHedges = 10;
}  // namespace

void Gateway::Impl::apply(const Arrival& arrival) {
  recent_arrivals_.push_back(now_);
  ++period_arrivals_;
  peer_byte_tokens_ = std::min(peer_byte_tokens_ + kPeerBytesPerQuery, 4 * kPeerBytesPerQuery);
  probe_tokens_ = std::min(probe_tokens_ + kProbeTokensPerQuery, kMaxProbeTokens);
  auto& request = requests_[arrival.request];
  request.arrival = arrival;
  request.deadline = now_ + arrival.time_left;
  deadlines_.insert({request.deadline - kDeadlineMargin, arrival.request});
  if (arrival.class_index >= classes_.size()) return reject_or_fail(request, "unknown class");
  if (is_ordered(request)) key_order_.enqueue(arrival.order_key, arrival.request);
  request.relative_size = estimate_relative_size(arrival);
  hedge_work_tokens_ =
      std::min(hedge_work_tokens_ + kHedgeWorkShare * classes_[arrival.class_index].mean_work,
               kMaxSavedHedges * max_class_work());
  if (over_tenant_share(arrival) && (!classes_[arrival.class_index].queue.empty() || fleet_overloaded()))
    return reject_or_fail(request, "tenant over its share");
  if (arrived_too_late(arrival)) return reject_or_fail(request, "arrived too late");
  if (too_large(request)) return reject_or_fail(request, "too large for the present load");
  if (predicted_latency(request) > to_seconds(arrival.time_left))
    return reject_or_fail(request, "predicted to miss its deadline");
  // Only requests that are not rejected on arrival count against their tenant's share.
  if (arrival.tenant < tenant_tokens_.size() && tenant_tokens_[arrival.tenant] >= 1)
    tenant_tokens_[arrival.tenant] -= 1;
  add_to_queue(request, false);
}

// A request that came while this process was paused has already waited, as its short time to the deadline
// shows. If it cannot be answered within its latency target any more it is rejected at once, so that the
// pause is not followed by a burst of useless work.
bool Gateway::Impl::arrived_too_late(const Arrival& arrival) {
  auto& cls = classes_[arrival.class_index];
  if (process_pause_ == Time::zero()) cls.max_time_left = std::max(cls.max_time_left, arrival.time_left);
  const double waited_seconds =
      to_seconds(std::clamp(cls.max_time_left - arrival.time_left, Time::zero(), process_pause_));
  return waited_seconds > 0 &&
         waited_seconds + cls.recent_latency > usual_latency_target(arrival.class_index);
}

double Gateway::Impl::usual_latency_target(ClassIndex class_index) const {
  return to_seconds(settings_.classes[class_index].latency_target) +
         settings_.classes[class_index].latency_target_per_work * classes_[class_index].baseline_latency;
}

// Estimates are wrong by a different factor in each class, so they are only used to compare a query with
// others of its class.
double Gateway::Impl::estimate_relative_size(const Arrival& arrival) {
  if (!arrival.estimated_work || *arrival.estimated_work <= Time::zero()) return 1;
  auto& class_mean = classes_[arrival.class_index].mean_estimate;
  const double estimate_seconds = to_seconds(*arrival.estimated_work);
  class_mean +=
      class_mean > 0 ? 0.05 * (std::min(estimate_seconds, 3 * class_mean) - class_mean) : estimate_seconds;
  return std::clamp(estimate_seconds / class_mean, kMinRelativeSize, kMaxRelativeSize);
}

// An overloaded fleet rejects the largest queries, as several others can be answered for the work of one. The
// limit depends on the fleet load or, if that is unknown, on the latency ratio; a query of relative size 1 is
// always admitted. A class that earns more value for its work than the last one in the priority order has a
// limit that is higher by that factor.
bool Gateway::Impl::too_large(const Request& request) const {
  const auto work_per_value = [this](ClassIndex class_index) {
    return classes_[class_index].mean_work / settings_.classes[class_index].value;
  };
  const double load = fleet_load() >= 0 ? fleet_load() : fleet_latency_ratio_ * kUsualThreadsPerCore;
  const double max_relative_size =
      std::max(1.0, std::pow(kSizeLimitThreadsPerCore / std::max(0.1, load), kSizeLimitExponent));
  return request.relative_size * std::min(1.0, work_per_value(request.arrival.class_index) /
                                                   work_per_value(priority_order_.back())) >
         max_relative_size;
}

double Gateway::Impl::expected_work(const Request& request) const {
  return classes_[request.arrival.class_index].mean_work * request.relative_size;
}

double Gateway::Impl::predicted_latency(const Request& request) const {
  return classes_[request.arrival.class_index].median_latency * request.relative_size;
}

void Gateway::Impl::add_to_queue(Request& request, bool at_front) {
  auto& queue = classes_[request.arrival.class_index].queue;
  request.in_queue = true;
  request.queued_since = now_;
  at_front ? queue.push_front(request.arrival.request) : queue.push_back(request.arrival.request);
}

// After a longer time in the queue the response would come after the latency target: such a request is
// rejected, so that later ones are answered in time. With an estimate, the predicted latency and the target
// follow from it; otherwise the usual latency and target of the class are used.
Time Gateway::Impl::max_queue_time(const Request& request) const {
  const auto class_index = request.arrival.class_index;
  const auto& class_settings = settings_.classes[class_index];
  const double min_seconds = kMaxQueueShare * to_seconds(class_settings.latency_target),
               queue_time_per_latency = class_settings.latency_target_per_work - kReservedRunTimes;
  if (request.arrival.estimated_work)
    return from_seconds(std::max(min_seconds, to_seconds(class_settings.latency_target) +
                                                  queue_time_per_latency * predicted_latency(request)));
  return from_seconds(std::max(min_seconds, kMaxQueueShare * usual_latency_target(class_index) -
                                                classes_[class_index].recent_latency));
}

void Gateway::Impl::reject_overdue() {
  for (auto& cls : classes_)
    for (const auto id : std::vector(cls.queue.begin(), cls.queue.end()))
      if (auto& request = requests_.at(id); now_ - request.queued_since > max_queue_time(request))
        reject_or_fail(request, "queued for too long");
}

// Requests that one tenant sends beyond its share must not delay those of others: they are rejected as soon
// as queries have to wait.
bool Gateway::Impl::over_tenant_share(const Arrival& arrival) const {
  if (settings_.over_share_value >= 1 || arrival.tenant >= tenant_tokens_.size()) return false;
  return tenant_tokens_[arrival.tenant] < 1;
}

}  // namespace heronwell
