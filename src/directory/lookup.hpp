// The interface between a front and a directory of users.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace bellstair::directory {

// The result of looking up a user and checking the password.
struct LookupResult {
  // denied: unknown user, wrong password or no tenant; unavailable: the directory gave no usable response.
  enum class Status { granted, denied, unavailable } status = Status::denied;
  std::uint32_t tenant = 0;  // index in the settings, if granted
};
// Called exactly once for each lookup, possibly before the lookup function returns.
using Done = std::function<void(LookupResult)>;
// Looks up `user` and checks `password`, without blocking.
using Lookup = std::function<void(const std::string& user, const std::string& password, Done done)>;

}  // namespace bellstair::directory
