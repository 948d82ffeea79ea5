// What is known of the load of engines and of the fleet: load reports, probes, messages of other gateways.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
// Weight of one report in the reported fleet load.
constexpr double kFleetLoadWeight = 0.1;
// After this long without a report the fleet load is unknown.
constexpr Time kMaxFleetLoadAge = 5s;
// An engine is probed if its load report is older.
constexpr Time kProbeReportAge = 300ms;
// A query waits this long for the probes sent for it.
constexpr Time kMaxProbeWait = 40ms;
// Probes for one heavy query; other queries leave enough tokens for the next heavy one.
constexpr int kHeavyQueryProbes = 4;
// Between two messages to the other gateways.
constexpr Time kPeerMessageInterval = 200ms;
// Up to this many gateways, each sends its threads to all others; above, reports go to a few of them.
constexpr unsigned kMaxBroadcastGateways = 10;
// Arrival rate that a gateway is assumed to have at least.
constexpr double kMinPeerQueriesPerSecond = 0.2;
// Messages needed before the fleet load is computed from the gateways' own threads.
constexpr unsigned kMinPeerMessages = 10;
// Smallest weight of one message: the fleet load must follow a restart within seconds.
constexpr double kMinPeerMessageWeight = 0.1;
// Lower limit of report_confidence().
constexpr double kMinReportConfidence = 0.25;
// Variance / mean of the queries reported of an engine, if nothing is wrong.
constexpr double kUsualReportVariance = 1.5;
constexpr double kMaxReportVariance = 30,  // largest value counted for one report
    kReportVarianceWeight = 0.05;          // weight of one report
// Threads per core that "all cores busy" stands for.
constexpr double kThreadsPerBusyCore = 1.6;
// Share of the fleet load that admission slots are assumed to bring an engine in slow start to.
constexpr double kSlowStartLoadShare = 0.5;
}  // namespace

void Gateway::Impl::record_load(Engine& engine, const std::vector<double>& load) {
  if (load.empty() || load.size() > settings_.load_fields.size()) return;
  double threads = -1;
  for (std::size_t i = 0; i < load.size(); ++i) {
    if (settings_.load_fields[i] == LoadField::inflight)
      threads = std::max(0.0, load[i] - engine.queries) * mean_query_threads_ + engine.threads;
    if (settings_.load_fields[i] == LoadField::util && threads < 0)
      threads = load[i] * kThreadsPerBusyCore * engine_cores(engine);
  }
  if (threads >= 0) record_report(engine, threads, std::max(engine.last_load_report, now_ - process_pause_));
}

void Gateway::Impl::record_report(Engine& engine, double threads, Time at) {
  store_report(engine, threads, at);
  const double threads_per_core = threads / engine_cores(engine);
  if (fleet_load() >= 0) {
    const double expected_queries =
        std::max(1.0, reported_fleet_load_ * engine_cores(engine) / mean_query_threads_);
    const double relative_variance =
        std::pow(threads / mean_query_threads_ - expected_queries, 2) / expected_queries;
    report_variance_ +=
        kReportVarianceWeight * (std::min(relative_variance, kMaxReportVariance) - report_variance_);
  }
  reported_fleet_load_ =
      fleet_load() < 0 ? threads_per_core
                       : reported_fleet_load_ + kFleetLoadWeight * (threads_per_core - reported_fleet_load_);
  fleet_load_updated_ = now_;
}

void Gateway::Impl::store_report(Engine& engine, double threads, Time at) {
  engine.last_load_report = at;
  engine.other_gateways_threads = std::max(0.0, threads - engine.threads);
  recent_reports_.push_front({at, &engine});
  if (recent_reports_.size() > kMaxCandidates) recent_reports_.pop_back();
}

void Gateway::Impl::apply(const ProbeResult& result) {
  const auto found = engines_.find(result.engine);
  if (found == engines_.end()) return;
  auto& engine = found->second;
  if (result.status != AttemptStatus::served)
    return engine.connection_broken_at > Time::zero() ? eject(engine, "is down") : void();
  record_sign_of_life(engine, now_);
  record_load(engine, result.load);
}

// If gateways are few, each sends its own threads to all others. If they are many, each sends the latest
// reports that it has to a few others, chosen at random, within a budget of bytes for each query. A malformed
// message is ignored as a whole.
void Gateway::Impl::apply(const PeerMessage& message) {
  const auto load = decode(message.bytes);
  if (!load) return;
  if (!load->has_reports) {
    peer_loads_[message.from] = {now_, {}};
    for (const auto& entry : load->entries) peer_loads_[message.from].second[entry.engine] = entry.value;
    return;
  }
  // Busy gateways send more messages: each message is weighted with the time between two queries of its
  // sender.
  const double query_interval = 1 / std::max(kMinPeerQueriesPerSecond, load->arrival_rate_sixteenths / 16.0);
  const double weight = std::max(kMinPeerMessageWeight, 1.0 / ++peer_messages_received_);
  peer_query_interval_ += weight * (query_interval - peer_query_interval_);
  peer_thread_seconds_ += weight * (query_interval * load->threads - peer_thread_seconds_);
  fleet_load_updated_ = now_;
  if (peer_messages_received_ >= kMinPeerMessages)
    peer_fleet_load_ =
        peer_thread_seconds_ / peer_query_interval_ * settings_.gateways / std::max(1.0, fleet_cores_);
  for (const auto& entry : load->entries) {
    const auto found = engines_.find(entry.engine);
    const Time reported = now_ - entry.age_ticks * kTimerInterval;
    if (found == engines_.end() || !found->second.ready || reported <= found->second.last_load_report)
      continue;
    record_sign_of_life(found->second, reported);
    record_report(found->second, entry.value / 32.0 * engine_cores(found->second), reported);
  }
}

void Gateway::Impl::report_to_peers() {
  if (!settings_.can_message_peers || settings_.gateways < 2 ||
      now_ < last_peer_message_ + kPeerMessageInterval)
    return;
  last_peer_message_ = now_;
  PeerLoadMessage message;
  message.has_reports = settings_.gateways > kMaxBroadcastGateways;
  if (!message.has_reports) {
    for (const auto id : busy_engines_) message.entries.push_back({id, engines_.at(id).threads});
    return emit(SendPeerMessage{std::nullopt, encode(message)});
  }
  message.threads = static_cast<unsigned>(total_running_threads());
  message.arrival_rate_sixteenths = static_cast<unsigned>(arrival_rate_ * 16);
  for (const auto& [reported, engine] : recent_reports_) {
    const auto age_in_ticks = static_cast<unsigned>((now_ - reported) / kTimerInterval);
    const double value = (engine->other_gateways_threads + engine->threads) / engine_cores(*engine) * 32;
    if (age_in_ticks < 255 && engine->last_load_report == reported)
      message.entries.push_back({engine->entry.engine, static_cast<unsigned>(value), age_in_ticks});
  }
  const auto bytes = encode(message);
  const auto size = static_cast<double>(bytes.size());
  while (peer_byte_tokens_ >= size) {
    peer_byte_tokens_ -= size;
    const auto receiver = static_cast<std::uint32_t>(random_() % (settings_.gateways - 1));
    emit(SendPeerMessage{receiver < settings_.gateway_index ? receiver : receiver + 1, bytes});
  }
}

bool Gateway::Impl::probe_if_outdated(Engine& engine, double reserve) {
  const bool outdated = now_ >= std::max(engine.last_load_report, engine.last_probe) + kProbeReportAge;
  return outdated && !settings_.load_fields.empty() && probe_tokens_ >= 1 + reserve && send_probe(engine);
}

bool Gateway::Impl::send_probe(Engine& engine) {
  if (!settings_.can_probe || probe_tokens_ < 1) return false;
  engine.last_probe = now_;
  probe_tokens_ -= 1;
  emit(Probe{engine.entry.engine});
  return true;
}

// With a large thread budget, ticks keep all reports fresh instead.
bool Gateway::Impl::await_probes(Request& request, const std::vector<Engine*>& engines) {
  if (!small_budget_ || request.probe_wait_until > Time::zero())
    return small_budget_ && request.probe_wait_until > now_;
  request.probe_wait_until = now_;
  const bool heavy = 2 * classes_[request.arrival.class_index].mean_work > max_class_work();
  const auto max_probes = std::min<std::size_t>(engines.size(), heavy ? kHeavyQueryProbes : 1);
  for (std::size_t i = 0; i < max_probes; ++i)
    if (probe_if_outdated(*engines[i], heavy ? 0 : kHeavyQueryProbes - 1))
      request.probe_wait_until = now_ + kMaxProbeWait;
  return request.probe_wait_until > now_;
}

bool Gateway::Impl::fleet_overloaded() const {
  return fleet_load() < 0 ? fleet_latency_ratio_ > kCongestedLatencyRatio
                          : fleet_load() > kBorrowingLoadLimit * back_off_factor_;
}

double Gateway::Impl::fleet_load() const {
  return now_ > fleet_load_updated_ + kMaxFleetLoadAge ? -1
         : peer_fleet_load_ < 0                        ? reported_fleet_load_
                                                       : peer_fleet_load_;
}

// From recent reports. An engine without one is taken to be as busy as the others, never as idle: otherwise
// all gateways would choose the engines that they know least about.
std::optional<double> Gateway::Impl::all_gateways_threads(const Engine& engine) const {
  double other_threads = 0;
  bool has_peer_load = false;
  for (const auto& [from, peer] : peer_loads_) {
    if (now_ > peer.first + kMaxReportAge) continue;
    has_peer_load = true;
    const auto found = peer.second.find(engine.entry.engine);
    other_threads += found == peer.second.end() ? 0 : found->second;
  }
  if (has_peer_load) return other_threads + engine.threads;
  const double load = this->fleet_load();
  const bool has_fresh_report =
      engine.last_load_report > Time::zero() && now_ <= engine.last_load_report + kMaxReportAge;
  const double weight = std::exp(-to_seconds(now_ - engine.last_load_report) / kReportDecaySeconds);
  if (load < 0)
    return has_fresh_report ? std::optional(weight * engine.other_gateways_threads + engine.threads)
                            : std::nullopt;
  // Admission slots keep an engine in slow start below the fleet load.
  const double expected_threads = (in_slow_start(engine) ? kSlowStartLoadShare : 1) * load *
                                  engine_cores(engine) * capacity_share(engine, 0s);
  // If the fleet load is known from the gateways' own threads, reports only tell the engines apart.
  const double difference = !has_fresh_report ? 0
                            : peer_fleet_load_ < 0
                                ? engine.other_gateways_threads + engine.threads - expected_threads
                                : engine.other_gateways_threads - reported_fleet_load_ * engine_cores(engine);
  return std::max<double>(engine.threads, oscillation_correction() * expected_threads +
                                              report_confidence() * weight * difference);
}

// Where many gateways use reports that are old when they arrive, all fill the engines that were idle and
// avoid those that were busy: the reports then differ by more than chance would explain. Engines that really
// differ, because they are slow or congested, look the same, so a quarter of the difference is believed in
// any case. The same holds where only utilisation is reported: it does not rise above "all cores busy", and
// it falls when disks are congested.
double Gateway::Impl::report_confidence() const {
  if (peer_fleet_load_ >= 0) return kMinReportConfidence;
  return small_budget_ ? std::clamp(kUsualReportVariance / report_variance_, kMinReportConfidence, 1.0) : 1;
}

double Gateway::Impl::oscillation_correction() const {
  if (peer_fleet_load_ >= 0) return 1;  // the messages of gateways are fresh
  const double usual_threads = std::max(1.0, usual_running_threads_);
  return 1 + (1 - report_confidence()) *
                 std::clamp((total_running_threads() - usual_threads) / usual_threads, -1.0, 1.0);
}

double Gateway::Impl::total_running_threads() const { return sum_over_classes(&ClassState::running_threads); }

}  // namespace heronwell
