// Maps statements of MySQL clients to requests, and answers to MySQL errors, as documented in the README
// ("MySQL clients").
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "core/events.hpp"
#include "mysql/packet.hpp"
#include "sql/value.hpp"

namespace bellstair::mysql {

// Error codes of this front, in the range that MySQL leaves to applications (50000 and above).
inline constexpr std::uint16_t kRejected = 50001, kFailed = 50002, kTimedOut = 50003;
// Error codes of MySQL.
inline constexpr std::uint16_t kAccessDenied = 1045, kUnknownCommand = 1047, kEmptyQuery = 1065,
                               kTooLarge = 1153, kWrongArguments = 1210, kUnknownStatement = 1243,
                               kDirectoryDown = 1429, kMalformedPacket = 1835;

// Thrown for a statement that can't be mapped to a request; `error` is sent to the client.
struct MappingError {
  Error error;
};

// Maps a statement of the tenant with this index to a request. Options come from the statement's first
// comment and from query attributes; attributes take precedence. Throws MappingError. The caller sets the
// client handle and the ticket.
[[nodiscard]] core::ClientRequest map_statement(std::string_view statement,
                                                const std::vector<sql::Value>& values,
                                                const std::vector<Attribute>& attributes,
                                                std::uint32_t tenant, const config::NameIndex& names,
                                                const heronwell::Settings& settings);

// The MySQL error for an answer that is not `served`.
[[nodiscard]] Error to_error(const core::Answer& answer);

}  // namespace bellstair::mysql
