// The order in which the events of clients reach the reducer.
#include "app/client_events.hpp"

#include <gtest/gtest.h>

namespace bellstair::test {
namespace {
using namespace std::chrono_literals;
using app::ClientEvents;

core::Event request(core::ClientHandle client, std::size_t body_bytes = 0) {
  core::RequestArrived arrived;
  arrived.request.client = client;
  arrived.request.body.assign(body_bytes, 'x');
  return arrived;
}

// The client handles of the events, in order; those of cancelled requests are negative.
std::vector<int> take_clients(ClientEvents& client_events) {
  std::deque<core::Event> events;
  client_events.move_to(events);
  std::vector<int> clients;
  for (const auto& event : events) {
    if (const auto* arrived = std::get_if<core::RequestArrived>(&event))
      clients.push_back(static_cast<int>(arrived->request.client));
    if (const auto* cancelled = std::get_if<core::RequestCancelled>(&event))
      clients.push_back(-static_cast<int>(cancelled->client));
  }
  return clients;
}

// Guards against an order that is that of reading.
TEST(ClientEvents, AreSortedByTheirArrival) {
  ClientEvents events;
  events.add(request(1), 1000ms);
  events.set_arrival(0, {900ms, 980ms, 1});
  events.add(request(2), 1001ms);
  events.set_arrival(1, {900ms, 915ms, 2});
  EXPECT_EQ(take_clients(events), (std::vector<int>{2, 1}));
  EXPECT_TRUE(events.empty());
}

// Guards against requests of one key that are swapped because only the time of the last bytes of a connection
// is known.
TEST(ClientEvents, RequestsReadAtOnceFromOneConnectionAreSpreadOverTheTimeOfTheirArrival) {
  ClientEvents events;
  for (const core::ClientHandle client : {2, 4}) events.add(request(client), 1000ms);
  events.set_arrival(0, {600ms, 850ms, 2});
  for (const core::ClientHandle client : {1, 3, 5}) events.add(request(client), 1000ms);
  events.set_arrival(2, {600ms, 900ms, 1});
  EXPECT_EQ(take_clients(events), (std::vector<int>{1, 2, 3, 4, 5}));
}

// The same where the one connection brings only one request, and so the time of that one is known.
TEST(ClientEvents, ABatchDoesNotBeginBeforeOneThatTheSystemReportsFirst) {
  ClientEvents events;
  for (const core::ClientHandle client : {2, 3}) events.add(request(client), 1000ms);
  events.set_arrival(0, {600ms, 900ms, 2});
  events.add(request(1), 1000ms);
  events.set_arrival(2, {600ms, 700ms, 1});
  EXPECT_EQ(take_clients(events), (std::vector<int>{1, 2, 3}));
}

// The same where the connection was read in several turns.
TEST(ClientEvents, TurnsOfOneConnectionAreSpreadTogether) {
  ClientEvents events;
  for (const core::ClientHandle client : {1, 3}) events.add(request(client), 1000ms);
  events.set_arrival(0, {600ms, 900ms, 1});
  events.add(request(2), 1000ms);
  events.set_arrival(2, {600ms, 650ms, 2});
  for (const core::ClientHandle client : {4, 5}) events.add(request(client), 1000ms);
  events.set_arrival(3, {600ms, 900ms, 1});
  EXPECT_EQ(take_clients(events), (std::vector<int>{1, 2, 3, 4, 5}));
}

// Guards against an order that depends on the one in which events were read if all arrive at one time, as
// where the system doesn't tell when.
TEST(ClientEvents, AreInTheOrderOfTheSystemsReportsIfTheirArrivalIsTheSame) {
  ClientEvents events;
  events.add(request(2), 1000ms);
  events.set_arrival(0, {900ms, 900ms, 2});
  events.add(request(1), 1000ms);
  events.set_arrival(1, {900ms, 900ms, 1});
  EXPECT_EQ(take_clients(events), (std::vector<int>{1, 2}));
}

// Guards against a request that is run although its client has taken it back, because the two were swapped.
TEST(ClientEvents, CancellationStaysBehindItsRequest) {
  ClientEvents events;
  events.add(request(1), 1000ms);
  events.add(core::RequestCancelled{1}, 1000ms);
  events.set_arrival(0, {900ms, 900ms, 1});
  events.add(request(2), 1000ms);
  events.set_arrival(2, {900ms, 900ms, 2});
  events.add(core::RequestCancelled{2}, 1001ms);
  EXPECT_EQ(take_clients(events), (std::vector<int>{1, -1, 2, -2}));
}

// Guards against deadlines that begin later than a client's: no request was received before the span begins.
TEST(ClientEvents, DeadlinesBeginWithTheSpanInWhichARequestWasReceived) {
  ClientEvents events;
  events.add(request(1), 1000ms);
  events.add(request(2), 1000ms);
  events.set_arrival(0, {600ms, 900ms, 0});
  std::deque<core::Event> moved;
  events.move_to(moved);
  for (const auto& event : moved) EXPECT_EQ(std::get<core::RequestArrived>(event).received_at, 600ms);
}

// Guards against requests that pile up unprocessed: their size decides when no more is read.
TEST(ClientEvents, RequestBytesCountUntilTheEventsAreTaken) {
  ClientEvents events;
  events.add(request(1, 1000), 1ms);
  events.add(request(2, 500), 1ms);
  EXPECT_EQ(events.request_bytes(), 1500U);
  take_clients(events);
  EXPECT_EQ(events.request_bytes(), 0U);
}

}  // namespace
}  // namespace bellstair::test
