// Clients that send requests over a connection until the broker closes it, and then connect again.
#pragma once

#include <atomic>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../net/harness.hpp"
#include "run_record.hpp"

namespace bellstair::test {

// A broker's address, and up to when the requests that it receives must be answered.
struct BrokerState {
  std::string address;
  // The time of the shutdown request; 0 before it.
  std::atomic<SteadyClock::rep> shutdown_requested{0};
  // Requests sent later may be lost when the broker closes their connection.
  std::atomic<SteadyClock::rep> must_answer_until{SteadyTime::max().time_since_epoch().count()};

  // Whether a request sent at this time must be answered before the connection closes.
  [[nodiscard]] bool must_answer(SteadyTime sent) const {
    return sent.time_since_epoch().count() < must_answer_until;
  }
};

// Runs in a thread of its own until `stopped`. The seed determines the sequence of random draws. Violations
// and responses are entered into the run record.
class TrafficClient {
 public:
  // Probabilities and bounds of the client's behaviour.
  struct Options {
    double disconnect_rate = 0.03;  // of bursts: the client resets its connection instead of reading
    double cancel_rate = 0.03;      // of requests
    int max_open_requests = 3;
    std::chrono::milliseconds max_idle{60};
    bool loads_are_unsafe = false;
    bool connections_may_break = false;  // the broker's system calls fail with errors that break connections
    // While the broker shuts down, a connection may close without a response only to requests that were sent
    // just before.
    bool strict_shutdown = false;
  };

  TrafficClient(RunRecord& record, const std::vector<std::unique_ptr<BrokerState>>& brokers,
                std::uint64_t seed, Options options, std::atomic<bool>& stopped)
      : record_(record),
        brokers_(brokers),
        options_(options),
        random_(seed),
        ticket_prefix_(seed),
        stopped_(stopped),
        thread_([this] { run(); }) {}
  ~TrafficClient() { thread_.join(); }
  TrafficClient(const TrafficClient&) = delete;
  TrafficClient& operator=(const TrafficClient&) = delete;

 private:
  struct Pending {
    std::string ticket, line;
    SteadyTime sent;
    bool cancelled = false;
  };
  using PendingById = std::map<int, Pending>;
  static constexpr auto kPause = 20ms;
  // 50 ms by the protocol; the rest allows for scheduling delays of the test's own threads.
  static constexpr auto kMaxCrossing = 150ms;
  static constexpr int kKeys = 4;

  void run() {
    while (!stopped_) {
      try {
        connect();
        use_connection();
      } catch (const std::exception&) {
        std::this_thread::sleep_for(kPause);  // the broker is not listening
      }
    }
  }

  void connect() {
    broker_ = brokers_.at(random_() % brokers_.size()).get();
    socket_.emplace(Socket::connect_to(broker_->address));
    last_id_ = 0;
    cancelled_.clear();
  }

  // Sends bursts of requests until the connection has closed.
  void use_connection() {
    while (!stopped_) {
      PendingById pending;
      const int count = 1 + static_cast<int>(random_() % static_cast<unsigned>(options_.max_open_requests));
      for (int i = 0; i < count; ++i) send_request(pending);
      if (draw() < options_.disconnect_rate) return socket_.reset();
      if (!read_responses(pending)) return;
      std::this_thread::sleep_for(options_.max_idle * draw());
    }
  }

  void send_request(PendingById& pending) {
    static constexpr std::array kClasses{"lookup", "load", "once"};
    const std::string class_name = kClasses.at(random_() % kClasses.size());
    char ticket[17];
    std::snprintf(ticket, sizeof ticket, "%08llx%08x", static_cast<unsigned long long>(ticket_prefix_),
                  ++request_count_);
    json params{{"txn", ticket},
                {"limit", 300 + random_() % 2500},
                {"team", "acme"},
                {"data", platform::to_base64("SELECT a FROM sales_17.orders")}};
    std::string key;
    if (class_name == "load") {
      key = "00000000000000f" + std::to_string(random_() % kKeys);
      params["item"] = key;
      // Requests of one key are sent at an interval, so that their order is certain.
      std::this_thread::sleep_for(kPause);
    }
    const auto effect = class_name == "lookup"                               ? RequestEffect::safe
                        : class_name == "load" && !options_.loads_are_unsafe ? RequestEffect::keyed
                                                                             : RequestEffect::unsafe;
    record_.request_sent(ticket, effect, key.empty() ? key : broker_->address + " " + key);
    const int id = ++last_id_;
    auto& request = pending[id];
    request.ticket = ticket;
    request.line =
        json{{"jsonrpc", "2.0"}, {"id", id}, {"method", class_name}, {"params", params}}.dump() + "\n";
    request.sent = SteadyClock::now();
    socket_->send(request.line);
    if (draw() < options_.cancel_rate) {
      request.cancelled = true;
      cancelled_.insert(id);
      socket_->send(json{{"jsonrpc", "2.0"}, {"method", "cancel"}, {"params", {{"id", id}}}}.dump() + "\n");
    }
  }

  // Reads until all requests but the cancelled ones are answered. Returns false if the connection closes
  // first.
  bool read_responses(PendingById& pending) {
    while (std::any_of(pending.begin(), pending.end(),
                       [](const auto& entry) { return !entry.second.cancelled; })) {
      std::string line;
      try {
        line = socket_->read_line();
      } catch (const std::exception& error) {
        if (std::string(error.what()) == "timed out waiting for data") {
          for (const auto& [id, request] : pending) {
            if (!request.cancelled) record_.add_violation("no response for " + request.ticket);
          }
          return false;
        }
        report_lost_requests(pending);
        return false;
      }
      handle_response(json::parse(line), pending);
    }
    return true;
  }

  void handle_response(const json& response, PendingById& pending) {
    if (!response["id"].is_number())
      return record_.add_violation("response with an unknown id: " + response.dump());
    const auto found = pending.find(response["id"].get<int>());
    if (found == pending.end()) {
      // The response may have been sent before the broker received the cancel.
      if (cancelled_.erase(response["id"].get<int>()) == 0)
        record_.add_violation("response with an unknown id: " + response.dump());
      return;
    }
    const auto ticket = found->second.ticket;
    cancelled_.erase(found->first);
    pending.erase(found);
    if (response.contains("result")) {
      if (result_body(response) != ticket + "\ty\tz\n")
        record_.add_violation("response of another request for " + ticket);
      return record_.response_received(ticket, RunRecord::Outcome::served);
    }
    const bool refused = response["error"]["code"] == -32066;
    record_.response_received(ticket, refused ? RunRecord::Outcome::refused : RunRecord::Outcome::failed);
  }

  // Reports the requests whose responses were lost. A request may arrive just as the broker closes an idle
  // connection, and then needs no response; a request that was executed had been accepted and needs one.
  void report_lost_requests(const PendingById& pending) {
    for (const auto& [id, request] : pending) {
      if (request.cancelled || options_.connections_may_break || may_close_unanswered(request)) continue;
      const auto ms_since_shutdown = [this](SteadyTime time) {
        return std::to_string((time.time_since_epoch() - SteadyClock::duration(broker_->shutdown_requested)) /
                              1ms);
      };
      record_.add_violation("the connection closed without a response for " + request.ticket + ", sent " +
                            ms_since_shutdown(request.sent) + " ms and closed " +
                            ms_since_shutdown(SteadyClock::now()) + " ms after its broker " +
                            broker_->address + " was asked to shut down");
    }
  }

  // Whether the connection may close without a response to this request.
  [[nodiscard]] bool may_close_unanswered(const Pending& request) {
    if (broker_->must_answer(request.sent)) return !record_.was_executed(request.ticket);
    return !options_.strict_shutdown || SteadyClock::now() - request.sent <= kMaxCrossing;
  }

  // A uniform random number in [0, 1).
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  RunRecord& record_;
  const std::vector<std::unique_ptr<BrokerState>>& brokers_;
  Options options_;
  std::mt19937_64 random_;
  std::uint64_t ticket_prefix_;
  std::atomic<bool>& stopped_;
  BrokerState* broker_ = nullptr;
  std::optional<Socket> socket_;
  int last_id_ = 0;
  std::set<int> cancelled_;
  unsigned request_count_ = 0;
  std::thread thread_;
};

}  // namespace bellstair::test
