// The pool of connections, against a listener worked by hand.
#include "net/pool.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace bellstair::test {
namespace {

class PoolTest : public testing::Test {
 protected:
  PoolTest() : listener_(net::listen_tcp(net::parse_address("127.0.0.1:0").value())), pool_(loop_, limits()) {
    turn_.set<PoolTest, &PoolTest::on_turn>(this);
    turn_.start(0.001, 0.001);  // keeps the loop turning while nothing comes
    pool_.set_address(1, net::local_address(listener_.get()));
    pool_.tick(1000s);
  }
  static net::ConnectionPool::Limits limits() {
    net::ConnectionPool::Limits out;
    out.connect_timeout = 60s;
    out.idle_timeout = 60s;
    return out;
  }
  void on_turn(ev::timer&, int) {}
  void ask() {
    pool_.acquire(1, [this](net::ConnectionPool::Connection* connection) {
      ++told_;
      got_ = connection;
    });
    pool_.process_pending();
    dialled_ = pool_.take_counts().dialled;
  }
  bool until(const std::function<bool()>& reached) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!reached()) {  // once in each turn, as it may take what it finds
      if (std::chrono::steady_clock::now() > end) return false;
      loop_.run(ev::ONCE);
      pool_.process_pending();
    }
    return true;
  }
  // The next connection that was dialled; the loop has not heard of it yet.
  Socket accept() {
    int fd = -1;
    until([&] { return (fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC)) >= 0; });
    return Socket(fd);
  }

  net::Fd listener_;
  ev::dynamic_loop loop_;
  ev::timer turn_{loop_};
  net::ConnectionPool pool_;
  int told_ = 0;
  std::size_t dialled_ = 0;
  net::ConnectionPool::Connection* got_ = nullptr;
};

TEST_F(PoolTest, AConnectionBrokenOffWhileItIsNewIsDialledAgain) {
  ask();
  // Established, and reset before the loop could look.
  Socket(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC)).reset();
  const auto second = accept();
  ASSERT_TRUE(until([&] { return told_ == 1; }));
  EXPECT_NE(got_, nullptr);
}

TEST_F(PoolTest, AnEngineThatBreaksOffEveryDialIsToldAsNotReached) {
  ask();
  int dials = 0;
  while (told_ == 0 && dials < 100) {
    const int fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
    ASSERT_GE(fd, 0);
    Socket(fd).reset();
    const auto begun = dialled_;
    ++dials;
    ASSERT_TRUE(until([&] { return told_ == 1 || (dialled_ += pool_.take_counts().dialled) > begun; }));
  }
  EXPECT_EQ(got_, nullptr);
  EXPECT_GT(dials, 1);
  EXPECT_LT(dials, 10);
}

// Some connections come up late, or never, though their engine is there. One not heard of may be gone.
TEST_F(PoolTest, ALateDialIsMadeAgainWhileItsEngineIsHeard) {
  ask();
  auto peer = accept();
  ASSERT_TRUE(until([&] { return told_ == 1; }));
  got_ = nullptr;
  LateListener late;
  pool_.set_address(1, late.address());  // what is in use stays
  ask();
  pool_.tick(1001s);
  peer.send("x");
  ASSERT_TRUE(until([&] { return pool_.size() == 1; }));
  pool_.tick(1061s);
  pool_.process_pending();
  EXPECT_EQ(pool_.take_counts().dialled, 1U);
  EXPECT_EQ(told_, 1);
  pool_.tick(1122s);  // not a word since
  pool_.process_pending();
  EXPECT_EQ(told_, 2);
  EXPECT_EQ(got_, nullptr);
}

TEST_F(PoolTest, ARefusedDialIsToldAtOnce) {
  listener_.reset();
  ask();
  ASSERT_TRUE(until([&] { return told_ == 1; }));
  EXPECT_EQ(got_, nullptr);
  EXPECT_EQ(dialled_ + pool_.take_counts().dialled, 1U);
}

}  // namespace
}  // namespace bellstair::test
