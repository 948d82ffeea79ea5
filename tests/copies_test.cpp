// Second copies, and what estimates of work and memory decide.
#include <gtest/gtest.h>

#include "gateway_harness.hpp"

namespace heronwell::test {
namespace {

Settings copying() {
  Settings s = base_settings();
  s.can_hedge = true;
  return s;
}

// Enough was asked and answered to pay for copies; nothing is out.
void warm_up(GatewayHarness& d, ClassIndex cls = 0) {
  for (RequestId id = 1; id <= 20; ++id) {
    d.submit_request(id, cls);
    d.end_attempt(id, 0, d.sends.back().engine, AttemptStatus::served);
  }
}

EngineId engine_of(const GatewayHarness& d, RequestId id, int n) {
  for (const auto& send : d.sends) {
    if (send.request == id && n-- == 0) return send.engine;
  }
  return 0;
}

TEST(Copies, AnAttemptFarOverdueGetsOneElsewhereOnlyWhereAllowed) {
  for (const bool allowed : {true, false}) {
    Settings s = copying();
    s.can_hedge = allowed;
    GatewayHarness d(s);
    d.update_membership({engine_entry(7), engine_entry(8)});
    warm_up(d);
    d.submit_request(50, 0);
    d.run_until(d.now + 500ms);
    ASSERT_EQ(d.sends_for_request(50), allowed ? 2 : 1);
    if (allowed) {
      EXPECT_NE(engine_of(d, 50, 0), engine_of(d, 50, 1));
    }
  }
}

TEST(Copies, TheFirstAnswerClosesAndTheOtherIsCalledOff) {
  for (const AttemptIndex first : {AttemptIndex{0}, AttemptIndex{1}}) {
    GatewayHarness d(copying());
    d.update_membership({engine_entry(7), engine_entry(8)});
    warm_up(d);
    d.submit_request(50, 0);
    d.run_until(d.now + 500ms);
    ASSERT_EQ(d.sends_for_request(50), 2);
    d.end_attempt(50, first, engine_of(d, 50, first), AttemptStatus::served);
    const std::vector<std::pair<RequestId, AttemptIndex>> other{{50, static_cast<AttemptIndex>(1 - first)}};
    EXPECT_EQ(d.cancelled_attempts, other);
    d.end_attempt(50, other[0].second, engine_of(d, 50, other[0].second), AttemptStatus::cancelled);
    d.run_until(d.now + 6s);
    EXPECT_EQ(d.sends_for_request(50), 2);
    EXPECT_EQ(d.error_replies(50), 0) << "the client has its answer";
  }
}

TEST(Copies, OneThatFailsNeitherEndsNorHoldsTheRequestWhileTheOtherRuns) {
  for (const auto result :
       {AttemptStatus::error, AttemptStatus::connection_reset, AttemptStatus::query_dropped,
        AttemptStatus::rejected, AttemptStatus::cancelled}) {
    Settings s = copying();
    s.max_attempts = 2;
    GatewayHarness d(s);
    d.update_membership({engine_entry(7), engine_entry(8)});
    warm_up(d);
    d.submit_request(50, 0);
    d.run_until(d.now + 500ms);
    ASSERT_EQ(d.sends_for_request(50), 2);
    d.end_attempt(50, 1, engine_of(d, 50, 1), result);
    EXPECT_EQ(d.error_replies(50), 0);
    EXPECT_EQ(d.gateway.class_stats(0).queued, 0U);
    EXPECT_EQ(d.gateway.class_stats(0).running_threads, 1U);
    d.end_attempt(50, 0, engine_of(d, 50, 0), AttemptStatus::error);
    EXPECT_EQ(d.error_replies(50), 1) << "no attempt is left";
  }
}

TEST(Copies, AttemptsAndTheirBudgetCountBoth) {
  Settings s = copying();
  s.max_attempts = 2;
  s.retry_budget = RetryBudget{60s, 1, 0};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  warm_up(d);
  d.submit_request(50, 0);
  d.submit_request(51, 0);
  d.run_until(d.now + 4s);
  EXPECT_EQ(d.sends_for_request(50) + d.sends_for_request(51), 3) << "one further attempt in all";
  for (const RequestId id : {50U, 51U}) EXPECT_LE(d.sends_for_request(id), 2);
}

TEST(Copies, NoneForUnsafeClassesAndKeyedOnesStayInTheirGroup) {
  GatewayHarness d(copying());
  d.update_membership({engine_entry(7, 0), engine_entry(8, 1)});
  warm_up(d, 1);
  for (RequestId id = 21; id <= 40; ++id) {
    d.submit_request(id, 2);
    d.end_attempt(id, 0, d.sends.back().engine, AttemptStatus::served);
  }
  d.submit_request(50, 1);
  d.submit_request(51, 2);
  d.run_until(d.now + 4900ms);
  EXPECT_EQ(d.sends_for_request(50), 1);
  EXPECT_EQ(d.sends_for_request(51), 1) << "the only engine of its zone has it already";
}

TEST(Copies, WhatIsLostTwiceIsSentAThirdTime) {
  GatewayHarness d(copying());
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  warm_up(d);
  d.submit_request(50, 0);
  d.run_until(d.now + 4s);
  ASSERT_EQ(d.sends_for_request(50), 3);
  EXPECT_EQ(d.cancelled_attempts.front(), (std::pair<RequestId, AttemptIndex>{50, 0}))
      << "two are awaited at most";
}

// Copies for all that is slow would double the load just when the fleet can't bear it.
TEST(Copies, TheyAreRationedByTheWorkThatWasAskedFor) {
  GatewayHarness d(copying());
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10)});
  for (RequestId id = 1; id <= 8; ++id) d.submit_request(id, 0);
  d.run_until(d.now + 4s);
  std::size_t further = 0;
  for (RequestId id = 1; id <= 8; ++id) further += static_cast<std::size_t>(d.sends_for_request(id) - 1);
  EXPECT_EQ(further, 1U) << "a fifth of eight queries' work";
}

Arrival estimated(RequestId id, Time cost, double memory_mb = 0) {
  Arrival a;
  a.request = id;
  a.time_left = 5s;
  a.estimated_work = cost;
  a.estimated_memory_mb = memory_mb;
  return a;
}

// One query of many times the usual work took the place of several, and half of all reports were refused.
TEST(Sizes, InACrowdTheLargestAreRefusedFirst) {
  Settings s = base_settings();
  s.classes.resize(1);
  s.load_fields = {LoadField::inflight};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  const auto play = [&d](RequestId from, double inflight) {
    for (RequestId id = from; id < from + 60; ++id) {
      d.handle_at(d.now, {estimated(id, 100ms)});
      if (d.sends_for_request(id) == 1) {
        AttemptResult o;
        o.request = id;
        o.engine = engine_of(d, id, 0);
        o.latency = 100ms;
        o.request_closed = true;
        o.load = {inflight};
        d.handle_at(d.now, {o});
      }
      d.run_until(d.now + 100ms);
    }
  };
  play(1, 1);
  d.handle_at(d.now, {estimated(500, 400ms)});
  EXPECT_EQ(d.error_replies(500), 0) << "no crowd";
  d.end_attempt(500, 0, engine_of(d, 500, 0), AttemptStatus::served);
  play(101, 5.5);
  d.handle_at(d.now, {estimated(501, 400ms), estimated(502, 100ms)});
  EXPECT_EQ(d.error_replies(501), 1);
  EXPECT_EQ(d.error_replies(502), 0);
}

TEST(Sizes, WhatTakesLongerThanItsClientWaitsIsRefusedAtOnce) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8)});
  for (RequestId id = 1; id <= 40; ++id) {
    d.handle_at(d.now, {estimated(id, 100ms)});
    d.end_attempt(id, 0, engine_of(d, id, 0), AttemptStatus::served, 400ms);
  }
  d.handle_at(d.now, {estimated(50, 3s)});
  EXPECT_EQ(d.rejections[50], 1);
}

// What tips a cold engine over is work, and one query may be many times the usual.
TEST(Sizes, AColdEngineIsChargedAQuerysOwnWork) {
  for (const Time cost : {100ms, 2000ms}) {
    Settings s = base_settings();
    s.classes.resize(1);
    s.classes[0].request_timeout = 60s;
    GatewayHarness d(s);
    d.update_membership({engine_entry(7)});
    for (RequestId id = 1; id <= 40; ++id) {
      d.handle_at(d.now, {estimated(id, 100ms)});
      d.end_attempt(id, 0, engine_of(d, id, 0), AttemptStatus::served);
    }
    auto cold = engine_entry(8);
    cold.last_start = d.now;
    d.update_membership({cold});
    d.run_until(d.now + 1s);
    auto asked = estimated(50, cost);
    asked.time_left = 60s;
    d.handle_at(d.now, {asked});
    d.run_until(d.now + 300ms);
    EXPECT_EQ(d.sends_for_request(50), cost == 2s ? 0 : 1);
  }
}

// Small queries were charged less than the rule counts, and the class's work was learned from what was served
// while large ones were refused: a cold engine was sent 4.5 times what it could do.
TEST(Sizes, SmallQueriesAreChargedTheirClasssUsualWorkOnColdEngines) {
  Settings s = base_settings();
  s.classes.resize(1);
  s.gateways = 20;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  const auto ask = [&d](RequestId id) {  // one in five is large, and is never served; 100 ms on average
    const Time work = id % 5 == 0 ? 400ms : 25ms;
    d.handle_at(d.now, {estimated(id, work)});
    if (d.sends_for_request(id) == 0) return d.handle_at(d.now, {RequestCancelled{id}});
    if (id % 5 != 0) d.end_attempt(id, 0, engine_of(d, id, 0), AttemptStatus::served, work);
    if (id % 5 == 0) d.handle_at(d.now, {RequestCancelled{id}});
    if (id % 5 == 0) d.end_attempt(id, 0, engine_of(d, id, 0), AttemptStatus::cancelled);
    return std::vector<Action>{};
  };
  for (RequestId id = 1; id <= 200; ++id) ask(id);
  auto cold = engine_entry(8);
  cold.last_start = d.now;
  d.update_membership({cold});
  for (RequestId id = 1000; id < 3000; ++id) {
    d.run_until(d.now + 5ms);
    ask(id);
  }
  // A twentieth of 0.8 x 2.5 x 0.4 to 1 x 0.85 x 4 core-seconds a second, for ten seconds, is 2.4; half more
  // by chance.
  EXPECT_LE(d.sends_to_engine(8) * 0.1, 3.6);
  EXPECT_GT(d.sends_to_engine(8), 0);
}

TEST(Sizes, AHeldQueryIsGivenUpWhenItsAnswerWouldComeTooLate) {
  for (const Time cost : {100ms, 30ms}) {  // of the usual size; small, with more time left to wait
    Settings s = base_settings();
    s.classes.resize(1);
    GatewayHarness d(s);
    d.update_membership({engine_entry(7)});
    for (RequestId id = 1; id <= 60; ++id) {
      d.handle_at(d.now, {estimated(id, 100ms)});
      d.end_attempt(id, 0, engine_of(d, id, 0), AttemptStatus::served, 250ms);
    }
    d.update_membership({});
    d.handle_at(d.now, {estimated(70, cost)});
    d.run_until(d.now + 700ms);
    EXPECT_EQ(d.error_replies(70), cost == 100ms ? 1 : 0);
  }
}

// Where engines report nothing and messages are not allowed, a crowd was never seen.
TEST(Blind, SlowAnswersTellACrowdAndAFloodPastItsShareIsRefused) {
  for (const bool slow : {false, true}) {
    Settings s = base_settings();
    s.classes.resize(1);
    s.over_share_value = 0.1;
    s.tenants = {{"calm", 0.5, 5}, {"flood", 0.5, 5}};
    GatewayHarness d(s);
    d.update_membership({engine_entry(7), engine_entry(8)});
    RequestId id = 0;
    const auto ask = [&](std::uint32_t tenant, Time took) {
      Arrival a;
      a.request = ++id;
      a.tenant = tenant;
      a.time_left = 5s;
      d.handle_at(d.now, {a});
      if (d.sends_for_request(id) == 1)
        d.end_attempt(id, 0, engine_of(d, id, 0), AttemptStatus::served, took);
    };
    for (int n = 0; n < 60; ++n) {
      ask(0, 100ms);
      d.run_until(d.now + 200ms);
    }
    for (int n = 0; n < 20; ++n) ask(1, slow ? 400ms : 100ms);
    EXPECT_EQ(d.error_replies(id), slow ? 1 : 0);
  }
}

TEST(Blind, AFullEngineRestsAndItsQueriesAreTakenBackWhereNothingTellsItsLoad) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7)});
  d.submit_request(1, 0);
  d.submit_request(2, 0);
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.end_attempt(2, 0, 7, AttemptStatus::rejected);
  EXPECT_EQ(d.cancelled_attempts, (std::vector<std::pair<RequestId, AttemptIndex>>{{1, 0}}));
  EXPECT_DOUBLE_EQ(d.gateway.total_thread_budget(), 8) << "of the other engine";
}

// Lost answers passed for running queries until their deadlines; the level that all gateways go by rose, and
// copies stopped just when they were needed.
TEST(Copies, InACrowdAnOverdueAttemptIsMovedThoughNoCopyIsSent) {
  for (const bool noted : {false, true}) {  // an attempt that gave notes runs
    Settings s = copying();
    s.progress_interval = 10s;
    s.load_fields = {LoadField::inflight};
    GatewayHarness d(s);
    d.update_membership({engine_entry(7), engine_entry(8)});
    for (RequestId id = 1; id <= 40; ++id) {
      d.submit_request(id, 0);
      AttemptResult o;
      o.request = id;
      o.engine = d.sends.back().engine;
      o.latency = 100ms;
      o.request_closed = true;
      o.load = {7};
      d.handle_at(d.now, {o});
    }
    d.submit_request(50, 0);
    ASSERT_EQ(d.sends_for_request(50), 1);
    d.run_until(d.now + 100ms);
    if (noted)
      d.handle_at(d.now, {ProgressReport{50, 0, d.sends.back().engine, ProgressKind::progress, 0.5}});
    d.run_until(d.now + 380ms);
    EXPECT_TRUE(d.cancelled_attempts.empty());
    d.run_until(d.now + 250ms);
    EXPECT_EQ(d.sends_for_request(50), 1) << "no copy";
    EXPECT_EQ(d.cancelled_attempts.size(), noted ? 0U : 1U);
    if (noted) continue;
    d.end_attempt(50, 0, engine_of(d, 50, 0), AttemptStatus::cancelled);
    EXPECT_EQ(d.sends_for_request(50) + static_cast<int>(d.gateway.class_stats(0).queued), 2)
        << "sent again, or held for room";
  }
}

TEST(Sizes, OfLaterClassesSmallerQueriesGetPriority) {
  Settings s = base_settings();
  s.priorities = true;
  s.classes[1].idempotency = Idempotency::safe;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  std::vector<int> priorities;
  const auto ask = [&](RequestId id, Time cost) {
    auto asked = estimated(id, cost);
    asked.class_index = 1;
    for (const auto& action : d.handle_at(d.now, {asked}))
      if (const auto* terms = std::get_if<ExecutionLimits>(&action)) priorities.push_back(terms->priority);
    d.end_attempt(id, 0, engine_of(d, id, 0), AttemptStatus::served);
  };
  for (RequestId id = 1; id <= 30; ++id) ask(id, 100ms);
  priorities.clear();
  ask(40, 20ms);
  ask(41, 100ms);
  ask(42, 280ms);
  EXPECT_EQ(priorities, (std::vector<int>{2, 1, 0}));
}

TEST(Grants, EstimatesAreSetRightByWhatAnswersTell) {
  Settings s = base_settings();
  s.memory_reservations = true;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  double granted = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (const auto& action : d.handle_at(d.now, {estimated(id, 100ms, 50)}))
      if (const auto* terms = std::get_if<ExecutionLimits>(&action)) granted = terms->memory_mb;
    if (id == 1) {
      EXPECT_NEAR(granted, 100, 1) << "nothing told yet: twice the estimate";
    }
    AttemptResult o;
    o.request = id;
    o.engine = engine_of(d, id, 0);
    o.latency = 100ms;
    o.request_closed = true;
    o.work = 100ms;
    o.memory_needed_mb = 150;
    d.handle_at(d.now, {o});
  }
  EXPECT_NEAR(granted, 300, 3) << "needs are three times what the class's estimates say";
}

// The need of queries without an estimate was set against an estimate of nothing: a grant without end.
TEST(Grants, AnEstimateAfterAnswersToQueriesWithoutOneIsTakenAsItIs) {
  Settings s = base_settings();
  s.memory_reservations = true;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.submit_request(1, 0);
  AttemptResult o;
  o.request = 1;
  o.engine = d.sends.back().engine;
  o.latency = 100ms;
  o.request_closed = true;
  o.work = 100ms;
  o.memory_needed_mb = 150;
  d.handle_at(d.now, {o});
  double granted = 0;
  for (const auto& action : d.handle_at(d.now, {estimated(2, 100ms, 50)}))
    if (const auto* terms = std::get_if<ExecutionLimits>(&action)) granted = terms->memory_mb;
  EXPECT_NEAR(granted, 100, 1);
}

// Queries that stood in an engine's line gave notes all the time, and the engine was rested as silent.
TEST(Notes, WhoGivesThemIsNotSilentAndAnAttemptWithoutThemIsLost) {
  Settings s = base_settings();
  s.progress_interval = 1s;
  s.classes[0].request_timeout = 30s;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  for (RequestId id = 1; id <= 4; ++id) d.submit_request(id, 0, 30s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  for (int second = 1; second <= 4; ++second) {
    d.run_until(d.now + 1s);
    std::vector<Event> notes;
    for (RequestId id = 1; id <= 3; ++id) notes.push_back(ProgressReport{id, 0, 7, ProgressKind::waiting, 1});
    d.handle_at(d.now, notes);
  }
  EXPECT_EQ(d.cancelled_attempts, (std::vector<std::pair<RequestId, AttemptIndex>>{{4, 0}}));
  EXPECT_DOUBLE_EQ(d.gateway.total_thread_budget(), 16) << "the engine is well";
}

}  // namespace
}  // namespace heronwell::test
