// The decision module behind heronwell::Gateway: its state and the declarations of its functions. Each
// comment with a file name tells which source file in this folder defines the functions below it.
//
// In short: a request waits in the queue of its class. Classes have a priority order and thread budgets,
// which a PI controller sets so that waits stay near a target. A request is released if its class has budget
// left (or if no class within its budget can release one) and if an engine has capacity for it; of several
// engines it is sent to the one with the lowest load score. Engines that fail or stay silent are ejected for
// a while, engines that have just started get little work (slow start), and attempts that take too long are
// hedged or retried.
//
// Terms: a latency ratio is an observed latency divided by the usual one. Load is counted in threads per
// core: the threads of all gateways' queries divided by the cores of the engine or, as "fleet load", of the
// fleet.
#pragma once

#include <algorithm>
#include <random>
#include <ranges>
#include <string>

#include "heronwell/gateway.hpp"
#include "policy/constants.hpp"
#include "state.hpp"

namespace heronwell {

class Gateway::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed);
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& out);
  [[nodiscard]] ClassStats class_stats(ClassIndex class_index) const;
  [[nodiscard]] double total_thread_budget() const;

 private:
  // gateway.cpp: the order in which a call does its work

  // Emits the first actions: the subscription to the membership and the timer.
  void start();
  // Random number from 0 to 1, 1 excluded.
  double random_unit();
  void emit(Action action);
  // Logs "engine <id> <event>".
  void trace_engine(const Engine& engine, const char* event);

  // fleet.cpp: membership, capacity and speed of engines

  // Takes over a membership update; update_fleet() must be called afterwards.
  void apply(const MembershipUpdate& update);
  // Extends the membership's lease.
  void apply(const MembershipConfirmed& confirmed);
  // From then on the membership may be out of date; 0: never.
  Time membership_lease_end() const;
  bool membership_expired() const;
  // Logs that the membership has expired, or has been confirmed again.
  void trace_membership_lease();
  // Recomputes what depends on the set of engines or on their health.
  void update_fleet();
  double engine_cores(const Engine& engine) const;
  // How many times slower than the fleet the engine is: 1 unless it is clearly slower.
  double slowness(const Engine& engine) const;

  // slow_start.cpp: engines that have just started

  // The engine's process started at `since`: forgets how the one before it behaved.
  void begin_slow_start(Engine& engine, Time since);
  bool in_slow_start(const Engine& engine) const;
  // Smallest share of its full capacity that the engine had over the last `period`, 0 to 1.
  double capacity_share(const Engine& engine, Time period) const;
  // Core-seconds that the request counts for at an engine in slow start.
  double slow_start_work(const Request& request) const;
  // False if the engine is in slow start and the request does not fit into an admission slot.
  bool slow_start_allows(const Request& request, const Engine& engine) const;
  // Largest mean work of a class, core-seconds.
  double max_class_work() const;
  // Decides at random which engines in slow start this gateway may send to. `passed_seconds`: since
  // the call before.
  void draw_admission_slots(double passed_seconds);

  // arrivals.cpp: admission of new requests, queue times

  // Queues the request, or rejects it at once.
  void apply(const Arrival& arrival);
  // The request waited while this process was paused, and cannot meet its latency target any more.
  bool arrived_too_late(const Arrival& arrival);
  // Latency target of a query with the usual work, seconds.
  double usual_latency_target(ClassIndex class_index) const;
  // Estimated work against the mean estimate of the class; updates that mean.
  double estimate_relative_size(const Arrival& arrival);
  // The request is too large for the present load of the fleet.
  bool too_large(const Request& request) const;
  // Core-seconds.
  double expected_work(const Request& request) const;
  // Seconds.
  double predicted_latency(const Request& request) const;
  // Puts the request at the front (retries) or at the end of its class's queue.
  void add_to_queue(Request& request, bool at_front);
  // How long the request may stay in the queue.
  Time max_queue_time(const Request& request) const;
  // Rejects the requests that have been in the queue for too long.
  void reject_overdue();
  // The tenant has used up its share.
  bool over_tenant_share(const Arrival& arrival) const;

  // requests.cpp: the life of a request up to its final response

  // Closes the request, since its client does not wait for it any more.
  void apply(const RequestCancelled& cancelled);
  // Null if the request is unknown or has been erased.
  Request* find_request(RequestId id);
  // Ends an open request without a result: Reject if a resend does no harm, else Fail.
  void reject_or_fail(Request& request, const char* reason);
  // The request has its final response: cancels its attempts, and erases it unless some are in flight.
  void close(Request& request);
  // Erases a closed request without attempts in flight; the reference is invalid afterwards.
  void erase_request(Request& request);
  // Requests cancellation, if the engines support it; the attempt stays in flight until its result.
  void cancel_attempt(Request& request, std::size_t index);
  // Settings of the request's class.
  const ClassSettings& settings_of(const Request& request) const;
  // Per-key ordering applies to the request.
  bool is_ordered(const Request& request) const;

  // rules.cpp: the rules that every send and every rejection must follow

  // A resend by the client would do no harm.
  bool may_reject(const Request& request) const;
  // All rules allow sending the request to the engine now.
  bool may_send(const Request& request, Engine& engine);
  // The attempts in flight allow another one beside them.
  bool may_add_attempt(const Request& request) const;
  // The class may run in the engine's zone and on its kind of machine.
  bool placement_allowed(const Request& request, const Engine& engine) const;
  // Point in time by which a retry of a keyed request must have been sent; 0: no limit.
  Time retry_deadline(const Request& request) const;
  // Point in time by which an attempt of the request must have been sent; 0: no limit.
  Time send_deadline(const Request& request) const;
  // An attempt on this engine cannot execute the query's effect twice.
  bool retry_allowed(const Request& request, const Engine& engine) const;
  // Per-key ordering lets the request start now.
  bool is_next_for_key(const Request& request) const;
  // One more attempt after the first fits into the retry budget.
  bool within_retry_budget();
  // Drops arrivals and retries outside the retry budget's window, and pauses of keys that are over.
  void remove_expired();

  // attempts.cpp: sending, retrying and hedging attempts

  // MB; 0: the engine decides.
  double memory_reservation(const Request& request) const;
  // Execution priority on the engine.
  std::uint8_t priority(const Request& request) const;
  // Sends the request if the rules allow it; false if they do not.
  bool send_attempt(Request& request, Engine& engine);
  // Ends the attempt, updates averages and health from its result, and retries or ends the request.
  void apply(const AttemptResult& result);
  // Queues a request without attempts in flight for another attempt, or ends it.
  void retry_or_reject(Request& request);
  // The query itself makes engines fail.
  bool query_at_fault(const Request& request) const;
  // Cancels the attempt if the request can be retried elsewhere or has another attempt.
  void cancel_stalled_attempt(RequestId id, std::size_t index);
  // Starts a hedged attempt if this one takes too long, and cancels it if it seems lost.
  void hedge_slow_attempt(RequestId id, std::size_t index);

  // health.cpp: outlier detection, and averages of latency and cost from responses

  // Updates the engine's health and the class's averages.
  void evaluate_result(Engine& engine, const Request& request, const AttemptResult& result);
  // The engine's process ran at `at`. Soon after its connection broke, this shows that it has not restarted.
  void record_sign_of_life(Engine& engine, Time at);
  void record_success(Engine& engine, const Request& request, const AttemptResult& result);
  static void update_baseline_latency(ClassState& cls, double latency_seconds);
  // `weight`: of this failure in the error rate.
  void record_failure(Engine& engine, double weight);
  // Sends the engine nothing for a while and cancels its attempts. `reason` is logged.
  void eject(Engine& engine, const char* reason);
  bool is_ejected(const Engine& engine) const;
  // Hedges or cancels attempts that stall, and ejects the engine if it is silent.
  void check_stalled_attempts(Engine& engine);
  // Cancels the attempt if it is blocked or its query plan is bad.
  void apply(const ProgressReport& report);
  // The engine's health allows sending it the request; ends an ejection whose time is over.
  bool health_allows(const Request& request, Engine& engine) const;

  // load_reports.cpp: load reports, probes and messages between gateways

  // Records the load figures of a response or probe, which are in the order of Settings::load_fields.
  void record_load(Engine& engine, const std::vector<double>& load);
  // Records a load report, `threads` of all gateways on the engine, and updates the fleet's averages with it.
  void record_report(Engine& engine, double threads, Time at);
  // Records a load report, but leaves the fleet's averages as they are.
  void store_report(Engine& engine, double threads, Time at);
  // Records the load that a probe returned.
  void apply(const ProbeResult& result);
  // Records the load that another gateway reports.
  void apply(const PeerMessage& message);
  // Sends this gateway's load to others, if it is time.
  void report_to_peers();
  // Probes the engine if its load report is old and `reserve` probe tokens remain. True: a probe was sent.
  bool probe_if_outdated(Engine& engine, double reserve);
  // True: a probe was sent; false: probes are not available, or no token is left.
  bool send_probe(Engine& engine);
  // Sends probes for the request. True: it should wait for them.
  bool await_probes(Request& request, const std::vector<Engine*>& engines);
  // The fleet load is above its limit or, if that load is unknown, the latency ratio is.
  bool fleet_overloaded() const;
  // Threads per core; below 0: unknown.
  double fleet_load() const;
  // Threads of all gateways on the engine; none: unknown.
  std::optional<double> all_gateways_threads(const Engine& engine) const;
  // Weight of a load report's difference from the fleet load, 0 to 1.
  double report_confidence() const;
  // Factor on the fleet load that corrects for oscillations that the reports do not show yet.
  double oscillation_correction() const;
  // Threads of this gateway's attempts in flight.
  double total_running_threads() const;
  // Sum of one field over all classes.
  double sum_over_classes(auto field) const {
    double total = 0;
    for (const auto& cls : classes_) total += cls.*field;
    return total;
  }

  // engine_choice.cpp: the choice of the engine for a request

  // The engine can take a query of class `class_index`.
  bool has_capacity(const Engine& engine, ClassIndex class_index) const;
  // A bulk load of the data group, sent by this gateway, runs on the engine.
  bool has_running_load(std::int64_t group, const Engine& engine) const;
  // Threads per core, with penalties; the lowest score is the best.
  double load_score(const Request& request, Engine& engine);
  // Engines that bulk loads of the data group are sent to, and that have its data cached.
  const std::vector<Engine*>& preferred_engines(std::int64_t group);
  // The engine is among preferred_engines().
  bool is_preferred(std::int64_t group, Engine& engine);
  // Engines to compare for the request.
  const std::vector<Engine*>& candidates(const Request& request);
  // Null if no engine can take the request now.
  Engine* choose_engine(Request& request);

  // control_loop.cpp: thread budgets, release of requests, tenants' shares

  // Sends one queued request of a class within its thread budget or, if `under_budget` is false, of a class
  // that has used it up. False: none could be sent.
  bool release_next(bool under_budget);
  // Sends the first request of the class that may be sent. False: none.
  bool release_from_queue(ClassState& cls);
  // Divides the total budget among the classes.
  void assign_thread_budgets();
  // Lowers the load limits while the fleet is congested.
  void update_back_off();
  // Logs budgets and queues, and how many requests were ended without a result.
  void log_state();
  // One step of the PI controller, each kControlPeriod.
  void run_controller();
  // The work of a tick.
  void apply(const TimerExpired&);
  // Queries a second that tenant `tenant` may send through this gateway.
  double tenant_share_rate(std::size_t tenant) const;
  // `passed_seconds`: since the last update.
  void update_arrival_rate(double passed_seconds);
  // `passed_seconds`: since the last refill.
  void refill_tenant_tokens(double passed_seconds);

  Settings settings_;
  std::mt19937_64 random_;
  std::vector<ClassState> classes_;                 // as Settings::classes
  std::vector<ClassIndex> priority_order_;          // short latency targets first, then high values
  std::map<EngineId, Engine> engines_;              // in the membership, or with an attempt in flight
  std::map<RequestId, Request> requests_;           // open, or with an attempt in flight
  std::set<std::pair<Time, RequestId>> deadlines_;  // of open requests, less kDeadlineMargin
  KeyOrder key_order_;
  std::deque<Time> recent_arrivals_,  // within the retry budget's window
      recent_retries_;                // attempts after the first, within the same window
  // By gateway: when it last reported its own threads, and these by engine. Used if gateways are few.
  std::map<std::uint32_t, std::pair<Time, std::map<EngineId, unsigned>>> peer_loads_;
  std::vector<double> tenant_tokens_;   // queries that each tenant may still send
  std::vector<Engine*> ready_engines_,  // by id
      candidates_,                      // of the last choice, in a large fleet
      admitted_engines_;                // in slow start, with an admission slot
  std::set<EngineId> busy_engines_;     // with an attempt of this gateway in flight
  std::map<std::int64_t, std::vector<Engine*>> preferred_engines_;  // by data group; computed when needed
  std::deque<std::pair<Time, Engine*>> recent_reports_;             // the last kMaxCandidates, newest first
  std::uint64_t selection_round_ = 0;                               // counts the choices in a large fleet
  bool started_ = false,                                            // start() has been called
      fleet_changed_ = false,                                       // update_fleet() is needed
      membership_expiry_traced_ = false,                            // the last log line on the lease was that
      loads_block_readers_ = false;  // some class waits for bulk loads of its data group
  bool small_budget_ = false;        // the total thread budget is enough for a few queries only
  unsigned max_query_threads_ = 1;
  double arrival_rate_age_seconds_ = 0,  // of arrivals that arrival_rate_ is based on
      arrival_rate_ = 0,                 // queries a second at this gateway
      period_arrivals_ = 0,              // in this control period
      probe_tokens_ = 0,                 // probes that may still be sent
      peer_byte_tokens_ = 0;             // bytes that may still be sent to other gateways
  double hedge_work_tokens_ = 0;         // core-seconds that hedged attempts may still cost
  double total_thread_budget_ = 0,       // this gateway's share, threads
      fleet_cores_ = 0,                  // of the ready engines
      fleet_latency_ratio_ = 1,          // average over all engines
      back_off_factor_ = 1;              // on the load limits, at most 1
  // Averages over gateways, from their messages: seconds between two queries of a gateway, and that interval
  // multiplied by its threads.
  double peer_query_interval_ = 0, peer_thread_seconds_ = 0;
  unsigned peer_messages_received_ = 0;
  double peer_fleet_load_ = -1,       // threads per core by the gateways' messages; -1: unknown
      reported_fleet_load_ = -1;      // threads per core by engines' load reports; -1: unknown
  double mean_query_threads_ = 0;     // average over the classes
  double usual_running_threads_ = 0;  // average of total_running_threads()
  double report_variance_ = 1;        // variance / mean of the queries reported of an engine
  std::map<std::string, unsigned> rejections_by_reason_;  // rejected or failed in this control period
  double fleet_error_rate_ = 0;                           // average over all engines' results, 0 to 1
  Time now_{},                                            // of the current call
      last_call_{},                                       // of handle()
      process_pause_{},                                   // length of the pause before this call; 0: none
      last_control_step_{},                               // last step of the controller
      last_tick_{},                                       // last timer event that was processed
      last_peer_message_{},                               // that was sent
      membership_confirmed_at_{},           // see MembershipConfirmed; at first the time of the first call
      membership_retry_at_{},               // when to subscribe again after a failure; 0: not needed
      fleet_load_updated_{};                // when fleet_load() last got a report
  std::vector<Action>* actions_ = nullptr;  // output of the current call
};

}  // namespace heronwell
