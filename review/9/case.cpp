// Bad clients send half requests. Does a usual client that writes a request in two pieces get an answer to it?
#include "../lib-2/bad_clients.hpp"

using namespace stand;

namespace {
constexpr int kBadClients = 150;
constexpr std::size_t kHalf = 32000;      // bytes that a bad client sends of its request
constexpr std::size_t kBody = 60000;      // of the usual client's statement
constexpr int kClients = 10;
constexpr double kLimit = 6000, kAllowed = 550;

std::string half_request() {
  return "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"order-load\",\"params\":{\"txn\":\"" + new_ticket() +
         "\",\"data\":\"" + std::string(kHalf, 'A');
}
// Half a request, then nothing for 1.5 s, then a close; and the next one.
void bad_client(int port, const std::atomic<bool>& stopped) {
  while (!stopped) {
    const int fd = connect_to(port);
    if (fd < 0) {
      sleep_ms(5);
      continue;
    }
    send_all(fd, half_request());
    const double until = now_ms() + 1500;
    while (!stopped && now_ms() < until) {
      pollfd ready{fd, POLLIN, 0};
      if (::poll(&ready, 1, 50) <= 0) continue;
      char buffer[4096];
      if (::recv(fd, buffer, sizeof buffer, 0) <= 0) break;  // turned away
    }
    ::close(fd);
  }
}
}  // namespace

int main(int argc, char** argv) {
  const bool disturbed = begin(argc, argv);
  std::vector<std::unique_ptr<Engine>> engines;
  ChangeLog log;
  json list = json::array();
  for (int i = 0; i < 3; ++i) {
    engines.push_back(std::make_unique<Engine>("s-0000000" + std::to_string(i + 1), "room-a", "big-12"));
    engines.back()->run_time = [](const std::string& queue, const std::string&) {
      return queue == "report" ? 9000.0 : 40.0;
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
  std::atomic<bool> stopped{false};
  std::vector<std::thread> bad;
  for (int i = 0; disturbed && i < kBadClients; ++i) bad.emplace_back([&] { bad_client(broker.port(), stopped); });
  record("bad clients: %zu", bad.size());
  sleep_ms(2500);
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<unsigned> reports, loads;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>("client-" + std::to_string(i + 1), broker.port()));
    reports.push_back(clients.back()->request("report", 20000));
    sleep_ms(300);
    char key[17];
    std::snprintf(key, sizeof key, "7f3a9c21e0b4%04x", 0x1000 + i);
    loads.push_back(clients.back()->large_request_in_pieces("order-load", kLimit, key, kBody, 20));
  }
  sleep_ms(kLimit + 1500);
  int lost = 0, served = 0;
  for (int i = 0; i < kClients; ++i) {
    const auto load = clients[static_cast<std::size_t>(i)]->requests()[loads[static_cast<std::size_t>(i)]];
    served += load.served();
    if (!load.line.empty() && load.at <= load.sent + load.limit + kAllowed) continue;
    ++lost;
    record("lost: %s, connection %s", load.ticket.c_str(), clients[static_cast<std::size_t>(i)]->ended() ? "ended" : "open");
  }
  stopped = true;
  for (auto& t : bad) t.join();
  sleep_ms(2000);
  if (broker.ended()) finish(1, "the broker has ended");
  broker.record_log();
  record("%d loads, %d served, %d lost", kClients, served, lost);
  finish(lost > 0 ? 1 : 0, std::to_string(lost) + " of " + std::to_string(kClients) + " loads were lost");
}
