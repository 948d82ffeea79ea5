// While bad clients send at full speed, do usual clients get the answers that they are owed?
#include "../lib-2/bad_clients.hpp"

using namespace stand;

namespace {
constexpr int kBadClients = 60;
constexpr double kBadTime = 8000;   // how long they are there
constexpr double kLimit = 3000;     // the usual client's
constexpr double kAllowed = 550;    // half a second after its time, and the 50 ms of PROTOCOL
}  // namespace

int main(int argc, char** argv) {
  const bool disturbed = begin(argc, argv);
  std::vector<std::unique_ptr<Engine>> engines;
  ChangeLog log;
  json list = json::array();
  for (int i = 0; i < 3; ++i) {
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
  if (!client.connected()) finish(2, "the client could not connect");
  std::vector<unsigned> ids;
  // 5 lookups a second, never more than 32 open, for as long as the bad clients are there and 2 s around it.
  const auto ask_until = [&](double until) {
    while (now_ms() < until) {
      const auto all = client.requests();
      const auto open = std::count_if(all.begin(), all.end(), [](const auto& r) { return r.second.line.empty(); });
      if (open < 30) ids.push_back(client.request("lookup", kLimit));
      sleep_ms(200);
    }
  };
  ask_until(now_ms() + 2000);
  std::unique_ptr<BadClients> bad;
  if (disturbed) bad = std::make_unique<BadClients>(broker.port(), kBadClients);
  record("bad clients: %d", disturbed ? kBadClients : 0);
  ask_until(now_ms() + kBadTime);
  if (bad) bad->stop();
  ask_until(now_ms() + 2000);
  sleep_ms(kLimit + 1500);

  if (broker.ended()) finish(1, "the broker has ended");
  int served = 0, lost = 0;
  double worst = 0;
  for (const auto id : ids) {
    const auto answer = client.requests()[id];
    const bool in_time = !answer.line.empty() && answer.at <= answer.sent + answer.limit + kAllowed;
    served += answer.served() ? 1 : 0;
    lost += in_time ? 0 : 1;
    if (!answer.line.empty()) worst = std::max(worst, answer.at - answer.sent);
    if (!in_time)
      record("lost: %s, sent at %.0f with a limit of %.0f ms; answer at %.0f", answer.ticket.c_str(), answer.sent,
             answer.limit, answer.at);
  }
  broker.record_log();
  record("%zu requests, %d served, %d lost; the slowest answer took %.0f ms", ids.size(), served, lost, worst);
  if (!disturbed && served < static_cast<int>(ids.size())) finish(2, "not all were served on a calm day");
  finish(lost > 0 ? 1 : 0, std::to_string(lost) + " of " + std::to_string(ids.size()) + " requests were lost");
}
