// The change log client against faulty change logs. Tests advance its clock themselves and run the event loop
// until an expected condition holds.
#include "platform/changelog.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace bellstair::test {
namespace {

using platform::ChangeLog;

json fleet_event(int seq, const std::string& id, bool full = false) {
  return {{"seq", seq}, {"fleet", {{"full", full}, {"servers", {server_entry(id, "127.0.0.1:9")}}}}};
}
std::string poll_response(int last_seq, const std::vector<json>& events = {}) {
  return http_response(200, json{{"seq", last_seq}, {"results", events}}.dump());
}

// A scripted change log. The handler returns the bytes to send for request number n (from 1); empty means no
// response. After the responses for which `closes_after` is true, the connection is closed.
class FakeChangeLog {
 public:
  using Handler = std::function<std::string(int n, const std::string& path)>;
  explicit FakeChangeLog(
      Handler handler, std::function<bool(int)> closes_after = [](int) { return false; })
      : server([this, handler = std::move(handler), closes_after = std::move(closes_after)](Socket& socket) {
          connections.add(0);
          while (true) {
            const auto path = read_http_request(socket).path;
            const int n = ++requests;
            paths.add(path);
            socket.send(handler(n, path));
            if (!closes_after(n)) continue;
            ::shutdown(socket.fd(), SHUT_WR);
            while (socket.read_more()) {
            }
            return;
          }
        }) {}
  std::size_t connection_count() {
    return connections.count([](int) { return true; });
  }
  std::size_t request_count() {
    return paths.count([](const std::string&) { return true; });
  }
  std::atomic<int> requests = 0;
  Recorder<std::string> paths;
  Recorder<int> connections;
  Server server;
};

// The client with its own event loop and clock, which records the events that it emits.
class TestFollower {
 public:
  explicit TestFollower(const std::string& address, std::uint64_t since = 1)
      : change_log(loop, address, names, since, [this](core::Event event) { on_event(std::move(event)); }) {
    names.zones["dc1"] = 0;
    names.kinds["std-8"] = 0;
    // Ends each loop iteration in which no event occurs.
    wakeup.set<TestFollower, &TestFollower::ignore_timer>(this);
    wakeup.start(0.001, 0.001);
  }
  void ignore_timer(ev::timer&, int) {}
  void on_event(core::Event event) {
    if (auto* change = std::get_if<core::MembershipChange>(&event)) changes.push_back(std::move(*change));
    if (std::holds_alternative<core::DiscoveryIdle>(event)) ++idle_reports;
    if (const auto* confirmed = std::get_if<core::MembershipConfirmed>(&event)) {
      ++confirmations;
      confirmed_at = confirmed->at;
    }
  }
  void advance(core::Time time) { change_log.tick(now += time); }
  // Runs the loop until `condition` holds, for at most kWaitTimeout; returns whether it does. The clock
  // advances by `step` per iteration so that polls are sent, but stops below every time limit until the next
  // response has been handled: a slow machine causes no time-out, and no poll is delayed for ever.
  bool run_until(const std::function<bool()>& condition, core::Time step = 0ms) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    auto max_time = now;
    for (std::size_t seen_events = event_count() + 1;
         !condition() && std::chrono::steady_clock::now() < deadline;) {
      if (std::exchange(seen_events, event_count()) != event_count())
        max_time = now + ChangeLog::kConnectTimeout - 50ms;
      advance(now + step <= max_time ? step : 0ms);
      loop.run(ev::ONCE);
    }
    return condition();
  }
  [[nodiscard]] std::size_t event_count() const {
    return changes.size() + static_cast<std::size_t>(idle_reports);
  }
  [[nodiscard]] std::vector<std::uint32_t> changed_engines() const {
    std::vector<std::uint32_t> engines;
    for (const auto& change : changes) engines.push_back(change.members.at(0).entry.engine);
    return engines;
  }

  ev::dynamic_loop loop;
  ev::timer wakeup{loop};
  config::NameIndex names;
  core::Time now{1000s};
  std::vector<core::MembershipChange> changes;
  int idle_reports = 0, confirmations = 0;
  core::Time confirmed_at{};  // by the last confirmation
  ChangeLog change_log;
};
constexpr core::Time kClockStep = 10ms;

TEST(ChangeLogFollower, PollsWithoutWaitingFirstAndThenLongPolls) {
  FakeChangeLog log([](int n, const std::string&) { return n < 3 ? poll_response(1) : std::string(); });
  TestFollower follower(log.server.address());
  ASSERT_TRUE(follower.run_until([&] { return log.request_count() == 3; }, kClockStep));
  EXPECT_EQ(log.paths.count([](auto& p) { return p == "/changes?since=1&timeout=0"; }), 1U);
  EXPECT_EQ(log.paths.count([](auto& p) { return p == "/changes?since=1&timeout=1000"; }), 2U);
  EXPECT_EQ(follower.idle_reports, 2);
  EXPECT_EQ(log.connection_count(), 1U);
}

TEST(ChangeLogFollower, ReportsEachEventOnceInSequenceOrder) {
  FakeChangeLog log([](int n, const std::string&) {
    if (n == 1) return poll_response(2, {fleet_event(2, "s-00000002")});
    // Events that were reported before, out of order, duplicated, and mixed with one of another type.
    if (n == 2)
      return poll_response(5, {fleet_event(4, "s-00000004"),
                               fleet_event(2, "s-00000002"),
                               fleet_event(3, "s-00000003"),
                               fleet_event(4, "s-00000004"),
                               {{"seq", 5}, {"other", 1}}});
    return std::string();
  });
  TestFollower follower(log.server.address());
  ASSERT_TRUE(follower.run_until([&] { return log.request_count() == 3; }, kClockStep));
  EXPECT_EQ(follower.changed_engines(), (std::vector<std::uint32_t>{2, 3, 4}));
  EXPECT_TRUE(std::ranges::all_of(follower.changes, &core::MembershipChange::live));
  EXPECT_EQ(log.paths.count([](auto& p) { return p == "/changes?since=5&timeout=0"; }), 1U);
}

TEST(ChangeLogFollower, RequestsATruncatedEventAgain) {
  const auto complete = poll_response(2, {fleet_event(2, "s-00000002")});
  // Shorter than its Content-Length, and cut off by the close of the connection where there is none.
  for (const auto& truncated :
       {complete.substr(0, complete.size() - 40),
        "HTTP/1.1 200 x\r\n\r\n" + complete.substr(complete.find("\r\n\r\n") + 4, 60)}) {
    FakeChangeLog log(
        [&](int n, const std::string&) { return n == 1   ? truncated
                                                : n == 2 ? complete
                                                         : std::string(); },
        [](int n) { return n == 1; });
    TestFollower follower(log.server.address());
    ASSERT_TRUE(follower.run_until([&] { return log.request_count() == 3; }, kClockStep));
    EXPECT_EQ(follower.changed_engines(), (std::vector<std::uint32_t>{2}));
    EXPECT_EQ(log.connection_count(), 2U);
    EXPECT_EQ(log.paths.count([](auto& p) { return p == "/changes?since=1&timeout=0"; }), 2U);
  }
}

TEST(ChangeLogFollower, ReconnectsToAStalledLogBeforeItsEventsCountAsReported) {
  for (const auto& partial :
       {std::string(), poll_response(2, {fleet_event(2, "s-00000002")}).substr(0, 90)}) {
    FakeChangeLog log([&](int n, const std::string&) {
      return n == 1 ? partial : poll_response(2, {fleet_event(2, "s-00000002")});
    });
    TestFollower follower(log.server.address());
    ASSERT_TRUE(follower.run_until([&] { return log.request_count() == 1; }, kClockStep));
    follower.advance(ChangeLog::kResponseTimeout - ChangeLog::kConnectTimeout);
    EXPECT_EQ(follower.idle_reports, 0);
    follower.advance(ChangeLog::kResponseTimeout);
    EXPECT_EQ(follower.idle_reports, 1);  // the log counts as unreachable
    follower.advance(ChangeLog::kReconnectDelay);
    ASSERT_TRUE(follower.run_until([&] { return !follower.changes.empty(); }));
    EXPECT_EQ(log.connection_count(), 2U);
  }
  static_assert(ChangeLog::kResponseTimeout + ChangeLog::kReconnectDelay + ChangeLog::kConnectTimeout <=
                ChangeLog::kLongPollTimeout + 2s);
}

// Guards against attempts that are sent to engines that drain while the change log is down: nothing but a
// valid response shows that it is up.
TEST(ChangeLogFollower, ConfirmsTheMembershipWithEachValidResponseOnly) {
  FakeChangeLog log([](int n, const std::string&) {
    if (n == 1) return poll_response(2, {fleet_event(2, "s-00000002")});
    if (n == 2) return poll_response(2);
    if (n == 3) return http_response(500, "{}");
    if (n == 4) return http_response(200, "[]");
    return std::string();
  });
  TestFollower follower(log.server.address());
  ASSERT_TRUE(follower.run_until([&] { return follower.confirmations == 1; }, kClockStep));
  EXPECT_EQ(follower.changes.size(), 1U) << "the changes of a response are reported before it";
  ASSERT_TRUE(follower.run_until([&] { return follower.confirmations == 2; }, kClockStep));
  const auto confirmed_at = follower.confirmed_at;
  EXPECT_LE(confirmed_at, follower.now);
  EXPECT_GE(confirmed_at, core::Time{1000s});
  ASSERT_TRUE(follower.run_until([&] { return log.request_count() == 5; }, kClockStep));
  follower.advance(ChangeLog::kResponseTimeout);
  EXPECT_EQ(follower.confirmations, 2);
  EXPECT_EQ(follower.confirmed_at, confirmed_at);
}

// Guards against a slow change log that is never heard, since its responses come after they were requested
// again.
TEST(ChangeLogFollower, UsesAnOverdueResponse) {
  std::promise<void> released;
  const auto release = released.get_future().share();
  FakeChangeLog log([release](int n, const std::string&) {
    if (n == 1) release.wait();
    if (n == 1) return poll_response(2, {fleet_event(2, "s-00000002")});
    return std::string();
  });
  TestFollower follower(log.server.address());
  EXPECT_TRUE(follower.run_until([&] { return log.request_count() == 1; }, kClockStep));
  follower.advance(ChangeLog::kResponseTimeout);
  follower.advance(ChangeLog::kReconnectDelay);
  EXPECT_TRUE(follower.run_until([&] { return log.request_count() == 2; }));
  EXPECT_TRUE(follower.changes.empty());
  released.set_value();
  ASSERT_TRUE(follower.run_until([&] { return !follower.changes.empty(); }));
  EXPECT_EQ(follower.confirmations, 1);
  // It goes on with the connection that has responded.
  ASSERT_TRUE(follower.run_until([&] { return log.request_count() == 3; }, kClockStep));
  EXPECT_EQ(log.connection_count(), 2U);
  EXPECT_EQ(log.paths.count([](auto& p) { return p == "/changes?since=2&timeout=0"; }), 1U);
}

TEST(ChangeLogFollower, KeepsABoundedNumberOfConnectionsToASilentLog) {
  std::atomic<int> polls = 0, open_connections = 0;
  Server silent([&](Socket& socket) {
    read_http_request(socket);
    ++open_connections;
    ++polls;
    socket.read_to_end();
    --open_connections;
  });
  constexpr int kMaxConnections = static_cast<int>(ChangeLog::kMaxOverdueConnections) + 1;
  TestFollower follower(silent.address());
  for (int n = 1; n <= 2 * kMaxConnections; ++n) {
    follower.advance(ChangeLog::kReconnectDelay);
    ASSERT_TRUE(follower.run_until([&] { return polls == n; }));
    ASSERT_TRUE(follower.run_until([&] { return open_connections == std::min(n, kMaxConnections); }));
    follower.advance(ChangeLog::kResponseTimeout);
  }
}

TEST(ChangeLogFollower, IgnoresInvalidResponsesAndRetriesAfterAPause) {
  const auto valid = poll_response(2, {fleet_event(2, "s-00000002")});
  for (const std::string& invalid :
       {std::string("\x01\x02nonsense\r\n\r\n"), http_response(200, "{\"seq\":"), http_response(200, "[]"),
        http_response(200, R"({"seq":-1,"results":[]})"),
        http_response(200, R"({"seq":2,"results":[{"fleet":{"servers":[]}}]})"),
        http_response(200,
                      R"({"seq":2,"results":[{"seq":2,"fleet":{"servers":[{"id":"x","state":"odd"}]}}]})"),
        http_response(500, "{}"), http_response(200, std::string(100'000, '['))}) {
    FakeChangeLog log([&](int n, const std::string&) {
      return n == 1 ? invalid : n == 2 ? valid : std::string();
    });
    TestFollower follower(log.server.address());
    ASSERT_TRUE(follower.run_until([&] { return follower.idle_reports == 1; })) << invalid.substr(0, 80);
    EXPECT_TRUE(follower.changes.empty());
    follower.advance(ChangeLog::kReconnectDelay - 1ms);
    EXPECT_EQ(log.request_count(), 1U);
    ASSERT_TRUE(follower.run_until([&] { return !follower.changes.empty(); }, kClockStep))
        << invalid.substr(0, 80);
  }
}

TEST(ChangeLogFollower, DisconnectsFromAResponseBeyondTheSizeLimit) {
  std::atomic<bool> disconnected = false;
  Server server([&](Socket& socket) {
    read_http_request(socket);
    std::string block = "HTTP/1.1 200 x\r\n\r\n" + std::string(65536, ' ');
    std::size_t sent = 0;
    while (sent < 64 * ChangeLog::kMaxBodyBytes && socket.send(block)) sent += block.size();
    disconnected = sent < 64 * ChangeLog::kMaxBodyBytes;
  });
  TestFollower follower(server.address());
  ASSERT_TRUE(follower.run_until([&] { return follower.idle_reports > 0; }));
  EXPECT_TRUE(follower.run_until([&] { return disconnected.load(); }));
}

TEST(ChangeLogFollower, LimitsThePollRateOfALogThatAnswersAtOnce) {
  FakeChangeLog log([](int, const std::string&) { return poll_response(1); });
  TestFollower follower(log.server.address());
  ASSERT_TRUE(follower.run_until([&] { return follower.idle_reports == 1; }, kClockStep));
  for (int i = 0; i < 100; ++i) follower.loop.run(ev::NOWAIT);
  EXPECT_EQ(follower.idle_reports, 1);  // the next poll is sent once the clock has advanced
  EXPECT_TRUE(follower.run_until([&] { return follower.idle_reports == 20; }, kClockStep));
  EXPECT_EQ(log.connection_count(), 1U);
}

TEST(ChangeLogFollower, ReportsAnUnreachableLogAndKeepsRetrying) {
  FakeChangeLog log([](int, const std::string&) { return poll_response(1); });
  const auto address = log.server.address();
  log.server.stop();
  TestFollower follower(address);
  // An unreachable log must be reported, since start-up waits for the first report.
  ASSERT_TRUE(follower.run_until([&] { return follower.idle_reports == 3; }, kClockStep));
  TestFollower none("");
  none.advance(1ms);
  EXPECT_EQ(none.idle_reports, 1);
}

TEST(ChangeLogFollower, ContinuesTheSequenceAtANewAddress) {
  FakeChangeLog previous([](int n, const std::string&) {
    return n == 1 ? poll_response(4, {fleet_event(2, "s-00000002")}) : std::string();  // no further response
  });
  FakeChangeLog moved([](int n, const std::string&) {
    return n == 1 ? poll_response(5, {fleet_event(5, "s-00000005")}) : std::string();
  });
  TestFollower follower(previous.server.address());
  ASSERT_TRUE(follower.run_until([&] { return previous.request_count() == 2; }, kClockStep));
  follower.change_log.set_address(previous.server.address());  // the same address: the connection stays
  follower.change_log.set_address(moved.server.address());
  ASSERT_TRUE(follower.run_until([&] { return moved.request_count() == 2; }, kClockStep));
  EXPECT_EQ(follower.changed_engines(), (std::vector<std::uint32_t>{2, 5}));
  EXPECT_EQ(moved.paths.count([](auto& p) { return p == "/changes?since=4&timeout=0"; }), 1U);
  EXPECT_EQ(previous.connection_count(), 1U);
}

TEST(ChangeLogFollower, WorksWithOneConnectionPerRequest) {
  FakeChangeLog log(
      [](int n, const std::string&) {
        return "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n" +
               json{{"seq", std::min(n, 2)},
                    {"results", n == 2 ? json::array({fleet_event(2, "s-00000002")}) : json::array()}}
                   .dump();
      },
      [](int) { return true; });
  TestFollower follower(log.server.address());
  ASSERT_TRUE(follower.run_until([&] { return log.request_count() >= 4; }, kClockStep));
  EXPECT_EQ(follower.changed_engines(), (std::vector<std::uint32_t>{2}));
  // Long polls continue as on a persistent connection.
  EXPECT_EQ(log.paths.count([](auto& p) { return p.ends_with("timeout=0"); }), 2U);
}

}  // namespace
}  // namespace bellstair::test
