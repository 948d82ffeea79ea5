// Thread budgets set by a PI controller, release of queued requests in the order of class priority, and the
// shares of tenants.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
// Between two steps of the controller. The 30 s of the paper that the controller follows ("Feedback Control
// Architecture and Design Methodology for Service Delay Guarantees in Web Servers") are too slow for waits of
// one second.
constexpr Time kControlPeriod = 2s;
// Of the controller, in units of kGainBudgetShare, for an error of one wait target.
constexpr double kControllerGain = -0.80;
// The zero r of the controller: the share of the previous error that is subtracted.
constexpr double kControllerZero = 0.30;
// Unit of the gain as a share of the total thread budget, so that it fits fleets of any size.
constexpr double kGainBudgetShare = 0.10;
// The wait target as a share of the latency target; the rest is for execution.
constexpr double kWaitTargetShare = 0.30;
// Largest error of one sample, in wait targets: a single sample must not move a budget too far.
constexpr double kMaxControllerError = 3.0;
// A tenant may use this many times its share unless the fleet is overloaded.
constexpr double kShareTolerance = 1.3;
// Queries beyond its share that a tenant may save up: at a gateway with few queries they come in bursts.
constexpr double kExtraShareTokens = 3;
// Time constant of the arrival rate that shares are measured against.
constexpr double kArrivalRateSeconds = 20.0;
// One period counts for at most this many times the usual arrival rate.
constexpr double kMaxRateGrowth = 1.3;
// Lower limit of the back-off factor, which lowers the load limits.
constexpr double kMinBackOffFactor = 0.5;
constexpr double kBackOffDecrease = 0.85,  // factor for each period of congestion
    kBackOffIncrease = 0.05;               // added in each other period
// After this long without a response a slow engine counts as no longer slow, so that it gets queries again.
constexpr Time kSlowEngineRetryInterval = 4s;
// Time constant of the usual number of running threads.
constexpr double kRunningThreadsSeconds = 5.0;
}  // namespace

bool Gateway::Impl::release_next(bool under_budget) {
  for (const auto class_index : priority_order_) {
    auto& cls = classes_[class_index];
    if (cls.queue.empty() || under_budget != (cls.running_threads < cls.thread_budget)) continue;
    if (release_from_queue(cls)) return true;
  }
  return false;
}

// Requests that wait for an earlier one with the same order key are skipped; any other request that cannot be
// sent keeps the ones behind it waiting.
bool Gateway::Impl::release_from_queue(ClassState& cls) {
  for (auto it = cls.queue.begin(); it != cls.queue.end(); ++it) {
    auto& request = requests_.at(*it);
    if (!is_next_for_key(request)) continue;
    Engine* engine = choose_engine(request);
    if (engine == nullptr || !send_attempt(request, *engine)) return false;
    cls.queue.erase(it);
    return true;
  }
  return false;
}

void Gateway::Impl::assign_thread_budgets() {
  double remaining = total_thread_budget_;
  for (const auto class_index : priority_order_) {
    auto& cls = classes_[class_index];
    const double min_budget = settings_.classes[class_index].threads;
    cls.thread_budget = std::max(min_budget, std::min(std::clamp(cls.controller_output, min_budget,
                                                                 std::max(min_budget, total_thread_budget_)),
                                                      remaining));
    remaining = std::max(0.0, remaining - cls.thread_budget);
  }
}

// If the latency ratio shows congestion, the fleet is past the load at which it does most work, wherever that
// lies for the present mix of queries: fewer queries may run at once. Not where priorities keep short queries
// fast, nor where a gateway gets too few responses to judge by.
void Gateway::Impl::update_back_off() {
  if (settings_.priorities || small_budget_) return;
  back_off_factor_ = fleet_latency_ratio_ > kCongestedLatencyRatio
                         ? std::max(kMinBackOffFactor, back_off_factor_ * kBackOffDecrease)
                         : std::min(1.0, back_off_factor_ + kBackOffIncrease);
}

void Gateway::Impl::log_state() {
  const auto format_short = [](double value) { return std::to_string(value).substr(0, 4); };
  std::string text = "thread budget " + format_short(total_thread_budget_) + " fleet load " +
                     format_short(fleet_load()) + " latency ratio " + format_short(fleet_latency_ratio_);
  for (const auto class_index : priority_order_)
    text += "; " + settings_.classes[class_index].name + " queued " +
            std::to_string(classes_[class_index].queue.size()) + " running " +
            std::to_string(classes_[class_index].running_threads) + " budget " +
            format_short(classes_[class_index].thread_budget) + " latency " +
            format_short(classes_[class_index].recent_latency) + " estimated work " +
            format_short(classes_[class_index].mean_estimate);
  for (const auto& [reason, count] : rejections_by_reason_)
    text += "; " + std::to_string(count) + " " + reason;
  rejections_by_reason_.clear();
  emit(Trace{text});
}

void Gateway::Impl::run_controller() {
  update_back_off();
  for (auto* engine : ready_engines_) {
    if (!engine->slow || now_ <= engine->last_response + kSlowEngineRetryInterval) continue;
    engine->latency_ratio =
        std::min(engine->latency_ratio, kSlowEngineLatencyRatio * std::max(1.0, fleet_latency_ratio_));
    engine->slow = false;
    fleet_changed_ = true;
  }
  log_state();
  const double total = total_thread_budget();
  const double requested = sum_over_classes(&ClassState::controller_output);
  for (const auto class_index : priority_order_) {
    auto& cls = classes_[class_index];
    const double wait_target = kWaitTargetShare * to_seconds(settings_.classes[class_index].latency_target);
    double total_wait = cls.wait_seconds, count = cls.released_queries;
    for (const auto id : cls.queue) {  // requests that are still queued count too
      total_wait += to_seconds(now_ - requests_.at(id).queued_since);
      ++count;
    }
    const double error =
        std::max(-kMaxControllerError, (wait_target - (count > 0 ? total_wait / count : 0)) / wait_target);
    const double previous_output = requested > total ? cls.thread_budget : cls.controller_output;
    const double min_budget = settings_.classes[class_index].threads;
    cls.controller_output = std::clamp(previous_output + kControllerGain * kGainBudgetShare * total *
                                                             (error - kControllerZero * cls.previous_error),
                                       min_budget, std::max(min_budget, total));
    cls.previous_error = error;
    cls.wait_seconds = cls.released_queries = 0;
  }
}

void Gateway::Impl::apply(const TimerExpired&) {
  if (now_ < last_tick_ + kTimerInterval) return;
  const double passed_seconds = to_seconds(now_ - last_tick_);
  last_tick_ = now_;
  emit(SetTimer{kTimerInterval});
  if (settings_.membership_on_request && membership_retry_at_ > Time::zero() &&
      now_ >= membership_retry_at_) {
    membership_retry_at_ = Time::zero();
    emit(WatchMembership{true});
  }
  refill_tenant_tokens(passed_seconds);
  usual_running_threads_ += std::min(1.0, passed_seconds / kRunningThreadsSeconds) *
                            (total_running_threads() - usual_running_threads_);
  while (!deadlines_.empty() && deadlines_.begin()->first <= now_)
    reject_or_fail(requests_.at(deadlines_.begin()->second), "deadline reached");
  reject_overdue();
  for (const auto id : std::vector(busy_engines_.begin(), busy_engines_.end()))
    check_stalled_attempts(engines_.at(id));
  for (auto* engine : small_budget_ ? std::vector<Engine*>() : ready_engines_) probe_if_outdated(*engine, 0);
  draw_admission_slots(passed_seconds);
  report_to_peers();
  if (now_ >= last_control_step_ + kControlPeriod) {
    update_arrival_rate(to_seconds(now_ - last_control_step_));
    last_control_step_ = now_;
    run_controller();
  }
  remove_expired();
}

double Gateway::Impl::tenant_share_rate(std::size_t tenant) const {
  return (fleet_overloaded() ? 1 : kShareTolerance) * settings_.tenants[tenant].share * arrival_rate_;
}

// A burst must not raise the rate that shares are measured against: the rate grows slowly, and not at all
// while the fleet is overloaded.
void Gateway::Impl::update_arrival_rate(double passed_seconds) {
  const double rate = period_arrivals_ / passed_seconds;
  arrival_rate_age_seconds_ = std::min(arrival_rate_age_seconds_ + passed_seconds, kArrivalRateSeconds);
  const double max_rate =
      fleet_overloaded() ? arrival_rate_ : kMaxRateGrowth * arrival_rate_ + 1 / passed_seconds;
  arrival_rate_ +=
      passed_seconds / arrival_rate_age_seconds_ *
      ((3 * passed_seconds < arrival_rate_age_seconds_ ? std::min(rate, max_rate) : rate) - arrival_rate_);
  period_arrivals_ = 0;
}

void Gateway::Impl::refill_tenant_tokens(double passed_seconds) {
  for (std::size_t tenant = 0; tenant < tenant_tokens_.size(); ++tenant)
    tenant_tokens_[tenant] = std::min(tenant_tokens_[tenant] + tenant_share_rate(tenant) * passed_seconds,
                                      tenant_share_rate(tenant) * kShareBurstSeconds + kExtraShareTokens);
}

}  // namespace heronwell
