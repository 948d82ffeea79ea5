// Adapter that runs gateways under a simulator: reads batches of events from standard input and writes a
// reply with the resulting actions to standard output for each. Exits with status 0 at the end of input, 1
// after an error.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <map>
#include <optional>
#include <vector>

#include "heronwell/gateway.hpp"
#include "simulator/protocol.hpp"

namespace {

using heronwell::Action;
using heronwell::Event;
using heronwell::Gateway;
namespace simulator = heronwell::simulator;

// Reads one frame from standard input. Returns false at the end of input; throws ParseError if the frame is
// truncated or its length is invalid.
bool read_frame(std::vector<std::uint8_t>& frame) {
  frame.resize(simulator::kLengthBytes);
  const auto bytes_read = std::fread(frame.data(), 1, frame.size(), stdin);
  if (bytes_read == 0 && std::feof(stdin) != 0) return false;
  if (bytes_read != frame.size()) throw simulator::ParseError("frame: truncated");
  const auto length = simulator::frame_length(frame);
  // The buffer grows as bytes arrive, so that a corrupt length does not allocate up to 1 GiB at once.
  constexpr std::size_t kMaxChunkBytes = std::size_t{1} << 20;
  while (frame.size() < length) {
    const auto offset = frame.size();
    const auto chunk_bytes = std::min(kMaxChunkBytes, length - offset);
    frame.resize(offset + chunk_bytes);
    if (std::fread(frame.data() + offset, 1, chunk_bytes, stdin) != chunk_bytes)
      throw simulator::ParseError("frame: truncated");
  }
  return true;
}

// Runs the gateway instances and passes each of them its events.
class Adapter {
 public:
  // Returns the reply frame. Consecutive events of one instance are passed to its gateway in one call. Throws
  // ParseError for an event of an instance that is not running, std::invalid_argument for invalid settings.
  std::vector<std::uint8_t> process(const simulator::Batch& batch) {
    simulator::ReplyWriter reply;
    std::vector<Event> events;
    std::optional<std::uint32_t> current_instance;
    const auto flush = [&] {
      if (current_instance && !events.empty()) run_gateway(batch.now, *current_instance, events, reply);
      events.clear();
    };
    for (const auto& record : batch.records) {
      if (current_instance != record.instance) flush();
      current_instance = record.instance;
      if (const auto* start = std::get_if<simulator::StartInstance>(&record.payload)) {
        flush();
        gateways_.insert_or_assign(record.instance, Gateway(start->settings, start->seed));
      } else if (std::holds_alternative<simulator::StopInstance>(record.payload)) {
        events.clear();
        gateways_.erase(record.instance);
      } else {
        events.push_back(std::get<Event>(record.payload));
      }
    }
    flush();
    return reply.finish(batch.sequence);
  }

 private:
  void run_gateway(heronwell::Time now, std::uint32_t instance_id, const std::vector<Event>& events,
                   simulator::ReplyWriter& reply) {
    const auto found = gateways_.find(instance_id);
    if (found == gateways_.end())
      throw simulator::ParseError("frame: event for an instance that is not running");
    std::vector<Action> actions;
    found->second.handle(now, events, actions);
    if (actions.empty()) return;
    reply.select_instance(instance_id);
    for (const auto& action : actions) reply.add_action(action);
  }

  std::map<std::uint32_t, Gateway> gateways_;  // by instance ID
};

}  // namespace

int main() {
  try {
    simulator::BatchReader reader;
    Adapter adapter;
    std::vector<std::uint8_t> frame;
    while (read_frame(frame)) {
      const auto reply = adapter.process(reader.read(frame));
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fputs("heronwell_drill: cannot write the reply\n", stderr);
        return 1;
      }
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "heronwell_drill: %s\n", error.what());
    return 1;
  }
}
