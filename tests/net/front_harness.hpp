// The platform front on its own, for tests that control what it reads and when.
#pragma once

#include "harness.hpp"
#include "platform/front.hpp"

namespace bellstair::test {

// The platform front on its own, with an event loop and a clock that the test controls.
class TestFront {
 public:
  explicit TestFront(std::size_t max_connections = 8)
      : front(
            loop, net::listen_tcp(net::parse_address("127.0.0.1:0").value()), read_queue, names,
            max_connections, handles, [] { return true; },
            [this](core::Event event) { events.push_back(std::move(event)); }) {
    names.classes["lookup"] = 0;
    names.tenants["acme"] = 0;
    names.class_names = {"lookup"};
    wakeup_.set<TestFront, &TestFront::ignore_timer>(this);
    wakeup_.start(0.001, 0.001);  // ends each iteration in which no event occurs
    front.tick(now);
  }
  void ignore_timer(ev::timer&, int) {}
  bool run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      loop.run(ev::ONCE);
      read_urgent_input();
      read_clients(net::ReadPriority::bulk);
      front.release_closed();
    }
    return condition();
  }
  // Reads from the clients of this priority that are readable.
  void read_clients(net::ReadPriority priority) {
    while (!read_queue.empty(priority)) read_queue.read_next(priority);
  }
  // Reads all input but what can wait.
  void read_urgent_input() {
    read_clients(net::ReadPriority::prompt);
    read_clients(net::ReadPriority::normal);
  }
  // Runs the loop until the condition holds, and reads no input that can wait.
  bool run_reading_urgent_input_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      loop.run(ev::ONCE);
      read_urgent_input();
    }
    return condition();
  }
  // Runs the loop, without reading, until so many clients of this priority are readable.
  bool run_until_readable(net::ReadPriority priority, std::size_t count) {
    const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
    while (read_queue.size(priority) < count && std::chrono::steady_clock::now() < deadline)
      loop.run(ev::ONCE);
    return read_queue.size(priority) == count;
  }
  // Sends the bytes while the loop runs, since the front may have to read before all of them can be sent.
  bool send(Client& client, const std::string& bytes) {
    auto sent = std::async(std::launch::async, [&] { return client.socket.send(bytes); });
    return run_until([&] { return sent.wait_for(0s) == std::future_status::ready; }) && sent.get();
  }
  // Runs the loop until something has been sent to the client; returns the next response.
  json read_response(Client& client) {
    run_until([&] { return !client.socket.received.empty() || client.socket.has_unread_bytes(); });
    return client.read_response();
  }
  // Runs the loop until the front has emitted so many requests.
  bool wait_for_requests(std::size_t count) {
    return run_until([&] { return count_events<core::RequestArrived>() == count; });
  }
  // Runs the loop until the front holds so many bytes of incomplete lines.
  bool wait_for_partial_bytes(std::size_t bytes) {
    return run_until([&] { return front.partial_bytes() == bytes; });
  }
  // Advances the front's clock.
  void advance(core::Time time) { front.tick(now += time); }
  void answer(core::ClientHandle client) {
    front.run(core::Answer{client, core::AnswerKind::served, {}, "x\ty\tz\n", {}});
  }
  template <class T>
  [[nodiscard]] std::size_t count_events() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        events, [](const core::Event& event) { return std::holds_alternative<T>(event); }));
  }
  ev::dynamic_loop loop;
  ev::timer wakeup_{loop};
  config::NameIndex names;
  std::uint64_t handles = 0;
  core::Time now{1000s};
  std::vector<core::Event> events;
  net::ReadQueue read_queue;
  platform::Front front;
};

}  // namespace bellstair::test
