#include "mysql/engines.hpp"

#include <algorithm>

#include "sql/value.hpp"

namespace bellstair::mysql {
namespace {
using namespace std::chrono_literals;
using core::AttemptId;
using core::AttemptOutcome;

// Limits in bytes of a packet and of the rows of a result.
constexpr std::size_t kMaxPayload = std::size_t{4} << 20;
constexpr std::size_t kMaxResult = std::size_t{4} << 20;
constexpr std::size_t kMaxPreparedStatements = 128;  // per connection; beyond it the oldest is closed
constexpr core::Time kOutOfBandTimeout = 500ms;      // for the response to a KILL or a ping
constexpr std::uint32_t kClientCapabilities = kLongPassword | kProtocol41 | kTransactions |
                                              kSecureConnection | kPluginAuth | kLenencAuth |
                                              kQueryAttributes;
// Errors by which an engine reports that it can't accept work now. Before an execute, they prove that nothing
// has run.
constexpr std::uint16_t kTooManyConnections = 1040, kShuttingDown = 1053, kTooManyUserConnections = 1203;

std::string auth_response(const std::string& plugin, const std::string& password, const std::string& nonce) {
  return plugin == kCachingSha2 ? sha2_auth_response(password, nonce) : native_auth_response(password, nonce);
}

std::string command(std::uint8_t code, std::string_view text) {
  return Writer().u8(code).bytes(text).release();
}
}  // namespace

struct Engines::Session : net::Session {
  PacketReader reader{kMaxPayload};
  std::uint32_t connection_id = 0, capabilities = 0;
  bool greeting_received = false;
  std::string nonce;
  std::unordered_map<std::string, Prepared> prepared;
  std::deque<std::string> prepare_order;  // the statements in the order in which they were prepared
  [[nodiscard]] bool attributes() const { return (capabilities & kQueryAttributes) != 0; }
};

Engines::Engines(ev::loop_ref loop, net::ConnectionPool::Limits limits, config::MysqlEngines account,
                 std::vector<std::string> class_names, net::EventSink emit)
    : pool_(loop, limits,
            [this](Connection& c, std::function<void(bool)> done) { begin_handshake(c, std::move(done)); }),
      account_(std::move(account)),
      class_names_(std::move(class_names)),
      emit_(std::move(emit)) {}

// ---- handshake

void Engines::begin_handshake(Connection& connection, std::function<void(bool)> done) {
  connection.session = std::make_unique<Session>();
  connection.on_data = [this, &connection, done = std::move(done)](std::string_view bytes) {
    const auto callback = done;  // a copy, since `done` may replace this handler
    auto& session = static_cast<Session&>(*connection.session);
    session.reader.feed(bytes);
    try {
      if (const auto packet = session.reader.next()) continue_handshake(connection, *packet, callback);
    } catch (const Malformed&) {
      callback(false);
    }
  };
}

void Engines::continue_handshake(Connection& connection, const Packet& packet,
                                 const std::function<void(bool)>& done) {
  auto& session = static_cast<Session&>(*connection.session);
  const auto send = [&](std::string_view payload) {
    connection.stream.write(frame(static_cast<std::uint8_t>(packet.sequence + 1), payload));
  };
  if (packet.payload.empty() || is_error(packet.payload)) return done(false);
  if (!session.greeting_received) {
    const auto greeting = read_greeting(packet.payload);
    session.greeting_received = true;
    session.connection_id = greeting.connection_id;
    session.capabilities = greeting.capabilities & kClientCapabilities;
    session.nonce = greeting.nonce;
    if ((session.capabilities & kProtocol41) == 0) return done(false);
    const auto plugin = greeting.plugin == kCachingSha2 ? kCachingSha2 : kNativePassword;
    return send(write_login({session.capabilities | kLenencAuth,
                             account_.user,
                             auth_response(plugin, account_.password, session.nonce),
                             plugin,
                             {}}));
  }
  Cursor in(packet.payload);
  switch (in.u8()) {
    case 0x00:
      return done(true);
    case 0x01:  // caching_sha2_password: 3 is success; anything else asks for the password over TLS
      return in.u8() == 3 ? void() : done(false);
    case 0xfe: {
      const std::string plugin(in.null_string());
      if (plugin != kNativePassword && plugin != kCachingSha2) return done(false);
      session.nonce = std::string(in.rest().substr(0, 20));
      return send(auth_response(plugin, account_.password, session.nonce));
    }
    default:
      return done(false);
  }
}

// ---- effects

void Engines::run(const core::EngineUpdated& effect) {
  effect.usable ? pool_.set_address(effect.engine, effect.address) : pool_.remove_engine(effect.engine);
  if (effect.accepting) return;
  // A statement that is being prepared has not been executed yet and must not be once the engine drains.
  std::vector<AttemptId> unsent;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.engine == effect.engine && attempt.stage == Stage::preparing) unsent.push_back(id);
  }
  for (const auto id : unsent) run(core::CancelAttempt{id});
}

void Engines::tick(core::Time now) {
  now_ = now;
  pool_.tick(now);
  timeout_timers_.advance(now, [this](std::uint64_t serial) {
    const auto found = timeout_handlers_.find(serial);
    if (found == timeout_handlers_.end()) return;
    const auto on_timeout = std::move(found->second);
    timeout_handlers_.erase(found);
    on_timeout();
  });
}

void Engines::run(const core::StartAttempt& effect) {
  const auto id = effect.id;
  auto& attempt = attempts_[id];
  attempt.engine = effect.engine;
  attempt.result.id = id;
  attempt.waiter_id = pool_.acquire(effect.engine, [this, id](Connection* connection) {
    if (connection == nullptr) return end_attempt(id, AttemptOutcome::connect_failed);
    auto& waiting_attempt = attempts_.at(id);
    waiting_attempt.connection = connection;
    waiting_attempt.stage = Stage::ready;
    connection->on_data = [this, id](std::string_view bytes) { handle_data(id, bytes); };
    connection->on_lost = [this, id](bool) { on_connection_lost(id); };
    emit_(core::AttemptReady{id});
  });
}

void Engines::run(core::Transmit& effect) {
  const auto found = attempts_.find(effect.id);
  if (found == attempts_.end() || found->second.stage != Stage::ready) return;
  auto& attempt = found->second;
  attempt.request = std::move(effect);
  auto& session = static_cast<Session&>(*attempt.connection->session);
  if (attempt.request.parameters.empty()) return execute(attempt.request.id, attempt);
  if (const auto cached = session.prepared.find(attempt.request.body); cached != session.prepared.end()) {
    attempt.prepared = cached->second;
    return execute(attempt.request.id, attempt);
  }
  attempt.stage = Stage::preparing;
  attempt.connection->stream.write(frame(0, command(kPrepare, attempt.request.body)));
}

// Until this writes the command, nothing has run; once a byte is sent, the statement may have run.
void Engines::execute(AttemptId id, Attempt& attempt) {
  const auto& request = attempt.request;
  auto& session = static_cast<Session&>(*attempt.connection->session);
  std::vector<Attribute> attributes;
  if (session.attributes()) {
    attributes = {{"ticket", request.ticket},
                  {"class", class_names_.at(request.class_index)},
                  {"limit", static_cast<std::int64_t>(request.timeout / 1ms)},
                  {"priority", static_cast<std::int64_t>(request.priority)}};
    if (!request.idempotency_key.empty()) attributes.push_back({"unique", request.idempotency_key});
    if (request.memory_mb >= 1)
      attributes.push_back({"memory", static_cast<std::int64_t>(request.memory_mb)});
  }
  std::string payload;
  if (request.parameters.empty()) {
    payload = write_query({request.body, attributes}, session.attributes());
  } else {
    auto values = sql::decode_values(request.parameters);
    if (!values || values->size() != attempt.prepared.parameters)
      return end_attempt(id, AttemptOutcome::error, "the engine counts other parameters");
    payload =
        write_execute({attempt.prepared.statement_id, std::move(*values), attributes}, session.attributes());
  }
  attempt.stage = Stage::executing;
  attempt.connection->stream.write(frame(0, payload));
}

void Engines::run(const core::CancelAttempt& effect) {
  const auto id = effect.id;
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  switch (attempt.stage) {
    case Stage::connecting:
      pool_.cancel(attempt.engine, attempt.waiter_id);
      return end_attempt(id, AttemptOutcome::expired);
    case Stage::ready:
      return end_attempt(id, AttemptOutcome::expired);
    case Stage::preparing:
      // The response is still to come and must not be taken for that of another command.
      pool_.discard(*std::exchange(attempt.connection, nullptr));
      return end_attempt(id, AttemptOutcome::expired);
    case Stage::executing: {
      attempt.stage = Stage::cancelling;
      const auto connection_id = static_cast<Session&>(*attempt.connection->session).connection_id;
      return kill_connection(attempt.engine, connection_id,
                             [this, id] { end_attempt(id, AttemptOutcome::cancelled); });
    }
    case Stage::cancelling:
      return;
  }
}

void Engines::kill_connection(core::EngineId engine, std::uint32_t connection_id,
                              std::function<void()> done) {
  run_out_of_band(engine, command(kQuery, "KILL " + std::to_string(connection_id)),
                  [done = std::move(done)](bool, bool) { done(); });
}

void Engines::run(const core::ProbeEngine& effect) {
  const auto engine = effect.engine;
  run_out_of_band(engine, command(kPing, {}), [this, engine](bool connected, bool responded) {
    const auto result = !connected  ? heronwell::AttemptStatus::connect_failed
                        : responded ? heronwell::AttemptStatus::served
                                    : heronwell::AttemptStatus::timed_out;
    emit_(core::ProbeEnded{engine, result, {}});
  });
}

void Engines::run_out_of_band(core::EngineId engine, std::string payload,
                              std::function<void(bool, bool)> done) {
  pool_.acquire(engine, [this, payload = std::move(payload), done = std::move(done)](Connection* connection) {
    if (connection == nullptr) return done(false, false);
    auto& session = static_cast<Session&>(*connection->session);
    if (session.attributes() && static_cast<std::uint8_t>(payload[0]) == kQuery) {
      connection->stream.write(frame(0, write_query({payload.substr(1), {}}, true)));
    } else {
      connection->stream.write(frame(0, payload));
    }
    const auto serial = ++last_serial_;
    timeout_handlers_[serial] = [this, connection, done] {
      pool_.discard(*connection);
      done(true, false);
    };
    timeout_timers_.arm(now_ + kOutOfBandTimeout, serial);
    connection->on_data = [this, connection, serial, &session, done](std::string_view bytes) {
      const auto callback = done;
      session.reader.feed(bytes);
      bool complete_response = false;
      try {
        complete_response = session.reader.next().has_value();
      } catch (const Malformed&) {
        return;  // until the timeout
      }
      if (!complete_response || timeout_handlers_.erase(serial) == 0) return;
      session.reader.buffered() == 0 ? pool_.release(*connection) : pool_.discard(*connection);
      callback(true, true);
    };
    connection->on_lost = [this, serial](bool) {
      const auto found = timeout_handlers_.find(serial);
      if (found == timeout_handlers_.end()) return;
      const auto on_timeout = std::move(found->second);
      timeout_handlers_.erase(found);
      on_timeout();
    };
  });
}

// ---- responses

void Engines::handle_data(AttemptId id, std::string_view bytes) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto* connection = found->second.connection;
  auto& reader = static_cast<Session&>(*connection->session).reader;
  reader.feed(bytes);
  try {
    while (true) {
      const auto current = attempts_.find(id);
      if (current == attempts_.end() || current->second.connection != connection) return;
      const auto packet = reader.next();
      if (!packet) return;
      handle_packet(id, current->second, *packet);
    }
  } catch (const Malformed&) {
    on_connection_lost(id);
  }
}

void Engines::handle_packet(AttemptId id, Attempt& attempt, const Packet& packet) {
  if (packet.payload.empty()) throw Malformed("empty packet in a response");
  switch (attempt.stage) {
    case Stage::preparing:
      return handle_prepare_response(id, attempt, packet.payload);
    case Stage::executing:
    case Stage::cancelling:
      return handle_result(id, attempt, packet.payload);
    case Stage::connecting:
    case Stage::ready:
      throw Malformed("response without a command");
  }
}

void Engines::handle_prepare_response(AttemptId id, Attempt& attempt, const std::string& payload) {
  auto& session = static_cast<Session&>(*attempt.connection->session);
  if (attempt.pending_definitions > 0) {
    if (--attempt.pending_definitions > 0) return;
  } else {
    if (is_error(payload)) {
      const auto error = read_error(payload);
      const bool unavailable = error.code == kTooManyConnections || error.code == kShuttingDown ||
                               error.code == kTooManyUserConnections;
      // Nothing has run. Any other error lies in the statement, so every engine would report it.
      return end_attempt(id, unavailable ? AttemptOutcome::rejected : AttemptOutcome::error, error.message);
    }
    attempt.prepared = read_prepared(payload);
    const auto packets = [](std::size_t count) {
      return count == 0 ? 0 : count + 1;
    };  // each list ends with an EOF packet
    attempt.pending_definitions = packets(attempt.prepared.parameters) + packets(attempt.prepared.columns);
    if (attempt.pending_definitions > 0) return;
  }
  if (session.prepare_order.size() >= kMaxPreparedStatements) {
    const auto oldest = session.prepared.find(session.prepare_order.front());
    attempt.connection->stream.write(
        frame(0, Writer().u8(kCloseStatement).u32(oldest->second.statement_id).release()));
    session.prepared.erase(oldest);
    session.prepare_order.pop_front();
  }
  session.prepared[attempt.request.body] = attempt.prepared;
  session.prepare_order.push_back(attempt.request.body);
  execute(id, attempt);
}

void Engines::handle_result(AttemptId id, Attempt& attempt, const std::string& payload) {
  if (is_error(payload)) {
    const auto error = read_error(payload);
    if (attempt.stage == Stage::cancelling) return;  // ended by the response to the KILL
    return end_attempt(id, AttemptOutcome::error, error.message);
  }
  const bool binary = !attempt.request.parameters.empty();
  if (attempt.column_count == 0) {
    Cursor in(payload);
    if (static_cast<std::uint8_t>(payload[0]) == 0) {
      static_cast<void>(in.u8());
      attempt.schema.has_rows = false;
      attempt.schema.affected_rows = in.lenenc_int();
      attempt.schema.insert_id = in.lenenc_int();
      return end_attempt(id, AttemptOutcome::served);
    }
    attempt.column_count = in.lenenc_int();
    if (attempt.column_count > 4096) throw Malformed("too many columns");
    return;
  }
  if (attempt.column_types.size() < attempt.column_count) {
    Cursor in(payload);
    for (int i = 0; i < 4; ++i) static_cast<void>(in.lenenc_string());
    attempt.schema.column_names.emplace_back(in.lenenc_string());
    attempt.column_types.push_back(read_column_type(payload));
    return;
  }
  if (is_eof(payload)) {
    if (attempt.reading_rows) return end_attempt(id, AttemptOutcome::served);
    attempt.reading_rows = true;
    return;
  }
  if (!attempt.reading_rows) throw Malformed("rows before the end of the columns");
  append_row(attempt.result.body, binary ? read_binary_row(payload, attempt.column_types)
                                         : read_text_row(payload, attempt.column_count));
  if (attempt.result.body.size() > kMaxResult) throw Malformed("a result is too large");
}

// The connection was closed, or its peer has violated the protocol.
void Engines::on_connection_lost(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto& attempt = found->second;
  if (attempt.connection != nullptr) pool_.discard(*std::exchange(attempt.connection, nullptr));
  switch (attempt.stage) {
    case Stage::connecting:
    case Stage::ready:
    case Stage::preparing:
      return end_attempt(id, AttemptOutcome::connect_failed);  // it was never executed
    case Stage::executing:
      return end_attempt(id, AttemptOutcome::connection_reset);  // it may have been
    case Stage::cancelling:
      return end_attempt(id, AttemptOutcome::cancelled);
  }
}

void Engines::end_attempt(AttemptId id, AttemptOutcome outcome, std::string message) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return;
  auto attempt = std::move(found->second);
  attempts_.erase(found);
  if (attempt.connection != nullptr) {
    // A connection that was killed, or on which a response is pending, can't be reused.
    const bool reusable = outcome == AttemptOutcome::served || outcome == AttemptOutcome::expired ||
                          outcome == AttemptOutcome::error || outcome == AttemptOutcome::rejected;
    // Bytes after a response would be taken for the response to the next command.
    const auto& reader = static_cast<Session&>(*attempt.connection->session).reader;
    reusable&& reader.buffered() == 0 ? pool_.release(*attempt.connection)
                                      : pool_.discard(*attempt.connection);
  }
  attempt.result.outcome = outcome;
  if (outcome == AttemptOutcome::served) {
    attempt.result.result_schema = encode_schema(attempt.schema);
  } else {
    attempt.result.body = std::move(message);
  }
  emit_(std::move(attempt.result));
}

}  // namespace bellstair::mysql
