// The platform's configuration and change log: JSON parsed into plain values. All functions here throw
// ConfigError for input that can't be used.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "core/events.hpp"
#include "heronwell/gateway.hpp"

namespace bellstair::config {

// Configuration that can't be used. The message is one line and names the field.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Maps the names used on the wire to their positions in the lists of the settings.
struct NameIndex {
  std::map<std::string, std::uint16_t, std::less<>> classes, zones, kinds;
  std::map<std::string, std::uint32_t, std::less<>> tenants;
  std::vector<std::string> class_names;  // by class index
  std::vector<std::string> load_fields;  // names of the values of a load report, in the order of the report
};

// One response of the change log.
struct ChangeLogEvents {
  std::uint64_t seq = 0;  // sequence number to continue reading from
  std::vector<core::MembershipChange> changes;
};

// The configuration file of a broker. Addresses are "IPv4:port"; one that is empty is not configured.
struct Config {
  // The name of this broker; where clients of the platform's protocol connect; the server of the change log;
  // where messages of other brokers arrive; the address that reaches all other brokers.
  std::string name, listen, changelog, peer_listen, peers_all;
  std::vector<std::string> peers;
  std::uint64_t seed = 0;  // of all random choices
  // File descriptors that the process may open, and its memory in MiB.
  std::size_t max_descriptors = 1024, memory_mb = 192;
  core::Time connect_timeout{}, idle_timeout{};  // of connections to engines
  heronwell::Settings settings;
  NameIndex names;
  ChangeLogEvents initial_membership;  // engines known at the start
  // Fields that only a restart can change: their JSON text by name, to detect a change at a reload.
  std::map<std::string, std::string> restart_only_fields;
};

// Returns the contents of the file at `path`. Throws ConfigError if it can't be read; the message begins with
// `what`, the purpose of the file.
[[nodiscard]] std::string read_file(const std::string& path, const char* what);
// Parses the configuration file.
[[nodiscard]] Config parse(std::string_view json);
// Parses a response of the change log. Results that are not about the fleet are skipped.
[[nodiscard]] ChangeLogEvents parse_changes(std::string_view json, const NameIndex& names);

}  // namespace bellstair::config
