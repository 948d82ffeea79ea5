// An engine that keeps queries as the protocol says: they outlive connections, are asked for, deleted, or die
// unasked. It fails, sheds and hangs as it is told.
#pragma once

#include <atomic>
#include <map>
#include <random>
#include <string>

#include "../net/harness.hpp"
#include "run_record.hpp"

namespace bellstair::test {

class EmulatedEngine {
 public:
  struct Behaviour {
    double shed = 0.02, error = 0.02;  // of statements
    std::chrono::milliseconds longest_work{300};
  };

  EmulatedEngine(RunRecord& record, std::uint64_t seed, Behaviour behaviour)
      : record_(record),
        behaviour_(behaviour),
        random_(seed),
        server_([this](Socket& socket) { serve(socket); }) {}

  [[nodiscard]] const std::string& address() const { return server_.address(); }
  // It answers nothing until then, and goes on afterwards.
  void hang_until(SteadyTime time) { hung_until_ = time.time_since_epoch().count(); }

 private:
  static constexpr auto kHold = 250ms, kStep = 5ms;

  void serve(Socket& socket) {
    while (true) {
      const auto call = read_http_request(socket);
      if (socket.is_reset()) return;  // its caller has taken it back
      socket.send(reply(call));
    }
  }

  void stand_still() const {
    while (SteadyClock::now().time_since_epoch().count() < hung_until_) std::this_thread::sleep_for(kStep);
  }

  std::string reply(const HttpRequest& call) {
    if (call.path.rfind("/-/", 0) == 0) return http_response(200, {}, "X-Meter: pending:0;x1:0.1;x0:0.1\r\n");
    if (call.method == "POST") return start(call.headers.at("X-Ticket"));
    const auto name = call.path.substr(std::string("/v1/store/").size());
    const auto ticket = name.substr(0, name.find('/'));
    if (call.method == "DELETE") return remove(ticket, "deleted");
    return call.method == "GET" ? news(ticket) : http_response(204);
  }

  // A query is out from when it has come whole, also where the engine stands still then.
  std::string start(const std::string& ticket) {
    const double luck = draw(), work = draw();
    if (luck < behaviour_.shed) return http_response(503, {}, "X-Shed: 1\r\n");
    record_.begins(ticket);
    if (luck < behaviour_.shed + behaviour_.error) {
      record_.ended(ticket, "error");
      return http_response(500, "it failed");
    }
    {
      const std::lock_guard lock(mutex_);
      ends_[ticket] = SteadyClock::now() +
                      std::chrono::duration_cast<SteadyClock::duration>(behaviour_.longest_work * work);
    }
    return news(ticket);
  }

  std::string news(const std::string& ticket) {
    const auto known = end_of(ticket);
    if (!known) return unknown();
    const auto end = *known;
    const bool alive = record_.runs(ticket);
    const bool over = SteadyClock::now() >= end;
    if (!alive && !over) return remove(ticket, "died unasked", 500);
    record_.asked(ticket);
    stand_still();
    const auto hold_until = SteadyClock::now() + kHold;
    while (SteadyClock::now() < std::min(end, hold_until)) std::this_thread::sleep_for(kStep);
    if (SteadyClock::now() < end) return http_response(202);
    record_.ended(ticket, "done");
    return rows_response(ticket + "\ty\tz\n");
  }

  std::optional<SteadyTime> end_of(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    const auto found = ends_.find(ticket);
    return found == ends_.end() ? std::nullopt : std::optional(found->second);
  }

  std::string unknown() const {
    stand_still();
    return http_response(500, "unknown");
  }

  std::string remove(const std::string& ticket, const char* why, int status = 204) {
    stand_still();
    record_.ended(ticket, why);
    const std::lock_guard lock(mutex_);
    ends_.erase(ticket);
    return http_response(status);
  }

  double draw() {
    const std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  RunRecord& record_;
  Behaviour behaviour_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::map<std::string, SteadyTime> ends_;  // by ticket
  std::atomic<SteadyClock::rep> hung_until_{0};
  Server server_;
};

}  // namespace bellstair::test
