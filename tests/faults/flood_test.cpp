// Tests of the program while other clients send input that is no use as fast as they can.
#include "flood.hpp"

#include <gtest/gtest.h>

namespace bellstair::test {
namespace {

const std::string kStatement = "SELECT a FROM sales_17.orders";
constexpr int kFloodingClients = 60;

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
