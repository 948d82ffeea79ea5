// Users and their tenants from an LDAP directory: searches the entry of a user, then binds with the user's
// password. Never blocks the loop. Successful lookups are cached.
#pragma once

#include <ev++.h>

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fronts.hpp"
#include "core/events.hpp"
#include "directory/lookup.hpp"
#include "net/socket.hpp"

namespace bellstair::directory {

// Escapes a value for use in a search filter (RFC 4515), so that it can't change the filter.
[[nodiscard]] std::string escape_filter(std::string_view value);

// A client of one directory. `config` and `names` must outlive it.
class Ldap {
 public:
  Ldap(ev::loop_ref loop, const config::Directory& config, const config::NameIndex& names);
  ~Ldap();

  // Looks up a user; `done` is called exactly once, at once for a cached result. Reports `unavailable` if the
  // directory does not respond within the timeout or too many lookups are active.
  void look_up(const std::string& user, const std::string& password, Done done);
  // Advances the clock and ends lookups that have timed out.
  void tick(core::Time now);

 private:
  class UserLookup;
  struct CacheEntry {
    LookupResult result;
    core::Time expires{};
  };
  void complete(UserLookup& lookup, LookupResult result);
  // A salted hash, so that passwords are not kept in memory.
  [[nodiscard]] std::string cache_key(const std::string& user, const std::string& password) const;

  ev::loop_ref loop_;
  const config::Directory& config_;
  const config::NameIndex& names_;
  std::string salt_;
  std::unordered_map<std::string, CacheEntry> cache_;  // by cache_key()
  std::list<std::unique_ptr<UserLookup>> active_;      // oldest first
  // Kept until tick(), since a handler of the lookup may be running.
  std::vector<std::unique_ptr<UserLookup>> finished_;
  core::Time now_{};
};

}  // namespace bellstair::directory
