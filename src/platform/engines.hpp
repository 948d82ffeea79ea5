// Client of engines that speak HTTP.
#pragma once

#include <ev++.h>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/events.hpp"
#include "net/driver.hpp"
#include "net/pool.hpp"
#include "platform/http.hpp"

namespace bellstair::platform {

// Submits queries, polls them until they end, and fetches their result pages. An attempt may use several
// connections one after another; a query is submitted once only.
class Engines : public net::EngineDriver {
 public:
  // `class_names`: by class index. `load_fields`: the fields of load reports, in the
  // order in which they are emitted.
  Engines(ev::loop_ref loop, net::ConnectionPool::Limits limits, std::vector<std::string> class_names,
          std::vector<std::string> load_fields, net::EventSink emit);

  void run(const core::StartAttempt& effect) override;
  void run(core::Transmit& effect) override;
  void run(const core::CancelAttempt& effect) override;
  void run(const core::SetPriority& effect) override;
  void run(const core::ProbeEngine& effect) override;
  void run(const core::EngineUpdated& effect) override;

  void process_pending() override { pool_.process_pending(); }
  void tick(core::Time now) override;

 private:
  using Connection = net::ConnectionPool::Connection;
  // connecting: waits for a connection. ready: it has one. posted: the POST is unanswered. polling: the query
  // runs. paging: it has ended, and its pages are fetched. cancelling: cancelled before the engine's first
  // response. deleting: DELETEs are sent until the engine answers one.
  enum class Stage { connecting, ready, posted, polling, paging, cancelling, deleting };
  // How a call (one HTTP request) has ended. unsent: it failed before any byte was sent. broken: it
  // failed after that, or the response was invalid.
  enum class CallOutcome { responded, not_connected, unsent, broken, timed_out };
  // The response is empty unless the outcome is `responded`.
  using CallCallback = std::function<void(CallOutcome, HttpResponse&)>;

  struct Attempt {
    core::EngineId engine = 0;
    Stage stage = Stage::connecting;
    std::uint64_t waiter_id = 0;       // while it waits for a connection
    Connection* connection = nullptr;  // its own, from the POST to the last page
    std::uint64_t call_id = 0;         // of its last call
    std::string query_path;            // of its query at the engine
    std::size_t next_page = 0, page_count = 0;
    // The body of the last page that may have been cut off and has not been accepted.
    std::optional<std::string> unconfirmed_page;
    core::Time polled_at{};
    int reconnects = 0;         // in a row, without a valid response in between
    core::Time last_contact{};  // when the engine may last have received a call for it
    // To report once the query has ended.
    core::AttemptOutcome final_outcome = core::AttemptOutcome::cancelled;
    bool unconfirmed = false;  // nothing proves yet that the engine has received the statement
    // When the engine first reported that it does not know the unconfirmed query; zero: never.
    core::Time reported_unknown_at{};
    std::optional<std::uint8_t> pending_priority;  // to be sent once the engine knows the query
    core::AttemptEnded result;
  };
  struct Call {
    Connection* connection = nullptr;
    std::size_t sent_before = 0;  // bytes sent on the connection before the call began
    CallCallback callback;
  };

  struct SettlingCall {
    std::uint64_t call_id = 0;
    core::Time completed_at{};
    bool time_is_over = false;
  };

  // Sends a request on the connection and returns the call's id. The callback is called once, unless the call
  // is erased before. A connection that can't be used again has been discarded by then.
  std::uint64_t start_call(Connection& connection, const std::string& request, core::Time timeout,
                           CallCallback callback);
  void finish_call(std::uint64_t call_id, CallOutcome outcome);
  void on_settle_timer(ev::timer& timer, int events);
  // How long after its page is complete the call ends, by what has followed the page.
  [[nodiscard]] static core::Time settle_time(const Call& call);
  // Makes a call on any connection to the engine; returns the pool's id for ConnectionPool::cancel().
  std::uint64_t out_of_band_call(core::EngineId engine, std::string request, core::Time timeout,
                                 CallCallback callback);

  void on_response(core::AttemptId id, CallOutcome outcome, HttpResponse& response);
  // Handle a response that reports no change, and one that holds a page of the result.
  void on_still_running(core::AttemptId id);
  void on_page(core::AttemptId id, HttpResponse& response);
  // Asks for the state of the query, or for its next page.
  void poll(core::AttemptId id);
  void reconnect(core::AttemptId id);
  // Adds a page to the result. Returns false if the page is damaged or incomplete.
  bool append_page(Attempt& attempt, HttpResponse& response);
  // Reports the outcome and erases the attempt.
  void end_attempt(core::AttemptId id, core::AttemptOutcome outcome);
  // Ends the attempt with the outcome once the engine has answered a DELETE or has ended the query by itself.
  void cancel_query(core::AttemptId id, core::AttemptOutcome outcome);
  void send_delete(core::AttemptId id);
  // To be called when the engine reports that it does not know the query. Returns false if that proves
  // nothing yet, because the statement may still be in transit.
  bool confirm_unknown(Attempt& attempt) const;
  // Ends the attempt and returns true if its engine must have ended the query by now; else it checks later.
  bool end_if_expired(core::AttemptId id);
  void release_connection(Connection& connection);
  // Releases the attempt's connection, unless a call is in flight on it.
  void release_if_unused(Attempt& attempt);
  void log_counts();
  void read_load(const HttpResponse& response, std::vector<double>& load) const;
  // The Host header for an engine; empty if the engine has been removed.
  std::string host(core::EngineId engine) const;

  net::ConnectionPool pool_;
  std::vector<std::string> class_names_, load_fields_;
  net::EventSink emit_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::unordered_map<std::uint64_t, Call> calls_;
  // Calls whose page is complete by its length. They end a little later, since more of it may follow.
  std::vector<SettlingCall> settling_calls_;
  std::unordered_map<core::EngineId, std::string> addresses_;
  core::TimerWheel<std::uint64_t> call_timeouts_{std::chrono::milliseconds(5)};
  core::TimerWheel<core::AttemptId> delete_retries_{std::chrono::milliseconds(5)},
      poll_retries_{std::chrono::milliseconds(5)}, expiries_{std::chrono::milliseconds(5)};
  std::uint64_t last_call_id_ = 0;
  // How calls and attempts have ended since the last log line.
  std::array<std::size_t, static_cast<std::size_t>(CallOutcome::timed_out) + 1> call_outcomes_{};
  std::array<std::size_t, static_cast<std::size_t>(core::AttemptOutcome::cancelled) + 1> attempt_outcomes_{};
  // Pages that were fetched again since the last log line; of these, the ones whose length was too short.
  std::size_t damaged_pages_ = 0, too_short_pages_ = 0;
  core::Time now_{}, last_logged_{};
  ev::timer settle_timer_;
};

}  // namespace bellstair::platform
