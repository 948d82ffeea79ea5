// Outlier detection: ejects engines that fail or stay silent. Also learns latencies and costs from responses.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
// Weight of one response in an engine's latency ratio.
constexpr double kLatencyRatioWeight = 0.1;
// Weight of one response in the fleet's latency ratio.
constexpr double kFleetLatencyRatioWeight = 0.04;
// Load at least assumed for an engine that has rejected a query.
constexpr double kRejectingThreadsPerCore = 4;
// Error rate at which an engine is ejected if the fleet has no errors: two in a row.
constexpr double kEjectionErrorRate = 0.4;
// The fleet's error rate times this is added to that limit: an engine is not at fault for errors
// that occur on all engines.
constexpr double kFleetErrorFactor = 4;
// Weight of one outcome in the fleet's error rate.
constexpr double kFleetErrorRateWeight = 0.01;
// No engine process ends and starts again in less time.
constexpr Time kMinRestartTime = 500ms;
// Length of the first ejection; doubled after each failed half-open attempt, up to the limit.
constexpr Time kFirstEjection = 1s, kMaxEjection = 4s;
// An engine is silent after this many overdue responses: the ages of its attempts, in usual latencies.
constexpr double kSilentOverdueResponses = 6;
// One attempt counts for at most this many of them: a single long query does not make an engine silent.
constexpr double kMaxOverduePerAttempt = 3;
// An engine counts as silent only after at least this time without a response.
constexpr Time kMinSilence = 800ms;
// The progress of an attempt is not judged before this age.
constexpr Time kMinProgressAge = 900ms;
// Predicted duration, in usual latencies, from which a query plan is bad.
constexpr double kBadPlanLatencies = 5;
// Progress intervals without a report of an attempt after which it, or its response, is lost.
constexpr int kMissedReportIntervals = 2;
// One response moves the median latency up or down by this share.
constexpr double kMedianLatencyStep = 0.1;
}  // namespace

void Gateway::Impl::evaluate_result(Engine& engine, const Request& request, const AttemptResult& result) {
  const auto status = result.status;
  if (status == AttemptStatus::served) return record_success(engine, request, result);
  // The query may be at fault. If it can be retried on another engine, the result there decides.
  if (status == AttemptStatus::error && settings_of(request).idempotency != Idempotency::unsafe) return;
  if (status == AttemptStatus::error) return record_failure(engine, kErrorRateWeight);
  // The engine is alive, and what broke the connection may happen to any engine; no process has restarted.
  if (status == AttemptStatus::query_dropped) return record_failure(engine, kErrorRateWeight);
  if (status == AttemptStatus::rejected && fleet_load() < 0) return eject(engine, "rejects queries");
  if (status == AttemptStatus::rejected)
    return store_report(engine, kRejectingThreadsPerCore * engine_cores(engine), engine.last_response = now_);
  if (status != AttemptStatus::connect_failed && status != AttemptStatus::connection_reset) return;
  // The process may have ended, and may start again before a membership update says so.
  if (engine.connection_broken_at == Time::zero()) engine.previous_slow_start_since = engine.slow_start_since;
  engine.slow_start_since = now_;
  engine.connection_broken_at = status == AttemptStatus::connection_reset ? now_ : Time::zero();
  if (status == AttemptStatus::connect_failed) return eject(engine, "takes no connections");
  record_failure(engine, send_probe(engine) ? kErrorRateWeight : 2 * kErrorRateWeight);
}

void Gateway::Impl::record_sign_of_life(Engine& engine, Time at) {
  if (engine.connection_broken_at == Time::zero() || at <= engine.connection_broken_at) return;
  if (at <= engine.connection_broken_at + kMinRestartTime)
    engine.slow_start_since = engine.previous_slow_start_since;
  engine.connection_broken_at = Time::zero();
}

void Gateway::Impl::record_success(Engine& engine, const Request& request, const AttemptResult& result) {
  const auto class_index = request.arrival.class_index;
  auto& cls = classes_[class_index];
  engine.last_response = now_;
  record_sign_of_life(engine, now_);
  engine.error_rate -= kErrorRateWeight * engine.error_rate;
  fleet_error_rate_ -= kFleetErrorRateWeight * fleet_error_rate_;
  for (const auto& attempt : request.attempts) {
    const auto failed_engine = engines_.find(attempt.engine);
    if (attempt.status == AttemptStatus::error && !attempt.in_flight && failed_engine != engines_.end() &&
        &failed_engine->second != &engine)
      record_failure(failed_engine->second, kErrorRateWeight);
  }
  if (engine.health == Health::half_open) {
    engine.health = Health::healthy;
    engine.ejection_time = Time::zero();
    fleet_changed_ = true;
    trace_engine(engine, "responds again");
  }
  const double latency_seconds = to_seconds(result.latency);
  const double threads = settings_.classes[class_index].threads;
  cls.recent_latency += 0.05 * (latency_seconds - cls.recent_latency);
  cls.median_latency *=
      latency_seconds > predicted_latency(request) ? 1 + kMedianLatencyStep : 1 - kMedianLatencyStep;
  if (settings_.memory_reservations && result.work) {
    cls.mean_memory_needed +=
        (cls.mean_memory_needed > 0 ? 0.05 : 1) * (result.memory_needed_mb - cls.mean_memory_needed);
    const double estimated_mb = request.arrival.estimated_memory_mb;
    if (estimated_mb > 0)
      cls.mean_memory_estimated +=
          (cls.mean_memory_estimated > 0 ? 0.05 : 1) * (estimated_mb - cls.mean_memory_estimated);
  }
  const double core_seconds = result.work ? to_seconds(*result.work) : latency_seconds * threads;
  // Divided by the relative size, so that it is right for all arriving requests although large ones are
  // rejected.
  cls.mean_work += 0.05 * (core_seconds / request.relative_size - cls.mean_work);
  // Where responses contain the work, the latency ratio does not depend on the size of the query.
  const double latency_ratio =
      latency_seconds / (result.work ? std::max(0.02, core_seconds / threads) : cls.baseline_latency);
  update_baseline_latency(cls, latency_seconds);
  fleet_latency_ratio_ +=
      kFleetLatencyRatioWeight * (std::clamp(latency_ratio, 0.2, 8.0) - fleet_latency_ratio_);
  engine.latency_ratio += kLatencyRatioWeight * (std::clamp(latency_ratio, 0.2, 8.0) - engine.latency_ratio);
  const bool is_slow = slowness(engine) > 1;
  fleet_changed_ = fleet_changed_ || is_slow != engine.slow;
  engine.slow = is_slow;
}

// Follows a decrease quickly and an increase slowly, so that congestion does not soon count as usual.
void Gateway::Impl::update_baseline_latency(ClassState& cls, double latency_seconds) {
  cls.baseline_batch_sum += latency_seconds;
  if (++cls.baseline_batch_count < 10) return;
  const double batch_mean = cls.baseline_batch_sum / cls.baseline_batch_count;
  cls.baseline_latency +=
      (batch_mean < cls.baseline_latency ? 0.5 : 0.05) * (batch_mean - cls.baseline_latency);
  cls.baseline_batch_sum = cls.baseline_batch_count = 0;
}

// An engine that fails its queries at once looks fast and idle, and would attract still more.
void Gateway::Impl::record_failure(Engine& engine, double weight) {
  engine.error_rate += weight * (1 - engine.error_rate);
  fleet_error_rate_ += kFleetErrorRateWeight * (1 - fleet_error_rate_);
  if (engine.health == Health::half_open ||
      engine.error_rate >= std::min(0.95, kEjectionErrorRate + kFleetErrorFactor * fleet_error_rate_))
    eject(engine, "fails its queries");
}

void Gateway::Impl::eject(Engine& engine, const char* reason) {
  if (engine.health == Health::ejected) return;
  if (engine.health == Health::healthy) trace_engine(engine, reason);
  engine.health = Health::ejected;
  fleet_changed_ = true;
  engine.ejection_time =
      engine.ejection_time > Time::zero() ? std::min(2 * engine.ejection_time, kMaxEjection) : kFirstEjection;
  engine.ejected_until = now_ + from_seconds(to_seconds(engine.ejection_time) * (0.5 + random_unit()));
  for (const auto& [id, index] : std::vector(engine.in_flight.begin(), engine.in_flight.end()))
    cancel_stalled_attempt(id, index);
}

bool Gateway::Impl::is_ejected(const Engine& engine) const { return engine.health == Health::ejected; }

// Where progress reports are promised, an attempt without one is lost; so is its engine if it has not
// responded otherwise.
void Gateway::Impl::check_stalled_attempts(Engine& engine) {
  const Time silence = now_ - engine.last_response;
  double overdue_responses = 0;
  for (const auto& [id, index] : std::vector(engine.in_flight.begin(), engine.in_flight.end())) {
    hedge_slow_attempt(id, index);
    const auto& request = requests_.at(id);
    const auto& attempt = request.attempts[index];
    if (settings_.progress_interval == Time::zero()) {
      const Time age = std::min(silence, now_ - attempt.sent);
      overdue_responses += std::min(to_seconds(age) / classes_[request.arrival.class_index].recent_latency,
                                    kMaxOverduePerAttempt);
    } else if (now_ - attempt.last_report > kMissedReportIntervals * settings_.progress_interval &&
               attempt.awaiting_result()) {
      silence > kMissedReportIntervals* settings_.progress_interval ? eject(engine, "is silent")
                                                                    : cancel_stalled_attempt(id, index);
    }
  }
  if (silence > kMinSilence && overdue_responses > kSilentOverdueResponses) eject(engine, "is silent");
}

void Gateway::Impl::apply(const ProgressReport& report) {
  const auto found = engines_.find(report.engine);
  auto* request = find_request(report.request);
  if (found != engines_.end()) found->second.last_response = now_;
  if (request == nullptr || report.attempt >= request->attempts.size()) return;
  request->attempts[report.attempt].last_report = now_;
  const double age = to_seconds(now_ - request->attempts[report.attempt].sent);
  // The query plan is bad or the engine far too slow: what is left would take longer than starting again
  // elsewhere.
  const bool bad_plan =
      report.kind == ProgressKind::progress && report.attempt == 0 && age > to_seconds(kMinProgressAge) &&
      age / std::max(report.value, 0.005) > kBadPlanLatencies * std::max(1.0, request->relative_size) *
                                                classes_[request->arrival.class_index].recent_latency;
  if (bad_plan || (report.kind == ProgressKind::waiting && report.value > 1.5))
    cancel_stalled_attempt(report.request, report.attempt);
}

// After an ejection one safe query at a time is sent, until one succeeds or fails.
bool Gateway::Impl::health_allows(const Request& request, Engine& engine) const {
  if (engine.health == Health::healthy) return true;
  if (engine.health == Health::ejected && now_ >= engine.ejected_until) engine.health = Health::half_open;
  return engine.health == Health::half_open && engine.queries == 0 &&
         settings_of(request).idempotency == Idempotency::safe;
}

}  // namespace heronwell
