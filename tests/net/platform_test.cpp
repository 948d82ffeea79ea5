// End-to-end tests of the program between clients, HTTP engines and a change log that speak the platform's
// protocols.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace bellstair::test {
namespace {

const std::string kSelect = "SELECT a FROM sales_17.orders";

bool has_method(const HttpRequest& request, const char* method) { return request.method == method; }
bool is_poll(const HttpRequest& request) {
  return request.method == "GET" && request.path.find("/0") != std::string::npos;
}

TEST(Platform, PollsAQueryUntilItFinishesAndReturnsItsPagesInOrder) {
  std::atomic<int> polls = 0;
  HttpEngine engine([&](const HttpRequest& request) -> std::optional<std::string> {
    if (has_method(request, "POST") || (is_poll(request) && ++polls < 3)) return http_response(202);
    if (is_poll(request)) return rows_response("a\tb\tc\n", 3);
    const auto page = request.path.substr(request.path.rfind('/') + 1);
    return http_response(200, page + "\t\xc3\xa9\t\n", "Result-Page: " + page + "\r\n");
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(7, "load", kSelect, {{"unique", "5c0f"}, {"item", "7f3a9c21e0b4d655"}, {"ram", 96}});
  const auto response = client.read_response();
  EXPECT_EQ(response["id"], 7);
  EXPECT_EQ(result_body(response), "a\tb\tc\n1\t\xc3\xa9\t\n2\t\xc3\xa9\t\n");
  const auto post =
      engine.requests.wait_for([](const HttpRequest& request) { return has_method(request, "POST"); });
  EXPECT_EQ(post.body, kSelect);
  EXPECT_EQ(post.headers.at("X-Ticket"), "9b1f03aa5c7e2d41");
  EXPECT_EQ(post.headers.at("X-Queue"), "load");
  EXPECT_EQ(post.headers.at("X-Nonce"), "5c0f");
  EXPECT_LE(std::stoi(post.headers.at("X-Max-Ms")), 15000);
}

TEST(Platform, RequestRejectedByThePolicyFailsAtOnceWithARetryDelay) {
  HttpEngine engine([](const HttpRequest&) { return http_response(503, {}, "X-Shed: 1\r\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect, {{"limit", 20000}});
  const auto started_at = std::chrono::steady_clock::now();
  const auto error = client.read_response()["error"];
  EXPECT_LT(std::chrono::steady_clock::now() - started_at, 10s);  // long before the 20 s deadline
  EXPECT_EQ(error["code"], -32066);
  EXPECT_EQ(error["data"]["later"], 500);
}

TEST(Platform, UnsafeStatementIsNotRetriedAfterALostConnection) {
  HttpEngine engine([](const HttpRequest&) { return std::nullopt; });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "once", "UPDATE sales_17.orders SET a = 1");
  const auto error = client.read_response()["error"];
  EXPECT_NE(error["code"], -32066);  // a rejection would promise that nothing ran
  EXPECT_EQ(engine.post_count(), 1U);
}

TEST(Platform, KeyedRequestIsRetriedOnAnotherEngineWithItsKeyAfterAReset) {
  std::atomic<int> posts = 0;
  const auto handler = [&](const HttpRequest& request) -> std::optional<std::string> {
    // The first statement is cut off, whichever engine gets it, and no engine knows the query afterwards.
    if (has_method(request, "POST") && posts++ == 0) return std::nullopt;
    if (!has_method(request, "POST")) return http_response(500);
    return rows_response("x\ty\tz\n");
  };
  HttpEngine one(handler), two(handler);
  Broker broker({{"s-00000001", one.server.address()}, {"s-00000002", two.server.address()}});
  Client client(broker.address);
  client.send_request(1, "load", "UPDATE sales_17.orders SET a = 1", {{"unique", "abc123"}});
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  const auto has_key = [](const HttpRequest& request) {
    return has_method(request, "POST") && request.headers.at("X-Nonce") == "abc123";
  };
  EXPECT_EQ(one.requests.count(has_key), 1U);
  EXPECT_EQ(two.requests.count(has_key), 1U);
}

TEST(Platform, CancelledRequestGetsNoResponseAndIsDeletedAtItsEngine) {
  HttpEngine engine(
      [](const HttpRequest& request) { return http_response(has_method(request, "DELETE") ? 204 : 202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(is_poll);
  client.socket.send(R"({"jsonrpc":"2.0","method":"cancel","params":{"id":1}})"
                     "\n");
  engine.requests.wait_for([](const HttpRequest& request) {
    return has_method(request, "DELETE") && request.path == "/v1/store/9b1f03aa5c7e2d41";
  });
  EXPECT_TRUE(client.is_ready());  // the next line is the response to this request, not to the query
}

TEST(Platform, CancelWithTheIdOfItsRequestGetsNoResponse) {
  HttpEngine engine(
      [](const HttpRequest& request) { return http_response(has_method(request, "DELETE") ? 204 : 202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(7, "lookup", kSelect);
  engine.requests.wait_for(is_poll);
  for (int i = 0; i < 2; ++i)
    client.socket.send(R"({"jsonrpc":"2.0","id":7,"method":"cancel"})"
                       "\n");
  engine.requests.wait_for([](const HttpRequest& request) { return has_method(request, "DELETE"); });
  EXPECT_TRUE(client.is_ready());
}

TEST(Platform, IncompleteResultIsNotReturned) {
  HttpEngine engine([](const HttpRequest& request) {
    // The first of two pages; the second cannot be fetched.
    return has_method(request, "POST") ? rows_response("a\tb\tc\n", 2) : http_response(500);
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "once", kSelect);
  EXPECT_TRUE(client.read_response().contains("error"));
}

TEST(Platform, DrainingEngineGetsNoNewRequests) {
  HttpEngine one([](const HttpRequest&) { return rows_response("1\t1\t1\n"); });
  HttpEngine two([](const HttpRequest&) { return rows_response("2\t2\t2\n"); });
  Broker broker({{"s-00000001", one.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(client.read_response()), "1\t1\t1\n");
  broker.change_log.push({server_entry("s-00000001", one.server.address(), "terminating"),
                          server_entry("s-00000002", two.server.address())});
  broker.change_log.wait_until_processed();
  for (int id = 2; id < 12; ++id) {
    client.send_request(id, "lookup", kSelect);
    EXPECT_EQ(result_body(client.read_response()), "2\t2\t2\n");
  }
  EXPECT_EQ(one.post_count(), 1U);
}

TEST(Platform, SigtermReportsNotReadyAndCompletesOpenRequests) {
  std::atomic<bool> done = false;
  HttpEngine engine(
      [&](const HttpRequest&) { return done ? rows_response("x\ty\tz\n") : http_response(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  EXPECT_TRUE(client.is_ready());
  client.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(is_poll);
  broker.program->send_signal(SIGTERM);
  broker.program->wait_for_log_line("phase: draining");
  Client late(broker.address);  // still accepted and served
  EXPECT_FALSE(late.is_ready());
  late.send_request(5, "lookup", kSelect, {{"txn", "00000000000000aa"}});
  done = true;
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  EXPECT_EQ(result_body(late.read_response()), "x\ty\tz\n");
  EXPECT_EQ(broker.program->wait_for_exit(), 0);
}

TEST(Platform, SighupSwitchesTheChangeLogAndKeepsOpenRequests) {
  std::atomic<bool> done = false;
  HttpEngine one([&](const HttpRequest&) { return done ? rows_response("1\t1\t1\n") : http_response(202); });
  HttpEngine two([](const HttpRequest&) { return rows_response("2\t2\t2\n"); });
  Broker broker({{"s-00000001", one.server.address()}});
  broker.change_log.wait_until_processed();
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect);
  one.requests.wait_for(is_poll);
  ChangeLog moved;  // continues the sequence numbers
  moved.push({server_entry("s-00000001", one.server.address())}, true);
  broker.config["changelog"] = moved.address();
  broker.config["peers_all"] = "127.0.0.1:9";
  for (int i = 0; i < 3; ++i) broker.reload(broker.config.dump());
  moved.wait_until_processed();
  broker.program->wait_for_log_line("a restart: peers_all");
  moved.push({server_entry("s-00000001", one.server.address(), "terminating"),
              server_entry("s-00000002", two.server.address())});
  moved.wait_until_processed();
  client.send_request(2, "lookup", kSelect, {{"txn", "00000000000000aa"}});
  EXPECT_EQ(result_body(client.read_response()), "2\t2\t2\n");
  done = true;
  EXPECT_EQ(result_body(client.read_response()), "1\t1\t1\n");
}

TEST(Platform, InvalidReloadIsIgnoredAndReloadDoesNotStopDraining) {
  std::atomic<bool> done = false;
  HttpEngine engine(
      [&](const HttpRequest&) { return done ? rows_response("x\ty\tz\n") : http_response(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(is_poll);
  broker.reload(R"({"listen": "127.0.0.1:0", "changelog": )");
  broker.program->wait_for_log_line("the configuration stays as it was: configuration: is not a JSON object");
  broker.change_log.push({server_entry("s-00000002", engine.server.address())});
  broker.change_log.wait_until_processed();  // still applied
  broker.program->send_signal(SIGTERM);
  broker.program->wait_for_log_line("phase: draining");
  broker.reload(broker.config.dump());
  broker.program->wait_for_log_line("the configuration was read again");
  done = true;
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  EXPECT_EQ(broker.program->wait_for_exit(), 0);
}

TEST(Platform, MalformedInputDoesNotAffectOtherClients) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client other(broker.address), malformed(broker.address);
  const std::pair<const char*, int> kInvalidLines[] = {
      {"{", -32700},
      {"[]", -32600},
      {R"({"jsonrpc":"2.0","id":-1,"method":"lookup"})", -32600},
      {R"({"jsonrpc":"2.0","id":1,"method":"nothing"})", -32601},
      {R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":{"txn":"../../etc","limit":9,"data":""}})",
       -32602},
      {R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":{"txn":"9b1f03aa5c7e2d41","limit":9,"data":"*"}})",
       -32602}};
  for (const auto& [line, code] : kInvalidLines) {
    malformed.socket.send(std::string(line) + "\n");
    EXPECT_EQ(malformed.read_response()["error"]["code"], code) << line;
  }
  malformed.socket.send(std::string(300 * 1024, 'x'));
  EXPECT_TRUE(malformed.socket.read_to_end());
  other.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(other.read_response()), "x\ty\tz\n");
}

// Guards against such a request being attributed to the first tenant and using up its share.
TEST(Platform, RequestWithoutTenantIsRejectedIfTenantsAreConfigured) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect, {{"team", nullptr}});
  EXPECT_EQ(client.read_response()["error"]["code"], -32602);
  EXPECT_EQ(engine.post_count(), 0U);
}

// Closing a connection with unread input resets it, and a reset may discard an error that the client has not
// read yet.
TEST(Platform, ClientCanReadTheErrorForAnOversizedLine) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  ASSERT_TRUE(client.socket.send(std::string(std::size_t{8} << 20, 'x')));
  EXPECT_EQ(client.read_response()["error"]["code"], -32600);
  EXPECT_TRUE(client.socket.read_to_end());
}

TEST(Platform, IdleAndIncompleteConnectionsAreClosedWithoutEvictingActiveClients) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});  // 256 descriptors leave room for 101 clients
  Client active(broker.address), incomplete(broker.address), idle(broker.address);
  active.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(active.read_response()), "x\ty\tz\n");
  incomplete.socket.send(R"({"jsonrpc":"2.0","id":1,"meth)");
  EXPECT_EQ(incomplete.read_response()["error"]["message"], "no whole request came");
  EXPECT_TRUE(incomplete.socket.read_to_end());
  EXPECT_TRUE(idle.socket.read_to_end());
  std::vector<Client> incomplete_clients;
  for (int i = 0; i < 200; ++i) incomplete_clients.emplace_back(broker.address).socket.send("{");
  Client late(broker.address);
  for (auto* client : {&active, &late}) {
    client->send_request(2, "lookup", kSelect,
                         {{"txn", client == &late ? "00000000000000aa" : "00000000000000bb"}});
    EXPECT_EQ(result_body(client->read_response()), "x\ty\tz\n");
  }
}

TEST(Platform, DeepNestingAndRepeatedErrorsDoNotAffectOtherClients) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client nesting(broker.address), repeating(broker.address), other(broker.address);
  nesting.socket.send(R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":)" + std::string(200'000, '[') +
                      std::string(200'000, ']') + "}\n");
  EXPECT_TRUE(nesting.read_response().contains("error"));
  for (int i = 0; i < 1000; ++i) repeating.socket.send("{}\n");
  int reads = 0;
  while (repeating.socket.read_more()) reads += 1;
  EXPECT_GT(reads, 0);
  other.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(other.read_response()), "x\ty\tz\n");
}

// Engines identify a query by its ticket alone, so a second request would get the rows of the first.
TEST(Platform, TicketOfAnOpenRequestIsRejectedForAnother) {
  HttpEngine engine([](const HttpRequest&) { return http_response(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client first(broker.address), second(broker.address);
  first.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(is_poll);
  second.send_request(1, "lookup", "SELECT b FROM sales_18.orders");
  EXPECT_TRUE(second.read_response().contains("error"));
  EXPECT_EQ(engine.post_count(), 1U);
}

TEST(Platform, TicketOfACompletedRequestIsRejectedForANewOne) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client first(broker.address), second(broker.address);
  first.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(first.read_response()), "x\ty\tz\n");
  second.send_request(1, "lookup", kSelect);  // under the same ticket
  EXPECT_TRUE(second.read_response().contains("error"));
  EXPECT_EQ(engine.post_count(), 1U);
}

// A connection that cannot be accepted for want of descriptors keeps the listener readable and would make the
// event loop spin.
TEST(Platform, WithoutFreeDescriptorsNewConnectionsAreRejectedAndOpenOnesServed) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 24);
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  std::vector<Socket> connections;
  for (int i = 0; i < 40; ++i) connections.push_back(Socket::connect_to(broker.address));
  EXPECT_TRUE(connections.back().read_to_end());
  client.send_request(2, "lookup", kSelect);
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
}

TEST(Platform, MalformedEngineResponseFailsOnlyItsRequest) {
  HttpEngine engine([](const HttpRequest&) { return "HTTP/9.9 what\r\n\r\n"; });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "once", kSelect);
  EXPECT_TRUE(client.read_response().contains("error"));
  EXPECT_TRUE(client.is_ready());
}

TEST(CommandLine, InvalidConfigurationIsReportedInOneLineThatNamesTheField) {
  const std::pair<json, const char*> kInvalidFields[] = {
      {{{"seed", "xyz"}}, "seed: is not a number in hex digits"},
      {{{"listen", "here"}}, "listen: is not an address with a port"},
      {{{"limits", {{"sockets", -1}}}}, "limits.sockets: is not a whole number"},
      {{{"settings", {{"balancers", 1}}}}, "settings: classes is missing"}};
  for (const auto& [invalid_field, expected_line] : kInvalidFields) {
    json config{
        {"listen", "127.0.0.1:0"}, {"changelog", "127.0.0.1:1"}, {"seed", "1"}, {"settings", settings()}};
    config.update(invalid_field);
    const auto file = write_temporary_file(config.dump());
    Program program({"check-config", "--config", file});
    program.wait_for_log_line(expected_line);
    EXPECT_NE(program.wait_for_exit(), 0);
    EXPECT_EQ(program.log_line_count(), 1U);
    ::unlink(file.c_str());
  }
}

}  // namespace
}  // namespace bellstair::test
