// Public interface of heronwell: the settings, the events that the caller passes in, the actions that it gets
// back, and the class that turns events into actions. The library does no input or output and reads no clock.
// The decisions themselves are in src/policy/.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heronwell {

// A point in time on the caller's clock, or a duration. In nanoseconds.
using Time = std::chrono::nanoseconds;
using RequestId = std::uint32_t;
using EngineId = std::uint32_t;
// Index into Settings::classes.
using ClassIndex = std::uint16_t;
// Index of an attempt within its request: 0 for the first Send, then counting up.
using AttemptIndex = std::uint16_t;

// ---- settings -----------------------------------------------------------------------------------------

// What executing a query more than once does.
enum class Idempotency {
  safe,   // no harm: the query may be retried anywhere and at any time
  keyed,  // no harm within the deduplication window and scope: engines there drop duplicates
  unsafe  // harm: the query is retried only if no earlier attempt can have run
};

// Which engines drop duplicates of each other's keyed queries.
enum class DeduplicationScope {
  all,   // all engines
  zone,  // engines of one zone
  cell   // engines of one cell
};

// What happens when memory reservations exceed an engine's memory.
enum class MemoryShortagePolicy {
  wait,       // the query waits until memory is free
  shrink,     // the query gets a smaller reservation
  overcommit  // the engine reserves more than it has
};

// A load figure that engines report.
enum class LoadField {
  inflight,      // queries at the engine, of all gateways
  queue,         // queries that wait at the engine
  util,          // share of the engine's cores that is busy, 0 to 1
  latency_ms,    // response time, milliseconds
  served,        // successful queries a second
  failed,        // failed queries a second
  memory_share,  // share of the memory that is reserved, 0 to 1
  disk_share,    // share of the disk capacity in use, 0 to 1
  unknown        // a field that the library has no use for
};

// One class of queries.
struct ClassSettings {
  std::string name;
  // A response within latency_target + latency_target_per_work x work / threads earns the full value.
  Time latency_target{};
  double latency_target_per_work = 0;  // ratio, see latency_target
  Time request_timeout{};              // how long clients wait for a response
  double value = 1;                    // of a response in time
  double late_value_share = 0;         // share of the value that a response after its latency target earns
  Idempotency idempotency = Idempotency::safe;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;  // keyed queries only
  Time deduplication_window{};  // keyed queries only: how long engines drop duplicates
  bool ordered_by_key = false;  // queries with the same order key run one after the other, as they arrived
  std::optional<std::vector<std::uint16_t>> allowed_zones;  // none: every zone
  std::optional<std::vector<std::uint16_t>> allowed_kinds;  // indexes into Settings::kinds; none: every kind
  unsigned threads = 1;                                     // that one query uses on its engine
  bool locks_data_group = false;      // a bulk load: locks its data group on its engine while it runs
  bool waits_for_data_group = false;  // blocks while a bulk load has its data group locked on the same engine
};

// One kind of machine that engines run on.
struct KindSettings {
  std::string name;
  double cores = 1;
  double memory_mb = 0;  // 0: unknown
};

struct TenantSettings {
  std::string name;
  double share = 0;             // of all queries, 0 to 1
  double quota_per_second = 0;  // queries a second, over all gateways
};

// Limits attempts after the first: in any `window` there are at most
// free_retries + retries_per_request x (requests that arrived in the window).
struct RetryBudget {
  Time window{};
  double free_retries = 0;         // attempts
  double retries_per_request = 0;  // attempts for each request
};

struct Settings {
  unsigned gateways = 1;                                 // that serve the same engines, this one included
  unsigned gateway_index = 0;                            // of this gateway, counting from 0
  std::uint16_t zone = 0;                                // of this gateway
  Time min_call_interval{std::chrono::milliseconds(5)};  // minimum time between two calls of handle()
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  // Share of its value that a query above its tenant's share earns; 1: tenants are not limited.
  double over_share_value = 1;
  unsigned zones = 1;                  // number of zones
  double cross_zone_cost = 0;          // of sending one query to another zone
  unsigned max_attempts = 1;           // for one request, the first included
  std::size_t max_open_requests = 0;   // 0: no limit
  bool can_cancel = false;             // CancelAttempt is available
  bool can_probe = false;              // Probe is available
  bool can_message_peers = false;      // SendPeerMessage is available
  bool can_hedge = false;              // two attempts of one request may run at the same time
  bool sends_retry_after = false;      // Reject::retry_after reaches clients
  Time max_retry_after{};              // largest value of Reject::retry_after
  bool membership_on_request = false;  // membership updates come only after WatchMembership
  bool memory_reservations = false;    // engines accept ExecutionLimits::memory_mb
  bool priorities = false;             // engines accept ExecutionLimits::priority
  bool reports_cost = false;           // responses contain the work and the memory a query needed
  double max_memory_share = 1;         // largest reservation, as a share of an engine's memory
  MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::wait;
  Time progress_interval{};             // between progress reports of an attempt; 0: none are sent
  bool load_in_responses = false;       // AttemptResult::load is filled
  std::vector<LoadField> load_fields;   // meaning of the values in AttemptResult::load and ProbeResult::load
  Time drain_grace{};                   // after an engine was reported draining or gone, attempts may still
                                        // start there for this long
  Time response_grace{};                // how long after its deadline a request may still be answered
  double slow_start_initial_share = 1;  // share of its capacity that an engine has just after its start
  Time slow_start_duration{};           // after its start, until an engine has its full capacity
  double overload_multiple = 0;         // engines in slow start are overloaded by more than this many times
                                        // their capacity over overload_window; 0: by no load
  Time overload_window{};               // see overload_multiple
  Time order_quiet_period{};            // pause of an order key after an attempt with an ambiguous outcome
  Time max_membership_age{};            // with membership_on_request: a gateway that neither watches nor asks
                                        // for this long counts as notified of the membership at that time
  Time membership_lease{};              // how long after MembershipConfirmed::at queries may still be sent
                                        // to the engines known; 0: always
  std::optional<RetryBudget> retry_budget;  // none: attempts are limited by max_attempts alone
};

// ---- events -------------------------------------------------------------------------------------------

enum class EngineState {
  draining,  // finishes its queries and takes no others
  ready,     // takes queries
  gone       // has left the fleet
};

enum class MembershipUpdateKind {
  delta,   // the engines that changed
  full,    // all engines; those left out have left the fleet
  cached,  // all engines as last known, read from a cache that may be out of date
  failed   // the membership could not be read
};

// How an attempt or a probe ended.
enum class AttemptStatus {
  served,            // with a result
  error,             // the engine executed the query and returned an error
  rejected,          // the engine did not accept the query: it has not run
  timed_out,         // no response up to the deadline of the attempt: it may have run
  connect_failed,    // no connection to the engine: it has not run
  connection_reset,  // the connection broke, perhaps with the engine: it may have run
  cancelled,         // by CancelAttempt: it may have run
  expired,           // not executed: cancelled before it was sent, or its deadline or Send::send_by passed
  query_dropped      // the connection broke and the query may have run; the engine is alive but no longer
                     // knows the query
};

enum class ProgressKind {
  progress,  // the query runs
  spill,     // the query writes intermediate results to disk, as its memory reservation is too small
  waiting    // the query has not started or is blocked
};

// One engine in a membership update.
struct EngineEntry {
  EngineId engine = 0;
  std::uint16_t zone = 0;
  std::uint16_t kind = 0;  // index into Settings::kinds
  std::uint16_t cell = 0;
  EngineState state = EngineState::ready;
  double weight = 1;  // nominal size against other engines; not used by the policy
  Time last_start{};  // when its process started; 0: long ago
};

// The membership has changed, or could not be read.
struct MembershipUpdate {
  MembershipUpdateKind kind = MembershipUpdateKind::full;
  std::vector<EngineEntry> engines;
};

// The source of the membership has responded: all updates up to then have been passed on.
struct MembershipConfirmed {
  Time at{};  // when the response was received
};

// A client has sent a request.
struct Arrival {
  RequestId request = 0;
  ClassIndex class_index = 0;
  std::uint32_t tenant = 0;            // index into Settings::tenants
  std::uint64_t order_key = 0;         // see ClassSettings::ordered_by_key; 0: none
  Time time_left{};                    // until the client's deadline
  std::optional<Time> estimated_work;  // core time of all threads; none: no estimate
  double estimated_memory_mb = 0;      // 0: no estimate
  std::int64_t data_group = 0;         // of the data that the query reads or loads
  bool is_retry = false;               // the client has sent this query before
};

// An engine has reported on a running attempt.
struct ProgressReport {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  ProgressKind kind = ProgressKind::progress;
  double value = 0;  // progress: share done, 0 to 1; spill: missing memory, MB; waiting: 1 for memory, 2 for
                     // a bulk load
};

// An attempt has ended.
struct AttemptResult {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  AttemptStatus status = AttemptStatus::served;
  Time latency{};               // from the send to the end
  bool request_closed = false;  // the client has its final response
  std::optional<Time> work;     // core time of all threads; none: the response does not contain it
  double memory_needed_mb = 0;  // where responses contain it
  std::vector<double> load;     // values of Settings::load_fields, in their order; empty: not reported
};

// The client has cancelled its request, or closed its connection.
struct RequestCancelled {
  RequestId request = 0;
};

// The time of SetTimer has passed.
struct TimerExpired {};

// A probe has ended.
struct ProbeResult {
  EngineId engine = 0;
  AttemptStatus status = AttemptStatus::served;
  Time latency{};
  std::vector<double> load;  // as AttemptResult::load
};

// Another gateway has sent a message.
struct PeerMessage {
  std::uint32_t from = 0;  // index of the sender
  std::string bytes;
};

using Event = std::variant<MembershipUpdate, MembershipConfirmed, Arrival, ProgressReport, AttemptResult,
                           RequestCancelled, TimerExpired, ProbeResult, PeerMessage>;

// ---- actions ------------------------------------------------------------------------------------------

// Send a request to an engine, as the request's next attempt.
struct Send {
  RequestId request = 0;
  EngineId engine = 0;
  Time deadline{};  // point in time at which the attempt times out
  Time send_by{};   // point in time by which the first byte must be sent, or nothing may be; 0: no limit
};

// Cancel one attempt of a request. Its AttemptResult still follows.
struct CancelAttempt {
  RequestId request = 0;
  AttemptIndex attempt = 0;
};

// Tell the client that its request was rejected and that a resend does no harm.
struct Reject {
  RequestId request = 0;
  Time retry_after{};       // how long the client should wait before it resends
  const char* reason = "";  // for logs; a string literal
};

// Tell the client that its request failed. Whether it took effect is unknown.
struct Fail {
  RequestId request = 0;
  const char* reason = "";  // for logs; a string literal
};

// Limits for the further attempts of a request; the priority also applies to attempts in flight.
struct ExecutionLimits {
  RequestId request = 0;
  double memory_mb = 0;       // reservation; 0: the engine decides
  std::uint8_t priority = 1;  // a higher one is executed first
};

// Pass TimerExpired after `delay`.
struct SetTimer {
  Time delay{};
};

// Ask an engine for its load. A ProbeResult follows.
struct Probe {
  EngineId engine = 0;
};

// Send a message to one gateway or to all others.
struct SendPeerMessage {
  std::optional<std::uint32_t> to;  // index of the receiver; none: all other gateways
  std::string bytes;                // at most 256 bytes
};

// Read the membership and subscribe to its changes, or end the subscription.
struct WatchMembership {
  bool enabled = true;
};

// Write a line to the log.
struct Trace {
  std::string text;
};

using Action = std::variant<Send, CancelAttempt, Reject, Fail, ExecutionLimits, SetTimer, Probe,
                            SendPeerMessage, WatchMembership, Trace>;

// ---- the gateway --------------------------------------------------------------------------------------

// State of one class, for monitoring and tests.
struct ClassStats {
  std::size_t queued = 0;        // requests that wait in the gateway
  unsigned running_threads = 0;  // threads of the attempts in flight
  double thread_budget = 0;      // threads
};

// Decides which requests are sent to which engine and when. Not thread-safe.
class Gateway {
 public:
  // `seed` feeds all random choices: equal seeds, calls and events give equal actions. Throws
  // std::invalid_argument, which names the field, if the settings are invalid.
  Gateway(Settings settings, std::uint64_t seed);
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Processes the events up to `now` and appends the resulting actions to `out`. `now` must not be less than
  // in the call before.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& out);

  // Throws std::out_of_range if there is no such class.
  [[nodiscard]] ClassStats class_stats(ClassIndex class_index) const;
  // This gateway's share of the fleet, threads.
  [[nodiscard]] double total_thread_budget() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heronwell
