// Tests of the program when system calls fail with documented errors that break no connection: no request may
// be lost.
#include <gtest/gtest.h>

#include "faults.hpp"

namespace bellstair::test {
namespace {

constexpr std::uint32_t kOneInThree = 333'333;  // per million
const std::string kStatement = "SELECT a FROM sales_17.orders";

struct FaultyCallCase {
  const char* name;
  std::vector<FaultyCall> calls;
};

// A third of the calls fail with errors after which they can be retried. Guards against requests without a
// response and against engines that are ejected for failures of the broker's own machine.
class TransientFailure : public ::testing::TestWithParam<FaultyCallCase> {};

TEST_P(TransientFailure, LosesNoRequestAndBlamesNoEngine) {
  constexpr int kRounds = 12;
  Faults faults;
  // Closes the connection after each response, so that every call needs a new one.
  const auto with_close = [](std::string response) {
    return response.replace(response.find("\r\n"), 2, "\r\nConnection: close\r\n");
  };
  HttpEngine engine([&](const HttpRequest& call) {
    return with_close(call.method == "POST" ? http_response(202) : rows_response("x\ty\tz\n"));
  });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 0, {}, faults.environment());
  faults->transient_only = true;
  for (const auto call : GetParam().calls)
    faults->failures_per_million[static_cast<std::size_t>(call)] = kOneInThree;
  for (int round = 0; round < kRounds; ++round) {
    Client client(broker.address);
    client.send_request(1, "once", kStatement, {{"txn", ticket(static_cast<unsigned>(2 * round))}});
    client.send_request(2, "lookup", kStatement, {{"txn", ticket(static_cast<unsigned>(2 * round + 1))}});
    EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
    EXPECT_EQ(result_body(client.read_response()), "x\ty\tz\n");
  }
  EXPECT_GT(faults->injected, 0U);
  EXPECT_EQ(broker.program->count_log_lines("takes no connections"), 0U);
}

INSTANTIATE_TEST_SUITE_P(Of, TransientFailure,
                         ::testing::Values(FaultyCallCase{"accept", {FaultyCall::accept}},
                                           FaultyCallCase{"connect", {FaultyCall::connect}},
                                           FaultyCallCase{"receive", {FaultyCall::receive}},
                                           FaultyCallCase{"send", {FaultyCall::send}},
                                           FaultyCallCase{"socket", {FaultyCall::socket}},
                                           FaultyCallCase{"set_option", {FaultyCall::set_option}},
                                           FaultyCallCase{"epoll_control", {FaultyCall::epoll_control}},
                                           FaultyCallCase{"send_and_epoll_control",
                                                          {FaultyCall::send, FaultyCall::epoll_control}}),
                         [](const auto& instance) { return instance.param.name; });

// Even if no descriptor can be registered with epoll, SIGTERM must end the program.
TEST(Signals, AreHandledWhenNoDescriptorCanBeRegistered) {
  constexpr std::uint32_t kAlways = 1'000'000;  // per million
  Faults faults;
  faults->failures_per_million[static_cast<std::size_t>(FaultyCall::epoll_control)] = kAlways;
  Broker broker({{"s-00000001", "127.0.0.1:1"}}, {}, 0, {}, faults.environment());
  broker.program->send_signal(SIGTERM);
  broker.program->wait_for_log_line("phase: exited");
  EXPECT_EQ(broker.program->wait_for_exit(), 0);
}

// A reload that is requested while the configuration file cannot be read or is only partly written must be
// retried until it succeeds.
TEST(Reload, IsRetriedUntilTheConfigurationIsReadable) {
  Faults faults;
  HttpEngine engine([](const HttpRequest&) { return rows_response("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 0, {}, faults.environment());
  ChangeLog new_change_log;
  new_change_log.push(json::array({server_entry("s-00000001", engine.server.address())}), true);
  auto config = broker.config;
  config["changelog"] = new_change_log.address();
  const auto text = config.dump();
  broker.reload(text.substr(0, text.size() / 2));
  broker.program->wait_for_log_line("the configuration stays as it was");
  std::ofstream(broker.configuration_file()) << text;
  broker.program->wait_for_log_line("the configuration was read again");
  new_change_log.wait_until_processed();
}

// A restarted program must wait until its predecessor has released the listening address, and not exit.
TEST(Start, RetriesListeningWhileTheAddressIsInUse) {
  std::optional<Server> predecessor(std::in_place, [](Socket&) {});
  const auto address = predecessor->address();
  ChangeLog changes;
  changes.push(json::array(), true);
  const auto file = write_temporary_file(json{
      {"name", "n0"},
      {"listen", address},
      {"seed", "8c1f30d27a5be964"},
      {"changelog", changes.address()},
      {"known", changes.snapshot()},
      {"settings", settings()}}.dump());
  Program program({"serve", "--config", file});
  program.wait_for_log_line("listen: " + address + ": Address already in use");
  predecessor.reset();
  program.wait_for_log_line("phase: serving");
  ::unlink(file.c_str());
}

}  // namespace
}  // namespace bellstair::test
