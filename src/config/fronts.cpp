#include "config/fronts.hpp"

#include <cstdlib>

#include "config/read.hpp"

namespace bellstair::config {
namespace {
using nlohmann::json;

// Reads the environment variable that the field `key` names.
std::string read_secret(const json& in, const char* key) {
  const auto variable = string_value(require_field(in, key), key);
  const char* value = std::getenv(variable.c_str());
  if (value == nullptr) throw_field_error(key, "names an environment variable that is not set");
  return value;
}

// Reads a duration in milliseconds; `fallback` if the field is not given.
core::Time milliseconds_or(const json& in, const char* key, std::uint64_t fallback) {
  const auto found = in.find(key);
  const auto value = found == in.end() ? fallback : unsigned_value(*found, key);
  if (value == 0 || value > 86'400'000) throw_field_error(key, "is not from 1 to 86400000 (one day)");
  return std::chrono::milliseconds(value);
}

MysqlFront parse_mysql(const json& in, const NameIndex& names, bool has_directory) {
  MysqlFront out;
  out.listen = string_value(require_field(in, "listen"), "mysql.listen");
  check_address(out.listen, "mysql.listen");
  // A directory needs the password in clear text, and this front has no TLS to protect it.
  if (has_directory && !out.listen.starts_with("127."))
    throw_field_error("mysql.listen", "must be a loopback address when a directory is configured");
  if (const auto users = in.find("users"); users != in.end()) {
    for (const json& user : require_array(*users, "mysql.users")) {
      require_object(user, "mysql.users[]");
      out.users.push_back({string_value(require_field(user, "name"), "mysql.users[].name"),
                           read_secret(user, "password_env"),
                           string_value(require_field(user, "tenant"), "mysql.users[].tenant")});
      if (!names.tenants.contains(out.users.back().tenant))
        throw_field_error("mysql.users[].tenant", "is not defined in settings");
    }
  }
  if (out.users.empty() && !has_directory)
    throw_field_error("mysql.users", "has no entry, and no directory is configured");
  return out;
}

Directory parse_directory(const json& in) {
  Directory out;
  out.address = string_value(require_field(in, "address"), "directory.address");
  check_address(out.address, "directory.address");
  out.base = string_value(require_field(in, "base"), "directory.base");
  out.bind_dn = optional_string(in, "bind_dn");
  if (!out.bind_dn.empty()) out.bind_password = read_secret(in, "bind_password_env");
  const auto string_or = [&](const char* key, const char* fallback) {
    auto value = optional_string(in, key);
    return value.empty() ? std::string(fallback) : value;
  };
  out.user_attribute = string_or("user_attribute", "uid");
  out.tenant_attribute = string_or("tenant_attribute", "o");
  out.timeout = milliseconds_or(in, "timeout_ms", 2000);
  out.cache_time = milliseconds_or(in, "cache_ms", 60000);
  return out;
}
}  // namespace

Fronts parse_fronts(std::string_view in, const NameIndex& names) {
  const json all = parse_json(in, "fronts");
  Fronts out;
  if (const auto directory = all.find("directory"); directory != all.end())
    out.directory = parse_directory(require_object(*directory, "directory"));
  if (const auto mysql = all.find("mysql"); mysql != all.end())
    out.mysql = parse_mysql(require_object(*mysql, "mysql"), names, out.directory.has_value());
  if (const auto engines = all.find("mysql_engines"); engines != all.end()) {
    require_object(*engines, "mysql_engines");
    out.mysql_engines = MysqlEngines{string_value(require_field(*engines, "user"), "mysql_engines.user"),
                                     read_secret(*engines, "password_env")};
  }
  if (const auto plugin = all.find("plugin"); plugin != all.end()) {
    require_object(*plugin, "plugin");
    const auto kilobytes = plugin->find("memory_kb");
    out.plugin =
        Plugin{string_value(require_field(*plugin, "script"), "plugin.script"),
               milliseconds_or(*plugin, "time_ms", 2),
               1024 * (kilobytes == plugin->end() ? 1024 : unsigned_value(*kilobytes, "plugin.memory_kb"))};
  }
  return out;
}

}  // namespace bellstair::config
