#include "mysql/front.hpp"

#include <openssl/rand.h>

#include <algorithm>
#include <cstdio>

#include "mysql/result.hpp"
#include "sql/statement.hpp"

namespace bellstair::mysql {
namespace {
using namespace std::chrono_literals;

constexpr const char* kVersion = "8.0.0-bellstair";
constexpr std::uint32_t kServerCapabilities = kLongPassword | kConnectWithDb | kProtocol41 | kTransactions |
                                              kSecureConnection | kPluginAuth | kConnectAttributes |
                                              kLenencAuth | kQueryAttributes;
constexpr core::Time kLoginTimeout = 10s;
constexpr std::size_t kMaxBuffered = std::size_t{2} << 20;  // bytes of unprocessed input; then reading pauses
constexpr std::size_t kPlatformColumns = 3;  // columns of an empty result of the platform's engines
// First bytes of authentication packets, and the state of caching_sha2_password after a match.
constexpr std::uint8_t kAuthSwitch = 0xfe, kAuthMoreData = 0x01, kFastAuthSuccess = 0x03;

// 20 unpredictable bytes, none of them zero, since the nonce is sent as a zero-terminated string.
std::string new_nonce() {
  std::string out(20, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(out.data()), static_cast<int>(out.size()));
  for (char& c : out) c = static_cast<char>(1 + static_cast<unsigned char>(c) % 126);
  return out;
}

Error access_denied(const std::string& user) {
  return {kAccessDenied, "28000", "access denied for user '" + user + "'"};
}

std::string auth_switch_request(const char* plugin, const std::string& nonce) {
  return Writer().u8(kAuthSwitch).null_string(plugin).null_string(nonce).release();
}

}  // namespace

Front::Front(ev::loop_ref loop, net::Fd listening, net::ReadQueue& read_queue,
             const config::MysqlFront& config, const config::NameIndex& names,
             const heronwell::Settings& settings, Options options, std::uint64_t& last_client_handle,
             std::uint64_t seed, net::EventSink emit)
    : loop_(loop),
      read_queue_(read_queue),
      config_(config),
      names_(names),
      settings_(settings),
      options_(std::move(options)),
      last_client_handle_(last_client_handle),
      ticket_random_(seed),
      emit_(std::move(emit)),
      listener_(loop, std::move(listening), [this](net::Fd fd) { accept(std::move(fd)); }) {}

void Front::accept(net::Fd fd) {
  if (connections_.size() >= options_.max_connections) return;
  auto created = std::make_unique<Connection>(loop_, std::move(fd), read_queue_);
  auto& connection = *created;
  connection.serial = ++last_serial_;
  connection.nonce = new_nonce();
  connections_.emplace(connection.serial, std::move(created));
  connection.stream.set_handlers({
      .connected = {},
      .data =
          [this, &connection](std::string_view bytes) {
            connection.reader.feed(bytes);
            if (connection.reader.buffered() > kMaxBuffered) connection.stream.pause_reading(true);
            process_input(connection);
          },
      .end_of_input = [this, &connection] { close(connection); },
      .closed = [this, &connection] { close(connection); },
      .drained =
          [this, &connection] {
            if (connection.closing) close(connection);
          },
  });
  login_timers_.arm(now_ + kLoginTimeout, connection.serial);
  Greeting greeting{kVersion, connection.nonce, kCachingSha2, static_cast<std::uint32_t>(connection.serial),
                    kServerCapabilities};
  send(connection, write_greeting(greeting));
}

void Front::tick(core::Time now) {
  now_ = now;
  login_timers_.advance(now, [this](std::uint64_t serial) {
    const auto found = connections_.find(serial);
    if (found != connections_.end() && found->second->phase < Phase::idle) close(*found->second);
  });
}

// One command at a time: pipelined commands wait until the current one is answered.
void Front::process_input(Connection& connection) {
  if (connection.processing) return;
  connection.processing = true;
  try {
    while (connection.stream.open() && !connection.closing && connection.phase != Phase::running &&
           connection.phase != Phase::directory_lookup) {
      const auto packet = connection.reader.next();
      if (!packet) break;
      process_packet(connection, *packet);
    }
  } catch (const Malformed& error) {
    // The start of the next packet is unknown from here on.
    connection.sequence = 1;
    close_with_error(connection, {kMalformedPacket, "HY000", error.what()});
  }
  connection.processing = false;
  if (connection.stream.open() && connection.reader.buffered() <= kMaxBuffered)
    connection.stream.pause_reading(false);
}

void Front::process_packet(Connection& connection, const Packet& packet) {
  connection.sequence = static_cast<std::uint8_t>(packet.sequence + 1);
  switch (connection.phase) {
    case Phase::awaiting_login:
      return handle_login(connection, packet.payload);
    case Phase::awaiting_auth_switch:
      return check_password(connection, packet.payload, kNativePassword);
    case Phase::awaiting_clear_password: {
      auto password = packet.payload;
      if (!password.empty() && password.back() == '\0') password.pop_back();
      return look_up_user(connection, password);
    }
    case Phase::idle:
      if (packet.sequence != 0) throw Malformed("a command out of sequence");
      return handle_command(connection, packet.payload);
    case Phase::directory_lookup:
    case Phase::running:
      return;
  }
}

// ---- login

void Front::handle_login(Connection& connection, const std::string& payload) {
  auto request = read_login(payload);
  connection.capabilities = request.capabilities & kServerCapabilities;
  connection.user = request.user;
  const bool is_configured =
      std::ranges::any_of(config_.users, [&](const auto& u) { return u.name == request.user; });
  if (!is_configured && options_.lookup) {
    // A directory needs the password in clear text. The configuration ensures that this front then listens on
    // a loopback address only.
    connection.phase = Phase::awaiting_clear_password;
    return send(connection, auth_switch_request(kClearPassword, connection.nonce));
  }
  if (request.plugin == kCachingSha2 || request.plugin == kNativePassword)
    return check_password(connection, request.auth_response, request.plugin);
  connection.phase = Phase::awaiting_auth_switch;
  send(connection, auth_switch_request(kNativePassword, connection.nonce));
}

void Front::check_password(Connection& connection, const std::string& auth_response,
                           const std::string& plugin) {
  const auto user = std::ranges::find(config_.users, connection.user, &config::MysqlUser::name);
  if (user == config_.users.end()) return close_with_error(connection, access_denied(connection.user));
  const bool sha2 = plugin == kCachingSha2;
  const auto expected = sha2 ? sha2_auth_response(user->password, connection.nonce)
                             : native_auth_response(user->password, connection.nonce);
  // Clients send an empty password as no bytes or as a single zero.
  const auto response = auth_response == std::string(1, '\0') ? std::string() : auth_response;
  if (!constant_time_equal(response, expected))
    return close_with_error(connection, access_denied(connection.user));
  if (sha2 && !expected.empty()) send(connection, Writer().u8(kAuthMoreData).u8(kFastAuthSuccess).release());
  accept_login(connection, names_.tenants.at(user->tenant));
}

void Front::look_up_user(Connection& connection, const std::string& password) {
  connection.phase = Phase::directory_lookup;
  const auto serial = connection.serial;
  options_.lookup(connection.user, password, [this, serial](directory::LookupResult result) {
    const auto found = connections_.find(serial);
    if (found == connections_.end()) return;
    auto& waiting_connection = *found->second;
    if (result.status == directory::LookupResult::Status::denied)
      return close_with_error(waiting_connection, access_denied(waiting_connection.user));
    if (result.status == directory::LookupResult::Status::unavailable)
      return close_with_error(
          waiting_connection,
          {kDirectoryDown, "HY000", "the directory of users can't be reached; try again later"});
    accept_login(waiting_connection, result.tenant);
    process_input(waiting_connection);
  });
}

void Front::accept_login(Connection& connection, std::uint32_t tenant) {
  connection.tenant = tenant;
  connection.phase = Phase::idle;
  send(connection, write_ok());
}

// ---- commands

void Front::handle_command(Connection& connection, const std::string& payload) {
  if (payload.empty()) throw Malformed("an empty command");
  switch (static_cast<std::uint8_t>(payload[0])) {
    case kQuit:
      return close(connection);
    case kPing:
      return send(connection, write_ok());
    case kQuery: {
      const auto query = read_query(payload, connection.attributes());
      return start_request(connection, query.text, {}, query.attributes, false);
    }
    case kPrepare:
      return handle_prepare(connection, payload.substr(1));
    case kExecute:
      return handle_execute(connection, payload);
    case kResetStatement: {
      if (!connection.statements.contains(read_statement_id(payload)))
        return send_error(connection, {kUnknownStatement, "HY000", "unknown prepared statement"});
      return send(connection, write_ok());
    }
    case kCloseStatement:
      connection.statements.erase(read_statement_id(payload));
      return;  // has no response
    default:
      return send_error(connection, {kUnknownCommand, "08S01", "unknown command"});
  }
}

// Only the broker prepares the statement here; engines prepare it when an attempt is sent to them.
void Front::handle_prepare(Connection& connection, std::string text) {
  if (sql::first_keyword(text).empty())
    return send_error(connection, {kEmptyQuery, "42000", "the query was empty"});
  if (connection.statements.size() >= kMaxStatements)
    return send_error(connection, {1461, "42000", "too many prepared statements on this connection"});
  const auto id = ++connection.last_statement_id;
  auto& statement = connection.statements[id];
  statement.parameters = sql::placeholder_positions(text).size();
  statement.text = std::move(text);
  send(connection, write_prepared({id, 0, static_cast<std::uint16_t>(statement.parameters)}));
  if (statement.parameters == 0) return;
  for (std::size_t i = 0; i < statement.parameters; ++i) send(connection, write_column("?", kTypeVarString));
  send(connection, write_eof());
}

void Front::handle_execute(Connection& connection, const std::string& payload) {
  const auto found = connection.statements.find(read_statement_id(payload));
  if (found == connection.statements.end())
    return send_error(connection, {kUnknownStatement, "HY000", "unknown prepared statement"});
  auto& statement = found->second;
  const auto request = read_execute(payload, statement.parameters, connection.attributes(), statement.types);
  start_request(connection, statement.text, request.values, request.attributes, true);
}

void Front::start_request(Connection& connection, std::string_view text,
                          const std::vector<sql::Value>& values, const std::vector<Attribute>& attributes,
                          bool binary_result) {
  const auto word = sql::first_keyword(text);
  if (word.empty()) return send_error(connection, {kEmptyQuery, "42000", "the query was empty"});
  // Drivers set session variables when they connect. The broker keeps no session state and ignores
  // them.
  if (word == "set") return send(connection, write_ok());
  try {
    auto request = map_statement(text, values, attributes, connection.tenant, names_, settings_);
    char ticket[17];
    std::snprintf(ticket, sizeof ticket, "%016llx", static_cast<unsigned long long>(ticket_random_()));
    request.ticket = ticket;
    request.client = ++last_client_handle_;
    connection.phase = Phase::running;
    connection.request_client = request.client;
    connection.binary_result = binary_result;
    connection.is_read = word == "select" || word == "with" || word == "show";
    running_requests_[request.client] = connection.serial;
    emit_(core::RequestArrived{std::move(request)});
  } catch (const MappingError& error) {
    send_error(connection, error.error);
  }
}

bool Front::awaits_input(core::ClientHandle client, core::Time now) const {
  const auto found = running_requests_.find(client);
  return found != running_requests_.end() &&
         read_queue_.has_input_from_before(now - net::ReadQueue::kMaxUnreadTime,
                                           connections_.at(found->second)->stream);
}

bool Front::run(const core::Answer& answer) {
  const auto found = running_requests_.find(answer.client);
  if (found == running_requests_.end()) return false;
  auto& connection = *connections_.at(found->second);
  running_requests_.erase(found);
  connection.request_client = 0;
  connection.phase = Phase::idle;
  if (answer.kind == core::AnswerKind::served) {
    write_result(connection, answer);
  } else {
    send_error(connection, to_error(answer));
  }
  process_input(connection);
  return true;
}

void Front::write_result(Connection& connection, const core::Answer& answer) {
  const auto rows = parse_rows(answer.body, options_.escaped_rows);
  auto schema = decode_schema(answer.result_schema);
  if (!schema) {
    // The platform's engines return rows only: columns get generated names, and a write without rows is OK.
    schema.emplace();
    schema->has_rows = !rows.empty() || connection.is_read;
    const auto columns = rows.empty() ? kPlatformColumns : rows.front().size();
    for (std::size_t i = 0; i < columns; ++i)
      schema->column_names.push_back("column_" + std::to_string(i + 1));
  }
  if (!schema->has_rows) {
    return send(connection, Writer()
                                .u8(0)
                                .lenenc_int(schema->affected_rows)
                                .lenenc_int(schema->insert_id)
                                .u16(kAutocommit)
                                .u16(0)
                                .release());
  }
  const auto columns = schema->column_names.size();
  if (std::ranges::any_of(rows, [&](const auto& row) { return row.size() != columns; }))
    return send_error(connection, {kFailed, "HY000", "failed; the engine's rows differ in length"});
  send(connection, Writer().lenenc_int(columns).release());
  for (const auto& name : schema->column_names) send(connection, write_column(name, kTypeVarString));
  send(connection, write_eof());
  for (const auto& row : rows)
    send(connection, connection.binary_result ? write_binary_row(row) : write_text_row(row));
  send(connection, write_eof());
}

// ---- output

void Front::send(Connection& connection, std::string_view payload) {
  connection.stream.write(frame(connection.sequence++, payload));
}

void Front::send_error(Connection& connection, const Error& error) { send(connection, write_error(error)); }

void Front::close_with_error(Connection& connection, const Error& error) {
  send_error(connection, error);
  connection.closing = true;
  if (connection.stream.unsent_bytes() == 0) close(connection);
}

void Front::close(Connection& connection) {
  if (connection.request_client != 0) {
    running_requests_.erase(connection.request_client);
    emit_(core::RequestCancelled{connection.request_client});
  }
  connection.stream.close();
  const auto found = connections_.find(connection.serial);
  if (found == connections_.end()) return;
  closed_.push_back(std::move(found->second));
  connections_.erase(found);
}

bool Front::has_unsent_output() const {
  return std::ranges::any_of(connections_, [](const auto& c) { return c.second->stream.unsent_bytes() > 0; });
}

}  // namespace bellstair::mysql
