// Engines that speak HTTP: starts queries, asks for their news until they end, fetches their pages.
#pragma once

#include <ev++.h>

#include <array>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/events.hpp"
#include "net/driver.hpp"
#include "net/pool.hpp"
#include "platform/http.hpp"

namespace bellstair::platform {

class Engines : public net::EngineDriver {
 public:
  Engines(ev::loop_ref loop, net::ConnectionPool::Limits limits, std::vector<std::string> class_names,
          std::vector<std::string> load_fields, net::EventSink post);

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
  // leaving: given up before the engine's first word; deleting: the engine is being told.
  enum class Stage { waiting, ready, posted, polling, paging, leaving, deleting };
  enum class End { answered, not_connected, unsent, broken, silent };
  using Done = std::function<void(End, HttpResponse&)>;

  struct Attempt {
    core::EngineId engine = 0;
    Stage stage = Stage::waiting;
    std::uint64_t ticket = 0;          // while it waits for a connection
    Connection* connection = nullptr;  // its own, from POST to the last page
    std::uint64_t call = 0;            // the one that starts it
    std::string query;                 // its path at the engine
    std::size_t next_page = 0, pages = 0;
    core::Time asked_for_news{};
    int reconnects = 0;  // in a row, without a good answer in between
    core::Time asked{};  // the engine may have heard a call for it until then
    core::AttemptOutcome given_up = core::AttemptOutcome::cancelled;  // how it ends once that is settled
    bool doubtful = false;  // nothing has proved yet that the statement has come
    core::Time denied{};    // its engine has first said so while it was doubtful: that it has no such query
    std::optional<std::uint8_t> rank;  // a priority to be told once the engine knows the query
    core::AttemptEnded result;
  };
  struct Call {
    Connection* connection = nullptr;
    std::size_t before = 0;  // bytes that had left on the connection when the call began
    Done done;
  };

  std::uint64_t call(Connection& connection, const std::string& bytes, core::Time patience, Done done);
  void finish(std::uint64_t serial, End end);
  // A call on any connection of the engine's; gives the pool's ticket for that.
  std::uint64_t aside(core::EngineId engine, std::string bytes, core::Time patience, Done done);

  void answered(core::AttemptId id, End end, HttpResponse& answer);
  void ask(core::AttemptId id);  // for news, or for the next page
  void reconnect(core::AttemptId id);
  bool take_page(Attempt& attempt, HttpResponse& answer);  // false: it is spoilt
  void end(core::AttemptId id, core::AttemptOutcome how);
  // Ends it once the engine has been told, or has ended the query itself.
  void give_up(core::AttemptId id, core::AttemptOutcome how);
  void tell(core::AttemptId id);
  // The engine says that it has no such query. False: that proves nothing yet, since the statement may be on
  // its way.
  bool believe_denial(Attempt& attempt) const;
  bool forgotten(core::AttemptId id);  // true: its engine has ended it by now, and so has this
  void release(Connection& connection);
  void let_go(Attempt& attempt);  // of its connection, if no call is out on it
  void report();
  void take_load(const HttpResponse& answer, std::vector<double>& load) const;
  std::string host(core::EngineId engine) const;

  net::ConnectionPool pool_;
  std::vector<std::string> class_names_, load_fields_;
  net::EventSink post_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::unordered_map<core::EngineId, std::string> addresses_;
  core::TimerWheel<std::uint64_t> patience_{std::chrono::milliseconds(5)};
  core::TimerWheel<core::AttemptId> tell_again_{std::chrono::milliseconds(5)},
      ask_again_{std::chrono::milliseconds(5)}, forgotten_{std::chrono::milliseconds(5)};
  std::uint64_t serial_ = 0;
  // Since the last report to the log: how calls have ended, and attempts.
  std::array<std::size_t, static_cast<std::size_t>(End::silent) + 1> call_ends_{};
  std::array<std::size_t, static_cast<std::size_t>(core::AttemptOutcome::cancelled) + 1> attempt_ends_{};
  core::Time now_{}, reported_{};
};

}  // namespace bellstair::platform
