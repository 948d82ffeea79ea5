// The order in which streams are read, and what is known of when their bytes were received.
#include "net/read_queue.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "net/stream.hpp"

namespace bellstair::test {
namespace {
using namespace std::chrono_literals;
using net::ReadPriority;

// Streams whose sockets don't tell when bytes were received: each is one end of a pair.
class TestStreams {
 public:
  net::Stream& add(const std::string& name) {
    int ends[2];
    if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) != 0)
      throw std::runtime_error("no socket pair");
    peers_.emplace_back(ends[1]);
    auto& stream = *streams_.emplace_back(
        std::make_unique<net::Stream>(loop_, net::Fd(ends[0]), false, std::size_t{1024}, &queue));
    stream.set_handlers(
        {.connected = {},
         .data = [this, name](std::string_view bytes) { reads += name + std::string(bytes) + ' '; },
         .end_of_input = {},
         .closed = {},
         .drained = {}});
    return stream;
  }
  void send(std::size_t stream, const std::string& bytes) {
    ::send(peers_.at(stream).get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  net::ReadQueue queue;
  std::string reads;  // the name of the stream and the bytes, for each read

 private:
  ev::dynamic_loop loop_;
  std::vector<net::Fd> peers_;
  std::vector<std::unique_ptr<net::Stream>> streams_;
};

// Guards against an order that is that of libev, which reports the streams of one poll from the last to the
// first, and against streams that wait longest and are read last.
TEST(ReadQueue, ReadsInTheOrderInWhichStreamsBecameReadable) {
  TestStreams test;
  auto &a = test.add("a"), &b = test.add("b"), &c = test.add("c");
  for (const std::size_t stream : {0U, 1U, 2U}) test.send(stream, "1");
  test.queue.on_poll(100ms, 105ms);
  test.queue.add(c, ReadPriority::prompt);
  test.queue.add(b, ReadPriority::prompt);
  test.queue.on_poll(105ms, 110ms);
  test.queue.add(b, ReadPriority::prompt);  // waits already
  test.queue.add(a, ReadPriority::prompt);
  EXPECT_EQ(test.queue.size(ReadPriority::prompt), 3U);
  while (!test.queue.empty(ReadPriority::prompt)) test.queue.read_next(ReadPriority::prompt);
  EXPECT_EQ(test.reads, "b1 c1 a1 ");
}

// Guards against a time that lies before the bytes can have been received, as deadlines begin with it, or
// after.
TEST(ReadQueue, BytesWereReceivedBetweenTheTwoPollsOrBeforeIfSomeWereLeftUnread) {
  TestStreams test;
  auto& stream = test.add("a");
  stream.set_reading(ReadPriority::prompt, 2);
  test.send(0, "123");
  test.queue.on_poll(100ms, 105ms);
  test.queue.add(stream, ReadPriority::prompt);
  test.queue.on_poll(105ms, 400ms);
  auto arrival = test.queue.read_next(ReadPriority::prompt);
  EXPECT_EQ(arrival.begin, 100ms);
  EXPECT_EQ(arrival.end, 105ms);
  test.queue.add(stream, ReadPriority::prompt);
  arrival = test.queue.read_next(ReadPriority::prompt);
  EXPECT_EQ(arrival.begin, 105ms);
  EXPECT_EQ(arrival.end, 400ms);
  EXPECT_EQ(test.reads, "a12 a3 ");
}

// Guards against a closed stream that is read, or forgotten while it waits.
TEST(ReadQueue, ForgetsClosedStreams) {
  TestStreams test;
  auto &a = test.add("a"), &b = test.add("b");
  test.send(0, "1");
  test.send(1, "1");
  test.queue.on_poll(100ms, 105ms);
  test.queue.add(a, ReadPriority::prompt);
  test.queue.add(b, ReadPriority::bulk);
  a.close();
  EXPECT_TRUE(test.queue.empty(ReadPriority::prompt));
  test.queue.read_next(ReadPriority::bulk);
  EXPECT_TRUE(test.queue.empty(ReadPriority::bulk));
  EXPECT_EQ(test.reads, "b1 ");
}

}  // namespace
}  // namespace bellstair::test
