// Races between events on real connections. A scripted peer forces the problematic order every time.
#include <gtest/gtest.h>

#include "front_harness.hpp"
#include "harness.hpp"
#include "net/pool.hpp"

namespace bellstair::test {
namespace {

const std::string kSelect = "SELECT a FROM sales_17.orders";

bool is_post(const HttpRequest& request) { return request.method == "POST"; }

// ---- late connections

// Engines drop a duplicate of a key only within the deduplication window, which may end while the connection
// for the retry is being established.
TEST(ConnectionRaces, RetryIsNotSentAfterTheDeduplicationWindow) {
  std::promise<void> release;
  HttpEngine one([&, released = release.get_future().share()](const HttpRequest&) {
    released.wait();
    return http_response(500);
  });
  FullBacklogListener two;  // connections are established at least 1 s late
  Broker broker({{"s-00000001", one.server.address()}}, {}, 0, [](json& config) {
    config["settings"]["classes"][1]["window"] = 1'000'000'000;  // of "load", which is keyed
  });
  Client client(broker.address);
  client.send_request(1, "load", kSelect);
  one.requests.wait_for(is_post);
  broker.change_log.push({server_entry("s-00000001", one.server.address(), "terminating"),
                          server_entry("s-00000002", two.address())});
  broker.change_log.wait_until_processed();
  release.set_value();
  two.wait_until_connecting();
  auto late = two.accept_pending();
  // The client may resend: engines drop duplicates of its key.
  EXPECT_EQ(client.read_response()["error"]["code"], -32066);
  EXPECT_FALSE(late.has_unread_bytes());
}

// ---- shutdown

// A client that was idle sends a request while the broker is still deleting cancelled queries at its engines.
TEST(ConnectionRaces, RequestDuringShutdownIsNotForwarded) {
  std::promise<void> release;
  HttpEngine engine([&, released = release.get_future().share()](const HttpRequest& request) {
    if (request.method == "DELETE") released.wait();
    return request.method == "POST" && request.headers.at("X-Queue") == "lookup" ? rows_response("x\ty\tz\n")
                                                                                 : http_response(202);
  });
  const std::shared_ptr<void> release_on_exit(nullptr, [&](void*) { release.set_value(); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client idle(broker.address), cancelling(broker.address);
  idle.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(idle.read_response()), "x\ty\tz\n");
  cancelling.send_request(1, "once", kSelect, {{"txn", "00000000000000aa"}});
  engine.requests.wait_for([](const HttpRequest& request) { return request.method == "GET"; });
  cancelling.cancel(1);
  engine.requests.wait_for([](const HttpRequest& request) { return request.method == "DELETE"; });
  broker.program->send_signal(SIGTERM);
  broker.program->wait_for_log_line("phase: stopping");
  idle.send_request(2, "lookup", kSelect);
  while (idle.socket.read_more()) continue;  // a rejection or the end of the connection
  EXPECT_EQ(idle.socket.received.find("result"), std::string::npos);
  EXPECT_EQ(broker.program->wait_for_exit(), 0);
  EXPECT_EQ(engine.post_count(), 2U);
}

// Closing a connection with unread input resets it, and a reset may discard responses that the client has not
// read yet.
TEST(ConnectionRaces, ShutdownHalfClosesConnectionsAndDiscardsLateInput) {
  TestFront test;
  Client client(test.front.address());
  client.send_request(1, "lookup", kSelect);
  ASSERT_TRUE(test.run_until([&] { return test.count_events<core::RequestArrived>() == 1; }));
  test.front.run(core::Answer{1, core::AnswerKind::served, {}, "x\ty\tz\n", {}});
  test.front.stop();
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  EXPECT_FALSE(client.socket.read_more());  // half-closed by the front
  client.send_request(2, "lookup", kSelect);
  for (int i = 0; i < 20; ++i) test.loop.run(ev::ONCE);
  EXPECT_EQ(test.count_events<core::RequestArrived>(), 1U);
  EXPECT_FALSE(client.socket.is_reset());
  EXPECT_TRUE(test.front.has_unsent_output());
  ::shutdown(client.socket.fd(), SHUT_WR);
  EXPECT_TRUE(test.run_until([&] { return !test.front.has_unsent_output(); }));
}

TEST(ConnectionRaces, RequestReadJustBeforeShutdownIsAnswered) {
  TestFront test;
  Client client(test.front.address());
  client.send_request(1, "lookup", kSelect);
  ASSERT_TRUE(test.run_until([&] { return test.count_events<core::RequestArrived>() == 1; }));
  test.front.stop();
  test.front.run(core::Answer{1, core::AnswerKind::rejected, 100ms, {}, {}});
  EXPECT_EQ(client.read_response()["error"]["code"], -32066);
  EXPECT_FALSE(client.socket.read_more());  // half-closed by the front
}

// ---- disconnected clients

// A client that has shut down its sending side may still read: it gets a response, but no attempt is started
// for it.
TEST(ConnectionRaces, QueuedRequestOfADisconnectedClientIsNotStarted) {
  std::atomic<bool> done = false;
  HttpEngine engine(
      [&](const HttpRequest&) { return done ? rows_response("x\ty\tz\n") : http_response(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client first(broker.address), second(broker.address);
  const json key_params{{"item", "7f3a9c21e0b4d655"}};
  first.send_request(1, "load", kSelect, key_params);
  engine.requests.wait_for([](const HttpRequest& request) { return request.method == "GET"; });
  auto queued_params = key_params;
  queued_params["txn"] = "00000000000000aa";
  second.send_request(1, "load", kSelect, queued_params);  // queued behind the first request of its key
  ::shutdown(second.socket.fd(), SHUT_WR);
  EXPECT_TRUE(first.is_ready());  // the broker has handled the half-close before this response
  done = true;
  EXPECT_EQ(result_body(first.read_response()), "x\ty\tz\n");
  EXPECT_EQ(second.read_response()["error"]["code"], -32066);
  EXPECT_EQ(engine.post_count(), 1U);
}

TEST(ConnectionRaces, FailedAttemptOfADisconnectedClientIsNotRetried) {
  std::promise<void> release;
  HttpEngine engine([&, released = release.get_future().share()](const HttpRequest&) {
    released.wait();
    return http_response(500);
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address), other(broker.address);
  client.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(is_post);
  ::shutdown(client.socket.fd(), SHUT_WR);
  EXPECT_TRUE(other.is_ready());  // the broker has handled the half-close before this response
  release.set_value();
  EXPECT_TRUE(client.read_response().contains("error"));
  EXPECT_EQ(engine.post_count(), 1U);
}

// ---- file descriptors

// Idle clients use all descriptors and the connection to the engine has been closed: the query must wait for
// a free descriptor, and the engine must not count as unreachable.
TEST(ConnectionRaces, QueryWaitsForAFreeDescriptorWithoutFailingItsEngine) {
  ev::dynamic_loop loop;
  net::Fd listener = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
  net::ConnectionPool::Limits limits;
  limits.connect_timeout = limits.idle_timeout = 60s;
  net::ConnectionPool pool(loop, limits);
  pool.set_address(1, net::local_address(listener.get()));
  core::Time now = 1000s;
  pool.tick(now);
  rlimit original_limit{};
  ::getrlimit(RLIMIT_NOFILE, &original_limit);
  bool completed = false;
  net::ConnectionPool::Connection* acquired = nullptr;
  pool.acquire(1, [&](net::ConnectionPool::Connection* connection) {
    completed = true;
    acquired = connection;
  });
  const rlimit no_descriptors{0, original_limit.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &no_descriptors);
  pool.process_pending();
  pool.process_pending();
  ::setrlimit(RLIMIT_NOFILE, &original_limit);
  EXPECT_FALSE(completed);
  pool.tick(now += 5ms);
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!completed && std::chrono::steady_clock::now() < deadline) {
    pool.process_pending();
    loop.run(ev::ONCE);
    pool.process_pending();
  }
  EXPECT_NE(acquired, nullptr);
}

// A flag that a timer sets after 0.1 s.
struct TimerFlag {
  explicit TimerFlag(ev::loop_ref loop) : timer(loop) {
    timer.set<TimerFlag, &TimerFlag::on_timer>(this);
    timer.start(0.1, 0);
  }
  void on_timer(ev::timer&, int) { fired = true; }
  ev::timer timer;
  bool fired = false;
};

// Without its reserve descriptor the listener cannot accept and close connections. It must pause, since the
// pending connection keeps it readable and the event loop would spin.
TEST(ConnectionRaces, ListenerWithoutFreeDescriptorsDoesNotSpin) {
  rlimit original_limit{};
  ::getrlimit(RLIMIT_NOFILE, &original_limit);
  ev::dynamic_loop loop;
  auto fd = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
  const auto address = net::local_address(fd.get());
  int accepted = 0;
  const rlimit no_descriptors{0, original_limit.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &no_descriptors);  // the listener starts without a reserve descriptor
  net::Listener listener(loop, std::move(fd), [&](net::Fd) { ++accepted; });
  ::setrlimit(RLIMIT_NOFILE, &original_limit);
  const auto client = Socket::connect_to(address);
  ::setrlimit(RLIMIT_NOFILE, &no_descriptors);
  TimerFlag expiry(loop);
  int iterations = 0;
  for (; !expiry.fired; ++iterations) loop.run(ev::ONCE);
  ::setrlimit(RLIMIT_NOFILE, &original_limit);
  EXPECT_LT(iterations, 10);  // a spinning listener would cause far more
  EXPECT_EQ(accepted, 0);
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (accepted == 0 && std::chrono::steady_clock::now() < deadline) loop.run(ev::ONCE);
  EXPECT_EQ(accepted, 1);
}

}  // namespace
}  // namespace bellstair::test
