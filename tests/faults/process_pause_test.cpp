// Tests of the program after a process pause (SIGSTOP, SIGCONT), as when its machine gives it no CPU time.
#include <gtest/gtest.h>

#include "faults.hpp"

namespace bellstair::test {
namespace {

const std::string kStatement = "SELECT a FROM sales_17.orders";
constexpr auto kPause = 1s;
constexpr auto kShortPause = 200ms;  // shorter than any time-out of a request to an engine

bool is_post(const HttpRequest& request) { return request.method == "POST"; }

// A request that arrives during a pause has already waited. The time limit passed to the engine must not
// exceed what remains for its client.
TEST(ProcessPause, RequestReceivedDuringPauseGetsOnlyItsRemainingTime) {
  constexpr auto kLimit = 3000ms, kSlack = 150ms;
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  EXPECT_TRUE(client.is_ready());
  broker.program->pause();
  client.send_request(1, "lookup", kStatement, {{"limit", kLimit / 1ms}});
  const auto sent = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kPause);
  const auto remaining = kLimit - (std::chrono::steady_clock::now() - sent);
  broker.program->send_signal(SIGCONT);
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  const auto post = engine.requests.wait_for(is_post);
  EXPECT_LE(std::stoi(post.headers.at("X-Max-Ms")) * 1ms, remaining + kSlack);
}

// After a pause, the response time-out of a call may be due although its response is in the socket's receive
// buffer. The response must be read, and not be polled for again.
TEST(ProcessPause, ResponseReceivedDuringPauseIsNotPolledForAgain) {
  std::promise<void> done;
  HttpEngine engine([&, wait = done.get_future().share()](const HttpRequest&) {
    wait.wait();
    return rows_response("x\ty\tz\n");
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kStatement);
  engine.requests.wait_for(is_post);
  broker.program->pause();
  done.set_value();
  std::this_thread::sleep_for(kPause);
  broker.program->send_signal(SIGCONT);
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  EXPECT_EQ(engine.requests.count([](const HttpRequest& request) { return request.method == "GET"; }), 0U);
}

// During a pause, a key becomes free and the clients that wait for it close their connections. None of their
// requests may be started afterwards. There are more closed connections than one epoll_wait() call reports.
TEST(ProcessPause, QueuedRequestsOfClosedConnectionsAreNotStarted) {
  constexpr int kClients = 120;
  std::promise<void> done;
  HttpEngine engine([&, wait = done.get_future().share()](const HttpRequest& request) {
    if (is_post(request) && request.headers.at("X-Queue") == "load") return http_response(202);
    wait.wait();
    return rows_response("x\ty\tz\n");
  });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 0,
                [](json& config) { config["limits"]["sockets"] = 1024; });
  const json key{{"item", "7f3a9c21e0b4d655"}};
  Client first_client(broker.address);
  first_client.send_request(1, "load", kStatement, key);
  engine.requests.wait_for([](const HttpRequest& request) { return request.method == "GET"; });
  std::vector<std::unique_ptr<Client>> queued_clients;
  for (int i = 0; i < kClients; ++i) {
    auto params = key;
    params["txn"] = ticket(static_cast<unsigned>(1000 + i));
    queued_clients.push_back(std::make_unique<Client>(broker.address));
    queued_clients.back()->send_request(1, "load", kStatement, params);
  }
  EXPECT_TRUE(queued_clients.back()->is_ready());
  broker.program->pause();
  done.set_value();
  while (!queued_clients.empty()) queued_clients.pop_back();  // closes the next request of the key last
  std::this_thread::sleep_for(kShortPause);
  broker.program->send_signal(SIGCONT);
  EXPECT_EQ(result_body(first_client.read_response()), "x\ty\tz\n");
  EXPECT_TRUE(first_client.is_ready());
  // The response to this request shows that all earlier events have been processed.
  first_client.send_request(2, "lookup", kStatement);
  EXPECT_EQ(result_body(first_client.read_response()), "x\ty\tz\n");
  EXPECT_EQ(engine.post_count(), 2U);
}

// Two requests of one key are written at least this far apart; where the first comes on a new connection,
// four times as far.
constexpr auto kKeyGap = 65ms;

// A broker with one engine, and two clients whose connections have carried a request.
struct OrderedRequests {
  OrderedRequests() {
    for (auto* client : {&first, &second}) {
      EXPECT_TRUE(client->is_ready());
      send(*client, "lookup", "");
      EXPECT_EQ(result_body(client->read_response()), "x\ty\tz\n");
    }
  }
  // Pauses the program, once it has polled its connections since it read from them last.
  void pause() {
    Client other(broker.address);
    EXPECT_TRUE(other.is_ready());
    broker.program->pause();
  }
  // Sends a request under the next ticket, of this key if it has one.
  void send(Client& client, const std::string& class_name, const std::string& key) {
    json params{{"txn", ticket(next_ticket)}};
    if (!key.empty()) params["item"] = key;
    client.send_request(static_cast<int>(++next_ticket), class_name, kStatement, params);
  }
  // Sends a request of the key from each client, the second one kKeyGap later.
  void send_pair(Client& earlier, Client& later, const std::string& key) {
    send(earlier, "load", key);
    std::this_thread::sleep_for(kKeyGap);
    send(later, "load", key);
  }
  // Expects that the requests from number `from` on have reached the engine by their keys in this order, once
  // all have been answered.
  void expect_order_per_key(unsigned from, unsigned pairs) {
    for (unsigned i = 0; i < pairs; ++i) {
      const auto earlier = ticket(from + 2 * i), later = ticket(from + 2 * i + 1);
      const auto has_ticket = [&](const HttpRequest& request) {
        return is_post(request) &&
               (request.headers.at("X-Ticket") == earlier || request.headers.at("X-Ticket") == later);
      };
      EXPECT_EQ(engine.requests.wait_for(has_ticket).headers.at("X-Ticket"), earlier) << "pair " << i;
    }
  }
  HttpEngine engine{[](const HttpRequest&) { return rows_response("x\ty\tz\n"); }};
  Broker broker{{{"s-00000001", engine.server.address()}}};
  Client first{broker.address}, second{broker.address};
  unsigned next_ticket = 0;
};

// Guards against requests of one key that run in the order in which the loop reports their connections, and
// not in that in which they were received.
TEST(ProcessPause, RequestsOfOneKeyRunInTheOrderInWhichTheyWereReceived) {
  OrderedRequests test;
  const auto from = test.next_ticket;
  test.pause();
  test.send_pair(test.first, test.second, "7f3a9c21e0b4d655");
  test.send_pair(test.second, test.first, "7f3a9c21e0b4d656");
  test.broker.program->send_signal(SIGCONT);
  test.expect_order_per_key(from, 2);
}

// The same for connections that carry several requests each during the pause.
TEST(ProcessPause, SeveralRequestsOnTheSameConnectionsKeepTheirOrderByKey) {
  constexpr unsigned kPairs = 6;
  OrderedRequests test;
  const auto from = test.next_ticket;
  test.pause();
  for (unsigned i = 0; i < kPairs; ++i) {
    test.send_pair(test.first, test.second, "7f3a9c21e0b4d65" + std::to_string(i));
    std::this_thread::sleep_for(kKeyGap);
  }
  test.broker.program->send_signal(SIGCONT);
  test.expect_order_per_key(from, kPairs);
}

// The same for a first request on a connection that has not been accepted yet.
TEST(ProcessPause, RequestOnANewConnectionRunsBeforeALaterOneOfItsKey) {
  OrderedRequests test;
  const auto from = test.next_ticket;
  test.pause();
  Client fresh(test.broker.address);
  test.send(fresh, "load", "7f3a9c21e0b4d655");
  std::this_thread::sleep_for(4 * kKeyGap);
  test.send(test.second, "load", "7f3a9c21e0b4d655");
  test.broker.program->send_signal(SIGCONT);
  test.expect_order_per_key(from, 1);
}

}  // namespace
}  // namespace bellstair::test
