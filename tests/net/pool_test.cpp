// The connection pool against a listener that the tests accept from directly.
#include "net/pool.hpp"

#include <gtest/gtest.h>

#include "harness.hpp"

namespace bellstair::test {
namespace {

class PoolTest : public testing::Test {
 protected:
  PoolTest() : listener_(net::listen_tcp(net::parse_address("127.0.0.1:0").value())), pool_(loop_, limits()) {
    timer_.set<PoolTest, &PoolTest::on_timer>(this);
    timer_.start(0.001, 0.001);  // keeps the event loop running while no I/O occurs
    pool_.set_address(1, net::local_address(listener_.get()));
    pool_.tick(1000s);
  }
  static net::ConnectionPool::Limits limits() {
    net::ConnectionPool::Limits result;
    result.connect_timeout = 60s;
    result.idle_timeout = 60s;
    return result;
  }
  void on_timer(ev::timer&, int) {}
  void acquire() {
    pool_.acquire(1, [this](net::ConnectionPool::Connection* connection) {
      ++callbacks_;
      acquired_ = connection;
    });
    pool_.process_pending();
    started_ = pool_.take_counts().started;
  }
  bool run_until(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition()) {  // called once per iteration, since it may consume what it finds
      if (std::chrono::steady_clock::now() > end) return false;
      loop_.run(ev::ONCE);
      pool_.process_pending();
    }
    return true;
  }
  // The next connection that the pool opens; its event loop has not seen it established yet.
  Socket accept() {
    int fd = -1;
    run_until([&] { return (fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC)) >= 0; });
    return Socket(fd);
  }

  net::Fd listener_;
  ev::dynamic_loop loop_;
  ev::timer timer_{loop_};
  net::ConnectionPool pool_;
  int callbacks_ = 0;
  std::size_t started_ = 0;
  net::ConnectionPool::Connection* acquired_ = nullptr;
};

TEST_F(PoolTest, AConnectResetBeforeItIsSeenEstablishedIsRetried) {
  acquire();
  // Established, and reset before the event loop sees that.
  Socket(::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC)).reset();
  const auto second = accept();
  ASSERT_TRUE(run_until([&] { return callbacks_ == 1; }));
  EXPECT_NE(acquired_, nullptr);
}

TEST_F(PoolTest, AnEngineThatResetsEveryConnectIsReportedAsUnreachable) {
  acquire();
  int connects = 0;
  while (callbacks_ == 0 && connects < 100) {
    const int fd = ::accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC);
    ASSERT_GE(fd, 0);
    Socket(fd).reset();
    const auto started_before = started_;
    ++connects;
    ASSERT_TRUE(run_until(
        [&] { return callbacks_ == 1 || (started_ += pool_.take_counts().started) > started_before; }));
  }
  EXPECT_EQ(acquired_, nullptr);
  EXPECT_GT(connects, 1);
  EXPECT_LT(connects, 10);
}

// Guards against a healthy engine being taken for unreachable: single connects can time out because
// packets are lost. An engine that has not responded since may be down.
TEST_F(PoolTest, ATimedOutConnectIsRetriedWhileItsEngineResponds) {
  acquire();
  auto peer = accept();
  ASSERT_TRUE(run_until([&] { return callbacks_ == 1; }));
  acquired_ = nullptr;
  FullBacklogListener late;
  pool_.set_address(1, late.address());  // connections in use are kept
  acquire();
  pool_.tick(1001s);
  peer.send("x");
  ASSERT_TRUE(run_until([&] { return pool_.size() == 1; }));
  pool_.tick(1061s);
  pool_.process_pending();
  EXPECT_EQ(pool_.take_counts().started, 1U);
  EXPECT_EQ(callbacks_, 1);
  pool_.tick(1122s);  // the engine has not responded since
  pool_.process_pending();
  EXPECT_EQ(callbacks_, 2);
  EXPECT_EQ(acquired_, nullptr);
}

TEST_F(PoolTest, ARefusedConnectIsReportedAtOnce) {
  listener_.reset();
  acquire();
  ASSERT_TRUE(run_until([&] { return callbacks_ == 1; }));
  EXPECT_EQ(acquired_, nullptr);
  EXPECT_EQ(started_ + pool_.take_counts().started, 1U);
}

}  // namespace
}  // namespace bellstair::test
