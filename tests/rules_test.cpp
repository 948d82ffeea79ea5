#include <gtest/gtest.h>

#include "bench.hpp"

namespace heronwell::test {
namespace {

constexpr ClassIndex kQuick = 0, kOnce = 1, kKeyed = 2;

// ---- one final answer, before the deadline --------------------------------------------------------------

TEST(FinalAnswer, AHeldRequestIsGivenUpAtOnceWhenItsAimIsLost) {
  GatewayHarness d(base_settings());
  d.update_membership({});
  d.submit_request(1, kQuick);
  d.run_until(d.now + 900ms);
  EXPECT_EQ(d.rejections[1], 1);
  d.run_until(d.now + 6s);
  EXPECT_EQ(d.error_replies(1), 1);
}

TEST(FinalAnswer, AShortDeadlineIsKeptWithNothingSent) {
  GatewayHarness d(base_settings());
  d.update_membership({});
  d.submit_request(1, kOnce, 200ms);
  d.run_until(d.now + 200ms);
  EXPECT_EQ(d.rejections[1], 1) << "nothing ran, so an unsafe request may be refused";
}

TEST(FinalAnswer, WithAnUnsafeAttemptOutItFailsBeforeTheDeadline) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7)});
  d.submit_request(1, kOnce, 1s);
  ASSERT_EQ(d.sends_for_request(1), 1);
  EXPECT_LT(d.sends[0].deadline, d.now + 1s);
  d.run_until(d.now + 1s);
  EXPECT_EQ(d.failures[1], 1);
  EXPECT_EQ(d.rejections[1], 0);
  d.end_attempt(1, 0, 7, AttemptStatus::cancelled);
  d.run_until(d.now + 3s);
  EXPECT_EQ(d.error_replies(1), 1);
  EXPECT_EQ(d.sends_for_request(1), 1);
}

TEST(FinalAnswer, ALateOutcomeOfAClosedRequestIsOnlyBookedOut) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7)});
  d.submit_request(1, kQuick);
  ASSERT_EQ(d.gateway.class_stats(kQuick).running_threads, 1U);
  d.handle_at(d.now, {RequestCancelled{1}});
  EXPECT_EQ(d.gateway.class_stats(kQuick).running_threads, 1U) << "the engine may still work on it";
  d.end_attempt(1, 0, 7, AttemptStatus::error);
  d.end_attempt(1, 0, 7, AttemptStatus::error);
  EXPECT_EQ(d.gateway.class_stats(kQuick).running_threads, 0U);
  EXPECT_EQ(d.error_replies(1), 0);
  EXPECT_EQ(d.sends_for_request(1), 1);
}

TEST(FinalAnswer, AClassThatIsNotInTheSettingsIsRefused) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7)});
  d.submit_request(1, 99);
  EXPECT_EQ(d.rejections[1], 1);
}

// ---- no effect twice ------------------------------------------------------------------------------------

class AfterOutcome : public ::testing::TestWithParam<std::pair<AttemptStatus, bool>> {};

TEST_P(AfterOutcome, AnUnsafeRequestIsSentAgainOnlyIfItNeverRan) {
  const auto [result, again] = GetParam();
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.submit_request(1, kOnce);
  ASSERT_EQ(d.sends_for_request(1), 1);
  d.end_attempt(1, 0, d.sends[0].engine, result);
  d.run_until(d.now + 300ms);
  EXPECT_EQ(d.sends_for_request(1), again ? 2 : 1);
  EXPECT_EQ(d.failures[1], again ? 0 : 1);
  EXPECT_EQ(d.rejections[1], 0);
}

INSTANTIATE_TEST_SUITE_P(AllOutcomes, AfterOutcome,
                         ::testing::Values(std::pair{AttemptStatus::rejected, true},
                                           std::pair{AttemptStatus::connect_failed, true},
                                           std::pair{AttemptStatus::expired, true},
                                           std::pair{AttemptStatus::error, false},
                                           std::pair{AttemptStatus::timed_out, false},
                                           std::pair{AttemptStatus::connection_reset, false},
                                           std::pair{AttemptStatus::query_dropped, false},
                                           std::pair{AttemptStatus::cancelled, false}));

TEST(Effects, AKeyedRequestThatMayHaveRunStaysInItsZone) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7, 0)});
  d.submit_request(1, kKeyed);
  d.update_membership({engine_entry(7, 0), engine_entry(8, 1)});
  d.end_attempt(1, 0, 7, AttemptStatus::error);
  d.run_until(d.now + 300ms);
  ASSERT_EQ(d.sends_for_request(1), 2);
  EXPECT_EQ(d.sends.back().engine, 7U);
}

TEST(Effects, AKeyedRequestIsNotSentAgainAfterItsWindow) {
  for (const bool late : {false, true}) {
    GatewayHarness d(base_settings());
    d.update_membership({engine_entry(7, 0)});
    d.submit_request(1, kKeyed);
    d.run_until(d.now + (late ? 2000ms : 1900ms));
    d.end_attempt(1, 0, 7, AttemptStatus::error);
    EXPECT_EQ(d.sends_for_request(1), late ? 1 : 2);
    EXPECT_EQ(d.failures[1], late ? 1 : 0) << "a refusal would promise too much";
  }
}

TEST(Effects, NeverTwoAttemptsOut) {
  Settings s = base_settings();
  s.progress_interval = 500ms;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.submit_request(1, kQuick);
  ASSERT_EQ(d.sends_for_request(1), 1);
  d.run_until(d.now + 3s);  // silent: called off, but no word of that yet
  ASSERT_FALSE(d.cancelled_attempts.empty());
  EXPECT_EQ(d.sends_for_request(1), 1);
  d.end_attempt(1, 0, d.sends[0].engine, AttemptStatus::cancelled);
  EXPECT_EQ(d.sends_for_request(1), 2);
}

TEST(Effects, NoMoreAttemptsThanAllowed) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10)});
  d.submit_request(1, kQuick);
  for (AttemptIndex n = 0; n < 3; ++n) {
    ASSERT_EQ(d.sends_for_request(1), n + 1);
    d.end_attempt(1, n, d.sends.back().engine, AttemptStatus::timed_out);
  }
  EXPECT_EQ(d.sends_for_request(1), 3);
  EXPECT_EQ(d.rejections[1], 1);
}

// ---- drains ---------------------------------------------------------------------------------------------

TEST(Drains, NothingGoesToAnEngineToldDrainingGoneOrLeftOutOfAFullList) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10)});
  d.update_membership(
      {with_state(engine_entry(7), EngineState::draining), with_state(engine_entry(8), EngineState::gone)},
      MembershipUpdateKind::delta);
  d.update_membership({}, MembershipUpdateKind::failed);
  for (RequestId id = 1; id <= 4; ++id) d.submit_request(id, kQuick);
  EXPECT_EQ(d.sends_to_engine(7) + d.sends_to_engine(8), 0);
  d.update_membership({engine_entry(9)});
  for (RequestId id = 5; id <= 7; ++id) d.submit_request(id, kQuick);
  EXPECT_EQ(d.sends_to_engine(10), 2);
  EXPECT_EQ(d.sends_to_engine(9), 5);
}

TEST(Drains, AnEngineThatIsListedAgainGetsWork) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7)}, MembershipUpdateKind::cached);
  d.update_membership({with_state(engine_entry(7), EngineState::gone)}, MembershipUpdateKind::delta);
  d.submit_request(1, kQuick);
  EXPECT_EQ(d.sends_for_request(1), 0);
  d.update_membership({engine_entry(7)}, MembershipUpdateKind::delta);
  EXPECT_EQ(d.sends_for_request(1), 1);
}

// ---- cold engines ---------------------------------------------------------------------------------------

// Many gateways with different seeds, busy and quiet ones mixed, and one engine that has just started.
class ColdByMany : public ::testing::TestWithParam<unsigned> {};

TEST_P(ColdByMany, AllTogetherStayUnderTheTippingLoadAndTheEngineGetsWork) {
  Settings s = base_settings();
  s.gateways = GetParam();
  std::vector<GatewayHarness> gateways;
  for (unsigned i = 0; i < s.gateways; ++i) {
    s.gateway_index = i;
    gateways.emplace_back(s, 1000 + i);
    auto cold = engine_entry(7);
    cold.last_start = gateways.back().now - 1s;
    gateways.back().update_membership({cold});
  }
  std::map<Time, double> work;  // core-s by the module's first estimate: half the aim on one thread
  RequestId id = 0;
  for (int step = 0; step < 300; ++step) {
    for (unsigned i = 0; i < s.gateways; ++i) {
      auto& d = gateways[i];
      if (step % (1 + i % 7) == 0) {
        d.submit_request(++id, kQuick);
        const bool sent = d.sends_for_request(id) > 0;
        if (sent && d.sends.back().engine == 7) work[d.now] += 0.5;
        if (sent) d.end_attempt(id, 0, d.sends.back().engine, AttemptStatus::served, 500ms);
      }
      const auto before = d.sends.size();
      d.run_until(d.now + 20ms);
      for (auto n = before; n < d.sends.size(); ++n) work[d.now] += d.sends[n].engine == 7 ? 0.5 : 0;
    }
  }
  double all = 0;
  for (const auto& [from, unused] : work) {
    double sum = 0;
    for (const auto& [at, w] : work) sum += at >= from && at < from + 2s ? w : 0;
    const double warm = 0.4 + 0.6 * std::chrono::duration<double>(from + 1s - 100s).count() / 10;
    EXPECT_LE(sum, 2.5 * warm * 0.85 * 4 * 2);
    all += work[from];
  }
  EXPECT_GT(all, 2) << "it is not kept idle either";
}

INSTANTIATE_TEST_SUITE_P(FewAndMany, ColdByMany, ::testing::Values(3U, 60U));

TEST(ColdStarts, AWarmEngineIsNotHeldBack) {
  Settings s = base_settings();
  GatewayHarness d(s);
  auto warm = engine_entry(7);
  warm.last_start = d.now - 10s;
  d.update_membership({warm});
  for (RequestId id = 1; id <= 8; ++id) d.submit_request(id, kQuick);
  EXPECT_EQ(d.sends_to_engine(7), 8);
}

// ---- order, placement, attempt budget
// -----------------------------------------------------------------------

TEST(Order, OneAtATimeByKeyAndARestAfterATimeOut) {
  Settings s = base_settings();
  s.classes[kQuick].ordered_by_key = true;
  s.order_quiet_period = 300ms;
  s.max_attempts = 1;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.submit_request(1, kQuick, 5s, 42);
  d.submit_request(2, kQuick, 5s, 42);
  d.submit_request(3, kQuick, 5s, 43);
  d.submit_request(4, kQuick, 5s, 0);
  EXPECT_EQ(d.sends_for_request(1), 1);
  EXPECT_EQ(d.sends_for_request(2), 0);
  EXPECT_EQ(d.sends_for_request(3), 1);
  EXPECT_EQ(d.sends_for_request(4), 1);
  const Time over = d.now;
  d.end_attempt(1, 0, d.sends[0].engine, AttemptStatus::timed_out);
  d.run_until(over + 280ms);
  EXPECT_EQ(d.sends_for_request(2), 0);
  d.run_until(over + 320ms);
  EXPECT_EQ(d.sends_for_request(2), 1);
}

// The statement of a lost query may still be on its way to an engine that does not know it yet.
TEST(Order, AKeyRestsAfterALostQueryToo) {
  Settings s = base_settings();
  s.classes[kQuick].ordered_by_key = true;
  s.order_quiet_period = 300ms;
  s.max_attempts = 1;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.submit_request(1, kQuick, 5s, 42);
  d.submit_request(2, kQuick, 5s, 42);
  const Time over = d.now;
  d.end_attempt(1, 0, d.sends[0].engine, AttemptStatus::query_dropped);
  d.run_until(over + 280ms);
  EXPECT_EQ(d.sends_for_request(2), 0);
  d.run_until(over + 320ms);
  EXPECT_EQ(d.sends_for_request(2), 1);
}

TEST(Order, AnEarlierOneThatClosedWithItsAttemptOutStillHoldsTheKey) {
  Settings s = base_settings();
  s.classes[kQuick].ordered_by_key = true;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  d.submit_request(1, kQuick, 5s, 42);
  d.submit_request(2, kQuick, 5s, 42);
  d.handle_at(d.now, {RequestCancelled{1}});
  EXPECT_EQ(d.sends_for_request(2), 0);
  d.end_attempt(1, 0, 7, AttemptStatus::error);
  EXPECT_EQ(d.sends_for_request(2), 1);
}

TEST(Placement, HoldsAtEveryAttemptAndWhenAllAllowedAreGone) {
  Settings s = base_settings();
  s.classes[kQuick].allowed_zones = {{1}};
  s.classes[kQuick].allowed_kinds = {{1}};
  GatewayHarness d(s);
  d.update_membership(
      {engine_entry(7, 1, 0), engine_entry(8, 0, 1), engine_entry(9, 1, 1), engine_entry(10, 1, 1)});
  d.submit_request(1, kQuick);
  d.end_attempt(1, 0, d.sends.back().engine, AttemptStatus::timed_out);
  d.end_attempt(1, 1, d.sends.back().engine, AttemptStatus::timed_out);
  EXPECT_EQ(d.sends_for_request(1), 3);
  EXPECT_EQ(d.sends_to_engine(7) + d.sends_to_engine(8), 0);
  d.update_membership({engine_entry(7, 1, 0), engine_entry(8, 0, 1)});
  d.submit_request(2, kQuick);
  d.run_until(d.now + 2s);
  EXPECT_EQ(d.sends_for_request(2), 0);
  EXPECT_EQ(d.error_replies(2), 1);
}

TEST(AttemptBudget, CountsFurtherAttemptsAgainstRequestsTakenInTheWindow) {
  Settings s = base_settings();
  s.retry_budget = RetryBudget{10s, 1, 0.2};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10)});
  const auto retried = [&d](RequestId id) {
    d.submit_request(id, kQuick);
    const auto first = d.sends.back();
    if (first.request != id) return false;
    const auto before = d.sends.size();
    d.end_attempt(id, 0, first.engine, AttemptStatus::rejected);
    d.run_until(d.now + 400ms);
    const bool again = d.sends.size() > before;
    if (again) d.end_attempt(id, 1, d.sends.back().engine, AttemptStatus::served);
    return again;
  };
  EXPECT_TRUE(retried(1));   // 1 <= 1 + 0.2
  EXPECT_FALSE(retried(2));  // 2 >  1 + 0.4
  EXPECT_FALSE(retried(3));
  EXPECT_FALSE(retried(4));
  EXPECT_TRUE(retried(5));  // 2 <= 1 + 1.0
  EXPECT_FALSE(retried(6));
  d.run_until(d.now + 11s);
  EXPECT_TRUE(retried(7)) << "the window has passed";
}

// ---- settings -------------------------------------------------------------------------------------------

TEST(SenselessSettings, AreNamed) {
  Settings s = base_settings();
  s.gateways = 0;
  try {
    Gateway g(s, 1);
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("gateways"), std::string::npos);
  }
  s = base_settings();
  s.classes[0].latency_target = 0s;
  EXPECT_THROW(Gateway(s, 1), std::invalid_argument);
  s = base_settings();
  s.kinds.clear();
  EXPECT_THROW(Gateway(s, 1), std::invalid_argument);
}

TEST(ZeroSettings, OptionalOnesMayBeAbsent) {
  Settings s;
  s.classes = {base_settings().classes[0]};
  s.kinds = {{"one", 1, 0}};
  GatewayHarness d(s);
  auto cold = engine_entry(7);
  cold.last_start = d.now;
  d.update_membership({cold});
  d.submit_request(1, 0);
  EXPECT_EQ(d.sends_for_request(1), 1);
}

}  // namespace
}  // namespace heronwell::test
