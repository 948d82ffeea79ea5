// The program when it stands still for a while, as a machine does that has no processor for it.
#include <gtest/gtest.h>

#include "faults.hpp"

namespace bellstair::test {
namespace {

const std::string kStatement = "SELECT a FROM sales_17.orders";
constexpr auto kStandstill = 1s;
constexpr auto kShortStandstill = 200ms;  // no call to an engine is overdue after it

bool posts(const HttpRequest& call) { return call.method == "POST"; }

TEST(Standstill, ARequestThatCameMeanwhileIsGivenNoMoreThanTheTimeItsClientHasLeft) {
  constexpr auto kLimit = 3000ms, kSlack = 150ms;
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  EXPECT_TRUE(client.is_ready());
  broker.program->pause();
  client.send_request(1, "lookup", kStatement, {{"limit", kLimit / 1ms}});
  const auto sent = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kStandstill);
  const auto left = kLimit - (std::chrono::steady_clock::now() - sent);
  broker.program->send_signal(SIGCONT);
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  const auto post = engine.requests.wait_for(posts);
  EXPECT_LE(std::stoi(post.headers.at("X-Max-Ms")) * 1ms, left + kSlack);
}

TEST(Standstill, AnAnswerThatCameMeanwhileIsNotAskedForAgain) {
  std::promise<void> done;
  HttpEngine engine([&, wait = done.get_future().share()](const HttpRequest&) {
    wait.wait();
    return rows_response("x\ty\tz\n");
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kStatement);
  engine.requests.wait_for(posts);
  broker.program->pause();
  done.set_value();
  std::this_thread::sleep_for(kStandstill);
  broker.program->send_signal(SIGCONT);
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  EXPECT_EQ(engine.requests.count([](const HttpRequest& call) { return call.method == "GET"; }), 0U);
}

// More of them than one poll reports.
TEST(Standstill, NothingBeginsForClientsThatLeftMeanwhile) {
  constexpr int kClients = 120;
  std::promise<void> done;
  HttpEngine engine([&, wait = done.get_future().share()](const HttpRequest& call) {
    if (posts(call) && call.headers.at("X-Queue") == "load") return http_response(202);
    wait.wait();
    return rows_response("x\ty\tz\n");
  });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 0,
                [](json& config) { config["limits"]["sockets"] = 1024; });
  const json key{{"item", "7f3a9c21e0b4d655"}};
  Client first(broker.address);
  first.send_request(1, "load", kStatement, key);
  engine.requests.wait_for([](const HttpRequest& call) { return call.method == "GET"; });
  std::vector<std::unique_ptr<Client>> waiting;
  for (int i = 0; i < kClients; ++i) {
    auto named = key;
    named["txn"] = ticket(static_cast<unsigned>(1000 + i));
    waiting.push_back(std::make_unique<Client>(broker.address));
    waiting.back()->send_request(1, "load", kStatement, named);
  }
  EXPECT_TRUE(waiting.back()->is_ready());
  broker.program->pause();
  done.set_value();
  while (!waiting.empty()) waiting.pop_back();  // the next in turn last
  std::this_thread::sleep_for(kShortStandstill);
  broker.program->send_signal(SIGCONT);
  EXPECT_EQ(result_body(first.read_response()), "x\ty\tz\n");
  EXPECT_TRUE(first.is_ready());
  first.send_request(2, "lookup", kStatement);  // by its answer all that went before has been dealt with
  EXPECT_EQ(result_body(first.read_response()), "x\ty\tz\n");
  EXPECT_EQ(engine.post_count(), 2U);
}

}  // namespace
}  // namespace bellstair::test
