// One test for each failure found: it fails without the defence.
#include <gtest/gtest.h>

#include <map>
#include <tuple>

#include "gateway_harness.hpp"

namespace heronwell::test {
namespace {

TEST(FastErrors, AnEngineThatFailsAtOnceIsRestedThoughItLooksRoomy) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  int to_bad = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    const auto from = d.sends.size();
    d.submit_request(id, 0, 5s, 0, id);  // of many data groups
    for (auto i = from; i < d.sends.size(); ++i) {
      const auto sent = d.sends[i];
      to_bad += sent.engine == 8 ? 1 : 0;
      const auto n = static_cast<AttemptIndex>(d.sends_for_request(sent.request) - 1);
      d.end_attempt(sent.request, n, sent.engine,
                    sent.engine == 8 ? AttemptStatus::error : AttemptStatus::served);
    }
    d.run_until(d.now + 20ms);
  }
  EXPECT_LE(to_bad, 4) << "two errors in a row, then one trial at a time";
  EXPECT_GE(to_bad, 2);
}

// Clients sent what no engine takes, and it went from engine to engine: all were rested for it, 159 times in
// 20 s.
TEST(FastErrors, WhatTwoEnginesCannotUseIsGivenUpAndNoEngineIsRested) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  for (RequestId id = 1; id <= 20; ++id) {
    d.submit_request(id, 0, 5s, 0, id);
    for (int n = 0; n < d.sends_for_request(id); ++n)
      d.end_attempt(id, static_cast<AttemptIndex>(n), d.sends.back().engine, AttemptStatus::error);
    EXPECT_EQ(d.sends_for_request(id), 2);
    EXPECT_EQ(d.error_replies(id), 1);
    d.run_until(d.now + 20ms);
  }
  for (RequestId id = 101; id <= 103; ++id) d.submit_request(id, 0, 5s, 0, id);
  EXPECT_EQ(d.sends_to_engine(7) + d.sends_to_engine(8) + d.sends_to_engine(9), 43);
  EXPECT_EQ(d.sends_for_request(101) + d.sends_for_request(102) + d.sends_for_request(103), 3)
      << "none waits for an engine";
}

TEST(FastErrors, AnEngineThatRecoversGetsWorkAgain) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8)});
  const auto play = [&d](RequestId from, RequestId to, bool bad) {
    for (RequestId id = from; id <= to; ++id) {
      const auto at = d.sends.size();
      d.submit_request(id, 0, 5s, 0, id);  // of many data groups
      for (auto i = at; i < d.sends.size(); ++i) {
        const auto sent = d.sends[i];
        const auto n = static_cast<AttemptIndex>(d.sends_for_request(sent.request) - 1);
        d.end_attempt(sent.request, n, sent.engine,
                      bad && sent.engine == 8 ? AttemptStatus::error : AttemptStatus::served);
      }
      d.run_until(d.now + 50ms);
    }
  };
  play(1, 20, true);
  const int before = d.sends_to_engine(8);
  play(21, 120, false);
  EXPECT_GT(d.sends_to_engine(8) - before, 20);
}

TEST(Silence, QueriesOnASilentEngineAreTakenBackAndItGetsNoMore) {
  Settings s = base_settings();
  s.progress_interval = 500ms;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  d.submit_request(1, 0);
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  d.run_until(d.now + 1700ms);
  ASSERT_EQ(d.cancelled_attempts.size(), 1U);
  d.end_attempt(1, 0, 7, AttemptStatus::cancelled);
  ASSERT_EQ(d.sends_for_request(1), 2);
  EXPECT_NE(d.sends.back().engine, 7U);
}

TEST(Silence, WithoutCallOffTheEngineIsStillLeftAlone) {
  Settings s = base_settings();
  s.can_cancel = false;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  for (RequestId id = 1; id <= 4; ++id) d.submit_request(id, 0);
  ASSERT_EQ(d.sends_to_engine(7), 4);
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  d.run_until(d.now + 1s);
  const int before = d.sends_to_engine(7);
  for (RequestId id = 10; id <= 14; ++id) d.submit_request(id, 0);
  EXPECT_EQ(d.sends_to_engine(7), before);
  EXPECT_TRUE(d.cancelled_attempts.empty());
}

// Time-outs left work behind on engines that heed no cancel, and cut honest long queries: 4% on a quiet day.
TEST(TimeOuts, AHealthyEngineIsGivenTheWholeTime) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7)});
  d.submit_request(1, 0, 5s);
  EXPECT_GT(d.sends[0].deadline, d.now + 4900ms);
  EXPECT_LT(d.sends[0].deadline, d.now + 5s);
}

// Every gateway without a query on a full engine still sent one; with many gateways the fleet jammed.
TEST(Crowd, AnEngineReportedFullGetsNothing) {
  Settings s = base_settings();
  s.gateways = 8;
  s.load_fields = {LoadField::inflight};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  d.submit_request(1, 0);
  AttemptResult o;
  o.request = 1;
  o.engine = 7;
  o.request_closed = true;
  o.load = {60};
  d.handle_at(d.now, {o});
  d.submit_request(2, 0);
  EXPECT_EQ(d.sends_for_request(2), 0);
}

// One long query, far past the usual, was taken for silence: 153 times on a day without any trouble.
TEST(Silence, OneLongQueryIsNoSilence) {
  Settings s = base_settings();
  s.classes[0].request_timeout = 60s;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  d.submit_request(1, 0, 60s);
  const auto at = d.sends[0].engine;
  d.run_until(d.now + 10s);
  EXPECT_TRUE(d.cancelled_attempts.empty());
  EXPECT_DOUBLE_EQ(d.gateway.total_thread_budget(), 24) << "engine " << at << " still counts";
}

// Reports are late and the same for all: by them alone every gateway ran to one engine at once.
TEST(Crowd, AnEngineReportedEmptyDoesNotGetEverything) {
  Settings s = base_settings();
  s.gateways = 4;
  s.load_fields = {LoadField::inflight};
  s.kinds = {{"one", 16, 0}};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8), engine_entry(9)});
  for (const EngineId id : {7U, 8U, 9U}) {
    ProbeResult p;
    p.engine = id;
    p.load = {id == 8 ? 0.0 : 8.0};
    d.handle_at(d.now, {p});
  }
  for (RequestId id = 1; id <= 8; ++id) d.submit_request(id, 0);
  EXPECT_LT(d.sends_to_engine(8), 8);
  EXPECT_GE(d.sends_to_engine(8), 2) << "but more than the others";
}

// Spread evenly, a group's data was warm nowhere; and two engines of equal load drew all gateways alike.
TEST(Warmth, QueriesOfAGroupPreferTheSameTwoEnginesWhileTheyAreAsEmpty) {
  Settings s = base_settings();
  s.kinds = {{"one", 32, 0}};
  std::map<EngineId, int> used;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    GatewayHarness d(s, seed);
    d.update_membership(
        {engine_entry(3), engine_entry(4), engine_entry(5), engine_entry(6), engine_entry(7)});
    d.submit_request(1, 0, 5s, 0, 12);
    ++used[d.sends[0].engine];
  }
  EXPECT_EQ(used.size(), 2U);
}

// With the engines' own choice of grants, heavy-tailed queries spilled to disk and took several times their
// work.
TEST(Grants, FollowTheNeedsThatAnswersTell) {
  Settings s = base_settings();
  s.memory_reservations = true;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  const auto granted = [&d](RequestId id) {
    Arrival a;
    a.request = id;
    a.time_left = 5s;
    for (const auto& action : d.handle_at(d.now, {a}))
      if (const auto* terms = std::get_if<ExecutionLimits>(&action)) return terms->memory_mb;
    return -1.0;
  };
  EXPECT_EQ(granted(1), 0) << "nothing told yet: the engine chooses";
  AttemptResult o;
  o.request = 1;
  o.engine = 7;
  o.request_closed = true;
  o.work = 100ms;
  o.memory_needed_mb = 100;
  d.handle_at(d.now, {o});
  EXPECT_GT(granted(2), 200);
}

// Long classes were refused though their aim, which grows with their work, had room.
TEST(Hold, AClassWhoseAimGrowsWithItsWorkIsHeldLonger) {
  Settings s = base_settings();
  s.classes[2].idempotency = Idempotency::safe;
  s.classes[2].latency_target = s.classes[0].latency_target;
  s.classes[2].latency_target_per_work = 8;
  GatewayHarness d(s);
  d.update_membership({});
  d.submit_request(1, 0);
  d.submit_request(2, 2);
  d.run_until(d.now + 1s);
  EXPECT_EQ(d.rejections[1], 1);
  EXPECT_EQ(d.rejections[2], 0);
  d.run_until(d.now + 1s);
  EXPECT_EQ(d.rejections[2], 1);
}

// Hot groups were held on nearly every engine, and most short queries stood still behind loads.
TEST(Loads, LoadsOfAGroupShareTwoEnginesAndReadersKeepOffThem) {
  Settings s = base_settings();
  s.classes[1].locks_data_group = true;
  s.classes[0].waits_for_data_group = true;
  GatewayHarness one(s, 1), two(s, 2);
  for (GatewayHarness* d : {&one, &two}) {
    d->update_membership(
        {engine_entry(3), engine_entry(4), engine_entry(5), engine_entry(6), engine_entry(7)});
    for (RequestId id = 1; id <= 4; ++id) d->submit_request(id, 1, 5s, 0, 12);
  }
  std::map<EngineId, int> homes;
  for (const GatewayHarness* d : {&one, &two})
    for (const auto& sent : d->sends) ++homes[sent.engine];
  EXPECT_EQ(homes.size(), 2U) << "both gateways choose the same two, though neither hears of the other";
  for (RequestId id = 11; id <= 16; ++id) {
    one.submit_request(id, 0, 5s, 0, 12);
    ASSERT_EQ(one.sends_for_request(id), 1);
    EXPECT_FALSE(homes.contains(one.sends.back().engine));
  }
}

// Another program took most of one engine of five: at a pace of 5 it was still sent as much as the others.
TEST(SlowEngine, FarSlowerThanTheFleetItGetsFewerQueriesAndNoLoads) {
  Settings s = base_settings();
  s.kinds = {{"one", 16, 8192}};
  s.classes[0].waits_for_data_group = s.classes[2].locks_data_group = true;
  s.classes[2].deduplication_scope = DeduplicationScope::all;
  s.reports_cost = true;
  GatewayHarness d(s);
  d.update_membership(
      {engine_entry(7), engine_entry(8), engine_entry(9), engine_entry(10), engine_entry(11)});
  std::vector<std::tuple<Time, RequestId, EngineId>> running;
  std::map<EngineId, int> sent, loads;
  RequestId id = 0;
  std::map<EngineId, int> later;
  for (int step = 0; step < 4000; ++step) {
    const auto from = d.sends.size();
    const auto takes = [&](EngineId to) { return to == 8 && step < 2000 ? 500ms : 100ms; };
    const bool load = step % 3 == 0;
    d.submit_request(++id, load ? 2 : 0, 5s, 0, step % 40);
    for (auto i = from; i < d.sends.size(); ++i) {
      const auto to = d.sends[i].engine;
      running.emplace_back(d.now + takes(to), d.sends[i].request, to);
      if (step >= 1000 && step < 2000) ++(load ? loads : sent)[to];
      if (step >= 3000) ++later[to];
    }
    d.run_until(d.now + 10ms);
    for (auto it = running.begin(); it != running.end();) {
      const auto [end, request, to] = *it;
      if (end > d.now) {
        ++it;
        continue;
      }
      it = running.erase(it);
      AttemptResult o;
      o.request = request;
      o.attempt = static_cast<AttemptIndex>(d.sends_for_request(request) - 1);
      o.engine = to;
      o.latency = takes(to);
      o.work = 100ms;
      o.request_closed = true;
      d.handle_at(d.now, {o});
    }
  }
  EXPECT_LT(sent[8] * 10, sent[7]);
  // What it is not sent tells nothing of it: it was locked out for as long as the day lasted.
  EXPECT_GT(later[8] * 3, later[7]);
  EXPECT_LE(loads[8], 2);  // at a new look
}

TEST(BadPlan, AnAttemptThatWouldTakeFarTooLongIsBegunAnewOnce) {
  Settings s = base_settings();
  s.progress_interval = 500ms;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.submit_request(1, 0);
  d.run_until(d.now + 1s);
  d.handle_at(d.now, {ProgressReport{1, 0, d.sends[0].engine, ProgressKind::progress, 0.02}});
  ASSERT_EQ(d.cancelled_attempts.size(), 1U);
  d.end_attempt(1, 0, d.sends[0].engine, AttemptStatus::cancelled);
  ASSERT_EQ(d.sends_for_request(1), 2);
  d.run_until(d.now + 500ms);
  d.handle_at(d.now, {ProgressReport{1, 1, d.sends[1].engine, ProgressKind::progress, 0.01}});
  d.run_until(d.now + 500ms);
  d.handle_at(d.now, {ProgressReport{1, 1, d.sends[1].engine, ProgressKind::progress, 0.02}});
  EXPECT_EQ(d.cancelled_attempts.size(), 1U) << "the second time it is the query that is long";
}

TEST(BadPlan, AnUnsafeAttemptIsLeftAlone) {
  Settings s = base_settings();
  s.progress_interval = 500ms;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.submit_request(1, 1);
  d.run_until(d.now + 1s);
  d.handle_at(d.now, {ProgressReport{1, 0, d.sends[0].engine, ProgressKind::progress, 0.001}});
  EXPECT_TRUE(d.cancelled_attempts.empty());
}

// Answers were lost all over the fleet, with a reset each: every engine was taken to have begun anew, and
// work came only by cold turns.
TEST(Unreachable, AnEngineHeardSoonAfterAResetHasNotBegunAnew) {
  for (const Time answer : {5ms, 900ms}) {  // no answer for so long: the process may have ended meanwhile
    Settings s = base_settings();
    s.gateways = 40;
    s.can_probe = true;
    s.load_fields = {LoadField::inflight};
    GatewayHarness d(s);
    d.update_membership({engine_entry(7)});
    d.submit_request(1, 0);
    d.run_until(d.now + 60ms);
    ASSERT_EQ(d.sends_for_request(1), 1);
    AttemptResult o;
    o.request = 1;
    o.engine = 7;
    o.status = AttemptStatus::connection_reset;
    const auto actions = d.handle_at(d.now, {o});
    const auto asked = [](const Action& a) { return std::holds_alternative<Probe>(a); };
    EXPECT_TRUE(std::ranges::any_of(actions, asked)) << "asked at once whether it is there";
    d.run_until(d.now + answer);
    ProbeResult p;
    p.engine = 7;
    p.status = AttemptStatus::served;
    p.load = {1.0};
    d.handle_at(d.now, {p});
    for (RequestId id = 2; id < 10; ++id) d.submit_request(id, 0);
    d.run_until(d.now + 60ms);
    EXPECT_EQ(d.sends.size() > 3, answer < 500ms);
  }
}

TEST(Unreachable, AnEngineThatBreaksConnectionsIsTakenForColdByAllGateways) {
  for (const auto result : {AttemptStatus::connect_failed, AttemptStatus::connection_reset}) {
    int tried = 0, early = 0;
    for (unsigned i = 0; i < 40; ++i) {
      Settings s = base_settings();
      s.gateways = 40;
      s.gateway_index = i;
      GatewayHarness d(s, 1 + i);
      d.update_membership({engine_entry(7)});
      d.submit_request(1, 0);
      d.end_attempt(1, 0, 7, result);
      const auto broke = d.now;
      for (RequestId id = 2; id < 30; ++id) {
        d.submit_request(id, 0);
        d.run_until(d.now + 100ms);
      }
      tried += d.sends.size() > 1 ? 1 : 0;
      for (std::size_t n = 1; n < d.sends.size(); ++n) early += d.now < broke + 3s ? 1 : 0;
    }
    EXPECT_LT(tried, 20) << "forty trials at once would push a new process over";
    EXPECT_GT(tried, 0);
    EXPECT_LT(early, 20);
  }
}

// With no probes to ask by, one connection broken on its way rested an engine that was well, and kept it
// cold.
TEST(Unreachable, AnEngineHeardAfterItsConnectionBrokeIsRestedByNoSingleLoss) {
  for (const auto result : {AttemptStatus::query_dropped, AttemptStatus::connection_reset}) {
    GatewayHarness d(base_settings());
    d.update_membership({engine_entry(7)});
    d.submit_request(1, 0);
    d.end_attempt(1, 0, 7, result);
    d.end_attempt(1, 1, 7, AttemptStatus::served);
    for (RequestId id = 2; id < 12; ++id) d.submit_request(id, 0);
    EXPECT_EQ(d.sends.size(), result == AttemptStatus::query_dropped ? 10U : 1U);
  }
}

TEST(Unreachable, AnEngineThatLosesQueryAfterQueryIsRested) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8)});
  RequestId id = 0;
  for (int n = 0; n < 40; ++n) {
    d.submit_request(++id, 0);
    const auto at = d.sends.back();
    d.end_attempt(id, 0, at.engine, at.engine == 7 ? AttemptStatus::query_dropped : AttemptStatus::served);
  }
  EXPECT_LE(d.sends_to_engine(7), 6);
}

TEST(ManyEngines, OneThatNothingTellsOfIsNotTakenForEmpty) {
  Settings s = base_settings();
  s.gateways = 100;
  s.can_probe = true;
  s.load_fields = {LoadField::inflight};
  GatewayHarness d(s);
  std::vector<EngineEntry> engines;
  for (EngineId id = 1; id <= 40; ++id) engines.push_back(engine_entry(id));
  d.update_membership(engines);
  for (EngineId id = 1; id <= 40; ++id) {  // all crowded, but one that is known to be idle
    ProbeResult probe;
    probe.engine = id;
    probe.load = {id == 5 ? 0.0 : 20.0};
    if (id <= 4 || id == 5 || id > 33) d.handle_at(d.now, {probe});
  }
  d.submit_request(1, 0);
  d.run_until(d.now + 60ms);
  ASSERT_EQ(d.sends_for_request(1), 1);
  EXPECT_EQ(d.sends.back().engine, 5U);
}

TEST(ManyEngines, AQueryCostsNoMoreProbesOrBytesInALargerFleet) {
  for (const unsigned size : {20U, 200U}) {
    Settings s = base_settings();
    s.gateways = 4 * size;
    s.can_probe = s.can_message_peers = true;
    s.load_fields = {LoadField::inflight};
    GatewayHarness d(s);
    std::vector<EngineEntry> engines;
    for (EngineId id = 1; id <= size; ++id) engines.push_back(engine_entry(id));
    d.update_membership(engines);
    std::size_t probes = 0, bytes = 0;
    for (RequestId id = 1; id <= 50; ++id) {
      Arrival a;
      a.request = id;
      a.time_left = 5s;
      std::vector<Action> actions = d.handle_at(d.now, {a});
      for (int tick = 0; tick < 10; ++tick) {
        const auto more = d.handle_at(d.next_timer, {TimerExpired{}});
        actions.insert(actions.end(), more.begin(), more.end());
      }
      for (const auto& action : actions) {
        probes += std::holds_alternative<Probe>(action) ? 1 : 0;
        const auto* tell = std::get_if<SendPeerMessage>(&action);
        if (tell == nullptr) continue;
        EXPECT_TRUE(tell->to.has_value()) << "never to hundreds at once";
        bytes += tell->bytes.size();
      }
    }
    EXPECT_LE(probes, 50U);
    EXPECT_LE(bytes, 50U * 150U);
    EXPECT_GT(probes, 0U);
    EXPECT_GT(bytes, 0U);
  }
}

TEST(PeerMessages, OneThatIsMalformedIsIgnoredWhole) {
  Settings s = base_settings();
  s.gateways = 3;
  s.can_message_peers = true;
  const auto choice = [&s](const std::string& bytes) {
    GatewayHarness d(s);
    d.update_membership({engine_entry(7), engine_entry(8)});
    d.handle_at(d.now, {PeerMessage{1, bytes}});
    d.submit_request(1, 0);
    return d.sends.empty() ? 0U : d.sends.back().engine;
  };
  const std::string on_seven("o\x07\0\0\0\x06", 6), on_eight("o\x08\0\0\0\x06", 6);
  EXPECT_EQ(choice(on_seven), 8U);
  EXPECT_EQ(choice(on_eight), 7U);
  const auto untold = choice("");
  EXPECT_EQ(choice(on_seven.substr(0, 5)), untold);
  EXPECT_EQ(choice(on_eight + "x"), untold);
  EXPECT_EQ(choice("?" + on_seven.substr(1)), untold);
}

// One of many gateways, told of twenty engines of 16 cores again and again.
GatewayHarness told_by_reports(bool apart, double queries, int rounds) {
  Settings s = base_settings();
  s.gateways = 200;
  s.kinds = {{"one", 16, 0}};
  s.load_fields = {LoadField::inflight};
  GatewayHarness d(s);
  std::vector<EngineEntry> engines;
  for (EngineId id = 1; id <= 20; ++id) engines.push_back(engine_entry(id));
  d.update_membership(engines);
  for (int round = 0; round < rounds; ++round) {
    d.run_until(d.now + 500ms);
    for (EngineId id = 1; id <= 20; ++id) {
      ProbeResult p;
      p.engine = id;
      p.load = {apart ? (id % 2 == 0 ? 0.0 : 2 * queries) : (id == 20 ? queries / 2 : queries)};
      d.handle_at(d.now, {p});
    }
  }
  return d;
}

// Reports came seconds late: all gateways filled the engines that had been empty, again and again.
TEST(OldReports, ThatLieFarApartAreBelievedInPartOnly) {
  GatewayHarness good = told_by_reports(false, 20, 5), bad = told_by_reports(true, 20, 5);
  int emptiest = 0, full = 0;
  for (RequestId id = 1; id <= 100; ++id) {
    for (auto* d : {&good, &bad}) {
      d->submit_request(id, 0, 5s, 0, id);
      ASSERT_EQ(d->sends_for_request(id), 1);
      d->end_attempt(id, 0, d->sends.back().engine, AttemptStatus::served);
    }
    emptiest += good.sends.back().engine == 20 ? 1 : 0;
    full += bad.sends.back().engine % 2 == 1 ? 1 : 0;
  }
  EXPECT_GT(emptiest, 90) << "reports that agree tell where room is";
  EXPECT_GE(full, 5) << "else what was full a while ago may be empty now";
  EXPECT_LT(full, 50);
}

TEST(OldReports, AGatewaysOwnThreadsShowThatAllOvershoot) {
  for (const bool apart : {false, true}) {
    GatewayHarness d = told_by_reports(apart, 28, 10);
    const auto before = d.sends.size();
    for (RequestId id = 1; id <= 6; ++id)
      d.submit_request(id, 0, 5s, 0, id);  // far more than it has run of late
    EXPECT_EQ(d.sends.size() - before, apart ? 2U : 6U);
  }
}

// A quarter of the fleet restarted: what ran there was gone, yet the level stayed high and all was refused.
TEST(ManyGateways, TheLevelByMessagesFollowsWithinTwentyMessages) {
  Settings s = base_settings();
  s.gateways = 40;
  s.can_message_peers = true;
  s.load_fields = {LoadField::util};
  GatewayHarness other(s), d(s, 2);
  std::vector<EngineEntry> engines;
  for (EngineId id = 1; id <= 5; ++id) engines.push_back(engine_entry(id));
  for (auto* each : {&other, &d}) each->update_membership(engines);
  const auto message = [&other] {  // what the other gateway says now
    for (RequestId id = 100; id < 110; ++id)
      other.submit_request(id, 5);  // of no class: refused, but they pay for bytes
    for (int tick = 0; tick < 50; ++tick) {
      for (const auto& action : other.handle_at(other.next_timer, {TimerExpired{}}))
        if (const auto* tell = std::get_if<SendPeerMessage>(&action)) return tell->bytes;
    }
    return std::string();
  };
  for (RequestId id = 1; id <= 3; ++id) other.submit_request(id, 0);
  ASSERT_EQ(other.sends.size(), 3U);
  const auto busy = message();
  const auto sent = other.sends;
  for (const auto& send : sent) other.end_attempt(send.request, 0, send.engine, AttemptStatus::served);
  const auto idle = message();
  ASSERT_NE(busy, idle);
  const auto tell = [&d](const std::string& bytes) {
    PeerMessage m;
    m.from = 1;
    m.bytes = bytes;
    d.handle_at(d.now, {m});
  };
  for (int i = 0; i < 30; ++i) tell(busy);
  d.submit_request(1, 0);
  EXPECT_EQ(d.sends.size(), 0U) << "six threads a core by messages";
  for (int i = 0; i < 20; ++i) tell(idle);
  d.submit_request(2, 0);
  EXPECT_GT(d.sends.size(), 0U);
}

TEST(ManyGateways, LaterRanksStopEarlierSoThatTheFirstClassFindsRoom) {
  // Traffic has turned to a heavy class for good: the fleet stands between both limits.
  Settings s = base_settings();
  s.gateways = 100;
  s.can_probe = true;
  s.load_fields = {LoadField::inflight};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  for (EngineId id : {7U, 8U}) {
    ProbeResult probe;
    probe.engine = id;
    probe.load = {7.0};  // 1.75 threads a core
    d.handle_at(d.now, {probe});
  }
  d.submit_request(1, 1);
  d.submit_request(2, 0);
  d.run_until(d.now + 60ms);
  EXPECT_EQ(d.sends_for_request(1), 0);
  EXPECT_EQ(d.sends_for_request(2), 1);
}

TEST(LostAnswers, AnEngineThatAnswersOthersIsNotRestedAndTheLostAreSettledInTime) {
  Settings s = base_settings();
  s.max_attempts = 1;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  const auto start = d.now;
  for (RequestId id = 1; id <= 40; ++id) {
    d.submit_request(id, 0);
    ASSERT_EQ(d.sends_for_request(id), 1) << "still trusted at " << id;
    if (id % 10 != 0) d.end_attempt(id, 0, 7, AttemptStatus::served);
    if (id % 10 == 0) d.submit_request(100 + id, 0), d.end_attempt(100 + id, 0, 7, AttemptStatus::served);
    d.run_until(d.now + 100ms);
  }
  d.run_until(start + 10s);
  for (RequestId id = 10; id <= 40; id += 10) EXPECT_EQ(d.error_replies(id), 1);
}

TEST(Absence, AGatewayThatHadNoTurnBlamesNoEngineAndSettlesWhatIsOverdue) {
  Settings s = base_settings();
  s.progress_interval = 500ms;
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.submit_request(1, 0);
  d.submit_request(2, 0);
  d.now += 2s;  // no call meanwhile; the client of one that was held has little time left
  Arrival late;
  late.request = 3;
  late.time_left = 30ms;
  d.handle_at(d.now, {TimerExpired{}, late});
  EXPECT_TRUE(d.cancelled_attempts.empty());
  d.run_until(d.now + 40ms);
  EXPECT_EQ(d.error_replies(3), 1);
  d.run_until(d.now + 2s);
  EXPECT_EQ(d.cancelled_attempts.size(), 2U) << "silence that it did see is still told";
}

TEST(Absence, WhatWaitedMeanwhileIsSettledAtOnceIfItCantBeInTime) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8)});
  d.submit_request(1, 0);  // comes with 5 s left, as all do
  d.end_attempt(1, 0, d.sends.back().engine, AttemptStatus::served);
  d.now += 2s;
  Arrival old, young;
  old.request = 2;
  old.time_left = 3200ms;
  young.request = 3;
  young.time_left = 4900ms;
  d.handle_at(d.now, {old, young});
  EXPECT_EQ(d.error_replies(2), 1);
  EXPECT_EQ(d.sends_for_request(2), 0);
  EXPECT_EQ(d.sends_for_request(3), 1);
  d.run_until(d.now + 100ms);
  d.submit_request(4, 0, 3200ms);  // with a turn in time, little time left is the client's own choice
  EXPECT_EQ(d.sends_for_request(4), 1);
}

TEST(Tenants, AFloodDoesNotRaiseTheShareThatItIsMeasuredAgainst) {
  Settings s = base_settings();
  s.over_share_value = 0.05;
  s.can_probe = true;
  s.load_fields = {LoadField::inflight};
  s.tenants = {{"a", 0.5, 5}, {"b", 0.5, 5}};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  RequestId id = 0;
  const auto second = [&](int of_first) {
    std::vector<int> served(2);
    for (int n = 0; n < of_first + 5; ++n) {
      Arrival a;
      a.request = ++id;
      a.tenant = n < of_first ? 0 : 1;
      a.time_left = 5s;
      ProbeResult probe;
      probe.engine = 7 + id % 2;
      probe.load = {of_first > 5 ? 7.0 : 0.0};  // crowded by the others, past 1.5 threads a core
      d.handle_at(d.now, {probe, a});
      if (d.sends_for_request(id) > 0) {
        ++served[a.tenant];
        d.end_attempt(id, 0, d.sends.back().engine, AttemptStatus::served, 50ms);
      }
      d.run_until(d.now + 1000ms / (of_first + 5));
    }
    return served;
  };
  for (int n = 0; n < 12; ++n) second(5);
  int flooding = 0, other = 0;
  for (int n = 0; n < 10; ++n) {
    const auto served = second(100);
    flooding += served[0];
    other += served[1];
  }
  EXPECT_LE(flooding, 90) << "5 a second are its share, and what it had saved up";
  EXPECT_GE(other, 45);
}

TEST(List, AnEngineLongGoneIsForgottenAndOneThatReturnsIsNew) {
  GatewayHarness d(base_settings());
  d.update_membership({engine_entry(7), engine_entry(8)});
  for (int n = 0; n < 2; ++n) {
    d.submit_request(1 + n, 0);
    d.end_attempt(1 + n, 0, d.sends.back().engine, AttemptStatus::connection_reset);
  }
  d.update_membership({engine_entry(9)});
  d.submit_request(10, 0);
  EXPECT_EQ(d.sends.back().engine, 9U);
  d.end_attempt(10, 0, 9, AttemptStatus::served);
  d.update_membership({engine_entry(7)});
  d.submit_request(11, 0);
  EXPECT_EQ(d.sends_for_request(11), 1) << "what it did long ago no longer counts";
}

// Hundreds asked and withdrawn at once used up the share of the tenant's usual clients.
TEST(Tenants, WhatIsWithdrawnBeforeItWasSentUsesNothingOfTheShare) {
  Settings s = base_settings();
  s.over_share_value = 0.1;
  s.tenants = {{"a", 0.5, 10}, {"b", 0.5, 10}};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  for (RequestId id = 1; id <= 40; ++id) d.submit_request(id, 0, 20s, 0, 1);  // until queries wait
  const auto held = [&] { return d.gateway.class_stats(0).queued; };
  ASSERT_GT(held(), 0U);
  for (RequestId id = 1000; id < 1400; ++id) {
    Arrival a;
    a.request = id;
    a.tenant = 1;
    a.time_left = 5s;
    d.handle_at(d.now, {a, RequestCancelled{id}});
  }
  Arrival usual;
  usual.request = 5000;
  usual.tenant = 1;
  usual.time_left = 5s;
  d.handle_at(d.now, {usual});
  EXPECT_EQ(d.error_replies(5000), 0);
}

// A client that asked for what can't be answered in time, again and again, used up the share of the others.
TEST(Tenants, WhatIsRefusedAsItComesUsesNothingOfTheShare) {
  Settings s = base_settings();
  s.over_share_value = 0.1;
  s.tenants = {{"a", 0.5, 10}, {"b", 0.5, 10}};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7)});
  for (RequestId id = 1; id <= 40; ++id) d.submit_request(id, 0, 20s, 0, 1);  // until queries wait
  ASSERT_GT(d.gateway.class_stats(0).queued, 0U);
  for (RequestId id = 1000; id < 1400; ++id) {
    Arrival a;
    a.request = id;
    a.tenant = 1;
    a.time_left = 9ms;
    d.handle_at(d.now, {a});
    ASSERT_EQ(d.rejections[id], 1);
  }
  Arrival usual;
  usual.request = 5000;
  usual.tenant = 1;
  usual.time_left = 5s;
  d.handle_at(d.now, {usual});
  EXPECT_EQ(d.error_replies(5000), 0);
}

// A load holds its data group where it runs: a second one there stands still until the first has ended.
TEST(Loads, OneOfAGroupThatIsBeingLoadedGoesToAnotherEngine) {
  for (const std::int64_t group : {1, 2}) {
    Settings s = base_settings();
    s.kinds = {{"large", 8, 0}, {"small", 1, 0}};
    s.classes[1].locks_data_group = true;
    GatewayHarness d(s);
    d.update_membership({engine_entry(7, 0, 0), engine_entry(8, 0, 1)});
    d.submit_request(1, 1, 5s, 0, 1);
    ASSERT_EQ(d.sends.back().engine, 7U) << "by far the emptier";
    d.submit_request(2, 1, 5s, 0, group);
    EXPECT_EQ(d.sends.back().engine, group == 1 ? 8U : 7U);
  }
}

// Held back from all engines by what it heard last, a gateway heard nothing newer, and sent nothing for 5 s.
// Asks for quick queries, all answered with a report of a full engine, until one is held back.
bool ask_until_held(GatewayHarness& d, RequestId most) {
  for (RequestId id = 1; id <= most; ++id) {
    d.submit_request(id, 0);
    if (d.sends_for_request(id) == 0) return d.error_replies(id) == 0;
    AttemptResult o;
    o.request = id;
    o.engine = d.sends.back().engine;
    o.status = AttemptStatus::served;
    o.latency = 100ms;
    o.request_closed = true;
    o.load = {60};
    d.handle_at(d.now, {o});
  }
  return false;
}

TEST(Crowd, AGatewayHeldBackFromEverywhereHearsOfEachEngineAgain) {
  Settings s = base_settings();
  s.gateways = 4;
  s.load_fields = {LoadField::inflight};
  GatewayHarness d(s);
  d.update_membership({engine_entry(7), engine_entry(8)});
  ASSERT_TRUE(ask_until_held(d, 20)) << "the engines are full by their reports";
  d.run_until(d.now + 1600ms);
  ASSERT_EQ(d.gateway.class_stats(0).running_threads, 0U);
  const auto before = d.sends.size();
  for (RequestId n = 100; n < 110; ++n) d.submit_request(n, 0);
  EXPECT_EQ(d.sends.size() - before, 2U) << "one to each engine";
}

// One query to each engine not heard of does no harm from one gateway, and fills all engines from hundreds.
TEST(Crowd, WhatManyGatewaysSendToEnginesNotHeardOfDoesNotFillThem) {
  Settings s = base_settings();
  s.gateways = 10;
  s.load_fields = {LoadField::inflight};
  GatewayHarness d(s);
  std::vector<EngineEntry> engines;
  for (EngineId id = 1; id <= 10; ++id) engines.push_back(engine_entry(id));
  d.update_membership(engines);
  d.handle_at(d.now, {TimerExpired{}});
  ASSERT_TRUE(ask_until_held(d, 200)) << "the engines are full by their reports";
  d.run_until(d.now + 1600ms);
  ASSERT_EQ(d.gateway.class_stats(0).running_threads, 0U);
  const auto before = d.sends.size();
  for (RequestId n = 1000; n < 1020; ++n) d.submit_request(n, 0);
  EXPECT_GE(d.sends.size() - before, 1U);
  const double sent = static_cast<double>(d.sends.size() - before) * s.gateways;
  EXPECT_LE(sent, 1.0 * 10 * s.kinds[0].cores) << "by all gateways alike, at most a thread a core";
}

TEST(Tenants, AFloodIsRefusedOnceQueriesWaitAndOthersAreNot) {
  Settings s = base_settings();
  s.over_share_value = 0.05;
  s.tenants = {{"calm", 0.5, 20}, {"flood", 0.5, 20}};
  GatewayHarness d(s);
  d.update_membership({});
  RequestId id = 0;
  const auto ask = [&](std::uint32_t tenant) {
    Arrival a;
    a.request = ++id;
    a.tenant = tenant;
    a.time_left = 5s;
    d.handle_at(d.now, {a});
    return id;
  };
  for (int i = 0; i < 60; ++i) ask(1);
  EXPECT_EQ(d.rejections[id], 1);
  const auto calm = ask(0);
  EXPECT_EQ(d.rejections[calm], 0);
}

}  // namespace
}  // namespace heronwell::test
