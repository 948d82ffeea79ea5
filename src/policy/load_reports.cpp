// What is known of the load of engines and of the fleet: reports, probes, other gateways.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr double kFleetLoadWeight = 0.1;  // weight of one report in the fleet's level, threads a core
constexpr Time kMaxFleetLoadAge = 5s;     // without a report for so long, nothing is known of the fleet's level
constexpr Time kProbeReportAge = 300ms;   // a report older than this is worth a probe
constexpr Time kMaxProbeWait = 40ms;   // a query waits this long for the probes made for it
constexpr int kHeavyQueryProbes = 4;     // for one heavy query; others leave so many to the next heavy one
constexpr Time kPeerMessageInterval = 200ms;   // between messages to the other gateways
constexpr unsigned kMaxBroadcastGateways = 10;   // gateways up to which each tells all others; above, reports go to a few
constexpr double kMinPeerQueriesPerSecond = 0.2;  // queries a second that a gateway is taken to have, at the least
constexpr unsigned kMinPeerMessages = 10;  // messages before the gateways' own threads tell the fleet's level
constexpr double kMinPeerMessageWeight = 0.1;      // weight of one message: a level must follow a restart within seconds
constexpr double kMinReportConfidence = 0.25;        // of what a report differs from the others, believed at the least
constexpr double kUsualReportVariance = 1.5;       // variance over mean of the queries told of an engine, if all is well
constexpr double kMaxReportVariance = 30, kReportVarianceWeight = 0.05;  // that one report counts for; weight of one
constexpr double kThreadsPerBusyCore = 1.6;                    // threads a core that "all cores busy" stands for
constexpr double kSlowStartLoadShare = 0.5;  // of the fleet's level, that turns are taken to bring an engine to
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
  const double told = threads / engine_cores(engine);
  if (fleet_load() >= 0) {
    const double usual = std::max(1.0, reported_fleet_load_ * engine_cores(engine) / mean_query_threads_);
    const double off = std::pow(threads / mean_query_threads_ - usual, 2) / usual;
    report_variance_ += kReportVarianceWeight * (std::min(off, kMaxReportVariance) - report_variance_);
  }
  reported_fleet_load_ = fleet_load() < 0 ? told : reported_fleet_load_ + kFleetLoadWeight * (told - reported_fleet_load_);
  fleet_load_updated_ = now_;
}

void Gateway::Impl::store_report(Engine& engine, double threads, Time at) {
  engine.last_load_report = at;
  engine.other_gateways_threads = std::max(0.0, threads - engine.threads);
  recent_reports_.push_front({at, &engine});
  if (recent_reports_.size() > kMaxCandidates) recent_reports_.pop_back();
}

void Gateway::Impl::apply(const ProbeResult& probe) {
  const auto at = engines_.find(probe.engine);
  if (at == engines_.end()) return;
  auto& engine = at->second;
  if (probe.status != AttemptStatus::served)
    return engine.connection_broken_at > Time::zero() ? eject(engine, "is down") : void();
  record_sign_of_life(engine, now_);
  record_load(engine, probe.load);
}

// Few gateways tell all others their own threads; many tell a few, drawn, the newest reports they have, at
// so many bytes a query. A malformed message is ignored whole.
void Gateway::Impl::apply(const PeerMessage& message) {
  const auto text = decode(message.bytes);
  if (!text) return;
  if (!text->has_reports) {
    peer_loads_[message.from] = {now_, {}};
    for (const auto& entry : text->entries) peer_loads_[message.from].second[entry.engine] = entry.value;
    return;
  }
  // Busy gateways tell more often: each message weighs as the time between two of its sender's queries.
  const double gap = 1 / std::max(kMinPeerQueriesPerSecond, text->arrival_rate_sixteenths / 16.0);
  const double step = std::max(kMinPeerMessageWeight, 1.0 / ++peer_messages_received_);
  peer_query_interval_ += step * (gap - peer_query_interval_);
  peer_thread_seconds_ += step * (gap * text->threads - peer_thread_seconds_);
  fleet_load_updated_ = now_;
  if (peer_messages_received_ >= kMinPeerMessages) peer_fleet_load_ = peer_thread_seconds_ / peer_query_interval_ * settings_.gateways / std::max(1.0, fleet_cores_);
  for (const auto& entry : text->entries) {
    const auto at = engines_.find(entry.engine);
    const Time told = now_ - entry.age_ticks * kTimerInterval;
    if (at == engines_.end() || !at->second.ready || told <= at->second.last_load_report) continue;
    record_sign_of_life(at->second, told);
    record_report(at->second, entry.value / 32.0 * engine_cores(at->second), told);
  }
}

void Gateway::Impl::report_to_peers() {
  if (!settings_.can_message_peers || settings_.gateways < 2 || now_ < last_peer_message_ + kPeerMessageInterval) return;
  last_peer_message_ = now_;
  PeerLoadMessage text;
  text.has_reports = settings_.gateways > kMaxBroadcastGateways;
  if (!text.has_reports) {
    for (const auto id : busy_engines_) text.entries.push_back({id, engines_.at(id).threads});
    return emit(SendPeerMessage{std::nullopt, encode(text)});
  }
  text.threads = static_cast<unsigned>(total_running_threads());
  text.arrival_rate_sixteenths = static_cast<unsigned>(arrival_rate_ * 16);
  for (const auto& [at, engine] : recent_reports_) {
    const auto age = static_cast<unsigned>((now_ - at) / kTimerInterval);
    const double value = (engine->other_gateways_threads + engine->threads) / engine_cores(*engine) * 32;
    if (age < 255 && engine->last_load_report == at)
      text.entries.push_back({engine->entry.engine, static_cast<unsigned>(value), age});
  }
  const auto bytes = encode(text);
  const auto size = static_cast<double>(bytes.size());
  while (peer_byte_tokens_ >= size) {
    peer_byte_tokens_ -= size;
    const auto to = static_cast<std::uint32_t>(random_() % (settings_.gateways - 1));
    emit(SendPeerMessage{to < settings_.gateway_index ? to : to + 1, bytes});
  }
}

// True: a probe went out, as reports of the engine are old and there are probes to spare.
bool Gateway::Impl::probe_if_outdated(Engine& engine, double spare) {
  const bool old = now_ >= std::max(engine.last_load_report, engine.last_probe) + kProbeReportAge;
  return old && !settings_.load_fields.empty() && probe_tokens_ >= 1 + spare && send_probe(engine);
}

bool Gateway::Impl::send_probe(Engine& engine) {
  if (!settings_.can_probe || probe_tokens_ < 1) return false;
  engine.last_probe = now_;
  probe_tokens_ -= 1;
  emit(Probe{engine.entry.engine});
  return true;
}

// Probes engines for a query. True: await them. Large pools keep all reports fresh instead.
bool Gateway::Impl::await_probes(Request& request, const std::vector<Engine*>& engines) {
  if (!small_budget_ || request.probe_wait_until > Time::zero()) return small_budget_ && request.probe_wait_until > now_;
  request.probe_wait_until = now_;
  const bool heavy = 2 * classes_[request.arrival.class_index].mean_work > max_class_work();
  const auto most = std::min<std::size_t>(engines.size(), heavy ? kHeavyQueryProbes : 1);
  for (std::size_t i = 0; i < most; ++i)
    if (probe_if_outdated(*engines[i], heavy ? 0 : kHeavyQueryProbes - 1)) request.probe_wait_until = now_ + kMaxProbeWait;
  return request.probe_wait_until > now_;
}

bool Gateway::Impl::fleet_overloaded() const {
  return fleet_load() < 0 ? fleet_latency_ratio_ > kCongestedLatencyRatio : fleet_load() > kBorrowingLoadLimit * back_off_factor_;
}

// Of the fleet, threads a core; below 0: nothing has told yet.
double Gateway::Impl::fleet_load() const {
  return now_ > fleet_load_updated_ + kMaxFleetLoadAge ? -1 : peer_fleet_load_ < 0 ? reported_fleet_load_ : peer_fleet_load_;
}

// Threads of all gateways on an engine, as something fresh tells; an engine that nothing fresh tells of is
// taken to be like the others, never as empty: all gateways would run to the engines they know least of.
std::optional<double> Gateway::Impl::all_gateways_threads(const Engine& engine) const {
  double others = 0;
  bool told = false;
  for (const auto& [from, peer] : peer_loads_) {
    if (now_ > peer.first + kMaxReportAge) continue;
    told = true;
    const auto at = peer.second.find(engine.entry.engine);
    others += at == peer.second.end() ? 0 : at->second;
  }
  if (told) return others + engine.threads;
  const double level = this->fleet_load();
  const bool fresh =
      engine.last_load_report > Time::zero() && now_ <= engine.last_load_report + kMaxReportAge;
  const double weight = std::exp(-to_seconds(now_ - engine.last_load_report) / kReportDecaySeconds);
  if (level < 0)
    return fresh ? std::optional(weight * engine.other_gateways_threads + engine.threads) : std::nullopt;
  // A cold engine is filled by turns, under the fleet's level.
  const double usual = (in_slow_start(engine) ? kSlowStartLoadShare : 1) * level * engine_cores(engine) * capacity_share(engine, 0s);
  // Round the level that the gateways' own threads add up to, reports only tell engines apart.
  const double apart = !fresh       ? 0
                       : peer_fleet_load_ < 0 ? engine.other_gateways_threads + engine.threads - usual
                                    : engine.other_gateways_threads - reported_fleet_load_ * engine_cores(engine);
  return std::max<double>(engine.threads, oscillation_correction() * usual + report_confidence() * weight * apart);
}

// Of what a report differs from the fleet's level, the part to believe. Where many gateways go by reports
// that are old when they come, all fill the engines that were empty, and keep off those that were full: the
// reports then lie further apart than chance would have them. Engines that really differ (slow, jammed)
// look the same; they are still told apart by a quarter. So are they where utilisation is all that is told:
// it ends at "all busy", and falls when disks jam.
double Gateway::Impl::report_confidence() const {
  if (peer_fleet_load_ >= 0) return kMinReportConfidence;
  return small_budget_ ? std::clamp(kUsualReportVariance / report_variance_, kMinReportConfidence, 1.0) : 1;
}

double Gateway::Impl::oscillation_correction() const {
  if (peer_fleet_load_ >= 0) return 1;  // the gateways' messages are fresh
  const double usual = std::max(1.0, usual_running_threads_);
  return 1 + (1 - report_confidence()) * std::clamp((total_running_threads() - usual) / usual, -1.0, 1.0);
}

double Gateway::Impl::total_running_threads() const { return sum_over_classes(&ClassState::running_threads); }  // threads

}  // namespace heronwell
