// Sends attempts, and decides on another when one has ended.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr std::uint8_t kFirst = 3, kUsual = 1;  // priorities of the first class in rank, and of the others:
constexpr std::uint8_t kSmallUp = 2, kBigDown = 0;  // of their small and big queries, by these sizes
constexpr double kSmall = 0.7, kBig = 2.5;
constexpr double kGrant = 3.2;          // memory granted, in needs of late as answers told them
constexpr double kGrantEstimate = 2.0;  // memory granted, in estimates as answers set them right
constexpr double kCopyAfter = 4;        // typical answer times of such a query before a copy is sent
constexpr double kLostAfter = 6;        // and before one that gave no note is taken back
}  // namespace

// Granted less than it needs a query spills; estimates are off by class, by as much as answers have told.
double Gateway::Impl::grant(const Request& request) const {
  const auto& cls = classes_[request.arrival.class_index];
  if (!(request.arrival.estimated_memory_mb > 0)) return kGrant * cls.mean_memory_needed;
  return kGrantEstimate * request.arrival.estimated_memory_mb *
         (cls.mean_memory_estimated > 0 ? cls.mean_memory_needed / cls.mean_memory_estimated : 1);
}

std::uint8_t Gateway::Impl::priority(const Request& request) const {
  if (request.arrival.class_index == rank_.front()) return kFirst;
  return request.relative_size < kSmall ? kSmallUp : request.relative_size < kBig ? kUsual : kBigDown;
}

// The only place that sends.
bool Gateway::Impl::transmit(Request& request, Engine& engine) {
  if (!may_send(request, engine)) return false;
  auto& cls = classes_[request.arrival.class_index];
  const auto& set = this->set(request);
  if (request.in_queue) {  // a copy has not waited here
    cls.wait_seconds += to_seconds(now_ - request.queued_since);
    ++cls.released_queries;
  }
  if (!request.attempts.empty()) further_.push_back(now_);
  if (s_.memory_reservations || s_.priorities)
    put(ExecutionLimits{request.arrival.request, grant(request), priority(request)});
  put(Send{request.arrival.request, engine.entry.engine, request.deadline - kDeadlineMargin,
           repeat_until(request)});
  engine.admission_work_left -= cold_work(request);
  if (engine.in_flight.empty()) engine.last_response = now_;
  engine.in_flight.insert({request.arrival.request, static_cast<AttemptIndex>(request.attempts.size())});
  request.attempts.push_back({engine.entry.engine, engine.entry.zone, engine.entry.cell, now_, now_});
  request.in_queue = false;
  cls.running_threads += set.threads;
  engine.threads += set.threads;
  ++engine.queries;
  busy_.insert(engine.entry.engine);
  return true;
}

void Gateway::Impl::on(const AttemptResult& outcome) {
  auto* request = find(outcome.request);
  const auto at = engines_.find(outcome.engine);
  if (request == nullptr || outcome.attempt >= request->attempts.size() || at == engines_.end()) return;
  auto& attempt = request->attempts[outcome.attempt];
  if (!attempt.in_flight) return;
  auto& engine = at->second;
  const auto& set = this->set(*request);
  attempt.in_flight = false;
  attempt.status = outcome.status;
  engine.in_flight.erase({outcome.request, outcome.attempt});
  classes_[request->arrival.class_index].running_threads -= set.threads;
  engine.threads -= set.threads;
  if (--engine.queries == 0) busy_.erase(outcome.engine);
  if (in_order(*request) &&
      (outcome.status == AttemptStatus::timed_out || outcome.status == AttemptStatus::connection_reset ||
       outcome.status == AttemptStatus::cancelled || outcome.status == AttemptStatus::query_dropped))
    turns_.pause(request->arrival.order_key, now_ + s_.order_quiet_period);
  take_load(engine, outcome.load);
  judge(engine, *request, outcome);
  if (outcome.request_closed && request->open) return close(*request);
  if (request->has_attempt_in_flight() || request->in_queue) return;  // by another attempt
  if (!request->open) return forget(*request);
  again(*request);
}

void Gateway::Impl::again(Request& request) {
  const auto may = [&](const Engine* e) { return placed(request, *e) && repeat_allowed(request, *e); };
  const bool can = std::ranges::any_of(ready_, may);
  if (!can || request.attempts.size() >= s_.max_attempts || !within_retry_budget() || at_fault(request))
    return finish(request, "not to be repeated");
  hold(request, true);
}

// Two engines that otherwise do well have said no to it: a third would too.
bool Gateway::Impl::at_fault(const Request& request) const {
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
void Gateway::Impl::rescue(RequestId id, std::size_t n) {
  auto& request = requests_.at(id);
  if (!request.open || set(request).idempotency != Idempotency::safe) return;
  if (request.attempts_awaiting_result() > 1 ||
      (request.attempts.size() < s_.max_attempts && within_retry_budget()))
    call_off(request, n);
}

// An attempt out for much longer than such a query takes: its answer is lost, its plan bad, its engine slow
// or at a stand. Another goes elsewhere, rationed by work and not in a crowd, where most are slow. In the
// end it is taken back: a lost one would pass for running until its deadline, and lift the level all go by.
void Gateway::Impl::copy(RequestId id, std::size_t n) {
  auto& request = requests_.at(id);
  const auto& attempt = request.attempts[n];
  const double times = to_seconds(now_ - attempt.sent) / foretold(request);
  if (!s_.can_hedge || !request.open || times < kCopyAfter) return;
  if (times > kLostAfter && attempt.last_report == attempt.sent) return rescue(id, n);
  if (n + 1 < request.attempts.size() || request.attempts.size() >= s_.max_attempts) return;
  if (request.in_queue || crowded() || copy_work_ < work(request)) return;
  for (std::size_t i = 0; i < n; ++i) call_off(request, i);  // a third: the first is lost
  Engine* engine = pick(request);
  if (engine != nullptr && transmit(request, *engine)) copy_work_ -= work(request);
}

}  // namespace heronwell
