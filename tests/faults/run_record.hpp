// What happened in one run of the fault suite, as clients and engines saw it, and which rules it broke.
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

// An engine runs a query until nobody has asked for it in so long.
inline constexpr std::chrono::milliseconds kUnaskedLife{2000};

enum class RequestEffect { safe, keyed, unsafe };

class RunRecord {
 public:
  void taken(const std::string& ticket, RequestEffect effect, const std::string& key) {
    const std::lock_guard lock(mutex_);
    auto& request = requests_[ticket];
    request.effect = effect;
    request.key = key;
    note(request, "sent");
  }

  // A statement has come whole and begins to run.
  void begins(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) return violate("engine ran a request that no client sent: " + ticket);
    auto& request = found->second;
    const auto now = SteadyClock::now();
    if (request.effect == RequestEffect::unsafe && request.runs > 0)
      violate("unsafe request ran twice: " + ticket);
    for (const auto& [other, earlier] : requests_) {
      if (other != ticket && !request.key.empty() && earlier.key == request.key && earlier.out(now))
        violate("request " + ticket + " (" + request.history + ") began while " + other + " (" +
                earlier.history + ") of the same key still ran");
    }
    ++request.runs;
    request.running = true;
    request.last_asked = now;
    note(request, "begins");
  }

  void asked(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    auto& request = requests_[ticket];
    request.last_asked = SteadyClock::now();
    note(request, "asked for");
  }

  void ended(const std::string& ticket, const char* how) {
    const std::lock_guard lock(mutex_);
    auto& request = requests_[ticket];
    request.running = false;
    note(request, how);
  }

  // True: its engine runs it still.
  [[nodiscard]] bool runs(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    return requests_[ticket].out(SteadyClock::now());
  }

  [[nodiscard]] bool ever_ran(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    return requests_[ticket].runs > 0;
  }

  enum class Answer { served, refused, failed };
  void answered(const std::string& ticket, Answer answer) {
    const std::lock_guard lock(mutex_);
    auto& request = requests_[ticket];
    if (!request.answer.empty()) violate("second answer for " + ticket);
    request.answer = answer == Answer::served ? "served" : answer == Answer::refused ? "refused" : "failed";
    ++answers_[request.answer];
    note(request, request.answer.c_str());
    if (answer == Answer::refused && request.effect == RequestEffect::unsafe && request.runs > 0)
      violate("unsafe request was refused though it ran: " + ticket);
    if (answer == Answer::served && request.runs == 0)
      violate("request was served though no engine ran it: " + ticket);
  }

  void violated(const std::string& what) {
    const std::lock_guard lock(mutex_);
    violate(what);
  }

  [[nodiscard]] std::vector<std::string> violations() {
    const std::lock_guard lock(mutex_);
    return violations_;
  }
  [[nodiscard]] std::map<std::string, std::size_t> answers() {
    const std::lock_guard lock(mutex_);
    return answers_;
  }

 private:
  struct Request {
    RequestEffect effect = RequestEffect::safe;
    std::string key;
    int runs = 0;
    bool running = false;
    SteadyTime last_asked;
    std::string answer;
    std::string history;  // what befell it, and when in ms
    [[nodiscard]] bool out(SteadyTime now) const { return running && now < last_asked + kUnaskedLife; }
  };
  void note(Request& request, const char* what) const {
    const auto at = (SteadyClock::now() - began_) / std::chrono::milliseconds(1);
    request.history += (request.history.empty() ? "" : ", ") + std::to_string(at) + " " + what;
  }
  void violate(const std::string& what) { violations_.push_back(what); }

  const SteadyTime began_ = SteadyClock::now();
  std::mutex mutex_;
  std::map<std::string, Request> requests_;  // by ticket
  std::vector<std::string> violations_;
  std::map<std::string, std::size_t> answers_;
};

}  // namespace bellstair::test
