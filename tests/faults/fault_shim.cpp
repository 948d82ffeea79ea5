// A library that is preloaded into the program under test. It steps the wall clock and makes system calls
// fail as requested by the test through the file in BELLSTAIR_FAULT_FILE. The monotonic clock is not changed.
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

// The shared state, or one without faults if the environment variable is not set.
FaultState& state() {
  static FaultState no_faults;
  static FaultState* const shared = [] {
    const char* const path = std::getenv(bellstair::test::kFaultFileVariable);
    return path == nullptr ? &no_faults : bellstair::test::map_fault_state(path);
  }();
  return *shared;
}

template <class Function>
Function* original(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// Decides whether to inject a fault. splitmix64 on the shared state: a seed determines the sequence of draws.
bool inject(std::uint32_t per_million) {
  if (per_million == 0) return false;
  std::uint64_t x = state().random_state.fetch_add(0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  if ((x ^ (x >> 31)) % 1'000'000 >= per_million) return false;
  state().injected.fetch_add(1);
  return true;
}

// Returns true if the call is to fail, with errno set to one of its documented errors. The first `transient`
// of `errors` break no connection: the call can be retried.
template <std::size_t N>
bool fails(FaultyCall call, const std::array<int, N>& errors, std::size_t transient = N) {
  const int previous_errno = errno;
  if (!inject(state().failures_per_million[static_cast<std::size_t>(call)].load())) {
    errno = previous_errno;
    return false;
  }
  errno = errors[state().random_state.load() % (state().transient_only.load() ? transient : N)];
  return true;
}

void add_wall_clock_offset(timespec& time) {
  const auto total_ns =
      time.tv_sec * kNanosecondsPerSecond + time.tv_nsec + state().wall_clock_offset_ns.load();
  time.tv_sec = total_ns / kNanosecondsPerSecond;
  time.tv_nsec = total_ns % kNanosecondsPerSecond;
}
}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static const auto real = original<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, time);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
    add_wall_clock_offset(*time);
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
  // An interrupted connect() proceeds in the kernel, so the real call is made in that case too.
  const int error = errno;
  if (error == EINTR && real(fd, address, size) == 0) return 0;
  errno = error;
  return -1;
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static const auto real = original<ssize_t(int, void*, size_t, int)>("recv");
  constexpr std::array kErrors{EINTR, EAGAIN, ENOMEM, ECONNRESET, ETIMEDOUT, EHOSTUNREACH};
  if (fails(FaultyCall::receive, kErrors, 3)) return -1;
  return real(fd, buffer, size > 1 && inject(state().short_transfers_per_million.load()) ? 1 : size, flags);
}

ssize_t send(int fd, const void* buffer, size_t size, int flags) {
  static const auto real = original<ssize_t(int, const void*, size_t, int)>("send");
  constexpr std::array kErrors{EINTR, EAGAIN, ENOBUFS, ENOMEM, ECONNRESET, EPIPE};
  if (fails(FaultyCall::send, kErrors, 4)) return -1;
  return real(fd, buffer, size > 1 && inject(state().short_transfers_per_million.load()) ? 1 : size, flags);
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
  // EPOLL_CTL_DEL allocates no memory, so it fails with neither of these.
  if (operation != EPOLL_CTL_DEL && fails(FaultyCall::epoll_control, kErrors)) return -1;
  return real(poll, operation, fd, event);
}

int open(const char* path, int flags, ...) {
  static const auto real = original<int(const char*, int, ...)>("open");
  constexpr std::array kErrors{EINTR, EMFILE, ENFILE, ENOMEM, EIO};
  if (fails(FaultyCall::open, kErrors)) return -1;
  va_list arguments;
  va_start(arguments, flags);
  const auto mode = (flags & O_CREAT) != 0 ? va_arg(arguments, unsigned) : 0U;
  va_end(arguments);
  return real(path, flags, mode);
}

}  // extern "C"
