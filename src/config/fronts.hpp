// The fronts file (`deploy/fronts.json` in this repository): optional features that the platform's
// configuration doesn't know: MySQL, admission scripts and a user directory. All are off by default.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"

namespace bellstair::config {

// A user of the MySQL front. `tenant` is a name of the settings.
struct MysqlUser {
  std::string name, password, tenant;
};
// The listener for MySQL clients.
struct MysqlFront {
  std::string listen;            // "IPv4:port"
  std::vector<MysqlUser> users;  // may be empty if there is a directory
};
// Present if the engines of the change log speak MySQL; the account that the broker logs in with.
struct MysqlEngines {
  std::string user, password;
};
// The admission script and its limits.
struct Plugin {
  std::string script;       // path of the Lua file
  core::Time time_limit{};  // of one call
  std::size_t memory_limit_bytes = 0;
};
// The LDAP directory of users: its address ("IPv4:port"), the service account that searches (anonymous if
// bind_dn is empty), the DN below which users are searched, and the attributes of user and tenant names.
struct Directory {
  std::string address, bind_dn, bind_password, base, user_attribute, tenant_attribute;
  core::Time timeout{}, cache_time{};  // of one lookup; how long a successful one is cached
};
// The whole file; what it doesn't mention is off.
struct Fronts {
  std::optional<MysqlFront> mysql;
  std::optional<MysqlEngines> mysql_engines;
  std::optional<Plugin> plugin;
  std::optional<Directory> directory;
};

// Parses the fronts file. Secrets are read from the environment variables that the file names. Throws
// ConfigError.
[[nodiscard]] Fronts parse_fronts(std::string_view json, const NameIndex& names);

}  // namespace bellstair::config
