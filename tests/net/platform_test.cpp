// The program on its sockets, between clients, engines and a change log of the platform's kind.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace bellstair::test {
namespace {

const std::string kSelect = "SELECT a FROM sales_17.orders";

bool is(const HttpRequest& call, const char* method) { return call.method == method; }
bool polls(const HttpRequest& call) {
  return call.method == "GET" && call.path.find("/0") != std::string::npos;
}

TEST(Platform, AQueryIsAskedForToItsEndAndItsPagesComeInOrder) {
  std::atomic<int> asked = 0;
  HttpEngine engine([&](const HttpRequest& call) -> std::optional<std::string> {
    if (is(call, "POST") || (polls(call) && ++asked < 3)) return http_response(202);
    if (polls(call)) return rows_response("a\tb\tc\n", 3);
    const auto page = call.path.substr(call.path.rfind('/') + 1);
    return http_response(200, page + "\t\xc3\xa9\t\n", "Result-Page: " + page + "\r\n");
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(7, "load", kSelect, {{"unique", "5c0f"}, {"item", "7f3a9c21e0b4d655"}, {"ram", 96}});
  const auto answer = client.read_response();
  EXPECT_EQ(answer["id"], 7);
  EXPECT_EQ(result_body(answer), "a\tb\tc\n1\t\xc3\xa9\t\n2\t\xc3\xa9\t\n");
  const auto post = engine.requests.wait_for([](const HttpRequest& c) { return is(c, "POST"); });
  EXPECT_EQ(post.body, kSelect);
  EXPECT_EQ(post.headers.at("X-Ticket"), "9b1f03aa5c7e2d41");
  EXPECT_EQ(post.headers.at("X-Queue"), "load");
  EXPECT_EQ(post.headers.at("X-Nonce"), "5c0f");
  EXPECT_LE(std::stoi(post.headers.at("X-Max-Ms")), 15000);
}

TEST(Platform, WhatTheModuleGivesUpIsRefusedAtOnceWithATimeToStayAway) {
  HttpEngine engine([](const HttpRequest&) { return http_response(503, {}, "X-Shed: 1\r\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect, {{"limit", 20000}});
  const auto before = std::chrono::steady_clock::now();
  const auto error = client.read_response()["error"];
  EXPECT_LT(std::chrono::steady_clock::now() - before, 10s);  // long before its deadline
  EXPECT_EQ(error["code"], -32066);
  EXPECT_EQ(error["data"]["later"], 500);
}

TEST(Platform, ALostConnectionAfterTheStatementIsNeverReplayedForAnUnsafeClass) {
  HttpEngine engine([](const HttpRequest&) { return std::nullopt; });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "once", "UPDATE sales_17.orders SET a = 1");
  const auto error = client.read_response()["error"];
  EXPECT_NE(error["code"], -32066);  // a refusal would promise that nothing ran
  EXPECT_EQ(engine.post_count(), 1U);
}

TEST(Platform, AResetEngineIsLeftForAnotherAndAKeyedRequestKeepsItsKey) {
  std::atomic<int> posts = 0;
  const auto answer = [&](const HttpRequest& call) -> std::optional<std::string> {
    if (is(call, "POST") && posts++ == 0) return std::nullopt;  // whichever comes first
    if (!is(call, "POST")) return http_response(500);           // and it does not know the query
    return rows_response("x\ty\tz\n");
  };
  HttpEngine one(answer), two(answer);
  Broker broker({{"s-00000001", one.server.address()}, {"s-00000002", two.server.address()}});
  Client client(broker.address);
  client.send_request(1, "load", "UPDATE sales_17.orders SET a = 1", {{"unique", "abc123"}});
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  const auto keyed = [](const HttpRequest& c) {
    return is(c, "POST") && c.headers.at("X-Nonce") == "abc123";
  };
  EXPECT_EQ(one.requests.count(keyed), 1U);
  EXPECT_EQ(two.requests.count(keyed), 1U);
}

TEST(Platform, AfterACancelNothingIsOwedAndTheEngineIsTold) {
  HttpEngine engine([](const HttpRequest& call) { return http_response(is(call, "DELETE") ? 204 : 202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(polls);
  client.socket.send(R"({"jsonrpc":"2.0","method":"cancel","params":{"id":1}})"
                     "\n");
  engine.requests.wait_for(
      [](const HttpRequest& c) { return is(c, "DELETE") && c.path == "/v1/store/9b1f03aa5c7e2d41"; });
  EXPECT_TRUE(client.is_ready());  // the next line on the connection answers this, not the query
}

TEST(Platform, ACancelUnderTheRequestsOwnIdGetsNoAnswer) {
  HttpEngine engine([](const HttpRequest& call) { return http_response(is(call, "DELETE") ? 204 : 202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(7, "lookup", kSelect);
  engine.requests.wait_for(polls);
  for (int i = 0; i < 2; ++i)
    client.socket.send(R"({"jsonrpc":"2.0","id":7,"method":"cancel"})"
                       "\n");
  engine.requests.wait_for([](const HttpRequest& c) { return is(c, "DELETE"); });
  EXPECT_TRUE(client.is_ready());
}

TEST(Platform, AnAnswerThatCannotBeCompletedIsNeverServedInPart) {
  HttpEngine engine([](const HttpRequest& call) {
    return is(call, "POST") ? rows_response("a\tb\tc\n", 2) : http_response(500);  // its pages are lost
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "once", kSelect);
  EXPECT_TRUE(client.read_response().contains("error"));
}

TEST(Platform, ADrainingEngineGetsNothingNew) {
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

TEST(Platform, SigtermTurnsHealthRedAndFinishesWhatWasTaken) {
  std::atomic<bool> done = false;
  HttpEngine engine(
      [&](const HttpRequest&) { return done ? rows_response("x\ty\tz\n") : http_response(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  EXPECT_TRUE(client.is_ready());
  client.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(polls);
  broker.program->send_signal(SIGTERM);
  broker.program->wait_for_log_line("phase: draining");
  Client late(broker.address);  // still accepted, and served
  EXPECT_FALSE(late.is_ready());
  late.send_request(5, "lookup", kSelect, {{"txn", "00000000000000aa"}});
  done = true;
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  EXPECT_EQ(result_body(late.read_response()), "x\ty\tz\n");
  EXPECT_EQ(broker.program->wait_for_exit(), 0);
}

TEST(Platform, SighupFollowsTheChangeLogAndKeepsWhatWasTaken) {
  std::atomic<bool> done = false;
  HttpEngine one([&](const HttpRequest&) { return done ? rows_response("1\t1\t1\n") : http_response(202); });
  HttpEngine two([](const HttpRequest&) { return rows_response("2\t2\t2\n"); });
  Broker broker({{"s-00000001", one.server.address()}});
  broker.change_log.wait_until_processed();
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect);
  one.requests.wait_for(polls);
  ChangeLog moved;  // numbering continues there
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

TEST(Platform, SighupWithABadFileChangesNothingAndNeitherDoesOneWhileDraining) {
  std::atomic<bool> done = false;
  HttpEngine engine(
      [&](const HttpRequest&) { return done ? rows_response("x\ty\tz\n") : http_response(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(polls);
  broker.reload(R"({"listen": "127.0.0.1:0", "changelog": )");
  broker.program->wait_for_log_line("the configuration stays as it was: configuration: is not a JSON object");
  broker.change_log.push({server_entry("s-00000002", engine.server.address())});
  broker.change_log.wait_until_processed();  // still followed
  broker.program->send_signal(SIGTERM);
  broker.program->wait_for_log_line("phase: draining");
  broker.reload(broker.config.dump());
  broker.program->wait_for_log_line("the configuration was read again");
  done = true;
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  EXPECT_EQ(broker.program->wait_for_exit(), 0);
}

TEST(Platform, BadInputHarmsNobodyElse) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client good(broker.address), bad(broker.address);
  const std::pair<const char*, int> kBad[] = {
      {"{", -32700},
      {"[]", -32600},
      {R"({"jsonrpc":"2.0","id":-1,"method":"lookup"})", -32600},
      {R"({"jsonrpc":"2.0","id":1,"method":"nothing"})", -32601},
      {R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":{"txn":"../../etc","limit":9,"data":""}})",
       -32602},
      {R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":{"txn":"9b1f03aa5c7e2d41","limit":9,"data":"*"}})",
       -32602}};
  for (const auto& [line, code] : kBad) {
    bad.socket.send(std::string(line) + "\n");
    EXPECT_EQ(bad.read_response()["error"]["code"], code) << line;
  }
  bad.socket.send(std::string(300 * 1024, 'x'));
  EXPECT_TRUE(bad.socket.read_to_end());
  good.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(good.read_response()), "x\ty\tz\n");
}

// Taken for the first tenant's, it would use up the share of that.
TEST(Platform, ARequestOfNoTenantIsNobodysWhereThereAreTenants) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect, {{"team", nullptr}});
  EXPECT_EQ(client.read_response()["error"]["code"], -32602);
  EXPECT_EQ(engine.post_count(), 0U);
}

// What is said to a client that still sends must not be reset away with what it sent.
TEST(Platform, AnEndlessLineGetsAnErrorThatItsClientCanRead) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client bad(broker.address);
  ASSERT_TRUE(bad.socket.send(std::string(std::size_t{8} << 20, 'x')));
  EXPECT_EQ(bad.read_response()["error"]["code"], -32600);
  EXPECT_TRUE(bad.socket.read_to_end());
}

TEST(Platform, SilentClientsAndHalfRequestsAreSentAwayAndTakeNoUsualClientsPlace) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});  // 256 descriptors: room for 101 clients
  Client usual(broker.address), half(broker.address), silent(broker.address);
  usual.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(usual.read_response()), "x\ty\tz\n");
  half.socket.send(R"({"jsonrpc":"2.0","id":1,"meth)");
  EXPECT_EQ(half.read_response()["error"]["message"], "no whole request came");
  EXPECT_TRUE(half.socket.read_to_end());
  EXPECT_TRUE(silent.socket.read_to_end());
  std::vector<Client> crowd;
  for (int i = 0; i < 200; ++i) crowd.emplace_back(broker.address).socket.send("{");
  Client late(broker.address);
  for (auto* client : {&usual, &late}) {
    client->send_request(2, "lookup", kSelect,
                         {{"txn", client == &late ? "00000000000000aa" : "00000000000000bb"}});
    EXPECT_EQ(result_body(client->read_response()), "x\ty\tz\n");
  }
}

TEST(Platform, ALineThatNestsWithoutEndAndAClientThatNeverLearnsHarmNobody) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client deep(broker.address), stubborn(broker.address), good(broker.address);
  deep.socket.send(R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":)" + std::string(200'000, '[') +
                   std::string(200'000, ']') + "}\n");
  EXPECT_TRUE(deep.read_response().contains("error"));
  for (int i = 0; i < 1000; ++i) stubborn.socket.send("{}\n");
  int told = 0;
  while (stubborn.socket.read_more()) told += 1;
  EXPECT_GT(told, 0);
  good.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(good.read_response()), "x\ty\tz\n");
}

// Engines know a query by its id alone, and would answer the second with the rows of the first.
TEST(Platform, TheIdOfAnOpenRequestIsNotTakenForAnother) {
  HttpEngine engine([](const HttpRequest&) { return http_response(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client one(broker.address), two(broker.address);
  one.send_request(1, "lookup", kSelect);
  engine.requests.wait_for(polls);
  two.send_request(1, "lookup", "SELECT b FROM sales_18.orders");
  EXPECT_TRUE(two.read_response().contains("error"));
  EXPECT_EQ(engine.post_count(), 1U);
}

TEST(Platform, TheIdOfAnAnsweredRequestIsNotTakenForANewOne) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client one(broker.address), two(broker.address);
  one.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(one.read_response()), "x\ty\tz\n");
  two.send_request(1, "lookup", kSelect);  // under the same id
  EXPECT_TRUE(two.read_response().contains("error"));
  EXPECT_EQ(engine.post_count(), 1U);
}

// A connection left waiting for want of descriptors would wake the loop for ever.
TEST(Platform, OutOfDescriptorsItTurnsAwayWhatComesAndServesTheRest) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 24);
  Client client(broker.address);
  client.send_request(1, "lookup", kSelect);
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  std::vector<Socket> crowd;
  for (int i = 0; i < 40; ++i) crowd.push_back(Socket::connect_to(broker.address));
  EXPECT_TRUE(crowd.back().read_to_end());
  client.send_request(2, "lookup", kSelect);
  EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
}

TEST(Platform, AnEngineThatTalksNonsenseIsAnErrorAndNoMore) {
  HttpEngine engine([](const HttpRequest&) { return "HTTP/9.9 what\r\n\r\n"; });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.send_request(1, "once", kSelect);
  EXPECT_TRUE(client.read_response().contains("error"));
  EXPECT_TRUE(client.is_ready());
}

TEST(CommandLine, ABadConfigurationIsOneLineThatNamesTheField) {
  const std::pair<json, const char*> kBad[] = {
      {{{"seed", "xyz"}}, "seed: is not a number in hex digits"},
      {{{"listen", "here"}}, "listen: is not an address with a port"},
      {{{"limits", {{"sockets", -1}}}}, "limits.sockets: is not a whole number"},
      {{{"settings", {{"balancers", 1}}}}, "settings: classes is missing"}};
  for (const auto& [change, said] : kBad) {
    json config{
        {"listen", "127.0.0.1:0"}, {"changelog", "127.0.0.1:1"}, {"seed", "1"}, {"settings", settings()}};
    config.update(change);
    const auto file = write_temporary_file(config.dump());
    Program program({"check-config", "--config", file});
    program.wait_for_log_line(said);
    EXPECT_NE(program.wait_for_exit(), 0);
    EXPECT_EQ(program.log_line_count(), 1U);
    ::unlink(file.c_str());
  }
}

}  // namespace
}  // namespace bellstair::test
