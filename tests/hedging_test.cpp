// Tests of hedged attempts, of retries of stalled attempts, and of decisions by estimates of work and memory.
#include <gtest/gtest.h>

#include "gateway_harness.hpp"

namespace heronwell::test {
namespace {

Settings hedging_settings() {
  Settings settings = base_settings();
  settings.can_hedge = true;
  return settings;
}

// Completes enough requests that the work budget allows hedged attempts. Leaves no attempt in flight.
void fill_hedging_budget(GatewayHarness& driver, ClassIndex class_index = 0) {
  for (RequestId id = 1; id <= 20; ++id) {
    driver.submit_request(id, class_index);
    driver.end_attempt(id, 0, driver.sends.back().engine, AttemptStatus::served);
  }
}

// Engine of the request's given attempt; 0: there is no such attempt.
EngineId engine_of_attempt(const GatewayHarness& driver, RequestId id, int attempt) {
  for (const auto& send : driver.sends) {
    if (send.request == id && attempt-- == 0) return send.engine;
  }
  return 0;
}

TEST(Hedging, AnAttemptFarOverdueIsHedgedOnAnotherEngineOnlyIfAllowed) {
  for (const bool allowed : {true, false}) {
    Settings settings = hedging_settings();
    settings.can_hedge = allowed;
    GatewayHarness driver(settings);
    driver.update_membership({engine_entry(7), engine_entry(8)});
    fill_hedging_budget(driver);
    driver.submit_request(50, 0);
    driver.run_until(driver.now + 500ms);
    ASSERT_EQ(driver.sends_for_request(50), allowed ? 2 : 1);
    if (allowed) {
      EXPECT_NE(engine_of_attempt(driver, 50, 0), engine_of_attempt(driver, 50, 1));
    }
  }
}

TEST(Hedging, TheFirstResponseClosesTheRequestAndTheOtherAttemptIsCancelled) {
  for (const AttemptIndex first_to_respond : {AttemptIndex{0}, AttemptIndex{1}}) {
    GatewayHarness driver(hedging_settings());
    driver.update_membership({engine_entry(7), engine_entry(8)});
    fill_hedging_budget(driver);
    driver.submit_request(50, 0);
    driver.run_until(driver.now + 500ms);
    ASSERT_EQ(driver.sends_for_request(50), 2);
    driver.end_attempt(50, first_to_respond, engine_of_attempt(driver, 50, first_to_respond),
                       AttemptStatus::served);
    const std::vector<std::pair<RequestId, AttemptIndex>> cancelled_attempts{
        {50, static_cast<AttemptIndex>(1 - first_to_respond)}};
    EXPECT_EQ(driver.cancelled_attempts, cancelled_attempts);
    driver.end_attempt(50, cancelled_attempts[0].second,
                       engine_of_attempt(driver, 50, cancelled_attempts[0].second), AttemptStatus::cancelled);
    driver.run_until(driver.now + 6s);
    EXPECT_EQ(driver.sends_for_request(50), 2);
    EXPECT_EQ(driver.error_replies(50), 0) << "the client has its response";
  }
}

TEST(Hedging, AFailedAttemptNeitherEndsNorQueuesTheRequestWhileTheOtherRuns) {
  for (const auto status :
       {AttemptStatus::error, AttemptStatus::connection_reset, AttemptStatus::query_dropped,
        AttemptStatus::rejected, AttemptStatus::cancelled}) {
    Settings settings = hedging_settings();
    settings.max_attempts = 2;
    GatewayHarness driver(settings);
    driver.update_membership({engine_entry(7), engine_entry(8)});
    fill_hedging_budget(driver);
    driver.submit_request(50, 0);
    driver.run_until(driver.now + 500ms);
    ASSERT_EQ(driver.sends_for_request(50), 2);
    driver.end_attempt(50, 1, engine_of_attempt(driver, 50, 1), status);
    EXPECT_EQ(driver.error_replies(50), 0);
    EXPECT_EQ(driver.gateway.class_stats(0).queued, 0U);
    EXPECT_EQ(driver.gateway.class_stats(0).running_threads, 1U);
    driver.end_attempt(50, 0, engine_of_attempt(driver, 50, 0), AttemptStatus::error);
    EXPECT_EQ(driver.error_replies(50), 1) << "no attempt is left";
  }
}

TEST(Hedging, TheAttemptLimitAndTheRetryBudgetCountHedgedAttempts) {
  Settings settings = hedging_settings();
  settings.max_attempts = 2;
  settings.retry_budget = RetryBudget{60s, 1, 0};
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  fill_hedging_budget(driver);
  driver.submit_request(50, 0);
  driver.submit_request(51, 0);
  driver.run_until(driver.now + 4s);
  EXPECT_EQ(driver.sends_for_request(50) + driver.sends_for_request(51), 3) << "one further attempt in all";
  for (const RequestId id : {50U, 51U}) EXPECT_LE(driver.sends_for_request(id), 2);
}

TEST(Hedging, UnsafeQueriesAreNotHedgedAndKeyedOnesStayInTheirDeduplicationScope) {
  GatewayHarness driver(hedging_settings());
  driver.update_membership({engine_entry(7, 0), engine_entry(8, 1)});
  fill_hedging_budget(driver, 1);
  for (RequestId id = 21; id <= 40; ++id) {
    driver.submit_request(id, 2);
    driver.end_attempt(id, 0, driver.sends.back().engine, AttemptStatus::served);
  }
  driver.submit_request(50, 1);
  driver.submit_request(51, 2);
  driver.run_until(driver.now + 4900ms);
  EXPECT_EQ(driver.sends_for_request(50), 1);
  EXPECT_EQ(driver.sends_for_request(51), 1) << "the only engine of its zone has it already";
}

TEST(Hedging, ARequestWithTwoLostAttemptsIsSentAThirdTime) {
  GatewayHarness driver(hedging_settings());
  driver.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  fill_hedging_budget(driver);
  driver.submit_request(50, 0);
  driver.run_until(driver.now + 4s);
  ASSERT_EQ(driver.sends_for_request(50), 3);
  EXPECT_EQ(driver.cancelled_attempts.front(), (std::pair<RequestId, AttemptIndex>{50, 0}))
      << "at most two attempts are in flight";
}

// Guards against overload by hedging: a hedged attempt for every slow query would double the load just when
// the fleet has no capacity for it.
TEST(Hedging, HedgedAttemptsAreLimitedToAShareOfTheRequestedWork) {
  GatewayHarness driver(hedging_settings());
  driver.update_membership({engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10)});
  for (RequestId id = 1; id <= 8; ++id) driver.submit_request(id, 0);
  driver.run_until(driver.now + 4s);
  std::size_t hedged_attempts = 0;
  for (RequestId id = 1; id <= 8; ++id)
    hedged_attempts += static_cast<std::size_t>(driver.sends_for_request(id) - 1);
  EXPECT_EQ(hedged_attempts, 1U) << "a fifth of eight queries' work";
}

Arrival arrival_with_estimates(RequestId id, Time work, double memory_mb = 0) {
  Arrival arrival;
  arrival.request = id;
  arrival.time_left = 5s;
  arrival.estimated_work = work;
  arrival.estimated_memory_mb = memory_mb;
  return arrival;
}

// Guards against large queries that displace many small ones: one with many times the usual work took the
// capacity of several, and half of all report queries were rejected.
TEST(WorkEstimates, TheLargestQueriesAreRejectedFirstUnderOverload) {
  Settings settings = base_settings();
  settings.classes.resize(1);
  settings.load_fields = {LoadField::inflight};
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  const auto run_queries = [&driver](RequestId first_id, double inflight) {
    for (RequestId id = first_id; id < first_id + 60; ++id) {
      driver.handle_at(driver.now, {arrival_with_estimates(id, 100ms)});
      if (driver.sends_for_request(id) == 1) {
        AttemptResult result;
        result.request = id;
        result.engine = engine_of_attempt(driver, id, 0);
        result.latency = 100ms;
        result.request_closed = true;
        result.load = {inflight};
        driver.handle_at(driver.now, {result});
      }
      driver.run_until(driver.now + 100ms);
    }
  };
  run_queries(1, 1);
  driver.handle_at(driver.now, {arrival_with_estimates(500, 400ms)});
  EXPECT_EQ(driver.error_replies(500), 0) << "no overload";
  driver.end_attempt(500, 0, engine_of_attempt(driver, 500, 0), AttemptStatus::served);
  run_queries(101, 5.5);
  driver.handle_at(driver.now, {arrival_with_estimates(501, 400ms), arrival_with_estimates(502, 100ms)});
  EXPECT_EQ(driver.error_replies(501), 1);
  EXPECT_EQ(driver.error_replies(502), 0);
}

TEST(WorkEstimates, AQueryThatTakesLongerThanItsClientWaitsIsRejectedAtOnce) {
  GatewayHarness driver(base_settings());
  driver.update_membership({engine_entry(7), engine_entry(8)});
  for (RequestId id = 1; id <= 40; ++id) {
    driver.handle_at(driver.now, {arrival_with_estimates(id, 100ms)});
    driver.end_attempt(id, 0, engine_of_attempt(driver, id, 0), AttemptStatus::served, 400ms);
  }
  driver.handle_at(driver.now, {arrival_with_estimates(50, 3s)});
  EXPECT_EQ(driver.rejections[50], 1);
}

// Guards against overload in slow start: it is caused by work, and one query may have many times the usual.
TEST(WorkEstimates, AnEngineInSlowStartIsChargedTheWorkOfTheQueryItself) {
  for (const Time work : {100ms, 2000ms}) {
    Settings settings = base_settings();
    settings.classes.resize(1);
    settings.classes[0].request_timeout = 60s;
    GatewayHarness driver(settings);
    driver.update_membership({engine_entry(7)});
    for (RequestId id = 1; id <= 40; ++id) {
      driver.handle_at(driver.now, {arrival_with_estimates(id, 100ms)});
      driver.end_attempt(id, 0, engine_of_attempt(driver, id, 0), AttemptStatus::served);
    }
    auto new_engine = engine_entry(8);
    new_engine.last_start = driver.now;
    driver.update_membership({new_engine});
    driver.run_until(driver.now + 1s);
    auto arrival = arrival_with_estimates(50, work);
    arrival.time_left = 60s;
    driver.handle_at(driver.now, {arrival});
    driver.run_until(driver.now + 300ms);
    EXPECT_EQ(driver.sends_for_request(50), work == 2s ? 0 : 1);
  }
}

// Guards against overload in slow start: small queries were charged less than the overload rule counts, and
// the usual work of their class came from served queries only, while large ones were rejected. A new engine
// was sent 4.5 times the work that it could do.
TEST(WorkEstimates, SmallQueriesAreChargedTheUsualWorkOfTheirClassInSlowStart) {
  Settings settings = base_settings();
  settings.classes.resize(1);
  settings.gateways = 20;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7)});
  // One query in five is large and is never served. 100 ms on average.
  const auto request = [&driver](RequestId id) {
    const Time work = id % 5 == 0 ? 400ms : 25ms;
    driver.handle_at(driver.now, {arrival_with_estimates(id, work)});
    if (driver.sends_for_request(id) == 0) return driver.handle_at(driver.now, {RequestCancelled{id}});
    if (id % 5 != 0) driver.end_attempt(id, 0, engine_of_attempt(driver, id, 0), AttemptStatus::served, work);
    if (id % 5 == 0) driver.handle_at(driver.now, {RequestCancelled{id}});
    if (id % 5 == 0) driver.end_attempt(id, 0, engine_of_attempt(driver, id, 0), AttemptStatus::cancelled);
    return std::vector<Action>{};
  };
  for (RequestId id = 1; id <= 200; ++id) request(id);
  auto new_engine = engine_entry(8);
  new_engine.last_start = driver.now;
  driver.update_membership({new_engine});
  for (RequestId id = 1000; id < 3000; ++id) {
    driver.run_until(driver.now + 5ms);
    request(id);
  }
  // A twentieth of 0.8 x 2.5 x 0.4 to 1 x 0.85 x 4 core-seconds a second, for ten seconds, is 2.4; chance may
  // add half.
  EXPECT_LE(driver.sends_to_engine(8) * 0.1, 3.6);
  EXPECT_GT(driver.sends_to_engine(8), 0);
}

TEST(WorkEstimates, AQueuedQueryIsRejectedWhenItsResponseWouldBeTooLate) {
  for (const Time work : {100ms, 30ms}) {  // of the usual size; small, so it may wait longer
    Settings settings = base_settings();
    settings.classes.resize(1);
    GatewayHarness driver(settings);
    driver.update_membership({engine_entry(7)});
    for (RequestId id = 1; id <= 60; ++id) {
      driver.handle_at(driver.now, {arrival_with_estimates(id, 100ms)});
      driver.end_attempt(id, 0, engine_of_attempt(driver, id, 0), AttemptStatus::served, 250ms);
    }
    driver.update_membership({});
    driver.handle_at(driver.now, {arrival_with_estimates(70, work)});
    driver.run_until(driver.now + 700ms);
    EXPECT_EQ(driver.error_replies(70), work == 100ms ? 1 : 0);
  }
}

// Guards against overload that is not detected: without load reports and peer messages nothing showed it.
TEST(WithoutLoadReports, SlowResponsesShowOverloadAndAFloodAboveItsShareIsRejected) {
  for (const bool slow : {false, true}) {
    Settings settings = base_settings();
    settings.classes.resize(1);
    settings.over_share_value = 0.1;
    settings.tenants = {{"calm", 0.5, 5}, {"flood", 0.5, 5}};
    GatewayHarness driver(settings);
    driver.update_membership({engine_entry(7), engine_entry(8)});
    RequestId id = 0;
    const auto request = [&](std::uint32_t tenant, Time latency) {
      Arrival arrival;
      arrival.request = ++id;
      arrival.tenant = tenant;
      arrival.time_left = 5s;
      driver.handle_at(driver.now, {arrival});
      if (driver.sends_for_request(id) == 1)
        driver.end_attempt(id, 0, engine_of_attempt(driver, id, 0), AttemptStatus::served, latency);
    };
    for (int count = 0; count < 60; ++count) {
      request(0, 100ms);
      driver.run_until(driver.now + 200ms);
    }
    for (int count = 0; count < 20; ++count) request(1, slow ? 400ms : 100ms);
    EXPECT_EQ(driver.error_replies(id), slow ? 1 : 0);
  }
}

TEST(WithoutLoadReports, AFullEngineIsEjectedAndItsAttemptsAreCancelled) {
  GatewayHarness driver(base_settings());
  driver.update_membership({engine_entry(7)});
  driver.submit_request(1, 0);
  driver.submit_request(2, 0);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  driver.end_attempt(2, 0, 7, AttemptStatus::rejected);
  EXPECT_EQ(driver.cancelled_attempts, (std::vector<std::pair<RequestId, AttemptIndex>>{{1, 0}}));
  EXPECT_DOUBLE_EQ(driver.gateway.total_thread_budget(), 8) << "of the other engine only";
}

// Guards against lost responses that stop hedging: their attempts counted as running until their deadlines,
// so the fleet load that all gateways use rose, and hedging stopped just when it was needed.
TEST(Hedging, UnderOverloadAnOverdueAttemptIsCancelledAndRetriedInstead) {
  for (const bool progress_reported : {false, true}) {  // an attempt with progress reports runs
    Settings settings = hedging_settings();
    settings.progress_interval = 10s;
    settings.load_fields = {LoadField::inflight};
    GatewayHarness driver(settings);
    driver.update_membership({engine_entry(7), engine_entry(8)});
    for (RequestId id = 1; id <= 40; ++id) {
      driver.submit_request(id, 0);
      AttemptResult result;
      result.request = id;
      result.engine = driver.sends.back().engine;
      result.latency = 100ms;
      result.request_closed = true;
      result.load = {7};
      driver.handle_at(driver.now, {result});
    }
    driver.submit_request(50, 0);
    ASSERT_EQ(driver.sends_for_request(50), 1);
    driver.run_until(driver.now + 100ms);
    if (progress_reported)
      driver.handle_at(driver.now,
                       {ProgressReport{50, 0, driver.sends.back().engine, ProgressKind::progress, 0.5}});
    driver.run_until(driver.now + 380ms);
    EXPECT_TRUE(driver.cancelled_attempts.empty());
    driver.run_until(driver.now + 250ms);
    EXPECT_EQ(driver.sends_for_request(50), 1) << "not hedged";
    EXPECT_EQ(driver.cancelled_attempts.size(), progress_reported ? 0U : 1U);
    if (progress_reported) continue;
    driver.end_attempt(50, 0, engine_of_attempt(driver, 50, 0), AttemptStatus::cancelled);
    EXPECT_EQ(driver.sends_for_request(50) + static_cast<int>(driver.gateway.class_stats(0).queued), 2)
        << "retried, or queued until there is capacity";
  }
}

TEST(WorkEstimates, SmallerQueriesOfLowerPriorityClassesAreExecutedFirst) {
  Settings settings = base_settings();
  settings.priorities = true;
  settings.classes[1].idempotency = Idempotency::safe;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  std::vector<int> priorities;
  const auto request = [&](RequestId id, Time work) {
    auto arrival = arrival_with_estimates(id, work);
    arrival.class_index = 1;
    for (const auto& action : driver.handle_at(driver.now, {arrival}))
      if (const auto* limits = std::get_if<ExecutionLimits>(&action)) priorities.push_back(limits->priority);
    driver.end_attempt(id, 0, engine_of_attempt(driver, id, 0), AttemptStatus::served);
  };
  for (RequestId id = 1; id <= 30; ++id) request(id, 100ms);
  priorities.clear();
  request(40, 20ms);
  request(41, 100ms);
  request(42, 280ms);
  EXPECT_EQ(priorities, (std::vector<int>{2, 1, 0}));
}

TEST(MemoryReservations, EstimatesAreCorrectedByTheNeedsReportedInResponses) {
  Settings settings = base_settings();
  settings.memory_reservations = true;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  double reserved_mb = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (const auto& action : driver.handle_at(driver.now, {arrival_with_estimates(id, 100ms, 50)}))
      if (const auto* limits = std::get_if<ExecutionLimits>(&action)) reserved_mb = limits->memory_mb;
    if (id == 1) {
      EXPECT_NEAR(reserved_mb, 100, 1) << "nothing reported yet: twice the estimate";
    }
    AttemptResult result;
    result.request = id;
    result.engine = engine_of_attempt(driver, id, 0);
    result.latency = 100ms;
    result.request_closed = true;
    result.work = 100ms;
    result.memory_needed_mb = 150;
    driver.handle_at(driver.now, {result});
  }
  EXPECT_NEAR(reserved_mb, 300, 3) << "needs are three times what the class's estimates say";
}

// Guards against an unlimited reservation: the need of queries without an estimate was divided by an estimate
// of 0.
TEST(MemoryReservations, NeedsOfQueriesWithoutAnEstimateDoNotCorrectLaterEstimates) {
  Settings settings = base_settings();
  settings.memory_reservations = true;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  driver.submit_request(1, 0);
  AttemptResult result;
  result.request = 1;
  result.engine = driver.sends.back().engine;
  result.latency = 100ms;
  result.request_closed = true;
  result.work = 100ms;
  result.memory_needed_mb = 150;
  driver.handle_at(driver.now, {result});
  double reserved_mb = 0;
  for (const auto& action : driver.handle_at(driver.now, {arrival_with_estimates(2, 100ms, 50)}))
    if (const auto* limits = std::get_if<ExecutionLimits>(&action)) reserved_mb = limits->memory_mb;
  EXPECT_NEAR(reserved_mb, 100, 1);
}

// Guards against false silence: queries in an engine's queue sent progress reports all the time, and still
// the engine was ejected as silent.
TEST(ProgressReports, AnEngineThatSendsThemIsNotSilentAndAnAttemptWithoutThemIsLost) {
  Settings settings = base_settings();
  settings.progress_interval = 1s;
  settings.classes[0].request_timeout = 30s;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7)});
  for (RequestId id = 1; id <= 4; ++id) driver.submit_request(id, 0, 30s);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  for (int second = 1; second <= 4; ++second) {
    driver.run_until(driver.now + 1s);
    std::vector<Event> reports;
    for (RequestId id = 1; id <= 3; ++id)
      reports.push_back(ProgressReport{id, 0, 7, ProgressKind::waiting, 1});
    driver.handle_at(driver.now, reports);
  }
  EXPECT_EQ(driver.cancelled_attempts, (std::vector<std::pair<RequestId, AttemptIndex>>{{4, 0}}));
  EXPECT_DOUBLE_EQ(driver.gateway.total_thread_budget(), 16) << "the engine is not ejected";
}

}  // namespace
}  // namespace heronwell::test
