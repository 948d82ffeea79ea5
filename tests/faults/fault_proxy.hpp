// Relays connections to one address, and breaks, delays or cuts them.
#pragma once

#include <poll.h>

#include <atomic>
#include <random>
#include <string>

#include "../net/harness.hpp"
#include "run_record.hpp"

namespace bellstair::test {

class FaultProxy {
 public:
  struct Faults {
    double reset_new = 0.03;    // of connections: broken off before the first byte
    double reset_later = 0.02;  // of transfers: broken off instead
    double split = 0.1;         // of transfers: in two pieces, some time apart
    std::chrono::milliseconds longest_delay{3};
  };

  FaultProxy(std::string target, std::uint64_t seed, Faults faults)
      : target_(std::move(target)),
        faults_(faults),
        random_(seed),
        server_([this](Socket& socket) { relay(socket); }) {}

  [[nodiscard]] const std::string& address() const { return server_.address(); }
  // Nothing passes until then; connections stay open.
  void cut_until(SteadyTime time) { cut_until_ = time.time_since_epoch().count(); }

 private:
  static constexpr int kPollMs = 5;

  void relay(Socket& from) {
    wait_out_cut();
    if (chance(faults_.reset_new)) return from.reset();
    auto to = Socket::connect_to(target_);
    while (true) {
      pollfd both[] = {{from.fd(), POLLIN, 0}, {to.fd(), POLLIN, 0}};
      if (::poll(both, 2, kPollMs) == 0) continue;
      if (wait_out_cut() && (from.is_reset() || to.is_reset())) return end(from, to);
      if ((both[0].revents != 0 && !pass(from, to)) || (both[1].revents != 0 && !pass(to, from)))
        return end(from, to);
    }
  }

  // True: there was one.
  bool wait_out_cut() const {
    bool cut = false;
    while (SteadyClock::now().time_since_epoch().count() < cut_until_) {
      cut = true;
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
    }
    return cut;
  }

  bool pass(Socket& from, Socket& to) {
    from.received.clear();
    // What its sender has taken back is not passed on, though it may have come this far.
    if (!from.read_more() || from.is_reset() || chance(faults_.reset_later)) return false;
    std::this_thread::sleep_for(faults_.longest_delay * draw());
    if (from.received.size() < 2 || !chance(faults_.split)) return to.send(from.received);
    const auto half = from.received.size() / 2;
    if (!to.send(from.received.substr(0, half))) return false;
    std::this_thread::sleep_for(faults_.longest_delay * draw());
    return to.send(from.received.substr(half));
  }

  static void end(Socket& from, Socket& to) {
    from.reset();
    to.reset();
  }

  bool chance(double part) { return draw() < part; }
  double draw() {
    const std::lock_guard lock(mutex_);
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  std::string target_;
  Faults faults_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::atomic<SteadyClock::rep> cut_until_{0};
  Server server_;
};

}  // namespace bellstair::test
