// A client that has a request open writes its next one slowly. Each request whose last byte is written to an
// accepted connection must get its one final answer.
#include "stand_ins.hpp"

using namespace review;

namespace {
constexpr double kWriteSeconds = 2.5;  // from the first byte of the slowly written request to its last
constexpr int kPieces = 6;
constexpr int kRounds = 10;

std::string call(int id, const std::string& query_class, const std::string& ticket, double limit_ms,
                 double work_ms, int threads) {
  const json params{{"txn", ticket}, {"limit", limit_ms}, {"team", "site-one"},
                    {"cpu", work_ms}, {"ram", 40},        {"data", to_base64(statement(work_ms, threads, 3))}};
  return json{{"jsonrpc", "2.0"}, {"id", id}, {"method", query_class}, {"params", params}}.dump() + "\n";
}

struct Seen {
  double at = 0;
  std::string text;
};
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

    std::atomic<int> taken = 0, unanswered = 0, null_ids = 0, closed_early = 0;
    std::vector<std::thread> threads;
    for (int round = 0; round < kRounds; ++round) {
      threads.emplace_back([&, round] {
        sleep_for(0.4 * round);
        const auto connection = Connection::connect_to(broker.port());
        if (!connection) return;
        std::mutex mutex;
        std::map<int, Seen> answers;
        double ended_at = 0;
        std::thread reader([&] {
          for (std::string line; connection->read_line(line);) {
            record.line("client %d: reads %s", round, line.substr(0, 160).c_str());
            const auto answer = json::parse(line, nullptr, false);
            const std::lock_guard lock(mutex);
            if (answer.is_object() && answer.contains("id") && answer["id"].is_number_unsigned()) {
              answers[answer["id"].get<int>()] = {now(), line};
            } else {
              ++null_ids;
            }
          }
          record.line("client %d: the connection has ended", round);
          const std::lock_guard lock(mutex);
          ended_at = now();
        });
        const auto ended = [&] {
          const std::lock_guard lock(mutex);
          return ended_at > 0;
        };
        std::map<int, double> written;  // when the last byte of each request was written
        const auto ticket = [&](int id) { return Client::hex(0x9b1f03aa00000000ULL + 16U * round + id); };
        // A report that takes 8 s, then a lookup that is written in pieces, then one that is written whole.
        connection->send(call(1, "report", ticket(1), 20000, 32000, 4));
        written[1] = now();
        sleep_for(0.5);
        const auto slow = call(2, "lookup", ticket(2), 4500, 100, 1);
        bool whole = true;
        for (int piece = 0; piece < kPieces; ++piece) {
          if (piece > 0 && trouble) sleep_for(kWriteSeconds / (kPieces - 1));
          if (ended()) whole = false;  // a client that sees the end of its connection writes no more
          if (!whole) break;
          const auto from = slow.size() * piece / kPieces, to = slow.size() * (piece + 1) / kPieces;
          connection->send(slow.substr(from, to - from));
        }
        if (whole) {
          written[2] = now();
          record.line("client %d: has written the last byte of request 2", round);
          sleep_for(0.3);
          if (!ended()) {
            connection->send(call(3, "lookup", ticket(3), 4500, 100, 1));
            written[3] = now();
            record.line("client %d: has written request 3", round);
          }
        } else {
          ++closed_early;
        }
        // Half a second after its time a request that has no answer is lost.
        const std::map<int, double> limits{{1, 20}, {2, 4.5}, {3, 4.5}};
        for (const auto& [id, at] : written) {
          while (now() < at + limits.at(id) + 0.5) {
            {
              const std::lock_guard lock(mutex);
              if (answers.contains(id)) break;
            }
            sleep_for(0.02);
          }
          const std::lock_guard lock(mutex);
          ++taken;
          if (answers.contains(id)) continue;
          ++unanswered;
          record.line("LOST: client %d: request %d (%s), last byte written at %.3f, has no answer %.1f s later%s", round,
                      id, ticket(id).c_str(), record.since_start(at), now() - at,
                      ended_at > 0 ? "" : "; its connection is open");
        }
        connection->shut_down();
        reader.join();
      });
    }
    for (auto& thread : threads) thread.join();
    broker.copy_log();
    record.say("requests written whole " + std::to_string(taken) + ", without an answer half a second after their time " +
               std::to_string(unanswered) + "; lines without an id " + std::to_string(null_ids) +
               "; connections that ended before the last byte " + std::to_string(closed_early));
    if (broker.has_ended() || taken == 0) return 2;
    return unanswered > 0 ? 1 : 0;
  });
}
