// Where two events cross, on real connections: a scripted peer forces the bad order each time.
#include <gtest/gtest.h>

#include "harness.hpp"
#include "net/pool.hpp"
#include "platform/front.hpp"

namespace bellstair::test {
namespace {

const std::string kSelect = "SELECT a FROM sales_17.orders";

bool posts(const Call& call) { return call.method == "POST"; }

// ---- a connection that comes up late

// A repeat is dropped as one only within its window, which may end while its connection is being made.
TEST(Crossings, ARepeatWhoseConnectionComesUpAfterItsWindowIsNotSent) {
  std::promise<void> fail;
  HttpEngine one([&, wait = fail.get_future().share()](const Call&) {
    wait.wait();
    return http(500);
  });
  LateListener two;  // its connections come up a second late at the least
  Broker broker({{"s-00000001", one.server.address()}}, {}, 0, [](json& config) {
    config["settings"]["classes"][1]["window"] = 1'000'000'000;  // of "load", which is keyed
  });
  Client client(broker.address);
  client.ask(1, "load", kSelect);
  one.calls.wait(posts);
  broker.changes.push(
      {server("s-00000001", one.server.address(), "terminating"), server("s-00000002", two.address())});
  broker.changes.wait_until_told();
  fail.set_value();
  two.wait_until_dialled();
  auto late = two.open();
  EXPECT_EQ(client.answer()["error"]["code"], -32066);  // all engines drop its repeats
  EXPECT_FALSE(late.waiting());
}

// ---- the end of the program

// While engines are still being told of what was given up, a client that rested until now asks for more.
TEST(Crossings, ARequestThatComesWhileTheProgramEndsIsNotSentOn) {
  std::promise<void> over;
  HttpEngine engine([&, wait = over.get_future().share()](const Call& call) {
    if (call.method == "DELETE") wait.wait();
    return call.method == "POST" && call.headers.at("X-Queue") == "lookup" ? rows("x\ty\tz\n") : http(202);
  });
  const std::shared_ptr<void> freed(nullptr, [&](void*) { over.set_value(); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client rests(broker.address), leaves(broker.address);
  rests.ask(1, "lookup", kSelect);
  EXPECT_EQ(body(rests.answer()), "x\ty\tz\n");
  leaves.ask(1, "once", kSelect, {{"txn", "00000000000000aa"}});
  engine.calls.wait([](const Call& c) { return c.method == "GET"; });
  leaves.cancel(1);
  engine.calls.wait([](const Call& c) { return c.method == "DELETE"; });
  broker.program->signal(SIGTERM);
  broker.program->said("phase: stopping");
  rests.ask(2, "lookup", kSelect);
  while (rests.socket.more()) continue;  // refused, or the connection's end
  EXPECT_EQ(rests.socket.in.find("result"), std::string::npos);
  EXPECT_EQ(broker.program->wait(), 0);
  EXPECT_EQ(engine.posts(), 2U);
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
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!reached() && std::chrono::steady_clock::now() < end) {
      loop.run(ev::ONCE);
      front.release_closed();
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
  client.ask(1, "lookup", kSelect);
  ASSERT_TRUE(f.until([&] { return f.count<core::RequestArrived>() == 1; }));
  f.front.run(core::Answer{1, core::AnswerKind::served, {}, "x\ty\tz\n", {}});
  f.front.stop();
  EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
  EXPECT_FALSE(client.socket.more());  // no more is written
  client.ask(2, "lookup", kSelect);
  for (int i = 0; i < 20; ++i) f.loop.run(ev::ONCE);
  EXPECT_EQ(f.count<core::RequestArrived>(), 1U);
  EXPECT_FALSE(client.socket.broken());
  EXPECT_TRUE(f.front.has_unsent_output());
  ::shutdown(client.socket.fd(), SHUT_WR);
  EXPECT_TRUE(f.until([&] { return !f.front.has_unsent_output(); }));
}

TEST(Crossings, ARequestThatWasReadInTheMomentOfTheEndIsAnswered) {
  Fronted f;
  Client client(f.front.address());
  client.ask(1, "lookup", kSelect);
  ASSERT_TRUE(f.until([&] { return f.count<core::RequestArrived>() == 1; }));
  f.front.stop();
  f.front.run(core::Answer{1, core::AnswerKind::rejected, 100ms, {}, {}});
  EXPECT_EQ(client.answer()["error"]["code"], -32066);
  EXPECT_FALSE(client.socket.more());  // no more is written
}

// ---- clients that are gone

// One that has closed its side may still read: it is told, but nothing begins for it any more.
TEST(Crossings, NothingBeginsForAClientThatHasEndedWhileItsRequestWaits) {
  std::atomic<bool> done = false;
  HttpEngine engine([&](const Call&) { return done ? rows("x\ty\tz\n") : http(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client first(broker.address), second(broker.address);
  const json key{{"item", "7f3a9c21e0b4d655"}};
  first.ask(1, "load", kSelect, key);
  engine.calls.wait([](const Call& c) { return c.method == "GET"; });
  auto held = key;
  held["txn"] = "00000000000000aa";
  second.ask(1, "load", kSelect, held);  // waits for the first one's end
  ::shutdown(second.socket.fd(), SHUT_WR);
  EXPECT_TRUE(first.green());  // by now the end has been heard of
  done = true;
  EXPECT_EQ(body(first.answer()), "x\ty\tz\n");
  EXPECT_EQ(second.answer()["error"]["code"], -32066);
  EXPECT_EQ(engine.posts(), 1U);
}

TEST(Crossings, NothingBeginsForAClientThatHasEndedWhenAnAttemptFails) {
  std::promise<void> fail;
  HttpEngine engine([&, wait = fail.get_future().share()](const Call&) {
    wait.wait();
    return http(500);
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address), other(broker.address);
  client.ask(1, "lookup", kSelect);
  engine.calls.wait(posts);
  ::shutdown(client.socket.fd(), SHUT_WR);
  EXPECT_TRUE(other.green());  // by now the end has been heard of
  fail.set_value();
  EXPECT_TRUE(client.answer().contains("error"));
  EXPECT_EQ(engine.posts(), 1U);
}

// ---- descriptors

// Idle clients have all there are, while a connection to the engine was let go: the query waits for one, and
// the engine is not taken for gone.
TEST(Crossings, AQueryWaitsForADescriptorAndItsEngineIsNotBlamed) {
  ev::dynamic_loop loop;
  net::Fd listener = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
  net::ConnectionPool::Limits limits;
  limits.connect_timeout = limits.idle_timeout = 60s;
  net::ConnectionPool pool(loop, limits);
  pool.set_address(1, net::local_address(listener.get()));
  core::Time now = 1000s;
  pool.tick(now);
  rlimit before{};
  ::getrlimit(RLIMIT_NOFILE, &before);
  bool told = false;
  net::ConnectionPool::Connection* got = nullptr;
  pool.acquire(1, [&](net::ConnectionPool::Connection* connection) {
    told = true;
    got = connection;
  });
  const rlimit full{0, before.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &full);
  pool.process_pending();
  pool.process_pending();
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_FALSE(told);
  pool.tick(now += 5ms);
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!told && std::chrono::steady_clock::now() < end) {
    pool.process_pending();
    loop.run(ev::ONCE);
    pool.process_pending();
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
  const auto client = Socket::to(address);
  ::setrlimit(RLIMIT_NOFILE, &full);
  Bell bell(loop);
  int turns = 0;
  for (; !bell.rung; ++turns) loop.run(ev::ONCE);
  ::setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_LT(turns, 10);  // left to itself, it would wake the loop in every one
  EXPECT_EQ(accepted, 0);
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (accepted == 0 && std::chrono::steady_clock::now() < end) loop.run(ev::ONCE);
  EXPECT_EQ(accepted, 1);
}

}  // namespace
}  // namespace bellstair::test
