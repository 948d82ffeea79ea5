// A TCP proxy that relays connections to one address and injects network faults: resets, delays, split
// transfers and partitions.
#pragma once

#include <poll.h>

#include <atomic>
#include <random>
#include <string>

#include "../net/harness.hpp"
#include "run_record.hpp"

namespace bellstair::test {

// Relays each connection in a thread of its own. The seed determines the sequence of random draws.
class FaultProxy {
 public:
  // Probabilities, and the upper bound of each delay.
  struct Faults {
    double reset_on_connect = 0.03;   // of connections: reset before the first byte
    double reset_on_transfer = 0.02;  // of transfers: the connection is reset instead
    double split_transfer = 0.1;      // of transfers: sent in two parts, with a delay between them
    std::chrono::milliseconds max_delay{3};
  };

  FaultProxy(std::string target, std::uint64_t seed, Faults faults)
      : target_(std::move(target)),
        faults_(faults),
        random_(seed),
        server_([this](Socket& socket) { relay(socket); }) {}

  [[nodiscard]] const std::string& address() const { return server_.address(); }
  // Simulates a partition: relays nothing until `time`, while connections stay open.
  void partition_until(SteadyTime time) { partition_until_ = time.time_since_epoch().count(); }

 private:
  static constexpr int kPollMs = 5;

  void relay(Socket& from) {
    wait_for_partition_end();
    if (chance(faults_.reset_on_connect)) return from.reset();
    auto to = Socket::connect_to(target_);
    while (true) {
      pollfd descriptors[] = {{from.fd(), POLLIN, 0}, {to.fd(), POLLIN, 0}};
      if (::poll(descriptors, 2, kPollMs) == 0) continue;
      if (wait_for_partition_end() && (from.is_reset() || to.is_reset())) return reset_both(from, to);
      if ((descriptors[0].revents != 0 && !relay_available(from, to)) ||
          (descriptors[1].revents != 0 && !relay_available(to, from)))
        return reset_both(from, to);
    }
  }

  // Waits for the end of a partition. Returns whether there was one.
  bool wait_for_partition_end() const {
    bool partitioned = false;
    while (SteadyClock::now().time_since_epoch().count() < partition_until_) {
      partitioned = true;
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
    }
    return partitioned;
  }

  // Relays the available bytes. Returns false once either connection has ended or is to be reset.
  bool relay_available(Socket& from, Socket& to) {
    from.received.clear();
    // Data of a connection that its sender has reset is dropped, even if it was received before the reset.
    if (!from.read_more() || from.is_reset() || chance(faults_.reset_on_transfer)) return false;
    std::this_thread::sleep_for(faults_.max_delay * draw());
    if (from.received.size() < 2 || !chance(faults_.split_transfer)) return to.send(from.received);
    const auto half = from.received.size() / 2;
    if (!to.send(from.received.substr(0, half))) return false;
    std::this_thread::sleep_for(faults_.max_delay * draw());
    return to.send(from.received.substr(half));
  }

  static void reset_both(Socket& from, Socket& to) {
    from.reset();
    to.reset();
  }

  bool chance(double probability) { return draw() < probability; }
  // A uniform random number in [0, 1).
  double draw() {
    const std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  std::string target_;
  Faults faults_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::atomic<SteadyClock::rep> partition_until_{0};
  Server server_;
};

}  // namespace bellstair::test
