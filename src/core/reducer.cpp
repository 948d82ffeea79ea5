#include "core/reducer.hpp"

#include <algorithm>
#include <utility>

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;
using heronwell::AttemptStatus;
using heronwell::EngineState;

// Should the module have left a request without its answer, it fails so long before the client gives up.
constexpr Time kLastCall = 15ms;
// A ticket that has had its final answer stays used for so long, while not too many are.
constexpr Time kTicketUsed = 30s;
constexpr std::size_t kMostUsedTickets = 8192;
// An answer this close to the deadline is told as timed out, to the fronts that make a difference.
constexpr Time kTimedOut = 60ms;

std::size_t weight(const ClientRequest& asked) {
  constexpr std::size_t kEach = 1024;  // for what stands beside the texts
  return kEach + asked.body.size() + asked.parameters.size() + asked.idempotency_key.size();
}

AttemptStatus result_of(AttemptOutcome end, bool timed_out) {
  switch (end) {
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

const char* name(AttemptOutcome end) {
  switch (end) {
    case AttemptOutcome::served:
      return "served";
    case AttemptOutcome::error:
      return "error";
    case AttemptOutcome::rejected:
      return "turned away";
    case AttemptOutcome::expired:
      return "expired";
    case AttemptOutcome::connect_failed:
      return "not connected";
    case AttemptOutcome::connection_reset:
      return "reset";
    case AttemptOutcome::query_dropped:
      return "lost";
    case AttemptOutcome::cancelled:
      return "withdrawn";
  }
  return "?";
}

Time longest_deadline(const heronwell::Settings& settings) {
  Time out{};
  for (const auto& set : settings.classes) out = std::max(out, set.request_timeout);
  return out;
}
}  // namespace

Reducer::Reducer(heronwell::Settings settings, std::uint64_t seed, std::size_t most_bytes, Time unix_offset)
    : settings_(settings),
      gateway_(std::move(settings), seed),
      lifecycle_(longest_deadline(settings_)),
      most_bytes_(most_bytes),
      start_clock_(unix_offset) {}

void Reducer::reduce(Time now, Event event, Effects& out) {
  now_ = now;
  out_ = &out;
  std::visit([this](auto& e) { on(e); }, event);
  if (const auto due = next_call(); due && now_ >= *due) consult();
}

std::optional<Time> Reducer::next_call() const {
  if (news_.empty()) return std::nullopt;
  return called_ + settings_.min_call_interval;
}

// Calls the module with all that has happened, and does what it says. Calls lie a step apart at the least.
void Reducer::consult() {
  called_ = now_;
  for (auto& event : news_) {
    if (auto* arrival = std::get_if<heronwell::Arrival>(&event)) {
      const auto* request = find(arrival->request);
      arrival->time_left =
          request == nullptr ? Time::zero() : std::max(Time::zero(), request->deadline - now_);
    }
  }
  actions_.clear();
  gateway_.handle(now_, news_, actions_);
  news_.clear();
  for (auto& action : actions_) std::visit([this](auto& a) { act(a); }, action);
}

Reducer::Request* Reducer::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Reducer::Attempt* Reducer::find(AttemptId id) {
  auto* request = find(id.request);
  return request == nullptr || id.index >= request->attempts.size() ? nullptr : &request->attempts[id.index];
}

// ---- events

const char* Reducer::stage_name(Stage stage) {
  switch (stage) {
    case Stage::waiting:
      return "waiting for a connection";
    case Stage::out:
      return "out";
    case Stage::leaving:
      return "being given up";
    case Stage::over:
      return "over";
  }
  return "?";
}

void Reducer::on(const Listening&) { lifecycle_.listening(); }

heronwell::EngineEntry Reducer::entry_of(const Member& member) const {
  auto entry = member.entry;
  if (entry.last_start > Time::zero()) entry.last_start = start_clock_.monotonic(entry.last_start);
  return entry;
}

bool Reducer::learn_starts(const MembershipChange& change) {
  bool changed = false;
  for (const auto& member : change.members) {
    const Time start = member.entry.last_start;
    const auto known = members_.find(member.entry.engine);
    if (start == Time::zero() || (known != members_.end() && start <= known->second.entry.last_start))
      continue;
    if (!change.live) {
      changed |= start_clock_.known_at_start(now_, start);
    } else if (!change.full) {
      changed |= start_clock_.told(now_, start);
    }
  }
  return changed;
}

void Reducer::on(MembershipChange& change) {
  heronwell::MembershipUpdate listing;
  listing.kind = !change.full  ? heronwell::MembershipUpdateKind::delta
                 : fleet_told_ ? heronwell::MembershipUpdateKind::full
                               : heronwell::MembershipUpdateKind::cached;
  if (change.full) {
    std::erase_if(members_, [&](const auto& known) {
      const auto same = [&](const Member& m) { return m.entry.engine == known.first; };
      if (std::ranges::any_of(change.members, same)) return false;
      put(EngineUpdated{known.first, known.second.address, false, false});
      return true;
    });
  }
  if (learn_starts(change)) {
    for (const auto& [id, member] : members_) listing.engines.push_back(entry_of(member));
  }
  for (auto& member : change.members) {
    listing.engines.push_back(entry_of(member));
    const auto state = member.entry.state;
    put(EngineUpdated{member.entry.engine, member.address, state != EngineState::gone,
                      state == EngineState::ready});
    const auto id = member.entry.engine;
    // Engines come with new ids for ever: what is gone is not kept.
    if (state == EngineState::gone) {
      members_.erase(id);
    } else {
      members_.insert_or_assign(id, std::move(member));
    }
  }
  fleet_told_ = true;
  news_.push_back(std::move(listing));
  // What still waits for a connection to an engine that drains or is gone must not leave after all.
  for (auto& [id, request] : requests_) {
    for (std::size_t n = 0; n < request.attempts.size(); ++n) {
      auto& attempt = request.attempts[n];
      const auto member = members_.find(attempt.engine);
      const bool ready = member != members_.end() && member->second.entry.state == EngineState::ready;
      if (attempt.stage == Stage::waiting && !ready)
        abandon({id, static_cast<AttemptIndex>(n)}, attempt, false);
    }
  }
  if (change.live) on(DiscoveryIdle{});
}

void Reducer::on(const DiscoveryIdle& quiet) {
  if (quiet.caught_up) start_clock_.caught_up(now_);
  const auto ready = [](const auto& m) { return m.second.entry.state == EngineState::ready; };
  if (std::ranges::any_of(members_, ready)) lifecycle_.fleet_known();
}

void Reducer::on(RequestArrived& arrived) {
  auto& asked = arrived.request;
  if (asked.admission_retry_after)
    return put(Answer{asked.client, AnswerKind::rejected, *asked.admission_retry_after, {}, {}});
  forget_tickets();
  const auto bytes = weight(asked);
  const bool full = settings_.max_open_requests != 0 && owed_ >= settings_.max_open_requests;
  if (lifecycle_.closed() || full || held_bytes_ + bytes > most_bytes_) {
    return put(Answer{asked.client, AnswerKind::rejected, settings_.max_retry_after, {}, {}});
  }
  // Engines know a query by its ticket: another under the same would get the first one's answer. Nor does a
  // ticket stand for a new request once it has had its final answer: clients draw one with every try.
  if (!asked.ticket.empty() && !tickets_.insert(asked.ticket).second)
    return put(Answer{asked.client, AnswerKind::failed, {}, {}, {}});
  const auto id = ++last_request_;
  heronwell::Arrival arrival;
  arrival.request = id;
  arrival.class_index = asked.class_index;
  arrival.tenant = asked.tenant;
  arrival.order_key = asked.order_key;
  arrival.estimated_work = asked.estimated_work;
  arrival.estimated_memory_mb = asked.estimated_memory_mb;
  arrival.data_group = asked.data_group;
  arrival.is_retry = asked.is_retry;
  by_client_[asked.client] = id;
  auto& request = requests_[id];
  request.taken = now_;
  request.deadline = (arrived.received_at > Time::zero() ? arrived.received_at : now_) + asked.timeout;
  request.asked = std::move(asked);
  held_bytes_ += bytes;
  ++owed_;
  wheel_.arm(request.deadline - kLastCall, {Alarm::Kind::deadline, {id, 0}});
  news_.push_back(arrival);
}

void Reducer::on(const RequestCancelled& cancelled) {
  const auto found = by_client_.find(cancelled.client);
  if (found == by_client_.end()) return;
  const auto id = found->second;
  auto& request = requests_.at(id);
  request.answered = true;  // nothing is owed any more
  by_client_.erase(found);
  --owed_;
  log_end(request, "dropped", "its client has cancelled it or is gone");
  news_.push_back(heronwell::RequestCancelled{id});
  forget_if_done(id);
}

// What runs for it is finished, in case it still reads; nothing begins for it any more.
void Reducer::on(const ClientHalfClosed& ended) {
  const auto found = by_client_.find(ended.client);
  if (found == by_client_.end()) return;
  requests_.at(found->second).client_ended = true;
  give_up_unless_it_runs(found->second);
}

void Reducer::give_up_unless_it_runs(RequestId id) {
  const auto runs = [](const Attempt& attempt) { return attempt.stage == Stage::out; };
  const auto& request = requests_.at(id);
  if (!request.answered && std::ranges::none_of(request.attempts, runs)) give_up(id, "its client has ended");
}

// The engine's state is looked at once more here: the list may have changed while a connection was made.
void Reducer::on(const AttemptReady& ready) {
  auto* attempt = find(ready.id);
  if (attempt == nullptr || attempt->stage != Stage::waiting) return;
  const auto& request = requests_.at(ready.id.request);
  const auto member = members_.find(attempt->engine);
  const bool usable = member != members_.end() && member->second.entry.state == EngineState::ready;
  const bool too_late = attempt->leave_by != Time::zero() && now_ >= attempt->leave_by;
  if (!usable || request.answered || now_ >= attempt->until || too_late)
    return abandon(ready.id, *attempt, usable && !request.answered);
  attempt->stage = Stage::out;
  attempt->priority = request.priority;
  const auto& asked = request.asked;
  put(Transmit{ready.id, asked.class_index, attempt->until - now_, request.memory_mb, request.priority,
               asked.ticket, asked.idempotency_key, asked.body, asked.parameters});
}

// A note without a figure: neither the attempt nor its engine is lost, however long it takes.
void Reducer::on(const AttemptProgressed& heard) {
  const auto* attempt = find(heard.id);
  if (attempt == nullptr || attempt->stage != Stage::out) return;
  news_.push_back(heronwell::ProgressReport{heard.id.request, heard.id.index, attempt->engine,
                                            heronwell::ProgressKind::waiting, 0});
}

void Reducer::on(AttemptEnded& ended) {
  auto* attempt = find(ended.id);
  if (attempt == nullptr || attempt->stage == Stage::over) return;
  // What was given up before its first byte has never run.
  const bool unsent = ended.outcome == AttemptOutcome::expired;
  conclude(ended.id, requests_.at(ended.id.request),
           unsent ? AttemptStatus::expired : result_of(ended.outcome, attempt->timed_out), &ended);
}

void Reducer::conclude(AttemptId id, Request& request, AttemptStatus result, AttemptEnded* told) {
  auto& attempt = request.attempts[id.index];
  attempt.stage = Stage::over;
  heronwell::AttemptResult outcome;
  outcome.request = id.request;
  outcome.attempt = id.index;
  outcome.engine = attempt.engine;
  outcome.status = result;
  outcome.latency = now_ - attempt.begun;
  if (told != nullptr) {
    attempt.end = told->outcome;
    outcome.work = told->work;
    outcome.memory_needed_mb = told->memory_needed_mb;
    outcome.load = std::move(told->load);
    if (result == AttemptStatus::served && !request.answered)
      serve(request, std::move(told->body), std::move(told->result_schema));
    if (result != AttemptStatus::served && !told->body.empty()) request.last_word = std::move(told->body);
  }
  outcome.request_closed = request.answered;
  news_.push_back(std::move(outcome));
  if (request.client_ended && !request.answered) return give_up_unless_it_runs(id.request);
  forget_if_done(id.request);
}

void Reducer::on(ProbeEnded& ended) {
  heronwell::ProbeResult probe;
  auto& sent = probes_[ended.engine];
  if (!sent.empty()) {
    probe.latency = now_ - sent.front();
    sent.erase(sent.begin());
  }
  if (sent.empty()) probes_.erase(ended.engine);
  probe.engine = ended.engine;
  probe.status = ended.status;
  probe.load = std::move(ended.load);
  news_.push_back(std::move(probe));
}

void Reducer::on(PeerMessageReceived& heard) {
  news_.push_back(heronwell::PeerMessage{heard.from, std::move(heard.bytes)});
}

void Reducer::on(const ShutdownRequested&) {
  lifecycle_.stop(now_);
  put(Log{std::string("phase: ") + name(lifecycle_.phase())});
}

// What was taken, the engines known and the module's state carry on: only where news come from may change.
void Reducer::on(ConfigurationRead& read) {
  if (!read.error.empty()) return put(Log{"the configuration stays as it was: " + read.error});
  std::string said = "the configuration was read again";
  for (std::size_t i = 0; i < read.restart_required.size(); ++i)
    said += (i == 0 ? "; changed, but of use only after a restart: " : ", ") + read.restart_required[i];
  put(Log{std::move(said)});
  put(WatchChangeLog{std::move(read.changelog)});
}

void Reducer::on(const Tick& tick) {
  wheel_.advance(now_, [this](const Alarm& alarm) { on(alarm); });
  if (lifecycle_.overdue(now_)) give_up_all();
  // What stays in the table without an answer owed waits for engines to hear that it was given up.
  if (!lifecycle_.advance(now_, owed_ > 0, tick.output_pending || !requests_.empty())) return;
  put(Log{std::string("phase: ") + name(lifecycle_.phase())});
  if (lifecycle_.phase() == Phase::exited) put(Exit{});
}

// The program ends before these could: better a refusal now than none at all. Where a repeat may do harm,
// they have failed.
void Reducer::give_up_all() {
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_) {
    if (!request.answered) open.push_back(id);
  }
  for (const auto id : open) give_up(id, "the program ends");
}

void Reducer::give_up(RequestId id, const char* reason) {
  auto& request = requests_.at(id);
  const auto& set = settings_.classes[request.asked.class_index];
  const bool harmless = request.attempts.empty() || set.idempotency == heronwell::Idempotency::safe ||
                        (set.idempotency == heronwell::Idempotency::keyed &&
                         set.deduplication_scope == heronwell::DeduplicationScope::all);
  const Time pause = settings_.sends_retry_after ? settings_.max_retry_after : Time::zero();
  turn_down(request, harmless ? AnswerKind::rejected : AnswerKind::failed, harmless ? pause : Time::zero(),
            reason);
  for (std::size_t n = 0; n < request.attempts.size(); ++n)
    abandon({id, static_cast<AttemptIndex>(n)}, request.attempts[n], false);
  news_.push_back(heronwell::RequestCancelled{id});
  forget_if_done(id);
}

void Reducer::on(const Alarm& alarm) {
  switch (alarm.kind) {
    case Alarm::Kind::wake:
      news_.push_back(heronwell::TimerExpired{});
      return;
    case Alarm::Kind::attempt:
      if (auto* attempt = find(alarm.id); attempt != nullptr) abandon(alarm.id, *attempt, true);
      return;
    case Alarm::Kind::deadline:
      if (auto* request = find(alarm.id.request); request != nullptr && !request->answered) {
        turn_down(*request, AnswerKind::timed_out, Time::zero(), "left open until its deadline");
        news_.push_back(heronwell::RequestCancelled{alarm.id.request});
        forget_if_done(alarm.id.request);
      }
      return;
  }
}

// ---- the module's actions

void Reducer::act(const heronwell::Send& send) {
  auto* request = find(send.request);
  if (request == nullptr) return;
  const AttemptId id{send.request, static_cast<AttemptIndex>(request->attempts.size())};
  Attempt attempt;
  attempt.engine = send.engine;
  attempt.begun = now_;
  attempt.until =
      std::min(send.deadline == Time::zero() ? request->deadline : send.deadline, request->deadline);
  attempt.leave_by = send.send_by;
  request->attempts.push_back(attempt);
  if (request->answered || request->client_ended || attempt.until <= now_)
    return conclude(id, *request, AttemptStatus::expired, nullptr);
  wheel_.arm(attempt.until, {Alarm::Kind::attempt, id});
  put(StartAttempt{id, send.engine});
}

void Reducer::act(const heronwell::CancelAttempt& off) {
  const AttemptId id{off.request, off.attempt};
  if (auto* attempt = find(id); attempt != nullptr) abandon(id, *attempt, false);
}

void Reducer::abandon(AttemptId id, Attempt& attempt, bool timed_out) {
  if (attempt.stage != Stage::waiting && attempt.stage != Stage::out) return;
  attempt.stage = Stage::leaving;
  attempt.timed_out = timed_out;
  put(CancelAttempt{id});
}

void Reducer::act(const heronwell::Reject& refuse) {
  auto* request = find(refuse.request);
  if (request == nullptr || request->answered) return;
  turn_down(*request, AnswerKind::rejected, refuse.retry_after, refuse.reason);
  forget_if_done(refuse.request);
}

void Reducer::act(const heronwell::Fail& fail) {
  auto* request = find(fail.request);
  if (request == nullptr || request->answered) return;
  const bool late = now_ >= request->deadline - kTimedOut;
  turn_down(*request, late ? AnswerKind::timed_out : AnswerKind::failed, Time::zero(), fail.reason);
  forget_if_done(fail.request);
}

void Reducer::act(const heronwell::ExecutionLimits& terms) {
  auto* request = find(terms.request);
  if (request == nullptr) return;
  request->memory_mb = terms.memory_mb;
  request->priority = terms.priority;
  for (std::size_t n = 0; n < request->attempts.size(); ++n) {
    auto& attempt = request->attempts[n];
    if (attempt.stage != Stage::out || attempt.priority == terms.priority) continue;
    attempt.priority = terms.priority;
    put(SetPriority{{terms.request, static_cast<AttemptIndex>(n)}, terms.priority});
  }
}

void Reducer::act(const heronwell::SetTimer& wake) { wheel_.arm(now_ + wake.delay, {Alarm::Kind::wake, {}}); }

void Reducer::act(const heronwell::Probe& probe) {
  probes_[probe.engine].push_back(now_);
  put(ProbeEngine{probe.engine});
}

void Reducer::act(heronwell::SendPeerMessage& tell) { put(SendToPeers{tell.to, std::move(tell.bytes)}); }
void Reducer::act(heronwell::Trace& trace) { put(Log{std::move(trace.text)}); }

void Reducer::serve(Request& request, std::string body, std::string shape) {
  settle(request, {request.asked.client, AnswerKind::served, {}, std::move(body), std::move(shape)});
}

void Reducer::turn_down(Request& request, AnswerKind kind, Time pause, const char* reason) {
  log_end(request, name(kind), reason);
  settle(request, {request.asked.client, kind, pause, request.last_word, {}});
}

void Reducer::settle(Request& request, Answer answer) {
  request.answered = true;
  by_client_.erase(request.asked.client);
  --owed_;
  put(std::move(answer));
}

void Reducer::log_end(const Request& request, const char* how, const char* reason) {
  if (!line_budget_.take(now_)) return;
  if (const auto left_out = line_budget_.take_left_out(); left_out > 0)
    put(Log{std::to_string(left_out) + " lines on requests were left out"});
  const auto milliseconds = [](Time time) { return std::to_string(time / 1ms) + " ms"; };
  const auto& asked = request.asked;
  std::string text = "request " + asked.ticket + " " + settings_.classes[asked.class_index].name + " " + how +
                     ": " + reason + "; after " + milliseconds(now_ - request.taken) + " of " +
                     milliseconds(asked.timeout);
  for (const auto& attempt : request.attempts) {
    text += "; engine " + std::to_string(attempt.engine) + " " + stage_name(attempt.stage);
    if (attempt.end) text += std::string(" ") + name(*attempt.end);
    text += " since " + milliseconds(now_ - attempt.begun);
  }
  put(Log{std::move(text)});
}

void Reducer::forget_if_done(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.answered) return;
  const auto over = [](const Attempt& attempt) { return attempt.stage == Stage::over; };
  if (std::ranges::all_of(found->second.attempts, over)) {
    auto& asked = found->second.asked;
    held_bytes_ -= weight(asked);
    if (!asked.ticket.empty()) answered_tickets_.emplace_back(now_, std::move(asked.ticket));
    requests_.erase(found);
  }
}

void Reducer::forget_tickets() {
  while (!answered_tickets_.empty() && (answered_tickets_.front().first + kTicketUsed <= now_ ||
                                        answered_tickets_.size() > kMostUsedTickets)) {
    tickets_.erase(answered_tickets_.front().second);
    answered_tickets_.pop_front();
  }
}

}  // namespace bellstair::core
