// Protocol between the simulator and its adapter: binary frames that carry records, and the settings in JSON.
// All integers are little-endian, times are in nanoseconds, strings are preceded by their length in bytes.
//
// A batch (simulator to adapter) is a header of kHeaderBytes: frame length including the header (32 bits),
// number of records (32), current time (64), sequence number (32); then the records. A reply (adapter to
// simulator) is a header of 12 bytes: frame length including the header, number of records, sequence number
// of the batch (32 bits each); then the records. A record is a code in one byte and the fields that belong to
// it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "heronwell/gateway.hpp"

namespace heronwell::simulator {

// Invalid frame or settings. The message names the field of the settings.
struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Creates a gateway, or replaces it if the instance is already running.
struct StartInstance {
  std::uint64_t seed = 0;  // see Gateway::Gateway()
  Settings settings;
};
// Destroys the gateway of the instance; events that it has not processed yet are discarded.
struct StopInstance {};
using RecordPayload = std::variant<StartInstance, StopInstance, Event>;

struct Record {
  std::uint32_t instance = 0;  // ID of the gateway instance that the payload is for
  RecordPayload payload;
};

// One decoded frame of the simulator.
struct Batch {
  Time now{};                  // on the simulated clock
  std::uint32_t sequence = 0;  // returned in the reply
  std::vector<Record> records;
};

// Size of the length field that a frame begins with.
inline constexpr std::size_t kLengthBytes = 4;
// Size of the header of a batch, the length field included.
inline constexpr std::size_t kHeaderBytes = 20;
// Largest accepted frame, the header included: 1 GiB.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;

// Reads settings from JSON text. Unknown keys are ignored. Throws ParseError if the text is not a JSON
// object, or if a key is missing or has an invalid value.
[[nodiscard]] Settings parse_settings(std::string_view json);
// As parse_settings(), from a JSON value.
[[nodiscard]] Settings settings_from(const nlohmann::json& in);
// Returns the length in bytes of the whole batch frame that begins with `first_bytes`. Throws ParseError if
// these are fewer than kLengthBytes, or if the length is less than kHeaderBytes or greater than
// kMaxFrameBytes.
[[nodiscard]] std::size_t frame_length(std::span<const std::uint8_t> first_bytes);

// Decodes batches. Keeps the numbered membership lists from one batch to the next; they are shared by all
// instances.
class BatchReader {
 public:
  // `frame` is one whole frame. Throws ParseError if it is invalid.
  [[nodiscard]] Batch read(std::span<const std::uint8_t> frame);

 private:
  std::vector<std::vector<EngineEntry>> memberships_ = std::vector<std::vector<EngineEntry>>(16);
  std::vector<bool> defined_ = std::vector<bool>(16, false);  // which of memberships_ have been received
};

// Encodes one reply.
class ReplyWriter {
 public:
  // The actions added after this call are those of instance `id`.
  void select_instance(std::uint32_t id);
  void add_action(const Action& action);
  // Returns the whole frame. `sequence` is the sequence number of the batch that it replies to.
  [[nodiscard]] std::vector<std::uint8_t> finish(std::uint32_t sequence);

 private:
  std::vector<std::uint8_t> body_;
  std::uint32_t record_count_ = 0;
};

}  // namespace heronwell::simulator
