// The core of the broker, and the only place where its state changes: (state, event) -> effects. It runs the
// policy (heronwell::Gateway) and translates its actions into effects. It does no input or output and reads
// no clock.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/events.hpp"
#include "core/lifecycle.hpp"
#include "core/request_log.hpp"
#include "core/start_clock.hpp"
#include "core/ticket_history.hpp"
#include "core/wheel.hpp"
#include "heronwell/gateway.hpp"

namespace bellstair::core {

// Every request that it accepts is completed with exactly one Answer, unless its client cancels it. Not
// thread safe.
class Reducer {
 public:
  // The interval at which the caller reports Tick; the resolution of all timers.
  static constexpr Time kTick = std::chrono::milliseconds(5);

  // `seed`: for the policy's random decisions.
  // `max_bytes`: requests beyond this total size are rejected, since all would be lost if the process were
  // killed for its memory use.
  // `unix_offset`: Unix time minus monotonic time, to translate the engine starts in the change log.
  // Throws std::invalid_argument if the settings are not valid.
  Reducer(heronwell::Settings settings, std::uint64_t seed, std::size_t max_bytes = std::size_t{64} << 20,
          Time unix_offset = {});

  // Processes one event and appends its effects to `effects`. `now` is a reading of monotonic_now() and must
  // not be less than in the previous call.
  void reduce(Time now, Event event, Effects& effects);

  [[nodiscard]] const Lifecycle& lifecycle() const { return lifecycle_; }
  // When reduce() must be called so that the policy processes its pending events; none: there are none.
  [[nodiscard]] std::optional<Time> next_policy_run() const;
  // The client of the attempt's request; 0: the request is not known any more.
  [[nodiscard]] ClientHandle client_of(AttemptId id) const;
  // The number of requests without their final answer.
  [[nodiscard]] std::size_t unanswered_requests() const { return unanswered_; }
  // The number of requests that are unanswered or have an attempt that has not ended.
  [[nodiscard]] std::size_t tracked_requests() const { return requests_.size(); }

 private:
  enum class Stage {
    connecting,  // waits for a connection
    in_flight,   // sent to the engine
    cancelling,  // cancelled, AttemptEnded is still to come
    ended
  };
  struct Attempt {
    EngineId engine = 0;
    Stage stage = Stage::connecting;
    Time started_at{}, deadline{}, send_by{};  // send_by: it must not be sent at or after this; 0: no limit
    std::optional<AttemptOutcome> outcome;     // none: it has not ended, or was never started
    bool timed_out = false;                    // cancelled since its time was over
    std::uint8_t priority = 1;                 // as last sent to the engine
  };
  struct Request {
    ClientRequest client_request;
    Time accepted_at{}, deadline{};
    bool answered = false;            // or cancelled by its client
    bool client_half_closed = false;  // no further attempt is made for it
    double memory_mb = 0;             // as in heronwell::ExecutionLimits, like `priority`
    std::uint8_t priority = 1;
    std::vector<Attempt> attempts;  // by index
    std::string last_engine_error;  // the error text of its last failed attempt that had one
  };
  struct Timer {
    enum class Kind { policy, attempt_deadline, request_deadline } kind = Kind::policy;
    AttemptId id;
  };

  void handle(const Listening&);
  void handle(MembershipChange& change);
  void handle(const MembershipConfirmed& confirmed);
  void handle(const DiscoveryIdle& idle);
  void handle(RequestArrived& arrived);
  void handle(const RequestCancelled& cancelled);
  void handle(const ClientHalfClosed& half_closed);
  void handle(const AttemptReady& ready);
  void handle(const AttemptProgressed& progressed);
  void handle(AttemptEnded& ended);
  void handle(ProbeEnded& ended);
  void handle(PeerMessageReceived& received);
  void handle(const ShutdownRequested&);
  void handle(const ReloadRequested&) { emit(ReadConfiguration{}); }
  void handle(ConfigurationRead& read);
  void handle(const Tick& tick);
  void handle(const Timer& timer);

  void execute(const heronwell::Send& send);
  void execute(const heronwell::CancelAttempt& cancel);
  void execute(const heronwell::Reject& reject);
  void execute(const heronwell::Fail& fail);
  void execute(const heronwell::ExecutionLimits& limits);
  void execute(const heronwell::SetTimer& timer);
  void execute(const heronwell::Probe& probe);
  void execute(heronwell::SendPeerMessage& message);
  void execute(const heronwell::WatchMembership&) {}  // the change log is always watched
  void execute(heronwell::Trace& trace);

  // The member's entry for the policy: its last start is on the monotonic clock.
  [[nodiscard]] heronwell::EngineEntry policy_entry(const Member& member) const;
  // Returns whether starts that the policy has received before now translate to other times.
  bool update_start_clock(const MembershipChange& change);
  // Passes the pending events to the policy and executes its actions.
  void run_policy();
  // Cancels all requests that are unanswered.
  void cancel_all_requests();
  // Answers an unanswered request and cancels its attempts. `reason` is for the log.
  void cancel_request(RequestId id, const char* reason);
  // Cancels the request of a client that has half-closed, unless an attempt is in flight.
  void cancel_unless_in_flight(RequestId id);
  void answer_served(Request& request, std::string body, std::string result_schema);
  // Any final answer but "served". `reason` is for the log.
  void reply_with_error(Request& request, AnswerKind kind, Time retry_after, const char* reason);
  // Emits the final answer.
  void complete_request(Request& request, Answer answer);
  static const char* stage_name(Stage stage);
  // Logs a request that was not served.
  void log_outcome(const Request& request, const char* outcome, const char* reason);
  // Reports the end of an attempt to the policy. `ended`: null if the attempt was never started.
  void complete_attempt(AttemptId id, Request& request, heronwell::AttemptStatus status, AttemptEnded* ended);
  // Does nothing if the attempt is being cancelled or has ended.
  void cancel_attempt(AttemptId id, Attempt& attempt, bool timed_out);
  // Erases the request if it is answered and all its attempts have ended.
  void erase_if_done(RequestId id);
  // Whether the attempt, which has ended, may have run the query.
  [[nodiscard]] static bool may_have_run(const Attempt& attempt);
  Request* find(RequestId id);
  Attempt* find(AttemptId id);
  void emit(Effect effect) { effects_->push_back(std::move(effect)); }

  heronwell::Settings settings_;
  heronwell::Gateway gateway_;
  Lifecycle lifecycle_;
  TimerWheel<Timer> timers_{kTick};
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<ClientHandle, RequestId> request_by_client_;  // unanswered ones only
  std::unordered_set<std::string> tickets_;  // of tracked and recently answered requests
  TicketHistory ticket_history_;
  std::unordered_map<EngineId, Member> members_;
  std::unordered_map<EngineId, std::vector<Time>> probes_sent_at_;  // of the probes that have not ended
  std::vector<heronwell::Event> pending_events_;                    // for the next run of the policy
  std::vector<heronwell::Action> actions_;
  RequestId last_request_ = 0;
  std::size_t unanswered_ = 0, max_bytes_, tracked_bytes_ = 0;
  LogRateLimiter log_limiter_;
  StartClock start_clock_;
  bool membership_received_ = false;
  Time now_{}, last_policy_run_{};
  Effects* effects_ = nullptr;  // of the current call of reduce()
};

}  // namespace bellstair::core
