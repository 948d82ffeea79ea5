// Sends attempts, and decides what follows when one has ended or takes too long.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr std::uint8_t kTopPriority = 3,         // of the first class in the priority order
    kNormalPriority = 1;                         // of medium-sized queries of other classes
constexpr std::uint8_t kSmallQueryPriority = 2,  // of small queries of other classes
    kLargeQueryPriority = 0;                     // of large queries of other classes
constexpr double kSmallQuerySize = 0.7,          // queries of a lower relative size are small
    kLargeQuerySize = 2.5;                       // queries of this relative size or more are large
// Memory reserved without an estimate, in multiples of the mean need that responses reported.
constexpr double kReservationPerNeed = 3.2;
// Memory reserved with an estimate, in multiples of the estimate, corrected by what responses reported.
constexpr double kReservationPerEstimate = 2.0;
// Predicted latencies after which a hedged attempt is sent.
constexpr double kHedgeAfterLatencies = 4;
// Predicted latencies after which an attempt without any progress report is cancelled.
constexpr double kLostAfterLatencies = 6;
}  // namespace

// A query with too little memory spills to disk. Estimates are wrong by a factor for each class, which the
// needs that responses report correct.
double Gateway::Impl::memory_reservation(const Request& request) const {
  const auto& cls = classes_[request.arrival.class_index];
  if (!(request.arrival.estimated_memory_mb > 0)) return kReservationPerNeed * cls.mean_memory_needed;
  return kReservationPerEstimate * request.arrival.estimated_memory_mb *
         (cls.mean_memory_estimated > 0 ? cls.mean_memory_needed / cls.mean_memory_estimated : 1);
}

std::uint8_t Gateway::Impl::priority(const Request& request) const {
  if (request.arrival.class_index == priority_order_.front()) return kTopPriority;
  return request.relative_size < kSmallQuerySize   ? kSmallQueryPriority
         : request.relative_size < kLargeQuerySize ? kNormalPriority
                                                   : kLargeQueryPriority;
}

// The only function that sends queries to engines.
bool Gateway::Impl::send_attempt(Request& request, Engine& engine) {
  if (!may_send(request, engine)) return false;
  auto& cls = classes_[request.arrival.class_index];
  const auto& class_settings = this->settings_of(request);
  if (request.in_queue) {  // a hedged attempt has not waited in the queue
    cls.wait_seconds += to_seconds(now_ - request.queued_since);
    ++cls.released_queries;
  }
  if (!request.attempts.empty()) recent_retries_.push_back(now_);
  if (settings_.memory_reservations || settings_.priorities)
    emit(ExecutionLimits{request.arrival.request, memory_reservation(request), priority(request)});
  emit(Send{request.arrival.request, engine.entry.engine, request.deadline - kDeadlineMargin,
            send_deadline(request)});
  engine.admission_work_left -= slow_start_work(request);
  if (engine.in_flight.empty()) engine.last_response = now_;
  engine.in_flight.insert({request.arrival.request, static_cast<AttemptIndex>(request.attempts.size())});
  request.attempts.push_back({engine.entry.engine, engine.entry.zone, engine.entry.cell, now_, now_});
  request.in_queue = false;
  cls.running_threads += class_settings.threads;
  engine.threads += class_settings.threads;
  ++engine.queries;
  busy_engines_.insert(engine.entry.engine);
  return true;
}

void Gateway::Impl::apply(const AttemptResult& result) {
  auto* request = find_request(result.request);
  const auto found = engines_.find(result.engine);
  if (request == nullptr || result.attempt >= request->attempts.size() || found == engines_.end()) return;
  auto& attempt = request->attempts[result.attempt];
  if (!attempt.in_flight) return;
  auto& engine = found->second;
  const auto& class_settings = this->settings_of(*request);
  attempt.in_flight = false;
  attempt.status = result.status;
  engine.in_flight.erase({result.request, result.attempt});
  classes_[request->arrival.class_index].running_threads -= class_settings.threads;
  engine.threads -= class_settings.threads;
  if (--engine.queries == 0) busy_engines_.erase(result.engine);
  if (is_ordered(*request) &&
      (result.status == AttemptStatus::timed_out || result.status == AttemptStatus::connection_reset ||
       result.status == AttemptStatus::cancelled || result.status == AttemptStatus::query_dropped))
    key_order_.pause(request->arrival.order_key, now_ + settings_.order_quiet_period);
  record_load(engine, result.load);
  evaluate_result(engine, *request, result);
  if (result.request_closed && request->open) return close(*request);
  if (request->has_attempt_in_flight() || request->in_queue) return;  // another attempt decides
  if (!request->open) return erase_request(*request);
  retry_or_reject(*request);
}

void Gateway::Impl::retry_or_reject(Request& request) {
  const auto may_run_on = [&](const Engine* engine) {
    return placement_allowed(request, *engine) && retry_allowed(request, *engine);
  };
  const bool has_engine = std::ranges::any_of(ready_engines_, may_run_on);
  if (!has_engine || request.attempts.size() >= settings_.max_attempts || !within_retry_budget() ||
      query_at_fault(request))
    return reject_or_fail(request, "no retry possible");
  add_to_queue(request, true);
}

// Two engines that otherwise work well returned an error for it: a third one would too.
bool Gateway::Impl::query_at_fault(const Request& request) const {
  std::set<EngineId> failed_engines;
  for (const auto& attempt : request.attempts) {
    const auto found = engines_.find(attempt.engine);
    if (attempt.status == AttemptStatus::error && !attempt.in_flight && found != engines_.end() &&
        found->second.error_rate < kErrorRateWeight)
      failed_engines.insert(attempt.engine);
  }
  return failed_engines.size() > 1;
}

// Only for safe queries. The retry is sent once the cancellation is confirmed.
void Gateway::Impl::cancel_stalled_attempt(RequestId id, std::size_t index) {
  auto& request = requests_.at(id);
  if (!request.open || settings_of(request).idempotency != Idempotency::safe) return;
  if (request.attempts_awaiting_result() > 1 ||
      (request.attempts.size() < settings_.max_attempts && within_retry_budget()))
    cancel_attempt(request, index);
}

// An attempt takes much longer than predicted if its response is lost, its query plan is bad, or its engine
// is slow or has stopped. A hedged attempt then goes to another engine. The work of hedged attempts is
// limited, and none is sent while the fleet is overloaded, since most attempts are slow then. In the end the
// slow attempt is cancelled: a lost one would count as running until its deadline and raise the fleet load
// that all gateways use.
void Gateway::Impl::hedge_slow_attempt(RequestId id, std::size_t index) {
  auto& request = requests_.at(id);
  const auto& attempt = request.attempts[index];
  const double elapsed_latencies = to_seconds(now_ - attempt.sent) / predicted_latency(request);
  if (!settings_.can_hedge || !request.open || elapsed_latencies < kHedgeAfterLatencies) return;
  if (elapsed_latencies > kLostAfterLatencies && attempt.last_report == attempt.sent)
    return cancel_stalled_attempt(id, index);
  if (index + 1 < request.attempts.size() || request.attempts.size() >= settings_.max_attempts) return;
  if (request.in_queue || fleet_overloaded() || hedge_work_tokens_ < expected_work(request)) return;
  for (std::size_t earlier = 0; earlier < index; ++earlier)
    cancel_attempt(request, earlier);  // a third attempt: the ones before count as lost
  Engine* engine = choose_engine(request);
  if (engine != nullptr && send_attempt(request, *engine)) hedge_work_tokens_ -= expected_work(request);
}

}  // namespace heronwell
