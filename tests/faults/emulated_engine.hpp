// An emulated engine that manages queries by the protocol: a query outlives its connection, is polled for and
// deleted, and is aborted if it is not polled for kUnpolledLifetime. It can reject, fail and hang, and give a
// result a length that is too short.
#pragma once

#include <atomic>
#include <map>
#include <random>
#include <string>

#include "../net/harness.hpp"
#include "run_record.hpp"

namespace bellstair::test {

// The seed determines the sequence of random draws. Executions are entered into the run record.
class EmulatedEngine {
 public:
  struct Behaviour {
    double reject_rate = 0.02, error_rate = 0.02;  // probabilities per statement
    double short_length_rate = 0.05;               // probability per response with a result
    std::chrono::milliseconds max_duration{300};
  };

  EmulatedEngine(RunRecord& record, std::uint64_t seed, Behaviour behaviour)
      : record_(record),
        behaviour_(behaviour),
        random_(seed),
        server_([this](Socket& socket) { serve(socket); }) {}

  [[nodiscard]] const std::string& address() const { return server_.address(); }
  // Delays responses to polls and deletions until `time`. Load probes, rejections and failures are still
  // answered at once.
  void hang_until(SteadyTime time) { hung_until_ = time.time_since_epoch().count(); }

 private:
  static constexpr auto kLongPoll = 250ms, kPollInterval = 5ms;

  void serve(Socket& socket) {
    while (true) {
      const auto request = read_http_request(socket);
      if (socket.is_reset()) return;  // the caller has cancelled the request
      socket.send(reply(request));
    }
  }

  void wait_while_hung() const {
    while (SteadyClock::now().time_since_epoch().count() < hung_until_)
      std::this_thread::sleep_for(kPollInterval);
  }

  std::string reply(const HttpRequest& request) {
    if (request.path.rfind("/-/", 0) == 0)
      return http_response(200, {}, "X-Meter: pending:0;x1:0.1;x0:0.1\r\n");
    if (request.method == "POST") return start(request.headers.at("X-Ticket"));
    const auto name = request.path.substr(std::string("/v1/store/").size());
    const auto ticket = name.substr(0, name.find('/'));
    if (request.method == "DELETE") return remove(ticket, "deleted");
    return request.method == "GET" ? poll(ticket) : http_response(204);
  }

  // A query is executing as soon as it has been received whole, even if the engine hangs at that time.
  std::string start(const std::string& ticket) {
    const double outcome_draw = draw(), duration_fraction = draw();
    if (outcome_draw < behaviour_.reject_rate) return http_response(503, {}, "X-Shed: 1\r\n");
    record_.execution_started(ticket);
    if (outcome_draw < behaviour_.reject_rate + behaviour_.error_rate) {
      record_.execution_ended(ticket, "error");
      return http_response(500, "it failed");
    }
    {
      const std::lock_guard lock(mutex_);
      end_times_[ticket] = SteadyClock::now() + std::chrono::duration_cast<SteadyClock::duration>(
                                                    behaviour_.max_duration * duration_fraction);
    }
    return poll(ticket);
  }

  // The response to a poll: rows when the query has finished, 202 after a long poll without a result.
  std::string poll(const std::string& ticket) {
    const auto known_end = end_of(ticket);
    if (!known_end) return unknown_query();
    const auto end = *known_end;
    const bool executing = record_.is_executing(ticket);
    const bool finished = SteadyClock::now() >= end;
    if (!executing && !finished) return remove(ticket, "aborted unpolled", 500);
    record_.polled(ticket);
    wait_while_hung();
    const auto long_poll_until = SteadyClock::now() + kLongPoll;
    while (SteadyClock::now() < std::min(end, long_poll_until)) std::this_thread::sleep_for(kPollInterval);
    if (SteadyClock::now() < end) return http_response(202);
    record_.execution_ended(ticket, "done");
    const std::string rows = ticket + "\ty\tz\n";
    // The length of no rows at all: the rows follow behind a response that is complete by its length.
    return draw() < behaviour_.short_length_rate ? rows_response({}) + rows : rows_response(rows);
  }

  // The time at which a query finishes; nothing for an unknown query.
  std::optional<SteadyTime> end_of(const std::string& ticket) {
    const std::lock_guard lock(mutex_);
    const auto found = end_times_.find(ticket);
    return found == end_times_.end() ? std::nullopt : std::optional(found->second);
  }

  std::string unknown_query() const {
    wait_while_hung();
    return http_response(500, "unknown");
  }

  std::string remove(const std::string& ticket, const char* reason, int status = 204) {
    wait_while_hung();
    record_.execution_ended(ticket, reason);
    const std::lock_guard lock(mutex_);
    end_times_.erase(ticket);
    return http_response(status);
  }

  // A uniform random number in [0, 1).
  double draw() {
    const std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  RunRecord& record_;
  Behaviour behaviour_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::map<std::string, SteadyTime> end_times_;  // by ticket
  std::atomic<SteadyClock::rep> hung_until_{0};
  Server server_;
};

}  // namespace bellstair::test
