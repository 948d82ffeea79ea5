// Seeded runs of real brokers with continuously busy clients and with emulated engines behind fault proxies,
// under clock steps, process pauses, failing system calls, hanging or replaced engines and series of signals.
// BELLSTAIR_FAULT_SEEDS=FIRST-LAST selects the seeds; BELLSTAIR_FAULT_STRICT=1 also kills brokers at the
// earliest time at which the platform may do so.
#include <gtest/gtest.h>

#include "emulated_engine.hpp"
#include "fault_proxy.hpp"
#include "faults.hpp"
#include "traffic.hpp"

namespace bellstair::test {
namespace {

constexpr auto kMaxDeadline = 3s;
constexpr auto kEarliestKill = kMaxDeadline + 700ms;  // after SIGTERM
constexpr auto kAcceptPeriod = 700ms;                 // after SIGTERM: requests sent within it are answered
constexpr auto kTrafficDuration = 2500ms;
constexpr int kEngines = 4, kBrokers = 2, kClients = 12, kManyClients = 60;

bool strict() { return std::getenv("BELLSTAIR_FAULT_STRICT") != nullptr; }

std::vector<std::uint64_t> seeds() {
  std::uint64_t first = 1, last = 3;
  if (const char* range = std::getenv("BELLSTAIR_FAULT_SEEDS"); range != nullptr) {
    const std::string text(range);
    first = std::stoull(text);
    last = std::stoull(text.substr(text.find('-') + 1));
  }
  std::vector<std::uint64_t> selected;
  for (auto seed = first; seed <= last; ++seed) selected.push_back(seed);
  return selected;
}

// Guards against violations of the rules of service under faults. The seed determines the faults and the
// variant of the run.
class FaultSuite : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  // The variants of a run, selected by the seed.
  [[nodiscard]] bool many_clients() const { return GetParam() % 4 == 0; }
  [[nodiscard]] bool system_calls_break_connections() const { return GetParam() % 5 == 0; }
  [[nodiscard]] bool loads_are_unsafe() const { return GetParam() % 2 == 1; }

  void start_engines() {
    for (int i = 0; i < kEngines; ++i) {
      engines_.push_back(std::make_unique<EmulatedEngine>(record_, random_(), EmulatedEngine::Behaviour{}));
      proxies_.push_back(
          std::make_unique<FaultProxy>(engines_.back()->address(), random_(), FaultProxy::Faults{}));
    }
  }

  void start_brokers() {
    std::vector<std::pair<std::string, std::string>> engines;
    for (const auto& proxy : proxies_) engines.emplace_back(engine_id(engines.size()), proxy->address());
    const auto adjust = [this](json& config) {
      for (auto& cls : config["settings"]["classes"]) {
        cls["give-up"] = std::chrono::nanoseconds(kMaxDeadline).count();
        cls["window"] = std::chrono::nanoseconds(2s).count();
      }
      config["settings"]["ceilings"]["dial-timeout"] = std::chrono::nanoseconds(250ms).count();
      if (loads_are_unsafe()) config["settings"]["classes"][1]["semantics"] = "unsafe";
    };
    for (int i = 0; i < kBrokers; ++i) {
      faults_.push_back(std::make_unique<Faults>());
      (*faults_.back())->random_state = random_();
      brokers_.push_back(std::make_unique<Broker>(engines, json(), 0, adjust, faults_.back()->environment()));
      states_.push_back(std::make_unique<BrokerState>());
      states_.back()->address = brokers_.back()->address;
    }
  }

  void start_clients() {
    TrafficClient::Options options;
    options.loads_are_unsafe = loads_are_unsafe();
    options.connections_may_break = system_calls_break_connections();
    options.strict_shutdown = strict();
    for (int i = 0; i < (many_clients() ? kManyClients : kClients); ++i)
      clients_.push_back(
          std::make_unique<TrafficClient>(record_, states_, random_() >> 32, options, clients_stopped_));
    for (int i = 0; many_clients() && i < kManyClients; ++i)
      idle_connections_.push_back(Socket::connect_to(states_.front()->address));
  }

  // Injects one fault of a random kind.
  void inject_fault() {
    const auto broker_index = random_() % kBrokers;
    auto& faults = *faults_.at(broker_index);
    auto& program = *brokers_.at(broker_index)->program;
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
        return proxies_.at(engine)->partition_until(until);
      case 6:
        return replace_engine(engine);
      default:
        return fail_system_calls(faults);
    }
  }

  void fail_system_calls(Faults& faults) {
    faults->transient_only = !system_calls_break_connections();
    faults->short_transfers_per_million = random_below(100'000);
    for (auto& rate : faults->failures_per_million) rate = random_below(50'000);
  }

  std::uint32_t random_below(std::uint32_t bound) { return static_cast<std::uint32_t>(random_() % bound); }

  // Marks the engine as terminating and adds another one at the same address.
  void replace_engine(std::size_t engine_index) {
    const auto address = proxies_.at(engine_index)->address();
    const auto old_id = engine_id(engine_index, engine_generations_.at(engine_index));
    const auto new_id = engine_id(engine_index, ++engine_generations_.at(engine_index));
    for (const auto& broker : brokers_)
      broker->change_log.push({server_entry(old_id, address, "terminating"), server_entry(new_id, address)});
  }

  static std::string engine_id(std::size_t engine_index, unsigned generation = 0) {
    char out[16];
    std::snprintf(out, sizeof out, "s-%04x%04zx", generation, engine_index + 1);
    return out;
  }

  // Sends each broker a series of signals and waits for its exit, while clients continue to send.
  void shut_down_brokers() {
    for (std::size_t i = 0; i < brokers_.size(); ++i) {
      auto& program = *brokers_.at(i)->program;
      const auto requested = SteadyClock::now();
      states_.at(i)->shutdown_requested = requested.time_since_epoch().count();
      states_.at(i)->must_answer_until =
          (requested + (strict() ? kAcceptPeriod : 0ms)).time_since_epoch().count();
      for (const int signal : {SIGHUP, SIGTERM, SIGHUP, SIGTERM, SIGINT}) program.send_signal(signal);
      if (random_() % 2 == 0) engines_.at(random_() % kEngines)->hang_until(requested + 5s);
      if (strict()) {
        std::this_thread::sleep_until(requested + kEarliestKill);
        program.send_signal(SIGKILL);
      } else {
        program.wait_for_log_line("phase: exited");
      }
      if (const int status = program.wait_for_exit(); status != 0)
        record_.add_violation("broker " + std::to_string(i) + " exited with status " +
                              std::to_string(status));
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
  std::vector<Socket> idle_connections_;
  std::array<unsigned, kEngines> engine_generations_{};
};

TEST_P(FaultSuite, KeepsTheRulesOfService) {
  start_engines();
  start_brokers();
  start_clients();
  const auto end = SteadyClock::now() + kTrafficDuration;
  while (SteadyClock::now() < end) {
    inject_fault();
    std::this_thread::sleep_for(std::chrono::milliseconds(20 + random_() % 200));
  }
  shut_down_brokers();
  clients_stopped_ = true;
  clients_.clear();
  for (const auto& violation : record_.violations()) ADD_FAILURE() << violation;
  if (HasFailure()) {
    for (const auto& broker : brokers_) std::fputs((broker->program->log_text() + "\n").c_str(), stderr);
  }
  auto outcomes = record_.outcome_counts();
  std::printf("seed %llu: %zu served, %zu refused, %zu failed\n", static_cast<unsigned long long>(GetParam()),
              outcomes["served"], outcomes["refused"], outcomes["failed"]);
  EXPECT_GT(outcomes["served"], 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultSuite, ::testing::ValuesIn(seeds()));

}  // namespace
}  // namespace bellstair::test
