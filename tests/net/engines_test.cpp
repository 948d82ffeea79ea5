// The driver of HTTP engines by itself: effects in, calls at a stand-in engine and events out.
#include "platform/engines.hpp"

#include <gtest/gtest.h>

#include "core/clock.hpp"
#include "harness.hpp"

namespace bellstair::test {
namespace {
using core::AttemptOutcome;

class Driven {
 public:
  explicit Driven(HttpEngine& engine)
      : engines_(loop_, limits(), {"lookup"}, {"pending", "x1", "x0"},
                 [this](core::Event e) { events.push_back(std::move(e)); }) {
    engines_.run(core::EngineUpdated{7, engine.server.address()});
  }
  // In each turn the driver's clock gains `step`.
  template <class T>
  T wait(core::Time step = 0ms) {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < until) {
      for (const auto& event : events) {
        if (const auto* found = std::get_if<T>(&event)) return *found;
      }
      (still ? *still : ahead) += step;
      turn();
    }
    throw std::runtime_error("what was waited for did not happen");
  }
  template <class T>
  [[nodiscard]] std::size_t count() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        events, [](const core::Event& event) { return std::holds_alternative<T>(event); }));
  }
  // Turns of the loop until the engine has got such a call.
  void until(HttpEngine& engine, const std::function<bool(const Call&)>& fits) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (engine.calls.count(fits) == 0) {
      if (std::chrono::steady_clock::now() > end) throw std::runtime_error("no such call");
      turn();
    }
  }
  void start() {
    engines_.run(core::StartAttempt{id, 7});
    wait<core::AttemptReady>();
    core::Transmit what;
    what.id = id;
    what.timeout = 5s;
    what.ticket = "9b1f03aa5c7e2d41";
    what.body = "SELECT 1";
    engines_.run(what);
  }
  template <class Effect>
  void run(Effect effect) {
    engines_.run(effect);
  }
  void turn() {
    engines_.tick(still ? *still : clock());
    engines_.process_pending();
    ev::timer wake(loop_);  // so that a turn without news ends too
    wake.set<&Driven::nothing>();
    wake.start(0.005, 0);
    loop_.run(ev::ONCE);
  }
  [[nodiscard]] core::Time clock() const { return core::monotonic_now() + ahead; }
  const core::AttemptId id{1, 0};
  std::vector<core::Event> events;
  std::optional<core::Time> still;  // the driver's clock stands here
  core::Time ahead{};               // of the clock, for the driver

 private:
  static net::ConnectionPool::Limits limits() {
    net::ConnectionPool::Limits out;
    out.max_connections = 8;
    out.connect_timeout = 1s;
    out.idle_timeout = 10s;
    out.reuse_delay = 20ms;
    return out;
  }
  static void nothing(ev::timer&, int) {}
  ev::dynamic_loop loop_;
  platform::Engines engines_;
};

bool put(const Call& call) { return call.method == "PUT"; }
bool gone(const Call& call) { return call.method == "DELETE"; }
bool poll(const Call& call) { return call.method == "GET"; }

TEST(Engines, APriorityIsPutBesideAQueryThatRuns) {
  std::atomic<bool> done = false;
  HttpEngine engine([&](const Call& call) {
    return put(call) ? http(204) : done ? rows("x\ty\tz\n") : http(202);
  });
  Driven d(engine);
  d.start();
  d.until(engine, poll);
  d.run(core::SetPriority{d.id, 3});
  d.until(engine, put);
  const auto call = engine.calls.wait(put);
  EXPECT_EQ(call.path, "/v1/store/9b1f03aa5c7e2d41");
  EXPECT_EQ(call.body, "3");
  done = true;
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::served);
}

// A DELETE that overtook its statement would leave it running, unasked.
TEST(Engines, AQueryIsDeletedOnlyOnceItsStatementHasComeWhole) {
  std::promise<void> answer;
  HttpEngine engine([&, wait = answer.get_future().share()](const Call& call) {
    if (call.method == "POST") wait.wait();
    return http(gone(call) ? 204 : 202);
  });
  Driven d(engine);
  d.start();
  d.until(engine, [](const Call& c) { return c.method == "POST"; });
  d.run(core::CancelAttempt{d.id});
  d.run(core::ProbeEngine{7});  // goes out on another connection, as a DELETE would
  d.wait<core::ProbeEnded>();
  EXPECT_EQ(engine.calls.count(gone), 0U);
  answer.set_value();
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
  EXPECT_EQ(engine.calls.count(gone), 1U);
}

TEST(Engines, NewsAreAskedForAgainWhenAConnectionBreaksAndTheStatementIsNotSentTwice) {
  std::atomic<int> polls = 0;
  HttpEngine engine([&](const Call& call) -> std::optional<std::string> {
    if (call.method == "POST") return http(202);
    if (polls++ == 0) return std::nullopt;
    return rows("x\ty\tz\n");
  });
  Driven d(engine);
  d.start();
  const auto ended = d.wait<core::AttemptEnded>();
  EXPECT_EQ(ended.outcome, AttemptOutcome::served);
  EXPECT_EQ(ended.body, "x\ty\tz\n");
  EXPECT_EQ(ended.work, core::Time(5ms));
  EXPECT_EQ(engine.posts(), 1U);
}

// A connection can be lost without a word, as when a machine is cut off for a while.
TEST(Engines, AStatementWithoutAWordIsAskedForOnAnotherConnectionAndNotSentTwice) {
  std::promise<void> over;
  HttpEngine engine([&, wait = over.get_future().share()](const Call& call) {
    if (call.method == "POST") wait.wait();
    return rows("x\ty\tz\n");
  });
  Driven d(engine);
  d.start();
  d.until(engine, [](const Call& c) { return c.method == "POST"; });
  d.ahead = 2s;
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::served);
  EXPECT_EQ(engine.posts(), 1U);
  over.set_value();
}

TEST(Engines, OnlyTheMarkProvesThatNothingRan) {
  const std::pair<std::string, AttemptOutcome> kAnswers[] = {
      {http(503, {}, "X-Shed: 1\r\n"), AttemptOutcome::rejected},
      {http(503), AttemptOutcome::error},
      {http(504, {}, "X-Shed: 1\r\n"), AttemptOutcome::expired},
      {http(504), AttemptOutcome::error},
      {http(500), AttemptOutcome::error},
      {http(200, "x\ty\tz\n", "Result-Pages: -1\r\n"), AttemptOutcome::query_dropped},
      {http(200, "x\ty\tz\n"), AttemptOutcome::query_dropped},
      {http(200, "x\ty\n", "Result-Pages: 1\r\n"), AttemptOutcome::query_dropped},
      {http(200, "x\ty\tz", "Result-Pages: 1\r\n"), AttemptOutcome::query_dropped},
      {"HTTP/1.1 200 OK\r\nResult-Pages: 1\r\nContent-Length: 3000000000\r\n\r\nx",
       AttemptOutcome::connection_reset},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", AttemptOutcome::connection_reset}};
  for (const auto& [answer, expected] : kAnswers) {
    const bool cut =
        expected == AttemptOutcome::connection_reset || expected == AttemptOutcome::query_dropped;
    std::atomic<bool> told = false;
    Server server([&, bytes = answer](Socket& socket) {
      read_call(socket);
      socket.send(bytes);
      if (!cut) socket.ended();
    });
    HttpEngine unused([](const Call&) { return http(500); });
    Driven d(unused);
    d.run(core::EngineUpdated{7, server.address()});
    d.still = d.clock();  // a slow machine is no silence; time passes only where the engine has to forget it
    d.start();
    EXPECT_EQ(d.wait<core::AttemptEnded>(expected == AttemptOutcome::connection_reset ? 50ms : 0ms).outcome,
              expected)
        << answer;
  }
}

// A spoilt answer's query has run: it is asked for again, on another connection, and not sent again.
TEST(Engines, ASpoiltAnswerIsAskedForAgainAndAGoodOneWithMoreBehindItIsUsed) {
  const std::string kGood = rows("x\ty\tz\n");
  const std::pair<std::string, std::size_t> kAnswers[] = {
      {"noise without end", 1},
      {kGood.substr(0, kGood.size() - 3), 1},
      {"HTTP/1.1 200 x\r\nResult-Pages: 1\r\nContent-Length: 3000000000\r\n\r\nx", 1},
      {"HTTP/1.1 103 x\r\n\r\n" + kGood, 0},
      {kGood + kGood, 0},
      {kGood + "noise", 0}};
  for (const auto& [answer, asked] : kAnswers) {
    std::atomic<bool> spoilt = false;
    const auto statement = [](const Call& call) { return call.method == "POST"; };
    HttpEngine engine([&, bytes = answer](const Call& call) {
      return statement(call) && !spoilt.exchange(true) ? bytes : kGood;
    });
    Driven d(engine);
    d.still = d.clock();  // nothing else is silent, however slow the machine
    d.start();
    d.until(engine, statement);
    if (answer.size() < kGood.size() && kGood.starts_with(answer)) *d.still += 1s;  // it falls silent
    const auto ended = d.wait<core::AttemptEnded>();
    EXPECT_EQ(ended.outcome, AttemptOutcome::served) << answer;
    EXPECT_EQ(ended.body, "x\ty\tz\n");
    EXPECT_EQ(engine.posts(), 1U);
    EXPECT_EQ(engine.calls.count(poll), asked) << answer;
    // The connection may hold what is no answer to the next call.
    d.events.clear();
    d.start();
    EXPECT_EQ(d.wait<core::AttemptEnded>().body, "x\ty\tz\n");
  }
}

TEST(Engines, AnEngineThatDoesNotKnowAQueryWhoseStatementWasCutOffProvesNothing) {
  HttpEngine engine([](const Call& call) -> std::optional<std::string> {
    if (call.method == "POST") return std::nullopt;
    return http(500);
  });
  Driven d(engine);
  d.start();
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::query_dropped);
}

// Idle connections are let go before the engine closes them, so that no statement crosses the close.
TEST(Engines, AnIdleConnectionIsLetGoAndTheNextStatementGoesOnANewOne) {
  Log<int> ended;
  Server server([&](Socket& socket) {
    try {
      while (true) {
        read_call(socket);
        socket.send(rows("x\ty\tz\n"));
      }
    } catch (const std::exception&) {
      ended.add(1);
    }
  });
  HttpEngine unused([](const Call&) { return http(500); });
  Driven d(unused);
  d.run(core::EngineUpdated{7, server.address()});
  d.start();
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::served);
  d.ahead = 11s;
  d.turn();
  ended.wait([](int) { return true; });
  d.events.clear();
  d.start();
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::served);
}

TEST(Engines, AProbeTellsTheReportAndARefusedConnectionThatNothingRan) {
  HttpEngine engine([](const Call&) { return http(500); });
  Driven d(engine);
  d.run(core::ProbeEngine{7});
  EXPECT_EQ(d.wait<core::ProbeEnded>().load, (std::vector<double>{0, 0.1, 0.1}));
  engine.server.stop();
  d.run(core::StartAttempt{d.id, 7});
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::connect_failed);
}

// Answers that never come cost what is waited for them: no more than the engine's own hold, and a margin.
TEST(Engines, NewsAndPagesThatDoNotComeAreAskedForAgainSoonAfterTheyWereDue) {
  for (const bool paging : {false, true}) {
    std::promise<void> over;
    std::atomic<int> asked = 0;
    const auto due = [paging](const Call& c) { return poll(c) && c.path.ends_with(paging ? "/1" : "/0"); };
    HttpEngine engine([&, wait = over.get_future().share()](const Call& call) {
      if (due(call) && ++asked == 1) wait.wait();
      if (call.path.ends_with("/1")) return http(200, "x\ty\tz\n", "Result-Page: 1\r\n");
      return paging ? rows("x\ty\tz\n", 2) : poll(call) ? rows("x\ty\tz\n") : http(202);
    });
    const std::shared_ptr<void> freed(nullptr, [&](void*) { over.set_value(); });  // should a wait fail, too
    Driven d(engine);
    d.start();
    d.until(engine, due);
    d.still = d.clock() + 450ms;
    EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::served);
    EXPECT_EQ(engine.calls.count(due), 2U);
  }
}

// A query outlives its connections: until its engine has been told, a second copy elsewhere would run beside
// it.
TEST(Engines, AQueryWhoseNewsCannotBeHadIsDeletedBeforeItEnds) {
  HttpEngine engine([](const Call& call) -> std::optional<std::string> {
    if (poll(call)) return std::nullopt;
    return http(gone(call) ? 204 : 202);
  });
  Driven d(engine);
  d.start();
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::query_dropped);
  EXPECT_EQ(engine.calls.count(gone), 1U);
}

TEST(Engines, ADeleteThatBreaksOffIsMadeAgain) {
  std::atomic<int> deletes = 0;
  HttpEngine engine([&](const Call& call) -> std::optional<std::string> {
    if (gone(call) && ++deletes < 3) return std::nullopt;
    return http(gone(call) ? 204 : 202);
  });
  Driven d(engine);
  d.start();
  d.until(engine, poll);
  d.run(core::CancelAttempt{d.id});
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
  EXPECT_EQ(engine.calls.count(gone), 3U);
}

TEST(Engines, AnEngineThatBreaksOffEveryCallHoldsNoAttemptForEver) {
  std::atomic<bool> broken = false;
  HttpEngine engine([&](const Call&) { return broken ? std::nullopt : std::optional(http(202)); });
  Driven d(engine);
  d.start();
  d.until(engine, poll);
  broken = true;
  EXPECT_EQ(d.wait<core::AttemptEnded>(50ms).outcome, AttemptOutcome::connection_reset);
  EXPECT_GT(engine.calls.count(gone), 1U);
}

// Whether a DELETE has come can't be told from silence: the query may go on at an engine that is cut off.
TEST(Engines, ADeleteWithoutAWordIsMadeAgainAndTheAttemptIsOutUntilThen) {
  std::promise<void> over;
  std::atomic<int> deletes = 0;
  HttpEngine engine([&, wait = over.get_future().share()](const Call& call) {
    if (gone(call) && ++deletes == 1) wait.wait();
    return http(gone(call) ? 204 : 202);
  });
  const std::shared_ptr<void> freed(nullptr, [&](void*) { over.set_value(); });
  Driven d(engine);
  d.start();
  d.until(engine, poll);
  d.run(core::CancelAttempt{d.id});
  d.until(engine, gone);
  while (deletes < 2) {
    EXPECT_EQ(d.count<core::AttemptEnded>(), 0U);
    d.ahead += 100ms;
    d.turn();
  }
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
}

TEST(Engines, AQueryWhoseEngineIsOutOfReachIsOutUntilTheEngineHasEndedItUnasked) {
  HttpEngine engine([](const Call&) { return http(202); });
  Driven d(engine);
  d.start();
  d.until(engine, poll);
  d.still = d.clock();
  engine.server.stop();
  d.turn();  // hears of it
  // Those who wait for a connection are told in their turn: this one after the query that runs.
  const core::AttemptId next{2, 0};
  d.run(core::StartAttempt{next, 7});
  while (d.count<core::AttemptEnded>() == 0) d.turn();
  EXPECT_EQ(d.wait<core::AttemptEnded>().id, next);
  *d.still += 2s + 300ms;
  d.turn();
  EXPECT_EQ(d.count<core::AttemptEnded>(), 1U);
  *d.still += 200ms;
  while (d.count<core::AttemptEnded>() < 2) d.turn();
  EXPECT_EQ(std::get<core::AttemptEnded>(d.events.back()).outcome, AttemptOutcome::connection_reset);
}

// The last call for its news is answered well while the engine is being told: its connection is free then,
// and may go at any time.
TEST(Engines, AConnectionThatEndsWhileItsQueryIsDeletedIsNotTouchedAgain) {
  Log<std::string> calls;
  std::promise<void> abandoned, closed;
  Server server(
      [&, answer = abandoned.get_future().share(), go = closed.get_future().share()](Socket& socket) {
        while (true) {
          const auto call = read_call(socket);
          calls.add(call.method);
          if (call.method == "DELETE") go.wait();
          if (call.method == "GET") answer.wait();
          socket.send(http(call.method == "DELETE" ? 204 : 202));
          if (call.method != "GET") continue;
          ::shutdown(socket.fd(), SHUT_WR);
          socket.ended();  // the driver has closed it too
          return closed.set_value();
        }
      });
  HttpEngine unused([](const Call&) { return http(500); });
  Driven d(unused);
  d.run(core::EngineUpdated{7, server.address()});
  d.start();
  const auto come = [&](const char* method) {
    return calls.count([method](const std::string& call) { return call == method; }) > 0;
  };
  while (!come("GET")) d.turn();
  d.run(core::CancelAttempt{d.id});
  while (!come("DELETE")) d.turn();
  abandoned.set_value();
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
}

// Answers name no query: what comes late on a connection would be taken for the answer to the next call
// there.
TEST(Engines, ASecondAnswerThatComesLateIsNotTakenForTheNextQuerys) {
  std::atomic<int> queries = 0;
  Server server([&](Socket& socket) {
    for (int here = 0;; ++here) {
      read_call(socket);
      // On a connection that has given an answer, that one comes once more.
      socket.send(rows(here == 0 && ++queries == 2 ? "second\ty\tz\n" : "first\ty\tz\n"));
    }
  });
  HttpEngine unused([](const Call&) { return http(500); });
  Driven d(unused);
  d.run(core::EngineUpdated{7, server.address()});
  d.still = d.clock();
  d.start();
  EXPECT_EQ(d.wait<core::AttemptEnded>().body, "first\ty\tz\n");
  d.events.clear();
  d.start();
  EXPECT_EQ(d.wait<core::AttemptEnded>().body, "second\ty\tz\n");
}

// An engine that has no news says so after 250 ms. Said sooner it is a copy, and the connection is one answer
// ahead from then on.
TEST(Engines, AConnectionOnWhichNewsCameTooSoonServesNoOtherQuery) {
  std::atomic<int> connections = 0;
  Server server([&](Socket& socket) {
    const bool first = ++connections == 1;
    for (int here = 0;; ++here) {
      read_call(socket);
      // The statement, a call for news and one more, as the copy was taken for the answer to that; then the
      // answer comes twice, since it was asked for twice.
      socket.send(!first ? rows("second\ty\tz\n") : here < 2 ? http(202) : rows("first\ty\tz\n"));
    }
  });
  HttpEngine unused([](const Call&) { return http(500); });
  Driven d(unused);
  d.run(core::EngineUpdated{7, server.address()});
  d.still = d.clock();
  d.start();
  EXPECT_EQ(d.wait<core::AttemptEnded>().body, "first\ty\tz\n");
  d.events.clear();
  *d.still += 1s;  // long enough for the connection to be used again
  d.start();
  EXPECT_EQ(d.wait<core::AttemptEnded>().body, "second\ty\tz\n");
}

// Its connection broke with the statement on the way, and another one was faster.
TEST(Engines, AStatementThatComesAfterItsEngineDidNotKnowItIsFollowedToItsEnd) {
  std::atomic<int> polls = 0;
  HttpEngine engine([&](const Call& call) -> std::optional<std::string> {
    if (call.method == "POST") return std::nullopt;
    return polls++ == 0 ? http(500) : rows("x\ty\tz\n");
  });
  Driven d(engine);
  d.start();
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::served);
}

TEST(Engines, AStatementThatComesAfterItsDeleteIsDeletedOnceMore) {
  std::promise<void> over;
  HttpEngine engine([&, wait = over.get_future().share()](const Call& call) {
    if (call.method == "POST") wait.wait();
    return http(204);
  });
  const std::shared_ptr<void> freed(nullptr, [&](void*) { over.set_value(); });
  Driven d(engine);
  d.start();
  d.until(engine, [](const Call& c) { return c.method == "POST"; });
  d.run(core::CancelAttempt{d.id});
  EXPECT_EQ(d.wait<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
  EXPECT_EQ(engine.calls.count(gone), 2U);
}

}  // namespace
}  // namespace bellstair::test
