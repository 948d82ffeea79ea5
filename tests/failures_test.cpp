// Regression tests of the decision module, one for each failure that was found. Each test fails without the
// rule that prevents its failure.
#include <gtest/gtest.h>

#include <map>
#include <tuple>

#include "gateway_harness.hpp"

namespace heronwell::test {
namespace {

TEST(EngineErrors, AnEngineThatFailsFastIsEjectedThoughItsLoadIsLow) {
  GatewayHarness driver(base_settings());
  driver.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  int sends_to_failing = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    const auto first_new_send = driver.sends.size();
    driver.submit_request(id, 0, 5s, 0, id);  // a data group of its own
    for (auto i = first_new_send; i < driver.sends.size(); ++i) {
      const auto send = driver.sends[i];
      sends_to_failing += send.engine == 8 ? 1 : 0;
      const auto attempt = static_cast<AttemptIndex>(driver.sends_for_request(send.request) - 1);
      driver.end_attempt(send.request, attempt, send.engine,
                         send.engine == 8 ? AttemptStatus::error : AttemptStatus::served);
    }
    driver.run_until(driver.now + 20ms);
  }
  EXPECT_LE(sends_to_failing, 4) << "two errors in a row, then one half-open query at a time";
  EXPECT_GE(sends_to_failing, 2);
}

// Guards against ejections caused by invalid queries: a query that no engine accepts was retried on one
// engine after the other, and each was ejected for its error, 159 times in 20 s.
TEST(EngineErrors, AQueryThatFailsOnTwoEnginesIsNotRetriedAndNoEngineIsEjected) {
  GatewayHarness driver(base_settings());
  driver.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  for (RequestId id = 1; id <= 20; ++id) {
    driver.submit_request(id, 0, 5s, 0, id);
    for (int attempt = 0; attempt < driver.sends_for_request(id); ++attempt)
      driver.end_attempt(id, static_cast<AttemptIndex>(attempt), driver.sends.back().engine,
                         AttemptStatus::error);
    EXPECT_EQ(driver.sends_for_request(id), 2);
    EXPECT_EQ(driver.error_replies(id), 1);
    driver.run_until(driver.now + 20ms);
  }
  for (RequestId id = 101; id <= 103; ++id) driver.submit_request(id, 0, 5s, 0, id);
  EXPECT_EQ(driver.sends_to_engine(7) + driver.sends_to_engine(8) + driver.sends_to_engine(9), 43);
  EXPECT_EQ(driver.sends_for_request(101) + driver.sends_for_request(102) + driver.sends_for_request(103), 3)
      << "none is queued";
}

TEST(EngineErrors, AnEngineThatRecoversReceivesQueriesAgain) {
  GatewayHarness driver(base_settings());
  driver.update_membership({engine_entry(7), engine_entry(8)});
  const auto run_queries = [&driver](RequestId first_id, RequestId last_id, bool failing) {
    for (RequestId id = first_id; id <= last_id; ++id) {
      const auto first_new_send = driver.sends.size();
      driver.submit_request(id, 0, 5s, 0, id);  // a data group of its own
      for (auto i = first_new_send; i < driver.sends.size(); ++i) {
        const auto send = driver.sends[i];
        const auto attempt = static_cast<AttemptIndex>(driver.sends_for_request(send.request) - 1);
        driver.end_attempt(send.request, attempt, send.engine,
                           failing && send.engine == 8 ? AttemptStatus::error : AttemptStatus::served);
      }
      driver.run_until(driver.now + 50ms);
    }
  };
  run_queries(1, 20, true);
  const int sends_while_failing = driver.sends_to_engine(8);
  run_queries(21, 120, false);
  EXPECT_GT(driver.sends_to_engine(8) - sends_while_failing, 20);
}

TEST(SilentEngines, AttemptsOnASilentEngineAreCancelledAndItReceivesNoMore) {
  Settings settings = base_settings();
  settings.progress_interval = 500ms;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7)});
  driver.submit_request(1, 0);
  driver.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  driver.run_until(driver.now + 1700ms);
  ASSERT_EQ(driver.cancelled_attempts.size(), 1U);
  driver.end_attempt(1, 0, 7, AttemptStatus::cancelled);
  ASSERT_EQ(driver.sends_for_request(1), 2);
  EXPECT_NE(driver.sends.back().engine, 7U);
}

TEST(SilentEngines, WithoutCancellationASilentEngineStillReceivesNoMore) {
  Settings settings = base_settings();
  settings.can_cancel = false;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7)});
  for (RequestId id = 1; id <= 4; ++id) driver.submit_request(id, 0);
  ASSERT_EQ(driver.sends_to_engine(7), 4);
  driver.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  driver.run_until(driver.now + 1s);
  const int sends_before = driver.sends_to_engine(7);
  for (RequestId id = 10; id <= 14; ++id) driver.submit_request(id, 0);
  EXPECT_EQ(driver.sends_to_engine(7), sends_before);
  EXPECT_TRUE(driver.cancelled_attempts.empty());
}

// Guards against attempt timeouts shorter than the client's: they left work running on engines that ignore
// cancellation, and ended valid long queries: 4% on a day of low load.
TEST(AttemptDeadlines, AHealthyEngineGetsAllTheTimeThatTheClientHasLeft) {
  GatewayHarness driver(base_settings());
  driver.update_membership({engine_entry(7)});
  driver.submit_request(1, 0, 5s);
  EXPECT_GT(driver.sends[0].deadline, driver.now + 4900ms);
  EXPECT_LT(driver.sends[0].deadline, driver.now + 5s);
}

// Guards against congestion by many gateways: each gateway that had no query on a full engine still sent one.
TEST(LoadReports, AnEngineReportedFullReceivesNoQueries) {
  Settings settings = base_settings();
  settings.gateways = 8;
  settings.load_fields = {LoadField::inflight};
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7)});
  driver.submit_request(1, 0);
  AttemptResult result;
  result.request = 1;
  result.engine = 7;
  result.request_closed = true;
  result.load = {60};
  driver.handle_at(driver.now, {result});
  driver.submit_request(2, 0);
  EXPECT_EQ(driver.sends_for_request(2), 0);
}

// Guards against false silence: one query far longer than usual made its engine count as silent, 153 times in
// a day without any failure.
TEST(SilentEngines, OneLongQueryDoesNotMakeItsEngineSilent) {
  Settings settings = base_settings();
  settings.classes[0].request_timeout = 60s;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  driver.submit_request(1, 0, 60s);
  const auto engine_id = driver.sends[0].engine;
  driver.run_until(driver.now + 10s);
  EXPECT_TRUE(driver.cancelled_attempts.empty());
  EXPECT_DOUBLE_EQ(driver.gateway.total_thread_budget(), 24)
      << "engine " << engine_id << " is still in the thread budget";
}

// Guards against herding: load reports are delayed and the same for all gateways, so by reports alone every
// gateway sent to the same engine at once.
TEST(LoadReports, AnEngineReportedIdleDoesNotReceiveEveryQuery) {
  Settings settings = base_settings();
  settings.gateways = 4;
  settings.load_fields = {LoadField::inflight};
  settings.kinds = {{"one", 16, 0}};
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  for (const EngineId id : {7U, 8U, 9U}) {
    ProbeResult probe;
    probe.engine = id;
    probe.load = {id == 8 ? 0.0 : 8.0};
    driver.handle_at(driver.now, {probe});
  }
  for (RequestId id = 1; id <= 8; ++id) driver.submit_request(id, 0);
  EXPECT_LT(driver.sends_to_engine(8), 8);
  EXPECT_GE(driver.sends_to_engine(8), 2) << "but more than the others";
}

// Guards against cold caches: with queries spread evenly, no engine had the data of a group cached. Between
// two engines of equal load, all gateways also chose the same one.
TEST(DataAffinity, QueriesOfADataGroupPreferTheSameTwoEnginesAtEqualLoad) {
  Settings settings = base_settings();
  settings.kinds = {{"one", 32, 0}};
  std::map<EngineId, int> sends_by_engine;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    GatewayHarness driver(settings, seed);
    driver.update_membership(
        {engine_entry(3), engine_entry(4), engine_entry(5), engine_entry(6), engine_entry(7)});
    driver.submit_request(1, 0, 5s, 0, 12);
    ++sends_by_engine[driver.sends[0].engine];
  }
  EXPECT_EQ(sends_by_engine.size(), 2U);
}

// Guards against reservations that are too small: where the engines chose them, queries with heavy-tailed
// memory needs spilled to disk and took several times their work.
TEST(MemoryReservations, FollowTheNeedsReportedInResponses) {
  Settings settings = base_settings();
  settings.memory_reservations = true;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7)});
  const auto reserved_mb = [&driver](RequestId id) {
    Arrival arrival;
    arrival.request = id;
    arrival.time_left = 5s;
    for (const auto& action : driver.handle_at(driver.now, {arrival}))
      if (const auto* limits = std::get_if<ExecutionLimits>(&action)) return limits->memory_mb;
    return -1.0;
  };
  EXPECT_EQ(reserved_mb(1), 0) << "nothing reported yet: the engine decides";
  AttemptResult result;
  result.request = 1;
  result.engine = 7;
  result.request_closed = true;
  result.work = 100ms;
  result.memory_needed_mb = 100;
  driver.handle_at(driver.now, {result});
  EXPECT_GT(reserved_mb(2), 200);
}

// Guards against early rejection: classes of long queries were rejected though their latency target, which
// grows with their work, left time.
TEST(Queueing, AClassWhoseLatencyTargetGrowsWithItsWorkIsQueuedLonger) {
  Settings settings = base_settings();
  settings.classes[2].idempotency = Idempotency::safe;
  settings.classes[2].latency_target = settings.classes[0].latency_target;
  settings.classes[2].latency_target_per_work = 8;
  GatewayHarness driver(settings);
  driver.update_membership({});
  driver.submit_request(1, 0);
  driver.submit_request(2, 2);
  driver.run_until(driver.now + 1s);
  EXPECT_EQ(driver.rejections[1], 1);
  EXPECT_EQ(driver.rejections[2], 0);
  driver.run_until(driver.now + 1s);
  EXPECT_EQ(driver.rejections[2], 1);
}

// Guards against locks on nearly every engine: with the bulk loads of hot data groups spread over the fleet,
// most short queries were blocked by loads.
TEST(BulkLoads, LoadsOfADataGroupShareTwoEnginesAndReadersAvoidThem) {
  Settings settings = base_settings();
  settings.classes[1].locks_data_group = true;
  settings.classes[0].waits_for_data_group = true;
  GatewayHarness first_driver(settings, 1), second_driver(settings, 2);
  for (GatewayHarness* driver : {&first_driver, &second_driver}) {
    driver->update_membership(
        {engine_entry(3), engine_entry(4), engine_entry(5), engine_entry(6), engine_entry(7)});
    for (RequestId id = 1; id <= 4; ++id) driver->submit_request(id, 1, 5s, 0, 12);
  }
  std::map<EngineId, int> loads_by_engine;
  for (const GatewayHarness* driver : {&first_driver, &second_driver})
    for (const auto& send : driver->sends) ++loads_by_engine[send.engine];
  EXPECT_EQ(loads_by_engine.size(), 2U) << "both gateways choose the same two without messages";
  for (RequestId id = 11; id <= 16; ++id) {
    first_driver.submit_request(id, 0, 5s, 0, 12);
    ASSERT_EQ(first_driver.sends_for_request(id), 1);
    EXPECT_FALSE(loads_by_engine.contains(first_driver.sends.back().engine));
  }
}

// Guards against a slowed engine: another program took most of one engine of five, and at a latency ratio of
// 5 it still received as many queries as the others.
TEST(SlowEngines, AnEngineFarSlowerThanTheFleetReceivesFewerQueriesAndNoBulkLoads) {
  Settings settings = base_settings();
  settings.kinds = {{"one", 16, 8192}};
  settings.classes[0].waits_for_data_group = settings.classes[2].locks_data_group = true;
  settings.classes[2].deduplication_scope = DeduplicationScope::all;
  settings.reports_cost = true;
  GatewayHarness driver(settings);
  driver.update_membership(
      {engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10), engine_entry(11)});
  std::vector<std::tuple<Time, RequestId, EngineId>> running;
  std::map<EngineId, int> queries_by_engine, loads_by_engine;
  RequestId id = 0;
  std::map<EngineId, int> later_sends_by_engine;
  for (int step = 0; step < 4000; ++step) {
    const auto first_new_send = driver.sends.size();
    const auto latency_on = [&](EngineId engine_id) { return engine_id == 8 && step < 2000 ? 500ms : 100ms; };
    const bool is_load = step % 3 == 0;
    driver.submit_request(++id, is_load ? 2 : 0, 5s, 0, step % 40);
    for (auto i = first_new_send; i < driver.sends.size(); ++i) {
      const auto engine_id = driver.sends[i].engine;
      running.emplace_back(driver.now + latency_on(engine_id), driver.sends[i].request, engine_id);
      if (step >= 1000 && step < 2000) ++(is_load ? loads_by_engine : queries_by_engine)[engine_id];
      if (step >= 3000) ++later_sends_by_engine[engine_id];
    }
    driver.run_until(driver.now + 10ms);
    for (auto attempt = running.begin(); attempt != running.end();) {
      const auto [end_time, request, engine_id] = *attempt;
      if (end_time > driver.now) {
        ++attempt;
        continue;
      }
      attempt = running.erase(attempt);
      AttemptResult result;
      result.request = request;
      result.attempt = static_cast<AttemptIndex>(driver.sends_for_request(request) - 1);
      result.engine = engine_id;
      result.latency = latency_on(engine_id);
      result.work = 100ms;
      result.request_closed = true;
      driver.handle_at(driver.now, {result});
    }
  }
  EXPECT_LT(queries_by_engine[8] * 10, queries_by_engine[7]);
  // Without queries there are no new latencies: the engine was locked out for good.
  EXPECT_GT(later_sends_by_engine[8] * 3, later_sends_by_engine[7]);
  EXPECT_LE(loads_by_engine[8], 2);  // when the engine is tried again
}

TEST(BadQueryPlans, AnAttemptThatWouldTakeFarTooLongIsRetriedOnce) {
  Settings settings = base_settings();
  settings.progress_interval = 500ms;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  driver.submit_request(1, 0);
  driver.run_until(driver.now + 1s);
  driver.handle_at(driver.now, {ProgressReport{1, 0, driver.sends[0].engine, ProgressKind::progress, 0.02}});
  ASSERT_EQ(driver.cancelled_attempts.size(), 1U);
  driver.end_attempt(1, 0, driver.sends[0].engine, AttemptStatus::cancelled);
  ASSERT_EQ(driver.sends_for_request(1), 2);
  driver.run_until(driver.now + 500ms);
  driver.handle_at(driver.now, {ProgressReport{1, 1, driver.sends[1].engine, ProgressKind::progress, 0.01}});
  driver.run_until(driver.now + 500ms);
  driver.handle_at(driver.now, {ProgressReport{1, 1, driver.sends[1].engine, ProgressKind::progress, 0.02}});
  EXPECT_EQ(driver.cancelled_attempts.size(), 1U)
      << "slow progress of the retry too means that the query is long";
}

TEST(BadQueryPlans, AnUnsafeAttemptIsNotCancelled) {
  Settings settings = base_settings();
  settings.progress_interval = 500ms;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  driver.submit_request(1, 1);
  driver.run_until(driver.now + 1s);
  driver.handle_at(driver.now, {ProgressReport{1, 0, driver.sends[0].engine, ProgressKind::progress, 0.001}});
  EXPECT_TRUE(driver.cancelled_attempts.empty());
}

// Guards against slow start of a healthy fleet: responses were lost on all engines, with a connection reset
// each; every engine counted as restarted and received queries only by slow-start admission slots.
TEST(UnreachableEngines, AnEngineThatRespondsSoonAfterAResetHasNotRestarted) {
  for (const Time response_delay : {5ms, 900ms}) {  // 900 ms: the process may have ended meanwhile
    Settings settings = base_settings();
    settings.gateways = 40;
    settings.can_probe = true;
    settings.load_fields = {LoadField::inflight};
    GatewayHarness driver(settings);
    driver.update_membership({engine_entry(7)});
    driver.submit_request(1, 0);
    driver.run_until(driver.now + 60ms);
    ASSERT_EQ(driver.sends_for_request(1), 1);
    AttemptResult result;
    result.request = 1;
    result.engine = 7;
    result.status = AttemptStatus::connection_reset;
    const auto actions = driver.handle_at(driver.now, {result});
    const auto is_probe = [](const Action& action) { return std::holds_alternative<Probe>(action); };
    EXPECT_TRUE(std::ranges::any_of(actions, is_probe)) << "probed at once";
    driver.run_until(driver.now + response_delay);
    ProbeResult probe;
    probe.engine = 7;
    probe.status = AttemptStatus::served;
    probe.load = {1.0};
    driver.handle_at(driver.now, {probe});
    for (RequestId id = 2; id < 10; ++id) driver.submit_request(id, 0);
    driver.run_until(driver.now + 60ms);
    EXPECT_EQ(driver.sends.size() > 3, response_delay < 500ms);
  }
}

TEST(UnreachableEngines, AnEngineThatBreaksConnectionsGetsASlowStartFromAllGateways) {
  for (const auto status : {AttemptStatus::connect_failed, AttemptStatus::connection_reset}) {
    int gateways_that_sent = 0, early_sends = 0;
    for (unsigned gateway_index = 0; gateway_index < 40; ++gateway_index) {
      Settings settings = base_settings();
      settings.gateways = 40;
      settings.gateway_index = gateway_index;
      GatewayHarness driver(settings, 1 + gateway_index);
      driver.update_membership({engine_entry(7)});
      driver.submit_request(1, 0);
      driver.end_attempt(1, 0, 7, status);
      const auto break_time = driver.now;
      for (RequestId id = 2; id < 30; ++id) {
        driver.submit_request(id, 0);
        driver.run_until(driver.now + 100ms);
      }
      gateways_that_sent += driver.sends.size() > 1 ? 1 : 0;
      for (std::size_t send = 1; send < driver.sends.size(); ++send)
        early_sends += driver.now < break_time + 3s ? 1 : 0;
    }
    EXPECT_LT(gateways_that_sent, 20) << "queries of forty gateways at once would overload a new process";
    EXPECT_GT(gateways_that_sent, 0);
    EXPECT_LT(early_sends, 20);
  }
}

// Guards against ejection of a healthy engine: without probes, one connection that broke in the network
// ejected the engine and kept it in slow start.
TEST(UnreachableEngines, AnEngineThatRespondedAfterItsConnectionBrokeIsNotEjectedForOneLoss) {
  for (const auto status : {AttemptStatus::query_dropped, AttemptStatus::connection_reset}) {
    GatewayHarness driver(base_settings());
    driver.update_membership({engine_entry(7)});
    driver.submit_request(1, 0);
    driver.end_attempt(1, 0, 7, status);
    driver.end_attempt(1, 1, 7, AttemptStatus::served);
    for (RequestId id = 2; id < 12; ++id) driver.submit_request(id, 0);
    EXPECT_EQ(driver.sends.size(), status == AttemptStatus::query_dropped ? 10U : 1U);
  }
}

TEST(UnreachableEngines, AnEngineThatLosesQueryAfterQueryIsEjected) {
  GatewayHarness driver(base_settings());
  driver.update_membership({engine_entry(7), engine_entry(8)});
  RequestId id = 0;
  for (int query = 0; query < 40; ++query) {
    driver.submit_request(++id, 0);
    const auto send = driver.sends.back();
    driver.end_attempt(id, 0, send.engine,
                       send.engine == 7 ? AttemptStatus::query_dropped : AttemptStatus::served);
  }
  EXPECT_LE(driver.sends_to_engine(7), 6);
}

TEST(ManyEngines, AnEngineWithoutReportsIsNotAssumedIdle) {
  Settings settings = base_settings();
  settings.gateways = 100;
  settings.can_probe = true;
  settings.load_fields = {LoadField::inflight};
  GatewayHarness driver(settings);
  std::vector<EngineEntry> engines;
  for (EngineId id = 1; id <= 40; ++id) engines.push_back(engine_entry(id));
  driver.update_membership(engines);
  for (EngineId id = 1; id <= 40; ++id) {  // all overloaded but one that is reported idle
    ProbeResult probe;
    probe.engine = id;
    probe.load = {id == 5 ? 0.0 : 20.0};
    if (id <= 4 || id == 5 || id > 33) driver.handle_at(driver.now, {probe});
  }
  driver.submit_request(1, 0);
  driver.run_until(driver.now + 60ms);
  ASSERT_EQ(driver.sends_for_request(1), 1);
  EXPECT_EQ(driver.sends.back().engine, 5U);
}

TEST(ManyEngines, ProbesAndMessageBytesPerQueryDoNotGrowWithTheFleet) {
  for (const unsigned engine_count : {20U, 200U}) {
    Settings settings = base_settings();
    settings.gateways = 4 * engine_count;
    settings.can_probe = settings.can_message_peers = true;
    settings.load_fields = {LoadField::inflight};
    GatewayHarness driver(settings);
    std::vector<EngineEntry> engines;
    for (EngineId id = 1; id <= engine_count; ++id) engines.push_back(engine_entry(id));
    driver.update_membership(engines);
    std::size_t probe_count = 0, message_bytes = 0;
    for (RequestId id = 1; id <= 50; ++id) {
      Arrival arrival;
      arrival.request = id;
      arrival.time_left = 5s;
      std::vector<Action> actions = driver.handle_at(driver.now, {arrival});
      for (int tick = 0; tick < 10; ++tick) {
        const auto tick_actions = driver.handle_at(driver.next_timer, {TimerExpired{}});
        actions.insert(actions.end(), tick_actions.begin(), tick_actions.end());
      }
      for (const auto& action : actions) {
        probe_count += std::holds_alternative<Probe>(action) ? 1 : 0;
        const auto* message = std::get_if<SendPeerMessage>(&action);
        if (message == nullptr) continue;
        EXPECT_TRUE(message->to.has_value()) << "never broadcast to hundreds";
        message_bytes += message->bytes.size();
      }
    }
    EXPECT_LE(probe_count, 50U);
    EXPECT_LE(message_bytes, 50U * 150U);
    EXPECT_GT(probe_count, 0U);
    EXPECT_GT(message_bytes, 0U);
  }
}

TEST(PeerMessages, AMalformedMessageIsIgnoredEntirely) {
  Settings settings = base_settings();
  settings.gateways = 3;
  settings.can_message_peers = true;
  const auto engine_chosen_after = [&settings](const std::string& bytes) {
    GatewayHarness driver(settings);
    driver.update_membership({engine_entry(7), engine_entry(8)});
    driver.handle_at(driver.now, {PeerMessage{1, bytes}});
    driver.submit_request(1, 0);
    return driver.sends.empty() ? 0U : driver.sends.back().engine;
  };
  const std::string load_on_seven("o\x07\0\0\0\x06", 6), load_on_eight("o\x08\0\0\0\x06", 6);
  EXPECT_EQ(engine_chosen_after(load_on_seven), 8U);
  EXPECT_EQ(engine_chosen_after(load_on_eight), 7U);
  const auto choice_without_message = engine_chosen_after("");
  EXPECT_EQ(engine_chosen_after(load_on_seven.substr(0, 5)), choice_without_message);
  EXPECT_EQ(engine_chosen_after(load_on_eight + "x"), choice_without_message);
  EXPECT_EQ(engine_chosen_after("?" + load_on_seven.substr(1)), choice_without_message);
}

// Returns one of many gateways after `rounds` rounds of load reports from twenty engines with 16 cores. With
// `high_variance`, every second engine is idle and the others have twice `mean_inflight` queries; otherwise
// each has `mean_inflight`, except engine 20 with half of it.
GatewayHarness driver_with_reports(bool high_variance, double mean_inflight, int rounds) {
  Settings settings = base_settings();
  settings.gateways = 200;
  settings.kinds = {{"one", 16, 0}};
  settings.load_fields = {LoadField::inflight};
  GatewayHarness driver(settings);
  std::vector<EngineEntry> engines;
  for (EngineId id = 1; id <= 20; ++id) engines.push_back(engine_entry(id));
  driver.update_membership(engines);
  for (int round = 0; round < rounds; ++round) {
    driver.run_until(driver.now + 500ms);
    for (EngineId id = 1; id <= 20; ++id) {
      ProbeResult probe;
      probe.engine = id;
      probe.load = {high_variance ? (id % 2 == 0 ? 0.0 : 2 * mean_inflight)
                                  : (id == 20 ? mean_inflight / 2 : mean_inflight)};
      driver.handle_at(driver.now, {probe});
    }
  }
  return driver;
}

// Guards against oscillation: with reports seconds late, all gateways repeatedly filled the engines that had
// been idle.
TEST(DelayedReports, ReportsWithHighVarianceAreTrustedOnlyInPart) {
  GatewayHarness low_variance = driver_with_reports(false, 20, 5),
                 high_variance = driver_with_reports(true, 20, 5);
  int sends_to_idlest = 0, sends_to_full = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (auto* driver : {&low_variance, &high_variance}) {
      driver->submit_request(id, 0, 5s, 0, id);
      ASSERT_EQ(driver->sends_for_request(id), 1);
      driver->end_attempt(id, 0, driver->sends.back().engine, AttemptStatus::served);
    }
    sends_to_idlest += low_variance.sends.back().engine == 20 ? 1 : 0;
    sends_to_full += high_variance.sends.back().engine % 2 == 1 ? 1 : 0;
  }
  EXPECT_GT(sends_to_idlest, 90) << "consistent reports show where capacity is free";
  EXPECT_GE(sends_to_full, 5) << "an engine that was full may be idle by now";
  EXPECT_LT(sends_to_full, 50);
}

TEST(DelayedReports, AGatewaysOwnThreadsShowThatAllGatewaysOvershoot) {
  for (const bool high_variance : {false, true}) {
    GatewayHarness driver = driver_with_reports(high_variance, 28, 10);
    const auto sends_before = driver.sends.size();
    for (RequestId id = 1; id <= 6; ++id)
      driver.submit_request(id, 0, 5s, 0, id);  // far more than it ran recently
    EXPECT_EQ(driver.sends.size() - sends_before, high_variance ? 2U : 6U);
  }
}

// Guards against a fleet load that stays too high: a quarter of the fleet restarted and its queries were
// lost, yet the fleet load stayed high and all requests were rejected.
TEST(ManyGateways, TheFleetLoadFromPeerMessagesFollowsWithinTwentyMessages) {
  Settings settings = base_settings();
  settings.gateways = 40;
  settings.can_message_peers = true;
  settings.load_fields = {LoadField::util};
  GatewayHarness other(settings), driver(settings, 2);
  std::vector<EngineEntry> engines;
  for (EngineId id = 1; id <= 5; ++id) engines.push_back(engine_entry(id));
  for (auto* each : {&other, &driver}) each->update_membership(engines);
  const auto next_message = [&other] {  // the next message of the other gateway
    for (RequestId id = 100; id < 110; ++id)
      other.submit_request(id, 5);  // no such class: rejected, but they add to the message budget
    for (int tick = 0; tick < 50; ++tick) {
      for (const auto& action : other.handle_at(other.next_timer, {TimerExpired{}}))
        if (const auto* message = std::get_if<SendPeerMessage>(&action)) return message->bytes;
    }
    return std::string();
  };
  for (RequestId id = 1; id <= 3; ++id) other.submit_request(id, 0);
  ASSERT_EQ(other.sends.size(), 3U);
  const auto busy_message = next_message();
  const auto sends_in_flight = other.sends;
  for (const auto& send : sends_in_flight)
    other.end_attempt(send.request, 0, send.engine, AttemptStatus::served);
  const auto idle_message = next_message();
  ASSERT_NE(busy_message, idle_message);
  const auto deliver = [&driver](const std::string& bytes) {
    PeerMessage message;
    message.from = 1;
    message.bytes = bytes;
    driver.handle_at(driver.now, {message});
  };
  for (int count = 0; count < 30; ++count) deliver(busy_message);
  driver.submit_request(1, 0);
  EXPECT_EQ(driver.sends.size(), 0U) << "six threads per core by messages";
  for (int count = 0; count < 20; ++count) deliver(idle_message);
  driver.submit_request(2, 0);
  EXPECT_GT(driver.sends.size(), 0U);
}

TEST(ManyGateways, LowerPriorityClassesStopEarlierSoThatTheFirstClassFindsRoom) {
  // The traffic has shifted to a heavy class for good: the fleet load is between the limits of both classes.
  Settings settings = base_settings();
  settings.gateways = 100;
  settings.can_probe = true;
  settings.load_fields = {LoadField::inflight};
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  for (EngineId id : {7U, 8U}) {
    ProbeResult probe;
    probe.engine = id;
    probe.load = {7.0};  // 1.75 threads per core
    driver.handle_at(driver.now, {probe});
  }
  driver.submit_request(1, 1);
  driver.submit_request(2, 0);
  driver.run_until(driver.now + 60ms);
  EXPECT_EQ(driver.sends_for_request(1), 0);
  EXPECT_EQ(driver.sends_for_request(2), 1);
}

TEST(LostResponses, AnEngineThatAnswersOtherQueriesIsNotEjectedAndLostOnesCompleteInTime) {
  Settings settings = base_settings();
  settings.max_attempts = 1;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7)});
  const auto start_time = driver.now;
  for (RequestId id = 1; id <= 40; ++id) {
    driver.submit_request(id, 0);
    ASSERT_EQ(driver.sends_for_request(id), 1) << "not ejected at request " << id;
    if (id % 10 != 0) driver.end_attempt(id, 0, 7, AttemptStatus::served);
    if (id % 10 == 0)
      driver.submit_request(100 + id, 0), driver.end_attempt(100 + id, 0, 7, AttemptStatus::served);
    driver.run_until(driver.now + 100ms);
  }
  driver.run_until(start_time + 10s);
  for (RequestId id = 10; id <= 40; id += 10) EXPECT_EQ(driver.error_replies(id), 1);
}

TEST(ProcessPause, AGatewayThatWasPausedBlamesNoEngineAndCompletesOverdueRequests) {
  Settings settings = base_settings();
  settings.progress_interval = 500ms;
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  driver.submit_request(1, 0);
  driver.submit_request(2, 0);
  driver.now += 2s;  // no call meanwhile; the client of a request that waited has little time left
  Arrival late;
  late.request = 3;
  late.time_left = 30ms;
  driver.handle_at(driver.now, {TimerExpired{}, late});
  EXPECT_TRUE(driver.cancelled_attempts.empty());
  driver.run_until(driver.now + 40ms);
  EXPECT_EQ(driver.error_replies(3), 1);
  driver.run_until(driver.now + 2s);
  EXPECT_EQ(driver.cancelled_attempts.size(), 2U) << "silence after the pause is still detected";
}

TEST(ProcessPause, RequestsThatWaitedMeanwhileCompleteAtOnceIfTheyWouldBeLate) {
  GatewayHarness driver(base_settings());
  driver.update_membership({engine_entry(7), engine_entry(8)});
  driver.submit_request(1, 0);  // arrives with 5 s left, as all requests do
  driver.end_attempt(1, 0, driver.sends.back().engine, AttemptStatus::served);
  driver.now += 2s;
  Arrival old_arrival, recent_arrival;
  old_arrival.request = 2;
  old_arrival.time_left = 3200ms;
  recent_arrival.request = 3;
  recent_arrival.time_left = 4900ms;
  driver.handle_at(driver.now, {old_arrival, recent_arrival});
  EXPECT_EQ(driver.error_replies(2), 1);
  EXPECT_EQ(driver.sends_for_request(2), 0);
  EXPECT_EQ(driver.sends_for_request(3), 1);
  driver.run_until(driver.now + 100ms);
  driver.submit_request(4, 0, 3200ms);  // without a pause, a short deadline is the client's own
  EXPECT_EQ(driver.sends_for_request(4), 1);
}

TEST(Tenants, AFloodDoesNotRaiseTheShareThatItIsMeasuredAgainst) {
  Settings settings = base_settings();
  settings.over_share_value = 0.05;
  settings.can_probe = true;
  settings.load_fields = {LoadField::inflight};
  settings.tenants = {{"a", 0.5, 5}, {"b", 0.5, 5}};
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  RequestId id = 0;
  const auto run_one_second = [&](int flood_queries) {
    std::vector<int> served(2);
    for (int query = 0; query < flood_queries + 5; ++query) {
      Arrival arrival;
      arrival.request = ++id;
      arrival.tenant = query < flood_queries ? 0 : 1;
      arrival.time_left = 5s;
      ProbeResult probe;
      probe.engine = 7 + id % 2;
      probe.load = {flood_queries > 5 ? 7.0 : 0.0};  // overloaded by others: above 1.5 threads per core
      driver.handle_at(driver.now, {probe, arrival});
      if (driver.sends_for_request(id) > 0) {
        ++served[arrival.tenant];
        driver.end_attempt(id, 0, driver.sends.back().engine, AttemptStatus::served, 50ms);
      }
      driver.run_until(driver.now + 1000ms / (flood_queries + 5));
    }
    return served;
  };
  for (int second = 0; second < 12; ++second) run_one_second(5);
  int flood_served = 0, other_served = 0;
  for (int second = 0; second < 10; ++second) {
    const auto served = run_one_second(100);
    flood_served += served[0];
    other_served += served[1];
  }
  EXPECT_LE(flood_served, 90) << "its share of 5 a second and what it had saved up";
  EXPECT_GE(other_served, 45);
}

TEST(Membership, AnEngineRemovedLongAgoCountsAsNewWhenItReturns) {
  GatewayHarness driver(base_settings());
  driver.update_membership({engine_entry(7), engine_entry(8)});
  for (int query = 0; query < 2; ++query) {
    driver.submit_request(1 + query, 0);
    driver.end_attempt(1 + query, 0, driver.sends.back().engine, AttemptStatus::connection_reset);
  }
  driver.update_membership({engine_entry(9)});
  driver.submit_request(10, 0);
  EXPECT_EQ(driver.sends.back().engine, 9U);
  driver.end_attempt(10, 0, 9, AttemptStatus::served);
  driver.update_membership({engine_entry(7)});
  driver.submit_request(11, 0);
  EXPECT_EQ(driver.sends_for_request(11), 1) << "its earlier failures no longer count";
}

// Guards against a tenant's share used up by requests that never ran: hundreds that were sent and cancelled
// at once left nothing to the tenant's usual clients.
TEST(Tenants, RequestsCancelledBeforeTheyWereSentDoNotUseTheShare) {
  Settings settings = base_settings();
  settings.over_share_value = 0.1;
  settings.tenants = {{"a", 0.5, 10}, {"b", 0.5, 10}};
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7)});
  for (RequestId id = 1; id <= 40; ++id) driver.submit_request(id, 0, 20s, 0, 1);  // until queries are queued
  const auto queued = [&] { return driver.gateway.class_stats(0).queued; };
  ASSERT_GT(queued(), 0U);
  for (RequestId id = 1000; id < 1400; ++id) {
    Arrival arrival;
    arrival.request = id;
    arrival.tenant = 1;
    arrival.time_left = 5s;
    driver.handle_at(driver.now, {arrival, RequestCancelled{id}});
  }
  Arrival usual;
  usual.request = 5000;
  usual.tenant = 1;
  usual.time_left = 5s;
  driver.handle_at(driver.now, {usual});
  EXPECT_EQ(driver.error_replies(5000), 0);
}

// Guards against a tenant's share used up by rejected requests: a client that kept sending requests which
// can't be answered in time left nothing to the others.
TEST(Tenants, RequestsRejectedOnArrivalDoNotUseTheShare) {
  Settings settings = base_settings();
  settings.over_share_value = 0.1;
  settings.tenants = {{"a", 0.5, 10}, {"b", 0.5, 10}};
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7)});
  for (RequestId id = 1; id <= 40; ++id) driver.submit_request(id, 0, 20s, 0, 1);  // until queries are queued
  ASSERT_GT(driver.gateway.class_stats(0).queued, 0U);
  for (RequestId id = 1000; id < 1400; ++id) {
    Arrival arrival;
    arrival.request = id;
    arrival.tenant = 1;
    arrival.time_left = 9ms;
    driver.handle_at(driver.now, {arrival});
    ASSERT_EQ(driver.rejections[id], 1);
  }
  Arrival usual;
  usual.request = 5000;
  usual.tenant = 1;
  usual.time_left = 5s;
  driver.handle_at(driver.now, {usual});
  EXPECT_EQ(driver.error_replies(5000), 0);
}

// Guards against loads that block each other: a bulk load locks its data group on its engine, and a second
// one there waits until the first has ended.
TEST(BulkLoads, ASecondLoadOfADataGroupGoesToAnotherEngine) {
  for (const std::int64_t group : {1, 2}) {
    Settings settings = base_settings();
    settings.kinds = {{"large", 8, 0}, {"small", 1, 0}};
    settings.classes[1].locks_data_group = true;
    GatewayHarness driver(settings);
    driver.update_membership({engine_entry(7, 0, 0), engine_entry(8, 0, 1)});
    driver.submit_request(1, 1, 5s, 0, 1);
    ASSERT_EQ(driver.sends.back().engine, 7U) << "by far the lower load";
    driver.submit_request(2, 1, 5s, 0, group);
    EXPECT_EQ(driver.sends.back().engine, group == 1 ? 8U : 7U);
  }
}

// Sends requests of the first class, each answered with a report of a full engine, until one is queued.
// Returns whether one was queued within `max_requests`.
bool request_until_queued(GatewayHarness& driver, RequestId max_requests) {
  for (RequestId id = 1; id <= max_requests; ++id) {
    driver.submit_request(id, 0);
    if (driver.sends_for_request(id) == 0) return driver.error_replies(id) == 0;
    AttemptResult result;
    result.request = id;
    result.engine = driver.sends.back().engine;
    result.status = AttemptStatus::served;
    result.latency = 100ms;
    result.request_closed = true;
    result.load = {60};
    driver.handle_at(driver.now, {result});
  }
  return false;
}

// Guards against a gateway that stops: with all engines full by the last reports it sent nothing, so it
// received no newer ones, for 5 s.
TEST(LoadReports, AGatewayThatFindsAllEnginesFullGetsANewReportOfEach) {
  Settings settings = base_settings();
  settings.gateways = 4;
  settings.load_fields = {LoadField::inflight};
  GatewayHarness driver(settings);
  driver.update_membership({engine_entry(7), engine_entry(8)});
  ASSERT_TRUE(request_until_queued(driver, 20)) << "the engines are reported full";
  driver.run_until(driver.now + 1600ms);
  ASSERT_EQ(driver.gateway.class_stats(0).running_threads, 0U);
  const auto sends_before = driver.sends.size();
  for (RequestId id = 100; id < 110; ++id) driver.submit_request(id, 0);
  EXPECT_EQ(driver.sends.size() - sends_before, 2U) << "one to each engine";
}

// Guards against hundreds of gateways that each send one query to every engine without a recent report: from
// one gateway this is harmless, from all it fills the fleet.
TEST(LoadReports, QueriesOfManyGatewaysToEnginesWithoutReportsDoNotFillThem) {
  Settings settings = base_settings();
  settings.gateways = 10;
  settings.load_fields = {LoadField::inflight};
  GatewayHarness driver(settings);
  std::vector<EngineEntry> engines;
  for (EngineId id = 1; id <= 10; ++id) engines.push_back(engine_entry(id));
  driver.update_membership(engines);
  driver.handle_at(driver.now, {TimerExpired{}});
  ASSERT_TRUE(request_until_queued(driver, 200)) << "the engines are reported full";
  driver.run_until(driver.now + 1600ms);
  ASSERT_EQ(driver.gateway.class_stats(0).running_threads, 0U);
  const auto sends_before = driver.sends.size();
  for (RequestId id = 1000; id < 1020; ++id) driver.submit_request(id, 0);
  EXPECT_GE(driver.sends.size() - sends_before, 1U);
  const double sends_of_all_gateways =
      static_cast<double>(driver.sends.size() - sends_before) * settings.gateways;
  EXPECT_LE(sends_of_all_gateways, 1.0 * 10 * settings.kinds[0].cores)
      << "of all gateways together, at most one thread per core";
}

TEST(Tenants, AFloodIsRejectedOnceQueriesWaitAndOtherTenantsAreNot) {
  Settings settings = base_settings();
  settings.over_share_value = 0.05;
  settings.tenants = {{"calm", 0.5, 20}, {"flood", 0.5, 20}};
  GatewayHarness driver(settings);
  driver.update_membership({});
  RequestId id = 0;
  const auto request = [&](std::uint32_t tenant) {
    Arrival arrival;
    arrival.request = ++id;
    arrival.tenant = tenant;
    arrival.time_left = 5s;
    driver.handle_at(driver.now, {arrival});
    return id;
  };
  for (int count = 0; count < 60; ++count) request(1);
  EXPECT_EQ(driver.rejections[id], 1);
  const auto calm_id = request(0);
  EXPECT_EQ(driver.rejections[calm_id], 0);
}

}  // namespace
}  // namespace heronwell::test
