// When engines started, as a machine with a wrong wall clock makes it out.
#include "core/start_clock.hpp"

#include <gtest/gtest.h>

#include "core/reducer.hpp"

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;

constexpr Time kOffset = 1'000'000h;  // of Unix time, by a right clock
constexpr Time kNow = 500h;
constexpr Time kUnixNow = kNow + kOffset;
constexpr Time kRunTime = 400ms;  // of a query

TEST(StartClock, ARightClockIsBelieved) {
  StartClock clock(kOffset);
  EXPECT_FALSE(clock.known_at_start(kNow, kUnixNow - 30s));
  EXPECT_EQ(clock.monotonic(kUnixNow - 30s), kNow - 30s);
  clock.caught_up(kNow + 5s);
  EXPECT_FALSE(clock.told(kNow + 9s, kUnixNow + 3s));  // reported a little late
  EXPECT_EQ(clock.monotonic(kUnixNow + 3s), kNow + 3s);
}

TEST(StartClock, OnAClockThatIsAheadAFreshStartIsNotTakenForAnOldOne) {
  StartClock clock(kOffset + 1h);
  EXPECT_TRUE(clock.known_at_start(kNow, kUnixNow - 2s));
  EXPECT_EQ(clock.monotonic(kUnixNow - 2s), kNow);
  EXPECT_EQ(clock.monotonic(kUnixNow - 12s), kNow - 10s);
}

TEST(StartClock, OnAClockThatIsAheadAStartToldLiveIsNotTakenForAnOldOne) {
  StartClock clock(kOffset + 1h);
  clock.caught_up(kNow - 1s);
  EXPECT_TRUE(clock.told(kNow, kUnixNow - 200ms));
  EXPECT_EQ(clock.monotonic(kUnixNow - 200ms), kNow);
}

TEST(StartClock, OnAClockThatIsBehindNoStartLiesAhead) {
  StartClock known(kOffset - 1h);
  EXPECT_TRUE(known.known_at_start(kNow, kUnixNow - 2s));
  EXPECT_EQ(known.monotonic(kUnixNow - 2s), kNow);
  StartClock live(kOffset - 1h);
  EXPECT_TRUE(live.told(kNow, kUnixNow - 200ms));
  EXPECT_EQ(live.monotonic(kUnixNow - 200ms), kNow);
}

TEST(StartClock, TheNewestOfTheKnownStartsDecides) {
  StartClock clock(kOffset);
  EXPECT_TRUE(clock.known_at_start(kNow, kUnixNow - 10min));
  EXPECT_TRUE(clock.known_at_start(kNow, kUnixNow - 10s));  // plausible after all
  EXPECT_EQ(clock.monotonic(kUnixNow - 10s), kNow - 10s);
  EXPECT_FALSE(clock.known_at_start(kNow, kUnixNow - 20s));
}

// The program with a clock that is an hour wrong: a burst meets an engine that has just started.
class ColdEngineByAWrongClock : public ::testing::TestWithParam<Time> {};

TEST_P(ColdEngineByAWrongClock, GetsNoMoreThanByARightOne) {
  const auto sent_by = [](Time offset) {
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
    Member cold;
    cold.entry.engine = 7;
    cold.entry.last_start = kUnixNow;
    cold.address = "127.0.0.1:1";
    Effects effects;
    reducer.reduce(kNow, MembershipChange{true, {cold}, false}, effects);
    std::vector<std::pair<Time, AttemptId>> running;
    ClientHandle client = 0;
    for (Time now = kNow; now < kNow + 2s; now += Reducer::kTick) {
      ClientRequest asked;
      asked.client = ++client;
      asked.timeout = 5s;
      effects.clear();
      reducer.reduce(now, RequestArrived{asked}, effects);
      reducer.reduce(now, Tick{}, effects);
      Effects unused;
      for (const auto& effect : effects) {
        const auto* start = std::get_if<StartAttempt>(&effect);
        if (start == nullptr) continue;
        running.emplace_back(now, start->id);
        reducer.reduce(now, AttemptReady{start->id}, unused);
      }
      for (const auto& [since, id] : running) {
        AttemptEnded ended;
        ended.id = id;
        ended.outcome = AttemptOutcome::served;
        if (now - since == kRunTime) reducer.reduce(now, ended, unused);
      }
    }
    return running.size();
  };
  EXPECT_LE(sent_by(kOffset + GetParam()), sent_by(kOffset));
}

INSTANTIATE_TEST_SUITE_P(AheadAndBehind, ColdEngineByAWrongClock, ::testing::Values(1h, -1h));

}  // namespace
}  // namespace bellstair::core
