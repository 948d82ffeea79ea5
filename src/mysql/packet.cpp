#include "mysql/packet.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <bit>
#include <charconv>
#include <cstdio>

namespace bellstair::mysql {
namespace {

// Sizes in bytes, and first bytes of packets and of a text row's column.
constexpr std::size_t kHeaderSize = 4;
constexpr std::size_t kNonceSize = 20;
constexpr std::uint8_t kEofHeader = 0xfe, kErrorHeader = 0xff, kNullColumn = 0xfb;

std::string digest(const EVP_MD* algorithm, std::string_view a, std::string_view b = {}) {
  std::string joined(a);
  joined.append(b);
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned size = 0;
  EVP_Digest(joined.data(), joined.size(), out.data(), &size, algorithm, nullptr);
  return {reinterpret_cast<const char*>(out.data()), size};
}

std::string xor_bytes(std::string a, std::string_view b) {
  for (std::size_t i = 0; i < a.size(); ++i) a[i] = static_cast<char>(a[i] ^ b[i]);
  return a;
}

template <class Float, class Bits>
double to_double(std::uint64_t bits) {
  return static_cast<double>(std::bit_cast<Float>(static_cast<Bits>(bits)));
}

// The last two decimal digits.
std::string two_digits(unsigned value) {
  std::array<char, 8> out{};
  std::snprintf(out.data(), out.size(), "%02u", value % 100);
  return out.data();
}

// Dates and times are sent as fields; fields at the end that are zero are omitted.
std::string read_date_time(Cursor& in) {
  const auto size = in.u8();
  if (size != 0 && size != 4 && size != 7 && size != 11) throw Malformed("a date of a wrong length");
  const unsigned year = size >= 4 ? in.u16() : 0U, month = size >= 4 ? in.u8() : 0U,
                 day = size >= 4 ? in.u8() : 0U;
  std::string out =
      two_digits(year / 100) + two_digits(year) + "-" + two_digits(month) + "-" + two_digits(day);
  if (size < 7) return out;
  const unsigned hour = in.u8(), minute = in.u8(), second = in.u8();
  out += " " + two_digits(hour) + ":" + two_digits(minute) + ":" + two_digits(second);
  if (size < 11) return out;
  std::array<char, 16> micros{};
  std::snprintf(micros.data(), micros.size(), ".%06u", in.u32() % 1000000);
  return out + micros.data();
}

std::string read_time(Cursor& in) {
  const auto size = in.u8();
  if (size != 0 && size != 8 && size != 12) throw Malformed("a time of a wrong length");
  if (size == 0) return "00:00:00";
  const bool negative = in.u8() != 0;
  const auto days = in.u32();
  const unsigned hour = in.u8(), minute = in.u8(), second = in.u8();
  std::string out = (negative ? "-" : "") + std::to_string(std::uint64_t{days} * 24 + hour) + ":" +
                    two_digits(minute) + ":" + two_digits(second);
  if (size < 12) return out;
  std::array<char, 16> micros{};
  std::snprintf(micros.data(), micros.size(), ".%06u", in.u32() % 1000000);
  return out + micros.data();
}

sql::Value read_binary_value(Cursor& in, std::uint16_t type) {
  const bool is_unsigned = (type & 0x8000U) != 0;
  const auto read_integer = [&](std::size_t size) -> sql::Value {
    const auto raw = in.fixed_int(size);
    if (is_unsigned) return raw;
    const auto shift = 64 - 8 * size;
    return static_cast<std::int64_t>(raw << shift) >> shift;  // sign-extended
  };
  switch (type & 0xff) {
    case 0x01:  // tiny
      return read_integer(1);
    case 0x02:  // short
    case 0x0d:  // year
      return read_integer(2);
    case 0x03:  // long
    case 0x09:  // int24
      return read_integer(4);
    case kTypeLongLong:
      return read_integer(8);
    case 0x04:  // float
      return to_double<float, std::uint32_t>(in.fixed_int(4));
    case kTypeDouble:
      return to_double<double, std::uint64_t>(in.fixed_int(8));
    case kTypeNull:
      return sql::Null{};
    case 0x07:  // timestamp
    case 0x0a:  // date
    case 0x0c:  // datetime
      return read_date_time(in);
    case 0x0b:  // time
      return read_time(in);
    case 0xf9:  // tiny blob
    case 0xfa:  // medium blob
    case 0xfb:  // long blob
    case kTypeBlob:
      return sql::Bytes{std::string(in.lenenc_string())};
    case 0x00:  // decimal
    case 0x0f:  // varchar
    case 0x10:  // bit
    case 0xf5:  // json
    case 0xf6:  // new decimal
    case 0xf7:  // enum
    case 0xf8:  // set
    case kTypeVarString:
    case 0xfe:  // string
      return std::string(in.lenenc_string());
    default:
      throw Malformed("a parameter of an unknown type");
  }
}

std::uint16_t parameter_type(const sql::Value& value) {
  switch (value.index()) {
    case 0:
      return kTypeNull;
    case 1:
      return kTypeLongLong;
    case 2:
      return kTypeLongLong | 0x8000U;
    case 3:
      return kTypeDouble;
    case 4:
      return kTypeVarString;
    default:
      return kTypeBlob;
  }
}

void write_value(Writer& out, const sql::Value& value) {
  if (const auto* i = std::get_if<std::int64_t>(&value)) out.fixed_int(static_cast<std::uint64_t>(*i), 8);
  if (const auto* u = std::get_if<std::uint64_t>(&value)) out.fixed_int(*u, 8);
  if (const auto* d = std::get_if<double>(&value)) out.fixed_int(std::bit_cast<std::uint64_t>(*d), 8);
  if (const auto* text = std::get_if<std::string>(&value)) out.lenenc_string(*text);
  if (const auto* bytes = std::get_if<sql::Bytes>(&value)) out.lenenc_string(bytes->bytes);
}

std::string null_bitmap(const std::vector<sql::Value>& values) {
  std::string out((values.size() + 7) / 8, '\0');
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (std::holds_alternative<sql::Null>(values[i]))
      out[i / 8] = static_cast<char>(out[i / 8] | (1 << (i % 8)));
  }
  return out;
}

bool test_bit(std::string_view bits, std::size_t i) {
  return ((static_cast<unsigned char>(bits[i / 8]) >> (i % 8)) & 1U) != 0;
}

constexpr std::size_t kMaxParameters = 4096;

}  // namespace

// ---- framing

std::optional<Packet> PacketReader::next() {
  if (buffer_.size() < kHeaderSize) return std::nullopt;
  const auto byte = [this](std::size_t i) {
    return static_cast<std::size_t>(static_cast<unsigned char>(buffer_[i]));
  };
  const auto size = byte(0) | byte(1) << 8 | byte(2) << 16;
  if (size > max_payload_) throw Malformed("a packet is too large");
  if (buffer_.size() < kHeaderSize + size) return std::nullopt;
  Packet out{static_cast<std::uint8_t>(byte(3)), buffer_.substr(kHeaderSize, size)};
  buffer_.erase(0, kHeaderSize + size);
  return out;
}

std::uint64_t Cursor::fixed_int(std::size_t size) {
  const auto raw = bytes(size);
  std::uint64_t value = 0;
  for (std::size_t i = size; i-- > 0;) value = value << 8 | static_cast<unsigned char>(raw[i]);
  return value;
}

std::uint64_t Cursor::lenenc_int() {
  switch (const auto first = u8()) {
    case 0xfc:
      return fixed_int(2);
    case 0xfd:
      return fixed_int(3);
    case 0xfe:
      return fixed_int(8);
    case 0xfb:
    case 0xff:
      throw Malformed("a length that is none");
    default:
      return first;
  }
}

std::string_view Cursor::bytes(std::size_t size) {
  if (size > in_.size()) throw Malformed("a packet is cut short");
  const auto out = in_.substr(0, size);
  in_.remove_prefix(size);
  return out;
}

std::string_view Cursor::lenenc_string() { return bytes(lenenc_int()); }

std::string_view Cursor::null_string() {
  const auto end = in_.find('\0');
  if (end == std::string_view::npos) throw Malformed("a text without its end");
  const auto out = bytes(end);
  in_.remove_prefix(1);
  return out;
}

std::string_view Cursor::rest() { return bytes(in_.size()); }

Writer& Writer::fixed_int(std::uint64_t value, std::size_t size) {
  for (std::size_t i = 0; i < size; ++i) out_.push_back(static_cast<char>(value >> (8 * i)));
  return *this;
}

Writer& Writer::lenenc_int(std::uint64_t value) {
  if (value < 0xfb) return fixed_int(value, 1);
  if (value < 0x10000) return fixed_int(0xfc, 1).fixed_int(value, 2);
  if (value < 0x1000000) return fixed_int(0xfd, 1).fixed_int(value, 3);
  return fixed_int(0xfe, 1).fixed_int(value, 8);
}

Writer& Writer::bytes(std::string_view value) {
  out_.append(value);
  return *this;
}
Writer& Writer::lenenc_string(std::string_view value) { return lenenc_int(value.size()).bytes(value); }
Writer& Writer::null_string(std::string_view value) { return bytes(value).u8(0); }

std::string frame(std::uint8_t sequence, std::string_view payload) {
  return Writer().fixed_int(payload.size(), 3).u8(sequence).bytes(payload).release();
}

// ---- handshake

std::string write_greeting(const Greeting& greeting) {
  return Writer()
      .u8(10)
      .null_string(greeting.version)
      .u32(greeting.connection_id)
      .null_string(greeting.nonce.substr(0, 8))
      .u16(static_cast<std::uint16_t>(greeting.capabilities))
      .u8(kUtf8)
      .u16(kAutocommit)
      .u16(static_cast<std::uint16_t>(greeting.capabilities >> 16))
      .u8(kNonceSize + 1)
      .bytes(std::string(10, '\0'))
      .null_string(greeting.nonce.substr(8))
      .null_string(greeting.plugin)
      .release();
}

Greeting read_greeting(std::string_view payload) {
  Cursor in(payload);
  Greeting out;
  if (in.u8() != 10) throw Malformed("a handshake of another version");
  out.version = in.null_string();
  out.connection_id = in.u32();
  out.nonce = in.bytes(8);
  static_cast<void>(in.u8());
  out.capabilities = in.u16();
  static_cast<void>(in.bytes(3));  // character set and status
  out.capabilities |= static_cast<std::uint32_t>(in.u16()) << 16;
  const auto size = in.u8();
  static_cast<void>(in.bytes(10));
  if ((out.capabilities & kSecureConnection) != 0) {
    const auto second_part = in.bytes(std::max<std::size_t>(13, size > 8 ? size - 8U : 0U));
    out.nonce.append(second_part.substr(0, kNonceSize - 8));
  }
  if ((out.capabilities & kPluginAuth) != 0) out.plugin = in.null_string();
  return out;
}

std::string write_login(const Login& login) {
  Writer out;
  out.u32(login.capabilities).u32(1U << 24).u8(kUtf8).bytes(std::string(23, '\0')).null_string(login.user);
  out.lenenc_string(login.auth_response);  // the callers always set kLenencAuth
  if ((login.capabilities & kConnectWithDb) != 0) out.null_string(login.database);
  if ((login.capabilities & kPluginAuth) != 0) out.null_string(login.plugin);
  return out.release();
}

Login read_login(std::string_view payload) {
  Cursor in(payload);
  Login out;
  out.capabilities = in.u32();
  if ((out.capabilities & kProtocol41) == 0) throw Malformed("a client older than protocol 4.1");
  static_cast<void>(in.bytes(4 + 1 + 23));
  out.user = in.null_string();
  if ((out.capabilities & kLenencAuth) != 0) {
    out.auth_response = in.lenenc_string();
  } else if ((out.capabilities & kSecureConnection) != 0) {
    out.auth_response = in.bytes(in.u8());
  } else {
    out.auth_response = in.null_string();
  }
  if ((out.capabilities & kConnectWithDb) != 0) out.database = in.null_string();
  if ((out.capabilities & kPluginAuth) != 0 && !in.empty()) out.plugin = in.null_string();
  if ((out.capabilities & kConnectAttributes) != 0 && !in.empty()) static_cast<void>(in.lenenc_string());
  return out;
}

std::string native_auth_response(std::string_view password, std::string_view nonce) {
  if (password.empty()) return {};
  const auto password_hash = digest(EVP_sha1(), password);
  return xor_bytes(password_hash, digest(EVP_sha1(), nonce, digest(EVP_sha1(), password_hash)));
}

std::string sha2_auth_response(std::string_view password, std::string_view nonce) {
  if (password.empty()) return {};
  const auto password_hash = digest(EVP_sha256(), password);
  return xor_bytes(password_hash, digest(EVP_sha256(), digest(EVP_sha256(), password_hash), nonce));
}

bool constant_time_equal(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

// ---- responses

std::string write_ok() {
  return Writer().u8(0).lenenc_int(0).lenenc_int(0).u16(kAutocommit).u16(0).release();
}
std::string write_eof() { return Writer().u8(kEofHeader).u16(0).u16(kAutocommit).release(); }

std::string write_error(const Error& error) {
  return Writer().u8(kErrorHeader).u16(error.code).u8('#').bytes(error.state).bytes(error.message).release();
}

Error read_error(std::string_view payload) {
  Cursor in(payload);
  Error out;
  static_cast<void>(in.u8());
  out.code = in.u16();
  out.message = in.rest();
  if (out.message.size() >= 6 && out.message[0] == '#') {
    out.state = out.message.substr(1, 5);
    out.message.erase(0, 6);
  }
  return out;
}

bool is_error(std::string_view payload) {
  return !payload.empty() && static_cast<std::uint8_t>(payload[0]) == kErrorHeader;
}
bool is_eof(std::string_view payload) {
  return !payload.empty() && payload.size() < 9 && static_cast<std::uint8_t>(payload[0]) == kEofHeader;
}

std::string write_column(std::string_view name, std::uint8_t type) {
  return Writer()
      .lenenc_string("def")
      .lenenc_string("")
      .lenenc_string("")
      .lenenc_string("")
      .lenenc_string(name)
      .lenenc_string(name)
      .lenenc_int(0x0c)
      .u16(kUtf8)
      .u32(65535)
      .u8(type)
      .u16(0)
      .u8(0)
      .u16(0)
      .release();
}

std::uint8_t read_column_type(std::string_view payload) {
  Cursor in(payload);
  for (int i = 0; i < 6; ++i) static_cast<void>(in.lenenc_string());
  static_cast<void>(in.lenenc_int());
  static_cast<void>(in.bytes(2 + 4));
  return in.u8();
}

std::string write_text_row(const std::vector<Cell>& cells) {
  Writer out;
  for (const auto& cell : cells) cell ? out.lenenc_string(*cell) : out.u8(kNullColumn);
  return out.release();
}

std::string write_binary_row(const std::vector<Cell>& cells) {
  std::string nulls((cells.size() + 7 + 2) / 8, '\0');
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (!cells[i]) nulls[(i + 2) / 8] = static_cast<char>(nulls[(i + 2) / 8] | (1 << ((i + 2) % 8)));
  }
  Writer out;
  out.u8(0).bytes(nulls);
  for (const auto& cell : cells) {
    if (cell) out.lenenc_string(*cell);
  }
  return out.release();
}

std::vector<Cell> read_text_row(std::string_view payload, std::size_t columns) {
  Cursor in(payload);
  std::vector<Cell> out;
  for (std::size_t i = 0; i < columns; ++i) {
    if (static_cast<std::uint8_t>(payload[payload.size() - in.remaining()]) == kNullColumn) {
      static_cast<void>(in.u8());
      out.emplace_back();
    } else {
      out.emplace_back(std::string(in.lenenc_string()));
    }
  }
  if (!in.empty()) throw Malformed("a row is longer than its columns");
  return out;
}

std::vector<Cell> read_binary_row(std::string_view payload, const std::vector<std::uint8_t>& types) {
  Cursor in(payload);
  if (in.u8() != 0) throw Malformed("no binary row");
  const auto nulls = in.bytes((types.size() + 7 + 2) / 8);
  std::vector<Cell> out;
  for (std::size_t i = 0; i < types.size(); ++i) {
    out.emplace_back(test_bit(nulls, i + 2) ? Cell() : sql::to_text(read_binary_value(in, types[i])));
  }
  if (!in.empty()) throw Malformed("a row is longer than its columns");
  return out;
}

// ---- commands

std::uint32_t read_statement_id(std::string_view payload) {
  Cursor in(payload);
  static_cast<void>(in.u8());
  return in.u32();
}

Execute read_execute(std::string_view payload, std::size_t parameters, bool attributes,
                     ParameterTypes& types) {
  Cursor in(payload);
  Execute out;
  static_cast<void>(in.u8());
  out.statement_id = in.u32();
  const auto flags = in.u8();
  if ((flags & 7U) != 0) throw Malformed("cursors are not offered");
  static_cast<void>(in.u32());  // iterations, always 1
  constexpr std::uint8_t kParameterCountSent = 8;
  const bool count_sent = attributes && (flags & kParameterCountSent) != 0;
  std::size_t count = parameters;
  if (count_sent) count = in.lenenc_int();
  if (count < parameters || count > kMaxParameters) throw Malformed("a wrong number of parameters");
  if (count == 0) {
    if (!in.empty()) throw Malformed("values without parameters");
    return out;
  }
  const auto nulls = in.bytes((count + 7) / 8);
  std::vector<std::string> names(count);
  if (in.u8() != 0) {
    types.types.clear();
    for (std::size_t i = 0; i < count; ++i) {
      types.types.push_back(in.u16());
      if (count_sent) names[i] = in.lenenc_string();
    }
  }
  if (types.types.size() != count) throw Malformed("parameters without types");
  for (std::size_t i = 0; i < count; ++i) {
    auto value = test_bit(nulls, i) ? sql::Value(sql::Null{}) : read_binary_value(in, types.types[i]);
    if (i < parameters) {
      out.values.push_back(std::move(value));
    } else {
      out.attributes.push_back({names[i], std::move(value)});
    }
  }
  if (!in.empty()) throw Malformed("bytes after the last parameter");
  return out;
}

std::string write_execute(const Execute& execute, bool attributes) {
  auto values = execute.values;
  if (attributes) {
    for (const auto& attribute : execute.attributes) values.push_back(attribute.value);
  }
  Writer out;
  out.u8(kExecute).u32(execute.statement_id).u8(attributes ? 8 : 0).u32(1);
  if (attributes) out.lenenc_int(values.size());
  if (values.empty()) return out.release();
  out.bytes(null_bitmap(values)).u8(1);
  for (std::size_t i = 0; i < values.size(); ++i) {
    out.u16(parameter_type(values[i]));
    if (!attributes) continue;
    const bool is_attribute = i >= execute.values.size();
    out.lenenc_string(is_attribute ? execute.attributes[i - execute.values.size()].name : std::string());
  }
  for (const auto& value : values) write_value(out, value);
  return out.release();
}

Query read_query(std::string_view payload, bool attributes) {
  Cursor in(payload);
  Query out;
  static_cast<void>(in.u8());
  if (attributes) {
    const auto count = in.lenenc_int();
    if (in.lenenc_int() != 1) throw Malformed("more than one set of attributes");
    if (count > kMaxParameters) throw Malformed("too many attributes");
    if (count > 0) {
      const auto nulls = in.bytes((count + 7) / 8);
      if (in.u8() != 1) throw Malformed("attributes without types");
      std::vector<std::uint16_t> types;
      for (std::uint64_t i = 0; i < count; ++i) {
        types.push_back(in.u16());
        out.attributes.push_back({std::string(in.lenenc_string()), sql::Null{}});
      }
      for (std::size_t i = 0; i < count; ++i) {
        if (!test_bit(nulls, i)) out.attributes[i].value = read_binary_value(in, types[i]);
      }
    }
  }
  out.text = in.rest();
  return out;
}

std::string write_query(const Query& query, bool attributes) {
  Writer out;
  out.u8(kQuery);
  if (attributes) {
    out.lenenc_int(query.attributes.size()).lenenc_int(1);
    if (!query.attributes.empty()) {
      std::vector<sql::Value> values;
      for (const auto& attribute : query.attributes) values.push_back(attribute.value);
      out.bytes(null_bitmap(values)).u8(1);
      for (const auto& attribute : query.attributes)
        out.u16(parameter_type(attribute.value)).lenenc_string(attribute.name);
      for (const auto& value : values) write_value(out, value);
    }
  }
  return out.bytes(query.text).release();
}

std::string write_prepared(const Prepared& prepared) {
  return Writer()
      .u8(0)
      .u32(prepared.statement_id)
      .u16(prepared.columns)
      .u16(prepared.parameters)
      .u8(0)
      .u16(0)
      .release();
}

Prepared read_prepared(std::string_view payload) {
  Cursor in(payload);
  if (in.u8() != 0) throw Malformed("no answer to a prepare");
  Prepared out;
  out.statement_id = in.u32();
  out.columns = in.u16();
  out.parameters = in.u16();
  return out;
}

}  // namespace bellstair::mysql
