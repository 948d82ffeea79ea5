// Seeded runs of real brokers between emulated engines behind fault proxies and clients that never rest,
// under clock steps, standstills, failing system calls and signals in series.
// BELLSTAIR_FAULT_SEEDS=FIRST-LAST chooses the seeds; BELLSTAIR_FAULT_STRICT=1 also kills brokers at the
// earliest moment that the platform may.
#include <gtest/gtest.h>

#include "emulated_engine.hpp"
#include "fault_proxy.hpp"
#include "faults.hpp"
#include "traffic.hpp"

namespace bellstair::test {
namespace {

constexpr auto kLongestDeadline = 3s;
constexpr auto kEarliestKill = kLongestDeadline + 700ms;  // after SIGTERM
constexpr auto kLatestOwed = 700ms;                       // after SIGTERM: what comes until then is answered
constexpr auto kTraffic = 2500ms;
constexpr int kEngines = 4, kBrokers = 2, kClients = 12, kCrowd = 60;

bool strict() { return std::getenv("BELLSTAIR_FAULT_STRICT") != nullptr; }

std::vector<std::uint64_t> seeds() {
  std::uint64_t first = 1, last = 3;
  if (const char* range = std::getenv("BELLSTAIR_FAULT_SEEDS"); range != nullptr) {
    const std::string text(range);
    first = std::stoull(text);
    last = std::stoull(text.substr(text.find('-') + 1));
  }
  std::vector<std::uint64_t> out;
  for (auto seed = first; seed <= last; ++seed) out.push_back(seed);
  return out;
}

class FaultSuite : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  // The kinds of runs that a seed chooses from.
  [[nodiscard]] bool crowded() const { return GetParam() % 4 == 0; }
  [[nodiscard]] bool calls_break_connections() const { return GetParam() % 5 == 0; }
  [[nodiscard]] bool loads_are_unsafe() const { return GetParam() % 2 == 1; }

  void start_engines() {
    for (int i = 0; i < kEngines; ++i) {
      engines_.push_back(std::make_unique<EmulatedEngine>(record_, random_(), EmulatedEngine::Behaviour{}));
      proxies_.push_back(
          std::make_unique<FaultProxy>(engines_.back()->address(), random_(), FaultProxy::Faults{}));
    }
  }

  void start_brokers() {
    std::vector<std::pair<std::string, std::string>> list;
    for (const auto& proxy : proxies_) list.emplace_back(engine_id(list.size()), proxy->address());
    const auto adjust = [this](json& config) {
      for (auto& cls : config["settings"]["classes"]) {
        cls["give-up"] = std::chrono::nanoseconds(kLongestDeadline).count();
        cls["window"] = std::chrono::nanoseconds(2s).count();
      }
      config["settings"]["ceilings"]["dial-timeout"] = std::chrono::nanoseconds(250ms).count();
      if (loads_are_unsafe()) config["settings"]["classes"][1]["semantics"] = "unsafe";
    };
    for (int i = 0; i < kBrokers; ++i) {
      faults_.push_back(std::make_unique<Faults>());
      (*faults_.back())->random_state = random_();
      brokers_.push_back(std::make_unique<Broker>(list, json(), 0, adjust, faults_.back()->environment()));
      states_.push_back(std::make_unique<BrokerState>());
      states_.back()->address = brokers_.back()->address;
    }
  }

  void start_clients() {
    TrafficClient::Habits habits;
    habits.loads_are_unsafe = loads_are_unsafe();
    habits.connections_may_break = calls_break_connections();
    habits.ends_cross_at_once = strict();
    for (int i = 0; i < (crowded() ? kCrowd : kClients); ++i)
      clients_.push_back(
          std::make_unique<TrafficClient>(record_, states_, random_() >> 32, habits, clients_stopped_));
    for (int i = 0; crowded() && i < kCrowd; ++i)
      idle_.push_back(Socket::connect_to(states_.front()->address));
  }

  // One fault, drawn from all kinds.
  void strike() {
    const auto one = random_() % kBrokers;
    auto& faults = *faults_.at(one);
    auto& program = *brokers_.at(one)->program;
    const auto engine = random_() % kEngines;
    const auto until = SteadyClock::now() + std::chrono::milliseconds(300 + random_() % 2200);
    switch (random_() % 8) {
      case 0:
        return faults.step_wall_clock(1h);
      case 1:
        return faults.step_wall_clock(-1h);
      case 2:
        program.pause();
        std::this_thread::sleep_for(std::chrono::milliseconds(60 + random_() % 500));
        return program.send_signal(SIGCONT);
      case 3:
        return program.send_signal(SIGHUP);
      case 4:
        return engines_.at(engine)->hang_until(until);
      case 5:
        return proxies_.at(engine)->cut_until(until);
      case 6:
        return replace_engine(engine);
      default:
        return fail_system_calls(faults);
    }
  }

  void fail_system_calls(Faults& faults) {
    faults->transient_only = !calls_break_connections();
    faults->short_transfers_per_million = below(100'000);
    for (auto& rate : faults->failures_per_million) rate = below(50'000);
  }

  std::uint32_t below(std::uint32_t bound) { return static_cast<std::uint32_t>(random_() % bound); }

  // The old one drains, another comes in its place.
  void replace_engine(std::size_t which) {
    const auto address = proxies_.at(which)->address();
    const auto old = engine_id(which, generation_.at(which));
    const auto fresh = engine_id(which, ++generation_.at(which));
    for (const auto& broker : brokers_)
      broker->change_log.push({server_entry(old, address, "terminating"), server_entry(fresh, address)});
  }

  static std::string engine_id(std::size_t which, unsigned generation = 0) {
    char out[16];
    std::snprintf(out, sizeof out, "s-%04x%04zx", generation, which + 1);
    return out;
  }

  // Signals in series; clients send until the end.
  void end_brokers() {
    for (std::size_t i = 0; i < brokers_.size(); ++i) {
      auto& program = *brokers_.at(i)->program;
      const auto told = SteadyClock::now();
      states_.at(i)->told_to_end = told.time_since_epoch().count();
      states_.at(i)->answers_until = (told + (strict() ? kLatestOwed : 0ms)).time_since_epoch().count();
      for (const int signal : {SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGINT}) program.send_signal(signal);
      if (random_() % 2 == 0) engines_.at(random_() % kEngines)->hang_until(told + 5s);
      if (strict()) {
        std::this_thread::sleep_until(told + kEarliestKill);
        program.send_signal(SIGKILL);
      } else {
        program.wait_for_log_line("phase: exited");
      }
      if (const int status = program.wait_for_exit(); status != 0)
        record_.violated("broker " + std::to_string(i) + " ended with status " + std::to_string(status));
    }
  }

  std::mt19937_64 random_{GetParam()};
  RunRecord record_;
  std::vector<std::unique_ptr<EmulatedEngine>> engines_;
  std::vector<std::unique_ptr<FaultProxy>> proxies_;
  std::vector<std::unique_ptr<Faults>> faults_;
  std::vector<std::unique_ptr<Broker>> brokers_;
  std::vector<std::unique_ptr<BrokerState>> states_;
  std::atomic<bool> clients_stopped_{false};
  std::vector<std::unique_ptr<TrafficClient>> clients_;
  std::vector<Socket> idle_;
  std::array<unsigned, kEngines> generation_{};
};

TEST_P(FaultSuite, KeepsTheRulesOfService) {
  start_engines();
  start_brokers();
  start_clients();
  const auto end = SteadyClock::now() + kTraffic;
  while (SteadyClock::now() < end) {
    strike();
    std::this_thread::sleep_for(std::chrono::milliseconds(20 + random_() % 200));
  }
  end_brokers();
  clients_stopped_ = true;
  clients_.clear();
  for (const auto& violation : record_.violations()) ADD_FAILURE() << violation;
  if (HasFailure()) {
    for (const auto& broker : brokers_) std::fputs((broker->program->log_text() + "\n").c_str(), stderr);
  }
  auto answers = record_.answers();
  std::printf("seed %llu: %zu served, %zu refused, %zu failed\n", static_cast<unsigned long long>(GetParam()),
              answers["served"], answers["refused"], answers["failed"]);
  EXPECT_GT(answers["served"], 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultSuite, ::testing::ValuesIn(seeds()));

}  // namespace
}  // namespace bellstair::test
