// The change log is down for 8 s, and an engine begins to drain meanwhile. Is anything new sent to that engine
// after the broker counts as told?
#include "../lib-2/stand.hpp"

using namespace stand;

namespace {
constexpr double kOutage = 8000;
constexpr double kToldAfter = 7000;  // of the outage's begin, at the latest
constexpr double kGrace = 250 + 50;  // drain-grace, and the 50 ms of PROTOCOL
}  // namespace

int main(int argc, char** argv) {
  const bool disturbed = begin(argc, argv);
  std::vector<std::unique_ptr<Engine>> engines;
  ChangeLog log;
  json list = json::array();
  for (int i = 0; i < 6; ++i) {
    engines.push_back(std::make_unique<Engine>("s-0000000" + std::to_string(i + 1), "room-a", "big-12"));
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
  Client client("client", broker.port());
  std::vector<unsigned> ids;
  const auto ask_until = [&](double until) {
    while (now_ms() < until) {
      ids.push_back(client.request("lookup", 3000));
      sleep_ms(20);
    }
  };
  ask_until(now_ms() + 2000);
  const double down = now_ms();
  record("change log: %s", disturbed ? "down" : "stays up");
  if (disturbed) log.go_down();
  ask_until(down + 1000);
  // The engine that has been sent most.
  std::stable_sort(engines.begin(), engines.end(),
                   [](const auto& a, const auto& b) { return a->runs().size() > b->runs().size(); });
  log.add(json::array({engines[0]->entry("terminating")}));
  const double drains = now_ms();
  record("%s begins to drain", engines[0]->name().c_str());
  ask_until(down + kOutage);
  const double up = now_ms();
  if (disturbed) log.come_up();
  record("change log: up");
  ask_until(up + 3000);
  sleep_ms(1000);
  if (broker.ended()) finish(1, "the broker has ended");
  const double told = disturbed ? down + kToldAfter : drains;
  int late = 0, before = 0;
  double last = 0;
  for (const auto& run : engines[0]->runs()) {
    // The first byte as the engine read it: no earlier than the broker sent it.
    if (run.first_byte > told + kGrace) {
      ++late;
      record("late: %s sent to %s %.0f ms after the broker counted as told", run.ticket.c_str(),
             engines[0]->name().c_str(), run.first_byte - told);
    } else {
      ++before;
    }
    last = run.first_byte;
  }
  int served = 0;
  for (const auto id : ids) served += client.requests()[id].served() ? 1 : 0;
  record("%zu requests, %d served; counts as told at %.0f; %d sends before, the last at %.0f; %d later than %.0f ms",
         ids.size(), served, told, before, last, late, kGrace);
  broker.record_log();
  if (before == 0) finish(2, "the engine was sent nothing before it drained");
  finish(late > 0 ? 1 : 0, std::to_string(late) + " sends to the draining engine came too late");
}
