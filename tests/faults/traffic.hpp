// Clients that use their connections until the broker ends them, each in a thread of its own.
#pragma once

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../net/harness.hpp"
#include "run_record.hpp"

namespace bellstair::test {

// A broker as its clients know it.
struct BrokerState {
  std::string address;
  // What was sent later may meet the broker's end.
  std::atomic<SteadyClock::rep> told_to_end{0};
  std::atomic<SteadyClock::rep> answers_until{SteadyTime::max().time_since_epoch().count()};

  [[nodiscard]] bool owes(SteadyTime sent) const { return sent.time_since_epoch().count() < answers_until; }
};

class TrafficClient {
 public:
  struct Habits {
    double leaves = 0.03;   // of bursts: it closes its connection instead of reading
    double cancels = 0.03;  // of requests
    int most_open = 3;
    std::chrono::milliseconds longest_idle{60};
    bool loads_are_unsafe = false;
    bool connections_may_break = false;  // system calls of the broker fail so that they do
    // While the broker ends, a connection's end may only meet requests that were sent just before.
    bool ends_cross_at_once = false;
  };

  TrafficClient(RunRecord& record, const std::vector<std::unique_ptr<BrokerState>>& brokers,
                std::uint64_t seed, Habits habits, std::atomic<bool>& stopped)
      : record_(record),
        brokers_(brokers),
        habits_(habits),
        random_(seed),
        name_(seed),
        stopped_(stopped),
        thread_([this] { run(); }) {}
  ~TrafficClient() { thread_.join(); }
  TrafficClient(const TrafficClient&) = delete;
  TrafficClient& operator=(const TrafficClient&) = delete;

 private:
  struct Pending {
    std::string ticket, line;
    SteadyTime sent;
    bool sent_again = false, cancelled = false;
  };
  using PendingById = std::map<int, Pending>;
  static constexpr auto kPause = 20ms;
  // 50 ms by the protocol; the rest is for the test's own threads.
  static constexpr auto kLongestCrossing = 150ms;
  static constexpr int kKeys = 4;

  void run() {
    while (!stopped_) {
      try {
        connect();
        use_connection();
      } catch (const std::exception&) {
        std::this_thread::sleep_for(kPause);  // nobody listens
      }
    }
  }

  void connect() {
    broker_ = brokers_.at(random_() % brokers_.size()).get();
    socket_.emplace(Socket::connect_to(broker_->address));
    last_id_ = 0;
    cancelled_.clear();
  }

  // Until it has ended.
  void use_connection() {
    while (!stopped_) {
      PendingById pending;
      const int count = 1 + static_cast<int>(random_() % static_cast<unsigned>(habits_.most_open));
      for (int i = 0; i < count; ++i) ask(pending);
      if (draw() < habits_.leaves) return socket_.reset();
      if (!read_answers(pending)) return;
      std::this_thread::sleep_for(habits_.longest_idle * draw());
    }
  }

  void ask(PendingById& pending) {
    static constexpr std::array kClasses{"lookup", "load", "once"};
    const std::string cls = kClasses.at(random_() % kClasses.size());
    char ticket[17];
    std::snprintf(ticket, sizeof ticket, "%08llx%08x", static_cast<unsigned long long>(name_), ++asked_);
    json params{{"txn", ticket},
                {"limit", 300 + random_() % 2500},
                {"team", "acme"},
                {"data", platform::to_base64("SELECT a FROM sales_17.orders")}};
    std::string key;
    if (cls == "load") {
      key = "00000000000000f" + std::to_string(random_() % kKeys);
      params["item"] = key;
      // Requests of one key lie apart, so that their order is known.
      std::this_thread::sleep_for(kPause);
    }
    const auto effect = cls == "lookup"                              ? RequestEffect::safe
                        : cls == "load" && !habits_.loads_are_unsafe ? RequestEffect::keyed
                                                                     : RequestEffect::unsafe;
    record_.taken(ticket, effect, key.empty() ? key : broker_->address + " " + key);
    const int id = ++last_id_;
    auto& one = pending[id];
    one.ticket = ticket;
    one.line = json{{"jsonrpc", "2.0"}, {"id", id}, {"method", cls}, {"params", params}}.dump() + "\n";
    one.sent = SteadyClock::now();
    socket_->send(one.line);
    if (draw() < habits_.cancels) {
      one.cancelled = true;
      cancelled_.insert(id);
      socket_->send(json{{"jsonrpc", "2.0"}, {"method", "cancel"}, {"params", {{"id", id}}}}.dump() + "\n");
    }
  }

  // False: the connection has ended.
  bool read_answers(PendingById& pending) {
    while (std::any_of(pending.begin(), pending.end(), [](const auto& p) { return !p.second.cancelled; })) {
      std::string line;
      try {
        line = socket_->read_line();
      } catch (const std::exception& error) {
        if (std::string(error.what()) == "timed out waiting for data") {
          for (const auto& [id, one] : pending) {
            if (!one.cancelled) record_.violated("no answer for " + one.ticket);
          }
          return false;
        }
        connection_ended(pending);
        return false;
      }
      take_answer(json::parse(line), pending);
    }
    return true;
  }

  void take_answer(const json& answer, PendingById& pending) {
    if (!answer["id"].is_number()) return record_.violated("an answer to nothing: " + answer.dump());
    const auto found = pending.find(answer["id"].get<int>());
    if (found == pending.end()) {
      // The answer to a cancelled request may have crossed the cancel.
      if (cancelled_.erase(answer["id"].get<int>()) == 0)
        record_.violated("an answer to nothing: " + answer.dump());
      return;
    }
    const auto ticket = found->second.ticket;
    cancelled_.erase(found->first);
    pending.erase(found);
    if (answer.contains("result")) {
      if (result_body(answer) != ticket + "\ty\tz\n")
        record_.violated("another request's answer for " + ticket);
      return record_.answered(ticket, RunRecord::Answer::served);
    }
    const bool refused = answer["error"]["code"] == -32066;
    record_.answered(ticket, refused ? RunRecord::Answer::refused : RunRecord::Answer::failed);
  }

  // A request may cross the end of a connection at rest. One that has run was taken, and is owed its answer.
  void connection_ended(const PendingById& pending) {
    for (const auto& [id, one] : pending) {
      if (one.cancelled || habits_.connections_may_break || may_end(one)) continue;
      const auto since_told = [this](SteadyTime time) {
        return std::to_string((time.time_since_epoch() - SteadyClock::duration(broker_->told_to_end)) / 1ms);
      };
      record_.violated("the connection ended without an answer for " + one.ticket + ", sent " +
                       since_told(one.sent) + " ms and ended " + since_told(SteadyClock::now()) +
                       " ms after its broker " + broker_->address + " was told to end");
    }
  }

  // True: the connection's end lost nothing that was owed.
  [[nodiscard]] bool may_end(const Pending& one) {
    if (broker_->owes(one.sent)) return !record_.ever_ran(one.ticket);
    return !habits_.ends_cross_at_once || SteadyClock::now() - one.sent <= kLongestCrossing;
  }

  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  RunRecord& record_;
  const std::vector<std::unique_ptr<BrokerState>>& brokers_;
  Habits habits_;
  std::mt19937_64 random_;
  std::uint64_t name_;
  std::atomic<bool>& stopped_;
  BrokerState* broker_ = nullptr;
  std::optional<Socket> socket_;
  int last_id_ = 0;
  std::set<int> cancelled_;
  unsigned asked_ = 0;
  std::thread thread_;
};

}  // namespace bellstair::test
