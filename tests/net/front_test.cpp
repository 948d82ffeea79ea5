// The platform front on its own: requests that arrive in pieces, and input that it rejects.
#include <gtest/gtest.h>

#include "front_harness.hpp"

namespace bellstair::test {
namespace {

const std::string kSelect = "SELECT a FROM sales_17.orders";
constexpr std::size_t kMaxClients = 64;
// Incomplete lines of this length are accepted, and 16 of them fill most of the memory for such lines.
constexpr std::size_t kLongPart = 256'000;
constexpr std::size_t kFillingClients = 16;

// A whole request, whose statement has at least `size` bytes.
std::string request_line(int id, std::size_t size = 0) {
  const json params{{"txn", ticket(static_cast<unsigned>(id))},
                    {"limit", 15000},
                    {"team", "acme"},
                    {"data", platform::to_base64(kSelect + std::string(size * 3 / 4, ' '))}};
  return json{{"jsonrpc", "2.0"}, {"id", id}, {"method", "lookup"}, {"params", params}}.dump() + "\n";
}

// The beginning of a request of `size` bytes, without its end.
std::string incomplete_request(int id, std::size_t size) {
  const auto begin =
      R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"method":"lookup","params":{"data":")";
  return begin + std::string(size - begin.size(), 'A');
}

// More of them than a connection may have.
std::string invalid_lines() {
  std::string lines;
  for (int i = 0; i < 100; ++i) lines += "{}\n";
  return lines;
}

// Clients that have sent an incomplete request each, which fill most of the memory for incomplete lines.
// `known`: they have sent a whole request before that. `other_bytes`: in the incomplete lines of other
// clients.
std::vector<Client> fill_memory(TestFront& test, bool known = false, std::size_t other_bytes = 0) {
  std::vector<Client> clients;
  for (std::size_t i = 0; i < kFillingClients; ++i) {
    auto& client = clients.emplace_back(test.front.address());
    if (known) client.socket.send(request_line(1));
    EXPECT_TRUE(test.send(client, incomplete_request(2, kLongPart)));
  }
  EXPECT_TRUE(test.wait_for_partial_bytes(kFillingClients * kLongPart + other_bytes));
  return clients;
}

// A client with request 1 open.
Client client_with_open_request(TestFront& test) {
  Client client(test.front.address());
  client.socket.send(request_line(1));
  EXPECT_TRUE(test.wait_for_requests(1));
  return client;
}

std::vector<Client>::iterator find_with_response(std::vector<Client>& clients) {
  return std::ranges::find_if(clients, [](Client& client) { return client.socket.has_unread_bytes(); });
}

// Guards against the loss of usual clients' requests while others fill the memory for incomplete lines: the
// line that was rejected was whichever came next, and whole requests after it were dropped without a
// response.
TEST(Front, RequestInPiecesIsReadWhileOtherClientsFillTheMemory) {
  for (const auto& [has_open_request, others_are_known] :
       {std::pair(true, false), {false, false}, {true, true}, {false, true}}) {
    TestFront test(kMaxClients);
    Client usual(test.front.address());
    std::size_t requests = 0;
    if (has_open_request) {
      usual.socket.send(request_line(1));
      ASSERT_TRUE(test.wait_for_requests(++requests));
    }
    auto others = fill_memory(test, others_are_known);
    if (others_are_known) requests += others.size();
    test.advance(100ms);
    const auto line = request_line(2, kLongPart);
    ASSERT_TRUE(test.send(usual, line.substr(0, line.size() / 2)));  // more than the rest of the memory
    ASSERT_TRUE(test.run_until([&] { return find_with_response(others) != others.end(); }));
    ASSERT_TRUE(test.send(usual, line.substr(line.size() / 2) + request_line(3)));
    ASSERT_TRUE(test.wait_for_requests(requests + 2));
    EXPECT_FALSE(usual.socket.has_unread_bytes());
  }
}

// Guards against the loss of a short request that is written slowly when long ones fill the memory all at
// once.
TEST(Front, ShortRequestInSlowPiecesIsReadWhileLongOnesFillTheMemoryAtOnce) {
  TestFront test(kMaxClients);
  Client slow(test.front.address());
  const auto line = request_line(1);
  constexpr std::size_t kPartBytes = 20;
  slow.socket.send(line.substr(0, kPartBytes));
  ASSERT_TRUE(test.wait_for_partial_bytes(kPartBytes));
  test.advance(1500ms);
  auto others = fill_memory(test, false, kPartBytes);
  ASSERT_TRUE(test.send(others.emplace_back(test.front.address()), incomplete_request(2, kLongPart)));
  ASSERT_TRUE(test.run_until([&] { return find_with_response(others) != others.end(); }));
  slow.socket.send(line.substr(kPartBytes));
  EXPECT_TRUE(test.wait_for_requests(1));
  EXPECT_FALSE(slow.socket.has_unread_bytes());
}

// Guards against silence towards a bad client whose incomplete line is rejected to make room.
TEST(Front, ClientsThatFillTheMemoryGetAnError) {
  TestFront test(kMaxClients);
  auto clients = fill_memory(test);
  Client last(test.front.address());
  ASSERT_TRUE(test.send(last, incomplete_request(2, kLongPart)));
  ASSERT_TRUE(test.run_until([&] { return find_with_response(clients) != clients.end(); }));
  auto& rejected = *find_with_response(clients);
  const auto response = test.read_response(rejected);
  EXPECT_EQ(response["error"]["code"], -32066);
  EXPECT_EQ(response["id"], 2);
  EXPECT_FALSE(rejected.socket.read_more());  // half-closed by the front
}

// Guards against a request without a response if its line has to be rejected to make room: the client that
// waits for another response learns which request it was, and its connection goes on.
TEST(Front, RequestRejectedToMakeRoomIsNamedAndLaterOnesAreRead) {
  TestFront test(kMaxClients);
  std::vector<Client> clients;
  for (std::size_t i = 1; i <= kFillingClients + 1; ++i) {
    auto& client = clients.emplace_back(test.front.address());
    client.socket.send(request_line(1));
    ASSERT_TRUE(test.wait_for_requests(i));
    ASSERT_TRUE(test.send(client, incomplete_request(2, kLongPart)));
  }
  ASSERT_TRUE(test.run_until([&] { return find_with_response(clients) != clients.end(); }));
  auto& client = *find_with_response(clients);
  const auto response = test.read_response(client);
  EXPECT_EQ(response["id"], 2);
  EXPECT_EQ(response["error"]["code"], -32066);
  client.socket.send("the rest\n" + request_line(3));
  ASSERT_TRUE(test.wait_for_requests(kFillingClients + 2));
  test.answer(kFillingClients + 2);
  EXPECT_EQ(test.read_response(client)["id"], 3);
}

// Other clients that send incomplete requests until a line of another client, whose beginning of `bytes` has
// been sent, is rejected to make room. `known`: they have sent a whole request before that, as the other
// client must have then.
std::vector<Client> reject_line_to_make_room(TestFront& test, std::size_t bytes, bool known) {
  EXPECT_TRUE(test.wait_for_partial_bytes(bytes));
  test.advance(500ms);
  std::vector<Client> clients;
  while (clients.size() <= kFillingClients && test.front.rejected_lines() == 0) {
    auto& client = clients.emplace_back(test.front.address());
    if (known) {
      const auto requests = test.handles;
      client.socket.send(request_line(1));
      EXPECT_TRUE(test.run_until([&] { return test.handles > requests; }));
      test.answer(test.handles);
      EXPECT_EQ(test.read_response(client)["id"], 1);
    }
    EXPECT_TRUE(test.send(client, incomplete_request(2, kLongPart)));
  }
  EXPECT_TRUE(test.run_until([&] { return test.front.rejected_lines() == 1; }));
  return clients;
}

// A whole request of `size` bytes or a little more, with its id at the end.
std::string request_line_with_last_id(int id, std::size_t size) {
  const auto line = request_line(id, size);
  const auto id_text = R"("id":)" + std::to_string(id) + ",";
  const auto id_at = line.find(id_text);
  return line.substr(0, id_at) +
         line.substr(id_at + id_text.size(), line.size() - id_at - id_text.size() - 2) + R"(,"id":)" +
         std::to_string(id) + "}\n";
}

// Guards against a request without an answer: its line is rejected before its id is received, and the
// response names no request.
TEST(Front, RequestRejectedBeforeItsIdIsReceivedIsNamedOnceItIs) {
  for (const bool has_open_request : {true, false}) {
    for (const bool is_too_long : {true, false}) {
      TestFront test(kMaxClients);
      Client client(test.front.address());
      std::size_t requests = 0;
      if (has_open_request) {
        client.socket.send(request_line(1));
        ASSERT_TRUE(test.wait_for_requests(++requests));
      }
      const auto line = request_line_with_last_id(2, is_too_long ? 2 * kLongPart : kLongPart);
      const auto first_part = line.size() - 10'000;
      ASSERT_TRUE(test.send(client, line.substr(0, first_part)));
      std::vector<Client> others;
      if (is_too_long) {
        ASSERT_TRUE(test.run_until([&] { return test.front.rejected_lines() == 1; }));
      } else {
        others = reject_line_to_make_room(test, first_part, has_open_request);
        if (has_open_request) requests += others.size();
      }
      EXPECT_FALSE(client.socket.has_unread_bytes());
      EXPECT_EQ(test.front.receives_request(), !is_too_long || !others.empty());
      ASSERT_TRUE(test.send(client, line.substr(first_part) + request_line(3)));
      const auto response = test.read_response(client);
      EXPECT_EQ(response["id"], 2) << has_open_request << is_too_long;
      EXPECT_EQ(response["error"]["code"], is_too_long ? -32600 : -32066);
      // Later requests are read, and there is no second response.
      ASSERT_TRUE(test.wait_for_requests(requests + 1));
      test.answer(requests + 1);
      EXPECT_EQ(test.read_response(client)["id"], 3);
    }
  }
}

// Guards against a shutdown that cuts off a rejected line before its id has been received.
TEST(Front, WaitsForTheIdOfARejectedLineBeforeAShutdown) {
  TestFront test(kMaxClients);
  auto client = client_with_open_request(test);
  const auto line = request_line_with_last_id(2, kLongPart);
  ASSERT_TRUE(test.send(client, line.substr(0, kLongPart)));
  reject_line_to_make_room(test, kLongPart, true);
  ASSERT_TRUE(test.wait_for_partial_bytes(0));  // the others have gone
  EXPECT_TRUE(test.front.receives_request());
  ASSERT_TRUE(test.send(client, line.substr(kLongPart)));
  EXPECT_EQ(test.read_response(client)["id"], 2);
  EXPECT_FALSE(test.front.receives_request());
}

// Guards against bad clients that are told nothing because the id that a response waits for never comes.
TEST(Front, RejectedLinesWithoutAnIdAreAnsweredInTime) {
  for (const bool goes_on_sending : {true, false}) {
    TestFront test;
    Client client(test.front.address());
    ASSERT_TRUE(test.send(client, "{\"data\":\"" + std::string(2 * kLongPart, 'A')));
    ASSERT_TRUE(test.run_until([&] { return test.front.rejected_lines() == 1; }));
    test.advance(900ms);
    EXPECT_FALSE(client.socket.has_unread_bytes());
    if (goes_on_sending) {
      ASSERT_TRUE(test.send(client, std::string(kLongPart, 'A')));
    }
    test.advance(200ms);
    const auto response = test.read_response(client);
    EXPECT_TRUE(response["id"].is_null());
    EXPECT_EQ(response["error"]["code"], -32600);
    EXPECT_FALSE(client.socket.read_more());  // half-closed by the front
  }
}

// The same for a line that was rejected to make room, whose client then stops.
TEST(Front, SilentClientWhoseLineWasRejectedToMakeRoomGetsAnError) {
  TestFront test(kMaxClients);
  Client client(test.front.address());
  const auto part = "{\"data\":\"" + std::string(kLongPart, 'A');
  ASSERT_TRUE(test.send(client, part));
  const auto others = reject_line_to_make_room(test, part.size(), false);
  test.advance(2s);
  const auto response = test.read_response(client);
  EXPECT_TRUE(response["id"].is_null());
  EXPECT_EQ(response["error"]["code"], -32066);
  EXPECT_FALSE(client.socket.read_more());
}

// Guards against a line that ends without an id and gets no response.
TEST(Front, RejectedLineThatEndsWithoutAnIdIsAnsweredAtItsEnd) {
  TestFront test;
  auto client = client_with_open_request(test);
  ASSERT_TRUE(
      test.send(client, "{\"data\":\"" + std::string(2 * kLongPart, 'A') + "\"}\n" + request_line(2)));
  EXPECT_TRUE(test.read_response(client)["id"].is_null());
  EXPECT_TRUE(test.wait_for_requests(2));
}

// Guards against whole requests that are dropped because an earlier line was too long.
TEST(Front, RequestsBehindATooLongLineAreAnswered) {
  TestFront test;
  auto client = client_with_open_request(test);
  ASSERT_TRUE(test.send(client, incomplete_request(2, 2 * kLongPart) + "\n" + request_line(3)));
  const auto error = test.read_response(client);
  EXPECT_EQ(error["id"], 2);
  EXPECT_EQ(error["error"]["code"], -32600);
  ASSERT_TRUE(test.wait_for_requests(2));
  test.answer(1);
  EXPECT_EQ(test.read_response(client)["id"], 1);
  test.answer(2);
  EXPECT_EQ(test.read_response(client)["id"], 3);
  client.socket.send(request_line(4));
  EXPECT_TRUE(test.wait_for_requests(3));
}

// Guards against a second response to a request whose id a rejected line repeats.
TEST(Front, RejectedLineWithTheIdOfAnOpenRequestIsNotNamed) {
  TestFront test;
  auto client = client_with_open_request(test);
  ASSERT_TRUE(test.send(client, incomplete_request(1, 2 * kLongPart)));
  EXPECT_TRUE(test.read_response(client)["id"].is_null());
}

// Guards against a connection that stays for good because its rejected line never ends.
TEST(Front, ConnectionWithAnEndlessLineEndsOnceItsOpenRequestIsAnswered) {
  TestFront test;
  auto client = client_with_open_request(test);
  ASSERT_TRUE(test.send(client, incomplete_request(2, 2 * kLongPart)));
  EXPECT_EQ(test.read_response(client)["id"], 2);
  test.answer(1);
  EXPECT_EQ(test.read_response(client)["id"], 1);
  EXPECT_FALSE(client.socket.read_more());
}

// Guards against requests that are dropped without a response after many invalid lines.
TEST(Front, RequestsAfterTooManyInvalidLinesAreRejectedUntilOpenOnesAreAnswered) {
  TestFront test;
  auto client = client_with_open_request(test);
  client.socket.send(invalid_lines() + request_line(2));
  auto response = test.read_response(client);
  while (response["id"].is_null()) response = test.read_response(client);
  EXPECT_EQ(response["id"], 2);
  EXPECT_EQ(response["error"]["code"], -32066);
  test.answer(1);
  EXPECT_EQ(test.read_response(client)["id"], 1);
  EXPECT_FALSE(client.socket.read_more());  // half-closed by the front
}

// Guards against a connection that stays for good if its last open request is cancelled, not answered.
TEST(Front, ConnectionWithTooManyInvalidLinesEndsWhenItsOpenRequestIsCancelled) {
  TestFront test;
  auto client = client_with_open_request(test);
  client.socket.send(invalid_lines());
  client.cancel(1);
  ASSERT_TRUE(test.run_until([&] { return test.count_events<core::RequestCancelled>() == 1; }));
  EXPECT_TRUE(client.socket.read_to_end());
}

// Guards against the loss of a request that its client writes slowly beside an open one, and of those behind
// it.
TEST(Front, KnownClientMayWriteARequestSlowly) {
  TestFront test;
  auto client = client_with_open_request(test);
  const auto line = request_line(2);
  client.socket.send(line.substr(0, 20));
  ASSERT_TRUE(test.wait_for_partial_bytes(20));
  for (int i = 0; i < 5; ++i) test.advance(1s);
  test.answer(1);
  EXPECT_EQ(test.read_response(client)["id"], 1);
  for (int i = 0; i < 5; ++i) test.advance(1s);
  client.socket.send(line.substr(20) + request_line(3));
  EXPECT_TRUE(test.wait_for_requests(3));
  EXPECT_FALSE(client.socket.has_unread_bytes());
}

// Guards against the loss of a first request in slow pieces, and against clients that stop in the middle of
// one.
TEST(Front, FirstRequestMayComeInSlowPiecesButNotStop) {
  TestFront test;
  Client slow(test.front.address()), stopped(test.front.address());
  const auto line = request_line(1);
  constexpr std::size_t kPartBytes = 20;
  stopped.socket.send(line.substr(0, kPartBytes));
  ASSERT_TRUE(test.wait_for_partial_bytes(kPartBytes));
  slow.socket.send(line.substr(0, kPartBytes));
  ASSERT_TRUE(test.wait_for_partial_bytes(2 * kPartBytes));
  test.advance(1500ms);
  slow.socket.send(line.substr(kPartBytes, kPartBytes));
  ASSERT_TRUE(test.wait_for_partial_bytes(3 * kPartBytes));
  test.advance(1500ms);
  EXPECT_EQ(test.read_response(stopped)["error"]["message"], "no whole request came");
  EXPECT_FALSE(stopped.socket.read_more());
  slow.socket.send(line.substr(2 * kPartBytes));
  EXPECT_TRUE(test.wait_for_requests(1));
  EXPECT_FALSE(slow.socket.has_unread_bytes());
}

// Guards against a shutdown that cuts off a request which is being received, or waits for one that never
// ends.
TEST(Front, ReportsARequestThatIsBeingReceivedWhileItsClientIsNotSilent) {
  TestFront test;
  auto client = client_with_open_request(test);
  EXPECT_FALSE(test.front.receives_request());
  const auto line = request_line(2);
  client.socket.send(line.substr(0, 20));
  ASSERT_TRUE(test.wait_for_partial_bytes(20));
  EXPECT_TRUE(test.front.receives_request());
  test.advance(1900ms);
  EXPECT_TRUE(test.front.receives_request());
  test.advance(200ms);
  EXPECT_FALSE(test.front.receives_request());
  client.socket.send(line.substr(20));
  ASSERT_TRUE(test.wait_for_requests(2));
  EXPECT_FALSE(test.front.receives_request());
}

// Guards against the end of a connection on which a request is being received, while idle ones could make
// room.
TEST(Front, ConnectionThatReceivesARequestIsClosedLastToMakeRoom) {
  TestFront test(2);
  Client writing(test.front.address()), idle(test.front.address());
  for (auto* client : {&writing, &idle}) {
    client->socket.send(request_line(1));
    ASSERT_TRUE(test.wait_for_requests(client == &writing ? 1 : 2));
    test.answer(client == &writing ? 1 : 2);
    EXPECT_EQ(test.read_response(*client)["id"], 1);
  }
  const auto line = request_line(2);
  writing.socket.send(line.substr(0, 20));
  ASSERT_TRUE(test.wait_for_partial_bytes(20));
  Client late(test.front.address());
  late.socket.send(request_line(1));
  ASSERT_TRUE(test.wait_for_requests(3));
  writing.socket.send(line.substr(20));
  EXPECT_TRUE(test.wait_for_requests(4));
  EXPECT_TRUE(idle.socket.read_to_end());
}

// Guards against usual clients that wait while the input of others, which is no use, is parsed.
TEST(Front, RequestsAreReadBeforeTheInputOfClientsThatSendUselessLines) {
  TestFront test;
  Client known(test.front.address()), useless(test.front.address()), fresh(test.front.address());
  known.socket.send(request_line(1));
  ASSERT_TRUE(test.wait_for_requests(1));
  useless.socket.send("{}\n");
  EXPECT_TRUE(test.read_response(useless).contains("error"));
  useless.socket.send("{}\n");
  known.socket.send(request_line(2));
  fresh.socket.send(request_line(1));
  ASSERT_TRUE(test.run_until_readable(net::ReadPriority::bulk, 1));
  ASSERT_TRUE(test.run_until_readable(net::ReadPriority::prompt, 2));
  test.read_clients(net::ReadPriority::prompt);
  EXPECT_EQ(test.count_events<core::RequestArrived>(), 3U);
  EXPECT_FALSE(useless.socket.has_unread_bytes());
  test.read_clients(net::ReadPriority::bulk);
  EXPECT_TRUE(test.read_response(useless).contains("error"));
}

// Guards against a large first request that is read after the useless input of others, and so after later
// requests of its key, and against later requests that wait although their client is known by then.
TEST(Front, LargeFirstRequestIsReadBeforeInputThatCanWait) {
  TestFront test;
  Client useless(test.front.address()), client(test.front.address());
  useless.socket.send("{}\n");
  EXPECT_TRUE(test.read_response(useless).contains("error"));
  useless.socket.send("{}\n");
  ASSERT_TRUE(test.run_until_readable(net::ReadPriority::bulk, 1));
  for (const std::size_t requests : {1U, 2U}) {
    client.socket.send(request_line(static_cast<int>(requests), 40'000));
    ASSERT_TRUE(test.run_reading_urgent_input_until(
        [&] { return test.count_events<core::RequestArrived>() == requests; }));
  }
  EXPECT_FALSE(useless.socket.has_unread_bytes());
}

// Guards against an error for a client that has sent its request in time, when others keep it from being
// read.
TEST(Front, ClientWhoseInputHasNotBeenReadIsNotSilent) {
  TestFront test;
  Client silent(test.front.address());
  silent.socket.send(request_line(1).substr(0, 20));
  ASSERT_TRUE(test.wait_for_partial_bytes(20));
  Client client(test.front.address());
  client.socket.send(request_line(1));
  ASSERT_TRUE(test.run_until_readable(net::ReadPriority::prompt, 1));
  test.advance(2s);
  EXPECT_EQ(test.read_response(silent)["error"]["message"], "no whole request came");
  EXPECT_TRUE(test.wait_for_requests(1));
  EXPECT_FALSE(client.socket.has_unread_bytes());
}

// Guards against requests of others that wait while those of a client are processed which takes all of them
// back, and against silence towards such a client.
TEST(Front, ClientThatCancelsMoreRequestsAtOnceThanCanBeOpenGetsAnErrorAndNoMoreRequestsThrough) {
  constexpr int kMaxOpenRequests = 32;
  TestFront test;
  const auto cancellation = [](int id) {
    return R"({"jsonrpc":"2.0","method":"cancel","params":{"id":)" + std::to_string(id) + "}}\n";
  };
  const auto cancelled_requests = [&](int count) {
    std::string lines;
    for (int id = 1; id <= count; ++id) lines += request_line(id) + cancellation(id);
    return lines;
  };
  Client usual(test.front.address()), flooding(test.front.address());
  usual.socket.send(cancelled_requests(kMaxOpenRequests));
  ASSERT_TRUE(
      test.run_until([&] { return test.count_events<core::RequestCancelled>() == kMaxOpenRequests; }));
  flooding.socket.send(cancelled_requests(40));
  const auto response = test.read_response(flooding);
  EXPECT_TRUE(response["id"].is_null());
  EXPECT_EQ(response["error"]["code"], -32600);
  EXPECT_FALSE(flooding.socket.read_more());  // half-closed by the front
  EXPECT_EQ(test.count_events<core::RequestCancelled>(), 2U * kMaxOpenRequests + 1);
  usual.socket.send(request_line(kMaxOpenRequests + 1));
  EXPECT_TRUE(test.wait_for_requests(2 * kMaxOpenRequests + 2));
  EXPECT_FALSE(usual.socket.has_unread_bytes());
}

// Guards against a request that is begun although its client has cancelled it long before, in input that is
// read in a later turn.
TEST(Front, CancellationIsReadInTheSameTurnAsItsRequest) {
  TestFront test;
  Client client(test.front.address());
  std::string lines;
  for (int id = 1; id <= 20; ++id) lines += request_line(id, 2'000);
  for (int id = 1; id <= 20; ++id)
    lines += R"({"jsonrpc":"2.0","method":"cancel","params":{"id":)" + std::to_string(id) + "}}\n";
  ASSERT_GT(lines.size(), 2 * net::Stream::kReadTurnBytes);
  client.socket.send(lines);
  ASSERT_TRUE(test.run_until_readable(net::ReadPriority::prompt, 1));
  test.read_queue.read_next(net::ReadPriority::prompt);
  EXPECT_EQ(test.count_events<core::RequestArrived>(), 20U);
  EXPECT_EQ(test.count_events<core::RequestCancelled>(), 20U);
}

// Guards against a request on a new connection that is closed before it is read, to make room, while there
// are connections that can't be used any more.
TEST(Front, EndedConnectionIsClosedToMakeRoomBeforeOneWithUnreadInput) {
  TestFront test(2);
  Client waiting(test.front.address()), ended(test.front.address());
  ended.socket.send(invalid_lines());
  ASSERT_TRUE(test.run_until([&] { return ended.socket.has_unread_bytes(); }));
  EXPECT_TRUE(ended.socket.read_to_end());
  waiting.socket.send(request_line(1));
  ASSERT_TRUE(test.run_until_readable(net::ReadPriority::prompt, 1));
  Client late(test.front.address());
  late.socket.send(request_line(1));
  ASSERT_TRUE(test.run_until_readable(net::ReadPriority::prompt, 2));
  EXPECT_TRUE(test.wait_for_requests(2));
}

// The same where no connection can be closed: the next one is accepted once the input has been read.
TEST(Front, ConnectionWithUnreadInputIsNotClosedToMakeRoom) {
  TestFront test(1);
  Client waiting(test.front.address());
  waiting.socket.send(request_line(1));
  ASSERT_TRUE(test.run_until_readable(net::ReadPriority::prompt, 1));
  Client late(test.front.address());
  late.socket.send(request_line(1));
  for (int i = 0; i < 10; ++i) test.loop.run(ev::ONCE);
  ASSERT_TRUE(test.wait_for_requests(1));
  test.answer(1);
  EXPECT_EQ(test.read_response(waiting)["id"], 1);
  EXPECT_TRUE(test.wait_for_requests(2));
}

// Guards against requests of known clients that are rejected because clients that have sent no request fill
// the memory for incomplete lines, each with a shorter one.
TEST(Front, RequestOfAKnownClientIsNotRejectedForShorterOnesOfClientsNotKnown) {
  constexpr std::size_t kOthers = 61, kOthersBytes = 68'000;
  TestFront test(kMaxClients);
  auto known = client_with_open_request(test);
  std::vector<Client> others;
  for (std::size_t i = 0; i < kOthers; ++i)
    ASSERT_TRUE(test.send(others.emplace_back(test.front.address()), incomplete_request(1, kOthersBytes)));
  ASSERT_TRUE(test.wait_for_partial_bytes(kOthers * kOthersBytes));
  const auto line = request_line(2, kLongPart);
  ASSERT_TRUE(test.send(known, line.substr(0, line.size() / 2)));
  ASSERT_TRUE(test.run_until([&] { return find_with_response(others) != others.end(); }));
  ASSERT_TRUE(test.send(known, line.substr(line.size() / 2)));
  EXPECT_TRUE(test.wait_for_requests(2));
  EXPECT_FALSE(known.socket.has_unread_bytes());
}

// Guards against a shutdown that waits for clients not known which begin lines when no client connects any
// more, and against one that cuts off a known client.
TEST(Front, LinesOfClientsNotKnownCountOnlyIfTheyWereBegunBeforeTheGivenTime) {
  constexpr std::size_t kPartBytes = 20;
  TestFront test;
  const auto limit = test.now + 1s;
  test.advance(900ms);
  const auto line = request_line(1);
  Client early(test.front.address());
  ASSERT_TRUE(test.send(early, line.substr(0, kPartBytes)));
  ASSERT_TRUE(test.wait_for_partial_bytes(kPartBytes));
  test.advance(200ms);
  ASSERT_TRUE(test.send(early, line.substr(kPartBytes, kPartBytes)));
  ASSERT_TRUE(test.wait_for_partial_bytes(2 * kPartBytes));
  EXPECT_TRUE(test.front.receives_request(limit));
  ASSERT_TRUE(test.send(early, line.substr(2 * kPartBytes)));
  ASSERT_TRUE(test.wait_for_requests(1));
  Client late(test.front.address());
  ASSERT_TRUE(test.send(late, line.substr(0, kPartBytes)));
  ASSERT_TRUE(test.wait_for_partial_bytes(kPartBytes));
  EXPECT_FALSE(test.front.receives_request(limit));
  EXPECT_TRUE(test.front.receives_request());
  ASSERT_TRUE(test.send(early, request_line(2).substr(0, kPartBytes)));
  ASSERT_TRUE(test.wait_for_partial_bytes(2 * kPartBytes));
  EXPECT_TRUE(test.front.receives_request(limit));
}

}  // namespace
}  // namespace bellstair::test
