// End-to-end tests of plug-in scripts and of authentication against an LDAP directory.
#include <gtest/gtest.h>

#include "directory/ldap.hpp"
#include "harness.hpp"
#include "mysql_client.hpp"

namespace bellstair::test {
namespace {
using namespace std::string_literals;

// ---- plug-ins

// A broker with a plug-in script, an engine and a client. `time_ms` limits each call of the script.
class ScriptedBroker {
 public:
  explicit ScriptedBroker(const std::string& script, int time_ms = 10000)
      : file_(write_temporary_file(script)),
        engine([](const HttpRequest&) { return rows_response("a\tb\tc\n"); }),
        broker({{"s-00000001", engine.server.address()}},
               {{"plugin", {{"script", file_}, {"time_ms", time_ms}}}}),
        client(broker.address) {}
  ~ScriptedBroker() { ::unlink(file_.c_str()); }
  json query(const std::string& statement) {
    client.send_request(++last_id_, "lookup", statement);
    return client.read_response();
  }

 private:
  std::string file_;
  int last_id_ = 0;

 public:
  HttpEngine engine;
  Broker broker;
  Client client;
};

TEST(Plugin, ScriptCanRejectARequestBeforeThePolicyRuns) {
  ScriptedBroker scripted(R"(function admit(r)
    if r.tenant == "acme" and r.class == "lookup" and string.contains(r.statement, "sales_9.") then return {refuse = 120} end
    return {ram = 64}
  end)");
  const auto error = scripted.query("SELECT a FROM sales_9.x")["error"];
  EXPECT_EQ(error["code"], -32066);
  EXPECT_EQ(error["data"]["later"], 120);
  EXPECT_EQ(result_body(scripted.query("SELECT a FROM sales_8.x")), "a\tb\tc\n");
  EXPECT_EQ(scripted.engine.post_count(), 1U);
}

TEST(Plugin, FailingScriptIsLoggedAndDoesNotAffectItsRequest) {
  for (const auto& [script, expected_line] :
       {std::pair{"function admit(r) while true do end end", "it took too long"},
        {"function admit(r) local t = {} while true do t[#t + 1] = r.statement .. #t end end",
         "not enough memory"},
        {"function admit(r) return {refuse = 'never'} end", "'refuse' is no number in range"},
        {"function admit(r) return os.exit(1) end", "attempt to index a nil value"},
        {"function admit(r) error(42) end", "it failed"}}) {
    ScriptedBroker scripted(script, expected_line == std::string("it took too long") ? 20 : 10000);
    EXPECT_EQ(result_body(scripted.query("SELECT 1")), "a\tb\tc\n") << script;
    scripted.broker.program->wait_for_log_line(expected_line);
  }
}

TEST(Plugin, InvalidScriptIsReportedAtStartUp) {
  const auto script = write_temporary_file("function admit(r"),
             fronts = write_temporary_file(json{{"plugin", {{"script", script}}}}.dump());
  const auto config = write_temporary_file(json{
      {"listen", "127.0.0.1:0"},
      {"changelog", "127.0.0.1:1"},
      {"seed", "1"},
      {"settings", settings()}}.dump());
  Program program({"check-config", "--config", config, "--fronts", fronts});
  program.wait_for_log_line("plugin.script: ");
  EXPECT_NE(program.wait_for_exit(), 0);
  for (const auto& file : {script, fronts, config}) ::unlink(file.c_str());
}

// ---- directories
// LDAP (RFC 4511), reduced to what a search and two binds need.

// Encodes a BER element of fewer than 65536 bytes.
std::string encode_tlv(int tag, const std::string& value) {
  std::string out(1, static_cast<char>(tag));
  if (value.size() < 128) return out + static_cast<char>(value.size()) + value;
  return out + '\x82' + static_cast<char>(value.size() >> 8) + static_cast<char>(value.size()) + value;
}
// Removes the first BER element from `in`, stores its tag in `tag` if given, and returns its contents. Throws
// std::out_of_range if the element is incomplete.
std::string decode_tlv(std::string& in, int* tag = nullptr) {
  if (tag != nullptr) *tag = static_cast<unsigned char>(in.at(0));
  std::size_t size = static_cast<unsigned char>(in.at(1)), header_size = 2;
  if (size >= 128) {
    const auto bytes = size - 128;
    for (size = 0; header_size < 2 + bytes; ++header_size)
      size = size << 8 | static_cast<unsigned char>(in.at(header_size));
  }
  if (in.size() < header_size + size) throw std::out_of_range("incomplete element");
  auto out = in.substr(header_size, size);
  in.erase(0, header_size + size);
  return out;
}

// An emulated directory with the users "amina" and "stray". A silent one never responds.
class LdapServer {
 public:
  explicit LdapServer(bool silent = false)
      : server([this, silent](Socket& socket) { serve(socket, silent); }) {}
  Recorder<std::string> operations;  // user names searched for and names bound

 private:
  void serve(Socket& socket, bool silent) {
    while (socket.read_more()) {
      try {
        while (!silent) respond(socket);
      } catch (const std::out_of_range&) {
        // The message is incomplete.
      }
    }
  }
  void respond(Socket& socket) {
    auto rest = socket.received;
    auto message = decode_tlv(rest);
    const auto id = decode_tlv(message);
    int operation = 0;
    auto content = decode_tlv(message, &operation);
    socket.received = rest;
    const auto send_message = [&](int tag, const std::string& value) {
      socket.send(encode_tlv(0x30, encode_tlv(0x02, id) + encode_tlv(tag, value)));
    };
    const auto result = [](int code) {
      return encode_tlv(0x0a, std::string(1, static_cast<char>(code))) + encode_tlv(0x04, "") +
             encode_tlv(0x04, "");
    };
    if (operation == 0x60) {
      decode_tlv(content);  // version
      const auto name = decode_tlv(content), password = decode_tlv(content);
      operations.add("bind " + name);
      const bool known = (name == "cn=broker" && password == "secret") ||
                         (name == "uid=amina,o=schools" && password == "pass");
      send_message(0x61, result(known ? 0 : 49));
    } else if (operation == 0x63) {
      for (int i = 0; i < 6; ++i) decode_tlv(content);  // base to typesOnly
      auto filter = decode_tlv(content);
      decode_tlv(filter);
      const auto user = decode_tlv(filter);
      operations.add("search " + user);
      const auto tenant = encode_tlv(
          0x30,
          encode_tlv(0x30, encode_tlv(0x04, "o") +
                               encode_tlv(0x31, encode_tlv(0x04, user == "stray" ? "elsewhere" : "acme"))));
      if (user == "amina" || user == "stray")
        send_message(0x64, encode_tlv(0x04, "uid=" + user + ",o=schools") + tenant);
      send_message(0x65, result(0));
    }
  }

 public:
  Server server;
};

json with_directory(const std::string& address) {
  return {{"mysql", {{"listen", "127.0.0.1:0"}}},
          {"directory",
           {{"address", address},
            {"base", "o=schools"},
            {"bind_dn", "cn=broker"},
            {"bind_password_env", "TEST_SECRET"},
            {"timeout_ms", 500}}}};
}

TEST(Directory, AuthenticatesUsersWithTheirTenantsAndCachesThem) {
  LdapServer ldap;
  HttpEngine engine([](const HttpRequest&) { return rows_response("a\tb\tc\n"); });
  Broker broker({{"s-00000001", engine.server.address()}}, with_directory(ldap.server.address()));
  const auto mysql = broker.program->listen_address("mysql.listen");
  for (int i = 0; i < 3; ++i) {
    MysqlClient client(mysql, "amina", "pass");
    ASSERT_EQ(client.login[0], 0);
    EXPECT_EQ(client.query("SELECT 1").size(), 1U);
  }
  EXPECT_EQ(ldap.operations.count([](const std::string& operation) { return operation == "search amina"; }),
            1U);
  // An unknown user, a wrong password, an empty one (which a directory accepts as an unauthenticated bind), a
  // tenant that is not configured, and a filter pattern.
  for (const auto& [user, password] :
       {std::pair{"nobody", "pass"}, {"amina", "wrong"}, {"amina", ""}, {"stray", "pass"}, {"*", "pass"}})
    EXPECT_EQ(mysql::read_error(MysqlClient(mysql, user, password).login).code, 1045) << user;
  EXPECT_EQ(ldap.operations.count([](const std::string& operation) { return operation == "search *"; }),
            1U);  // as a literal name, not as a pattern
}

TEST(Directory, UnreachableOrUnresponsiveServerDoesNotBlockOtherClients) {
  HttpEngine engine([](const HttpRequest&) { return rows_response("a\tb\tc\n"); });
  LdapServer unresponsive(true), unreachable;
  unreachable.server.stop();
  for (const auto& address : {unresponsive.server.address(), unreachable.server.address()}) {
    Broker broker({{"s-00000001", engine.server.address()}}, with_directory(address));
    const auto mysql = broker.program->listen_address("mysql.listen");
    auto login = std::async(std::launch::async, [&] { return MysqlClient(mysql, "amina", "pass").login; });
    Client client(broker.address);
    client.send_request(1, "lookup", "SELECT 1");
    EXPECT_EQ(result_body(client.read_response()), "a\tb\tc\n");
    EXPECT_EQ(mysql::read_error(login.get()).code, 1429);
  }
}

TEST(Directory, UserNamesAreEscapedInFilters) {
  EXPECT_EQ(directory::escape_filter("a*)(uid=\\"s + '\0' + "\xc3\xa9"), "a\\2a\\29\\28uid=\\5c\\00\\c3\\a9");
}

}  // namespace
}  // namespace bellstair::test
