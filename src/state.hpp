// What the decision module remembers, and small helpers without decisions.
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

struct Attempt {
  EngineId engine = 0;
  std::uint16_t zone = 0, cell = 0;  // of the engine, which may be forgotten by now
  Time sent{}, last_report{};        // heard: it was sent, or the last note of it came
  bool in_flight = true, cancel_requested = false;
  [[nodiscard]] bool awaiting_result() const { return in_flight && !cancel_requested; }
  AttemptStatus status = AttemptStatus::expired;
  [[nodiscard]] bool known_not_run() const {
    return !in_flight && (status == AttemptStatus::rejected || status == AttemptStatus::connect_failed ||
                          status == AttemptStatus::expired);
  }
};

struct Request {
  Arrival arrival;
  Time queued_since{};  // since when it is held here
  Time deadline{};
  bool open = true, in_queue = false;  // held: stands in its class's queue
  Time probe_wait_until{};             // probes made for it are awaited until then; 0: none made yet
  std::vector<Attempt> attempts;
  double relative_size = 1;  // its estimate of work against its class's mean
  [[nodiscard]] bool has_attempt_in_flight() const {
    return std::ranges::any_of(attempts, &Attempt::in_flight);
  }
  [[nodiscard]] auto attempts_awaiting_result() const {
    return std::ranges::count_if(attempts, &Attempt::awaiting_result);
  }
};

enum class Health { healthy, ejected, half_open };

struct Engine {
  EngineEntry entry;
  bool ready = false;
  unsigned threads = 0, queries = 0;                       // of this gateway
  std::set<std::pair<RequestId, AttemptIndex>> in_flight;  // of this gateway
  Health health = Health::healthy;
  Time ejected_until{}, ejection_time{};  // rest: the last one's length; 0: none since it was well
  double error_rate = 0;                  // share of late
  double latency_ratio = 1;               // answer time against the class's usual one
  bool slow = false;                      // far slower than the others
  Time last_response{};
  Time slow_start_since{};  // 0: warm
  Time connection_broken_at{},
      previous_slow_start_since{};  // last broken connection, unless it was heard since; cold_since before it
  Time admission_until{};           // while cold: this gateway's turn, and core-seconds left of it
  double admission_work_left = 0;
  double other_gateways_threads = 0;  // threads of other gateways at the last report
  Time last_load_report{}, last_probe{};
  std::uint64_t last_selection_round = 0;  // the last comparison it took part in
};

struct ClassState {
  std::deque<RequestId> queue;
  Time max_time_left{};          // longest time left that a query came with
  unsigned running_threads = 0;  // threads
  double controller_output = 0;  // U(m), threads
  double thread_budget = 0;      // what filling by rank left of it
  double previous_error = 0, wait_seconds = 0,
         released_queries = 0;                      // E(m-1), wait aims; s and queries let go in this period
  double recent_latency = 0, baseline_latency = 0;  // s, answer time of late, and while all was well
  double median_latency = 0;                        // s, median answer time of late of a query of usual size
  double mean_estimate = 0;                         // s, mean estimate of work
  double baseline_batch_sum = 0, baseline_batch_count = 0;  // s, answers not yet in base: their sum and count
  double mean_work = 0, mean_memory_needed = 0;  // core-seconds; MB needed of late, where answers tell
  double mean_memory_estimated = 0;              // MB that those were estimated to need
};

// Requests that keep their order, by key, as taken; and keys that rest.
class KeyOrder {
 public:
  void enqueue(std::uint64_t key, RequestId id) { queues_[key].push_back(id); }
  void remove(std::uint64_t key, RequestId id) {
    const auto turn = queues_.find(key);
    std::erase(turn->second, id);
    if (turn->second.empty()) queues_.erase(turn);
  }
  void pause(std::uint64_t key, Time until) { paused_until_[key] = until; }
  [[nodiscard]] bool is_first(std::uint64_t key, RequestId id) const { return queues_.at(key).front() == id; }
  [[nodiscard]] bool is_paused(std::uint64_t key, Time now) const {
    const auto rest = paused_until_.find(key);
    return rest != paused_until_.end() && now < rest->second;
  }
  void remove_expired_pauses(Time now) {
    std::erase_if(paused_until_, [now](const auto& rest) { return rest.second <= now; });
  }

 private:
  std::map<std::uint64_t, std::deque<RequestId>> queues_;
  std::map<std::uint64_t, Time> paused_until_;
};

// The same order of engines for a group at every gateway, from ids alone.
inline std::uint64_t rendezvous_hash(std::int64_t group, EngineId id) {
  std::uint64_t x = (static_cast<std::uint64_t>(group) << 32) + id + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

void validate(const Settings& settings);  // throws std::invalid_argument naming a senseless field

// What gateways tell each other, numbers with their low byte first: 'o', then for each engine its id (4
// bytes) and own threads there (1); or 'r', own threads in all and queries a second in 16ths (2 each), then
// for each report the engine (4), its threads a core in 32nds (1) and the report's age in ticks (1). Text of
// other lengths is no message at all.
struct PeerLoadEntry {
  EngineId engine = 0;
  unsigned value = 0, age_ticks = 0;
};
struct PeerLoadMessage {
  bool has_reports = false;
  unsigned threads = 0, arrival_rate_sixteenths = 0;
  std::vector<PeerLoadEntry> entries;
};
std::string encode(const PeerLoadMessage& text);  // leaves out entries that would pass 256 bytes
std::optional<PeerLoadMessage> decode(const std::string& bytes);

}  // namespace heronwell
