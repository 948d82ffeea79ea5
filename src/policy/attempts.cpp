// Sends attempts, and decides on another when one has ended.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr std::uint8_t kTopPriority = 3, kNormalPriority = 1;  // priorities of the first class in rank, and of the others:
constexpr std::uint8_t kSmallQueryPriority = 2, kLargeQueryPriority = 0;  // of their small and big queries, by these sizes
constexpr double kSmallQuerySize = 0.7, kLargeQuerySize = 2.5;
constexpr double kReservationPerNeed = 3.2;          // memory granted, in needs of late as answers told them
constexpr double kReservationPerEstimate = 2.0;  // memory granted, in estimates as answers set them right
constexpr double kHedgeAfterLatencies = 4;        // typical answer times of such a query before a copy is sent
constexpr double kLostAfterLatencies = 6;        // and before one that gave no note is taken back
}  // namespace

// Granted less than it needs a query spills; estimates are off by class, by as much as answers have told.
double Gateway::Impl::memory_reservation(const Request& request) const {
  const auto& cls = classes_[request.arrival.class_index];
  if (!(request.arrival.estimated_memory_mb > 0)) return kReservationPerNeed * cls.mean_memory_needed;
  return kReservationPerEstimate * request.arrival.estimated_memory_mb *
         (cls.mean_memory_estimated > 0 ? cls.mean_memory_needed / cls.mean_memory_estimated : 1);
}

std::uint8_t Gateway::Impl::priority(const Request& request) const {
  if (request.arrival.class_index == priority_order_.front()) return kTopPriority;
  return request.relative_size < kSmallQuerySize ? kSmallQueryPriority : request.relative_size < kLargeQuerySize ? kNormalPriority : kLargeQueryPriority;
}

// The only place that sends.
bool Gateway::Impl::send_attempt(Request& request, Engine& engine) {
  if (!may_send(request, engine)) return false;
  auto& cls = classes_[request.arrival.class_index];
  const auto& set = this->settings_of(request);
  if (request.in_queue) {  // a copy has not waited here
    cls.wait_seconds += to_seconds(now_ - request.queued_since);
    ++cls.released_queries;
  }
  if (!request.attempts.empty()) recent_retries_.push_back(now_);
  if (settings_.memory_reservations || settings_.priorities)
    emit(ExecutionLimits{request.arrival.request, memory_reservation(request), priority(request)});
  emit(Send{request.arrival.request, engine.entry.engine, request.deadline - kDeadlineMargin,
           retry_deadline(request)});
  engine.admission_work_left -= slow_start_work(request);
  if (engine.in_flight.empty()) engine.last_response = now_;
  engine.in_flight.insert({request.arrival.request, static_cast<AttemptIndex>(request.attempts.size())});
  request.attempts.push_back({engine.entry.engine, engine.entry.zone, engine.entry.cell, now_, now_});
  request.in_queue = false;
  cls.running_threads += set.threads;
  engine.threads += set.threads;
  ++engine.queries;
  busy_engines_.insert(engine.entry.engine);
  return true;
}

void Gateway::Impl::apply(const AttemptResult& outcome) {
  auto* request = find_request(outcome.request);
  const auto at = engines_.find(outcome.engine);
  if (request == nullptr || outcome.attempt >= request->attempts.size() || at == engines_.end()) return;
  auto& attempt = request->attempts[outcome.attempt];
  if (!attempt.in_flight) return;
  auto& engine = at->second;
  const auto& set = this->settings_of(*request);
  attempt.in_flight = false;
  attempt.status = outcome.status;
  engine.in_flight.erase({outcome.request, outcome.attempt});
  classes_[request->arrival.class_index].running_threads -= set.threads;
  engine.threads -= set.threads;
  if (--engine.queries == 0) busy_engines_.erase(outcome.engine);
  if (is_ordered(*request) &&
      (outcome.status == AttemptStatus::timed_out || outcome.status == AttemptStatus::connection_reset ||
       outcome.status == AttemptStatus::cancelled || outcome.status == AttemptStatus::query_dropped))
    key_order_.pause(request->arrival.order_key, now_ + settings_.order_quiet_period);
  record_load(engine, outcome.load);
  evaluate_result(engine, *request, outcome);
  if (outcome.request_closed && request->open) return close(*request);
  if (request->has_attempt_in_flight() || request->in_queue) return;  // by another attempt
  if (!request->open) return erase_request(*request);
  retry_or_reject(*request);
}

void Gateway::Impl::retry_or_reject(Request& request) {
  const auto may = [&](const Engine* e) { return placement_allowed(request, *e) && retry_allowed(request, *e); };
  const bool can = std::ranges::any_of(ready_engines_, may);
  if (!can || request.attempts.size() >= settings_.max_attempts || !within_retry_budget() || query_at_fault(request))
    return reject_or_fail(request, "not to be repeated");
  add_to_queue(request, true);
}

// Two engines that otherwise do well have said no to it: a third would too.
bool Gateway::Impl::query_at_fault(const Request& request) const {
  std::set<EngineId> said;
  for (const auto& attempt : request.attempts) {
    const auto at = engines_.find(attempt.engine);
    if (attempt.status == AttemptStatus::error && !attempt.in_flight && at != engines_.end() &&
        at->second.error_rate < kErrorRateWeight)
      said.insert(attempt.engine);
  }
  return said.size() > 1;
}

// Takes a safe query back from an engine, to send it elsewhere once the call-off is confirmed.
void Gateway::Impl::cancel_stalled_attempt(RequestId id, std::size_t n) {
  auto& request = requests_.at(id);
  if (!request.open || settings_of(request).idempotency != Idempotency::safe) return;
  if (request.attempts_awaiting_result() > 1 ||
      (request.attempts.size() < settings_.max_attempts && within_retry_budget()))
    cancel_attempt(request, n);
}

// An attempt out for much longer than such a query takes: its answer is lost, its plan bad, its engine slow
// or at a stand. Another goes elsewhere, rationed by work and not in a crowd, where most are slow. In the
// end it is taken back: a lost one would pass for running until its deadline, and lift the level all go by.
void Gateway::Impl::hedge_slow_attempt(RequestId id, std::size_t n) {
  auto& request = requests_.at(id);
  const auto& attempt = request.attempts[n];
  const double times = to_seconds(now_ - attempt.sent) / predicted_latency(request);
  if (!settings_.can_hedge || !request.open || times < kHedgeAfterLatencies) return;
  if (times > kLostAfterLatencies && attempt.last_report == attempt.sent) return cancel_stalled_attempt(id, n);
  if (n + 1 < request.attempts.size() || request.attempts.size() >= settings_.max_attempts) return;
  if (request.in_queue || fleet_overloaded() || hedge_work_tokens_ < expected_work(request)) return;
  for (std::size_t i = 0; i < n; ++i) cancel_attempt(request, i);  // a third: the first is lost
  Engine* engine = choose_engine(request);
  if (engine != nullptr && send_attempt(request, *engine)) hedge_work_tokens_ -= expected_work(request);
}

}  // namespace heronwell
