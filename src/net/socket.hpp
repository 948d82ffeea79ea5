// IPv4 addresses, file descriptors and non-blocking sockets.
#pragma once

#include <netinet/in.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/clock.hpp"

namespace bellstair::net {

// Parses an address such as "10.0.0.4:8080"; nullopt if it is malformed. Host names are not resolved.
[[nodiscard]] std::optional<sockaddr_in> parse_address(std::string_view text);

// Owns a file descriptor.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  ~Fd() { reset(); }
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) {
      reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  // Closes the descriptor, if there is one.
  void reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  // The descriptor, or -1.
  [[nodiscard]] int get() const { return fd_; }
  [[nodiscard]] explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

// The functions below that return an Fd open non-blocking sockets. On an error they return an empty Fd and
// leave errno set.

// A TCP socket that listens on the address.
[[nodiscard]] Fd listen_tcp(const sockaddr_in& address);
// The address that a socket is bound to, as "10.0.0.4:8080".
[[nodiscard]] std::string local_address(int fd);
// A UDP socket bound to the address.
[[nodiscard]] Fd bind_udp(const sockaddr_in& address);
// A TCP socket that is connecting to the address. The outcome is known once it is writable, see
// connect_error().
[[nodiscard]] Fd begin_connect(const sockaddr_in& address);

// True if the errno value means that the process or the system is out of file descriptors.
[[nodiscard]] bool out_of_descriptors(int error);
// True if the errno value means a temporary shortage of a local resource (descriptors, ports, memory), which
// implies nothing about the peer.
[[nodiscard]] bool local_shortage(int error);
// True if the call may succeed when it is repeated on the same connection.
[[nodiscard]] bool transient(int error);
// The errno value that a connect ended with; 0 if the socket is connected.
[[nodiscard]] int connect_error(int fd);
// How long ago the last bytes of a connected TCP socket's peer were received, to a few milliseconds, whether
// or not they have been read; 0 if the system doesn't tell. No clock that can be set bears on it.
[[nodiscard]] core::Time time_since_data(int fd);

}  // namespace bellstair::net
