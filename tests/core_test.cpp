// Tests of the core. The clock is simulated and there is no input or output.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "core/reducer.hpp"

namespace bellstair::core {
namespace {
using namespace std::chrono_literals;
using heronwell::EngineState;

heronwell::Settings settings() {
  heronwell::Settings out;
  out.kinds = {{"std-8", 8, 16384}};
  heronwell::ClassSettings lookup;
  lookup.name = "lookup";
  lookup.latency_target = 400ms;
  lookup.request_timeout = 2s;
  auto unsafe_class = lookup;
  unsafe_class.name = "once";
  unsafe_class.idempotency = heronwell::Idempotency::unsafe;
  out.classes = {lookup, unsafe_class};
  out.max_attempts = 4;
  out.can_cancel = out.sends_retry_after = true;
  out.max_retry_after = 500ms;
  out.priorities = true;
  return out;
}

Member member(EngineId id, EngineState state = EngineState::ready) {
  Member out;
  out.entry.engine = id;
  out.entry.state = state;
  out.address = "127.0.0.1:1";
  return out;
}

// A reducer with one ready engine, a simulated clock and all the effects so far.
class ReducerHarness {
 public:
  explicit ReducerHarness(heronwell::Settings initial_settings = settings())
      : reducer(std::move(initial_settings), 1) {
    report(0ms, Listening{});
    report(0ms, MembershipChange{true, {member(7)}, true});
    report(0ms, Tick{});
  }
  // Advances the clock by `after`, then reports the event.
  void report(Time after, Event event) {
    now += after;
    reducer.reduce(now, std::move(event), effects);
  }
  // Advances the clock by `time` with a tick every 5 ms.
  void tick_for(Time time, Tick tick = {}) {
    for (const Time end = now + time; now < end;) report(std::min<Time>(5ms, end - now), tick);
  }
  void send_request(ClientHandle client, ClassIndex class_index = 0, Time timeout = 2s) {
    ClientRequest request;
    request.client = client;
    request.class_index = class_index;
    request.timeout = timeout;
    request.body = "SELECT 1";
    report(10ms, RequestArrived{request});
  }
  template <class T>
  std::vector<T> effects_of() const {
    std::vector<T> out;
    for (const auto& effect : effects) {
      if (const auto* e = std::get_if<T>(&effect)) out.push_back(*e);
    }
    return out;
  }
  void end_attempt(AttemptId id, AttemptOutcome outcome, std::string body = {}) {
    AttemptEnded ended;
    ended.id = id;
    ended.outcome = outcome;
    ended.body = std::move(body);
    report(10ms, ended);
  }
  Time now = 1'700'000'000s;
  Reducer reducer;
  Effects effects;
};

TEST(TimerWheel, FiresOnceWithinATickAndNeverEarly) {
  TimerWheel<int> wheel(5ms);
  std::vector<int> fired;
  const auto advance = [&](Time now) { wheel.advance(now, [&](int key) { fired.push_back(key); }); };
  advance(100ms);
  wheel.arm(112ms, 1);
  wheel.arm(20s, 2);  // several revolutions ahead
  wheel.arm(1ms, 3);  // in the past
  advance(111ms);
  EXPECT_EQ(fired, std::vector{3});
  advance(115ms);
  EXPECT_EQ(fired, (std::vector{3, 1}));
  advance(19995ms);
  EXPECT_EQ(fired.size(), 2U);
  advance(60s);  // after a long pause
  EXPECT_EQ(fired, (std::vector{3, 1, 2}));
  EXPECT_EQ(wheel.armed(), 0U);
}

TEST(Lifecycle, AdvancesThroughAllPhases) {
  Lifecycle lifecycle;
  lifecycle.set_listening();
  EXPECT_FALSE(lifecycle.advance(0s, false, false));  // no engine is known yet
  EXPECT_FALSE(lifecycle.ready());
  lifecycle.set_engine_known();
  EXPECT_TRUE(lifecycle.advance(1s, false, false));
  EXPECT_TRUE(lifecycle.ready());
  lifecycle.request_stop(2s);
  EXPECT_FALSE(lifecycle.ready());
  EXPECT_FALSE(lifecycle.advance(2s + Lifecycle::kMinDrainTime, true, false));  // a request is unanswered
  EXPECT_FALSE(lifecycle.advance(2s, false, false));  // clients may still send requests
  EXPECT_TRUE(lifecycle.advance(2s + Lifecycle::kMinDrainTime, false, true));
  EXPECT_EQ(lifecycle.phase(), Phase::stopping);
  EXPECT_TRUE(lifecycle.advance(10s, false, true));  // it does not wait for ever
  EXPECT_EQ(lifecycle.phase(), Phase::exited);
}

// Requests that are cancelled when the drain time is over are answered in the same tick; their answers are
// not written yet.
// Guards against the loss of a request whose client began to write it before the program stopped reading, but
// not at the price of a program that is killed with other requests unanswered.
TEST(Lifecycle, DrainsWhileARequestIsBeingReceivedUntilTheDrainExpires) {
  Lifecycle lifecycle(1s);
  lifecycle.set_listening();
  lifecycle.set_engine_known();
  ASSERT_TRUE(lifecycle.advance(1s, false, false));
  lifecycle.request_stop(2s);
  EXPECT_FALSE(lifecycle.advance(2s + Lifecycle::kMinDrainTime, false, false, true));
  EXPECT_FALSE(lifecycle.advance(3s + Lifecycle::kDrainMargin - 1ms, false, false, true));
  EXPECT_FALSE(lifecycle.advance(3s + Lifecycle::kDrainMargin, true, false, true));
  EXPECT_TRUE(lifecycle.advance(3s + Lifecycle::kDrainMargin, false, false, true));
  EXPECT_EQ(lifecycle.phase(), Phase::stopping);
}

TEST(Lifecycle, DoesNotExitInTheTickThatAnswersTheLastRequest) {
  Lifecycle lifecycle;
  lifecycle.set_listening();
  lifecycle.set_engine_known();
  lifecycle.advance(1s, false, false);
  lifecycle.request_stop(2s);
  EXPECT_TRUE(lifecycle.advance(4s, false, false));
  EXPECT_EQ(lifecycle.phase(), Phase::stopping);
  EXPECT_TRUE(lifecycle.advance(4s, false, false));
  EXPECT_EQ(lifecycle.phase(), Phase::exited);
}

// A program that is never ready gets no requests, even if the change log becomes reachable later.
TEST(Lifecycle, IsReadyAfterStartupWaitWithoutKnownEngines) {
  Lifecycle lifecycle;
  EXPECT_FALSE(lifecycle.advance(1s, false, false));
  EXPECT_FALSE(lifecycle.advance(10s, false, false));  // no front listens
  lifecycle.set_listening();
  EXPECT_TRUE(lifecycle.advance(11s, false, false));
  EXPECT_TRUE(lifecycle.ready());
  Lifecycle without_engines;
  without_engines.set_listening();
  without_engines.advance(1s, false, false);
  EXPECT_FALSE(without_engines.advance(1s + Lifecycle::kMaxStartupWait - 1ms, false, false));
  EXPECT_TRUE(without_engines.advance(1s + Lifecycle::kMaxStartupWait, false, false));
}

TEST(Reducer, ServedAttemptYieldsExactlyOneAnswer) {
  ReducerHarness harness;
  harness.send_request(42);
  const auto started = harness.effects_of<StartAttempt>();
  ASSERT_EQ(started.size(), 1U);
  EXPECT_TRUE(harness.effects_of<Transmit>().empty());  // not before there is a connection
  harness.report(1ms, AttemptReady{started[0].id});
  ASSERT_EQ(harness.effects_of<Transmit>().size(), 1U);
  harness.end_attempt(started[0].id, AttemptOutcome::served, "rows");
  harness.end_attempt(started[0].id, AttemptOutcome::served, "again");
  harness.tick_for(3s);
  const auto answers = harness.effects_of<Answer>();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].client, 42U);
  EXPECT_EQ(answers[0].body, "rows");
  EXPECT_EQ(harness.reducer.tracked_requests(), 0U);
}

// The engine may start to drain while a connection to it is being made: the query must not be sent then.
TEST(Reducer, SendsNothingToADrainingEngine) {
  ReducerHarness harness;
  harness.send_request(1);
  const auto id = harness.effects_of<StartAttempt>().at(0).id;
  harness.report(1ms, MembershipChange{false, {member(7, EngineState::draining), member(8)}, true});
  harness.report(1ms, AttemptReady{id});
  EXPECT_TRUE(harness.effects_of<Transmit>().empty());
  ASSERT_EQ(harness.effects_of<CancelAttempt>().size(), 1U);
  harness.end_attempt(id, AttemptOutcome::expired);
  harness.tick_for(50ms);
  ASSERT_EQ(harness.effects_of<StartAttempt>().size(), 2U);
  EXPECT_EQ(harness.effects_of<StartAttempt>()[1].engine, 8U);
}

TEST(Reducer, UnresponsiveEngineStillYieldsAnAnswerBeforeTheDeadline) {
  ReducerHarness harness;
  harness.send_request(1, 1, 2s);
  harness.report(1ms, AttemptReady{harness.effects_of<StartAttempt>().at(0).id});
  harness.tick_for(1900ms);
  EXPECT_TRUE(harness.effects_of<Answer>().empty());
  harness.tick_for(90ms);
  ASSERT_EQ(harness.effects_of<Answer>().size(), 1U);
  EXPECT_EQ(harness.effects_of<Answer>()[0].kind, AnswerKind::timed_out);  // not rejected: it may have run
  EXPECT_EQ(harness.effects_of<CancelAttempt>().size(), 1U);
  EXPECT_EQ(harness.reducer.unanswered_requests(), 0U);
  EXPECT_EQ(harness.reducer.tracked_requests(), 1U);  // until the cancellation has been sent to the engine
  harness.end_attempt(harness.effects_of<StartAttempt>()[0].id, AttemptOutcome::cancelled);
  EXPECT_EQ(harness.reducer.tracked_requests(), 0U);
}

TEST(Reducer, CancelledRequestGetsNoAnswer) {
  ReducerHarness harness;
  harness.send_request(1);
  harness.report(1ms, AttemptReady{harness.effects_of<StartAttempt>().at(0).id});
  harness.report(10ms, RequestCancelled{1});
  EXPECT_EQ(harness.effects_of<CancelAttempt>().size(), 1U);
  harness.end_attempt(harness.effects_of<StartAttempt>()[0].id, AttemptOutcome::served, "too late");
  harness.tick_for(3s);
  EXPECT_TRUE(harness.effects_of<Answer>().empty());
}

TEST(Reducer, RequestRejectedAtAdmissionDoesNotReachThePolicy) {
  ReducerHarness harness;
  ClientRequest request;
  request.client = 5;
  request.timeout = 2s;
  request.admission_retry_after = 250ms;
  harness.report(10ms, RequestArrived{request});
  ASSERT_EQ(harness.effects_of<Answer>().size(), 1U);
  EXPECT_EQ(harness.effects_of<Answer>()[0].kind, AnswerKind::rejected);
  EXPECT_EQ(harness.effects_of<Answer>()[0].retry_after, 250ms);
  EXPECT_EQ(harness.reducer.tracked_requests(), 0U);
}

// If the process were killed for its memory use, all requests would be lost.
TEST(Reducer, RejectsRequestsBeyondTheMemoryLimit) {
  Effects effects;
  Reducer reducer(settings(), 1, 4000);
  for (ClientHandle client = 1; client <= 3; ++client) {
    ClientRequest request;
    request.client = client;
    request.timeout = 2s;
    request.body = std::string(900, 'x');
    reducer.reduce(1s, RequestArrived{request}, effects);
  }
  EXPECT_EQ(reducer.tracked_requests(), 2U);
  const auto* answer = std::get_if<Answer>(&effects.back());
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->client, 3U);
  EXPECT_EQ(answer->kind, AnswerKind::rejected);
  reducer.reduce(1s, RequestCancelled{1}, effects);
  EXPECT_EQ(reducer.tracked_requests(), 1U);
}

TEST(Reducer, PolicyRunsAtLeastTheMinimumIntervalApart) {
  ReducerHarness harness;
  harness.send_request(1);
  EXPECT_EQ(harness.effects_of<StartAttempt>().size(), 1U);
  harness.report(7ms, Tick{});
  ClientRequest request;
  request.timeout = 2s;
  for (ClientHandle client = 2; client < 5; ++client) {
    request.client = client;
    harness.report(1ms, RequestArrived{request});
  }
  // The first is sent at once; the others wait for the next run of the policy together.
  EXPECT_EQ(harness.effects_of<StartAttempt>().size(), 2U);
  ASSERT_TRUE(harness.reducer.next_policy_run().has_value());
  harness.report(*harness.reducer.next_policy_run() - harness.now, Tick{});
  EXPECT_EQ(harness.effects_of<StartAttempt>().size(), 4U);
}

TEST(Reducer, RequestAcceptedWhileDrainingIsAnswered) {
  ReducerHarness harness;
  harness.send_request(1);
  harness.report(1ms, ShutdownRequested{});
  harness.send_request(2);
  harness.tick_for(1s);
  EXPECT_EQ(harness.reducer.lifecycle().phase(), Phase::draining);
  for (const auto& started : harness.effects_of<StartAttempt>()) {
    harness.report(1ms, AttemptReady{started.id});
    harness.end_attempt(started.id, AttemptOutcome::served);
  }
  harness.tick_for(20ms);
  EXPECT_EQ(harness.effects_of<Answer>().size(), 2U);
  EXPECT_EQ(harness.effects_of<Exit>().size(), 1U);
}

// Guards against the loss of a request that is being received when the program could stop.
TEST(Reducer, RequestThatIsBeingReceivedWhileDrainingIsAccepted) {
  ReducerHarness harness;
  harness.report(1ms, ShutdownRequested{});
  harness.tick_for(1s, Tick{false, true});
  EXPECT_EQ(harness.reducer.lifecycle().phase(), Phase::draining);
  harness.send_request(1);
  EXPECT_EQ(harness.effects_of<StartAttempt>().size(), 1U);
}

// The platform kills a program that was asked to stop after the longest request timeout plus 0.7 s, or
// after 3.7 s if that is less: requests that are unanswered then would get no answer at all.
TEST(Reducer, UnansweredRequestsAreCancelledBeforeTheProgramIsKilled) {
  for (const auto& [max_timeout, time_before_cancel] : {std::pair<Time, Time>{20s, 3s}, {2s, 2s}}) {
    auto initial_settings = settings();
    for (auto& class_settings : initial_settings.classes) class_settings.request_timeout = max_timeout;
    ReducerHarness harness(initial_settings);
    harness.send_request(42, 0, 20s);
    harness.send_request(43, 1, 20s);  // must not be retried
    for (const auto& start : harness.effects_of<StartAttempt>()) harness.report(1ms, AttemptReady{start.id});
    ASSERT_EQ(harness.effects_of<Transmit>().size(), 2U);
    harness.report(0ms, ShutdownRequested{});
    harness.tick_for(time_before_cancel);
    EXPECT_TRUE(harness.effects_of<Answer>().empty());
    harness.tick_for(400ms);
    const auto answers = harness.effects_of<Answer>();
    ASSERT_EQ(answers.size(), 2U);
    for (const auto& answer : answers)
      EXPECT_EQ(answer.kind, answer.client == 42 ? AnswerKind::rejected : AnswerKind::failed);
    EXPECT_EQ(harness.effects_of<CancelAttempt>().size(), 2U);
    harness.tick_for(300ms);
    EXPECT_EQ(harness.effects_of<Exit>().size(), 1U);
  }
}

// Guards against ejecting an engine as unresponsive (for up to 8 s, with a fifth of the fleet
// affected) although it reports every 250 ms that the query is still running.
TEST(Reducer, EngineThatReportsProgressIsNotTreatedAsUnresponsive) {
  for (const bool reports_progress : {true, false}) {
    ReducerHarness harness;
    for (ClientHandle client = 1; client <= 4; ++client) harness.send_request(client, 0, 60s);
    for (const auto& start : harness.effects_of<StartAttempt>()) harness.report(1ms, AttemptReady{start.id});
    for (int i = 0; i < 12; ++i) {
      harness.tick_for(250ms);
      if (!reports_progress) continue;
      for (const auto& sent : harness.effects_of<Transmit>()) harness.report(0ms, AttemptProgressed{sent.id});
    }
    const auto logs = harness.effects_of<Log>();
    const auto reported_silent = [](const Log& log) {
      return log.text.find("is silent") != std::string::npos;
    };
    EXPECT_EQ(std::ranges::any_of(logs, reported_silent), !reports_progress);
  }
}

// Clients use a new ticket for every retry. A request with the ticket of an answered one can't be counted for
// the retry budget, and would run a second time under the same ticket if it were sent.
TEST(Reducer, TicketOfAnAnsweredRequestIsNotAccepted) {
  for (const auto end : {AttemptOutcome::served, AttemptOutcome::rejected}) {
    ReducerHarness harness;
    ClientRequest request;
    request.timeout = 2s;
    request.ticket = "9b1f03aa5c7e2d41";
    for (ClientHandle client = 1; client <= 3; ++client) {
      request.client = client;
      harness.report(10ms, RequestArrived{request});
      for (const auto& start : harness.effects_of<StartAttempt>()) {
        harness.report(1ms, AttemptReady{start.id});
        harness.end_attempt(start.id, end);
      }
      harness.tick_for(2s);
    }
    std::set<RequestId> sent;
    for (const auto& start : harness.effects_of<StartAttempt>()) sent.insert(start.id.request);
    EXPECT_EQ(sent.size(), 1U);
    const auto answers = harness.effects_of<Answer>();
    ASSERT_EQ(answers.size(), 3U);
    EXPECT_EQ(answers[1].kind, AnswerKind::failed);
    EXPECT_EQ(answers[2].kind, AnswerKind::failed);
    harness.tick_for(30s);
    request.client = 4;
    harness.report(10ms, RequestArrived{request});
    EXPECT_EQ(harness.reducer.unanswered_requests(), 1U);  // the ticket has expired by then
  }
}

// Guards against an unsafe request that runs twice, since its ticket was displaced by those of others.
TEST(Reducer, TicketOfAnExecutedUnsafeRequestIsNotDisplacedByOtherTickets) {
  ReducerHarness harness;
  ClientRequest unsafe_request;
  unsafe_request.client = 1;
  unsafe_request.class_index = 1;
  unsafe_request.timeout = 2s;
  unsafe_request.ticket = "9b1f03aa5c7e2d41";
  harness.report(10ms, RequestArrived{unsafe_request});
  const auto starts = harness.effects_of<StartAttempt>();
  ASSERT_EQ(starts.size(), 1U);
  harness.report(1ms, AttemptReady{starts[0].id});
  harness.report(1ms, RequestCancelled{1});  // its client has gone; the query runs on
  harness.end_attempt(starts[0].id, AttemptOutcome::served);
  ClientRequest other;
  constexpr ClientHandle kOthers = TicketHistory::kMaxOthers + 10;
  for (ClientHandle client = 2; client < 2 + kOthers; ++client) {
    other.client = client;
    other.ticket = std::to_string(client);  // it has no time left, and is rejected
    harness.report(0ms, RequestArrived{other});
    harness.report(0ms, RequestCancelled{client});
  }
  harness.tick_for(10ms);
  unsafe_request.client = 2 + kOthers;
  harness.effects.clear();
  harness.report(10ms, RequestArrived{unsafe_request});
  harness.tick_for(100ms);
  EXPECT_TRUE(harness.effects_of<StartAttempt>().empty());
  const auto answers = harness.effects_of<Answer>();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].client, unsafe_request.client);
  EXPECT_EQ(answers[0].kind, AnswerKind::failed);
}

}  // namespace
}  // namespace bellstair::core
