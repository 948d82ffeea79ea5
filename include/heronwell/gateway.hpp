// The interface of heronwell: settings, events, actions and the class that turns one into the other.
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

using Time = std::chrono::nanoseconds;  // a moment on the caller's clock, or a span
using RequestId = std::uint32_t;
using EngineId = std::uint32_t;
using ClassIndex = std::uint16_t;
using AttemptIndex = std::uint16_t;

enum class Idempotency { safe, keyed, unsafe };
enum class DeduplicationScope { all, zone, cell };  // engines that drop each other's repeats
enum class MemoryShortagePolicy {
  wait,
  shrink,
  overcommit
};  // what happens when grants pass an engine's memory
enum class LoadField { inflight, queue, util, latency_ms, served, failed, memory_share, disk_share, unknown };

struct ClassSettings {
  std::string name;
  Time latency_target{};  // an answer within aim + aim_stretch x work / threads earns the full worth
  double latency_target_per_work = 0;
  Time request_timeout{};
  double value = 1;
  double late_value_share = 0;  // of the worth, for an answer after its aim
  Idempotency idempotency = Idempotency::safe;
  DeduplicationScope deduplication_scope = DeduplicationScope::all;
  Time deduplication_window{};  // keyed: how long repeats are dropped
  bool ordered_by_key = false;
  std::optional<std::vector<std::uint16_t>> allowed_zones;  // the only zones allowed
  std::optional<std::vector<std::uint16_t>> allowed_kinds;  // the only machine kinds allowed
  unsigned threads = 1;
  bool locks_data_group = false;      // a load: holds its data group on its engine
  bool waits_for_data_group = false;  // stands still while a load holds its group there
};

struct KindSettings {
  std::string name;
  double cores = 1;
  double memory_mb = 0;  // 0: not told
};

struct TenantSettings {
  std::string name;
  double share = 0;
  double quota_per_second = 0;  // over all gateways
};

struct RetryBudget {
  Time window{};
  double free_retries = 0;         // further attempts allowed on top
  double retries_per_request = 0;  // further attempts for each request taken
};

struct Settings {
  unsigned gateways = 1;
  unsigned gateway_index = 0;
  std::uint16_t zone = 0;
  Time min_call_interval{std::chrono::milliseconds(5)};  // least time between calls of handle()
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  double over_share_value = 1;
  unsigned zones = 1;
  double cross_zone_cost = 0;
  unsigned max_attempts = 1;
  std::size_t max_open_requests = 0;  // 0: no limit told
  bool can_cancel = false;
  bool can_probe = false;
  bool can_message_peers = false;
  bool can_hedge = false;
  bool sends_retry_after = false;
  Time max_retry_after{};
  bool membership_on_request = false;  // changes come only after Observe or FetchList
  bool memory_reservations = false;
  bool priorities = false;
  bool reports_cost = false;
  double max_memory_share = 1;
  MemoryShortagePolicy memory_shortage_policy = MemoryShortagePolicy::wait;
  Time progress_interval{};  // 0: no notes
  bool load_in_responses = false;
  std::vector<LoadField> load_fields;
  Time drain_grace{};
  Time response_grace{};
  double slow_start_initial_share = 1;  // a started engine has this share of its capacity or more
  Time slow_start_duration{};           // and is warm after this
  double overload_multiple = 0;         // 0: cold engines need no care
  Time overload_window{};
  Time order_quiet_period{};
  Time poll_interval_limit{};
  std::optional<RetryBudget> retry_budget;
};

// ---- events -------------------------------------------------------------------------------------------

enum class EngineState { draining, ready, gone };
enum class MembershipUpdateKind { delta, full, cached, failed };
// lost: the connection broke and it may have run, but its engine is there and has the query no more.
enum class AttemptStatus {
  served,
  error,
  rejected,
  timed_out,
  connect_failed,
  connection_reset,
  cancelled,
  expired,
  query_dropped
};
enum class ProgressKind { progress, spill, waiting };

struct EngineEntry {
  EngineId engine = 0;
  std::uint16_t zone = 0;
  std::uint16_t kind = 0;
  std::uint16_t cell = 0;
  EngineState state = EngineState::ready;
  double weight = 1;
  Time last_start{};  // 0: long ago
};

struct MembershipUpdate {
  MembershipUpdateKind kind = MembershipUpdateKind::full;
  std::vector<EngineEntry> engines;
};

struct Arrival {
  RequestId request = 0;
  ClassIndex class_index = 0;
  std::uint32_t tenant = 0;
  std::uint64_t order_key = 0;  // 0: none
  Time time_left{};
  std::optional<Time> estimated_work;  // estimate of the work of all threads
  double estimated_memory_mb = 0;      // 0: no estimate
  std::int64_t data_group = 0;
  bool is_retry = false;
};

struct ProgressReport {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  ProgressKind kind = ProgressKind::progress;
  double value = 0;  // share done; MB missing; 1 waits for memory, 2 for a load
};

struct AttemptResult {
  RequestId request = 0;
  AttemptIndex attempt = 0;
  EngineId engine = 0;
  AttemptStatus status = AttemptStatus::served;
  Time latency{};
  bool request_closed = false;
  std::optional<Time> work;     // of all threads, where answers tell it
  double memory_needed_mb = 0;  // needed, where answers tell it
  std::vector<double> load;     // as Settings::load_fields
};

struct RequestCancelled {
  RequestId request = 0;
};
struct TimerExpired {};
struct ProbeResult {
  EngineId engine = 0;
  AttemptStatus status = AttemptStatus::served;
  Time latency{};
  std::vector<double> load;
};
struct PeerMessage {
  std::uint32_t from = 0;
  std::string bytes;
};

using Event = std::variant<MembershipUpdate, Arrival, ProgressReport, AttemptResult, RequestCancelled,
                           TimerExpired, ProbeResult, PeerMessage>;

// ---- actions ------------------------------------------------------------------------------------------

struct Send {
  RequestId request = 0;
  EngineId engine = 0;
  Time deadline{};  // clock time at which the attempt is given up
  Time send_by{};   // and by which its first byte must have left, or none may; 0: no such limit
};
struct CancelAttempt {
  RequestId request = 0;
  AttemptIndex attempt = 0;
};
struct Reject {  // a retry does no harm
  RequestId request = 0;
  Time retry_after{};
  const char* reason = "";  // for logs; lives as long as the program
};
struct Fail {  // no promise about the effect
  RequestId request = 0;
  const char* reason = "";  // for logs; lives as long as the program
};
struct ExecutionLimits {  // for the request's further sends; the priority also for what is out
  RequestId request = 0;
  double memory_mb = 0;  // 0: the engine's own choice
  std::uint8_t priority = 1;
};
struct SetTimer {
  Time delay{};
};
struct Probe {
  EngineId engine = 0;
};
struct SendPeerMessage {
  std::optional<std::uint32_t> to;  // a gateway's number; none: all others
  std::string bytes;                // 256 at most
};
struct WatchMembership {
  bool enabled = true;
};
struct Trace {
  std::string text;
};

using Action = std::variant<Send, CancelAttempt, Reject, Fail, ExecutionLimits, SetTimer, Probe,
                            SendPeerMessage, WatchMembership, Trace>;

// ---- the gateway --------------------------------------------------------------------------------------

struct ClassStats {
  std::size_t queued = 0;
  unsigned running_threads = 0;  // threads
  double thread_budget = 0;      // threads
};

class Gateway {
 public:
  Gateway(Settings settings, std::uint64_t seed);  // throws std::invalid_argument naming a senseless field
  ~Gateway();
  Gateway(Gateway&&) noexcept;
  Gateway& operator=(Gateway&&) noexcept;

  // Takes what has happened up to `now` and appends what to do. `now` never goes back.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& out);

  [[nodiscard]] ClassStats class_stats(ClassIndex cls) const;
  [[nodiscard]] double total_thread_budget() const;  // threads

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heronwell
