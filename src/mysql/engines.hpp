// The driver for engines that speak MySQL. An engine prepares a statement only when an attempt that executes
// it is sent; each connection caches the statements prepared on it.
#pragma once

#include <ev++.h>

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fronts.hpp"
#include "mysql/packet.hpp"
#include "mysql/result.hpp"
#include "net/driver.hpp"
#include "net/pool.hpp"

namespace bellstair::mysql {

// Runs attempts, cancellations and probes on the engines; see net::EngineDriver for the interface. `account`
// is the MySQL account to log in with; `class_names` are indexed by class.
class Engines : public net::EngineDriver {
 public:
  Engines(ev::loop_ref loop, net::ConnectionPool::Limits limits, config::MysqlEngines account,
          std::vector<std::string> class_names, net::EventSink emit);

  void run(const core::StartAttempt& effect) override;
  void run(core::Transmit& effect) override;
  void run(const core::CancelAttempt& effect) override;
  void run(const core::SetPriority&) override {}  // the protocol has no priorities
  void run(const core::ProbeEngine& effect) override;
  void run(const core::EngineUpdated& effect) override;
  void process_pending() override { pool_.process_pending(); }
  void tick(core::Time now) override;

 private:
  using Connection = net::ConnectionPool::Connection;
  enum class Stage { connecting, ready, preparing, executing, cancelling };
  struct Session;
  struct Attempt {
    core::EngineId engine = 0;
    Stage stage = Stage::connecting;
    std::uint64_t waiter_id = 0;
    Connection* connection = nullptr;
    core::Transmit request;
    // State of the response that is being received.
    Prepared prepared;
    std::size_t pending_definitions = 0;     // packets of the prepare response still to come
    std::vector<std::uint8_t> column_types;  // of the columns received so far
    std::size_t column_count = 0;
    bool reading_rows = false;  // the column definitions are complete
    ResultSchema schema;
    core::AttemptEnded result;
  };

  void begin_handshake(Connection& connection, std::function<void(bool)> done);
  void continue_handshake(Connection& connection, const Packet& packet,
                          const std::function<void(bool)>& done);
  void handle_data(core::AttemptId id, std::string_view bytes);
  void handle_packet(core::AttemptId id, Attempt& attempt, const Packet& packet);
  void handle_prepare_response(core::AttemptId id, Attempt& attempt, const std::string& payload);
  void handle_result(core::AttemptId id, Attempt& attempt, const std::string& payload);
  void execute(core::AttemptId id, Attempt& attempt);
  void on_connection_lost(core::AttemptId id);
  void end_attempt(core::AttemptId id, core::AttemptOutcome outcome, std::string message = {});
  // Sends a KILL for the engine's connection with this id; `done` is called whether or not it succeeds.
  void kill_connection(core::EngineId engine, std::uint32_t connection_id, std::function<void()> done);
  // Sends a command whose response is a single packet, over any free connection to the engine. `done` is
  // called with whether a connection could be made and whether the engine responded in time.
  void run_out_of_band(core::EngineId engine, std::string payload,
                       std::function<void(bool connected, bool responded)> done);

  net::ConnectionPool pool_;
  config::MysqlEngines account_;
  std::vector<std::string> class_names_;
  net::EventSink emit_;
  std::map<core::AttemptId, Attempt> attempts_;
  std::unordered_map<std::uint64_t, std::function<void()>>
      timeout_handlers_;  // of out-of-band commands, by serial
  core::TimerWheel<std::uint64_t> timeout_timers_{std::chrono::milliseconds(5)};
  std::uint64_t last_serial_ = 0;
  core::Time now_{};
};

}  // namespace bellstair::mysql
