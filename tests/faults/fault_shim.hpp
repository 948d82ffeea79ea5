// The memory that a test shares with the fault shim in the program under test, by which it requests faults.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <stdexcept>
#include <string>

namespace bellstair::test {

// The environment variable that holds the path of the shared file.
inline constexpr const char* kFaultFileVariable = "BELLSTAIR_FAULT_FILE";

// The system calls that the shim can make fail; an index of FaultState::failures_per_million.
enum class FaultyCall : std::size_t {
  accept,
  connect,
  receive,
  send,
  socket,
  set_option,
  open,
  epoll_control,
  count
};
inline constexpr std::size_t kFaultyCallCount = static_cast<std::size_t>(FaultyCall::count);

// The initial state injects no fault. Both processes access it concurrently.
struct FaultState {
  std::atomic<std::int64_t> wall_clock_offset_ns{0};  // added to CLOCK_REALTIME
  std::atomic<std::uint64_t> random_state{1};
  std::atomic<std::uint32_t> failures_per_million[kFaultyCallCount]{};
  std::atomic<std::uint32_t> short_transfers_per_million{0};  // sends and receives of one byte
  std::atomic<bool> transient_only{false};                    // only errors that leave a connection usable
  std::atomic<std::uint64_t> injected{0};                     // number of faults so far
};

// Maps the shared file; throws std::runtime_error if that fails.
inline FaultState* map_fault_state(const std::string& path) {
  // A direct system call, since the shim replaces open().
  const auto fd = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path.c_str(), O_RDWR | O_CLOEXEC));
  if (fd < 0) throw std::runtime_error("cannot open the fault file");
  void* const memory = ::mmap(nullptr, sizeof(FaultState), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  ::close(fd);
  if (memory == MAP_FAILED) throw std::runtime_error("cannot map the fault file");
  return static_cast<FaultState*>(memory);
}

}  // namespace bellstair::test
