// Packets of the MySQL client/server protocol (version 10, protocol 4.1): pure functions that decode payloads
// to values and encode values to payloads. Decoding is strict: all read functions throw Malformed for a
// payload that is truncated or contradicts itself. `attributes` tells whether kQueryAttributes has been
// negotiated.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "sql/value.hpp"

namespace bellstair::mysql {

// Input that violates the protocol. The message is sent to clients.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Capability flags, commands, column types and status flags, with the protocol's values.
inline constexpr std::uint32_t kLongPassword = 1, kConnectWithDb = 8, kProtocol41 = 1U << 9,
                               kTransactions = 1U << 13, kSecureConnection = 1U << 15, kPluginAuth = 1U << 19,
                               kConnectAttributes = 1U << 20, kLenencAuth = 1U << 21,
                               kQueryAttributes = 1U << 27;
inline constexpr std::uint8_t kQuit = 0x01, kQuery = 0x03, kPing = 0x0e, kPrepare = 0x16, kExecute = 0x17,
                              kCloseStatement = 0x19, kResetStatement = 0x1a;
inline constexpr std::uint8_t kTypeDouble = 0x05, kTypeNull = 0x06, kTypeLongLong = 0x08,
                              kTypeVarString = 0xfd, kTypeBlob = 0xfc;
inline constexpr std::uint16_t kAutocommit = 2;  // status flag
inline constexpr std::uint8_t kUtf8 = 45;        // character set utf8mb4_general_ci
inline constexpr const char* kNativePassword = "mysql_native_password";
inline constexpr const char* kCachingSha2 = "caching_sha2_password";
inline constexpr const char* kClearPassword = "mysql_clear_password";

// One packet; the sequence number counts the packets of a command.
struct Packet {
  std::uint8_t sequence = 0;
  std::string payload;
};

// Splits a stream of bytes into packets. A payload of more than `max_payload` bytes is malformed, which
// bounds the memory of a packet.
class PacketReader {
 public:
  explicit PacketReader(std::size_t max_payload) : max_payload_(max_payload) {}
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next complete packet; none if more bytes are needed. Throws Malformed for one that is too large.
  [[nodiscard]] std::optional<Packet> next();
  // Bytes received but not returned by next() yet.
  [[nodiscard]] std::size_t buffered() const { return buffer_.size(); }

 private:
  std::size_t max_payload_;
  std::string buffer_;
};

// Reads the fields of a payload in order; throws Malformed if it is too short. Returned views point into it.
class Cursor {
 public:
  explicit Cursor(std::string_view in) : in_(in) {}
  [[nodiscard]] std::uint64_t fixed_int(std::size_t size);  // `size` bytes (up to 8), little-endian
  std::uint8_t u8() { return static_cast<std::uint8_t>(fixed_int(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(fixed_int(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(fixed_int(4)); }
  [[nodiscard]] std::uint64_t lenenc_int();  // length-encoded integer
  [[nodiscard]] std::string_view bytes(std::size_t size);
  [[nodiscard]] std::string_view lenenc_string();  // length-encoded string
  [[nodiscard]] std::string_view null_string();    // up to a zero byte, which is consumed
  [[nodiscard]] std::string_view rest();
  [[nodiscard]] bool empty() const { return in_.empty(); }
  [[nodiscard]] std::size_t remaining() const { return in_.size(); }

 private:
  std::string_view in_;
};

// Builds a payload; the counterpart of Cursor.
class Writer {
 public:
  Writer& fixed_int(std::uint64_t value, std::size_t size);
  Writer& u8(std::uint8_t value) { return fixed_int(value, 1); }
  Writer& u16(std::uint16_t value) { return fixed_int(value, 2); }
  Writer& u32(std::uint32_t value) { return fixed_int(value, 4); }
  Writer& lenenc_int(std::uint64_t value);
  Writer& bytes(std::string_view value);
  Writer& lenenc_string(std::string_view value);
  Writer& null_string(std::string_view value);
  // The payload; the writer is empty afterwards.
  [[nodiscard]] std::string release() { return std::move(out_); }

 private:
  std::string out_;
};

// The packet: header and payload. The payload must be smaller than 16 MiB.
[[nodiscard]] std::string frame(std::uint8_t sequence, std::string_view payload);

// ---- handshake

// The server's first packet.
struct Greeting {
  std::string version, nonce, plugin;  // nonce: 20 bytes; plugin: authentication method
  std::uint32_t connection_id = 0, capabilities = 0;
};
[[nodiscard]] std::string write_greeting(const Greeting& greeting);
[[nodiscard]] Greeting read_greeting(std::string_view payload);

// The client's reply to the greeting.
struct Login {
  std::uint32_t capabilities = 0;
  std::string user, auth_response, plugin, database;
};
[[nodiscard]] std::string write_login(const Login& login);
[[nodiscard]] Login read_login(std::string_view payload);

// Proofs of a password for a nonce, by the methods mysql_native_password and caching_sha2_password. Empty for
// an empty password.
[[nodiscard]] std::string native_auth_response(std::string_view password, std::string_view nonce);
[[nodiscard]] std::string sha2_auth_response(std::string_view password, std::string_view nonce);
// Compares secrets of equal length in constant time.
[[nodiscard]] bool constant_time_equal(std::string_view a, std::string_view b);

// ---- responses

// An ERR packet: error code, SQLSTATE and message.
struct Error {
  std::uint16_t code = 0;
  std::string state, message;
};
// An OK packet without counts, and an EOF packet.
[[nodiscard]] std::string write_ok();
[[nodiscard]] std::string write_eof();
[[nodiscard]] std::string write_error(const Error& error);
[[nodiscard]] Error read_error(std::string_view payload);
// Whether the payload is that of an ERR or of an EOF packet.
[[nodiscard]] bool is_error(std::string_view payload);
[[nodiscard]] bool is_eof(std::string_view payload);
// A column definition; the column's name is the only text in it.
[[nodiscard]] std::string write_column(std::string_view name, std::uint8_t type);
// The type in a column definition.
[[nodiscard]] std::uint8_t read_column_type(std::string_view payload);

// A value of a row as text; none for NULL.
using Cell = std::optional<std::string>;
// Rows of the text protocol (responses to COM_QUERY) and of the binary protocol (COM_STMT_EXECUTE).
[[nodiscard]] std::string write_text_row(const std::vector<Cell>& cells);
[[nodiscard]] std::string write_binary_row(const std::vector<Cell>& cells);  // all columns as var_string
[[nodiscard]] std::vector<Cell> read_text_row(std::string_view payload, std::size_t columns);
// `types`: the type of each column.
[[nodiscard]] std::vector<Cell> read_binary_row(std::string_view payload,
                                                const std::vector<std::uint8_t>& types);

// ---- commands

// A query attribute: a named value that a client sends along with a statement.
struct Attribute {
  std::string name;
  sql::Value value;
};
// Types of a statement's parameters; a client sends them with the first execute only.
struct ParameterTypes {
  std::vector<std::uint16_t> types;
};
// COM_STMT_EXECUTE.
struct Execute {
  std::uint32_t statement_id = 0;
  std::vector<sql::Value> values;
  std::vector<Attribute> attributes;
};
// `parameters` is the number of placeholders. `types` holds the types from an earlier execute of the
// statement and is updated if the payload contains new ones.
[[nodiscard]] Execute read_execute(std::string_view payload, std::size_t parameters, bool attributes,
                                   ParameterTypes& types);
// The statement id of COM_STMT_EXECUTE, COM_STMT_RESET or COM_STMT_CLOSE.
[[nodiscard]] std::uint32_t read_statement_id(std::string_view payload);
[[nodiscard]] std::string write_execute(const Execute& execute, bool attributes);

// COM_QUERY.
struct Query {
  std::string text;
  std::vector<Attribute> attributes;
};
[[nodiscard]] Query read_query(std::string_view payload, bool attributes);
[[nodiscard]] std::string write_query(const Query& query, bool attributes);

// The first packet of the response to COM_STMT_PREPARE.
struct Prepared {
  std::uint32_t statement_id = 0;
  std::uint16_t columns = 0, parameters = 0;
};
[[nodiscard]] std::string write_prepared(const Prepared& prepared);
[[nodiscard]] Prepared read_prepared(std::string_view payload);

}  // namespace bellstair::mysql
