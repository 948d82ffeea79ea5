// Streams whose registration with the system fails.
#include "net/stream.hpp"

#include <gtest/gtest.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace {
int failing_epoll_calls = 0;  // the next so many calls of epoll_ctl fail
}  // namespace

// In place of the system library's function, also for the event loop.
extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) {
  if (failing_epoll_calls > 0) {
    --failing_epoll_calls;
    errno = ENOMEM;
    return -1;
  }
  return static_cast<int>(::syscall(SYS_epoll_ctl, epoll, operation, fd, event));
}

namespace bellstair::test {
namespace {
using namespace std::chrono_literals;

// A stream, and the socket of its peer.
class TestStream {
 public:
  TestStream() {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) != 0)
      throw std::runtime_error("no socket pair");
    stream.emplace(loop, net::Fd(ends[0]), false, std::size_t{1} << 20);
    peer = net::Fd(ends[1]);
  }
  // Reads at the peer while the loop runs, until so many bytes have come. Returns whether they have.
  bool receive(std::size_t bytes) {
    std::array<char, 4096> buffer{};
    std::size_t received = 0;
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (received < bytes && std::chrono::steady_clock::now() < deadline) {
      loop.run(ev::NOWAIT);
      const auto size = ::recv(peer.get(), buffer.data(), buffer.size(), 0);
      if (size > 0) received += static_cast<std::size_t>(size);
    }
    return received == bytes;
  }
  ev::dynamic_loop loop;
  std::optional<net::Stream> stream;
  net::Fd peer;
};

// Guards against output that is never sent: a write that follows the failed call asks for the same events
// again, and the event loop takes the system to know them.
TEST(Stream, OutputIsSentAfterAFailedRegistrationAndAnotherWrite) {
  const std::string output(500'000, 'x');
  TestStream test;
  test.loop.run(ev::NOWAIT);  // registers it for reading
  ASSERT_TRUE(test.stream->write(output));
  ASSERT_GT(test.stream->unsent_bytes(), 0U);
  failing_epoll_calls = 1;
  test.loop.run(ev::NOWAIT);  // fails to register it for writing too
  ASSERT_EQ(failing_epoll_calls, 0);
  ASSERT_TRUE(test.stream->write("x"));
  EXPECT_TRUE(test.receive(output.size() + 1));
}

}  // namespace
}  // namespace bellstair::test
