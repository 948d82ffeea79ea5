#include <gtest/gtest.h>

#include "gateway_harness.hpp"

namespace heronwell::test {
namespace {

// Classes of base_settings().
constexpr ClassIndex kSafeClass = 0, kUnsafeClass = 1, kKeyedClass = 2;

// ---- exactly one final reply, before the deadline ------------------------------------------------------

TEST(FinalReply, QueuedRequestIsRejectedAsSoonAsItsLatencyTargetCannotBeMet) {
  GatewayHarness harness(base_settings());
  harness.update_membership({});
  harness.submit_request(1, kSafeClass);
  harness.run_until(harness.now + 900ms);
  EXPECT_EQ(harness.rejections[1], 1);
  harness.run_until(harness.now + 6s);
  EXPECT_EQ(harness.error_replies(1), 1);
}

TEST(FinalReply, UnsentRequestIsRejectedBeforeAShortDeadline) {
  GatewayHarness harness(base_settings());
  harness.update_membership({});
  harness.submit_request(1, kUnsafeClass, 200ms);
  harness.run_until(harness.now + 200ms);
  EXPECT_EQ(harness.rejections[1], 1) << "nothing has run, so an unsafe request may be rejected";
}

TEST(FinalReply, UnsafeRequestInFlightFailsBeforeItsDeadline) {
  GatewayHarness harness(base_settings());
  harness.update_membership({engine_entry(7)});
  harness.submit_request(1, kUnsafeClass, 1s);
  ASSERT_EQ(harness.sends_for_request(1), 1);
  EXPECT_LT(harness.sends[0].deadline, harness.now + 1s);
  harness.run_until(harness.now + 1s);
  EXPECT_EQ(harness.failures[1], 1);
  EXPECT_EQ(harness.rejections[1], 0);
  harness.end_attempt(1, 0, 7, AttemptStatus::cancelled);
  harness.run_until(harness.now + 3s);
  EXPECT_EQ(harness.error_replies(1), 1);
  EXPECT_EQ(harness.sends_for_request(1), 1);
}

TEST(FinalReply, LateResultOfAClosedRequestOnlyReleasesItsThreads) {
  GatewayHarness harness(base_settings());
  harness.update_membership({engine_entry(7)});
  harness.submit_request(1, kSafeClass);
  ASSERT_EQ(harness.gateway.class_stats(kSafeClass).running_threads, 1U);
  harness.handle_at(harness.now, {RequestCancelled{1}});
  EXPECT_EQ(harness.gateway.class_stats(kSafeClass).running_threads, 1U) << "the engine may still work on it";
  harness.end_attempt(1, 0, 7, AttemptStatus::error);
  harness.end_attempt(1, 0, 7, AttemptStatus::error);
  EXPECT_EQ(harness.gateway.class_stats(kSafeClass).running_threads, 0U);
  EXPECT_EQ(harness.error_replies(1), 0);
  EXPECT_EQ(harness.sends_for_request(1), 1);
}

TEST(FinalReply, RequestOfAnUnknownClassIsRejected) {
  GatewayHarness harness(base_settings());
  harness.update_membership({engine_entry(7)});
  harness.submit_request(1, 99);
  EXPECT_EQ(harness.rejections[1], 1);
}

// ---- the membership's lease ----------------------------------------------------------------------------

Settings lease_settings() {
  auto settings = base_settings();
  settings.membership_lease = 7s;
  return settings;
}

// Guards against attempts on an engine that has begun to drain while the change log could not be read.
TEST(MembershipLease, NothingIsSentOnceItHasExpiredUntilTheMembershipIsConfirmed) {
  GatewayHarness harness(lease_settings());
  harness.update_membership({engine_entry(7), engine_entry(8)});
  const Time confirmed_at = harness.now;
  harness.handle_at(confirmed_at, {MembershipConfirmed{confirmed_at}});
  harness.run_until(confirmed_at + 6900ms);
  harness.submit_request(1, kSafeClass);
  EXPECT_EQ(harness.sends_for_request(1), 1) << "it serves while the lease lasts";
  EXPECT_EQ(harness.sends.at(0).send_by, confirmed_at + 7s) << "the connection may take a while";
  harness.run_until(confirmed_at + 7s);
  harness.submit_request(2, kSafeClass);
  harness.submit_request(3, kUnsafeClass);
  EXPECT_EQ(harness.sends_for_request(2) + harness.sends_for_request(3), 0);
  // A retry waits too.
  harness.end_attempt(1, 0, harness.sends.at(0).engine, AttemptStatus::rejected);
  EXPECT_EQ(harness.sends_for_request(1), 1);
  harness.run_until(confirmed_at + 7200ms);
  EXPECT_EQ(harness.sends.size(), 1U);
  harness.handle_at(harness.now, {MembershipUpdate{MembershipUpdateKind::delta,
                                                   {with_state(engine_entry(7), EngineState::draining)}},
                                  MembershipConfirmed{harness.now}});
  harness.run_until(harness.now + 100ms);
  EXPECT_EQ(harness.sends_for_request(1), 2);
  EXPECT_EQ(harness.sends_for_request(2), 1);
  EXPECT_EQ(harness.sends_for_request(3), 1);
  for (std::size_t n = 1; n < harness.sends.size(); ++n) EXPECT_EQ(harness.sends[n].engine, 8U);
}

TEST(MembershipLease, RequestsGetOneAnswerEachWhileItHasExpired) {
  GatewayHarness harness(lease_settings());
  harness.update_membership({engine_entry(7)});
  harness.run_until(harness.now + 8s);
  harness.submit_request(1, kSafeClass);
  harness.submit_request(2, kUnsafeClass, 200ms);
  harness.submit_request(3, kKeyedClass, 5s, 17);
  harness.run_until(harness.now + 6s);
  for (const RequestId request : {1, 2, 3}) {
    EXPECT_EQ(harness.sends_for_request(request), 0);
    EXPECT_EQ(harness.rejections[request], 1) << "request " << request;
    EXPECT_EQ(harness.failures[request], 0);
  }
}

// Outages that follow one another: each confirmation in between counts.
TEST(MembershipLease, LastsFromTheLatestConfirmation) {
  GatewayHarness harness(lease_settings());
  harness.update_membership({engine_entry(7)});
  const Time begin = harness.now;
  for (const Time at : {begin + 5s, begin + 10s}) {
    harness.run_until(at);
    harness.handle_at(at, {MembershipConfirmed{at}});
  }
  harness.handle_at(harness.now, {MembershipConfirmed{begin}});  // an older one has no effect
  harness.run_until(begin + 16900ms);
  harness.submit_request(1, kSafeClass);
  EXPECT_EQ(harness.sends_for_request(1), 1);
  harness.run_until(begin + 17s);
  harness.submit_request(2, kSafeClass);
  EXPECT_EQ(harness.sends_for_request(2), 0);
}

TEST(MembershipLease, ARetryOfAKeyedRequestKeepsTheEarlierLimit) {
  GatewayHarness harness(lease_settings());
  harness.update_membership({engine_entry(7), engine_entry(8)});
  harness.submit_request(1, kKeyedClass);
  const Time first_sent = harness.now;
  harness.end_attempt(1, 0, harness.sends.at(0).engine, AttemptStatus::connection_reset);
  harness.run_until(harness.now + 200ms);
  ASSERT_EQ(harness.sends_for_request(1), 2);
  EXPECT_GT(harness.sends.at(1).send_by, first_sent);
  EXPECT_LT(harness.sends.at(1).send_by, first_sent + 2s) << "the deduplication window ends before the lease";
}

TEST(MembershipLease, WithoutOneAnUnconfirmedMembershipStaysInUse) {
  GatewayHarness harness(base_settings());
  harness.update_membership({engine_entry(7)});
  harness.run_until(harness.now + 60s);
  harness.submit_request(1, kSafeClass);
  ASSERT_EQ(harness.sends_for_request(1), 1);
  EXPECT_EQ(harness.sends.at(0).send_by, Time::zero());
}

// ---- no query takes effect twice -----------------------------------------------------------------------

class UnsafeRequestAfterAttempt : public ::testing::TestWithParam<std::pair<AttemptStatus, bool>> {};

TEST_P(UnsafeRequestAfterAttempt, IsRetriedOnlyIfItHasNotRun) {
  const auto [status, is_retried] = GetParam();
  GatewayHarness harness(base_settings());
  harness.update_membership({engine_entry(7), engine_entry(8)});
  harness.submit_request(1, kUnsafeClass);
  ASSERT_EQ(harness.sends_for_request(1), 1);
  harness.end_attempt(1, 0, harness.sends[0].engine, status);
  harness.run_until(harness.now + 300ms);
  EXPECT_EQ(harness.sends_for_request(1), is_retried ? 2 : 1);
  EXPECT_EQ(harness.failures[1], is_retried ? 0 : 1);
  EXPECT_EQ(harness.rejections[1], 0);
}

INSTANTIATE_TEST_SUITE_P(AllAttemptStatuses, UnsafeRequestAfterAttempt,
                         ::testing::Values(std::pair{AttemptStatus::rejected, true},
                                           std::pair{AttemptStatus::connect_failed, true},
                                           std::pair{AttemptStatus::expired, true},
                                           std::pair{AttemptStatus::error, false},
                                           std::pair{AttemptStatus::timed_out, false},
                                           std::pair{AttemptStatus::connection_reset, false},
                                           std::pair{AttemptStatus::query_dropped, false},
                                           std::pair{AttemptStatus::cancelled, false}));

TEST(NoDoubleExecution, KeyedRequestThatMayHaveRunIsRetriedInItsZone) {
  GatewayHarness harness(base_settings());
  harness.update_membership({engine_entry(7, 0)});
  harness.submit_request(1, kKeyedClass);
  harness.update_membership({engine_entry(7, 0), engine_entry(8, 1)});
  harness.end_attempt(1, 0, 7, AttemptStatus::error);
  harness.run_until(harness.now + 300ms);
  ASSERT_EQ(harness.sends_for_request(1), 2);
  EXPECT_EQ(harness.sends.back().engine, 7U);
}

TEST(NoDoubleExecution, KeyedRequestIsNotRetriedAfterItsDeduplicationWindow) {
  for (const bool is_window_over : {false, true}) {
    GatewayHarness harness(base_settings());
    harness.update_membership({engine_entry(7, 0)});
    harness.submit_request(1, kKeyedClass);
    harness.run_until(harness.now + (is_window_over ? 2000ms : 1900ms));
    harness.end_attempt(1, 0, 7, AttemptStatus::error);
    EXPECT_EQ(harness.sends_for_request(1), is_window_over ? 1 : 2);
    EXPECT_EQ(harness.failures[1], is_window_over ? 1 : 0)
        << "a rejection would tell the client that a resend is safe";
  }
}

TEST(NoDoubleExecution, WithoutHedgingOneAttemptIsInFlight) {
  Settings settings = base_settings();
  settings.progress_interval = 500ms;
  GatewayHarness harness(settings);
  harness.update_membership({engine_entry(7), engine_entry(8)});
  harness.submit_request(1, kSafeClass);
  ASSERT_EQ(harness.sends_for_request(1), 1);
  harness.run_until(harness.now + 3s);  // no progress report: cancelled, but its result has not arrived yet
  ASSERT_FALSE(harness.cancelled_attempts.empty());
  EXPECT_EQ(harness.sends_for_request(1), 1);
  harness.end_attempt(1, 0, harness.sends[0].engine, AttemptStatus::cancelled);
  EXPECT_EQ(harness.sends_for_request(1), 2);
}

TEST(NoDoubleExecution, AttemptsAreLimitedToMaxAttempts) {
  GatewayHarness harness(base_settings());
  harness.update_membership({engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10)});
  harness.submit_request(1, kSafeClass);
  for (AttemptIndex attempt = 0; attempt < 3; ++attempt) {
    ASSERT_EQ(harness.sends_for_request(1), attempt + 1);
    harness.end_attempt(1, attempt, harness.sends.back().engine, AttemptStatus::timed_out);
  }
  EXPECT_EQ(harness.sends_for_request(1), 3);
  EXPECT_EQ(harness.rejections[1], 1);
}

// ---- draining and removed engines ----------------------------------------------------------------------

TEST(Membership, NothingIsSentToADrainingOrRemovedEngineOrOneMissingFromAFullUpdate) {
  GatewayHarness harness(base_settings());
  harness.update_membership({engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10)});
  harness.update_membership(
      {with_state(engine_entry(7), EngineState::draining), with_state(engine_entry(8), EngineState::gone)},
      MembershipUpdateKind::delta);
  harness.update_membership({}, MembershipUpdateKind::failed);
  for (RequestId request = 1; request <= 4; ++request) harness.submit_request(request, kSafeClass);
  EXPECT_EQ(harness.sends_to_engine(7) + harness.sends_to_engine(8), 0);
  harness.update_membership({engine_entry(9)});
  for (RequestId request = 5; request <= 7; ++request) harness.submit_request(request, kSafeClass);
  EXPECT_EQ(harness.sends_to_engine(10), 2);
  EXPECT_EQ(harness.sends_to_engine(9), 5);
}

TEST(Membership, EngineThatRejoinsReceivesRequests) {
  GatewayHarness harness(base_settings());
  harness.update_membership({engine_entry(7)}, MembershipUpdateKind::cached);
  harness.update_membership({with_state(engine_entry(7), EngineState::gone)}, MembershipUpdateKind::delta);
  harness.submit_request(1, kSafeClass);
  EXPECT_EQ(harness.sends_for_request(1), 0);
  harness.update_membership({engine_entry(7)}, MembershipUpdateKind::delta);
  EXPECT_EQ(harness.sends_for_request(1), 1);
}

// ---- slow start ----------------------------------------------------------------------------------------

// Several gateways with different seeds and request rates, and one engine that has just started.
class SlowStartFleet : public ::testing::TestWithParam<unsigned> {};

TEST_P(SlowStartFleet, GatewaysTogetherDoNotOverloadTheEngineAndDoNotKeepItIdle) {
  Settings settings = base_settings();
  settings.gateways = GetParam();
  std::vector<GatewayHarness> gateways;
  for (unsigned i = 0; i < settings.gateways; ++i) {
    settings.gateway_index = i;
    gateways.emplace_back(settings, 1000 + i);
    auto started_engine = engine_entry(7);
    started_engine.last_start = gateways.back().now - 1s;
    gateways.back().update_membership({started_engine});
  }
  // Core-seconds by the time of the send, by the module's initial estimate: half the latency target on one
  // thread.
  std::map<Time, double> sent_core_s;
  RequestId request = 0;
  for (int step = 0; step < 300; ++step) {
    for (unsigned i = 0; i < settings.gateways; ++i) {
      auto& harness = gateways[i];
      if (step % (1 + i % 7) == 0) {
        harness.submit_request(++request, kSafeClass);
        const bool is_sent = harness.sends_for_request(request) > 0;
        if (is_sent && harness.sends.back().engine == 7) sent_core_s[harness.now] += 0.5;
        if (is_sent)
          harness.end_attempt(request, 0, harness.sends.back().engine, AttemptStatus::served, 500ms);
      }
      const auto sends_before = harness.sends.size();
      harness.run_until(harness.now + 20ms);
      for (auto n = sends_before; n < harness.sends.size(); ++n)
        sent_core_s[harness.now] += harness.sends[n].engine == 7 ? 0.5 : 0;
    }
  }
  double total_core_s = 0;
  for (const auto& [from, unused] : sent_core_s) {
    double window_core_s = 0;
    for (const auto& [at, core_s] : sent_core_s) window_core_s += at >= from && at < from + 2s ? core_s : 0;
    // The engine started at 99 s. One core of capacity does 0.85 core-seconds of work a second.
    const double capacity_share = 0.4 + 0.6 * std::chrono::duration<double>(from + 1s - 100s).count() / 10;
    EXPECT_LE(window_core_s, 2.5 * capacity_share * 0.85 * 4 * 2);
    total_core_s += sent_core_s[from];
  }
  EXPECT_GT(total_core_s, 2) << "the engine must not be kept idle either";
}

INSTANTIATE_TEST_SUITE_P(FewAndManyGateways, SlowStartFleet, ::testing::Values(3U, 60U));

TEST(SlowStart, EngineThatHasCompletedItIsNotLimited) {
  Settings settings = base_settings();
  GatewayHarness harness(settings);
  auto running_engine = engine_entry(7);
  running_engine.last_start = harness.now - 10s;
  harness.update_membership({running_engine});
  for (RequestId request = 1; request <= 8; ++request) harness.submit_request(request, kSafeClass);
  EXPECT_EQ(harness.sends_to_engine(7), 8);
}

// ---- order, placement, retry budget --------------------------------------------------------------------

TEST(Order, OneRequestPerKeyIsInFlightAndAQuietPeriodFollowsATimeout) {
  Settings settings = base_settings();
  settings.classes[kSafeClass].ordered_by_key = true;
  settings.order_quiet_period = 300ms;
  settings.max_attempts = 1;
  GatewayHarness harness(settings);
  harness.update_membership({engine_entry(7), engine_entry(8)});
  harness.submit_request(1, kSafeClass, 5s, 42);
  harness.submit_request(2, kSafeClass, 5s, 42);
  harness.submit_request(3, kSafeClass, 5s, 43);
  harness.submit_request(4, kSafeClass, 5s, 0);
  EXPECT_EQ(harness.sends_for_request(1), 1);
  EXPECT_EQ(harness.sends_for_request(2), 0);
  EXPECT_EQ(harness.sends_for_request(3), 1);
  EXPECT_EQ(harness.sends_for_request(4), 1);
  const Time ended_at = harness.now;
  harness.end_attempt(1, 0, harness.sends[0].engine, AttemptStatus::timed_out);
  harness.run_until(ended_at + 280ms);
  EXPECT_EQ(harness.sends_for_request(2), 0);
  harness.run_until(ended_at + 320ms);
  EXPECT_EQ(harness.sends_for_request(2), 1);
}

// The statement of a dropped query may still arrive at the engine after the engine has reported the query
// unknown.
TEST(Order, QuietPeriodFollowsADroppedQuery) {
  Settings settings = base_settings();
  settings.classes[kSafeClass].ordered_by_key = true;
  settings.order_quiet_period = 300ms;
  settings.max_attempts = 1;
  GatewayHarness harness(settings);
  harness.update_membership({engine_entry(7), engine_entry(8)});
  harness.submit_request(1, kSafeClass, 5s, 42);
  harness.submit_request(2, kSafeClass, 5s, 42);
  const Time ended_at = harness.now;
  harness.end_attempt(1, 0, harness.sends[0].engine, AttemptStatus::query_dropped);
  harness.run_until(ended_at + 280ms);
  EXPECT_EQ(harness.sends_for_request(2), 0);
  harness.run_until(ended_at + 320ms);
  EXPECT_EQ(harness.sends_for_request(2), 1);
}

TEST(Order, CancelledRequestBlocksItsKeyUntilItsAttemptEnds) {
  Settings settings = base_settings();
  settings.classes[kSafeClass].ordered_by_key = true;
  GatewayHarness harness(settings);
  harness.update_membership({engine_entry(7)});
  harness.submit_request(1, kSafeClass, 5s, 42);
  harness.submit_request(2, kSafeClass, 5s, 42);
  harness.handle_at(harness.now, {RequestCancelled{1}});
  EXPECT_EQ(harness.sends_for_request(2), 0);
  harness.end_attempt(1, 0, 7, AttemptStatus::error);
  EXPECT_EQ(harness.sends_for_request(2), 1);
}

TEST(Placement, RestrictsEveryAttemptAlsoWhenNoAllowedEngineIsLeft) {
  Settings settings = base_settings();
  settings.classes[kSafeClass].allowed_zones = {{1}};
  settings.classes[kSafeClass].allowed_kinds = {{1}};
  GatewayHarness harness(settings);
  harness.update_membership(
      {engine_entry(7, 1, 0), engine_entry(8, 0, 1), engine_entry(9, 1, 1), engine_entry(10, 1, 1)});
  harness.submit_request(1, kSafeClass);
  harness.end_attempt(1, 0, harness.sends.back().engine, AttemptStatus::timed_out);
  harness.end_attempt(1, 1, harness.sends.back().engine, AttemptStatus::timed_out);
  EXPECT_EQ(harness.sends_for_request(1), 3);
  EXPECT_EQ(harness.sends_to_engine(7) + harness.sends_to_engine(8), 0);
  harness.update_membership({engine_entry(7, 1, 0), engine_entry(8, 0, 1)});
  harness.submit_request(2, kSafeClass);
  harness.run_until(harness.now + 2s);
  EXPECT_EQ(harness.sends_for_request(2), 0);
  EXPECT_EQ(harness.error_replies(2), 1);
}

TEST(RetryBudget, LimitsRetriesByTheRequestsThatArrivedInTheWindow) {
  Settings settings = base_settings();
  settings.retry_budget = RetryBudget{10s, 1, 0.2};
  GatewayHarness harness(settings);
  harness.update_membership({engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10)});
  const auto is_retried = [&harness](RequestId request) {
    harness.submit_request(request, kSafeClass);
    const auto first_attempt = harness.sends.back();
    if (first_attempt.request != request) return false;
    const auto sends_before = harness.sends.size();
    harness.end_attempt(request, 0, first_attempt.engine, AttemptStatus::rejected);
    harness.run_until(harness.now + 400ms);
    const bool is_sent_again = harness.sends.size() > sends_before;
    if (is_sent_again) harness.end_attempt(request, 1, harness.sends.back().engine, AttemptStatus::served);
    return is_sent_again;
  };
  EXPECT_TRUE(is_retried(1));   // 1 retry <= 1 + 0.2 x 1 request
  EXPECT_FALSE(is_retried(2));  // 2 > 1 + 0.2 x 2
  EXPECT_FALSE(is_retried(3));
  EXPECT_FALSE(is_retried(4));
  EXPECT_TRUE(is_retried(5));  // 2 <= 1 + 0.2 x 5
  EXPECT_FALSE(is_retried(6));
  harness.run_until(harness.now + 11s);
  EXPECT_TRUE(is_retried(7)) << "the earlier retries are outside the window";
}

// ---- settings -------------------------------------------------------------------------------------------

TEST(InvalidSettings, ThrowAndNameTheField) {
  Settings settings = base_settings();
  settings.gateways = 0;
  try {
    Gateway gateway(settings, 1);
    FAIL();
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("gateways"), std::string::npos);
  }
  settings = base_settings();
  settings.classes[0].latency_target = 0s;
  EXPECT_THROW(Gateway(settings, 1), std::invalid_argument);
  settings = base_settings();
  settings.kinds.clear();
  EXPECT_THROW(Gateway(settings, 1), std::invalid_argument);
}

TEST(DefaultSettings, OptionalFieldsMayStayUnset) {
  Settings settings;
  settings.classes = {base_settings().classes[0]};
  settings.kinds = {{"one", 1, 0}};
  GatewayHarness harness(settings);
  auto started_engine = engine_entry(7);
  started_engine.last_start = harness.now;
  harness.update_membership({started_engine});
  harness.submit_request(1, 0);
  EXPECT_EQ(harness.sends_for_request(1), 1);
}

}  // namespace
}  // namespace heronwell::test
