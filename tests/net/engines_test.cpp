// The HTTP engine driver on its own: effects go in; events, and requests at an emulated engine, come out.
#include "platform/engines.hpp"

#include <gtest/gtest.h>

#include "core/clock.hpp"
#include "harness.hpp"

namespace bellstair::test {
namespace {
using core::AttemptOutcome;

// The driver with an event loop and an adjustable clock, connected to one emulated engine (number 7).
class TestDriver {
 public:
  explicit TestDriver(HttpEngine& engine)
      : engines_(loop_, limits(), {"lookup"}, {"pending", "x1", "x0"},
                 [this](core::Event e) { events.push_back(std::move(e)); }) {
    engines_.run(core::EngineUpdated{7, engine.server.address()});
  }
  // Runs the loop until the driver has emitted a T and returns the first one. Each iteration advances the
  // driver's clock by `step`. Throws std::runtime_error on time-out.
  template <class T>
  T wait_for_event(core::Time step = 0ms) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
      for (const auto& event : events) {
        if (const auto* found = std::get_if<T>(&event)) return *found;
      }
      (frozen_time ? *frozen_time : clock_offset) += step;
      run_once();
    }
    throw std::runtime_error("timed out waiting for an event");
  }
  template <class T>
  [[nodiscard]] std::size_t count_events() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        events, [](const core::Event& event) { return std::holds_alternative<T>(event); }));
  }
  // Runs the loop until the engine has received a request that matches. Throws std::runtime_error on
  // time-out.
  void run_until_requested(HttpEngine& engine, const std::function<bool(const HttpRequest&)>& matches) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (engine.requests.count(matches) == 0) {
      if (std::chrono::steady_clock::now() > deadline)
        throw std::runtime_error("timed out waiting for a request");
      run_once();
    }
  }
  // Starts an attempt and transmits its statement once a connection is ready.
  void start_attempt() {
    engines_.run(core::StartAttempt{attempt_id, 7});
    wait_for_event<core::AttemptReady>();
    core::Transmit transmit;
    transmit.id = attempt_id;
    transmit.timeout = 5s;
    transmit.ticket = "9b1f03aa5c7e2d41";
    transmit.body = "SELECT 1";
    engines_.run(transmit);
  }
  template <class Effect>
  void run(Effect effect) {
    engines_.run(effect);
  }
  void run_once() {
    engines_.tick(frozen_time ? *frozen_time : driver_now());
    engines_.process_pending();
    ev::timer wakeup(loop_);  // ends an iteration in which no event occurs
    wakeup.set<&TestDriver::ignore_timer>();
    wakeup.start(0.005, 0);
    loop_.run(ev::ONCE);
  }
  [[nodiscard]] core::Time driver_now() const { return core::monotonic_now() + clock_offset; }
  const core::AttemptId attempt_id{1, 0};
  std::vector<core::Event> events;
  std::optional<core::Time> frozen_time;  // if set, the driver's clock stands still at it
  core::Time clock_offset{};              // added to the monotonic clock otherwise

 private:
  static net::ConnectionPool::Limits limits() {
    net::ConnectionPool::Limits limits;
    limits.max_connections = 8;
    limits.connect_timeout = 1s;
    limits.idle_timeout = 10s;
    limits.reuse_delay = 20ms;
    return limits;
  }
  static void ignore_timer(ev::timer&, int) {}
  ev::dynamic_loop loop_;
  platform::Engines engines_;
};

bool is_put(const HttpRequest& request) { return request.method == "PUT"; }
bool is_delete(const HttpRequest& request) { return request.method == "DELETE"; }
bool is_poll(const HttpRequest& request) { return request.method == "GET"; }

TEST(HttpEngineDriver, SendsAPriorityForARunningQuery) {
  std::atomic<bool> done = false;
  HttpEngine engine([&](const HttpRequest& request) {
    return is_put(request) ? http_response(204) : done ? rows_response("x\ty\tz\n") : http_response(202);
  });
  TestDriver driver(engine);
  driver.start_attempt();
  driver.run_until_requested(engine, is_poll);
  driver.run(core::SetPriority{driver.attempt_id, 3});
  driver.run_until_requested(engine, is_put);
  const auto request = engine.requests.wait_for(is_put);
  EXPECT_EQ(request.path, "/v1/store/9b1f03aa5c7e2d41");
  EXPECT_EQ(request.body, "3");
  done = true;
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::served);
}

// A DELETE that overtakes its statement would leave the query running with nobody polling it.
TEST(HttpEngineDriver, DeletesAQueryOnlyAfterItsStatementIsAnswered) {
  std::promise<void> release;
  HttpEngine engine([&, released = release.get_future().share()](const HttpRequest& request) {
    if (request.method == "POST") released.wait();
    return http_response(is_delete(request) ? 204 : 202);
  });
  TestDriver driver(engine);
  driver.start_attempt();
  driver.run_until_requested(engine, [](const HttpRequest& request) { return request.method == "POST"; });
  driver.run(core::CancelAttempt{driver.attempt_id});
  driver.run(core::ProbeEngine{7});  // uses another connection, as a DELETE would
  driver.wait_for_event<core::ProbeEnded>();
  EXPECT_EQ(engine.requests.count(is_delete), 0U);
  release.set_value();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
  EXPECT_EQ(engine.requests.count(is_delete), 1U);
}

TEST(HttpEngineDriver, RepeatsAPollAfterAConnectionLossWithoutResendingTheStatement) {
  std::atomic<int> polls = 0;
  HttpEngine engine([&](const HttpRequest& request) -> std::optional<std::string> {
    if (request.method == "POST") return http_response(202);
    if (polls++ == 0) return std::nullopt;
    return rows_response("x\ty\tz\n");
  });
  TestDriver driver(engine);
  driver.start_attempt();
  const auto ended = driver.wait_for_event<core::AttemptEnded>();
  EXPECT_EQ(ended.outcome, AttemptOutcome::served);
  EXPECT_EQ(ended.body, "x\ty\tz\n");
  EXPECT_EQ(ended.work, core::Time(5ms));
  EXPECT_EQ(engine.post_count(), 1U);
}

// A connection can be lost silently, for example when a machine is cut off from the network for a while.
TEST(HttpEngineDriver, PollsForAnUnansweredStatementOnAnotherConnectionWithoutResendingIt) {
  std::promise<void> release;
  HttpEngine engine([&, released = release.get_future().share()](const HttpRequest& request) {
    if (request.method == "POST") released.wait();
    return rows_response("x\ty\tz\n");
  });
  TestDriver driver(engine);
  driver.start_attempt();
  driver.run_until_requested(engine, [](const HttpRequest& request) { return request.method == "POST"; });
  driver.clock_offset = 2s;
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::served);
  EXPECT_EQ(engine.post_count(), 1U);
  release.set_value();
}

TEST(HttpEngineDriver, OnlyAnXShedHeaderProvesThatNothingRan) {
  const std::pair<std::string, AttemptOutcome> kCases[] = {
      {http_response(503, {}, "X-Shed: 1\r\n"), AttemptOutcome::rejected},
      {http_response(503), AttemptOutcome::error},
      {http_response(504, {}, "X-Shed: 1\r\n"), AttemptOutcome::expired},
      {http_response(504), AttemptOutcome::error},
      {http_response(500), AttemptOutcome::error},
      {http_response(200, "x\ty\tz\n", "Result-Pages: -1\r\n"), AttemptOutcome::query_dropped},
      {http_response(200, "x\ty\tz\n"), AttemptOutcome::query_dropped},
      {http_response(200, "x\ty\n", "Result-Pages: 1\r\n"), AttemptOutcome::query_dropped},
      {http_response(200, "x\ty\tz", "Result-Pages: 1\r\n"), AttemptOutcome::query_dropped},
      {"HTTP/1.1 200 OK\r\nResult-Pages: 1\r\nContent-Length: 3000000000\r\n\r\nx",
       AttemptOutcome::connection_reset},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", AttemptOutcome::connection_reset}};
  for (const auto& [response, expected] : kCases) {
    const bool closes_connection =
        expected == AttemptOutcome::connection_reset || expected == AttemptOutcome::query_dropped;
    std::atomic<bool> unused_flag = false;
    Server server([&, bytes = response](Socket& socket) {
      read_http_request(socket);
      socket.send(bytes);
      if (!closes_connection) socket.read_to_end();
    });
    HttpEngine unused([](const HttpRequest&) { return http_response(500); });
    TestDriver driver(unused);
    driver.run(core::EngineUpdated{7, server.address()});
    // No timeout may fire because the machine is slow: time advances only where the attempt can end once the
    // engine must have dropped the query.
    driver.frozen_time = driver.driver_now();
    driver.start_attempt();
    EXPECT_EQ(
        driver.wait_for_event<core::AttemptEnded>(expected == AttemptOutcome::connection_reset ? 50ms : 0ms)
            .outcome,
        expected)
        << response;
  }
}

// The query of a corrupt response has run: its result is polled on another connection and the statement is
// not sent again.
TEST(HttpEngineDriver, PollsAgainAfterACorruptResponseAndAcceptsOneWithTrailingBytes) {
  const std::string kValid = rows_response("x\ty\tz\n");
  const std::pair<std::string, std::size_t> kCases[] = {
      {"noise without end", 1},
      {kValid.substr(0, kValid.size() - 3), 1},
      {"HTTP/1.1 200 x\r\nResult-Pages: 1\r\nContent-Length: 3000000000\r\n\r\nx", 1},
      {"HTTP/1.1 103 x\r\n\r\n" + kValid, 0},
      {kValid + kValid, 0},
      {kValid + "noise", 1},  // may be the beginning of a row
      {kValid + "noise\n", 0}};
  for (const auto& [response, expected_polls] : kCases) {
    std::atomic<bool> sent = false;
    const auto is_statement = [](const HttpRequest& request) { return request.method == "POST"; };
    HttpEngine engine([&, bytes = response](const HttpRequest& request) {
      return is_statement(request) && !sent.exchange(true) ? bytes : kValid;
    });
    TestDriver driver(engine);
    driver.frozen_time = driver.driver_now();  // so that no other timeout fires on a slow machine
    driver.start_attempt();
    driver.run_until_requested(engine, is_statement);
    if (response.size() < kValid.size() && kValid.starts_with(response))
      *driver.frozen_time += 1s;  // the rest never comes
    const auto ended = driver.wait_for_event<core::AttemptEnded>();
    EXPECT_EQ(ended.outcome, AttemptOutcome::served) << response;
    EXPECT_EQ(ended.body, "x\ty\tz\n");
    EXPECT_EQ(engine.post_count(), 1U);
    EXPECT_EQ(engine.requests.count(is_poll), expected_polls) << response;
    // Bytes left on the connection must not be taken for the response to the next request.
    driver.events.clear();
    driver.start_attempt();
    EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().body, "x\ty\tz\n");
  }
}

const std::string kFirstPage = "a\tb\tc\nd\te\tf\ng\th\ti\n", kSecondPage = "x\ty\tz\nu\tv\tw\n";

// The response to a finished query's statement or poll, or to a request for its second and last page.
std::string two_page_response(const HttpRequest& request) {
  return request.path.ends_with("/1") ? http_response(200, kSecondPage, "Result-Page: 1\r\n")
                                      : rows_response(kFirstPage, 2);
}

// The response with `length` in its head, whatever the length of its body is.
std::string with_length(const std::string& response, std::size_t length) {
  const std::string kName = "Content-Length: ";
  const auto begin = response.find(kName) + kName.size();
  return response.substr(0, begin) + std::to_string(length) + response.substr(response.find("\r\n", begin));
}

// Guards against a result with rows missing: a length that is too short ends a page at the end of a row, and
// the rest of the page follows.
TEST(HttpEngineDriver, FetchesAPageAgainIfItsLengthIsTooShort) {
  const std::function<bool(const HttpRequest&)> kSpoiltRequests[] = {
      [](const HttpRequest& request) { return request.method == "POST"; },
      [](const HttpRequest& request) { return request.path.ends_with("/0"); },
      [](const HttpRequest& request) { return request.path.ends_with("/1"); }};
  for (std::size_t spoilt_request = 0; spoilt_request < std::size(kSpoiltRequests); ++spoilt_request) {
    for (const std::size_t length : {0U, 6U}) {
      for (const std::string& behind_page :
           {std::string(), rows_response("x\ty\tz\n"), std::string("noise")}) {
        std::atomic<bool> spoilt = false;
        HttpEngine engine([&](const HttpRequest& request) {
          if (spoilt_request == 1 && request.method == "POST") return http_response(202);
          const auto response = two_page_response(request);
          if (!kSpoiltRequests[spoilt_request](request) || spoilt.exchange(true)) return response;
          return with_length(response, length) + behind_page;
        });
        TestDriver driver(engine);
        driver.frozen_time = driver.driver_now();  // so that no timeout fires on a slow machine
        driver.start_attempt();
        const auto ended = driver.wait_for_event<core::AttemptEnded>();
        EXPECT_TRUE(spoilt);
        EXPECT_EQ(ended.outcome, AttemptOutcome::served);
        EXPECT_EQ(ended.body, kFirstPage + kSecondPage)
            << "spoilt request " << spoilt_request << ", length " << length << ", behind it " << behind_page;
        EXPECT_EQ(engine.post_count(), 1U);
      }
    }
  }
}

// Guards against a result with rows missing: the rest of a page whose length is too short is received after
// the page is complete by its length, as happens when it is in another segment.
TEST(HttpEngineDriver, FetchesAPageAgainIfTheRestBehindItsLengthIsReceivedLater) {
  for (const int pages : {1, 2}) {
    std::promise<void> beginning_sent, release, rest_sent;
    std::atomic<bool> spoilt = false;
    const auto response_to = [pages](const HttpRequest& request) {
      return pages == 1 ? rows_response(kFirstPage) : two_page_response(request);
    };
    Server server([&, released = release.get_future().share()](Socket& socket) {
      while (true) {
        const auto response = response_to(read_http_request(socket));
        if (spoilt.exchange(true)) {
          socket.send(response);
          continue;
        }
        const auto bytes = with_length(response, 6);
        const auto end = bytes.find(kFirstPage) + 6;
        socket.send(bytes.substr(0, end));
        beginning_sent.set_value();
        released.wait();
        socket.send(bytes.substr(end));
        rest_sent.set_value();
      }
    });
    HttpEngine unused([](const HttpRequest&) { return http_response(500); });
    TestDriver driver(unused);
    driver.run(core::EngineUpdated{7, server.address()});
    driver.frozen_time = driver.driver_now();
    driver.start_attempt();
    beginning_sent.get_future().wait();
    driver.run_once();  // receives the beginning
    release.set_value();
    rest_sent.get_future().wait();
    const auto ended = driver.wait_for_event<core::AttemptEnded>();
    EXPECT_EQ(ended.outcome, AttemptOutcome::served);
    EXPECT_EQ(ended.body, pages == 1 ? kFirstPage : kFirstPage + kSecondPage);
  }
}

// Guards against a result with rows missing: a page without a length stops short at the end of a row, and the
// engine closes the connection. Whole pages without a length are served.
TEST(HttpEngineDriver, PageWithoutALengthIsFetchedUntilTwoAreTheSame) {
  for (const bool first_stops_short : {true, false}) {
    std::atomic<int> responses = 0;
    Server server([&](Socket& socket) {
      read_http_request(socket);
      const std::string head = "HTTP/1.1 200 x\r\nResult-Pages: 1\r\n\r\n";
      socket.send(head + (++responses == 1 && first_stops_short ? kFirstPage.substr(0, 6) : kFirstPage));
    });
    HttpEngine unused([](const HttpRequest&) { return http_response(500); });
    TestDriver driver(unused);
    driver.run(core::EngineUpdated{7, server.address()});
    driver.frozen_time = driver.driver_now();
    driver.start_attempt();
    const auto ended = driver.wait_for_event<core::AttemptEnded>();
    EXPECT_EQ(ended.outcome, AttemptOutcome::served);
    EXPECT_EQ(ended.body, kFirstPage);
    EXPECT_EQ(responses, first_stops_short ? 3 : 2);
  }
}

// Guards against serving a result whose pages never fit their lengths; its statement is not sent again
// either.
TEST(HttpEngineDriver, DoesNotServeAResultWhosePagesAreAlwaysTooShort) {
  HttpEngine engine([](const HttpRequest& request) {
    return is_delete(request) ? http_response(204) : with_length(two_page_response(request), 6);
  });
  TestDriver driver(engine);
  driver.start_attempt();
  const auto ended = driver.wait_for_event<core::AttemptEnded>();
  EXPECT_EQ(ended.outcome, AttemptOutcome::query_dropped);
  EXPECT_TRUE(ended.body.empty());
  EXPECT_EQ(engine.post_count(), 1U);
}

// Guards against rejecting good pages because of what follows them: engines may send a second copy or noise
// behind each. A page is fetched a second time only if what follows it may be the beginning of a row.
TEST(HttpEngineDriver, AcceptsGoodPagesThatAreAllFollowedByACopyOrNoise) {
  const std::string kCopy = "copy";
  for (const auto& [behind_page, may_be_a_row] : {std::pair(kCopy, false),
                                                  {"noise", true},
                                                  {"\n", false},
                                                  {"a\tb", true},
                                                  {"a\tb\nc\td\te\n", false},
                                                  {"a\tb\tc\td", false},
                                                  {std::string("a\0\tb\tc\n", 7), false},
                                                  {std::string("a\0", 2), false},
                                                  {"a\tb\t" + std::string(6000, 'c') + "\n", false},
                                                  {"a\tb\t" + std::string(6000, 'c'), false}}) {
    HttpEngine engine([&](const HttpRequest& request) {
      const auto response = two_page_response(request);
      return response + (behind_page == kCopy ? response : behind_page);
    });
    TestDriver driver(engine);
    driver.frozen_time = driver.driver_now();
    driver.start_attempt();
    const auto ended = driver.wait_for_event<core::AttemptEnded>();
    EXPECT_EQ(ended.outcome, AttemptOutcome::served) << behind_page;
    EXPECT_EQ(ended.body, kFirstPage + kSecondPage) << behind_page;
    // Of the second page, and of both once more.
    EXPECT_EQ(engine.requests.count(is_poll), may_be_a_row ? 3U : 1U) << behind_page;
    EXPECT_EQ(engine.post_count(), 1U);
  }
}

// Guards against a result with rows missing: behind the part of a page that its length covers, only the
// beginning of the next row has been received when the page is complete, and the rest is late or never comes.
TEST(HttpEngineDriver, FetchesAPageAgainIfHalfARowHasFollowedIt) {
  for (const std::size_t length : {0U, 6U}) {
    for (const std::size_t received_behind : {1U, 3U, 5U}) {
      for (const bool rest_comes : {true, false}) {
        std::promise<void> beginning_sent, release;
        std::atomic<bool> spoilt = false;
        Server server([&, released = release.get_future().share()](Socket& socket) {
          while (true) {
            const auto response = two_page_response(read_http_request(socket));
            if (spoilt.exchange(true)) {
              socket.send(response);
              continue;
            }
            const auto bytes = with_length(response, length);
            const auto end = bytes.find(kFirstPage) + length + received_behind;
            socket.send(bytes.substr(0, end));
            beginning_sent.set_value();
            released.wait();
            if (rest_comes) socket.send(bytes.substr(end));
          }
        });
        HttpEngine unused([](const HttpRequest&) { return http_response(500); });
        TestDriver driver(unused);
        driver.run(core::EngineUpdated{7, server.address()});
        driver.frozen_time = driver.driver_now();
        driver.start_attempt();
        beginning_sent.get_future().wait();
        for (int i = 0; i < 3; ++i) driver.run_once();  // receives the beginning
        release.set_value();
        const auto ended = driver.wait_for_event<core::AttemptEnded>();
        EXPECT_EQ(ended.outcome, AttemptOutcome::served);
        EXPECT_EQ(ended.body, kFirstPage + kSecondPage) << length << ", " << received_behind;
      }
    }
  }
}

TEST(HttpEngineDriver, UnknownQueryAfterAnInterruptedStatementIsReportedAsDropped) {
  HttpEngine engine([](const HttpRequest& request) -> std::optional<std::string> {
    if (request.method == "POST") return std::nullopt;
    return http_response(500);
  });
  TestDriver driver(engine);
  driver.start_attempt();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::query_dropped);
}

// Closing idle connections before the engine does keeps a statement from being sent while the engine closes
// the connection.
TEST(HttpEngineDriver, ClosesIdleConnectionsAndSendsTheNextStatementOnANewOne) {
  Recorder<int> closed;
  Server server([&](Socket& socket) {
    try {
      while (true) {
        read_http_request(socket);
        socket.send(rows_response("x\ty\tz\n"));
      }
    } catch (const std::exception&) {
      closed.add(1);
    }
  });
  HttpEngine unused([](const HttpRequest&) { return http_response(500); });
  TestDriver driver(unused);
  driver.run(core::EngineUpdated{7, server.address()});
  driver.start_attempt();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::served);
  driver.clock_offset = 11s;
  driver.run_once();
  closed.wait_for([](int) { return true; });
  driver.events.clear();
  driver.start_attempt();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::served);
}

TEST(HttpEngineDriver, ProbeReturnsTheLoadReportAndARefusedConnectionIsAConnectFailure) {
  HttpEngine engine([](const HttpRequest&) { return http_response(500); });
  TestDriver driver(engine);
  driver.run(core::ProbeEngine{7});
  EXPECT_EQ(driver.wait_for_event<core::ProbeEnded>().load, (std::vector<double>{0, 0.1, 0.1}));
  engine.server.stop();
  driver.run(core::StartAttempt{driver.attempt_id, 7});
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::connect_failed);
}

// A lost response must delay its query by no more than the engine's long-poll time and a margin.
TEST(HttpEngineDriver, RepeatsOverduePollsAndPageRequests) {
  for (const bool page_is_overdue : {false, true}) {
    std::promise<void> release;
    std::atomic<int> received = 0;
    const auto is_overdue_request = [page_is_overdue](const HttpRequest& request) {
      return is_poll(request) && request.path.ends_with(page_is_overdue ? "/1" : "/0");
    };
    HttpEngine engine([&, released = release.get_future().share()](const HttpRequest& request) {
      if (is_overdue_request(request) && ++received == 1) released.wait();
      if (request.path.ends_with("/1")) return http_response(200, "x\ty\tz\n", "Result-Page: 1\r\n");
      return page_is_overdue    ? rows_response("x\ty\tz\n", 2)
             : is_poll(request) ? rows_response("x\ty\tz\n")
                                : http_response(202);
    });
    const std::shared_ptr<void> release_on_exit(
        nullptr, [&](void*) { release.set_value(); });  // also if a wait throws
    TestDriver driver(engine);
    driver.start_attempt();
    driver.run_until_requested(engine, is_overdue_request);
    driver.frozen_time = driver.driver_now() + 450ms;
    EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::served);
    EXPECT_EQ(engine.requests.count(is_overdue_request), 2U);
  }
}

// A query outlives its connections: if its attempt ended before the engine was told to drop the query, a
// retry on another engine could run at the same time.
TEST(HttpEngineDriver, DeletesAQueryThatCannotBePolledBeforeEndingItsAttempt) {
  HttpEngine engine([](const HttpRequest& request) -> std::optional<std::string> {
    if (is_poll(request)) return std::nullopt;
    return http_response(is_delete(request) ? 204 : 202);
  });
  TestDriver driver(engine);
  driver.start_attempt();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::query_dropped);
  EXPECT_EQ(engine.requests.count(is_delete), 1U);
}

TEST(HttpEngineDriver, RepeatsADeleteAfterAConnectionLoss) {
  std::atomic<int> deletes = 0;
  HttpEngine engine([&](const HttpRequest& request) -> std::optional<std::string> {
    if (is_delete(request) && ++deletes < 3) return std::nullopt;
    return http_response(is_delete(request) ? 204 : 202);
  });
  TestDriver driver(engine);
  driver.start_attempt();
  driver.run_until_requested(engine, is_poll);
  driver.run(core::CancelAttempt{driver.attempt_id});
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
  EXPECT_EQ(engine.requests.count(is_delete), 3U);
}

TEST(HttpEngineDriver, EndsTheAttemptIfEveryRequestIsReset) {
  std::atomic<bool> resets = false;
  HttpEngine engine(
      [&](const HttpRequest&) { return resets ? std::nullopt : std::optional(http_response(202)); });
  TestDriver driver(engine);
  driver.start_attempt();
  driver.run_until_requested(engine, is_poll);
  resets = true;
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>(50ms).outcome, AttemptOutcome::connection_reset);
  EXPECT_GT(engine.requests.count(is_delete), 1U);
}

// Without a response it is unknown whether the DELETE arrived: an engine that is cut off may still run the
// query.
TEST(HttpEngineDriver, RepeatsAnUnansweredDeleteAndKeepsTheAttemptInFlight) {
  std::promise<void> release;
  std::atomic<int> deletes = 0;
  HttpEngine engine([&, released = release.get_future().share()](const HttpRequest& request) {
    if (is_delete(request) && ++deletes == 1) released.wait();
    return http_response(is_delete(request) ? 204 : 202);
  });
  const std::shared_ptr<void> release_on_exit(nullptr, [&](void*) { release.set_value(); });
  TestDriver driver(engine);
  driver.start_attempt();
  driver.run_until_requested(engine, is_poll);
  driver.run(core::CancelAttempt{driver.attempt_id});
  driver.run_until_requested(engine, is_delete);
  while (deletes < 2) {
    EXPECT_EQ(driver.count_events<core::AttemptEnded>(), 0U);
    driver.clock_offset += 100ms;
    driver.run_once();
  }
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
}

TEST(HttpEngineDriver, QueryOfAnUnreachableEngineStaysInFlightUntilTheEngineDropsIt) {
  HttpEngine engine([](const HttpRequest&) { return http_response(202); });
  TestDriver driver(engine);
  driver.start_attempt();
  driver.run_until_requested(engine, is_poll);
  driver.frozen_time = driver.driver_now();
  engine.server.stop();
  driver.run_once();  // notices the closed connections
  // Waiters for a connection are notified in order, so this one after the running query.
  const core::AttemptId waiter{2, 0};
  driver.run(core::StartAttempt{waiter, 7});
  while (driver.count_events<core::AttemptEnded>() == 0) driver.run_once();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().id, waiter);
  *driver.frozen_time += 2s + 300ms;
  driver.run_once();
  EXPECT_EQ(driver.count_events<core::AttemptEnded>(), 1U);
  *driver.frozen_time += 200ms;
  while (driver.count_events<core::AttemptEnded>() < 2) driver.run_once();
  EXPECT_EQ(std::get<core::AttemptEnded>(driver.events.back()).outcome, AttemptOutcome::connection_reset);
}

// The last poll is answered while the DELETE is in flight. Its connection is idle from then on and may be
// freed at any time, so the driver must not use it again.
TEST(HttpEngineDriver, DoesNotUseAConnectionThatClosesDuringADelete) {
  Recorder<std::string> methods;
  std::promise<void> poll_released, closed;
  Server server([&, poll_may_end = poll_released.get_future().share(),
                 connection_closed = closed.get_future().share()](Socket& socket) {
    while (true) {
      const auto request = read_http_request(socket);
      methods.add(request.method);
      if (request.method == "DELETE") connection_closed.wait();
      if (request.method == "GET") poll_may_end.wait();
      socket.send(http_response(request.method == "DELETE" ? 204 : 202));
      if (request.method != "GET") continue;
      ::shutdown(socket.fd(), SHUT_WR);
      socket.read_to_end();  // until the driver has closed its side too
      return closed.set_value();
    }
  });
  HttpEngine unused([](const HttpRequest&) { return http_response(500); });
  TestDriver driver(unused);
  driver.run(core::EngineUpdated{7, server.address()});
  driver.start_attempt();
  const auto has_received = [&](const char* method) {
    return methods.count([method](const std::string& received) { return received == method; }) > 0;
  };
  while (!has_received("GET")) driver.run_once();
  driver.run(core::CancelAttempt{driver.attempt_id});
  while (!has_received("DELETE")) driver.run_once();
  poll_released.set_value();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
}

// Responses carry no ticket, so one that arrives late on a connection would be taken for the response to the
// next request there.
TEST(HttpEngineDriver, LateDuplicateResponseIsNotTakenForTheNextQuery) {
  std::atomic<int> queries = 0;
  Server server([&](Socket& socket) {
    for (int served = 0;; ++served) {
      read_http_request(socket);
      // A connection that has served a response sends the same one again.
      socket.send(rows_response(served == 0 && ++queries == 2 ? "second\ty\tz\n" : "first\ty\tz\n"));
    }
  });
  HttpEngine unused([](const HttpRequest&) { return http_response(500); });
  TestDriver driver(unused);
  driver.run(core::EngineUpdated{7, server.address()});
  driver.frozen_time = driver.driver_now();
  driver.start_attempt();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().body, "first\ty\tz\n");
  driver.events.clear();
  driver.start_attempt();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().body, "second\ty\tz\n");
}

// An engine answers a poll of a running query after 250 ms. An earlier 202 is a duplicate, and from then on
// the connection is one response ahead.
TEST(HttpEngineDriver, ConnectionWithAnEarlyPollResponseIsNotReused) {
  std::atomic<int> connections = 0;
  Server server([&](Socket& socket) {
    const bool is_first = ++connections == 1;
    for (int served = 0;; ++served) {
      read_http_request(socket);
      // Responses to the statement, to a poll and, since the duplicate was taken for the response to that
      // poll, to a second poll. The result is sent twice because it was polled twice.
      socket.send(!is_first    ? rows_response("second\ty\tz\n")
                  : served < 2 ? http_response(202)
                               : rows_response("first\ty\tz\n"));
    }
  });
  HttpEngine unused([](const HttpRequest&) { return http_response(500); });
  TestDriver driver(unused);
  driver.run(core::EngineUpdated{7, server.address()});
  driver.frozen_time = driver.driver_now();
  driver.start_attempt();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().body, "first\ty\tz\n");
  driver.events.clear();
  *driver.frozen_time += 1s;  // long enough for the connection to count as reusable
  driver.start_attempt();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().body, "second\ty\tz\n");
}

// The statement's connection broke while it was in transit, and a poll on another connection overtook it.
TEST(HttpEngineDriver, KeepsPollingIfTheStatementArrivesAfterAnUnknownQueryResponse) {
  std::atomic<int> polls = 0;
  HttpEngine engine([&](const HttpRequest& request) -> std::optional<std::string> {
    if (request.method == "POST") return std::nullopt;
    return polls++ == 0 ? http_response(500) : rows_response("x\ty\tz\n");
  });
  TestDriver driver(engine);
  driver.start_attempt();
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::served);
}

TEST(HttpEngineDriver, SendsASecondDeleteIfTheStatementMayArriveAfterTheFirst) {
  std::promise<void> release;
  HttpEngine engine([&, released = release.get_future().share()](const HttpRequest& request) {
    if (request.method == "POST") released.wait();
    return http_response(204);
  });
  const std::shared_ptr<void> release_on_exit(nullptr, [&](void*) { release.set_value(); });
  TestDriver driver(engine);
  driver.start_attempt();
  driver.run_until_requested(engine, [](const HttpRequest& request) { return request.method == "POST"; });
  driver.run(core::CancelAttempt{driver.attempt_id});
  EXPECT_EQ(driver.wait_for_event<core::AttemptEnded>().outcome, AttemptOutcome::cancelled);
  EXPECT_EQ(engine.requests.count(is_delete), 2U);
}

}  // namespace
}  // namespace bellstair::test
