// Where two events cross, on real connections: a scripted peer forces the bad order each time.
#include <gtest/gtest.h>

#include "harness.hpp"

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

}  // namespace
}  // namespace bellstair::test
