// While bad clients send at full speed, are requests of one key run in the order in which they were taken?
#include "../lib-2/bad_clients.hpp"

using namespace stand;

namespace {
constexpr int kBadClients = 100;
constexpr int kPairs = 30;
constexpr double kGap = 65;     // between the two requests of one key; PROTOCOL: no less than 60 ms
constexpr double kLimit = 20000;
}  // namespace

int main(int argc, char** argv) {
  const bool disturbed = begin(argc, argv);
  std::vector<std::unique_ptr<Engine>> engines;
  ChangeLog log;
  json list = json::array();
  for (int i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<Engine>("s-0000000" + std::to_string(i + 1), "room-a", "big-12"));
    engines.back()->run_time = [](const std::string& queue, const std::string&) {
      return queue == "order-load" ? 150.0 : 40.0;
    };
    engines.back()->start();
    list.push_back(engines.back()->entry());
  }
  log.add(list, true);
  log.start();
  Broker broker("n1");
  broker.config["changelog"] = log.address();
  broker.config["known"] = log.known();
  broker.start();
  wait_ready(broker);

  // Two connections that have each carried a request already.
  Client first("client-1", broker.port()), second("client-2", broker.port());
  if (!first.connected() || !second.connected()) finish(2, "a client could not connect");
  for (int i = 0; i < 10; ++i) {
    const auto a = first.request("lookup", 3000), b = second.request("lookup", 3000);
    if (!first.wait(a, 3500).served() || !second.wait(b, 3500).served()) finish(2, "a first lookup was not served");
  }
  std::unique_ptr<BadClients> bad;
  if (disturbed) bad = std::make_unique<BadClients>(broker.port(), kBadClients);
  record("bad clients: %d", disturbed ? kBadClients : 0);
  sleep_ms(500);
  struct Pair {
    std::string key;
    unsigned first, second;
  };
  std::vector<Pair> pairs;
  for (int i = 0; i < kPairs; ++i) {
    char key[17];
    std::snprintf(key, sizeof key, "7f3a9c21e0b4%04x", 0x1000 + i);
    Pair pair{key, 0, 0};
    pair.first = first.request("order-load", kLimit, key);
    sleep_ms(kGap);
    pair.second = second.request("order-load", kLimit, key);
    pairs.push_back(pair);
    sleep_ms(25);
  }
  if (bad) bad->stop();
  for (const auto& pair : pairs) {
    first.wait(pair.first, 22000);
    second.wait(pair.second, 22000);
  }
  if (broker.ended()) finish(1, "the broker has ended");

  std::map<std::string, Engine::Run> runs;
  for (const auto& engine : engines)
    for (const auto& run : engine->runs()) runs[run.ticket] = run;
  int both = 0, broken = 0, served = 0;
  for (const auto& pair : pairs) {
    const auto a = first.requests()[pair.first], b = second.requests()[pair.second];
    served += (a.served() ? 1 : 0) + (b.served() ? 1 : 0);
    const auto run_a = runs.find(a.ticket), run_b = runs.find(b.ticket);
    if (run_a == runs.end() || run_b == runs.end()) continue;
    ++both;
    // The second one reached an engine before the first one did.
    if (run_b->second.arrived < run_a->second.arrived) {
      ++broken;
      record("order broken: key %s: %s written at %.1f ran at %.1f, %s written at %.1f ran at %.1f", pair.key.c_str(),
             a.ticket.c_str(), a.sent, run_a->second.arrived, b.ticket.c_str(), b.sent, run_b->second.arrived);
    }
  }
  broker.record_log();
  record("%d pairs, both ran in %d, %d served, %d in the wrong order", kPairs, both, served, broken);
  if (broken > 0) finish(1, std::to_string(broken) + " of " + std::to_string(both) + " keys ran in the wrong order");
  if (both == 0 || (!disturbed && served < 2 * kPairs)) finish(2, "too few requests ran");
  finish(0, "the order was kept");
}
