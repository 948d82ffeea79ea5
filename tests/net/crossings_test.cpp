// Where two events cross, on real connections: a scripted peer forces the bad order each time.
#include <gtest/gtest.h>

#include "harness.hpp"
#include "net/pool.hpp"
#include "platform/front.hpp"

namespace bellstair::test {
namespace {

const std::string kSelect = "SELECT a FROM sales_17.orders";

bool posts(const HttpRequest& call) { return call.method == "POST"; }

// ---- a connection that comes up late

// A repeat is dropped as one only within its window, which may end while its connection is being made.
TEST(Crossings, ARepeatWhoseConnectionComesUpAfterItsWindowIsNotSent) {
  std::promise<void> fail;
  HttpEngine one([&, wait = fail.get_future().share()](const HttpRequest&) {
    wait.wait();
    return http_response(500);
  });
  FullBacklogListener two;  // its connections come up a second late at the least
  Broker broker({{"s-00000001", one.server.address()}}, {}, 0, [](json& config) {
    config["settings"]["classes"][1]["window"] = 1'000'000'000;  // of "load", which is keyed
  });
  Client client(broker.address);
  client.send_request(1, "load", kSelect);
  one.requests.wait_for(posts);
  broker.change_log.push({server_entry("s-00000001", one.server.address(), "terminating"),
                          server_entry("s-00000002", two.address())});
  broker.change_log.wait_until_processed();
  fail.set_value();
  two.wait_until_connecting();
  auto late = two.accept_pending();
  EXPECT_EQ(client.read_response()["error"]["code"], -32066);  // all engines drop its repeats
  EXPECT_FALSE(late.has_unread_bytes());
}

// ---- the end of the program

// While engines are still being told of what was given up, a client that rested until now asks for more.
TEST(Crossings, ARequestThatComesWhileTheProgramEndsIsNotSentOn) {
  std::promise<void> over;
  HttpEngine engine([&, wait = over.get_future().share()](const HttpRequest& call) {
    if (call.method == "DELETE") wait.wait();
    return call.method == "POST" && call.headers.at("X-Queue") == "lookup" ? rows_response("x\ty\tz\n")
                                                                           : http_response(202);
  });
  const std::shared_ptr<void> freed(nullptr, [&](void*) { over.set_value(); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client rests(broker.address), leaves(broker.address);
  rests.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(rests.read_response()), "x\ty\tz\n");
  leaves.send_request(1, "once", kSelect, {{"txn", "00000000000000aa"}});
  engine.requests.wait_for([](const HttpRequest& c) { return c.method == "GET"; });
  leaves.cancel(1);
  engine.requests.wait_for([](const HttpRequest& c) { return c.method == "DELETE"; });
  broker.program->send_signal(SIGTERM);
  broker.program->wait_for_log_line("phase: stopping");
  rests.send_request(2, "lookup", kSelect);
  while (rests.socket.read_more()) continue;  // refused, or the connection's end
  EXPECT_EQ(rests.socket.received.find("result"), std::string::npos);
  EXPECT_EQ(broker.program->wait_for_exit(), 0);
  EXPECT_EQ(engine.post_count(), 2U);
}

// The front by itself, on a loop and a clock of the test's own.
class Fronted {
 public:
  Fronted()
      : front(
            loop, net::listen_tcp(net::parse_address("127.0.0.1:0").value()), names, 8, handles,
            [] { return true; }, [this](core::Event event) { events.push_back(std::move(event)); }) {
    names.classes["lookup"] = 0;
    names.tenants["acme"] = 0;
    names.class_names = {"lookup"};
    turn_.set<Fronted, &Fronted::on_turn>(this);
    turn_.start(0.001, 0.001);  // keeps the loop turning while nothing comes
    front.tick(now);
  }
  void on_turn(ev::timer&, int) {}
  bool until(const std::function<bool()>& reached) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!reached() && std::chrono::steady_clock::now() < end) {
      loop.run(ev::ONCE);
      front.settle();
    }
    return reached();
  }
  template <class T>
  [[nodiscard]] std::size_t count() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        events, [](const core::Event& event) { return std::holds_alternative<T>(event); }));
  }
  ev::dynamic_loop loop;
  ev::timer turn_{loop};
  config::NameIndex names;
  std::uint64_t handles = 0;
  core::Time now{1000s};
  std::vector<core::Event> events;
  platform::Front front;
};

// A close over bytes that were not read resets the connection, and takes with it what its client has not
// read.
TEST(Crossings, ClientsAreToldOfTheEndFirstAndWhatTheyStillSendIsReadAndDropped) {
  Fronted f;
  Client client(f.front.address());
  client.send_request(1, "lookup", kSelect);
  ASSERT_TRUE(f.until([&] { return f.count<core::RequestArrived>() == 1; }));
  f.front.run(core::Answer{1, core::AnswerKind::served, {}, "x\ty\tz\n", {}});
  f.front.stop();
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  EXPECT_FALSE(client.socket.read_more());  // no more is written
  client.send_request(2, "lookup", kSelect);
  for (int i = 0; i < 20; ++i) f.loop.run(ev::ONCE);
  EXPECT_EQ(f.count<core::RequestArrived>(), 1U);
  EXPECT_FALSE(client.socket.is_reset());
  EXPECT_TRUE(f.front.unwritten());
  ::shutdown(client.socket.fd(), SHUT_WR);
  EXPECT_TRUE(f.until([&] { return !f.front.unwritten(); }));
}

TEST(Crossings, ARequestThatWasReadInTheMomentOfTheEndIsAnswered) {
  Fronted f;
  Client client(f.front.address());
  client.send_request(1, "lookup", kSelect);
  ASSERT_TRUE(f.until([&] { return f.count<core::RequestArrived>() == 1; }));
  f.front.stop();
  f.front.run(core::Answer{1, core::AnswerKind::rejected, 100ms, {}, {}});
  EXPECT_EQ(client.read_response()["error"]["code"], -32066);
  EXPECT_FALSE(client.socket.read_more());  // no more is written
}

// ---- clients that are gone

// One that has closed its side may still read: it is told, but nothing begins for it any more.
TEST(Crossings, NothingBeginsForAClientThatHasEndedWhileItsRequestWaits) {
  std::atomic<bool> done = false;
  HttpEngine engine(
      [&](const HttpRequest&) { return done ? rows_response("x\ty\tz\n") : http_response(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client first(broker.address), second(broker.address);
  const json key{{"item", "7f3a9c21e0b4d655"}};
  first.send_request(1, "load", kSelect, key);
  engine.requests.wait_for([](const HttpRequest& c) { return c.method == "GET"; });
  auto held = key;
  held["txn"] = "00000000000000aa";
  second.send_request(1, "load", kSelect, held);  // waits for the first one's end
  ::shutdown(second.socket.fd(), SHUT_WR);
  EXPECT_TRUE(first.is_ready());  // by now the end has been heard of
  done = true;
  EXPECT_EQ(result_body(first.read_response()), "x\ty\tz\n");
  EXPECT_EQ(second.read_response()["error"]["code"], -32066);
  EXPECT_EQ(engine.post_count(), 1U);
}

TEST(Crossings, NothingBeginsForAClientThatHasEndedWhenAnAttemptFails) {
  std::promise<void> fail;
  HttpEngine engine([&, wait = fail.get_future().share()](const HttpRequest&) {
    wait.wait();
    return http_response(500);
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address), other(broker.address);
  client.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(posts);
  ::shutdown(client.socket.fd(), SHUT_WR);
  EXPECT_TRUE(other.is_ready());  // by now the end has been heard of
  fail.set_value();
  EXPECT_TRUE(client.read_response().contains("error"));
  EXPECT_EQ(engine.post_count(), 1U);
}

// ---- descriptors

// Idle clients have all there are, while a connection to the engine was let go: the query waits for one, and
// the engine is not taken for gone.
TEST(Crossings, AQueryWaitsForADescriptorAndItsEngineIsNotBlamed) {
  ev::dynamic_loop loop;
  net::Fd listener = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
  net::Pool::Limits limits;
  limits.dial_timeout = limits.idle_life = 60s;
  net::Pool pool(loop, limits);
  pool.place(1, net::local_address(listener.get()));
  core::Time now = 1000s;
  pool.tick(now);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  bool told = false;
  net::Pool::Connection* got = nullptr;
  pool.acquire(1, [&](net::Pool::Connection* connection) {
    told = true;
    got = connection;
  });
  const rlimit full{0, before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &full);
  pool.settle();
  pool.settle();
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_FALSE(told);
  pool.tick(now += 5ms);
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!told && std::chrono::steady_clock::now() < end) {
    pool.settle();
    loop.run(ev::ONCE);
    pool.settle();
  }
  EXPECT_NE(got, nullptr);
}

struct Bell {
  explicit Bell(ev::loop_ref loop) : timer(loop) {
    timer.set<Bell, &Bell::ring>(this);
    timer.start(0.1, 0);
  }
  void ring(ev::timer&, int) { rung = true; }
  ev::timer timer;
  bool rung = false;
};

// Without its reserve the listener can't turn away what comes: it must pause, or it wakes the loop for ever.
TEST(Crossings, AListenerThatCannotAcceptDoesNotSpin) {
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  ev::dynamic_loop loop;
  auto fd = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
  const auto address = net::local_address(fd.get());
  int accepted = 0;
  const rlimit full{0, before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &full);  // from its start: there is no reserve
  net::Listener listener(loop, std::move(fd), [&](net::Fd) { ++accepted; });
  ::setrlimit(RLIMIT_NOFILE, &before);
  const auto client = Socket::connect_to(address);
  ::setrlimit(RLIMIT_NOFILE, &full);
  Bell bell(loop);
  int turns = 0;
  for (; !bell.rung; ++turns) loop.run(ev::ONCE);
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_LT(turns, 10);  // left to itself, it would wake the loop in every one
  EXPECT_EQ(accepted, 0);
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (accepted == 0 && std::chrono::steady_clock::now() < end) loop.run(ev::ONCE);
  EXPECT_EQ(accepted, 1);
}

}  // namespace
}  // namespace bellstair::test
