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
  void close(std::size_t stream) { peers_.at(stream).reset(); }
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
  test.queue.add(c);
  test.queue.add(b);
  test.queue.on_poll(105ms, 110ms);
  test.queue.add(b);  // waits already
  test.queue.add(a);
  EXPECT_EQ(test.queue.size(ReadPriority::prompt), 3U);
  while (!test.queue.empty(ReadPriority::prompt)) test.queue.read_next(ReadPriority::prompt);
  EXPECT_EQ(test.reads, "b1 c1 a1 ");
}

// Guards against a time that lies before the bytes can have been received, or after, as deadlines begin with
// it.
TEST(ReadQueue, BytesWereReceivedBetweenTheTwoPollsOrBeforeIfSomeWereLeftUnread) {
  TestStreams test;
  auto& stream = test.add("a");
  test.send(0, std::string(net::Stream::kReadTurnBytes + 1, '1'));
  test.queue.on_poll(100ms, 105ms);
  test.queue.add(stream);
  test.queue.on_poll(105ms, 400ms);
  auto arrival = test.queue.read_next(ReadPriority::prompt);
  EXPECT_EQ(arrival.begin, 100ms);
  EXPECT_EQ(arrival.end, 105ms);
  arrival = test.queue.read_next(ReadPriority::prompt);
  EXPECT_EQ(arrival.begin, 100ms);
  EXPECT_EQ(arrival.end, 400ms);
  EXPECT_TRUE(test.queue.empty(ReadPriority::prompt));
  test.send(0, "2");
  test.queue.on_poll(400ms, 405ms);
  test.queue.add(stream);
  EXPECT_EQ(test.queue.read_next(ReadPriority::prompt).begin, 400ms);
}

// Guards against a long request that is read after later ones because it takes several turns, and against one
// stream that keeps others from their turns.
TEST(ReadQueue, StreamsWithMoreToReadWaitAgainBehindThoseThatCameBefore) {
  TestStreams test;
  auto &a = test.add("a"), &b = test.add("b"), &c = test.add("c");
  const std::string turn(net::Stream::kReadTurnBytes, '1');
  test.send(0, turn + turn + "1");
  test.send(1, "1");
  test.send(2, "1");
  test.queue.on_poll(100ms, 105ms);
  test.queue.add(a);
  test.queue.on_poll(105ms, 110ms);
  test.queue.add(b);
  test.queue.read_next(ReadPriority::prompt);
  test.queue.on_poll(110ms, 115ms);
  test.queue.add(c);
  while (!test.queue.empty(ReadPriority::prompt)) test.queue.read_next(ReadPriority::prompt);
  EXPECT_EQ(test.reads, "a" + turn + " a" + turn + " b1 a1 c1 ");
}

// Guards against requests that wait behind the input of clients not known yet, and against first requests on
// new connections that are read after later ones of the same key.
TEST(ReadQueue, DeferredStreamsAreReadAsIfTheirBytesHadBeenReceivedLater) {
  TestStreams test;
  auto &deferred = test.add("d"), &soon = test.add("s"), &later = test.add("l"), &bulk = test.add("b");
  deferred.set_reading(ReadPriority::deferred);
  bulk.set_reading(ReadPriority::bulk);
  for (const std::size_t stream : {0U, 1U, 2U, 3U}) test.send(stream, "1");
  test.queue.on_poll(100ms, 105ms);
  test.queue.add(deferred);
  test.queue.add(bulk);
  test.queue.on_poll(105ms, 105ms + net::ReadQueue::kDeferral - 1ms);
  test.queue.add(soon);
  test.queue.on_poll(105ms + net::ReadQueue::kDeferral, 106ms + net::ReadQueue::kDeferral);
  test.queue.add(later);
  EXPECT_TRUE(test.queue.has_input_from_before(106ms, ReadPriority::deferred));
  EXPECT_FALSE(test.queue.has_input_from_before(105ms, ReadPriority::deferred));
  EXPECT_FALSE(test.queue.has_input_from_before(106ms, ReadPriority::prompt));
  while (!test.queue.empty(ReadPriority::prompt)) test.queue.read_next(ReadPriority::prompt);
  EXPECT_EQ(test.reads, "s1 d1 l1 ");
  EXPECT_FALSE(test.queue.waits(deferred));
  EXPECT_TRUE(test.queue.waits(bulk));
}

// Guards against a request that is begun although its client has closed the connection behind it.
TEST(ReadQueue, ReadsToTheEndOfTheInputInOneTurn) {
  TestStreams test;
  auto& stream = test.add("a");
  bool ended = false;
  stream.set_handlers({.connected = {},
                       .data = [&](std::string_view) { EXPECT_FALSE(ended); },
                       .end_of_input = [&] { ended = true; },
                       .closed = {},
                       .drained = {}});
  test.send(0, "1");
  test.close(0);
  test.queue.on_poll(100ms, 105ms);
  test.queue.add(stream);
  test.queue.read_next(ReadPriority::prompt);
  EXPECT_TRUE(ended);
}

// Guards against a closed stream that is read, or forgotten while it waits.
TEST(ReadQueue, ForgetsClosedStreams) {
  TestStreams test;
  auto &a = test.add("a"), &b = test.add("b");
  test.send(0, "1");
  test.send(1, "1");
  test.queue.on_poll(100ms, 105ms);
  test.queue.add(a);
  b.set_reading(ReadPriority::bulk);
  test.queue.add(b);
  a.close();
  EXPECT_TRUE(test.queue.empty(ReadPriority::prompt));
  test.queue.read_next(ReadPriority::bulk);
  EXPECT_TRUE(test.queue.empty(ReadPriority::bulk));
  EXPECT_EQ(test.reads, "b1 ");
}

}  // namespace
}  // namespace bellstair::test
