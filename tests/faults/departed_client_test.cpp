// Clients that go while the program has not read all that they have sent.
#include <gtest/gtest.h>

#include "../net/harness.hpp"

namespace bellstair::test {
namespace {

enum class Departure { close, half_close, cancel };

const char* name(Departure departure) {
  switch (departure) {
    case Departure::close:
      return "Close";
    case Departure::half_close:
      return "HalfClose";
    case Departure::cancel:
      return "Cancel";
  }
  return "?";
}

class DepartedClient : public ::testing::TestWithParam<Departure> {
 protected:
  // `requests`: that the client has sent, with the ids from 1 on.
  static void depart(Client& client, unsigned requests) {
    if (GetParam() == Departure::half_close) ::shutdown(client.socket.fd(), SHUT_WR);
    if (GetParam() != Departure::cancel) return;
    for (unsigned n = 0; n < requests; ++n) client.cancel(static_cast<int>(n + 1));
  }
};

// Guards against attempts for clients that have long gone, since that is read behind more requests than the
// program reads at once.
TEST_P(DepartedClient, NoAttemptBeginsForItsUnreadRequests) {
  constexpr unsigned kClients = 15, kRequests = 16, kFirstTicket = 100;
  constexpr std::size_t kStatementBytes = 45'000;
  HttpEngine engine([](const HttpRequest&) {
    std::this_thread::sleep_for(100ms);
    return rows_response("x\ty\tz\n");
  });
  const auto await_all_results = [](json& config) {
    for (auto& cls : config["settings"]["classes"]) cls["aim"] = 20'000'000'000;
  };
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 0, await_all_results);
  Client staying(broker.address);
  // Afterwards there are idle connections to the engine, on which attempts could begin at once.
  for (unsigned n = 1; n <= kRequests; ++n) staying.send_request(static_cast<int>(n), "lookup", "SELECT 1");
  for (unsigned n = 1; n <= kRequests; ++n) EXPECT_EQ(result_body(staying.read_response()), "x\ty\tz\n");
  // All of this is sent before the program reads any of it.
  broker.program->pause();
  std::vector<std::unique_ptr<Client>> departed;
  for (unsigned client = 0; client < kClients; ++client) {
    departed.push_back(std::make_unique<Client>(broker.address));
    for (unsigned n = 0; n < kRequests; ++n)
      departed.back()->send_request(static_cast<int>(n + 1), "once",
                                    "SELECT 1" + std::string(kStatementBytes, ' '),
                                    {{"txn", ticket(kFirstTicket + client * kRequests + n)}});
    depart(*departed.back(), kRequests);
  }
  if (GetParam() == Departure::close) departed.clear();
  broker.program->send_signal(SIGCONT);
  staying.send_request(kRequests + 1, "lookup", "SELECT 1");
  EXPECT_EQ(result_body(staying.read_response()), "x\ty\tz\n");
  broker.program->send_signal(SIGTERM);  // it exits once all has been read
  EXPECT_EQ(broker.program->wait_for_exit(), 0);
  EXPECT_EQ(engine.post_count(), kRequests + 1) << "only those of the client that has stayed are sent";
}

INSTANTIATE_TEST_SUITE_P(Kinds, DepartedClient,
                         ::testing::Values(Departure::close, Departure::half_close, Departure::cancel),
                         [](const auto& kind) { return name(kind.param); });

// A client that writes its next request slowly is no reason to hold the one before.
TEST(SlowClient, RequestIsServedWhileTheNextOneIsIncomplete) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", "SELECT 1");
  client.socket.send(R"({"jsonrpc":"2.0","id":2,"method":"lookup","par)");
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
}

// Guards against a request that is held for as long as the next one is written in small pieces.
TEST(SlowClient, RequestIsServedWhileTheNextOneTrickles) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", "SELECT 1");
  client.socket.send(R"({"jsonrpc":"2.0","id":2,"x":")");
  // Far less than the limit of the request, and than the limit of a line.
  std::atomic<bool> answered = false;
  std::thread trickle([&] {
    for (int n = 0; n < 1000 && !answered; ++n) {
      client.socket.send("y");
      std::this_thread::sleep_for(5ms);
    }
    if (!answered) client.socket.send("\"}\n");
  });
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  EXPECT_FALSE(answered.exchange(true));
  trickle.join();
  EXPECT_FALSE(client.socket.has_unread_bytes()) << "the second line was still incomplete";
}

}  // namespace
}  // namespace bellstair::test
