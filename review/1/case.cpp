// A share of the engines' good answers comes spoilt: the length in the head does not fit the page. The rows
// that clients get must be those that the engine made, all of them.
#include "stand_ins.hpp"

using namespace review;

namespace {
constexpr double kSpoiltShare = 0.1;    // of the good answers and pages
constexpr double kSeconds = 40;         // of traffic
constexpr double kRequestsPerSecond = 50;
}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const std::string& root, const std::string& folder) {
    const bool trouble = with_trouble();
    std::vector<std::unique_ptr<Engine>> engines;
    std::mutex mutex;
    std::mt19937_64 random(20261204);
    std::atomic<int> good = 0, spoilt = 0;
    for (int i = 0; i < 3; ++i) {
      engines.push_back(std::make_unique<Engine>("s-0000000" + std::to_string(i + 1), 12));
      auto& engine = *engines.back();
      engine.set_spoil([&, trouble](const std::string& head, const std::string& body) {
        ++good;
        std::size_t length = body.size();
        {
          const std::lock_guard lock(mutex);
          if (trouble && !body.empty() && std::uniform_real_distribution<>(0, 1)(random) < kSpoiltShare)
            length = std::uniform_int_distribution<std::size_t>(0, body.size() - 1)(random);
        }
        if (length != body.size()) {
          ++spoilt;
          record.line("%s: spoilt answer: length %zu in the head, page of %zu bytes", engine.id().c_str(), length,
                      body.size());
        }
        return "HTTP/1.1 200 x\r\n" + head + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + body;
      });
    }
    ChangeLog changes;
    json servers = json::array();
    for (const auto& engine : engines) servers.push_back(ChangeLog::entry(*engine, "in_service"));
    changes.tell(servers, true);
    Broker broker(root, folder, "n0", changes, 1, 0, 0x8c1f30d27a5be964ULL);
    broker.wait_until_ready();
    Client client(broker.port(), 7);

    const double begin = now();
    for (int i = 0; i < kSeconds * kRequestsPerSecond; ++i) {
      sleep_until(begin + i / kRequestsPerSecond);
      const double work_ms = 20 + random() % 60;
      const int rows = 1 + static_cast<int>(random() % 40);
      const char* teams[] = {"site-one", "site-two", "site-three"};
      client.send("lookup", statement(work_ms, 1, rows), rows, 5000, teams[i % 3], work_ms, 64);
      if (broker.has_ended()) break;
    }
    for (const double until = now() + 6; now() < until && client.unanswered() > 0;) sleep_for(0.05);

    int served = 0, wrong = 0, other = 0;
    for (const auto& request : client.requests()) {
      if (request.kind != "served") {
        ++other;
        continue;
      }
      ++served;
      const auto expected = whole_result(request.ticket, request.rows);
      if (request.result == expected) continue;
      ++wrong;
      record.line("WRONG: request %s was answered 'served' with %zu of %zu bytes (%td of %d rows)",
                  request.ticket.c_str(), request.result.size(), expected.size(),
                  std::count(request.result.begin(), request.result.end(), '\n'), request.rows);
    }
    broker.copy_log();
    record.say("good answers of engines " + std::to_string(good) + ", of them spoilt " + std::to_string(spoilt));
    record.say("requests served " + std::to_string(served) + ", refused, failed or unanswered " +
               std::to_string(other) + "; served with rows missing: " + std::to_string(wrong));
    if (served == 0) return 2;
    return wrong > 0 ? 1 : 0;
  });
}
