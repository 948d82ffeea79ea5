// Bad clients send half a request each and go. A usual client, which has a request open, meanwhile writes a
// load in two pieces, and after that a lookup in one piece on the same connection. Each request whose last byte
// is written to an accepted connection must get its one final answer.
#include "stand_ins.hpp"

using namespace review;

namespace {
constexpr int kBadClients = 60;
constexpr std::size_t kMinHalf = 1000, kMaxHalf = 250'000;  // bytes of half a request
constexpr double kBadStay = 1.5;                            // seconds until a bad client goes
constexpr int kUsualClients = 10, kMaxLoads = 8;
constexpr std::size_t kLoadBytes = 4'000;  // of the statement of a load
constexpr double kLookupLimit = 4.5;        // seconds

std::string call(int id, const std::string& query_class, const std::string& ticket, double limit_ms,
                 const std::string& text, double work_ms, std::uint64_t key = 0) {
  json params{{"txn", ticket},  {"limit", limit_ms}, {"team", "site-one"},
              {"cpu", work_ms}, {"ram", 40},         {"data", to_base64(text)}};
  if (key != 0) params["item"] = Client::hex(key);
  return json{{"jsonrpc", "2.0"}, {"id", id}, {"method", query_class}, {"params", params}}.dump() + "\n";
}
}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const std::string& root, const std::string& folder) {
    const bool trouble = with_trouble();
    std::vector<std::unique_ptr<Engine>> engines;
    ChangeLog changes;
    json servers = json::array();
    for (int i = 0; i < 3; ++i) {
      engines.push_back(std::make_unique<Engine>("s-0000000" + std::to_string(i + 1), 12));
      auto& engine = *engines.back();
      engine.on_statement = [&engine](const Engine::Arrival& arrival) {
        record.line("%s: got %s %s", engine.id().c_str(), arrival.query_class.c_str(), arrival.ticket.c_str());
      };
      servers.push_back(ChangeLog::entry(engine, "in_service"));
    }
    changes.tell(servers, true);
    Broker broker(root, folder, "n0", changes, 1, 0, 0x8c1f30d27a5be964ULL);
    broker.wait_until_ready();

    std::atomic<bool> stop = false;
    std::atomic<int> halves = 0;
    std::vector<std::thread> bad;
    for (int i = 0; trouble && i < kBadClients; ++i) {
      bad.emplace_back([&, i] {
        std::mt19937_64 random(1000 + i);
        while (!stop) {
          if (const auto connection = Connection::connect_to(broker.port())) {
            const auto size = kMinHalf + random() % (kMaxHalf - kMinHalf);
            const std::string half =
                R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":{"data":")" + std::string(size, 'A');
            if (connection->send(half)) ++halves;
            const double until = now() + kBadStay;
            while (!stop && now() < until) {
              pollfd readable{connection->fd(), POLLIN, 0};
              if (::poll(&readable, 1, 100) > 0 && !connection->read_more()) break;
            }
          }
          sleep_for(0.01);
        }
      });
    }
    if (trouble) sleep_for(1);

    std::atomic<int> lookups = 0, loads = 0, loads_unanswered = 0, lost = 0, null_ids = 0;
    std::vector<std::thread> usual;
    for (int n = 0; n < kUsualClients; ++n) {
      usual.emplace_back([&, n] {
        sleep_for(0.7 * n);
        const auto connection = Connection::connect_to(broker.port());
        if (!connection) return;
        std::mutex mutex;
        std::map<int, std::string> answers;
        bool null_id = false, ended = false;
        std::thread reader([&] {
          for (std::string line; connection->read_line(line);) {
            record.line("client %d: reads %s", n, line.substr(0, 120).c_str());
            const auto answer = json::parse(line, nullptr, false);
            const std::lock_guard lock(mutex);
            if (answer.is_object() && answer.contains("id") && answer["id"].is_number_unsigned()) {
              answers[answer["id"].get<int>()] = line;
            } else {
              null_id = true;
              ++null_ids;
            }
          }
          record.line("client %d: the connection has ended", n);
          const std::lock_guard lock(mutex);
          ended = true;
        });
        const auto is = [&](const bool& flag) {
          const std::lock_guard lock(mutex);
          return flag;
        };
        const auto answered = [&](int id) {
          const std::lock_guard lock(mutex);
          return answers.contains(id);
        };
        const auto ticket = [&](int id) { return Client::hex(0x9b1f03aa00000000ULL + 256U * n + id); };
        connection->send(call(1, "report", ticket(1), 20000, statement(40000, 4, 3), 40000));
        record.line("client %d: has written request 1, a report of 10 s", n);
        sleep_for(0.3);
        int id = 1;
        // Loads in two pieces, until the broker sends an error that names no request.
        for (int i = 0; i < kMaxLoads && !is(null_id) && !is(ended); ++i) {
          ++id;
          const auto text = statement(200, 2, 2) + " /* " + std::string(kLoadBytes, 'x') + " */";
          const auto line = call(id, "order-load", ticket(id), 25000, text, 200, 0x7f3a000000000000ULL + 256U * n + id);
          connection->send(line.substr(0, line.size() / 2));
          sleep_for(0.01);
          connection->send(line.substr(line.size() / 2));
          record.line("client %d: has written request %d, a load, in two pieces", n, id);
          ++loads;
          for (const double until = now() + 0.5; now() < until && !answered(id) && !is(null_id);) sleep_for(0.01);
          if (!answered(id) && is(null_id)) ++loads_unanswered;
        }
        // An ordinary lookup, written whole at once.
        sleep_for(0.3);
        if (!is(ended)) {
          ++id;
          connection->send(call(id, "lookup", ticket(id), kLookupLimit * 1000, statement(100, 1, 3), 100));
          const double written_at = now();
          record.line("client %d: has written request %d, a lookup, in one piece", n, id);
          ++lookups;
          // Half a second after its time a request without an answer is lost.
          while (now() < written_at + kLookupLimit + 0.5 && !answered(id)) sleep_for(0.02);
          if (!answered(id)) {
            ++lost;
            record.line("LOST: client %d: request %d (%s), written at %.3f, has no answer %.1f s later; connection %s", n,
                        id, ticket(id).c_str(), record.since_start(written_at), now() - written_at,
                        is(ended) ? "has ended" : "is open");
          }
        }
        connection->shut_down();
        reader.join();
      });
    }
    for (auto& thread : usual) thread.join();
    stop = true;
    for (auto& thread : bad) thread.join();
    broker.copy_log();
    record.say("half requests of bad clients " + std::to_string(halves) + "; usual loads in two pieces " +
               std::to_string(loads) + ", of them answered by a line without an id at most " +
               std::to_string(loads_unanswered) + " (such lines: " + std::to_string(null_ids) + ")");
    record.say("usual lookups written whole " + std::to_string(lookups) +
               ", without any answer half a second after their time " + std::to_string(lost));
    if (broker.has_ended() || lookups == 0) return 2;
    return lost > 0 ? 1 : 0;
  });
}
