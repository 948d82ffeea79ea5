#include <gtest/gtest.h>

#include <initializer_list>
#include <string>

#include "simulator/protocol.hpp"

namespace heronwell::simulator {
namespace {

using Frame = std::vector<std::uint8_t>;

void append_uint(Frame& frame, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) frame.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

// A batch at 5000 ns with sequence number 9.
Frame batch_frame(std::uint32_t records, const Frame& body) {
  Frame frame;
  append_uint(frame, 20 + body.size(), 4);
  append_uint(frame, records, 4);
  append_uint(frame, 5000, 8);
  append_uint(frame, 9, 4);
  frame.insert(frame.end(), body.begin(), body.end());
  return frame;
}

Frame from_hex(const std::string& text) {
  Frame frame;
  for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    frame.push_back(static_cast<std::uint8_t>(std::stoi(text.substr(i, 2), nullptr, 16)));
  return frame;
}

const char* const kSettingsJson =
    R"({"balancers": 3, "kinds": ["a"], "unheard-of": [1, {"x": 2}], "ceilings": {"max-attempts": 3},
        "safety": {}, "family-info": {"cpu-of-kind": [12], "width-by-class": [4]},
        "classes": [{"aim": 800000000, "give-up": 4000000000, "semantics": "safe", "bound-to": [0]}]})";

TEST(SimulatorProtocol, ReadsAnArrivalOfTheSelectedInstance) {
  const auto body = from_hex(
      "8203000000"
      "1ec4913a5d0000"
      "00000000"
      "640ad2557c3bf091"
      "001c4e0e00000000"
      "001bb70000000000"
      "0000c043"
      "00003041"
      "01");
  BatchReader reader;
  const auto batch = reader.read(batch_frame(2, body));
  ASSERT_EQ(batch.records.size(), 1U);
  EXPECT_EQ(batch.records[0].instance, 3U);
  const auto& arrival = std::get<Arrival>(std::get<Event>(batch.records[0].payload));
  EXPECT_EQ(arrival.request, 0x5d3a91c4U);
  EXPECT_EQ(arrival.time_left, std::chrono::milliseconds(240));
  EXPECT_EQ(arrival.estimated_memory_mb, 384);
  EXPECT_EQ(arrival.data_group, 11);
  ASSERT_TRUE(arrival.estimated_work.has_value());
  EXPECT_EQ(*arrival.estimated_work, std::chrono::milliseconds(12));
}

TEST(SimulatorProtocol, ReadsMembershipListsAndTheirEntries) {
  const auto body = from_hex(
      "7802000000"
      "02000000"
      "074a1203"
      "0000"
      "0000"
      "0000"
      "02"
      "0000803f"
      "0000000000000000"
      "f211902c"
      "0000"
      "0000"
      "0000"
      "00"
      "0000c03f"
      "009d966b01000000"
      "8203000000"
      "14"
      "02"
      "02000000"
      "29000000");
  BatchReader reader;
  const auto batch = reader.read(batch_frame(3, body));
  ASSERT_EQ(batch.records.size(), 1U);
  const auto& update = std::get<MembershipUpdate>(std::get<Event>(batch.records[0].payload));
  EXPECT_EQ(update.kind, MembershipUpdateKind::cached);
  ASSERT_EQ(update.engines.size(), 2U);
  EXPECT_EQ(update.engines[0].engine, 0x03124a07U);
  EXPECT_EQ(update.engines[1].state, EngineState::draining);
}

TEST(SimulatorProtocol, ReadsAnAttemptResultWithItsCost) {
  const auto body = from_hex(
      "8203000000"
      "32c4913a5d"
      "0000"
      "074a1203"
      "6400"
      "a0491a0100000000"
      "01"
      "60100100"
      "00");
  BatchReader reader;
  const auto batch = reader.read(batch_frame(2, body));
  const auto& result = std::get<AttemptResult>(std::get<Event>(batch.records[0].payload));
  EXPECT_EQ(result.status, AttemptStatus::served);
  EXPECT_TRUE(result.request_closed);
  EXPECT_EQ(*result.work, std::chrono::milliseconds(17));
  EXPECT_EQ(result.memory_needed_mb, 4.0 * 0x060);
}

TEST(SimulatorProtocol, EveryTruncationOfARecordIsRejected) {
  const auto body = from_hex(
      "8203000000"
      "32c4913a5d"
      "0000"
      "074a1203"
      "6400"
      "a0491a0100000000"
      "01"
      "60100100"
      "00");
  for (std::size_t length = 0; length < body.size(); ++length) {
    BatchReader reader;
    const Frame truncated(body.begin(), body.begin() + static_cast<std::ptrdiff_t>(length));
    EXPECT_THROW((void)reader.read(batch_frame(2, truncated)), ParseError) << length;
  }
}

TEST(SimulatorProtocol, RejectsUnknownCodesAndBrokenFrames) {
  const auto expect_parse_error = [](std::uint32_t records, const std::string& text) {
    BatchReader reader;
    EXPECT_THROW((void)reader.read(batch_frame(records, from_hex(text))), ParseError) << text;
  };
  expect_parse_error(2,
                     "8203000000"
                     "07");             // event code
  expect_parse_error(1, "4600000000");  // no instance selected
  expect_parse_error(1,
                     "7810000000"
                     "00000000");  // membership list number
  expect_parse_error(2,
                     "8203000000"
                     "14"
                     "01"
                     "05000000"
                     "00000000");  // a membership list that was not defined
  expect_parse_error(1,
                     "7800000000"
                     "ffffffff");  // entry count past the frame
  expect_parse_error(1,
                     "8203000000"
                     "00");  // bytes after the last record
  expect_parse_error(2,
                     "8203000000"
                     "0a"
                     "0000000000000000"
                     "ffffffff");  // settings past the frame
  BatchReader reader;
  Frame incomplete = batch_frame(0, {});
  incomplete.pop_back();
  EXPECT_THROW((void)reader.read(incomplete), ParseError);
  EXPECT_THROW((void)frame_length(from_hex("ffffffff")), ParseError);
  EXPECT_THROW((void)frame_length(from_hex("0300")), ParseError);
}

TEST(SimulatorProtocol, WritesTheDocumentedExampleReply) {
  ReplyWriter writer;
  writer.select_instance(3);
  writer.add_action(Send{0x5d3a91c4, 0x03124a07, Time(0x01fa2d7390)});
  EXPECT_EQ(writer.finish(12), from_hex("22000000"
                                        "02000000"
                                        "0c000000"
                                        "5a03000000"
                                        "64c4913a5d"
                                        "90732dfa01000000"
                                        "074a1203"));
}

TEST(SimulatorSettings, UnknownKeysAreIgnored) {
  const auto settings = parse_settings(kSettingsJson);
  EXPECT_EQ(settings.gateways, 3U);
  EXPECT_EQ(settings.kinds[0].cores, 12);
  EXPECT_EQ(settings.classes[0].threads, 4U);
  EXPECT_EQ(settings.classes[0].latency_target, std::chrono::milliseconds(800));
  ASSERT_TRUE(settings.classes[0].allowed_kinds.has_value());
  EXPECT_FALSE(settings.retry_budget.has_value());
}

TEST(SimulatorSettings, InvalidSettingsAreRejectedWithTheirKey) {
  EXPECT_THROW((void)parse_settings("{"), ParseError);
  EXPECT_THROW((void)parse_settings("[]"), ParseError);
  std::string text = kSettingsJson;
  text.replace(text.find("balancers"), 9, "balancerz");
  try {
    (void)parse_settings(text);
    FAIL();
  } catch (const ParseError& error) {
    EXPECT_NE(std::string(error.what()).find("balancers"), std::string::npos);
  }
  text = kSettingsJson;
  text.replace(text.find("\"safe\""), 6, "\"what\"");
  EXPECT_THROW((void)parse_settings(text), ParseError);
  text = kSettingsJson;
  text.replace(text.find("800000000"), 9, "\"soon\"   ");
  EXPECT_THROW((void)parse_settings(text), ParseError);
  text = kSettingsJson;
  text.insert(text.find('{') + 1, R"("report": {"how": "pull", "fields": [7]}, )");
  EXPECT_THROW((void)parse_settings(text), ParseError);
}

}  // namespace
}  // namespace heronwell::simulator
