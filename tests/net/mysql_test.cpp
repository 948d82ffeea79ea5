// The MySQL front between MySQL clients and engines of both protocols. The fake MySQL server is written from
// the protocol's public documentation and records the statements that it executes.
#include <gtest/gtest.h>

#include "harness.hpp"
#include "mysql_client.hpp"

namespace bellstair::test {
namespace {
using namespace std::string_literals;

// A statement as the engine received it, with its query attributes `unique` and `class`.
struct ExecutedStatement {
  std::string statement, idempotency_key, class_name;
};

// A fake MySQL server. The handler returns the rows of an executed statement, or none to reset the
// connection.
class MysqlEngine {
 public:
  using Rows = std::vector<std::vector<my::Cell>>;
  using Handler = std::function<std::optional<Rows>(const ExecutedStatement&)>;
  explicit MysqlEngine(Handler handler)
      : handler_(std::move(handler)), server([this](Socket& socket) { serve(socket); }) {}
  Recorder<ExecutedStatement> executed;
  Recorder<std::string> prepared, killed;
  std::function<void()> on_prepare;
  bool duplicate_ok = false;  // sends a second OK after that of a statement without rows

 private:
  void serve(Socket& socket) {
    Wire wire(socket);
    const std::string nonce(20, 'n');
    wire.send(my::write_greeting({"8.0.36", nonce, my::kNativePassword, 11, kCapabilities}));
    const auto login = my::read_login(wire.receive());
    if (login.auth_response != my::native_auth_response("secret", nonce))
      return wire.send(my::write_error({1045, "28000", "no"}));
    wire.send(my::write_ok());
    std::map<std::uint32_t, std::string> statements;
    while (true) {
      const auto payload = wire.receive();
      ExecutedStatement current;
      const auto read_attributes = [&](const std::vector<my::Attribute>& attributes) {
        for (const auto& [name, value] : attributes) {
          if (name == "unique") current.idempotency_key = sql::to_text(value).value();
          if (name == "class") current.class_name = sql::to_text(value).value();
        }
      };
      if (payload[0] == my::kPrepare) {
        const auto id = static_cast<std::uint32_t>(statements.size() + 1);
        statements[id] = payload.substr(1);
        prepared.add(payload.substr(1));
        if (on_prepare) on_prepare();
        wire.send(my::write_prepared({id, 0, 1}));
        wire.send(my::write_column("?", my::kTypeVarString));
        wire.send(my::write_eof());
        continue;
      }
      const bool binary = payload[0] == my::kExecute;
      if (binary) {
        my::ParameterTypes types;
        const auto execute = my::read_execute(payload, 1, true, types);
        current.statement = statements.at(execute.statement_id);
        read_attributes(execute.attributes);
      } else if (payload[0] == my::kQuery) {
        const auto query = my::read_query(payload, true);
        current.statement = query.text;
        read_attributes(query.attributes);
        if (query.text.rfind("KILL", 0) == 0) {
          killed.add(query.text);
          wire.send(my::write_ok());
          continue;
        }
      } else {
        return;
      }
      executed.add(current);
      const auto rows = handler_(current);
      if (!rows) return socket.reset();
      if (rows->empty()) {
        if (duplicate_ok) {
          socket.send(my::frame(1, my::write_ok()) + my::frame(2, my::write_ok()));
          continue;
        }
        wire.send(my::write_ok());
        continue;
      }
      wire.send(std::string(1, static_cast<char>(rows->front().size())));
      for (std::size_t i = 0; i < rows->front().size(); ++i)
        wire.send(my::write_column("c" + std::to_string(i), my::kTypeVarString));
      wire.send(my::write_eof());
      for (const auto& row : *rows) wire.send(binary ? my::write_binary_row(row) : my::write_text_row(row));
      wire.send(my::write_eof());
    }
  }
  Handler handler_;

 public:
  Server server;
};

json fronts_config(bool mysql_engines) {
  json out{{"mysql",
            {{"listen", "127.0.0.1:0"},
             {"users", {{{"name", "gateway"}, {"password_env", "TEST_SECRET"}, {"tenant", "acme"}}}}}}};
  if (mysql_engines) out["mysql_engines"] = {{"user", "broker"}, {"password_env", "TEST_SECRET"}};
  return out;
}

class MysqlBroker : public Broker {
 public:
  MysqlBroker(const std::vector<std::pair<std::string, std::string>>& engines, bool mysql_engines)
      : Broker(engines, fronts_config(mysql_engines)),
        mysql_address(program->listen_address("mysql.listen")) {}
  std::string mysql_address;
};

std::size_t executions_with_key(MysqlEngine& engine, const std::string& key) {
  return engine.executed.count([&](const ExecutedStatement& e) { return e.idempotency_key == key; });
}

TEST(Mysql, AuthenticatesUsersAndRejectsUnknownCommands) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("a\tb\tc\n"); });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, false);
  MysqlClient native(broker.mysql_address, "gateway", "secret", my::kNativePassword),
      client(broker.mysql_address);
  EXPECT_EQ(native.login[0], 0);
  EXPECT_EQ(client.login[0], 0);
  for (const auto& [user, password] :
       {std::pair{"gateway", "wrong"}, {"nobody", "secret"}, {"gateway", ""}}) {
    MysqlClient denied(broker.mysql_address, user, password);
    EXPECT_EQ(my::read_error(denied.login).code, 1045);
    EXPECT_TRUE(denied.socket.read_to_end());
  }
  EXPECT_EQ(client.command("\x0e")[0], 0);  // ping
  EXPECT_EQ(my::read_error(client.command("\x02"
                                          "db"))
                .code,
            1047);                                                          // COM_INIT_DB is not supported
  EXPECT_EQ(my::read_error(client.command("\x1a\x09\0\0\0"s)).code, 1243);  // unknown statement id
  EXPECT_EQ(client.query("SET NAMES utf8mb4").size(), 0U);
  EXPECT_EQ(client.error.code, 0);
  client.wire.command("\x01");
  EXPECT_TRUE(client.socket.read_to_end());
}

TEST(Mysql, SendsPreparedStatementsToHttpEnginesWithLiterals) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("1\t2\t3\n4\t5\t6\n"); });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, false);
  MysqlClient client(broker.mysql_address);
  const auto statement = client.prepare("SELECT a FROM sales_17.orders WHERE b = ?");
  const std::vector<std::vector<my::Cell>> expected{{"1", "2", "3"}, {"4", "5", "6"}};
  EXPECT_EQ(client.execute(statement, {"it's"s}), expected);
  EXPECT_EQ(client.query("SELECT a FROM sales_17.orders"), expected);
  EXPECT_EQ(engine.requests.count([](const HttpRequest& c) {
    return c.body == "SELECT a FROM sales_17.orders WHERE b = 'it''s'";
  }),
            1U);
  EXPECT_EQ(client.command("\x1a"s + std::string("\x01\0\0\0", 4))[0], 0);  // reset
  client.wire.command("\x19"s + std::string("\x01\0\0\0", 4));              // close has no response
  client.execute(statement, {"x"s});
  EXPECT_EQ(client.error.code, 1243);
  client.query("DELETE FROM sales_17.orders");
  EXPECT_EQ(client.error.code, 1210);  // a write needs a class option
}

TEST(Mysql, DistinguishesRejectedFailedAndTimedOut) {
  HttpEngine engine([](const HttpRequest& call) {
    if (call.headers.contains("X-Queue") && call.headers.at("X-Queue") == "lookup")
      return http_response(503, {}, "X-Shed: 1\r\n");
    return http_response(call.body == "UPDATE sales_17.x SET a = 1" ? 500 : 202);
  });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, false);
  MysqlClient client(broker.mysql_address);
  client.query("UPDATE sales_17.x SET a = 1", {{"class", "once"s}});
  EXPECT_EQ(client.error.code, 50002);
  EXPECT_EQ(client.error.state, "HY000");
  client.query("UPDATE sales_17.x SET a = 2", {{"class", "once"s}, {"limit", std::int64_t{900}}});
  EXPECT_EQ(client.error.code, 50003);
  EXPECT_EQ(client.error.state, "HYT00");
  engine.requests.wait_for([](const HttpRequest& c) { return c.method == "DELETE"; });
  client.query("SELECT 1");
  EXPECT_EQ(client.error.code, 50001);
  EXPECT_EQ(client.error.state, "40001");
  EXPECT_NE(client.error.message.find("500 ms"), std::string::npos);
}

TEST(Mysql, RetriesADroppedExecuteOnlyIfItsClassAllows) {
  std::atomic<bool> drop = true;
  const auto handler = [&](const ExecutedStatement& current) -> std::optional<MysqlEngine::Rows> {
    if (current.class_name == "once" || drop.exchange(false)) return std::nullopt;
    return MysqlEngine::Rows{};
  };
  MysqlEngine one(handler), two(handler);
  MysqlBroker broker({{"s-00000001", one.server.address()}, {"s-00000002", two.server.address()}}, true);
  MysqlClient client(broker.mysql_address);
  const auto load =
      client.prepare("/* bellstair: class=load unique=?1 item=a1 */ INSERT INTO sales_17.x VALUES (?)");
  client.execute(load, {"key-1"s});
  EXPECT_EQ(client.error.code, 0) << client.error.message;
  // It may have run before the connection was reset. Engines discard duplicates by key, so a retry with the
  // same key is safe.
  EXPECT_EQ(executions_with_key(one, "key-1") + executions_with_key(two, "key-1"), 2U);
  client.execute(load, {"key-2"s});
  EXPECT_EQ(executions_with_key(one, "key-2") + executions_with_key(two, "key-2"), 1U);
  const auto once = client.prepare("/* bellstair: class=once unique=?1 */ INSERT INTO sales_17.x VALUES (?)");
  client.execute(once, {"key-3"s});
  EXPECT_EQ(client.error.code, 50002);
  EXPECT_EQ(executions_with_key(one, "key-3") + executions_with_key(two, "key-3"), 1U);
}

TEST(Mysql, PreparesAStatementAgainOnAnotherEngine) {
  const MysqlEngine::Rows rows{{"x", std::nullopt}, {"tab\there", "\\"}};
  MysqlEngine one([&](const ExecutedStatement&) { return rows; }),
      two([&](const ExecutedStatement&) { return rows; });
  MysqlBroker broker({{"s-00000001", one.server.address()}}, true);
  MysqlClient client(broker.mysql_address);
  const auto statement = client.prepare("SELECT a FROM sales_17.x WHERE b = ?");
  EXPECT_EQ(one.prepared.count([](const auto&) { return true; }),
            0U);  // an engine gets it with the first execute
  EXPECT_EQ(client.execute(statement, {"1"s}), rows);
  EXPECT_EQ(client.execute(statement, {"2"s}), rows);
  EXPECT_EQ(one.prepared.count([](const auto&) { return true; }), 1U);  // once per connection
  one.server.stop();
  broker.change_log.push({server_entry("s-00000001", one.server.address(), "terminated"),
                          server_entry("s-00000002", two.server.address())});
  broker.change_log.wait_until_processed();
  EXPECT_EQ(client.execute(statement, {"3"s}), rows);
  EXPECT_EQ(two.prepared.count([](const auto&) { return true; }), 1U);
}

// Bytes after a complete response were taken for the response to the next statement on that connection.
TEST(Mysql, DoesNotReuseAConnectionWithBytesAfterTheResponse) {
  const MysqlEngine::Rows rows{{"x"}};
  MysqlEngine engine([&](const ExecutedStatement& e) {
    return e.statement.rfind("SELECT", 0) == 0 ? rows : MysqlEngine::Rows();
  });
  engine.duplicate_ok = true;
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, true);
  MysqlClient client(broker.mysql_address);
  client.query("/* bellstair: class=lookup */ UPDATE sales_17.x SET a = 1");
  EXPECT_EQ(client.error.code, 0);
  EXPECT_EQ(client.query("SELECT a FROM sales_17.x"), rows);
}

// Once an engine drains, an execute must not be sent to it, even if its prepare was sent before.
TEST(Mysql, ExecutesElsewhereIfTheEngineDrainsDuringPrepare) {
  const auto handler = [](const ExecutedStatement&) { return MysqlEngine::Rows{{"x"}}; };
  MysqlEngine one(handler), two(handler);
  std::promise<void> continue_prepare;
  one.on_prepare = [wait = continue_prepare.get_future().share()] { wait.wait(); };
  MysqlBroker broker({{"s-00000001", one.server.address()}}, true);
  MysqlClient client(broker.mysql_address);
  const auto statement = client.prepare("SELECT a FROM sales_17.x WHERE b = ?");
  client.wire.command(my::write_execute({statement, {"1"s}, {}}, true));
  one.prepared.wait_for([](const std::string&) { return true; });
  broker.change_log.push({server_entry("s-00000001", one.server.address(), "terminating"),
                          server_entry("s-00000002", two.server.address())});
  broker.change_log.wait_until_processed();
  continue_prepare.set_value();
  EXPECT_EQ(client.result(client.wire.receive(), true).size(), 1U);
  EXPECT_EQ(one.executed.count([](const ExecutedStatement&) { return true; }), 0U);
  EXPECT_EQ(two.executed.count([](const ExecutedStatement&) { return true; }), 1U);
}

TEST(Mysql, KillsAStatementPastItsDeadline) {
  std::promise<void> finish_statement;
  MysqlEngine engine([&, wait = finish_statement.get_future().share()](const ExecutedStatement&) {
    wait.wait();
    return MysqlEngine::Rows{};
  });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, true);
  MysqlClient client(broker.mysql_address);
  client.query("UPDATE sales_17.x SET a = 1", {{"class", "once"s}, {"limit", std::int64_t{5000}}});
  EXPECT_EQ(client.error.code, 50003);
  engine.killed.wait_for([](const std::string& text) { return text == "KILL 11"; });
  finish_statement.set_value();
}

TEST(Mysql, RejectsMalformedPacketsWithoutAffectingOthers) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("a\tb\tc\n"); });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, false);
  MysqlClient good(broker.mysql_address);
  for (const auto& bad : {"\x17\x01"s, ""s, "\x03\xff\xff"s}) {
    MysqlClient client(broker.mysql_address);
    EXPECT_EQ(my::read_error(client.command(bad)).code, 1835);
    EXPECT_TRUE(client.socket.read_to_end());
  }
  MysqlClient large(broker.mysql_address);
  large.socket.send("\xff\xff\xff\x00"s);
  EXPECT_EQ(my::read_error(large.wire.receive()).code, 1835);
  auto raw = Socket::connect_to(broker.mysql_address);
  raw.send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(raw.read_to_end());
  EXPECT_EQ(good.query("SELECT a FROM sales_17.x").size(), 1U);
}

}  // namespace
}  // namespace bellstair::test
