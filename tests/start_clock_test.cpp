// Tests of StartClock: engine starts as seen by a machine whose wall clock may be wrong.
#include "core/start_clock.hpp"

#include <gtest/gtest.h>

#include "core/reducer.hpp"

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

constexpr Time kCorrectOffset = 1'000'000h;  // Unix time minus monotonic time, by a correct clock
constexpr Time kNow = 500h;
constexpr Time kUnixNow = kNow + kCorrectOffset;
constexpr Time kRunTime = 400ms;  // of each query

TEST(StartClock, CorrectClockIsTrusted) {
  StartClock clock(kCorrectOffset);
  EXPECT_FALSE(clock.observe_initial(kNow, kUnixNow - 30s));
  EXPECT_EQ(clock.to_monotonic(kUnixNow - 30s), kNow - 30s);
  clock.set_caught_up(kNow + 5s);
  EXPECT_FALSE(clock.observe_live(kNow + 9s, kUnixNow + 3s));  // reported shortly afterwards
  EXPECT_EQ(clock.to_monotonic(kUnixNow + 3s), kNow + 3s);
}

TEST(StartClock, FastClockDoesNotMakeARecentInitialStartSeemOld) {
  StartClock clock(kCorrectOffset + 1h);
  EXPECT_TRUE(clock.observe_initial(kNow, kUnixNow - 2s));
  EXPECT_EQ(clock.to_monotonic(kUnixNow - 2s), kNow);
  EXPECT_EQ(clock.to_monotonic(kUnixNow - 12s), kNow - 10s);
}

TEST(StartClock, FastClockDoesNotMakeALiveStartSeemOld) {
  StartClock clock(kCorrectOffset + 1h);
  clock.set_caught_up(kNow - 1s);
  EXPECT_TRUE(clock.observe_live(kNow, kUnixNow - 200ms));
  EXPECT_EQ(clock.to_monotonic(kUnixNow - 200ms), kNow);
}

TEST(StartClock, SlowClockDoesNotPlaceStartsInTheFuture) {
  StartClock initial(kCorrectOffset - 1h);
  EXPECT_TRUE(initial.observe_initial(kNow, kUnixNow - 2s));
  EXPECT_EQ(initial.to_monotonic(kUnixNow - 2s), kNow);
  StartClock live(kCorrectOffset - 1h);
  EXPECT_TRUE(live.observe_live(kNow, kUnixNow - 200ms));
  EXPECT_EQ(live.to_monotonic(kUnixNow - 200ms), kNow);
}

TEST(StartClock, NewestInitialStartDecides) {
  StartClock clock(kCorrectOffset);
  EXPECT_TRUE(clock.observe_initial(kNow, kUnixNow - 10min));
  EXPECT_TRUE(clock.observe_initial(kNow, kUnixNow - 10s));  // plausible now
  EXPECT_EQ(clock.to_monotonic(kUnixNow - 10s), kNow - 10s);
  EXPECT_FALSE(clock.observe_initial(kNow, kUnixNow - 20s));
}

// Sends a burst to an engine that has just started while the wall clock is an hour wrong: the engine must get
// no more queries than with a correct clock.
class SlowStartWithWrongClock : public ::testing::TestWithParam<Time> {};

TEST_P(SlowStartWithWrongClock, EngineGetsNoMoreQueriesThanWithCorrectClock) {
  const auto queries_sent = [](Time offset) {
    heronwell::Settings settings;
    settings.kinds = {{"std-8", 8, 16384}};
    heronwell::ClassSettings lookup;
    lookup.name = "lookup";
    lookup.latency_target = 1s;
    lookup.request_timeout = 5s;
    settings.classes = {lookup};
    settings.slow_start_initial_share = 0.3;
    settings.slow_start_duration = 15s;
    settings.overload_multiple = 2.5;
    settings.overload_window = 2s;
    Reducer reducer(settings, 1, std::size_t{1} << 20, offset);
    Member started_engine;
    started_engine.entry.engine = 7;
    started_engine.entry.last_start = kUnixNow;
    started_engine.address = "127.0.0.1:1";
    Effects effects;
    reducer.reduce(kNow, MembershipChange{true, {started_engine}, false}, effects);
    std::vector<std::pair<Time, AttemptId>> running;
    ClientHandle client = 0;
    for (Time now = kNow; now < kNow + 2s; now += Reducer::kTick) {
      ClientRequest request;
      request.client = ++client;
      request.timeout = 5s;
      effects.clear();
      reducer.reduce(now, RequestArrived{request}, effects);
      reducer.reduce(now, Tick{}, effects);
      Effects ignored_effects;
      for (const auto& effect : effects) {
        const auto* start = std::get_if<StartAttempt>(&effect);
        if (start == nullptr) continue;
        running.emplace_back(now, start->id);
        reducer.reduce(now, AttemptReady{start->id}, ignored_effects);
      }
      for (const auto& [since, id] : running) {
        AttemptEnded ended;
        ended.id = id;
        ended.outcome = AttemptOutcome::served;
        if (now - since == kRunTime) reducer.reduce(now, ended, ignored_effects);
      }
    }
    return running.size();
  };
  EXPECT_LE(queries_sent(kCorrectOffset + GetParam()), queries_sent(kCorrectOffset));
}

INSTANTIATE_TEST_SUITE_P(FastAndSlow, SlowStartWithWrongClock, ::testing::Values(1h, -1h));

}  // namespace
}  // namespace bellstair::core
