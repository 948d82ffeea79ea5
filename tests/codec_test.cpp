// Codecs: each decodes what it encodes and rejects malformed input.
#include <gtest/gtest.h>

#include "mysql/mapping.hpp"
#include "mysql/packet.hpp"
#include "mysql/result.hpp"
#include "platform/base64.hpp"
#include "platform/http.hpp"
#include "platform/jsonrpc.hpp"
#include "platform/rpc_id_scanner.hpp"
#include "sql/statement.hpp"
#include "sql/value.hpp"

namespace bellstair {
namespace {
using namespace std::string_literals;

TEST(Sql, ReadsTheDataGroupFromTheSchemaName) {
  EXPECT_EQ(sql::table_group("SELECT a FROM sales_17.orders"), 17);
  EXPECT_EQ(sql::table_group("INSERT INTO `sales_4`.`orders` SELECT * FROM staging.rows_9"), 4);
  EXPECT_EQ(sql::table_group("INSERT INTO staging.x_1 SELECT 1 FROM sales_8.t"), 8);
  EXPECT_EQ(
      sql::table_group("SELECT 'from sales_3.x' /* from sales_4.x */ -- from sales_5.x\n FROM sales_6.x"), 6);
  EXPECT_EQ(sql::table_group("SELECT t_2.id FROM sales_7.orders t_2"), 7);
  EXPECT_EQ(sql::table_group("SELECT 'it''s \\' sales_3.x', \"sales_4.y\" FROM \"sales_9\".\"x\""), 9);
  EXPECT_EQ(sql::table_group("SELECT 1"), 0);
  EXPECT_EQ(sql::table_group("SELECT 'unended from sales_3.x"), 0);
}

TEST(Sql, ReplacesOnlyPlaceholdersByLiterals) {
  const std::vector<sql::Value> values{"it's\\"s, std::int64_t{-5}, sql::Null{}, sql::Bytes{"\x01\xff"}};
  EXPECT_EQ(sql::with_literals("SELECT '?', ? /* ? */, ?, ?, ?", values),
            "SELECT '?', 'it''s\\\\' /* ? */, -5, NULL, x'01ff'");
  EXPECT_FALSE(sql::with_literals("SELECT ?", values));
  EXPECT_EQ(sql::decode_values(sql::encode_values(values)), values);
  EXPECT_FALSE(sql::decode_values(sql::encode_values(values) + "x"));
  EXPECT_FALSE(sql::decode_values(sql::encode_values(values).substr(0, 9)));
}

TEST(Base64, RoundTripsAndRejectsInvalidInput) {
  for (const auto& text : {""s, "a"s, "ab"s, "abc"s, "\0\xff\n"s})
    EXPECT_EQ(platform::from_base64(platform::to_base64(text)), text);
  for (const auto* bad : {"a", "ab=", "a===", "ab=c", " YWJj", "YWJj\n", "YW*j"})
    EXPECT_FALSE(platform::from_base64(bad)) << bad;
}

// What calls don't contain is dropped while it is parsed; a call beside it is still read.
TEST(JsonRpc, NestedArraysAreIgnored) {
  config::NameIndex names;
  names.classes = {{"lookup", 0}};
  const auto parse = [&names](const std::string& members, const std::string& parameters) {
    return platform::parse_rpc(
        R"({"jsonrpc":"2.0","id":7,"method":"lookup")" + members + R"(,"params":)" + parameters + "}", names);
  };
  const auto parameters = R"({"txn":"9b1f03aa5c7e2d41","limit":1500,"data":"YWJj","extra":[[],[1]]})"s;
  const auto call = parse(R"(,"extra":[{"id":8},[[]]])", parameters);
  ASSERT_TRUE(std::holds_alternative<platform::RpcRequest>(call));
  EXPECT_EQ(std::get<platform::RpcRequest>(call).id, 7U);
  EXPECT_EQ(std::get<platform::RpcRequest>(call).request.body, "abc");
  const auto without_ticket = parse("", R"({"txn":["9b1f03aa5c7e2d41"],"limit":1500,"data":"YWJj"})");
  ASSERT_TRUE(std::holds_alternative<platform::RpcError>(without_ticket));
  EXPECT_EQ(std::get<platform::RpcError>(without_ticket).id, 7U);
  const auto no_call = platform::parse_rpc("[[],[]]", names);
  ASSERT_TRUE(std::holds_alternative<platform::RpcError>(no_call));
  EXPECT_EQ(std::get<platform::RpcError>(no_call).code, platform::kRpcInvalidRequest);
}

// Guards against a response with a wrong id to a line of which only the beginning is known.
std::optional<std::uint64_t> scan_for_id(const std::vector<std::string>& parts) {
  platform::RpcIdScanner scanner;
  for (const auto& part : parts) scanner.feed(part);
  return scanner.id();
}

TEST(JsonRpc, FindsTheIdOfAnIncompleteLineOnlyIfItIsComplete) {
  const std::pair<const char*, std::optional<std::uint64_t>> kCases[] = {
      {R"({"jsonrpc":"2.0","id":17,"method":"lookup","params":{"data":"AAA)", 17},
      {R"({"id": 17 , "params":{"id":3)", 17},
      {R"({"params":{"id":3,"list":[{"id":4}]},"id":5})", 5},
      {R"({"params":{"id":3,"data":"\"id\":4)", std::nullopt},
      {R"({"id":17)", std::nullopt},
      {R"({"id":"17",)", std::nullopt},
      {R"({"id":-1,)", std::nullopt},
      {R"([{"id":1,)", std::nullopt},
      {"xxxx", std::nullopt},
      {"", std::nullopt}};
  for (const auto& [text, id] : kCases) EXPECT_EQ(scan_for_id({text}), id) << text;
}

// Guards against an id that is missed because of where the parts of its line begin and end.
TEST(JsonRpc, FindsTheIdHoweverTheLineIsDivided) {
  const std::string lines[] = {
      R"({"jsonrpc":"2.0","params":{"id":3,"list":[{"id":4}],"data":"\\\"id\":5,"}, "id" : 170 })",
      R"({"\u0069\u0064":170,"method":"}{[]"})", R"({"method":"id","id":170,"params":["id",{"id":1}]})"};
  for (const auto& line : lines) {
    for (std::size_t size = 0; size <= line.size(); ++size)
      EXPECT_EQ(scan_for_id({line.substr(0, size), line.substr(size)}), 170U) << line << ", " << size;
  }
}

// Guards against memory that grows with a line that has no end.
TEST(JsonRpc, LongKeysAndNumbersAreNoId) {
  EXPECT_EQ(scan_for_id({"{\"id", std::string(100'000, 'd'), "\":1,"}), std::nullopt);
  EXPECT_EQ(scan_for_id({"{\"id\":", std::string(100'000, '1'), ","}), std::nullopt);
}

TEST(Http, ReadsAResponseInPieces) {
  const auto bytes =
      "HTTP/1.1 200 OK\r\nResult-Pages: 3\r\nX-Meter: a:1;b:x;c:0.5\r\nContent-Length: 4\r\n\r\na\tb\n"s;
  platform::HttpResponseParser reader(100);
  for (const char c : bytes) {
    ASSERT_FALSE(reader.complete());
    ASSERT_TRUE(reader.feed({&c, 1}));
  }
  ASSERT_TRUE(reader.complete());
  const auto response = reader.take();
  EXPECT_EQ(response.status, 200U);
  EXPECT_EQ(response.number("result-pages"), 3);
  EXPECT_EQ(response.body, "a\tb\n");
  const auto meter = platform::parse_load_header(response.header("x-meter"));
  EXPECT_EQ(meter.size(), 2U);
  EXPECT_EQ(meter.at("c"), 0.5);
}

TEST(Http, SkipsInterimResponsesAndClosesAfterTrailingBytes) {
  const auto kValid = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"s;
  for (const auto& [bytes, keep] : {std::pair(kValid, true),
                                    {"HTTP/1.1 103 x\r\nA: b\r\n\r\nHTTP/1.1 100 x\r\n\r\n" + kValid, true},
                                    {kValid + "x", false},
                                    {kValid + kValid, false},
                                    {"HTTP/1.1 202 x\r\nContent-Length: 0\r\n\r\n"s, true}}) {
    platform::HttpResponseParser reader(100);
    EXPECT_TRUE(reader.feed(bytes));
    ASSERT_TRUE(reader.complete()) << bytes;
    const auto response = reader.take();
    EXPECT_GE(response.status, 200U);
    EXPECT_EQ(response.keep_alive, keep) << bytes;
  }
}

TEST(Http, RejectsMalformedAndOversizedResponses) {
  for (const auto& bad :
       {"nonsense\r\n\r\n"s, "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n"s + std::string(101, 'x'),
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"s,
        [] {
          std::string out;
          while (out.size() < 40000) out += "HTTP/1.1 102 x\r\nA: b\r\n\r\n";
          return out;
        }(),
        "HTTP/1.1 200 OK\r\nA: " + std::string(20000, 'x')}) {
    platform::HttpResponseParser reader(100);
    EXPECT_FALSE(reader.feed(bad)) << bad.substr(0, 40);
  }
  platform::HttpResponseParser truncated(100);
  EXPECT_TRUE(truncated.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"));
  EXPECT_FALSE(truncated.finish());  // a truncated body is an error
}

// The expected bytes are the examples of the protocol's documentation.
TEST(MysqlPackets, MatchesDocumentedBytes) {
  EXPECT_EQ(mysql::frame(1, mysql::write_ok()), "\x07\x00\x00\x01\x00\x00\x00\x02\x00\x00\x00"s);
  EXPECT_EQ(mysql::frame(5, mysql::write_eof()), "\x05\x00\x00\x05\xfe\x00\x00\x02\x00"s);
  EXPECT_EQ(mysql::write_error({1096, "HY000", "No tables used"}), "\xff\x48\x04#HY000No tables used"s);
  // COM_STMT_EXECUTE of statement 1 with the text "foo", new types bound.
  mysql::ParameterTypes types;
  const auto execute = mysql::read_execute(
      "\x17\x01\x00\x00\x00\x00\x01\x00\x00\x00\x00\x01\x0f\x00\x03"s + "foo", 1, false, types);
  EXPECT_EQ(execute.statement_id, 1U);
  EXPECT_EQ(execute.values, std::vector<sql::Value>{"foo"s});
  // A binary row of one var_string column.
  EXPECT_EQ(mysql::write_binary_row({"foobar"s}), "\x00\x00\x06"s + "foobar");
  EXPECT_EQ(mysql::write_binary_row({std::nullopt}), "\x00\x04"s);
  // SHA1(password) XOR SHA1(nonce + SHA1(SHA1(password))).
  EXPECT_EQ(mysql::native_auth_response("", "nonce"), "");
  EXPECT_EQ(mysql::native_auth_response("secret", std::string(20, 'n')).size(), 20U);
}

TEST(MysqlPackets, DecodesSignedIntegersDatesAndFloats) {
  const auto row = "\x00\x00\xff"s + "\x00\x00\xc0\x3f"s + "\x04\xda\x07\x0a\x11"s +
                   "\x08\x01\x01\x00\x00\x00\x13\x1b\x1e"s;
  const auto cells = mysql::read_binary_row(row, {0x01, 0x04, 0x0a, 0x0b});
  EXPECT_EQ(cells[0], "-1");
  EXPECT_EQ(cells[1], "1.5");
  EXPECT_EQ(cells[2], "2010-10-17");
  EXPECT_EQ(cells[3], "-43:27:30");
}

// Every proper prefix of a valid packet throws Malformed and nothing else.
TEST(MysqlPackets, RejectsTruncatedPackets) {
  mysql::Execute execute{3, {"abc"s, std::int64_t{7}, sql::Null{}}, {{"class", "lookup"s}}};
  const auto packet = mysql::write_execute(execute, true);
  for (std::size_t size = 0; size < packet.size(); ++size) {
    mysql::ParameterTypes types;
    EXPECT_THROW(static_cast<void>(mysql::read_execute(packet.substr(0, size), 3, true, types)),
                 mysql::Malformed)
        << size;
  }
  mysql::ParameterTypes types;
  const auto read = mysql::read_execute(packet, 3, true, types);
  EXPECT_EQ(read.values, execute.values);
  ASSERT_EQ(read.attributes.size(), 1U);
  EXPECT_EQ(read.attributes[0].name, "class");
  mysql::PacketReader reader(100);
  reader.feed("\xff\xff\xff\x00"s);
  EXPECT_THROW(static_cast<void>(reader.next()), mysql::Malformed);
}

TEST(MysqlResults, RowsRoundTripAsText) {
  const std::vector<std::vector<mysql::Cell>> rows{{"a\tb"s, std::nullopt, "\\N"s}, {""s, "x\ny"s, "\0"s}};
  std::string body;
  for (const auto& row : rows) mysql::append_row(body, row);
  EXPECT_EQ(mysql::parse_rows(body, true), rows);
  EXPECT_EQ(mysql::parse_rows("a\\t\tb\n", false), (std::vector<std::vector<mysql::Cell>>{{"a\\t"s, "b"s}}));
}

TEST(MysqlMapping, ReadsOptionsFromCommentsAndAttributes) {
  heronwell::Settings settings;
  heronwell::ClassSettings lookup, load;
  lookup.name = "lookup";
  lookup.request_timeout = std::chrono::seconds(2);
  load.name = "load";
  load.request_timeout = std::chrono::seconds(25);
  load.idempotency = heronwell::Idempotency::keyed;
  settings.classes = {lookup, load};
  config::NameIndex names;
  names.classes = {{"lookup", 0}, {"load", 1}};
  const auto map = [&](const char* text, const std::vector<sql::Value>& values = {},
                       const std::vector<mysql::Attribute>& attributes = {}) {
    return mysql::map_statement(text, values, attributes, 3, names, settings);
  };
  const auto plain = map("SELECT a FROM sales_17.orders");
  EXPECT_EQ(plain.class_index, 0);
  EXPECT_EQ(plain.timeout, std::chrono::seconds(2));
  EXPECT_EQ(plain.data_group, 17);
  EXPECT_EQ(plain.tenant, 3U);
  const auto full =
      map("/* bellstair: class=load unique=?2 item=ff limit=900 */ INSERT INTO a_1.b VALUES (?, ?)",
          {std::int64_t{1}, "k-1"s}, {{"limit", std::int64_t{700}}, {"driver_name", "x"s}});
  EXPECT_EQ(full.class_index, 1);
  EXPECT_EQ(full.idempotency_key, "k-1");
  EXPECT_EQ(full.order_key, 255U);
  EXPECT_EQ(full.timeout, std::chrono::milliseconds(700));
  for (const auto* bad :
       {"INSERT INTO a_1.b VALUES (1)", "/* bellstair: class=load */ INSERT INTO a_1.b VALUES (1)",
        "/* bellstair: class=none */ SELECT 1", "/* bellstair: what=1 */ SELECT 1",
        "/* bellstair: limit=x */ SELECT 1", "/* bellstair: item=?1 */ SELECT 1"})
    EXPECT_THROW(static_cast<void>(map(bad)), mysql::MappingError) << bad;
}

}  // namespace
}  // namespace bellstair
