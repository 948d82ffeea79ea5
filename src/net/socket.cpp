#include "net/socket.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <cstddef>

namespace bellstair::net {
namespace {
const sockaddr* as_sockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

void enable_option(int fd, int level, int option) {
  const int enabled = 1;
  ::setsockopt(fd, level, option, &enabled, sizeof enabled);
}

// Closes the descriptor and leaves errno as the failed call has set it; returns an empty Fd.
Fd close_keeping_errno(Fd& fd) {
  const int error = errno;
  fd.reset();
  errno = error;
  return {};
}
}  // namespace

std::optional<sockaddr_in> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  sockaddr_in result{};
  result.sin_family = AF_INET;
  const std::string host(text.substr(0, colon));
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || digits.empty() || end != digits.data() + digits.size()) return std::nullopt;
  if (::inet_pton(AF_INET, host.c_str(), &result.sin_addr) != 1) return std::nullopt;
  result.sin_port = htons(port);
  return result;
}

Fd listen_tcp(const sockaddr_in& address) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  enable_option(fd.get(), SOL_SOCKET, SO_REUSEADDR);
  if (::bind(fd.get(), as_sockaddr(address), sizeof address) != 0 || ::listen(fd.get(), 512) != 0)
    return close_keeping_errno(fd);
  return fd;
}

std::string local_address(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  char host[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

Fd bind_udp(const sockaddr_in& address) {
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd && ::bind(fd.get(), as_sockaddr(address), sizeof address) != 0) return {};
  return fd;
}

Fd begin_connect(const sockaddr_in& address) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  enable_option(fd.get(), IPPROTO_TCP, TCP_NODELAY);
  // An interrupted connect goes on in the background like one in progress.
  if (::connect(fd.get(), as_sockaddr(address), sizeof address) != 0 && errno != EINPROGRESS &&
      errno != EINTR)
    return close_keeping_errno(fd);
  return fd;
}

bool out_of_descriptors(int error) { return error == EMFILE || error == ENFILE; }

bool local_shortage(int error) {
  return out_of_descriptors(error) || error == EADDRNOTAVAIL || error == EAGAIN || error == ENOBUFS ||
         error == ENOMEM;
}

bool transient(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

int connect_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

core::Time time_since_data(int fd) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return core::Time::zero();
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv)
    return core::Time::zero();
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace bellstair::net
