// The change log is slow: each answer comes 1.8 s after the wait that was asked for has ended. The broker must
// still learn that an engine drains, and route nothing new to it.
#include "stand_ins.hpp"

using namespace review;

namespace {
constexpr double kDelay = 1.8;         // of each answer of the change log
constexpr double kSlowFrom = 4;        // after the start of the traffic
constexpr double kDrainFrom = 9;
constexpr double kDrainEnds = 34;      // the drained engine's process ends
constexpr double kTrafficEnds = 40;
// A silent change log's news counts as told 7 s later at the latest; sends to a draining engine have to stop
// within 250 ms of that, and every time limit is 50 ms longer on sockets.
constexpr double kToldWithin = 7, kGrace = 0.25 + 0.05;
}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const std::string& root, const std::string& folder) {
    const bool trouble = with_trouble();
    std::vector<std::unique_ptr<Engine>> engines;
    const auto add_engine = [&](double started_at) -> Engine& {
      engines.push_back(std::make_unique<Engine>("s-0000000" + std::to_string(engines.size() + 1), 12, started_at,
                                                 0.34, 15));
      auto& engine = *engines.back();
      engine.on_statement = [&engine](const Engine::Arrival& arrival) {
        record.line("%s: got %s %s", engine.id().c_str(), arrival.query_class.c_str(), arrival.ticket.c_str());
      };
      return engine;
    };
    engines.reserve(8);
    ChangeLog changes;
    json servers = json::array();
    for (int i = 0; i < 3; ++i) servers.push_back(ChangeLog::entry(add_engine(0), "in_service"));
    changes.tell(servers, true);
    Broker broker(root, folder, "n0", changes, 1, 0, 0x8c1f30d27a5be964ULL);
    broker.wait_until_ready();
    Client client(broker.port(), 7);

    const double begin = now();
    std::thread sender([&] {
      std::mt19937_64 random(5);
      for (int i = 0; i < kTrafficEnds * 25 && !broker.has_ended(); ++i) {
        sleep_until(begin + i / 25.0);
        const char* teams[] = {"site-one", "site-two", "site-three"};
        const auto* team = teams[i % 3];
        if (i % 2 == 0) {
          const double work_ms = 1500 + random() % 1500;
          client.send("order-load", statement(work_ms, 2, 2), 2, 25000, team, work_ms, 200, random() | 1);
        } else {
          const double work_ms = 100 + random() % 100;
          client.send("lookup", statement(work_ms, 1, 5), 5, 5000, team, work_ms, 40);
        }
      }
    });
    sleep_until(begin + kSlowFrom);
    if (trouble) {
      changes.set_delay(kDelay);
      record.line("change log: answers come %.1f s late from now on", kDelay);
    }
    sleep_until(begin + kDrainFrom);
    auto& drained = *engines[0];
    auto& successor = add_engine(now());
    const double told_at = changes.tell({ChangeLog::entry(drained, "terminating")});
    changes.tell({ChangeLog::entry(successor, "in_service")});
    sleep_until(begin + kDrainEnds);
    const auto lost = drained.running();
    drained.end();
    const double ended_at = changes.tell({ChangeLog::entry(drained, "terminated")});
    record.line("%s: its process ends with %zu queries", drained.id().c_str(), lost.size());
    sender.join();
    for (const double until = now() + 8; now() < until && client.unanswered() > 0;) sleep_for(0.05);

    std::map<std::string, Client::Request> by_ticket;
    for (const auto& request : client.requests()) {
      by_ticket[request.ticket] = request;
      record.line("client: %s %s sent at %.3f %s at %.3f", request.query_class.c_str(), request.ticket.c_str(),
                  record.since_start(request.sent_at), request.kind.c_str(),
                  request.answered_at > 0 ? record.since_start(request.answered_at) : 0);
    }
    int late = 0;
    double last = 0;
    for (const auto& arrival : drained.arrivals()) {
      if (arrival.at <= told_at) continue;
      last = std::max(last, arrival.at);
      if (arrival.at > told_at + kToldWithin + kGrace) ++late;
    }
    int failed = 0;
    for (const auto& query : lost) {
      const auto& request = by_ticket[query.ticket];
      record.line("lost with %s: %s %s, sent %.1f s after the drain was told, answered '%s'", drained.id().c_str(),
                  query.query_class.c_str(), query.ticket.c_str(), request.sent_at - told_at, request.kind.c_str());
      failed += query.query_class == "order-load" && request.kind != "served" ? 1 : 0;
    }
    int successor_got = 0;
    for (const auto& arrival : successor.arrivals()) successor_got += arrival.at < ended_at ? 1 : 0;
    broker.copy_log();
    char text[300];
    std::snprintf(text, sizeof text,
                  "sends to the draining engine later than %.2f s after the event: %d (the last %.2f s after it); "
                  "to its successor in that time: %d",
                  kToldWithin + kGrace, late, last > 0 ? last - told_at : 0, successor_got);
    record.say(text);
    std::snprintf(text, sizeof text, "queries that ended with the drained engine: %zu, of them order-loads failed: %d",
                  lost.size(), failed);
    record.say(text);
    if (broker.has_ended()) return 2;
    return late > 0 ? 1 : 0;
  });
}
