// Judges engines by how attempts end, and rests those that fail or fall silent.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr double kLatencyRatioWeight = 0.1;    // weight of one answer in an engine's pace
constexpr double kFleetLatencyRatioWeight = 0.04;  // weight of one answer in the fleet's pace
constexpr double kRejectingThreadsPerCore = 4;   // threads a core of an engine that turned a query away, at the least
constexpr double kEjectionErrorRate = 0.4;    // error share at which an engine is rested: two errors in a row;
constexpr double kFleetErrorFactor = 4;         // and so many times the fleet's share on top: what all engines do alike
constexpr double kFleetErrorRateWeight = 0.01;            // weight of one outcome in the fleet's error share
constexpr Time kMinRestartTime = 500ms;               // no process ends and begins anew in less
constexpr Time kFirstEjection = 1s, kMaxEjection = 4s;  // before the first trial; doubled at each failed one
constexpr double kSilentOverdueResponses = 6;  // answers overdue, by usual times, before silence is believed
constexpr double kMaxOverduePerAttempt = 3;     // of them for one attempt: a single long query is no silence
constexpr Time kMinSilence = 800ms;  // and this long without a word
constexpr Time kMinProgressAge = 900ms;     // an attempt is not judged by its progress before this
constexpr double kBadPlanLatencies = 5;        // predicted length in usual answer times that tells a bad plan
constexpr int kMissedReportIntervals = 2;           // note paces without a note of an attempt: it, or its answer, is lost
constexpr double kMedianLatencyStep = 0.1;   // of the typical answer time that one answer moves it by
}  // namespace

void Gateway::Impl::evaluate_result(Engine& engine, const Request& request, const AttemptResult& outcome) {
  const auto result = outcome.status;
  if (result == AttemptStatus::served) return record_success(engine, request, outcome);
  // The statement may be at fault. Where another engine can be asked, its answer tells.
  if (result == AttemptStatus::error && settings_of(request).idempotency != Idempotency::unsafe) return;
  if (result == AttemptStatus::error) return record_failure(engine, kErrorRateWeight);
  // Its engine lives: what broke the connection may break any engine's, and no process has begun anew.
  if (result == AttemptStatus::query_dropped) return record_failure(engine, kErrorRateWeight);
  if (result == AttemptStatus::rejected && fleet_load() < 0) return eject(engine, "is full");
  if (result == AttemptStatus::rejected)
    return store_report(engine, kRejectingThreadsPerCore * engine_cores(engine), engine.last_response = now_);
  if (result != AttemptStatus::connect_failed && result != AttemptStatus::connection_reset) return;
  // Its process may have ended, and begin anew before any list tells.
  if (engine.connection_broken_at == Time::zero()) engine.previous_slow_start_since = engine.slow_start_since;
  engine.slow_start_since = now_;
  engine.connection_broken_at = result == AttemptStatus::connection_reset ? now_ : Time::zero();
  if (result == AttemptStatus::connect_failed) return eject(engine, "takes no connections");
  record_failure(engine, send_probe(engine) ? kErrorRateWeight : 2 * kErrorRateWeight);
}

void Gateway::Impl::record_sign_of_life(Engine& engine, Time at) {
  if (engine.connection_broken_at == Time::zero() || at <= engine.connection_broken_at) return;
  if (at <= engine.connection_broken_at + kMinRestartTime)
    engine.slow_start_since = engine.previous_slow_start_since;
  engine.connection_broken_at = Time::zero();
}

void Gateway::Impl::record_success(Engine& engine, const Request& request, const AttemptResult& outcome) {
  const auto c = request.arrival.class_index;
  auto& cls = classes_[c];
  engine.last_response = now_;
  record_sign_of_life(engine, now_);
  engine.error_rate -= kErrorRateWeight * engine.error_rate;
  fleet_error_rate_ -= kFleetErrorRateWeight * fleet_error_rate_;
  for (const auto& attempt : request.attempts) {
    const auto failed = engines_.find(attempt.engine);
    if (attempt.status == AttemptStatus::error && !attempt.in_flight && failed != engines_.end() &&
        &failed->second != &engine)
      record_failure(failed->second, kErrorRateWeight);
  }
  if (engine.health == Health::half_open) {
    engine.health = Health::healthy;
    engine.ejection_time = Time::zero();
    fleet_changed_ = true;
    trace_engine(engine, "answers again");
  }
  const double took = to_seconds(outcome.latency);
  const double threads = settings_.classes[c].threads;
  cls.recent_latency += 0.05 * (took - cls.recent_latency);
  cls.median_latency *= took > predicted_latency(request) ? 1 + kMedianLatencyStep : 1 - kMedianLatencyStep;
  if (settings_.memory_reservations && outcome.work) {
    cls.mean_memory_needed +=
        (cls.mean_memory_needed > 0 ? 0.05 : 1) * (outcome.memory_needed_mb - cls.mean_memory_needed);
    const double told = request.arrival.estimated_memory_mb;
    if (told > 0)
      cls.mean_memory_estimated +=
          (cls.mean_memory_estimated > 0 ? 0.05 : 1) * (told - cls.mean_memory_estimated);
  }
  const double work = outcome.work ? to_seconds(*outcome.work) : took * threads;
  cls.mean_work +=
      0.05 * (work / request.relative_size - cls.mean_work);  // of all asked, though large ones go unserved
  // Where the work is told, an answer's own length is taken out of its pace.
  const double measure = took / (outcome.work ? std::max(0.02, work / threads) : cls.baseline_latency);
  update_baseline_latency(cls, took);
  fleet_latency_ratio_ += kFleetLatencyRatioWeight * (std::clamp(measure, 0.2, 8.0) - fleet_latency_ratio_);
  engine.latency_ratio += kLatencyRatioWeight * (std::clamp(measure, 0.2, 8.0) - engine.latency_ratio);
  const bool slow = slowness(engine) > 1;
  fleet_changed_ = fleet_changed_ || slow != engine.slow;
  engine.slow = slow;
}

// Falls quickly and rises slowly, so that a jam is not soon taken for usual.
void Gateway::Impl::update_baseline_latency(ClassState& cls, double took) {
  cls.baseline_batch_sum += took;
  if (++cls.baseline_batch_count < 10) return;
  const double mean = cls.baseline_batch_sum / cls.baseline_batch_count;
  cls.baseline_latency += (mean < cls.baseline_latency ? 0.5 : 0.05) * (mean - cls.baseline_latency);
  cls.baseline_batch_sum = cls.baseline_batch_count = 0;
}

// Engines that error at once look fast and roomy.
void Gateway::Impl::record_failure(Engine& engine, double step) {
  engine.error_rate += step * (1 - engine.error_rate);
  fleet_error_rate_ += kFleetErrorRateWeight * (1 - fleet_error_rate_);
  if (engine.health == Health::half_open ||
      engine.error_rate >= std::min(0.95, kEjectionErrorRate + kFleetErrorFactor * fleet_error_rate_))
    eject(engine, "fails its queries");
}

void Gateway::Impl::eject(Engine& engine, const char* why) {
  if (engine.health == Health::ejected) return;
  if (engine.health == Health::healthy) trace_engine(engine, why);
  engine.health = Health::ejected;
  fleet_changed_ = true;
  engine.ejection_time =
      engine.ejection_time > Time::zero() ? std::min(2 * engine.ejection_time, kMaxEjection) : kFirstEjection;
  engine.ejected_until = now_ + from_seconds(to_seconds(engine.ejection_time) * (0.5 + random_unit()));
  for (const auto& [id, n] : std::vector(engine.in_flight.begin(), engine.in_flight.end())) cancel_stalled_attempt(id, n);
}

bool Gateway::Impl::is_ejected(const Engine& engine) const { return engine.health == Health::ejected; }

// Where notes are promised, an attempt without its note is lost, its engine too if it gave no other word.
void Gateway::Impl::check_stalled_attempts(Engine& engine) {
  const Time quiet = now_ - engine.last_response;
  double overdue = 0;
  for (const auto& [id, n] : std::vector(engine.in_flight.begin(), engine.in_flight.end())) {
    hedge_slow_attempt(id, n);
    const auto& request = requests_.at(id);
    const auto& attempt = request.attempts[n];
    if (settings_.progress_interval == Time::zero()) {
      const Time age = std::min(quiet, now_ - attempt.sent);
      overdue +=
          std::min(to_seconds(age) / classes_[request.arrival.class_index].recent_latency, kMaxOverduePerAttempt);
    } else if (now_ - attempt.last_report > kMissedReportIntervals * settings_.progress_interval && attempt.awaiting_result()) {
      quiet > kMissedReportIntervals* settings_.progress_interval ? eject(engine, "is silent") : cancel_stalled_attempt(id, n);
    }
  }
  if (quiet > kMinSilence && overdue > kSilentOverdueResponses) eject(engine, "is silent");
}

void Gateway::Impl::apply(const ProgressReport& note) {
  const auto at = engines_.find(note.engine);
  auto* request = find_request(note.request);
  if (at != engines_.end()) at->second.last_response = now_;
  if (request == nullptr || note.attempt >= request->attempts.size()) return;
  request->attempts[note.attempt].last_report = now_;
  const double age = to_seconds(now_ - request->attempts[note.attempt].sent);
  // A bad plan, or an engine far too slow: what is left takes longer than to begin anew elsewhere.
  const bool slow =
      note.kind == ProgressKind::progress && note.attempt == 0 && age > to_seconds(kMinProgressAge) &&
      age / std::max(note.value, 0.005) > kBadPlanLatencies * std::max(1.0, request->relative_size) *
                                              classes_[request->arrival.class_index].recent_latency;
  if (slow || (note.kind == ProgressKind::waiting && note.value > 1.5)) cancel_stalled_attempt(note.request, note.attempt);
}

bool Gateway::Impl::health_allows(const Request& request, Engine& engine) const {
  if (engine.health == Health::healthy) return true;
  if (engine.health == Health::ejected && now_ >= engine.ejected_until) engine.health = Health::half_open;
  return engine.health == Health::half_open && engine.queries == 0 &&
         settings_of(request).idempotency == Idempotency::safe;
}

}  // namespace heronwell
