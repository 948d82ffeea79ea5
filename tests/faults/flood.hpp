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
  void wait_until_started() { wait_for_all(started_); }
  // Waits until each client has got a response, and so is known to send what is no use. Throws
  // std::runtime_error on time-out.
  void wait_until_answered() { wait_for_all(answered_); }

 private:
  static constexpr std::size_t kLineBytes = 60'000;  // a costly line, within the limit of a line's length

  static std::string useless_line() {
    std::string line = "[";
    while (line.size() < kLineBytes) line += "[],";
    return line + "\n";
  }

  void run(const std::string& address) {
    const auto line = useless_line();
    bool started = false, answered = false;
    while (!stopped_) {
      try {
        auto socket = Socket::connect_to(address);
        while (!stopped_ && send_line(socket, line, answered)) {
          if (!std::exchange(started, true)) count(started_);
        }
      } catch (const std::runtime_error&) {
        std::this_thread::yield();  // connect again
      }
    }
  }
  // Sends a line and drops all responses that come meanwhile. `answered`: whether one has come. Returns false
  // once the connection has ended.
  bool send_line(Socket& socket, std::string_view rest, bool& answered) {
    char buffer[4096];
    while (!stopped_ && !rest.empty()) {
      pollfd ready{socket.fd(), POLLIN | POLLOUT, 0};
      ::poll(&ready, 1, 50);
      if ((ready.revents & ~POLLOUT) != 0) {
        const auto received = ::recv(socket.fd(), buffer, sizeof buffer, MSG_DONTWAIT);
        if (received > 0 && !std::exchange(answered, true)) count(answered_);
        if (received == 0 || (received < 0 && errno != EAGAIN)) return false;
      }
      if ((ready.revents & POLLOUT) == 0) continue;
      const auto sent = ::send(socket.fd(), rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN) return false;
      if (sent > 0) rest.remove_prefix(static_cast<std::size_t>(sent));
    }
    return rest.empty();
  }
  void count(std::size_t& clients) {
    const std::lock_guard lock(mutex_);
    ++clients;
    changed_.notify_all();
  }
  void wait_for_all(const std::size_t& clients) {
    std::unique_lock lock(mutex_);
    if (!changed_.wait_for(lock, kWaitTimeout, [&] { return clients >= threads_.size(); }))
      throw std::runtime_error("timed out waiting for the flood");
  }

  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t started_ = 0, answered_ = 0;  // clients
  std::vector<std::thread> threads_;
};

}  // namespace bellstair::test
