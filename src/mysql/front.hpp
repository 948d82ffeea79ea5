// The front for clients that speak the MySQL protocol. It authenticates them and turns their statements,
// plain and prepared, into requests.
#pragma once

#include <ev++.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fronts.hpp"
#include "core/events.hpp"
#include "core/wheel.hpp"
#include "directory/lookup.hpp"
#include "mysql/mapping.hpp"
#include "mysql/packet.hpp"
#include "net/driver.hpp"
#include "net/stream.hpp"

namespace bellstair::mysql {

// Listens for MySQL clients. The references that the constructor takes must outlive the front;
// `last_client_handle` is shared with the other fronts. `seed` seeds the tickets of requests. Events are sent
// to `emit`.
class Front {
 public:
  struct Options {
    std::size_t max_connections = 256;  // further ones are closed at once
    bool escaped_rows = false;          // engines escape rows, see parse_rows()
    directory::Lookup lookup;           // of users that the fronts file does not list; empty: no directory
  };
  // `read_queue`, in which the connections wait to be read, must outlive this object.
  Front(ev::loop_ref loop, net::Fd listening, net::ReadQueue& read_queue, const config::MysqlFront& config,
        const config::NameIndex& names, const heronwell::Settings& settings, Options options,
        std::uint64_t& last_client_handle, std::uint64_t seed, net::EventSink emit);

  // Sends the answer of a request. Returns false if the client is not one of this front.
  bool run(const core::Answer& answer);
  // Whether the client of a running request may have closed its connection some time before `now`, which
  // shows only once what it has sent is read.
  [[nodiscard]] bool awaits_input(core::ClientHandle client, core::Time now) const;
  // Frees closed connections; called once in each iteration of the loop, outside of their handlers.
  void release_closed() { closed_.clear(); }
  // Advances the clock and closes connections that have not logged in in time.
  void tick(core::Time now);
  // Whether output is pending on any connection.
  [[nodiscard]] bool has_unsent_output() const;

 private:
  // Limits for each connection: bytes of a packet and of pending output, number of prepared statements.
  static constexpr std::size_t kMaxPayload = std::size_t{1} << 20;
  static constexpr std::size_t kMaxUnsentBytes = std::size_t{16} << 20;
  static constexpr std::size_t kMaxStatements = 1024;

  // In this order: phases before `idle` belong to the login.
  enum class Phase {
    awaiting_login,
    awaiting_auth_switch,
    awaiting_clear_password,
    directory_lookup,
    idle,
    running
  };
  // A prepared statement; `parameters` counts its placeholders.
  struct Statement {
    std::string text;
    std::size_t parameters = 0;
    ParameterTypes types;
  };
  struct Connection {
    std::uint64_t serial = 0;
    net::Stream stream;
    PacketReader reader{kMaxPayload};
    Phase phase = Phase::awaiting_login;
    std::string nonce, user;
    std::uint32_t capabilities = 0, tenant = 0;
    std::uint8_t sequence = 0;
    bool processing = false, closing = false;  // closing: as soon as its output has been written
    core::ClientHandle request_client = 0;     // of the running request; 0: none
    bool binary_result = false;                // the running statement was prepared
    bool is_read = false;                      // the running statement returns rows
    std::map<std::uint32_t, Statement> statements;
    std::uint32_t last_statement_id = 0;
    Connection(ev::loop_ref loop, net::Fd fd, net::ReadQueue& read_queue)
        : stream(loop, std::move(fd), false, kMaxUnsentBytes, &read_queue) {}
    [[nodiscard]] bool attributes() const { return (capabilities & kQueryAttributes) != 0; }
  };

  void accept(net::Fd fd);
  // Processes buffered packets until a statement runs, a directory is queried or the input is used up.
  void process_input(Connection& connection);
  void process_packet(Connection& connection, const Packet& packet);
  void handle_login(Connection& connection, const std::string& payload);
  void check_password(Connection& connection, const std::string& auth_response, const std::string& plugin);
  void look_up_user(Connection& connection, const std::string& password);
  void accept_login(Connection& connection, std::uint32_t tenant);
  void handle_command(Connection& connection, const std::string& payload);
  void handle_prepare(Connection& connection, std::string text);
  void handle_execute(Connection& connection, const std::string& payload);
  void start_request(Connection& connection, std::string_view text, const std::vector<sql::Value>& values,
                     const std::vector<Attribute>& attributes, bool binary_result);
  // Sends a served answer as an OK packet or as rows.
  void write_result(Connection& connection, const core::Answer& answer);

  void send(Connection& connection, std::string_view payload);
  void send_error(Connection& connection, const Error& error);
  // Sends an error and closes the connection once it has been written.
  void close_with_error(Connection& connection, const Error& error);
  void close(Connection& connection);

  ev::loop_ref loop_;
  net::ReadQueue& read_queue_;
  const config::MysqlFront& config_;
  const config::NameIndex& names_;
  const heronwell::Settings& settings_;
  Options options_;
  std::uint64_t& last_client_handle_;
  std::mt19937_64 ticket_random_;
  net::EventSink emit_;
  net::Listener listener_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::unordered_map<core::ClientHandle, std::uint64_t>
      running_requests_;  // connection serial by client handle
  std::vector<std::unique_ptr<Connection>> closed_;
  core::TimerWheel<std::uint64_t> login_timers_{std::chrono::milliseconds(5)};
  std::uint64_t last_serial_ = 0;
  core::Time now_{};
};

}  // namespace bellstair::mysql
