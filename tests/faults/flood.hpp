// Clients that send lines which are no JSON without end and as fast as they can, read the responses, and
// connect again when their connection is closed.
#pragma once

#include <poll.h>

#include <atomic>
#include <thread>
#include <vector>

#include "../net/harness.hpp"

namespace bellstair::test {

class Flood {
 public:
  Flood(const std::string& address, int clients) {
    for (int i = 0; i < clients; ++i) threads_.emplace_back([this, address] { run(address); });
  }
  ~Flood() {
    stopped_ = true;
    for (auto& thread : threads_) thread.join();
  }
  // Waits until each client has sent a whole line. Throws std::runtime_error on time-out.
  void wait_until_started() {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, kWaitTimeout, [this] { return started_ >= threads_.size(); }))
      throw std::runtime_error("timed out waiting for the flood");
  }

 private:
  static constexpr std::size_t kLineBytes = 60'000;  // a costly line, within the limit of a line's length

  static std::string useless_line() {
    std::string line = "[";
    while (line.size() < kLineBytes) line += "[],";
    return line + "\n";
  }

  void run(const std::string& address) {
    const auto line = useless_line();
    bool counted = false;
    while (!stopped_) {
      try {
        auto socket = Socket::connect_to(address);
        while (!stopped_ && send_line(socket, line)) {
          if (!std::exchange(counted, true)) count_started();
        }
      } catch (const std::runtime_error&) {
        std::this_thread::yield();  // connect again
      }
    }
  }
  // Sends a line and drops all responses that come meanwhile. Returns false once the connection has ended.
  bool send_line(Socket& socket, std::string_view rest) {
    char buffer[4096];
    while (!stopped_ && !rest.empty()) {
      pollfd ready{socket.fd(), POLLIN | POLLOUT, 0};
      ::poll(&ready, 1, 50);
      if ((ready.revents & ~POLLOUT) != 0) {
        const auto received = ::recv(socket.fd(), buffer, sizeof buffer, MSG_DONTWAIT);
        if (received == 0 || (received < 0 && errno != EAGAIN)) return false;
      }
      if ((ready.revents & POLLOUT) == 0) continue;
      const auto sent = ::send(socket.fd(), rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN) return false;
      if (sent > 0) rest.remove_prefix(static_cast<std::size_t>(sent));
    }
    return rest.empty();
  }
  void count_started() {
    const std::lock_guard lock(mutex_);
    ++started_;
    changed_.notify_all();
  }

  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t started_ = 0;
  std::vector<std::thread> threads_;
};

}  // namespace bellstair::test
