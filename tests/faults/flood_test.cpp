// Tests of the program while other clients send input that is no use as fast as they can.
#include "flood.hpp"

#include <gtest/gtest.h>

namespace bellstair::test {
namespace {

const std::string kStatement = "SELECT a FROM sales_17.orders";
constexpr int kFloodingClients = 60, kFewFloodingClients = 20;

HttpEngine::Handler serving() {
  return [](const HttpRequest&) { return rows_response("x\ty\tz\n"); };
}

// Guards against a loop that only reads as long as the flood lasts, and answers nobody.
TEST(Flood, RequestsOfOthersAreServed) {
  HttpEngine engine(serving());
  Broker broker({{"s-00000001", engine.server.address()}});
  Client known(broker.address);
  EXPECT_TRUE(known.is_ready());
  Flood flood(broker.address, kFloodingClients);
  flood.wait_until_started();
  known.send_request(1, "lookup", kStatement);
  EXPECT_EQ(result_body(known.read_response()), "x\ty\tz\n");
  Client fresh(broker.address);
  fresh.send_request(1, "lookup", kStatement, {{"txn", ticket(100)}});
  EXPECT_EQ(result_body(fresh.read_response()), "x\ty\tz\n");
}

// Guards against requests of one key that run in the wrong order because the first one, which is long and
// comes on a new connection, is read after the input of the flood.
TEST(Flood, LongRequestOnANewConnectionRunsBeforeALaterOneOfItsKey) {
  constexpr auto kNewConnectionGap =
      260ms;  // clients wait at least 250 ms behind the one on a new connection
  HttpEngine engine(serving());
  Broker broker({{"s-00000001", engine.server.address()}});
  Client known(broker.address);
  known.send_request(1, "lookup", kStatement);
  EXPECT_EQ(result_body(known.read_response()), "x\ty\tz\n");
  Flood flood(broker.address, kFewFloodingClients);
  flood.wait_until_answered();
  const json params{{"item", "7f3a9c21e0b4d655"}};
  const auto long_statement = "INSERT INTO sales_17.orders" + std::string(30'000, ' ');
  Client fresh(broker.address);
  fresh.send_request(1, "load", long_statement, {{"txn", ticket(100)}, {"item", params["item"]}});
  std::this_thread::sleep_for(kNewConnectionGap);
  known.send_request(2, "load", kStatement, params);
  const auto is_load = [](const HttpRequest& request) {
    return request.method == "POST" && request.headers.at("X-Queue") == "load";
  };
  EXPECT_EQ(engine.requests.wait_for(is_load).headers.at("X-Ticket"), ticket(100));
  EXPECT_EQ(result_body(fresh.read_response()), "x\ty\tz\n");
  EXPECT_EQ(result_body(known.read_response()), "x\ty\tz\n");
}

// Guards against deadlines that pass unnoticed during a flood.
TEST(Flood, RequestTimesOutWhileItsEngineIsSilent) {
  std::promise<void> done;
  HttpEngine engine([wait = done.get_future().share()](const HttpRequest&) {
    wait.wait();
    return rows_response("x\ty\tz\n");
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  EXPECT_TRUE(client.is_ready());
  Flood flood(broker.address, kFloodingClients);
  flood.wait_until_started();
  client.send_request(1, "once", kStatement, {{"limit", 300}});
  EXPECT_TRUE(client.read_response().contains("error"));
  done.set_value();
}

// Guards against a membership that stays as it was before the flood.
TEST(Flood, ChangeLogIsRead) {
  HttpEngine engine(serving());
  Broker broker({{"s-00000001", engine.server.address()}});
  Flood flood(broker.address, kFloodingClients);
  flood.wait_until_started();
  broker.change_log.push({server_entry("s-00000002", engine.server.address())});
  broker.change_log.wait_until_processed();
}

// Guards against a signal that is not seen during a flood: the platform would kill the program with requests
// unanswered.
TEST(Flood, ProgramStopsOnSigterm) {
  HttpEngine engine(serving());
  Broker broker({{"s-00000001", engine.server.address()}});
  Flood flood(broker.address, kFloodingClients);
  flood.wait_until_started();
  broker.program->send_signal(SIGTERM);
  broker.program->wait_for_log_line("phase: draining");
  broker.program->wait_for_log_line("phase: exited");
  EXPECT_EQ(broker.program->wait_for_exit(), 0);
}

}  // namespace
}  // namespace bellstair::test
