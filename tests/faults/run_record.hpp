// Records the events of one run of the fault suite, as seen by clients and engines, and checks them against
// the rules of service.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace bellstair::test {

using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;

// An engine aborts a query that has not been polled for this long.
inline constexpr std::chrono::milliseconds kUnpolledLifetime{2000};

// An unsafe request may be executed at most once. Requests of one key are executed one at a time.
enum class RequestEffect { safe, keyed, unsafe };

// Thread-safe. Violations of the rules are collected in the order in which they are found.
class RunRecord {
 public:
  // A client is about to send a request. `key` is empty if it has none.
  void request_sent(const std::string& ticket, RequestEffect effect, const std::string& key) {
    const std::lock_guard lock(mutex_);
    auto& request = requests_[ticket];
    request.effect = effect;
    request.key = key;
    add_event(request, "sent");
  }

  // An engine has received a whole statement and starts to execute it.
  void execution_started(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    const auto found = requests_.find(ticket);
    if (found == requests_.end())
      return add_violation_locked("engine executed a request that no client sent: " + ticket);
    auto& request = found->second;
    const auto now = SteadyClock::now();
    if (request.effect == RequestEffect::unsafe && request.executions > 0)
      add_violation_locked("unsafe request was executed twice: " + ticket);
    for (const auto& [other_ticket, other_request] : requests_) {
      if (other_ticket != ticket && !request.key.empty() && other_request.key == request.key &&
          other_request.in_flight(now))
        add_violation_locked("request " + ticket + " (" + request.timeline + ") was started while " +
                             other_ticket + " (" + other_request.timeline +
                             ") of the same key was still executing");
    }
    ++request.executions;
    request.executing = true;
    request.last_polled = now;
    add_event(request, "started");
  }

  void polled(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    auto& request = requests_[ticket];
    request.last_polled = SteadyClock::now();
    add_event(request, "polled");
  }

  void execution_ended(const std::string& ticket, const char* reason) {
    const std::lock_guard lock(mutex_);
    auto& request = requests_[ticket];
    request.executing = false;
    add_event(request, reason);
  }

  // Whether an engine still executes the request.
  [[nodiscard]] bool is_executing(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    return requests_[ticket].in_flight(SteadyClock::now());
  }

  [[nodiscard]] bool was_executed(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    return requests_[ticket].executions > 0;
  }

  // refused: answered with the error code of a rejected request; an unsafe request must not have been
  // executed.
  enum class Outcome { served, refused, failed };
  // A client has received the response.
  void response_received(const std::string& ticket, Outcome outcome) {
    const std::lock_guard lock(mutex_);
    auto& request = requests_[ticket];
    if (!request.outcome.empty()) add_violation_locked("second response for " + ticket);
    request.outcome = outcome == Outcome::served    ? "served"
                      : outcome == Outcome::refused ? "refused"
                                                    : "failed";
    ++outcome_counts_[request.outcome];
    add_event(request, request.outcome.c_str());
    if (outcome == Outcome::refused && request.effect == RequestEffect::unsafe && request.executions > 0)
      add_violation_locked("unsafe request was refused though it was executed: " + ticket);
    if (outcome == Outcome::served && request.executions == 0)
      add_violation_locked("request was served though no engine executed it: " + ticket);
  }

  // A check outside of this class has failed.
  void add_violation(const std::string& description) {
    const std::lock_guard lock(mutex_);
    add_violation_locked(description);
  }

  [[nodiscard]] std::vector<std::string> violations() {
    const std::lock_guard lock(mutex_);
    return violations_;
  }
  // The number of responses by outcome.
  [[nodiscard]] std::map<std::string, std::size_t> outcome_counts() {
    const std::lock_guard lock(mutex_);
    return outcome_counts_;
  }

 private:
  struct Request {
    RequestEffect effect = RequestEffect::safe;
    std::string key;
    int executions = 0;
    bool executing = false;
    SteadyTime last_polled;
    std::string outcome;
    std::string timeline;  // its events, each after its time in ms since the start of the run
    [[nodiscard]] bool in_flight(SteadyTime now) const {
      return executing && now < last_polled + kUnpolledLifetime;
    }
  };
  // Appends an event to the request's timeline.
  void add_event(Request& request, const char* event) const {
    const auto elapsed_ms = (SteadyClock::now() - started_) / std::chrono::milliseconds(1);
    request.timeline += (request.timeline.empty() ? "" : ", ") + std::to_string(elapsed_ms) + " " + event;
  }
  void add_violation_locked(const std::string& description) { violations_.push_back(description); }

  const SteadyTime started_ = SteadyClock::now();
  std::mutex mutex_;
  std::map<std::string, Request> requests_;  // by ticket
  std::vector<std::string> violations_;
  std::map<std::string, std::size_t> outcome_counts_;
};

}  // namespace bellstair::test
