// Preloaded into the program under test: steps its wall clock and makes its system calls fail, as the test
// that shares BELLSTAIR_FAULT_FILE with it asks. The monotonic clock is left alone.
#include "fault_shim.hpp"

#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <cerrno>
#include <cstdarg>
#include <ctime>

using bellstair::test::FaultState;
using bellstair::test::FaultyCall;

namespace {
constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

// Without the variable the shim changes nothing.
FaultState& state() {
  static FaultState none;
  static FaultState* const shared = [] {
    const char* const path = std::getenv(bellstair::test::kFaultFileVariable);
    return path == nullptr ? &none : bellstair::test::map_fault_state(path);
  }();
  return *shared;
}

template <class Function>
Function* original(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// splitmix64 on the shared state: one seed gives one sequence of draws.
bool draw(std::uint32_t per_million) {
  if (per_million == 0) return false;
  std::uint64_t x = state().random_state.fetch_add(0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  if ((x ^ (x >> 31)) % 1'000'000 >= per_million) return false;
  state().injected.fetch_add(1);
  return true;
}

// True: the call is to fail, and errno holds one of its documented errors. The first `transient` of them
// break nothing: the call may be made again.
template <std::size_t N>
bool fails(FaultyCall call, const std::array<int, N>& errors, std::size_t transient = N) {
  const int before = errno;
  if (!draw(state().failures_per_million[static_cast<std::size_t>(call)].load())) {
    errno = before;
    return false;
  }
  errno = errors[state().random_state.load() % (state().transient_only.load() ? transient : N)];
  return true;
}

void shift(timespec& time) {
  const auto all = time.tv_sec * kNanosecondsPerSecond + time.tv_nsec + state().wall_clock_offset_ns.load();
  time.tv_sec = all / kNanosecondsPerSecond;
  time.tv_nsec = all % kNanosecondsPerSecond;
}
}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto real = original<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, time);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) shift(*time);
  return result;
}

int gettimeofday(timeval* time, void* /*zone*/) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  time->tv_sec = now.tv_sec;
  time->tv_usec = now.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* out) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = now.tv_sec;
  return now.tv_sec;
}

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto real = original<int(int, sockaddr*, socklen_t*, int)>("accept4");
  constexpr std::array kErrors{EINTR, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO};
  return fails(FaultyCall::accept, kErrors) ? -1 : real(fd, address, size, flags);
}

int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto real = original<int(int, const sockaddr*, socklen_t)>("connect");
  constexpr std::array kErrors{EINTR, EADDRNOTAVAIL, ENOBUFS, ENETUNREACH, EHOSTUNREACH, ECONNREFUSED};
  if (!fails(FaultyCall::connect, kErrors, 3)) return real(fd, address, size);
  // An interrupted connect goes on in the background.
  const int error = errno;
  if (error == EINTR && real(fd, address, size) == 0) return 0;
  errno = error;
  return -1;
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static const auto real = original<ssize_t(int, void*, size_t, int)>("recv");
  constexpr std::array kErrors{EINTR, EAGAIN, ENOMEM, ECONNRESET, ETIMEDOUT, EHOSTUNREACH};
  if (fails(FaultyCall::receive, kErrors, 3)) return -1;
  return real(fd, buffer, size > 1 && draw(state().short_transfers_per_million.load()) ? 1 : size, flags);
}

ssize_t send(int fd, const void* buffer, size_t size, int flags) {
  static const auto real = original<ssize_t(int, const void*, size_t, int)>("send");
  constexpr std::array kErrors{EINTR, EAGAIN, ENOBUFS, ENOMEM, ECONNRESET, EPIPE};
  if (fails(FaultyCall::send, kErrors, 4)) return -1;
  return real(fd, buffer, size > 1 && draw(state().short_transfers_per_million.load()) ? 1 : size, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto real = original<int(int, int, int)>("socket");
  constexpr std::array kErrors{EMFILE, ENFILE, ENOBUFS, ENOMEM};
  return fails(FaultyCall::socket, kErrors) ? -1 : real(domain, type, protocol);
}

int setsockopt(int fd, int level, int option, const void* value, socklen_t size) noexcept {
  static const auto real = original<int(int, int, int, const void*, socklen_t)>("setsockopt");
  constexpr std::array kErrors{ENOBUFS, ENOMEM, EINVAL};
  return fails(FaultyCall::set_option, kErrors) ? -1 : real(fd, level, option, value, size);
}

int epoll_ctl(int poll, int operation, int fd, epoll_event* event) noexcept {
  static const auto real = original<int(int, int, int, epoll_event*)>("epoll_ctl");
  constexpr std::array kErrors{ENOMEM, ENOSPC};
  // Taking a descriptor out of the set needs no memory.
  if (operation != EPOLL_CTL_DEL && fails(FaultyCall::epoll_control, kErrors)) return -1;
  return real(poll, operation, fd, event);
}

int open(const char* path, int flags, ...) {
  static const auto real = original<int(const char*, int, ...)>("open");
  constexpr std::array kErrors{EINTR, EMFILE, ENFILE, ENOMEM, EIO};
  if (fails(FaultyCall::open, kErrors)) return -1;
  va_list rest;
  va_start(rest, flags);
  const auto mode = (flags & O_CREAT) != 0 ? va_arg(rest, unsigned) : 0U;
  va_end(rest);
  return real(path, flags, mode);
}

}  // extern "C"
