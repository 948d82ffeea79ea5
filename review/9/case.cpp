// While bad clients send at full speed, does the broker stay within its memory?
#include "../lib-2/bad_clients.hpp"

using namespace stand;

namespace {
constexpr int kMemoryMb = 48, kSockets = 384;          // a broker of suva-main, by REPORTS
constexpr int kUnreadable = 20, kManyRequests = 100;   // bad clients: 120 of the 128 that a third allows
constexpr double kBadTime = 15000;
}  // namespace

int main(int argc, char** argv) {
  const bool disturbed = begin(argc, argv);
  std::vector<std::unique_ptr<Engine>> engines;
  ChangeLog log;
  json list = json::array();
  for (int i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<Engine>("s-0000000" + std::to_string(i + 1), "room-a", "big-12"));
    engines.back()->usable = [](const std::string& statement) { return statement.rfind("SELECT", 0) == 0; };
    engines.back()->start();
    list.push_back(engines.back()->entry());
  }
  log.add(list, true);
  log.start();
  Broker broker("n1");
  broker.config["limits"] = {{"cores", 1.0}, {"memory_mb", kMemoryMb}, {"sockets", kSockets}};
  broker.config["changelog"] = log.address();
  broker.config["known"] = log.known();
  broker.start();
  wait_ready(broker);

  Client client("client", broker.port());
  std::atomic<bool> stopped{false};
  std::thread usual([&] {
    while (!stopped) {
      client.request("lookup", 3000);
      sleep_ms(500);
    }
  });
  sleep_ms(2000);
  const double before = broker.memory_mb();
  record("memory before: %.1f of %d MB", before, kMemoryMb);
  std::unique_ptr<BadClients> unreadable, many;
  if (disturbed) {
    unreadable = std::make_unique<BadClients>(broker.port(), kUnreadable);
    many = std::make_unique<BadClients>(broker.port(), kManyRequests, many_large_requests, true);
  }
  // The platform: over the limit the broker is killed.
  double most = 0, next_line = 0;
  bool killed = false;
  for (const double until = now_ms() + kBadTime; now_ms() < until && !killed; sleep_ms(10)) {
    const double memory = broker.memory_mb();
    most = std::max(most, memory);
    if (now_ms() > next_line) record("memory: %.1f MB", memory);
    if (now_ms() > next_line) next_line = now_ms() + 500;
    if (memory <= kMemoryMb) continue;
    record("memory: %.1f of %d MB; the platform kills the broker", memory, kMemoryMb);
    broker.send_signal(SIGKILL);
    killed = true;
  }
  if (unreadable) unreadable->stop();
  if (many) many->stop();
  stopped = true;
  usual.join();
  sleep_ms(killed ? 500 : 3500);
  int answered = 0, total = 0;
  for (const auto& [id, answer] : client.requests()) {
    ++total;
    answered += answer.line.empty() ? 0 : 1;
  }
  record("most memory: %.1f of %d MB; usual client: %d requests, %d answered", most, kMemoryMb, total, answered);
  broker.record_log();
  if (!killed && broker.ended()) finish(1, "the broker has ended");
  finish(killed ? 1 : 0, killed ? "the broker went over its memory" : "the broker stayed within its memory");
}
