// The decision module behind heronwell::Gateway: its state, and what its parts do. Each part is a source file
// of its own in this folder, named in the comment above its functions.
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
  [[nodiscard]] ClassStats class_stats(ClassIndex c) const;
  [[nodiscard]] double total_thread_budget() const;

 private:
  // gateway.cpp
  void start();
  double drawn();
  void put(Action action);
  void trace(const Engine& engine, const char* what);

  // fleet.cpp
  void on(const MembershipUpdate& list);
  void refresh();
  double cores(const Engine& engine) const;
  double slowness(const Engine& engine) const;

  // cold_start.cpp
  void begin_cold(Engine& engine, Time since);
  bool cold(const Engine& engine) const;
  double warmth(const Engine& engine, Time back) const;
  double cold_work(const Request& request) const;
  bool cold_room(const Request& request, const Engine& engine) const;
  double heaviest() const;
  void draw_turns(double passed);

  // arrivals.cpp
  void on(const Arrival& asked);
  bool too_late(const Arrival& asked);
  double whole_aim(ClassIndex c) const;
  double size_of(const Arrival& asked);
  bool too_big(const Request& request) const;
  double work(const Request& request) const;
  double foretold(const Request& request) const;
  void hold(Request& request, bool first);
  Time most_hold(const Request& request) const;
  void drop_overdue();
  bool over_share(const Arrival& asked) const;

  // requests.cpp
  void on(const RequestCancelled& left);
  Request* find(RequestId id);
  void finish(Request& request, const char* why);
  void close(Request& request);
  void forget(Request& request);
  void call_off(Request& request, std::size_t n);
  const ClassSettings& set(const Request& request) const;
  bool in_order(const Request& request) const;

  // rules.cpp
  bool may_refuse(const Request& request) const;
  bool may_send(const Request& request, Engine& engine);
  bool may_stand_beside(const Request& request) const;
  bool placed(const Request& request, const Engine& engine) const;
  Time repeat_until(const Request& request) const;
  bool repeat_allowed(const Request& request, const Engine& engine) const;
  bool in_turn(const Request& request) const;
  bool within_retry_budget();
  void forget_old();

  // attempts.cpp
  double grant(const Request& request) const;
  std::uint8_t priority(const Request& request) const;
  bool transmit(Request& request, Engine& engine);
  void on(const AttemptResult& outcome);
  void again(Request& request);
  bool at_fault(const Request& request) const;
  void rescue(RequestId id, std::size_t n);
  void copy(RequestId id, std::size_t n);

  // health.cpp
  void judge(Engine& engine, const Request& request, const AttemptResult& outcome);
  void alive(Engine& engine, Time at);
  void judge_served(Engine& engine, const Request& request, const AttemptResult& outcome);
  static void learn_base(ClassState& cls, double took);
  void judge_failed(Engine& engine, double step);
  void rest(Engine& engine, const char* why);
  bool rested(const Engine& engine) const;
  void watch(Engine& engine);
  void on(const ProgressReport& note);
  bool healthy(const Request& request, Engine& engine) const;

  // load_reports.cpp
  void take_load(Engine& engine, const std::vector<double>& load);
  void take_told(Engine& engine, double threads, Time at);
  void take_report(Engine& engine, double threads, Time at);
  void on(const ProbeResult& probe);
  void on(const PeerMessage& message);
  void tell_peers();
  bool probe(Engine& engine, double spare);
  bool ask(Engine& engine);
  bool look(Request& request, const std::vector<Engine*>& engines);
  bool crowded() const;
  double level() const;
  std::optional<double> all_threads(const Engine& engine) const;
  double trust() const;
  double swing() const;
  double running() const;
  double sum(auto part) const {
    double all = 0;
    for (const auto& cls : classes_) all += cls.*part;
    return all;
  }

  // engine_choice.cpp
  bool room(const Engine& engine, ClassIndex c) const;
  bool loads(std::int64_t group, const Engine& engine) const;
  double crowding(const Request& request, Engine& engine);
  const std::vector<Engine*>& homes(std::int64_t group);
  bool home(std::int64_t group, Engine& engine);
  const std::vector<Engine*>& candidates(const Request& request);
  Engine* pick(Request& request);

  // control_loop.cpp
  bool release_one(bool under_budget);
  bool release_head(ClassState& cls);
  void fill_budgets();
  void ease();
  void report();
  void sample();
  void on(const TimerExpired&);
  double share_rate(std::size_t t) const;
  void measure_rates(double passed);
  void fill_tokens(double passed);

  Settings s_;
  std::mt19937_64 random_;
  std::vector<ClassState> classes_;
  std::vector<ClassIndex> rank_;
  std::map<EngineId, Engine> engines_;
  std::map<RequestId, Request> requests_;  // open, or with an attempt still out
  std::set<std::pair<Time, RequestId>> deadlines_;
  KeyOrder turns_;
  std::deque<Time> taken_, further_;
  std::map<std::uint32_t, std::pair<Time, std::map<EngineId, unsigned>>> peers_;
  std::vector<double> tokens_;                       // by tenant
  std::vector<Engine*> ready_, compared_, invited_;  // by id; of the last choice; cold, with a turn
  std::set<EngineId> busy_;                          // with a query of this gateway out
  std::map<std::int64_t, std::vector<Engine*>> homes_;
  std::deque<std::pair<Time, Engine*>> recent_;  // newest reports
  std::uint64_t look_ = 0;
  bool started_ = false, fleet_changed_ = false, readers_wait_ = false;
  bool few_ = false;     // the pool holds few queries
  unsigned widest_ = 1;  // threads of a query
  double rate_age_ = 0, arrival_rate_ = 0, fresh_arrivals_ = 0, probe_tokens_ = 0, tell_bytes_ = 0;
  double copy_work_ = 0;  // core-seconds that second copies may still cost
  double pool_ = 0, cores_ = 0, fleet_pace_ = 1, ease_ = 1;
  double peer_gap_ = 0, peer_threads_ = 0;
  unsigned peers_heard_ = 0;
  double level_ = -1, told_level_ = -1;       // threads a core, by gateways and by reports; -1: none
  double mean_threads_ = 0;                   // a query, over the classes
  double own_threads_ = 0;                    // that run here, of late
  double scatter_ = 1;                        // of reports, see kScatter
  std::map<std::string, unsigned> given_up_;  // in this period, by the reason
  double fleet_errors_ = 0;                   // share of all engines' outcomes of late
  Time now_{}, called_{}, away_{}, sampled_{}, ticked_{}, told_{}, asked_again_{}, level_at_{};
  std::vector<Action>* out_ = nullptr;
};

}  // namespace heronwell
