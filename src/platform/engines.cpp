#include "platform/engines.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "platform/page.hpp"
#include "sql/value.hpp"

namespace bellstair::platform {
namespace {
using namespace std::chrono_literals;
using core::AttemptId;
using core::AttemptOutcome;

constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;  // of any response
// Of a response that holds a page, and of one to a statement or poll whose query still runs.
constexpr unsigned kPageStatus = 200, kRunningStatus = 202;
constexpr std::size_t kMaxResultBytes = 48'000;
constexpr std::size_t kMaxPages = 4096;
// An engine answers a POST or a poll within 250 ms, if only to report no change, and a page request
// at once; it ends a query that is not polled for 2 s. A call without a response for longer than
// that, with an allowance for pauses of the engine during all the tries, is repeated on another
// connection while there is time.
constexpr core::Time kResponseTimeout = 400ms, kPageTimeout = 250ms;
// No engine reports "no change" sooner than this after a poll, so an earlier such response is a duplicate.
constexpr core::Time kMinIdleResponseTime = 200ms;
// For calls that nothing waits for long: cancelling, priorities, probes.
constexpr core::Time kOutOfBandTimeout = 500ms;
constexpr int kMaxReconnects = 2;               // in a row, for one attempt
constexpr core::Time kDeleteRetryDelay = 50ms;  // between two DELETEs of one query
// A statement may still reach the engine so long after its connection has broken, overtaken by
// requests on other connections.
constexpr core::Time kMaxTransitTime = 50ms;
// An engine ends a query 2 s after its last poll, and may hold that poll for 250 ms before it responds.
constexpr core::Time kQueryExpiry = 2s + 250ms + 150ms;
// A page is taken to be complete if nothing has followed it for this long: several times the jitter of the
// network, so that the rest of a page whose length is too short has been received.
constexpr core::Time kPageSettleTime = 2ms;
// The same if what may be the beginning of a row has followed it.
constexpr core::Time kRowSettleTime = 20ms;
constexpr core::Time kSettleCheckInterval = 1ms;
constexpr core::Time kLogInterval = 2s;  // between two log lines with counts

struct HttpSession : net::Session {
  HttpResponseParser parser{kMaxBodyBytes};
  // A duplicate response was received, so each further one may belong to the previous call.
  bool duplicate_response = false;
};

std::string query_path(const std::string& ticket) { return "/v1/store/" + ticket; }
}  // namespace

Engines::Engines(ev::loop_ref loop, net::ConnectionPool::Limits limits, std::vector<std::string> class_names,
                 std::vector<std::string> load_fields, net::EventSink emit)
    : pool_(loop, limits),
      class_names_(std::move(class_names)),
      load_fields_(std::move(load_fields)),
      emit_(std::move(emit)),
      settle_timer_(loop) {
  settle_timer_.set<Engines, &Engines::on_settle_timer>(this);
}

std::string Engines::host(core::EngineId engine) const {
  const auto found = addresses_.find(engine);
  return found == addresses_.end() ? std::string() : found->second;
}

// ---- calls

std::uint64_t Engines::start_call(Connection& connection, const std::string& request, core::Time timeout,
                                  CallCallback callback) {
  const auto call_id = ++last_call_id_;
  if (!connection.session) connection.session = std::make_unique<HttpSession>();
  auto& parser = static_cast<HttpSession&>(*connection.session).parser;
  parser.reset();
  calls_[call_id] = {&connection, connection.stream.sent_bytes(), std::move(callback)};
  connection.on_data = [this, call_id, &parser](std::string_view bytes) {
    const bool was_complete = parser.complete();
    if (!parser.feed(bytes)) return finish_call(call_id, CallOutcome::broken);
    if (!parser.complete() || was_complete) return;
    // The length of a page may be too short, and its rest may be received a little later.
    if (parser.status() != kPageStatus) return finish_call(call_id, CallOutcome::responded);
    settling_calls_.push_back({call_id, core::monotonic_now()});
    if (!settle_timer_.is_active()) settle_timer_.start(core::seconds(kSettleCheckInterval), 0);
  };
  connection.on_lost = [this, call_id, &parser](bool clean) {
    finish_call(call_id, clean && parser.finish() ? CallOutcome::responded : CallOutcome::broken);
  };
  call_timeouts_.arm(now_ + timeout, call_id);
  connection.stream.write(request);  // if it fails, `on_lost` follows
  return call_id;
}

// Once its time is over, a call ends in the next iteration of the loop, so that its connection has been
// polled and read after that time.
void Engines::on_settle_timer(ev::timer&, int) {
  const auto now = core::monotonic_now();
  for (auto settling : std::exchange(settling_calls_, {})) {
    const auto call = calls_.find(settling.call_id);
    if (call == calls_.end()) continue;
    if (settling.time_is_over) {
      finish_call(settling.call_id, CallOutcome::responded);
      continue;
    }
    settling.time_is_over = now >= settling.completed_at + settle_time(call->second);
    settling_calls_.push_back(settling);
  }
  if (settling_calls_.empty()) return;
  const bool ends = std::ranges::any_of(settling_calls_, &SettlingCall::time_is_over);
  settle_timer_.start(ends ? 0 : core::seconds(kSettleCheckInterval), 0);
}

core::Time Engines::settle_time(const Call& call) {
  const auto& response = static_cast<const HttpSession&>(*call.connection->session).parser.response();
  switch (classify_excess(response.body, response.excess)) {
    case PageExcess::none:
      return kPageSettleTime;
    case PageExcess::undecided:
      return kRowSettleTime;
    case PageExcess::rows:
    case PageExcess::foreign:
      break;
  }
  return core::Time::zero();
}

void Engines::finish_call(std::uint64_t call_id, CallOutcome outcome) {
  const auto found = calls_.find(call_id);
  if (found == calls_.end()) return;
  const auto call = std::move(found->second);
  calls_.erase(found);
  auto& connection = *call.connection;
  auto& parser = static_cast<HttpSession&>(*connection.session).parser;
  if (parser.complete()) outcome = CallOutcome::responded;  // even if it timed out or broke after that
  HttpResponse response;
  if (outcome == CallOutcome::responded) response = parser.take();
  if (outcome == CallOutcome::broken && connection.stream.sent_bytes() == call.sent_before)
    outcome = CallOutcome::unsent;
  const bool reusable = outcome == CallOutcome::responded && response.keep_alive && connection.stream.open();
  connection.on_data = nullptr;
  connection.on_lost = nullptr;
  ++call_outcomes_[static_cast<std::size_t>(outcome)];
  if (!reusable) pool_.discard(connection);
  call.callback(outcome, response);
}

std::uint64_t Engines::out_of_band_call(core::EngineId engine, std::string request, core::Time timeout,
                                        CallCallback callback) {
  return pool_.acquire(
      engine, [this, request = std::move(request), timeout, callback = std::move(callback)](Connection* c) {
        HttpResponse no_response;
        if (c == nullptr) return callback(CallOutcome::not_connected, no_response);
        start_call(*c, request, timeout, [this, c, callback](CallOutcome outcome, HttpResponse& response) {
          if (outcome == CallOutcome::responded && response.keep_alive && c->stream.open())
            release_connection(*c);
          callback(outcome, response);
        });
      });
}

void Engines::release_connection(Connection& connection) {
  const auto* session = static_cast<const HttpSession*>(connection.session.get());
  session != nullptr && session->duplicate_response ? pool_.discard(connection) : pool_.release(connection);
}

void Engines::tick(core::Time now) {
  now_ = now;
  pool_.tick(now);
  call_timeouts_.advance(now,
                         [this](std::uint64_t call_id) { finish_call(call_id, CallOutcome::timed_out); });
  delete_retries_.advance(now, [this](core::AttemptId id) {
    if (attempts_.contains(id)) send_delete(id);
  });
  poll_retries_.advance(now, [this](core::AttemptId id) {
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && found->second.stage == Stage::polling) poll(id);
  });
  expiries_.advance(now, [this](core::AttemptId id) {
    if (attempts_.contains(id)) end_if_expired(id);
  });
  if (now >= last_logged_ + kLogInterval) log_counts();
}

// Logs the counts of connections, calls and attempts in one line, or nothing if all are zero.
void Engines::log_counts() {
  last_logged_ = now_;
  const auto calls = std::exchange(call_outcomes_, {});
  const auto attempts = std::exchange(attempt_outcomes_, {});
  const auto counts = pool_.take_counts();
  if (calls == decltype(calls){} && attempts == decltype(attempts){} &&
      counts == net::ConnectionPool::Counts{})
    return;
  const auto call = [&](CallOutcome outcome) { return calls[static_cast<std::size_t>(outcome)]; };
  const auto attempt = [&](AttemptOutcome outcome) { return attempts[static_cast<std::size_t>(outcome)]; };
  std::fprintf(stderr,
               "bellstair: engines: %s; connects %zu started, %zu failed, %zu timed out, %zu reset; "
               "connections %zu assigned, %zu closed by peer, %zu lost while idle, %zu idle timeouts, "
               "%zu evicted, %zu exhausted; calls %zu responded, %zu unsent, %zu broken, %zu timed out; "
               "pages %zu damaged, %zu too short; "
               "attempts %zu in flight, %zu served, %zu error, %zu rejected, %zu expired, "
               "%zu connect failed, %zu connection reset, %zu query dropped, %zu cancelled\n",
               pool_.state().c_str(), counts.started, counts.failed, counts.timed_out, counts.reset,
               counts.assigned, counts.closed_by_peer, counts.lost_idle, counts.idle_timeouts, counts.evicted,
               counts.exhausted, call(CallOutcome::responded), call(CallOutcome::unsent),
               call(CallOutcome::broken), call(CallOutcome::timed_out), std::exchange(damaged_pages_, 0),
               std::exchange(too_short_pages_, 0), attempts_.size(), attempt(AttemptOutcome::served),
               attempt(AttemptOutcome::error), attempt(AttemptOutcome::rejected),
               attempt(AttemptOutcome::expired), attempt(AttemptOutcome::connect_failed),
               attempt(AttemptOutcome::connection_reset), attempt(AttemptOutcome::query_dropped),
               attempt(AttemptOutcome::cancelled));
}

// ---- effects

void Engines::run(const core::StartAttempt& effect) {
  const auto id = effect.id;
  auto& attempt = attempts_[id];
  attempt.engine = effect.engine;
  attempt.result.id = id;
  attempt.waiter_id = pool_.acquire(effect.engine, [this, id](Connection* connection) {
    const auto found = attempts_.find(id);
    if (connection == nullptr) return end_attempt(id, AttemptOutcome::connect_failed);
    found->second.connection = connection;
    found->second.stage = Stage::ready;
    connection->on_lost = [this, id, connection](bool) {
      attempts_.at(id).connection = nullptr;
      pool_.discard(*connection);
    };
    emit_(core::AttemptReady{id});
  });
}

void Engines::run(core::Transmit& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end() || found->second.stage != Stage::ready) return;
  auto& attempt = found->second;
  if (attempt.connection == nullptr) return end_attempt(effect.id, AttemptOutcome::expired);
  HttpHeaders headers;
  headers.emplace_back("X-Ticket", effect.ticket);
  headers.emplace_back("X-Queue", class_names_.at(effect.class_index));
  headers.emplace_back("X-Max-Ms", std::to_string(std::max<std::int64_t>(1, effect.timeout / 1ms)));
  if (!effect.idempotency_key.empty()) headers.emplace_back("X-Nonce", effect.idempotency_key);
  if (effect.memory_mb >= 1)
    headers.emplace_back("Query-Memory", std::to_string(std::llround(effect.memory_mb)));
  headers.emplace_back("Query-Priority", std::to_string(effect.priority));
  if (!effect.parameters.empty()) {
    // These engines accept statements as text only, so bound values become literals.
    const auto values = sql::decode_values(effect.parameters);
    auto text = values ? sql::with_literals(effect.body, *values) : std::nullopt;
    if (!text) return end_attempt(effect.id, AttemptOutcome::error);
    effect.body = std::move(*text);
  }
  attempt.stage = Stage::posted;
  attempt.query_path = query_path(effect.ticket);
  const auto id = effect.id;
  attempt.call_id = start_call(
      *attempt.connection, http_request("POST", "/v1/store", host(attempt.engine), headers, effect.body),
      kResponseTimeout,
      [this, id](CallOutcome outcome, HttpResponse& response) { on_response(id, outcome, response); });
}

void Engines::run(const core::CancelAttempt& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  switch (attempt.stage) {
    case Stage::connecting:
      pool_.cancel(attempt.engine, attempt.waiter_id);
      return end_attempt(effect.id, AttemptOutcome::expired);
    case Stage::ready:
      if (attempt.connection != nullptr) pool_.release(*attempt.connection);
      attempt.connection = nullptr;
      return end_attempt(effect.id, AttemptOutcome::expired);
    case Stage::posted:
      // A DELETE on another connection could overtake the statement, which would then run all the same. The
      // engine's first response, at most 250 ms away, proves that the statement has arrived completely.
      attempt.stage = Stage::cancelling;
      if (attempt.connection->stream.unsent_bytes() > 0) {
        pool_.discard(*attempt.connection);  // the engine never receives the complete statement
        calls_.erase(attempt.call_id);
        return end_attempt(effect.id, AttemptOutcome::cancelled);
      }
      call_timeouts_.arm(now_ + kOutOfBandTimeout, attempt.call_id);
      return;
    case Stage::paging:
      return end_attempt(effect.id, AttemptOutcome::cancelled);  // the query has ended at the engine
    case Stage::polling:
      return cancel_query(effect.id, AttemptOutcome::cancelled);
    case Stage::cancelling:
    case Stage::deleting:
      return;
  }
}

// Queries outlive their connections: until the engine has answered a DELETE, this one may still
// run, and must not be sent to another engine. A DELETE that failed or was not answered may not
// have arrived: only a response proves that it has, or so long a time that the engine has ended the
// query because it was not polled.
void Engines::cancel_query(AttemptId id, AttemptOutcome outcome) {
  auto& attempt = attempts_.at(id);
  if (attempt.stage == Stage::deleting) return;
  attempt.stage = Stage::deleting;
  attempt.final_outcome = outcome;
  release_if_unused(attempt);
  if (!end_if_expired(id)) send_delete(id);
}

void Engines::send_delete(AttemptId id) {
  auto& attempt = attempts_.at(id);
  attempt.waiter_id = out_of_band_call(
      attempt.engine, http_request("DELETE", attempt.query_path, host(attempt.engine), {}, {}),
      kOutOfBandTimeout, [this, id](CallOutcome outcome, HttpResponse&) {
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) return;
        if (outcome != CallOutcome::responded) return delete_retries_.arm(now_ + kDeleteRetryDelay, id);
        if (!confirm_unknown(found->second)) return delete_retries_.arm(now_ + kMaxTransitTime, id);
        const auto final_outcome = found->second.final_outcome;
        end_attempt(id, final_outcome == AttemptOutcome::connection_reset ? AttemptOutcome::query_dropped
                                                                          : final_outcome);
      });
}

bool Engines::confirm_unknown(Attempt& attempt) const {
  if (!attempt.unconfirmed) return true;
  if (attempt.reported_unknown_at == core::Time::zero()) attempt.reported_unknown_at = now_;
  return now_ >= attempt.reported_unknown_at + kMaxTransitTime;
}

bool Engines::end_if_expired(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (calls_.contains(attempt.call_id)) attempt.last_contact = now_;
  const bool ended = now_ >= attempt.last_contact + kQueryExpiry;
  ended ? end_attempt(id, attempt.final_outcome) : expiries_.arm(attempt.last_contact + kQueryExpiry, id);
  return ended;
}

void Engines::release_if_unused(Attempt& attempt) {
  if (attempt.connection == nullptr || calls_.contains(attempt.call_id)) return;
  release_connection(*std::exchange(attempt.connection, nullptr));
}

void Engines::run(const core::SetPriority& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (attempt.stage == Stage::posted) attempt.pending_priority = effect.priority;
  if (attempt.stage != Stage::polling) return;
  out_of_band_call(
      attempt.engine,
      http_request("PUT", attempt.query_path, host(attempt.engine), {}, std::to_string(effect.priority)),
      kOutOfBandTimeout, [](CallOutcome, HttpResponse&) {});
}

void Engines::run(const core::ProbeEngine& effect) {
  const auto engine = effect.engine;
  out_of_band_call(engine, http_request("GET", "/-/gauges", host(engine), {}, {}), kOutOfBandTimeout,
                   [this, engine](CallOutcome outcome, HttpResponse& response) {
                     core::ProbeEnded probe{engine, heronwell::AttemptStatus::served, {}};
                     switch (outcome) {
                       case CallOutcome::responded:
                         if (response.status != 200) probe.status = heronwell::AttemptStatus::rejected;
                         read_load(response, probe.load);
                         break;
                       case CallOutcome::not_connected:
                         probe.status = heronwell::AttemptStatus::connect_failed;
                         break;
                       case CallOutcome::unsent:
                       case CallOutcome::broken:
                         probe.status = heronwell::AttemptStatus::connection_reset;
                         break;
                       case CallOutcome::timed_out:
                         probe.status = heronwell::AttemptStatus::timed_out;
                         break;
                     }
                     emit_(std::move(probe));
                   });
}

void Engines::run(const core::EngineUpdated& effect) {
  if (!effect.usable) {
    addresses_.erase(effect.engine);
    return pool_.remove_engine(effect.engine);
  }
  addresses_[effect.engine] = effect.address;
  pool_.set_address(effect.engine, effect.address);
}

// ---- progress of an attempt

void Engines::on_response(AttemptId id, CallOutcome outcome, HttpResponse& response) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  const bool posting = attempt.stage == Stage::posted || attempt.stage == Stage::cancelling;
  if (outcome != CallOutcome::responded || !response.keep_alive || !attempt.connection->stream.open())
    attempt.connection = nullptr;  // it has been discarded
  if (outcome != CallOutcome::unsent) attempt.last_contact = now_;
  if (attempt.stage == Stage::deleting) {
    if (outcome == CallOutcome::responded && response.status != kRunningStatus)
      return end_attempt(id, attempt.final_outcome);
    return release_if_unused(attempt);
  }
  if (outcome != CallOutcome::responded) {
    if (posting && outcome == CallOutcome::unsent) return end_attempt(id, AttemptOutcome::expired);
    // Once a byte of a statement has been sent, it may have run, and is never sent again from here. Neither a
    // timeout nor an incomplete or invalid response shows whether it runs, so the engine is polled.
    attempt.unconfirmed = attempt.unconfirmed || posting;
    if (attempt.stage == Stage::cancelling) return cancel_query(id, AttemptOutcome::cancelled);
    attempt.stage = attempt.stage == Stage::posted ? Stage::polling : attempt.stage;
    return reconnect(id);
  }
  read_load(response, attempt.result.load);
  if (response.status == kRunningStatus) return on_still_running(id);
  if (response.status == kPageStatus) return on_page(id, response);
  // Only this header proves that the query did not run; a 503 from anything else proves nothing.
  const bool never_ran = response.header("x-shed") == "1" && attempt.next_page == 0;
  if (never_ran && response.status == 503) return end_attempt(id, AttemptOutcome::rejected);
  if (never_ran && response.status == 504) return end_attempt(id, AttemptOutcome::expired);
  if (attempt.stage != Stage::paging && !confirm_unknown(attempt)) {
    attempt.reconnects = 0;
    release_if_unused(attempt);
    return poll_retries_.arm(now_ + kMaxTransitTime, id);
  }
  // An engine that does not know the query may never have received it.
  end_attempt(id, attempt.unconfirmed ? AttemptOutcome::query_dropped : AttemptOutcome::error);
}

void Engines::on_still_running(AttemptId id) {
  auto& attempt = attempts_.at(id);
  attempt.reconnects = 0;
  attempt.unconfirmed = false;
  if (attempt.stage == Stage::cancelling) return cancel_query(id, AttemptOutcome::cancelled);
  if (attempt.connection != nullptr && attempt.stage == Stage::polling &&
      now_ < attempt.polled_at + kMinIdleResponseTime)
    static_cast<HttpSession&>(*attempt.connection->session).duplicate_response = true;
  attempt.stage = Stage::polling;
  emit_(core::AttemptProgressed{id});
  if (attempt.pending_priority)
    run(core::SetPriority{id, *std::exchange(attempt.pending_priority, std::nullopt)});
  poll(id);
}

void Engines::on_page(AttemptId id, HttpResponse& response) {
  auto& attempt = attempts_.at(id);
  if (!append_page(attempt, response)) {
    ++damaged_pages_;
    // Damaged in transit: the engine still has the page and sends it again. The connection is discarded.
    if (attempt.connection != nullptr) pool_.discard(*std::exchange(attempt.connection, nullptr));
    if (attempt.stage == Stage::cancelling) return end_attempt(id, AttemptOutcome::cancelled);
    if (attempt.stage == Stage::posted) attempt.stage = Stage::polling;
    return reconnect(id);
  }
  attempt.reconnects = 0;
  if (attempt.next_page == attempt.page_count) return end_attempt(id, AttemptOutcome::served);
  if (attempt.stage == Stage::cancelling) return end_attempt(id, AttemptOutcome::cancelled);
  attempt.stage = Stage::paging;
  poll(id);
}

bool Engines::append_page(Attempt& attempt, HttpResponse& response) {
  auto& result = attempt.result;
  const auto excess = classify_excess(response.body, response.excess);
  if (excess == PageExcess::rows) {
    ++too_short_pages_;
    attempt.unconfirmed_page.reset();
    return false;
  }
  // Such a page is accepted if it is the same when it is fetched again.
  const bool may_be_cut_off = response.ended_by_close || excess == PageExcess::undecided;
  if (may_be_cut_off &&
      std::exchange(attempt.unconfirmed_page, response.body) != std::optional(response.body))
    return false;
  if (!complete_rows(response.body) || result.body.size() + response.body.size() > kMaxResultBytes)
    return false;
  if (attempt.next_page == 0) {
    const double pages = response.number("result-pages").value_or(0);
    if (pages < 1 || pages > kMaxPages || pages != std::floor(pages)) return false;
    attempt.page_count = static_cast<std::size_t>(pages);
    if (const auto cost = response.number("query-cost"); cost && *cost >= 0 && *cost < 1e9)
      result.work = core::Time(static_cast<std::int64_t>(*cost * 1e6));
    result.memory_needed_mb = std::clamp(response.number("query-need").value_or(0), 0.0, 1e9);
  } else if (response.number("result-page").value_or(-1) != static_cast<double>(attempt.next_page)) {
    return false;
  }
  result.body += response.body;
  attempt.unconfirmed_page.reset();
  ++attempt.next_page;
  return true;
}

void Engines::poll(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (attempt.connection == nullptr) return reconnect(id);
  const auto page = attempt.stage == Stage::paging ? attempt.next_page : 0;
  attempt.polled_at = now_;
  attempt.call_id = start_call(
      *attempt.connection,
      http_request("GET", attempt.query_path + "/" + std::to_string(page), host(attempt.engine), {}, {}),
      page > 0 ? kPageTimeout : kResponseTimeout,
      [this, id](CallOutcome outcome, HttpResponse& response) { on_response(id, outcome, response); });
}

// Polls and page requests may be repeated: they do not change the query.
void Engines::reconnect(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (++attempt.reconnects > kMaxReconnects) return cancel_query(id, AttemptOutcome::connection_reset);
  pool_.acquire(attempt.engine, [this, id](Connection* connection) {
    const auto found = attempts_.find(id);
    const bool still_needed = found != attempts_.end() &&
                              (found->second.stage == Stage::polling || found->second.stage == Stage::paging);
    if (!still_needed) {
      if (connection != nullptr) pool_.release(*connection);
      return;
    }
    if (connection == nullptr) return cancel_query(id, AttemptOutcome::connection_reset);
    found->second.connection = connection;
    poll(id);
  });
}

void Engines::end_attempt(AttemptId id, AttemptOutcome outcome) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto attempt = std::move(found->second);
  attempts_.erase(found);
  // The query may be sent to the engine again under the same path, so a DELETE not sent yet must not follow.
  if (attempt.stage == Stage::deleting) pool_.cancel(attempt.engine, attempt.waiter_id);
  if (auto* connection = attempt.connection; connection != nullptr && connection->stream.open()) {
    // A call still in flight on the connection releases it when it ends.
    const auto in_flight = calls_.find(attempt.call_id);
    if (in_flight == calls_.end()) {
      release_connection(*connection);
    } else {
      call_timeouts_.arm(now_ + kResponseTimeout, in_flight->first);
      in_flight->second.callback = [this, connection](CallOutcome call_outcome, HttpResponse& response) {
        if (call_outcome == CallOutcome::responded && response.keep_alive && connection->stream.open())
          release_connection(*connection);
      };
    }
  }
  ++attempt_outcomes_[static_cast<std::size_t>(outcome)];
  attempt.result.outcome = outcome;
  if (outcome != AttemptOutcome::served) attempt.result.body.clear();
  emit_(std::move(attempt.result));
}

void Engines::read_load(const HttpResponse& response, std::vector<double>& load) const {
  const auto text = response.header("x-meter");
  if (text.empty()) return;
  const auto values = parse_load_header(text);
  std::vector<double> result;
  for (const auto& field : load_fields_) {
    const auto found = values.find(field);
    if (found == values.end()) return;
    result.push_back(found->second);
  }
  load = std::move(result);
}

}  // namespace bellstair::platform
