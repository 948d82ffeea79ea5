// The data that the decision module keeps for requests, engines, classes and order keys; the check of the
// settings; and the encoding of messages between gateways. No decisions are made here.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "heronwell/gateway.hpp"

namespace heronwell {

inline double to_seconds(Time t) { return std::chrono::duration<double>(t).count(); }
inline Time from_seconds(double s) { return Time(static_cast<std::int64_t>(s * 1e9)); }

// One attempt to run a request on an engine.
struct Attempt {
  EngineId engine = 0;
  std::uint16_t zone = 0, cell = 0;  // of the engine, which may have been removed meanwhile
  Time sent{},                       // when it was sent
      last_report{};                 // when its last progress report arrived; `sent` before the first
  bool in_flight = true,             // has no result yet
      cancel_requested = false;
  [[nodiscard]] bool awaiting_result() const { return in_flight && !cancel_requested; }
  AttemptStatus status = AttemptStatus::expired;  // valid once it is no longer in flight
  // The query certainly has not run: a retry does no harm.
  [[nodiscard]] bool known_not_run() const {
    return !in_flight && (status == AttemptStatus::rejected || status == AttemptStatus::connect_failed ||
                          status == AttemptStatus::expired);
  }
};

// A client's request, from its arrival until it is closed and has no attempt in flight.
struct Request {
  Arrival arrival;
  Time queued_since{};      // when it was last put into its class's queue
  Time deadline{};          // of the client
  bool open = true,         // has no final response yet
      in_queue = false;     // is in its class's queue
  Time probe_wait_until{};  // it waits until then for the probes sent for it; 0: none have been sent
  std::vector<Attempt> attempts;
  double relative_size = 1;  // its estimated work divided by the mean estimate of its class
  [[nodiscard]] bool has_attempt_in_flight() const {
    return std::ranges::any_of(attempts, &Attempt::in_flight);
  }
  [[nodiscard]] auto attempts_awaiting_result() const {
    return std::ranges::count_if(attempts, &Attempt::awaiting_result);
  }
};

// What outlier detection makes of an engine.
enum class Health {
  healthy,   // gets requests
  ejected,   // gets none until Engine::ejected_until
  half_open  // gets one safe request at a time, whose result decides
};

// An engine as this gateway sees it.
struct Engine {
  EngineEntry entry;                                       // from the last membership update
  bool ready = false;                                      // takes queries, and its kind is known
  unsigned threads = 0, queries = 0;                       // of this gateway's attempts in flight
  std::set<std::pair<RequestId, AttemptIndex>> in_flight;  // this gateway's attempts
  Health health = Health::healthy;
  Time ejected_until{},                    // end of the last ejection
      ejection_time{};                     // its length before jitter; 0: none since it was last healthy
  double error_rate = 0;                   // moving average, 0 to 1
  double latency_ratio = 1;                // moving average of observed latency / usual latency of the class
  bool slow = false;                       // far slower than the fleet: slowness() is above 1
  Time last_response{};                    // last response, or the first send after a time without attempts
  Time slow_start_since{};                 // start of its process, known or presumed; 0: long ago
  Time connection_broken_at{},             // last broken connection; 0: none, or it has responded since
      previous_slow_start_since{};         // slow_start_since as it was before that broken connection
  Time admission_until{};                  // in slow start: end of this gateway's admission slot
  double admission_work_left = 0;          // core-seconds that may still be sent in the slot
  double other_gateways_threads = 0;       // threads that other gateways use, by the last load report
  Time last_load_report{},                 // when that report was made; 0: never
      last_probe{};                        // when the last probe was sent
  std::uint64_t last_selection_round = 0;  // last choice of an engine in which it was a candidate
};

// State of one class. Averages are exponential moving averages.
struct ClassState {
  std::deque<RequestId> queue;       // in the order of arrival; retries are put at the front
  Time max_time_left{};              // longest time to the deadline that a request has arrived with
  unsigned running_threads = 0;      // threads of this gateway's attempts in flight
  double controller_output = 0;      // output U(m) of the PI controller, threads
  double thread_budget = 0;          // threads granted out of the total budget, by class priority order
  double previous_error = 0,         // E(m-1) of the PI controller, in wait targets
      wait_seconds = 0,              // sum of the waits of the queries released in this period
      released_queries = 0;          // their number
  double recent_latency = 0,         // s, average
      baseline_latency = 0;          // s, latency of an uncongested fleet
  double median_latency = 0;         // s, median of a query of relative size 1
  double mean_estimate = 0;          // core-seconds, average estimate of the work
  double baseline_batch_sum = 0,     // s, latencies not yet included in baseline_latency
      baseline_batch_count = 0;      // their number
  double mean_work = 0,              // core-seconds of a query of relative size 1, average
      mean_memory_needed = 0;        // MB, average; 0: responses do not contain it
  double mean_memory_estimated = 0;  // MB, average estimate of the queries in mean_memory_needed
};

// Per-key ordering: the requests of each order key, in the order of arrival, and the keys that are paused
// after an attempt with an ambiguous outcome.
class KeyOrder {
 public:
  void enqueue(std::uint64_t key, RequestId id) { queues_[key].push_back(id); }
  // The request must have been enqueued under this key.
  void remove(std::uint64_t key, RequestId id) {
    const auto queue = queues_.find(key);
    std::erase(queue->second, id);
    if (queue->second.empty()) queues_.erase(queue);
  }
  // Lets no new request of the key start before `until`.
  void pause(std::uint64_t key, Time until) { paused_until_[key] = until; }
  // The key must have a request.
  [[nodiscard]] bool is_first(std::uint64_t key, RequestId id) const { return queues_.at(key).front() == id; }
  [[nodiscard]] bool is_paused(std::uint64_t key, Time now) const {
    const auto paused = paused_until_.find(key);
    return paused != paused_until_.end() && now < paused->second;
  }
  void remove_expired_pauses(Time now) {
    std::erase_if(paused_until_, [now](const auto& paused) { return paused.second <= now; });
  }

 private:
  std::map<std::uint64_t, std::deque<RequestId>> queues_;
  std::map<std::uint64_t, Time> paused_until_;
};

// Rendezvous hashing: the engines with the lowest values are preferred for a data group. The value depends on
// the ids alone, so that all gateways prefer the same engines.
inline std::uint64_t rendezvous_hash(std::int64_t group, EngineId id) {
  std::uint64_t x = (static_cast<std::uint64_t>(group) << 32) + id + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Throws std::invalid_argument, which names the field, if a setting is invalid.
void validate(const Settings& settings);

// The load that one gateway reports to others. There are two forms, both of at most 256 bytes and with the
// low byte of a number first:
//   without reports:  'o', then for each engine: its id (4 bytes), the sender's own threads there (1)
//   with reports:     'r', the sender's own threads on all engines (2 bytes), its arrival rate in
//                     sixteenths of a query a second (2), then for each engine: its id (4), threads per core
//                     in 32nds (1), age of the report in ticks (1)
struct PeerLoadEntry {
  EngineId engine = 0;
  unsigned value = 0,  // threads or, with reports, threads per core in 32nds
      age_ticks = 0;   // with reports: their age in units of kTimerInterval
};
struct PeerLoadMessage {
  bool has_reports = false;
  unsigned threads = 0,             // with reports: the sender's own threads on all engines
      arrival_rate_sixteenths = 0;  // with reports: queries a second x 16
  std::vector<PeerLoadEntry> entries;
};
// Limits numbers to what their bytes can hold, and leaves out the entries that do not fit into 256 bytes.
std::string encode(const PeerLoadMessage& message);
// None if the first byte is unknown or the length does not fit the form.
std::optional<PeerLoadMessage> decode(const std::string& bytes);

}  // namespace heronwell
