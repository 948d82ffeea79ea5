#include "config/config.hpp"

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/read.hpp"
#include "simulator/protocol.hpp"

namespace bellstair::config {
namespace {
using nlohmann::json;
using namespace std::chrono_literals;

// A broker is held to what an unreachable change log would have reported from this long after the beginning
// of the outage on, and does not know what that is.
constexpr core::Time kMembershipLease = 7s;

template <class Number>
std::optional<Number> parse_hex(std::string_view digits) {
  Number value = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  if (digits.empty() || error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  return value;
}

// Derives the engine id from its name alone, so that all brokers use the same id in messages to each other.
heronwell::EngineId engine_id(std::string_view name) {
  const auto dash = name.rfind('-');
  if (dash != std::string_view::npos && name.size() - dash == 9) {
    if (const auto id = parse_hex<std::uint32_t>(name.substr(dash + 1))) return *id;
  }
  std::uint32_t hash = 2166136261U;  // FNV-1a
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  return hash;
}

core::Member parse_member(const json& in, const NameIndex& names) {
  require_object(in, "servers[]");
  core::Member out;
  out.entry.engine = engine_id(string_value(require_field(in, "id"), "servers[].id"));
  const auto state = string_value(require_field(in, "state"), "servers[].state");
  out.entry.state = state == "in_service"    ? heronwell::EngineState::ready
                    : state == "terminating" ? heronwell::EngineState::draining
                    : state == "terminated"  ? heronwell::EngineState::gone
                                             : (throw_field_error("servers[].state", "has an unknown value"),
                                               heronwell::EngineState::gone);
  out.address = optional_string(in, "addr");
  if (out.address.empty() && out.entry.state != heronwell::EngineState::gone)
    throw_field_error("servers[].addr", "is missing");
  const auto index = [](const auto& map, const std::string& key) {
    const auto found = map.find(key);
    return found == map.end() ? static_cast<std::uint16_t>(0) : static_cast<std::uint16_t>(found->second);
  };
  out.entry.zone = index(names.zones, optional_string(in, "zone"));
  const auto kind = optional_string(in, "kind");
  if (!kind.empty() && !names.kinds.contains(kind))
    throw_field_error("servers[].kind", "is not defined in settings");
  out.entry.kind = index(names.kinds, kind);
  if (const auto cell = in.find("cell"); cell != in.end() && cell->is_number_unsigned())
    out.entry.cell = cell->get<std::uint16_t>();
  if (const auto weight = in.find("weight"); weight != in.end() && weight->is_number())
    out.entry.weight = weight->get<double>();
  if (const auto started = in.find("started_ms"); started != in.end() && started->is_number())
    out.entry.last_start = std::chrono::milliseconds(started->get<std::int64_t>());
  return out;
}

ChangeLogEvents parse_changes(const json& in, const NameIndex& names) {
  require_object(in, "changes");
  ChangeLogEvents out;
  out.seq = unsigned_value(require_field(in, "seq"), "seq");
  for (const json& result : require_array(require_field(in, "results"), "results")) {
    require_object(result, "results[]");
    const auto fleet = result.find("fleet");
    if (fleet == result.end()) continue;  // an event of another kind
    core::MembershipChange change;
    if (const auto full = require_object(*fleet, "fleet").find("full");
        full != fleet->end() && full->is_boolean())
      change.full = full->get<bool>();
    for (const json& server : require_array(require_field(*fleet, "servers"), "servers"))
      change.members.push_back(parse_member(server, names));
    out.changes.push_back(std::move(change));
  }
  return out;
}

NameIndex parse_names(const json& settings) {
  NameIndex out;
  const auto fill = [&](const char* key, auto& map, bool has_name_field) {
    const auto found = settings.find(key);
    if (found == settings.end() || found->is_null()) return;
    for (const json& item : require_array(*found, key)) {
      const auto index = static_cast<std::uint16_t>(map.size());
      map[has_name_field ? string_value(require_field(require_object(item, key), "name"), key)
                         : string_value(item, key)] = index;
    }
  };
  fill("classes", out.classes, true);
  fill("tenants", out.tenants, true);
  fill("zones", out.zones, false);
  fill("kinds", out.kinds, false);
  out.class_names.resize(out.classes.size());
  for (const auto& [name, index] : out.classes) out.class_names[index] = name;
  if (const auto report = settings.find("report"); report != settings.end() && report->is_object()) {
    if (const auto fields = report->find("fields"); fields != report->end()) {
      for (const json& field : require_array(*fields, "report.fields"))
        out.load_fields.push_back(string_value(field, "report.fields"));
    }
  }
  return out;
}

}  // namespace

std::string read_file(const std::string& path, const char* what) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream out;
  if (path.empty() || !in || !(out << in.rdbuf()))
    throw ConfigError(std::string(what) + ": cannot read '" + path + "'");
  return out.str();
}

Config parse(std::string_view in) {
  const json all = parse_json(in, "configuration");
  Config out;
  out.name = optional_string(all, "name");
  out.listen = string_value(require_field(all, "listen"), "listen");
  out.changelog = string_value(require_field(all, "changelog"), "changelog");
  out.peer_listen = optional_string(all, "peer_listen");
  out.peers_all = optional_string(all, "peers_all");
  if (const auto peers = all.find("peers"); peers != all.end() && !peers->is_null()) {
    for (const json& peer : require_array(*peers, "peers"))
      out.peers.push_back(string_value(peer, "peers[]"));
  }
  for (const auto& [field, value] : {std::pair("listen", out.listen),
                                     {"changelog", out.changelog},
                                     {"peer_listen", out.peer_listen},
                                     {"peers_all", out.peers_all}})
    check_address(value, field);
  for (const auto& peer : out.peers) check_address(peer, "peers[]");
  const auto seed = parse_hex<std::uint64_t>(string_value(require_field(all, "seed"), "seed"));
  if (!seed) throw_field_error("seed", "is not a number in hex digits");
  out.seed = *seed;
  if (const auto limits = all.find("limits"); limits != all.end()) {
    if (const auto sockets = require_object(*limits, "limits").find("sockets"); sockets != limits->end())
      out.max_descriptors = unsigned_value(*sockets, "limits.sockets");
    if (const auto memory = limits->find("memory_mb"); memory != limits->end())
      out.memory_mb = unsigned_value(*memory, "limits.memory_mb");
  }
  const json& settings = require_object(require_field(all, "settings"), "settings");
  try {
    out.settings = heronwell::simulator::settings_from(settings);
  } catch (const std::exception& error) {
    throw ConfigError(error.what());
  }
  out.settings.membership_lease = kMembershipLease;
  out.names = parse_names(settings);
  const json& ceilings = require_object(require_field(settings, "ceilings"), "settings.ceilings");
  const auto time_or = [&](const char* key, core::Time fallback) {
    const auto found = ceilings.find(key);
    return found == ceilings.end() ? fallback
                                   : core::Time(static_cast<std::int64_t>(unsigned_value(*found, key)));
  };
  out.connect_timeout = time_or("dial-timeout", 250ms);
  out.idle_timeout = time_or("idle-close", 30s);
  for (const char* field : {"name", "listen", "peer_listen", "peers", "peers_all", "limits", "settings"})
    out.restart_only_fields[field] =
        all.value(field, json()).dump(-1, ' ', false, json::error_handler_t::replace);
  if (const auto known = all.find("known"); known != all.end() && !known->is_null())
    out.initial_membership = parse_changes(*known, out.names);
  return out;
}

ChangeLogEvents parse_changes(std::string_view in, const NameIndex& names) {
  return parse_changes(parse_json(in, "change log"), names);
}

}  // namespace bellstair::config
