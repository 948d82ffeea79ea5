// Thread budgets, release order and determinism. The budgets are compared with the controller equation
// U(m) = U(m-1) + g (E(m) - r E(m-1)), with g = -0.80 in tenths of the total thread budget, r = 0.30, the
// error E in wait targets, and a wait target of 0.30 of the latency target.
#include <gtest/gtest.h>

#include "gateway_harness.hpp"

namespace heronwell::test {
namespace {

// One class with a wait target of 30 s, and one attempt for each request.
Settings control_loop_settings() {
  Settings settings = base_settings();
  settings.kinds = {{"one", 10, 0}};  // total budget with one engine and one gateway: 20 threads
  settings.classes.resize(1);
  settings.classes[0].latency_target = 100s;         // wait target 30 s
  settings.classes[0].latency_target_per_work = 10;  // no request is rejected during the test
  settings.classes[0].request_timeout = 1000s;
  settings.max_attempts = 1;
  return settings;
}

TEST(ControlLoop, BudgetOfAClassWithoutWaitFallsToTheThreadsOfOneQuery) {
  Settings settings = control_loop_settings();
  settings.classes[0].threads = 2;
  GatewayHarness harness(settings);
  harness.update_membership({engine_entry(7)});
  harness.run_until(harness.now + 10s);
  EXPECT_DOUBLE_EQ(harness.gateway.class_stats(0).thread_budget, 2);
  EXPECT_DOUBLE_EQ(harness.gateway.total_thread_budget(), 20);
}

TEST(ControlLoop, WithoutReadyEnginesBudgetsStayAtTheMinimum) {
  GatewayHarness harness(control_loop_settings());
  harness.update_membership({engine_entry(7)});
  harness.update_membership({with_state(engine_entry(7), EngineState::draining)},
                            MembershipUpdateKind::delta);
  harness.submit_request(1, 0, 500s);
  harness.run_until(harness.now + 60s);
  // The only engine drains, so the total is 0 threads and the class keeps its minimum, though its query has
  // waited past the wait target.
  EXPECT_DOUBLE_EQ(harness.gateway.class_stats(0).thread_budget, 1);
  EXPECT_DOUBLE_EQ(harness.gateway.total_thread_budget(), 0);
}

TEST(ControlLoop, BudgetFollowsTheControllerEquation) {
  Settings settings = control_loop_settings();
  settings.kinds[0].cores = 10;
  GatewayHarness harness(settings);
  // This class uses all threads of the only engine and has one more query queued: the error falls below 0.
  harness.update_membership({engine_entry(7)});
  for (RequestId request = 1; request <= 21; ++request) harness.submit_request(request, 0, 900s);
  ASSERT_EQ(harness.gateway.class_stats(0).queued, 1U) << "20 threads are in use and one query is queued";
  // Period m ends 2m seconds after the start; one query has been queued since then, so it has waited 2m
  // seconds. Period 1 also counts the 20 that were sent at once: mean wait 2 / 21 s.
  const double total_budget = 20, gain = -0.8 * total_budget / 10;
  double output = 1, previous_error = 0;
  for (int period = 1; period <= 25; ++period) {
    // Without progress reports the engine would be considered silent.
    harness.handle_at(harness.now, {ProgressReport{1, 0, 7, ProgressKind::spill, 1}});
    harness.run_until(100s + std::chrono::milliseconds(2000 * period + 19));
    const double wait_s = period == 1 ? 2.0 / 21 : 2.0 * period;
    const double error = (30 - wait_s) / 30;
    output = std::clamp(output + gain * (error - 0.3 * previous_error), 1.0, total_budget);
    previous_error = error;
    EXPECT_NEAR(harness.gateway.class_stats(0).thread_budget, output, 1e-6) << "period " << period;
  }
  EXPECT_GT(output, 1.0) << "the sequence must leave the lower bound";
}

// Two classes with queued queries: the first gets its controller output, the second what remains of the total
// budget. After a period in which the outputs exceeded the total, each class continues from its budget
// instead of its output (anti-windup).
TEST(ControlLoop, BudgetsAreAssignedByPriorityAndContinueFromThemAfterSaturation) {
  Settings settings = control_loop_settings();
  settings.classes.push_back(settings.classes[0]);
  settings.classes[1].latency_target = 101s;  // second in priority order; wait target 30.3 s
  GatewayHarness harness(settings);
  harness.update_membership({engine_entry(7)});
  for (RequestId request = 1; request <= 21; ++request) harness.submit_request(request, 0, 900s);
  harness.submit_request(22, 1, 900s);
  const double total_budget = 20, gain = -1.6, wait_targets_s[] = {30, 30.3};
  double outputs[] = {1, 1}, budgets[] = {1, 1}, previous_errors[] = {0, 0};
  bool was_saturated = false;
  for (int period = 1; period <= 36; ++period) {
    harness.handle_at(harness.now, {ProgressReport{1, 0, 7, ProgressKind::spill, 1}});
    harness.run_until(100s + std::chrono::milliseconds(2000 * period + 19));
    const bool is_saturated = outputs[0] + outputs[1] > total_budget;
    was_saturated = was_saturated || is_saturated;
    for (int class_index = 0; class_index < 2; ++class_index) {
      const double wait_s = period == 1 && class_index == 0 ? 2.0 / 21 : 2.0 * period;
      const double error = (wait_targets_s[class_index] - wait_s) / wait_targets_s[class_index];
      outputs[class_index] = std::clamp((is_saturated ? budgets[class_index] : outputs[class_index]) +
                                            gain * (error - 0.3 * previous_errors[class_index]),
                                        1.0, total_budget);
      previous_errors[class_index] = error;
    }
    budgets[0] = std::min(outputs[0], total_budget);
    budgets[1] = std::max(1.0, std::min(outputs[1], total_budget - budgets[0]));
    for (ClassIndex class_index = 0; class_index < 2; ++class_index)
      EXPECT_NEAR(harness.gateway.class_stats(class_index).thread_budget, budgets[class_index], 1e-6)
          << "period " << period << " class " << class_index;
  }
  EXPECT_TRUE(was_saturated);
}

TEST(ControlLoop, RemovedEngineLowersTheTotalBudgetAtOnce) {
  GatewayHarness harness(control_loop_settings());
  harness.update_membership({engine_entry(7), engine_entry(8)});
  EXPECT_DOUBLE_EQ(harness.gateway.total_thread_budget(), 40);
  harness.update_membership({with_state(engine_entry(8), EngineState::gone)}, MembershipUpdateKind::delta);
  EXPECT_DOUBLE_EQ(harness.gateway.total_thread_budget(), 20);
}

TEST(ReleaseOrder, ShorterLatencyTargetIsFirstAndThenHigherValue) {
  Settings settings = base_settings();
  settings.kinds = {{"one", 0.5, 0}};  // one thread
  settings.classes.resize(3);
  settings.classes[0].latency_target = 2s;
  settings.classes[1].latency_target = 1s;
  settings.classes[2].latency_target = 1s;
  settings.classes[1].idempotency = settings.classes[2].idempotency = Idempotency::safe;
  settings.classes[2].value = 5;
  GatewayHarness harness(settings);
  harness.update_membership({engine_entry(7)});
  for (RequestId request = 1; request <= 4; ++request) harness.submit_request(request, 0);
  const auto sends_before = harness.sends.size();
  ASSERT_LT(sends_before, 4U);
  harness.submit_request(11, 1);
  harness.submit_request(12, 2);
  ASSERT_EQ(harness.sends.size(), sends_before);
  for (RequestId request = 1; request <= 4 && harness.sends.size() < sends_before + 2; ++request) {
    if (harness.sends_for_request(request) > 0) harness.end_attempt(request, 0, 7, AttemptStatus::served);
  }
  ASSERT_GT(harness.sends.size(), sends_before);
  EXPECT_EQ(harness.sends[sends_before].request, 12U);
}

TEST(Determinism, EqualSeedsAndEventsGiveEqualSends) {
  const auto run_gateway = [] {
    GatewayHarness harness(base_settings(), 99);
    harness.update_membership({engine_entry(3), engine_entry(4), engine_entry(5)});
    for (RequestId request = 1; request <= 30; ++request) {
      harness.submit_request(request, static_cast<ClassIndex>(request % 3));
      harness.run_until(harness.now + 30ms);
    }
    std::vector<std::pair<RequestId, EngineId>> engine_by_request;
    for (const auto& send : harness.sends) engine_by_request.emplace_back(send.request, send.engine);
    return engine_by_request;
  };
  EXPECT_EQ(run_gateway(), run_gateway());
}

}  // namespace
}  // namespace heronwell::test
