// Thread budgets by the PI loop, release of queued requests by rank, and the shares of tenants.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr Time kControlPeriod = 2s;        // between samples; the paper's 30 s is too slow for waits of one second
constexpr double kControllerGain = -0.80;     // tenths of the pool, for an error of one wait aim
constexpr double kControllerZero = 0.30;      // r: how much of the last error is taken back
constexpr double kGainBudgetShare = 0.10;  // the gain's unit as a share of the pool, so that it fits any fleet
constexpr double kWaitTargetShare = 0.30;   // wait aim as a share of the latency aim; the rest is for running
constexpr double kMaxControllerError = 3.0;  // wait aims; one sample can't throw the budget across the pool
constexpr double kShareTolerance = 1.3;  // a tenant may take this many times its share before it waits last
constexpr double kExtraShareTokens = 3;        // queries on top: a quiet gateway's come in clumps
constexpr double kArrivalRateSeconds = 20.0;     // s, of the arrival rate that shares are measured against
constexpr double kMaxRateGrowth = 1.3;      // times the usual rate that a period counts for at most
constexpr double kMinBackOffFactor = 0.5;       // of the crowd limits, at the least
constexpr double kBackOffDecrease = 0.85, kBackOffIncrease = 0.05;  // a period
constexpr Time kSlowEngineRetryInterval = 4s;      // without an answer of a slow engine, it gets another chance
constexpr double kRunningThreadsSeconds = 5.0;  // s, of the threads that run here
}  // namespace

bool Gateway::Impl::release_next(bool under_budget) {
  for (const auto c : priority_order_) {
    auto& cls = classes_[c];
    if (cls.queue.empty() || under_budget != (cls.running_threads < cls.thread_budget)) continue;
    if (release_from_queue(cls)) return true;
  }
  return false;
}

// The first of the queue that may go; only those waiting for their key's turn are passed by.
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
  double left = total_thread_budget_;
  for (const auto c : priority_order_) {
    auto& cls = classes_[c];
    const double least = settings_.classes[c].threads;
    cls.thread_budget =
        std::max(least, std::min(std::clamp(cls.controller_output, least, std::max(least, total_thread_budget_)), left));
    left = std::max(0.0, left - cls.thread_budget);
  }
}

// A fleet slower than usual has passed its peak, wherever that lies with the mix of the day: fewer at once.
// Not where priorities keep the short classes quick, nor where a gateway hears too little to tell.
void Gateway::Impl::update_back_off() {
  if (settings_.priorities || small_budget_) return;
  back_off_factor_ = fleet_latency_ratio_ > kCongestedLatencyRatio ? std::max(kMinBackOffFactor, back_off_factor_ * kBackOffDecrease)
                                               : std::min(1.0, back_off_factor_ + kBackOffIncrease);
}

// What the loop goes by in this period, and for what reasons queries were given up.
void Gateway::Impl::log_state() {
  const auto tenths = [](double value) { return std::to_string(value).substr(0, 4); };
  std::string said = "pool " + tenths(total_thread_budget_) + " level " + tenths(fleet_load()) + " pace " + tenths(fleet_latency_ratio_);
  for (const auto c : priority_order_)
    said += "; " + settings_.classes[c].name + " held " + std::to_string(classes_[c].queue.size()) + " running " +
            std::to_string(classes_[c].running_threads) + " budget " + tenths(classes_[c].thread_budget) +
            " usual " + tenths(classes_[c].recent_latency) + " estimate " + tenths(classes_[c].mean_estimate);
  for (const auto& [why, count] : rejections_by_reason_) said += "; " + std::to_string(count) + " " + why;
  rejections_by_reason_.clear();
  emit(Trace{said});
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
  const double all = total_thread_budget();
  const double wanted = sum_over_classes(&ClassState::controller_output);
  for (const auto c : priority_order_) {
    auto& cls = classes_[c];
    const double aim = kWaitTargetShare * to_seconds(settings_.classes[c].latency_target);
    double waits = cls.wait_seconds, count = cls.released_queries;
    for (const auto id : cls.queue) {  // those still held must show
      waits += to_seconds(now_ - requests_.at(id).queued_since);
      ++count;
    }
    const double error = std::max(-kMaxControllerError, (aim - (count > 0 ? waits / count : 0)) / aim);
    const double before = wanted > all ? cls.thread_budget : cls.controller_output;
    const double least = settings_.classes[c].threads;
    cls.controller_output = std::clamp(
        before + kControllerGain * kGainBudgetShare * all * (error - kControllerZero * cls.previous_error), least, std::max(least, all));
    cls.previous_error = error;
    cls.wait_seconds = cls.released_queries = 0;
  }
}

void Gateway::Impl::apply(const TimerExpired&) {
  if (now_ < last_tick_ + kTimerInterval) return;
  const double passed = to_seconds(now_ - last_tick_);
  last_tick_ = now_;
  emit(SetTimer{kTimerInterval});
  if (settings_.membership_on_request && membership_retry_at_ > Time::zero() && now_ >= membership_retry_at_) {
    membership_retry_at_ = Time::zero();
    emit(WatchMembership{true});
  }
  refill_tenant_tokens(passed);
  usual_running_threads_ += std::min(1.0, passed / kRunningThreadsSeconds) * (total_running_threads() - usual_running_threads_);
  while (!deadlines_.empty() && deadlines_.begin()->first <= now_)
    reject_or_fail(requests_.at(deadlines_.begin()->second), "at the deadline");
  reject_overdue();
  for (const auto id : std::vector(busy_engines_.begin(), busy_engines_.end())) check_stalled_attempts(engines_.at(id));
  for (auto* engine : small_budget_ ? std::vector<Engine*>() : ready_engines_) probe_if_outdated(*engine, 0);
  draw_admission_slots(passed);
  report_to_peers();
  if (now_ >= last_sample_ + kControlPeriod) {
    update_arrival_rate(to_seconds(now_ - last_sample_));
    last_sample_ = now_;
    run_controller();
  }
  remove_expired();
}

double Gateway::Impl::tenant_share_rate(std::size_t t) const {
  return (fleet_overloaded() ? 1 : kShareTolerance) * settings_.tenants[t].share * arrival_rate_;
}

// A flood must not raise the share it is measured against: the rate grows slowly, and not in a crowd.
void Gateway::Impl::update_arrival_rate(double passed) {
  const double rate = period_arrivals_ / passed;
  arrival_rate_age_ = std::min(arrival_rate_age_ + passed, kArrivalRateSeconds);
  const double most = fleet_overloaded() ? arrival_rate_ : kMaxRateGrowth * arrival_rate_ + 1 / passed;
  arrival_rate_ +=
      passed / arrival_rate_age_ * ((3 * passed < arrival_rate_age_ ? std::min(rate, most) : rate) - arrival_rate_);
  period_arrivals_ = 0;
}

void Gateway::Impl::refill_tenant_tokens(double passed) {
  for (std::size_t t = 0; t < tenant_tokens_.size(); ++t)
    tenant_tokens_[t] =
        std::min(tenant_tokens_[t] + tenant_share_rate(t) * passed, tenant_share_rate(t) * kShareBurstSeconds + kExtraShareTokens);
}

}  // namespace heronwell
