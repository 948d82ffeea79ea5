// The program when its system calls fail in documented ways that break no connection: nothing may be lost.
#include <gtest/gtest.h>

#include "faults.hpp"

namespace bellstair::test {
namespace {

constexpr std::uint32_t kOneInThree = 333'333;  // per million
const std::string kStatement = "SELECT a FROM sales_17.orders";

struct FaultyCallCase {
  const char* name;
  FaultyCall call;
};

class TransientFailure : public ::testing::TestWithParam<FaultyCallCase> {};

TEST_P(TransientFailure, LosesNoRequestAndBlamesNoEngine) {
  constexpr int kRounds = 12;
  Faults faults;
  // A connection for each call.
  const auto last = [](std::string answer) {
    return answer.replace(answer.find("\r\n"), 2, "\r\nConnection: close\r\n");
  };
  HttpEngine engine(
      [&](const Call& call) { return last(call.method == "POST" ? http(202) : rows("x\ty\tz\n")); });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 0, {}, faults.environment());
  faults->transient_only = true;
  faults->failures_per_million[static_cast<std::size_t>(GetParam().call)] = kOneInThree;
  for (int round = 0; round < kRounds; ++round) {
    Client client(broker.address);
    client.ask(1, "once", kStatement, {{"txn", ticket(static_cast<unsigned>(2 * round))}});
    client.ask(2, "lookup", kStatement, {{"txn", ticket(static_cast<unsigned>(2 * round + 1))}});
    EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
    EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
  }
  EXPECT_GT(faults->injected, 0U);
  EXPECT_EQ(broker.program->count_said("takes no connections"), 0U);
}

INSTANTIATE_TEST_SUITE_P(Of, TransientFailure,
                         ::testing::Values(FaultyCallCase{"accept", FaultyCall::accept},
                                           FaultyCallCase{"connect", FaultyCall::connect},
                                           FaultyCallCase{"receive", FaultyCall::receive},
                                           FaultyCallCase{"send", FaultyCall::send},
                                           FaultyCallCase{"socket", FaultyCall::socket},
                                           FaultyCallCase{"set_option", FaultyCall::set_option},
                                           FaultyCallCase{"epoll_control", FaultyCall::epoll_control}),
                         [](const auto& instance) { return instance.param.name; });

}  // namespace
}  // namespace bellstair::test
