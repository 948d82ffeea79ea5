#include "state.hpp"

#include <stdexcept>
#include <string>

namespace heronwell {
namespace {
constexpr std::size_t kMaxMessageBytes = 256;

void append_number(std::string& bytes, unsigned value, int size) {
  for (; size > 0; --size, value >>= 8) bytes.push_back(static_cast<char>(value & 0xff));
}

unsigned read_number(const std::string& bytes, std::size_t offset, std::size_t size) {
  unsigned value = 0;
  while (size-- > 0) value = value << 8 | static_cast<unsigned char>(bytes[offset + size]);
  return value;
}
}  // namespace

void validate(const Settings& settings) {
  const auto throw_invalid = [](const char* error) {
    throw std::invalid_argument(std::string("heronwell settings: ") + error);
  };
  if (settings.gateways == 0) throw_invalid("gateways must be 1 or more");
  if (settings.classes.empty()) throw_invalid("classes must not be empty");
  if (settings.kinds.empty()) throw_invalid("kinds must not be empty");
  if (settings.max_attempts == 0) throw_invalid("max_attempts must be 1 or more");
  if (settings.slow_start_initial_share <= 0 || settings.slow_start_initial_share > 1)
    throw_invalid("slow_start_initial_share must be above 0 and at most 1");
  for (const auto& class_settings : settings.classes) {
    if (class_settings.latency_target <= Time::zero()) throw_invalid("classes[].aim must be above 0");
    if (class_settings.threads == 0) throw_invalid("classes[].threads must be 1 or more");
  }
  for (const auto& kind : settings.kinds) {
    if (!(kind.cores > 0)) throw_invalid("kinds[].cores must be above 0");
  }
  if (settings.retry_budget && settings.retry_budget->window <= Time::zero())
    throw_invalid("retry_budget.window must be above 0");
}

std::string encode(const PeerLoadMessage& message) {
  std::string bytes = message.has_reports ? "r" : "o";
  for (const unsigned value : {message.threads, message.arrival_rate_sixteenths})
    if (message.has_reports) append_number(bytes, std::min(value, 0xffffU), 2);
  for (const auto& entry : message.entries) {
    if (bytes.size() + 6 > kMaxMessageBytes) break;
    append_number(bytes, entry.engine, 4);
    append_number(bytes, std::min(entry.value, 0xffU), 1);
    if (message.has_reports) append_number(bytes, std::min(entry.age_ticks, 0xffU), 1);
  }
  return bytes;
}

std::optional<PeerLoadMessage> decode(const std::string& bytes) {
  PeerLoadMessage message;
  message.has_reports = !bytes.empty() && bytes[0] == 'r';
  const std::size_t header_size = message.has_reports ? 5 : 1, entry_size = message.has_reports ? 6 : 5;
  const bool known_form = message.has_reports || (!bytes.empty() && bytes[0] == 'o');
  if (!known_form || bytes.size() > kMaxMessageBytes || bytes.size() < header_size ||
      (bytes.size() - header_size) % entry_size != 0)
    return std::nullopt;
  if (message.has_reports)
    message.threads = read_number(bytes, 1, 2), message.arrival_rate_sixteenths = read_number(bytes, 3, 2);
  for (std::size_t i = header_size; i < bytes.size(); i += entry_size)
    message.entries.push_back({read_number(bytes, i, 4), read_number(bytes, i + 4, 1),
                               message.has_reports ? read_number(bytes, i + 5, 1) : 0});
  return message;
}

}  // namespace heronwell
