#include "core/reducer.hpp"

#include <algorithm>
#include <utility>

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;
using heronwell::AttemptStatus;
using heronwell::EngineState;

// A request that the policy has left unanswered times out this long before its deadline, so that the answer
// still reaches the client in time.
constexpr Time kAnswerMargin = 15ms;
// A failure this close to the deadline or after it is answered as timed out; some fronts report the
// difference.
constexpr Time kTimeoutMargin = 60ms;

// An estimate of the memory that the request takes, in bytes.
std::size_t memory_use(const ClientRequest& request) {
  constexpr std::size_t kFixedBytes = 1024;  // for everything except the strings
  return kFixedBytes + request.body.size() + request.parameters.size() + request.idempotency_key.size();
}

AttemptStatus status_of(AttemptOutcome outcome, bool timed_out) {
  switch (outcome) {
    case AttemptOutcome::served:
      return AttemptStatus::served;
    case AttemptOutcome::error:
      return AttemptStatus::error;
    case AttemptOutcome::rejected:
      return AttemptStatus::rejected;
    case AttemptOutcome::expired:
      return AttemptStatus::expired;
    case AttemptOutcome::connect_failed:
      return AttemptStatus::connect_failed;
    case AttemptOutcome::connection_reset:
      return AttemptStatus::connection_reset;
    case AttemptOutcome::query_dropped:
      return AttemptStatus::query_dropped;
    case AttemptOutcome::cancelled:
      break;
  }
  return timed_out ? AttemptStatus::timed_out : AttemptStatus::cancelled;
}

const char* name(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::served:
      return "served";
    case AnswerKind::rejected:
      return "refused";
    case AnswerKind::failed:
      return "failed";
    case AnswerKind::timed_out:
      return "timed out";
  }
  return "?";
}

const char* name(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::served:
      return "served";
    case AttemptOutcome::error:
      return "error";
    case AttemptOutcome::rejected:
      return "rejected";
    case AttemptOutcome::expired:
      return "expired";
    case AttemptOutcome::connect_failed:
      return "connect failed";
    case AttemptOutcome::connection_reset:
      return "connection reset";
    case AttemptOutcome::query_dropped:
      return "query dropped";
    case AttemptOutcome::cancelled:
      return "cancelled";
  }
  return "?";
}

Time max_request_timeout(const heronwell::Settings& settings) {
  Time longest{};
  for (const auto& class_settings : settings.classes)
    longest = std::max(longest, class_settings.request_timeout);
  return longest;
}
}  // namespace

Reducer::Reducer(heronwell::Settings settings, std::uint64_t seed, std::size_t max_bytes, Time unix_offset)
    : settings_(settings),
      gateway_(std::move(settings), seed),
      lifecycle_(max_request_timeout(settings_)),
      max_bytes_(max_bytes),
      start_clock_(unix_offset) {}

void Reducer::reduce(Time now, Event event, Effects& effects) {
  now_ = now;
  effects_ = &effects;
  std::visit([this](auto& received) { handle(received); }, event);
  if (const auto due_at = next_policy_run(); due_at && now_ >= *due_at) run_policy();
}

std::optional<Time> Reducer::next_policy_run() const {
  if (pending_events_.empty()) return std::nullopt;
  return last_policy_run_ + settings_.min_call_interval;
}

// Runs are at least Settings::min_call_interval apart.
void Reducer::run_policy() {
  last_policy_run_ = now_;
  for (auto& event : pending_events_) {
    if (auto* arrival = std::get_if<heronwell::Arrival>(&event)) {
      const auto* request = find(arrival->request);
      arrival->time_left =
          request == nullptr ? Time::zero() : std::max(Time::zero(), request->deadline - now_);
    }
  }
  actions_.clear();
  gateway_.handle(now_, pending_events_, actions_);
  pending_events_.clear();
  for (auto& action : actions_) std::visit([this](auto& requested) { execute(requested); }, action);
}

Reducer::Request* Reducer::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Reducer::Attempt* Reducer::find(AttemptId id) {
  auto* request = find(id.request);
  return request == nullptr || id.index >= request->attempts.size() ? nullptr : &request->attempts[id.index];
}

ClientHandle Reducer::client_of(AttemptId id) const {
  const auto found = requests_.find(id.request);
  return found == requests_.end() ? 0 : found->second.client_request.client;
}

// ---- events

const char* Reducer::stage_name(Stage stage) {
  switch (stage) {
    case Stage::connecting:
      return "waiting for a connection";
    case Stage::in_flight:
      return "in flight";
    case Stage::cancelling:
      return "cancelling";
    case Stage::ended:
      return "ended";
  }
  return "?";
}

void Reducer::handle(const Listening&) { lifecycle_.set_listening(); }

heronwell::EngineEntry Reducer::policy_entry(const Member& member) const {
  auto entry = member.entry;
  if (entry.last_start > Time::zero()) entry.last_start = start_clock_.to_monotonic(entry.last_start);
  return entry;
}

bool Reducer::update_start_clock(const MembershipChange& change) {
  bool changed = false;
  for (const auto& member : change.members) {
    const Time start = member.entry.last_start;
    const auto known = members_.find(member.entry.engine);
    if (start == Time::zero() || (known != members_.end() && start <= known->second.entry.last_start))
      continue;
    if (!change.live) {
      changed |= start_clock_.observe_initial(now_, start);
    } else if (!change.full) {
      changed |= start_clock_.observe_live(now_, start);
    }
  }
  return changed;
}

void Reducer::handle(MembershipChange& change) {
  heronwell::MembershipUpdate update;
  update.kind = !change.full           ? heronwell::MembershipUpdateKind::delta
                : membership_received_ ? heronwell::MembershipUpdateKind::full
                                       : heronwell::MembershipUpdateKind::cached;
  if (change.full) {
    std::erase_if(members_, [&](const auto& known) {
      const auto same = [&](const Member& listed) { return listed.entry.engine == known.first; };
      if (std::ranges::any_of(change.members, same)) return false;
      emit(EngineUpdated{known.first, known.second.address, false, false});
      return true;
    });
  }
  if (update_start_clock(change)) {
    for (const auto& [id, member] : members_) update.engines.push_back(policy_entry(member));
  }
  for (auto& member : change.members) {
    update.engines.push_back(policy_entry(member));
    const auto state = member.entry.state;
    emit(EngineUpdated{member.entry.engine, member.address, state != EngineState::gone,
                       state == EngineState::ready});
    const auto id = member.entry.engine;
    // New engines always have new ids: without this the table would grow for ever.
    if (state == EngineState::gone) {
      members_.erase(id);
    } else {
      members_.insert_or_assign(id, std::move(member));
    }
  }
  membership_received_ = true;
  pending_events_.push_back(std::move(update));
  // Attempts that still wait for a connection to an engine that drains or is removed must not be sent.
  for (auto& [id, request] : requests_) {
    for (std::size_t n = 0; n < request.attempts.size(); ++n) {
      auto& attempt = request.attempts[n];
      const auto member = members_.find(attempt.engine);
      const bool ready = member != members_.end() && member->second.entry.state == EngineState::ready;
      if (attempt.stage == Stage::connecting && !ready)
        cancel_attempt({id, static_cast<AttemptIndex>(n)}, attempt, false);
    }
  }
  if (change.live) handle(DiscoveryIdle{});
}

void Reducer::handle(const MembershipConfirmed& confirmed) {
  pending_events_.push_back(heronwell::MembershipConfirmed{confirmed.at});
}

void Reducer::handle(const DiscoveryIdle& idle) {
  if (idle.caught_up) start_clock_.set_caught_up(now_);
  const auto ready = [](const auto& known) { return known.second.entry.state == EngineState::ready; };
  if (std::ranges::any_of(members_, ready)) lifecycle_.set_engine_known();
}

void Reducer::handle(RequestArrived& arrived) {
  auto& client_request = arrived.request;
  if (client_request.admission_retry_after)
    return emit(
        Answer{client_request.client, AnswerKind::rejected, *client_request.admission_retry_after, {}, {}});
  ticket_history_.expire(now_, [this](const std::string& ticket) { tickets_.erase(ticket); });
  const auto bytes = memory_use(client_request);
  const bool full = settings_.max_open_requests != 0 && unanswered_ >= settings_.max_open_requests;
  if (lifecycle_.stopped_accepting() || full || tracked_bytes_ + bytes > max_bytes_) {
    return emit(Answer{client_request.client, AnswerKind::rejected, settings_.max_retry_after, {}, {}});
  }
  // Engines identify a query by its ticket, so a second request with the same ticket would get the first
  // one's result. The ticket of an answered request isn't accepted either, since clients use a new one for
  // every resend.
  if (!client_request.ticket.empty() && !tickets_.insert(client_request.ticket).second)
    return emit(Answer{client_request.client, AnswerKind::failed, {}, {}, {}});
  const auto id = ++last_request_;
  heronwell::Arrival arrival;
  arrival.request = id;
  arrival.class_index = client_request.class_index;
  arrival.tenant = client_request.tenant;
  arrival.order_key = client_request.order_key;
  arrival.estimated_work = client_request.estimated_work;
  arrival.estimated_memory_mb = client_request.estimated_memory_mb;
  arrival.data_group = client_request.data_group;
  arrival.is_retry = client_request.is_retry;
  request_by_client_[client_request.client] = id;
  auto& request = requests_[id];
  request.accepted_at = now_;
  request.deadline =
      (arrived.received_at > Time::zero() ? arrived.received_at : now_) + client_request.timeout;
  request.client_request = std::move(client_request);
  tracked_bytes_ += bytes;
  ++unanswered_;
  timers_.arm(request.deadline - kAnswerMargin, {Timer::Kind::request_deadline, {id, 0}});
  pending_events_.push_back(arrival);
}

void Reducer::handle(const RequestCancelled& cancelled) {
  const auto found = request_by_client_.find(cancelled.client);
  if (found == request_by_client_.end()) return;
  const auto id = found->second;
  auto& request = requests_.at(id);
  request.answered = true;  // no answer is due any more
  request_by_client_.erase(found);
  --unanswered_;
  log_outcome(request, "cancelled", "the client cancelled it or disconnected");
  pending_events_.push_back(heronwell::RequestCancelled{id});
  erase_if_done(id);
}

// Attempts in flight continue, since the client may still read the answer; no further attempt is started.
void Reducer::handle(const ClientHalfClosed& half_closed) {
  const auto found = request_by_client_.find(half_closed.client);
  if (found == request_by_client_.end()) return;
  requests_.at(found->second).client_half_closed = true;
  cancel_unless_in_flight(found->second);
}

void Reducer::cancel_unless_in_flight(RequestId id) {
  const auto in_flight = [](const Attempt& attempt) { return attempt.stage == Stage::in_flight; };
  const auto& request = requests_.at(id);
  if (!request.answered && std::ranges::none_of(request.attempts, in_flight))
    cancel_request(id, "the client has closed its sending side");
}

// Checks the engine's state again, since the membership may have changed while the connection was made.
void Reducer::handle(const AttemptReady& ready) {
  auto* attempt = find(ready.id);
  if (attempt == nullptr || attempt->stage != Stage::connecting) return;
  const auto& request = requests_.at(ready.id.request);
  const auto member = members_.find(attempt->engine);
  const bool usable = member != members_.end() && member->second.entry.state == EngineState::ready;
  const bool too_late = attempt->send_by != Time::zero() && now_ >= attempt->send_by;
  if (!usable || request.answered || now_ >= attempt->deadline || too_late)
    return cancel_attempt(ready.id, *attempt, usable && !request.answered);
  attempt->stage = Stage::in_flight;
  attempt->priority = request.priority;
  const auto& client_request = request.client_request;
  emit(Transmit{ready.id, client_request.class_index, attempt->deadline - now_, request.memory_mb,
                request.priority, client_request.ticket, client_request.idempotency_key, client_request.body,
                client_request.parameters});
}

// Reported to the policy as a wait without a value, so that it treats neither the attempt nor the engine as
// unresponsive, however long the query takes.
void Reducer::handle(const AttemptProgressed& progressed) {
  const auto* attempt = find(progressed.id);
  if (attempt == nullptr || attempt->stage != Stage::in_flight) return;
  pending_events_.push_back(heronwell::ProgressReport{progressed.id.request, progressed.id.index,
                                                      attempt->engine, heronwell::ProgressKind::waiting, 0});
}

void Reducer::handle(AttemptEnded& ended) {
  auto* attempt = find(ended.id);
  if (attempt == nullptr || attempt->stage == Stage::ended) return;
  // An attempt that was cancelled before it was sent has not run, whatever it was cancelled for.
  const bool unsent = ended.outcome == AttemptOutcome::expired;
  complete_attempt(ended.id, requests_.at(ended.id.request),
                   unsent ? AttemptStatus::expired : status_of(ended.outcome, attempt->timed_out), &ended);
}

void Reducer::complete_attempt(AttemptId id, Request& request, AttemptStatus status, AttemptEnded* ended) {
  auto& attempt = request.attempts[id.index];
  attempt.stage = Stage::ended;
  heronwell::AttemptResult attempt_result;
  attempt_result.request = id.request;
  attempt_result.attempt = id.index;
  attempt_result.engine = attempt.engine;
  attempt_result.status = status;
  attempt_result.latency = now_ - attempt.started_at;
  if (ended != nullptr) {
    attempt.outcome = ended->outcome;
    attempt_result.work = ended->work;
    attempt_result.memory_needed_mb = ended->memory_needed_mb;
    attempt_result.load = std::move(ended->load);
    if (status == AttemptStatus::served && !request.answered)
      answer_served(request, std::move(ended->body), std::move(ended->result_schema));
    if (status != AttemptStatus::served && !ended->body.empty())
      request.last_engine_error = std::move(ended->body);
  }
  attempt_result.request_closed = request.answered;
  pending_events_.push_back(std::move(attempt_result));
  if (request.client_half_closed && !request.answered) return cancel_unless_in_flight(id.request);
  erase_if_done(id.request);
}

void Reducer::handle(ProbeEnded& ended) {
  heronwell::ProbeResult probe_result;
  auto& sent_at = probes_sent_at_[ended.engine];
  if (!sent_at.empty()) {
    probe_result.latency = now_ - sent_at.front();
    sent_at.erase(sent_at.begin());
  }
  if (sent_at.empty()) probes_sent_at_.erase(ended.engine);
  probe_result.engine = ended.engine;
  probe_result.status = ended.status;
  probe_result.load = std::move(ended.load);
  pending_events_.push_back(std::move(probe_result));
}

void Reducer::handle(PeerMessageReceived& received) {
  pending_events_.push_back(heronwell::PeerMessage{received.from, std::move(received.bytes)});
}

void Reducer::handle(const ShutdownRequested&) {
  lifecycle_.request_stop(now_);
  emit(Log{std::string("phase: ") + name(lifecycle_.phase())});
}

// Accepted requests, known engines and the policy's state are kept: only the change log's address can change.
void Reducer::handle(ConfigurationRead& read) {
  if (!read.error.empty()) return emit(Log{"the configuration stays as it was: " + read.error});
  std::string text = "the configuration was read again";
  for (std::size_t i = 0; i < read.restart_required.size(); ++i)
    text += (i == 0 ? "; changed, but needs a restart: " : ", ") + read.restart_required[i];
  emit(Log{std::move(text)});
  emit(WatchChangeLog{std::move(read.changelog)});
}

void Reducer::handle(const Tick& tick) {
  timers_.advance(now_, [this](const Timer& timer) { handle(timer); });
  if (lifecycle_.drain_expired(now_)) cancel_all_requests();
  // An answered request is tracked until the cancellations of its attempts have been sent to the engines.
  if (!lifecycle_.advance(now_, unanswered_ > 0, tick.output_pending || !requests_.empty(),
                          tick.input_pending))
    return;
  emit(Log{std::string("phase: ") + name(lifecycle_.phase())});
  if (lifecycle_.phase() == Phase::exited) emit(Exit{});
}

// These requests can't end before the program exits, and would get no answer then. Those that can safely be
// retried elsewhere are rejected, the others fail.
void Reducer::cancel_all_requests() {
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) open.push_back(id);
  }
  for (const auto id : open) cancel_request(id, "the program is shutting down");
}

void Reducer::cancel_request(RequestId id, const char* reason) {
  auto& request = requests_.at(id);
  const auto& class_settings = settings_.classes[request.client_request.class_index];
  const bool retry_is_safe = request.attempts.empty() ||
                             class_settings.idempotency == heronwell::Idempotency::safe ||
                             (class_settings.idempotency == heronwell::Idempotency::keyed &&
                              class_settings.deduplication_scope == heronwell::DeduplicationScope::all);
  const Time retry_after = settings_.sends_retry_after ? settings_.max_retry_after : Time::zero();
  reply_with_error(request, retry_is_safe ? AnswerKind::rejected : AnswerKind::failed,
                   retry_is_safe ? retry_after : Time::zero(), reason);
  for (std::size_t n = 0; n < request.attempts.size(); ++n)
    cancel_attempt({id, static_cast<AttemptIndex>(n)}, request.attempts[n], false);
  pending_events_.push_back(heronwell::RequestCancelled{id});
  erase_if_done(id);
}

void Reducer::handle(const Timer& timer) {
  switch (timer.kind) {
    case Timer::Kind::policy:
      pending_events_.push_back(heronwell::TimerExpired{});
      return;
    case Timer::Kind::attempt_deadline:
      if (auto* attempt = find(timer.id); attempt != nullptr) cancel_attempt(timer.id, *attempt, true);
      return;
    case Timer::Kind::request_deadline:
      if (auto* request = find(timer.id.request); request != nullptr && !request->answered) {
        reply_with_error(*request, AnswerKind::timed_out, Time::zero(), "still unanswered at its deadline");
        pending_events_.push_back(heronwell::RequestCancelled{timer.id.request});
        erase_if_done(timer.id.request);
      }
      return;
  }
}

// ---- actions of the policy

void Reducer::execute(const heronwell::Send& send) {
  auto* request = find(send.request);
  if (request == nullptr) return;
  const AttemptId id{send.request, static_cast<AttemptIndex>(request->attempts.size())};
  Attempt attempt;
  attempt.engine = send.engine;
  attempt.started_at = now_;
  attempt.deadline =
      std::min(send.deadline == Time::zero() ? request->deadline : send.deadline, request->deadline);
  attempt.send_by = send.send_by;
  request->attempts.push_back(attempt);
  if (request->answered || request->client_half_closed || attempt.deadline <= now_)
    return complete_attempt(id, *request, AttemptStatus::expired, nullptr);
  timers_.arm(attempt.deadline, {Timer::Kind::attempt_deadline, id});
  emit(StartAttempt{id, send.engine});
}

void Reducer::execute(const heronwell::CancelAttempt& cancel) {
  const AttemptId id{cancel.request, cancel.attempt};
  if (auto* attempt = find(id); attempt != nullptr) cancel_attempt(id, *attempt, false);
}

void Reducer::cancel_attempt(AttemptId id, Attempt& attempt, bool timed_out) {
  if (attempt.stage != Stage::connecting && attempt.stage != Stage::in_flight) return;
  attempt.stage = Stage::cancelling;
  attempt.timed_out = timed_out;
  emit(CancelAttempt{id});
}

void Reducer::execute(const heronwell::Reject& reject) {
  auto* request = find(reject.request);
  if (request == nullptr || request->answered) return;
  reply_with_error(*request, AnswerKind::rejected, reject.retry_after, reject.reason);
  erase_if_done(reject.request);
}

void Reducer::execute(const heronwell::Fail& fail) {
  auto* request = find(fail.request);
  if (request == nullptr || request->answered) return;
  const bool late = now_ >= request->deadline - kTimeoutMargin;
  reply_with_error(*request, late ? AnswerKind::timed_out : AnswerKind::failed, Time::zero(), fail.reason);
  erase_if_done(fail.request);
}

void Reducer::execute(const heronwell::ExecutionLimits& limits) {
  auto* request = find(limits.request);
  if (request == nullptr) return;
  request->memory_mb = limits.memory_mb;
  request->priority = limits.priority;
  for (std::size_t n = 0; n < request->attempts.size(); ++n) {
    auto& attempt = request->attempts[n];
    if (attempt.stage != Stage::in_flight || attempt.priority == limits.priority) continue;
    attempt.priority = limits.priority;
    emit(SetPriority{{limits.request, static_cast<AttemptIndex>(n)}, limits.priority});
  }
}

void Reducer::execute(const heronwell::SetTimer& timer) {
  timers_.arm(now_ + timer.delay, {Timer::Kind::policy, {}});
}

void Reducer::execute(const heronwell::Probe& probe) {
  probes_sent_at_[probe.engine].push_back(now_);
  emit(ProbeEngine{probe.engine});
}

void Reducer::execute(heronwell::SendPeerMessage& message) {
  emit(SendToPeers{message.to, std::move(message.bytes)});
}
void Reducer::execute(heronwell::Trace& trace) { emit(Log{std::move(trace.text)}); }

void Reducer::answer_served(Request& request, std::string body, std::string result_schema) {
  complete_request(
      request,
      {request.client_request.client, AnswerKind::served, {}, std::move(body), std::move(result_schema)});
}

void Reducer::reply_with_error(Request& request, AnswerKind kind, Time retry_after, const char* reason) {
  log_outcome(request, name(kind), reason);
  complete_request(request,
                   {request.client_request.client, kind, retry_after, request.last_engine_error, {}});
}

void Reducer::complete_request(Request& request, Answer answer) {
  request.answered = true;
  request_by_client_.erase(request.client_request.client);
  --unanswered_;
  emit(std::move(answer));
}

void Reducer::log_outcome(const Request& request, const char* outcome, const char* reason) {
  if (!log_limiter_.allow(now_)) return;
  if (const auto suppressed = log_limiter_.take_suppressed(); suppressed > 0)
    emit(Log{std::to_string(suppressed) + " log lines on requests suppressed"});
  const auto milliseconds = [](Time time) { return std::to_string(time / 1ms) + " ms"; };
  const auto& client_request = request.client_request;
  std::string text = "request " + client_request.ticket + " " +
                     settings_.classes[client_request.class_index].name + " " + outcome + ": " + reason +
                     "; after " + milliseconds(now_ - request.accepted_at) + " of " +
                     milliseconds(client_request.timeout);
  for (const auto& attempt : request.attempts) {
    text += "; engine " + std::to_string(attempt.engine) + " " + stage_name(attempt.stage);
    if (attempt.outcome) text += std::string(" ") + name(*attempt.outcome);
    text += ", age " + milliseconds(now_ - attempt.started_at);
  }
  emit(Log{std::move(text)});
}

void Reducer::erase_if_done(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.answered) return;
  const auto ended = [](const Attempt& attempt) { return attempt.stage == Stage::ended; };
  if (std::ranges::all_of(found->second.attempts, ended)) {
    auto& client_request = found->second.client_request;
    tracked_bytes_ -= memory_use(client_request);
    const bool is_safe =
        settings_.classes[client_request.class_index].idempotency == heronwell::Idempotency::safe;
    const bool executed = std::ranges::any_of(found->second.attempts, may_have_run);
    if (!client_request.ticket.empty())
      ticket_history_.add(now_, std::move(client_request.ticket), executed && !is_safe);
    requests_.erase(found);
  }
}

bool Reducer::may_have_run(const Attempt& attempt) {
  if (!attempt.outcome) return false;
  switch (*attempt.outcome) {
    case AttemptOutcome::rejected:
    case AttemptOutcome::expired:
    case AttemptOutcome::connect_failed:
      return false;
    case AttemptOutcome::served:
    case AttemptOutcome::error:
    case AttemptOutcome::connection_reset:
    case AttemptOutcome::query_dropped:
    case AttemptOutcome::cancelled:
      break;
  }
  return true;
}

}  // namespace bellstair::core
