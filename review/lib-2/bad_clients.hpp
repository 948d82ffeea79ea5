// Bad clients as TERMS describes them: they send what can't be read, at full speed, read what they are sent, and
// send the same again as soon as they are turned away.
#pragma once

#include "stand.hpp"

namespace stand {

// Lines of 60,000 bytes each that are no JSON: an array that is not closed.
inline std::string unreadable_lines() {
  std::string line = "[";
  while (line.size() < 59990) line += "[],";
  line += "\n";
  return line + line + line + line;
}

class BadClients {
 public:
  BadClients(int port, int count) {
    for (int i = 0; i < count; ++i) threads_.emplace_back([this, port] { run(port); });
  }
  // Waits until all of them have gone.
  void stop() {
    stopped_ = true;
    for (auto& thread : threads_) thread.join();
    threads_.clear();
    record("bad clients: gone; %d connections, %d answers of the broker read, %.1f MB sent", connections_.load(),
           answers_.load(), static_cast<double>(sent_bytes_) / 1e6);
  }

 private:
  void run(int port) {
    const auto text = unreadable_lines();
    while (!stopped_) {
      const int fd = connect_to(port);
      if (fd < 0) {
        sleep_ms(5);
        continue;
      }
      ++connections_;
      ::fcntl(fd, F_SETFL, O_NONBLOCK);
      std::string_view rest = text;
      while (!stopped_) {
        pollfd ready{fd, POLLIN | POLLOUT, 0};
        if (::poll(&ready, 1, 100) <= 0) continue;
        if ((ready.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
          char buffer[4096];
          const auto size = ::recv(fd, buffer, sizeof buffer, 0);
          if (size == 0 || (size < 0 && errno != EAGAIN)) break;  // turned away
          for (ssize_t i = 0; i < size; ++i) answers_ += buffer[i] == '\n' ? 1 : 0;
        }
        if ((ready.revents & POLLOUT) != 0) {
          const auto size = ::send(fd, rest.data(), rest.size(), MSG_NOSIGNAL);
          if (size < 0 && errno != EAGAIN) break;
          if (size > 0) {
            sent_bytes_ += static_cast<std::size_t>(size);
            rest.remove_prefix(static_cast<std::size_t>(size));
          }
          if (rest.empty()) rest = text;
        }
      }
      ::close(fd);
    }
  }
  std::vector<std::thread> threads_;
  std::atomic<bool> stopped_{false};
  std::atomic<int> connections_{0}, answers_{0};
  std::atomic<std::size_t> sent_bytes_{0};
};

}  // namespace stand
