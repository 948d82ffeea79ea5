#include "platform/engines.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "sql/value.hpp"

namespace bellstair::platform {
namespace {
using namespace std::chrono_literals;
using core::AttemptId;
using core::AttemptOutcome;

constexpr std::size_t kMostBody = std::size_t{64} * 1024;  // of any answer
constexpr std::size_t kMostPage = 6000;
constexpr std::size_t kMostResult = 48'000;
constexpr std::size_t kMostPages = 4096;
// An engine answers a POST or a call for news within 250 ms, if only that there is none, and gives a page at
// once; a query unasked for 2 s dies. A call that hears nothing for longer than that, and what an engine may
// stand still meanwhile in all its tries, is made again on another connection while there is time.
constexpr core::Time kSilence = 400ms, kPageSilence = 250ms;
constexpr core::Time kSoonest = 200ms;  // no engine says before that there is no news: it is said twice
constexpr core::Time kAside = 500ms;    // for calls that nothing waits for long: giving up, priorities
constexpr int kReconnects = 2;
constexpr core::Time kTellPause = 50ms;  // between two tries to have an engine told
// A statement whose connection has broken may come so long after: another connection can overtake it.
constexpr core::Time kInFlight = 50ms;
// A query that nobody has asked for in 2 s ends at its engine; a call that came may be held there for 250 ms.
constexpr core::Time kForgotten = 2s + 250ms + 150ms;
constexpr core::Time kReport = 2s;  // between lines in the log

struct HttpSession : net::Session {
  HttpResponseParser reader{kMostBody};
  bool doubled = false;  // an answer too many came, so that each further one may belong to the call before
};

// Rows of three columns, each with its line feed.
bool whole_rows(std::string_view page) {
  if (page.size() > kMostPage || (!page.empty() && page.back() != '\n')) return false;
  int tabs = 0;
  for (const char c : page) {
    tabs += c == '\t' ? 1 : 0;
    if (c == '\n' && std::exchange(tabs, 0) != 2) return false;
    if (c == '\0') return false;
  }
  return true;
}

std::string path_of(const std::string& ticket) { return "/v1/store/" + ticket; }
}  // namespace

Engines::Engines(ev::loop_ref loop, net::ConnectionPool::Limits limits, std::vector<std::string> class_names,
                 std::vector<std::string> load_fields, net::EventSink post)
    : pool_(loop, limits),
      class_names_(std::move(class_names)),
      load_fields_(std::move(load_fields)),
      post_(std::move(post)) {}

std::string Engines::host(core::EngineId engine) const {
  const auto found = addresses_.find(engine);
  return found == addresses_.end() ? std::string() : found->second;
}

// ---- calls

std::uint64_t Engines::call(Connection& connection, const std::string& bytes, core::Time patience,
                            Done done) {
  const auto serial = ++serial_;
  if (!connection.session) connection.session = std::make_unique<HttpSession>();
  auto& reader = static_cast<HttpSession&>(*connection.session).reader;
  reader.expect();
  calls_[serial] = {&connection, connection.stream.sent_bytes(), std::move(done)};
  connection.on_data = [this, serial, &reader](std::string_view in) {
    if (!reader.feed(in)) return finish(serial, End::broken);
    if (reader.complete()) finish(serial, End::answered);
  };
  connection.on_lost = [this, serial, &reader](bool clean) {
    finish(serial, clean && reader.finish() ? End::answered : End::broken);
  };
  patience_.arm(now_ + patience, serial);
  connection.stream.write(bytes);  // if it fails, `lost` follows
  return serial;
}

void Engines::finish(std::uint64_t serial, End end) {
  const auto found = calls_.find(serial);
  if (found == calls_.end()) return;
  const auto call = std::move(found->second);
  calls_.erase(found);
  auto& connection = *call.connection;
  auto& reader = static_cast<HttpSession&>(*connection.session).reader;
  HttpResponse answer;
  if (end == End::answered) answer = reader.take();
  if (end == End::broken && connection.stream.sent_bytes() == call.before) end = End::unsent;
  const bool fit = end == End::answered && answer.keep_alive && connection.stream.open();
  connection.on_data = nullptr;
  connection.on_lost = nullptr;
  ++call_ends_[static_cast<std::size_t>(end)];
  if (!fit) pool_.discard(connection);
  call.done(end, answer);
}

std::uint64_t Engines::aside(core::EngineId engine, std::string bytes, core::Time patience, Done done) {
  return pool_.acquire(engine,
                       [this, bytes = std::move(bytes), patience, done = std::move(done)](Connection* c) {
                         HttpResponse none;
                         if (c == nullptr) return done(End::not_connected, none);
                         call(*c, bytes, patience, [this, c, done](End end, HttpResponse& answer) {
                           if (end == End::answered && answer.keep_alive && c->stream.open()) release(*c);
                           done(end, answer);
                         });
                       });
}

void Engines::release(Connection& connection) {
  const auto* session = static_cast<const HttpSession*>(connection.session.get());
  session != nullptr && session->doubled ? pool_.discard(connection) : pool_.release(connection);
}

void Engines::tick(core::Time now) {
  now_ = now;
  pool_.tick(now);
  patience_.advance(now, [this](std::uint64_t serial) { finish(serial, End::silent); });
  tell_again_.advance(now, [this](core::AttemptId id) {
    if (attempts_.contains(id)) tell(id);
  });
  ask_again_.advance(now, [this](core::AttemptId id) {
    const auto found = attempts_.find(id);
    if (found != attempts_.end() && found->second.stage == Stage::polling) ask(id);
  });
  forgotten_.advance(now, [this](core::AttemptId id) {
    if (attempts_.contains(id)) forgotten(id);
  });
  if (now >= reported_ + kReport) report();
}

// What befalls connections, calls and attempts, one line for them all; none while nothing happens.
void Engines::report() {
  reported_ = now_;
  const auto calls = std::exchange(call_ends_, {});
  const auto ends = std::exchange(attempt_ends_, {});
  const auto c = pool_.take_counts();
  if (calls == decltype(calls){} && ends == decltype(ends){} && c == net::ConnectionPool::Counts{}) return;
  const auto call = [&](End end) { return calls[static_cast<std::size_t>(end)]; };
  const auto attempt = [&](AttemptOutcome end) { return ends[static_cast<std::size_t>(end)]; };
  std::fprintf(
      stderr,
      "bellstair: engines: %s; %zu dialled, %zu refused, %zu late, %zu cut off, %zu reused, %zu stale, %zu "
      "broken, %zu "
      "aged, %zu evicted, %zu starved; calls %zu answered, %zu unsent, %zu broken, %zu silent; attempts %zu "
      "out, %zu served, %zu error, %zu turned away, %zu expired, %zu not connected, %zu reset, %zu lost, %zu "
      "withdrawn\n",
      pool_.state().c_str(), c.dialled, c.refused, c.late, c.cut_off, c.reused, c.stale, c.broken, c.aged,
      c.evicted, c.starved, call(End::answered), call(End::unsent), call(End::broken), call(End::silent),
      attempts_.size(), attempt(AttemptOutcome::served), attempt(AttemptOutcome::error),
      attempt(AttemptOutcome::rejected), attempt(AttemptOutcome::expired),
      attempt(AttemptOutcome::connect_failed), attempt(AttemptOutcome::connection_reset),
      attempt(AttemptOutcome::query_dropped), attempt(AttemptOutcome::cancelled));
}

// ---- effects

void Engines::run(const core::StartAttempt& effect) {
  const auto id = effect.id;
  auto& attempt = attempts_[id];
  attempt.engine = effect.engine;
  attempt.result.id = id;
  attempt.ticket = pool_.acquire(effect.engine, [this, id](Connection* connection) {
    const auto found = attempts_.find(id);
    if (connection == nullptr) return end(id, AttemptOutcome::connect_failed);
    found->second.connection = connection;
    found->second.stage = Stage::ready;
    connection->on_lost = [this, id, connection](bool) {
      attempts_.at(id).connection = nullptr;
      pool_.discard(*connection);
    };
    post_(core::AttemptReady{id});
  });
}

void Engines::run(core::Transmit& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end() || found->second.stage != Stage::ready) return;
  auto& attempt = found->second;
  if (attempt.connection == nullptr) return end(effect.id, AttemptOutcome::expired);
  HttpHeaders headers;
  headers.emplace_back("X-Ticket", effect.ticket);
  headers.emplace_back("X-Queue", class_names_.at(effect.class_index));
  headers.emplace_back("X-Max-Ms", std::to_string(std::max<std::int64_t>(1, effect.timeout / 1ms)));
  if (!effect.idempotency_key.empty()) headers.emplace_back("X-Nonce", effect.idempotency_key);
  if (effect.memory_mb >= 1)
    headers.emplace_back("Query-Memory", std::to_string(std::llround(effect.memory_mb)));
  headers.emplace_back("Query-Priority", std::to_string(effect.priority));
  if (!effect.parameters.empty()) {
    // These engines take a statement as text: bound values become literals.
    const auto values = sql::unpack(effect.parameters);
    auto text = values ? sql::with_literals(effect.body, *values) : std::nullopt;
    if (!text) return end(effect.id, AttemptOutcome::error);
    effect.body = std::move(*text);
  }
  attempt.stage = Stage::posted;
  attempt.query = path_of(effect.ticket);
  const auto id = effect.id;
  attempt.call =
      call(*attempt.connection, http_request("POST", "/v1/store", host(attempt.engine), headers, effect.body),
           kSilence, [this, id](End end, HttpResponse& answer) { answered(id, end, answer); });
}

void Engines::run(const core::CancelAttempt& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  switch (attempt.stage) {
    case Stage::waiting:
      pool_.cancel(attempt.engine, attempt.ticket);
      return end(effect.id, AttemptOutcome::expired);
    case Stage::ready:
      if (attempt.connection != nullptr) pool_.release(*attempt.connection);
      attempt.connection = nullptr;
      return end(effect.id, AttemptOutcome::expired);
    case Stage::posted:
      // A DELETE on another connection could overtake the statement, which would then run unasked: the
      // engine's first word, at most 250 ms away, proves that it has come whole.
      attempt.stage = Stage::leaving;
      if (attempt.connection->stream.unsent_bytes() > 0) {
        pool_.discard(*attempt.connection);  // the engine never gets it whole
        calls_.erase(attempt.call);
        return end(effect.id, AttemptOutcome::cancelled);
      }
      patience_.arm(now_ + kAside, attempt.call);
      return;
    case Stage::paging:
      return end(effect.id, AttemptOutcome::cancelled);  // it has ended there
    case Stage::polling:
      return give_up(effect.id, AttemptOutcome::cancelled);
    case Stage::leaving:
    case Stage::deleting:
      return;
  }
}

// Queries outlive their connections: until its engine has been told, this one may still run, and must not be
// sent anywhere else. A call that broke off, or was not answered, may not have come: only an answer tells
// that it has, or so long a time that the engine has ended the query unasked.
void Engines::give_up(AttemptId id, AttemptOutcome how) {
  auto& attempt = attempts_.at(id);
  if (attempt.stage == Stage::deleting) return;
  attempt.stage = Stage::deleting;
  attempt.given_up = how;
  let_go(attempt);
  if (!forgotten(id)) tell(id);
}

void Engines::tell(AttemptId id) {
  auto& attempt = attempts_.at(id);
  attempt.ticket = aside(
      attempt.engine, http_request("DELETE", attempt.query, host(attempt.engine), {}, {}), kAside,
      [this, id](End how, HttpResponse&) {
        const auto found = attempts_.find(id);
        if (found == attempts_.end()) return;
        if (how != End::answered) return tell_again_.arm(now_ + kTellPause, id);
        if (!believe_denial(found->second)) return tell_again_.arm(now_ + kInFlight, id);
        const auto given_up = found->second.given_up;
        end(id, given_up == AttemptOutcome::connection_reset ? AttemptOutcome::query_dropped : given_up);
      });
}

bool Engines::believe_denial(Attempt& attempt) const {
  if (!attempt.doubtful) return true;
  if (attempt.denied == core::Time::zero()) attempt.denied = now_;
  return now_ >= attempt.denied + kInFlight;
}

bool Engines::forgotten(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (calls_.contains(attempt.call)) attempt.asked = now_;
  const bool ended = now_ >= attempt.asked + kForgotten;
  ended ? end(id, attempt.given_up) : forgotten_.arm(attempt.asked + kForgotten, id);
  return ended;
}

void Engines::let_go(Attempt& attempt) {
  if (attempt.connection == nullptr || calls_.contains(attempt.call)) return;
  release(*std::exchange(attempt.connection, nullptr));
}

void Engines::run(const core::SetPriority& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (attempt.stage == Stage::posted) attempt.rank = effect.priority;
  if (attempt.stage != Stage::polling) return;
  aside(attempt.engine,
        http_request("PUT", attempt.query, host(attempt.engine), {}, std::to_string(effect.priority)), kAside,
        [](End, HttpResponse&) {});
}

void Engines::run(const core::ProbeEngine& effect) {
  const auto engine = effect.engine;
  aside(engine, http_request("GET", "/-/gauges", host(engine), {}, {}), kAside,
        [this, engine](End end, HttpResponse& answer) {
          core::ProbeEnded probe{engine, heronwell::AttemptStatus::served, {}};
          switch (end) {
            case End::answered:
              if (answer.status != 200) probe.status = heronwell::AttemptStatus::rejected;
              take_load(answer, probe.load);
              break;
            case End::not_connected:
              probe.status = heronwell::AttemptStatus::connect_failed;
              break;
            case End::unsent:
            case End::broken:
              probe.status = heronwell::AttemptStatus::connection_reset;
              break;
            case End::silent:
              probe.status = heronwell::AttemptStatus::timed_out;
              break;
          }
          post_(std::move(probe));
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

// ---- an attempt's way

void Engines::answered(AttemptId id, End how, HttpResponse& answer) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  const bool posting = attempt.stage == Stage::posted || attempt.stage == Stage::leaving;
  if (how != End::answered || !answer.keep_alive || !attempt.connection->stream.open())
    attempt.connection = nullptr;  // it is gone
  if (how != End::unsent) attempt.asked = now_;
  if (attempt.stage == Stage::deleting) {
    if (how == End::answered && answer.status != 202) return end(id, attempt.given_up);
    return let_go(attempt);
  }
  if (how != End::answered) {
    if (posting && how == End::unsent) return end(id, AttemptOutcome::expired);
    // Once a byte of a statement has left, it may have run, and is never sent again from here. Neither
    // silence nor an answer that breaks off or can't be read tells whether it runs: the engine is asked for
    // its news.
    attempt.doubtful = attempt.doubtful || posting;
    if (attempt.stage == Stage::leaving) return give_up(id, AttemptOutcome::cancelled);
    attempt.stage = attempt.stage == Stage::posted ? Stage::polling : attempt.stage;
    return reconnect(id);
  }
  take_load(answer, attempt.result.load);
  if (answer.status == 202) {
    attempt.reconnects = 0;
    attempt.doubtful = false;
    if (attempt.stage == Stage::leaving) return give_up(id, AttemptOutcome::cancelled);
    if (attempt.connection != nullptr && attempt.stage == Stage::polling &&
        now_ < attempt.asked_for_news + kSoonest)
      static_cast<HttpSession&>(*attempt.connection->session).doubled = true;
    attempt.stage = Stage::polling;
    post_(core::AttemptProgressed{id});
    if (attempt.rank) run(core::SetPriority{id, *std::exchange(attempt.rank, std::nullopt)});
    return ask(id);
  }
  if (answer.status == 200) {
    if (!take_page(attempt, answer)) {
      // Spoilt on its way: the engine has it still, and gives it again. The connection is of no further use.
      if (attempt.connection != nullptr) pool_.discard(*std::exchange(attempt.connection, nullptr));
      if (attempt.stage == Stage::leaving) return end(id, AttemptOutcome::cancelled);
      if (attempt.stage == Stage::posted) attempt.stage = Stage::polling;
      return reconnect(id);
    }
    attempt.reconnects = 0;
    if (attempt.next_page == attempt.pages) return end(id, AttemptOutcome::served);
    if (attempt.stage == Stage::leaving) return end(id, AttemptOutcome::cancelled);
    attempt.stage = Stage::paging;
    return ask(id);
  }
  // Only the mark proves that nothing ran; whoever else writes a 503 proves nothing.
  const bool never_ran = answer.header("x-shed") == "1" && attempt.next_page == 0;
  if (never_ran && answer.status == 503) return end(id, AttemptOutcome::rejected);
  if (never_ran && answer.status == 504) return end(id, AttemptOutcome::expired);
  if (attempt.stage != Stage::paging && !believe_denial(attempt)) {
    attempt.reconnects = 0;
    let_go(attempt);
    return ask_again_.arm(now_ + kInFlight, id);
  }
  // An engine that does not know it may never have got it.
  end(id, attempt.doubtful ? AttemptOutcome::query_dropped : AttemptOutcome::error);
}

bool Engines::take_page(Attempt& attempt, HttpResponse& answer) {
  auto& result = attempt.result;
  if (!whole_rows(answer.body) || result.body.size() + answer.body.size() > kMostResult) return false;
  if (attempt.next_page == 0) {
    const double pages = answer.number("result-pages").value_or(0);
    if (pages < 1 || pages > kMostPages || pages != std::floor(pages)) return false;
    attempt.pages = static_cast<std::size_t>(pages);
    if (const auto cost = answer.number("query-cost"); cost && *cost >= 0 && *cost < 1e9)
      result.work = core::Time(static_cast<std::int64_t>(*cost * 1e6));
    result.memory_needed_mb = std::clamp(answer.number("query-need").value_or(0), 0.0, 1e9);
  } else if (answer.number("result-page").value_or(-1) != static_cast<double>(attempt.next_page)) {
    return false;
  }
  result.body += answer.body;
  ++attempt.next_page;
  return true;
}

void Engines::ask(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (attempt.connection == nullptr) return reconnect(id);
  const auto page = attempt.stage == Stage::paging ? attempt.next_page : 0;
  attempt.asked_for_news = now_;
  attempt.call =
      call(*attempt.connection,
           http_request("GET", attempt.query + "/" + std::to_string(page), host(attempt.engine), {}, {}),
           page > 0 ? kPageSilence : kSilence,
           [this, id](End how, HttpResponse& answer) { answered(id, how, answer); });
}

// News and pages may be asked for again: asking does nothing to the query.
void Engines::reconnect(AttemptId id) {
  auto& attempt = attempts_.at(id);
  if (++attempt.reconnects > kReconnects) return give_up(id, AttemptOutcome::connection_reset);
  pool_.acquire(attempt.engine, [this, id](Connection* connection) {
    const auto found = attempts_.find(id);
    const bool wanted = found != attempts_.end() &&
                        (found->second.stage == Stage::polling || found->second.stage == Stage::paging);
    if (!wanted) {
      if (connection != nullptr) pool_.release(*connection);
      return;
    }
    if (connection == nullptr) return give_up(id, AttemptOutcome::connection_reset);
    found->second.connection = connection;
    ask(id);
  });
}

void Engines::end(AttemptId id, AttemptOutcome how) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto attempt = std::move(found->second);
  attempts_.erase(found);
  // The engine may get it again under the same name: a DELETE that has not left must not do so then.
  if (attempt.stage == Stage::deleting) pool_.cancel(attempt.engine, attempt.ticket);
  if (auto* connection = attempt.connection; connection != nullptr && connection->stream.open()) {
    // A call that is still out on it ends by itself, and frees the connection then.
    const auto out = calls_.find(attempt.call);
    if (out == calls_.end()) {
      release(*connection);
    } else {
      patience_.arm(now_ + kSilence, out->first);
      out->second.done = [this, connection](End end, HttpResponse& answer) {
        if (end == End::answered && answer.keep_alive && connection->stream.open()) release(*connection);
      };
    }
  }
  ++attempt_ends_[static_cast<std::size_t>(how)];
  attempt.result.outcome = how;
  if (how != AttemptOutcome::served) attempt.result.body.clear();
  post_(std::move(attempt.result));
}

void Engines::take_load(const HttpResponse& answer, std::vector<double>& load) const {
  const auto text = answer.header("x-meter");
  if (text.empty()) return;
  const auto values = parse_load_header(text);
  std::vector<double> out;
  for (const auto& field : load_fields_) {
    const auto found = values.find(field);
    if (found == values.end()) return;
    out.push_back(found->second);
  }
  load = std::move(out);
}

}  // namespace bellstair::platform
