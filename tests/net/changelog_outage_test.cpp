// The whole program while its change log is down for longer than the membership may be used without it.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace bellstair::test {
namespace {

// A change log that can go down: its listener and connections are closed, or no request is answered.
class UnreliableChangeLog {
 public:
  enum class Outage { closed, silent };

  explicit UnreliableChangeLog(json first_event) : events_{std::move(first_event)} { start("127.0.0.1:0"); }
  ~UnreliableChangeLog() { set_silent(false); }

  [[nodiscard]] const std::string& address() const { return address_; }
  void go_down(Outage outage) {
    if (outage == Outage::closed) return server_.reset();
    set_silent(true);
  }
  // The events that it reports from now on include `servers`.
  void add_event(json servers) {
    const std::lock_guard lock(mutex_);
    events_.push_back(
        {{"seq", events_.size() + 1}, {"fleet", {{"full", false}, {"servers", std::move(servers)}}}});
  }
  void come_up() {
    set_silent(false);
    if (!server_) start(address_);
  }

 private:
  void set_silent(bool silent) {
    const std::lock_guard lock(mutex_);
    silent_ = silent;
    changed_.notify_all();
  }
  void start(const std::string& address) {
    server_ = std::make_unique<Server>([this](Socket& socket) { serve(socket); }, address);
    address_ = server_->address();
  }
  void serve(Socket& socket) {
    while (true) {
      const auto path = read_http_request(socket).path;
      const auto since = std::stoul(path.substr(path.find('=') + 1));
      std::this_thread::sleep_for(kPollInterval);
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return !silent_; });
      json response{{"seq", events_.size()}, {"results", json::array()}};
      for (std::size_t i = since; i < events_.size(); ++i) response["results"].push_back(events_[i]);
      socket.send(http_response(200, response.dump()));
    }
  }

  static constexpr auto kPollInterval = 20ms;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<json> events_;
  std::string address_;
  bool silent_ = false;
  std::unique_ptr<Server> server_;
};

class ChangeLogOutage : public ::testing::TestWithParam<UnreliableChangeLog::Outage> {};

// Guards against requests that go to an engine which has begun to drain during a long outage.
TEST_P(ChangeLogOutage, NothingIsSentToADrainingEngineOnceItsDrainCountsAsReported) {
  const auto answer = [](const HttpRequest&) { return rows_response("a\tb\tc\n"); };
  HttpEngine draining(answer), replacement(answer);
  const json first_event = {
      {"seq", 1},
      {"fleet", {{"full", true}, {"servers", {server_entry("s-00000001", draining.server.address())}}}}};
  UnreliableChangeLog log(first_event);
  Broker broker({{"s-00000001", draining.server.address()}}, {}, 0,
                [&](json& config) { config["changelog"] = log.address(); });
  Client client(broker.address);
  int id = 0;
  const auto ask = [&] {
    client.send_request(++id, "lookup", "select 1");
    const auto response = client.read_response();
    EXPECT_EQ(response["id"], id);
    return response;
  };
  ASSERT_TRUE(ask().contains("result"));
  log.go_down(GetParam());
  log.add_event({server_entry("s-00000001", draining.server.address(), "terminating"),
                 server_entry("s-00000002", replacement.server.address())});
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  const auto has_expired = [&] { return broker.program->count_log_lines("the membership has expired") > 0; };
  while (!has_expired() && std::chrono::steady_clock::now() < deadline) {
    ask();
    std::this_thread::sleep_for(20ms);
  }
  ASSERT_TRUE(has_expired()) << draining.post_count() << " requests sent";
  const auto sent_before = draining.post_count();
  EXPECT_GT(sent_before, 1U) << "it serves at the beginning of the outage";
  const auto refused = ask();
  EXPECT_EQ(refused.value(json::json_pointer("/error/code"), 0), -32066) << refused;
  log.come_up();
  broker.program->wait_for_log_line("the membership is confirmed again");
  EXPECT_TRUE(ask().contains("result"));
  EXPECT_EQ(draining.post_count(), sent_before);
  EXPECT_EQ(replacement.post_count(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Of, ChangeLogOutage,
                         ::testing::Values(UnreliableChangeLog::Outage::closed,
                                           UnreliableChangeLog::Outage::silent),
                         [](const auto& outage) {
                           return outage.param == UnreliableChangeLog::Outage::closed ? "Closed" : "Silent";
                         });

}  // namespace
}  // namespace bellstair::test
