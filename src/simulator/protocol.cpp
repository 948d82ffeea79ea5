#include "simulator/protocol.hpp"

#include <algorithm>
#include <bit>
#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>

namespace heronwell::simulator {
namespace {

using nlohmann::json;

// ---- settings -----------------------------------------------------------------------------------------

// Throws a ParseError that names the field.
[[noreturn]] void throw_field_error(const std::string& field, const char* problem) {
  throw ParseError("settings: " + field + " " + problem);
}

// Throws ParseError if the field is absent or null, or if `in` is not an object.
const json& required_field(const json& in, const char* key) {
  if (!in.is_object())
    throw_field_error(key, "cannot be read: the value that should contain it is not an object");
  const auto found = in.find(key);
  if (found == in.end() || found->is_null()) throw_field_error(key, "is missing");
  return *found;
}

// Returns nullptr if the field is absent or null.
const json* optional_field(const json& in, const char* key) {
  const auto found = in.find(key);
  return found == in.end() || found->is_null() ? nullptr : &*found;
}

double to_number(const json& value, const char* key) {
  if (!value.is_number()) throw_field_error(key, "is not a number");
  return value.get<double>();
}

double number_or(const json& in, const char* key, double default_value) {
  const json* value = optional_field(in, key);
  return value == nullptr ? default_value : to_number(*value, key);
}

// Fractions are truncated. A floating-point value is accepted up to half of the maximum of T, where its
// conversion cannot overflow.
template <std::integral T>
T to_integer(const json& value, const char* key) {
  if (value.is_number_unsigned()) {
    const auto v = value.get<std::uint64_t>();
    if (v <= static_cast<std::uint64_t>(std::numeric_limits<T>::max())) return static_cast<T>(v);
  } else if (value.is_number_float()) {
    const double v = value.get<double>();
    if (v >= 0 && v <= static_cast<double>(std::numeric_limits<T>::max()) / 2) return static_cast<T>(v);
  }
  throw_field_error(key, "is not a whole number in range");
}

template <std::integral T>
T integer_or(const json& in, const char* key, T default_value) {
  const json* value = optional_field(in, key);
  return value == nullptr ? default_value : to_integer<T>(*value, key);
}

// The JSON value is in nanoseconds.
Time to_time(const json& value, const char* key) { return Time(to_integer<std::int64_t>(value, key)); }

Time time_or(const json& in, const char* key, Time default_value) {
  const json* value = optional_field(in, key);
  return value == nullptr ? default_value : to_time(*value, key);
}

bool bool_or(const json& in, const char* key, bool default_value) {
  const json* value = optional_field(in, key);
  if (value == nullptr) return default_value;
  if (!value->is_boolean()) throw_field_error(key, "is not true or false");
  return value->get<bool>();
}

std::string string_or(const json& in, const char* key, const char* default_value) {
  const json* value = optional_field(in, key);
  if (value == nullptr) return default_value;
  if (!value->is_string()) throw_field_error(key, "is not a string");
  return value->get<std::string>();
}

const json& require_array(const json& value, const char* key) {
  if (!value.is_array()) throw_field_error(key, "is not an array");
  return value;
}

// The text that stands for an enumerator in the settings.
template <class T>
struct EnumName {
  const char* name;
  T value;
};

template <class T, std::size_t N>
T parse_enum(const std::string& text, const EnumName<T> (&names)[N], const char* key) {
  for (const auto& enum_name : names) {
    if (text == enum_name.name) return enum_name.value;
  }
  throw_field_error(key, "has an unknown value");
}

constexpr EnumName<Idempotency> kIdempotencyNames[] = {
    {"safe", Idempotency::safe}, {"keyed", Idempotency::keyed}, {"unsafe", Idempotency::unsafe}};
constexpr EnumName<DeduplicationScope> kDeduplicationScopeNames[] = {
    {"all", DeduplicationScope::all}, {"zone", DeduplicationScope::zone}, {"cell", DeduplicationScope::cell}};
constexpr EnumName<MemoryShortagePolicy> kMemoryShortagePolicyNames[] = {
    {"line_up", MemoryShortagePolicy::wait},
    {"cut", MemoryShortagePolicy::shrink},
    {"overcommit", MemoryShortagePolicy::overcommit}};
constexpr EnumName<LoadField> kLoadFieldNames[] = {
    {"busy_reqs", LoadField::inflight}, {"pending", LoadField::queue},    {"cpu_share", LoadField::util},
    {"svc_ms", LoadField::latency_ms},  {"served_ps", LoadField::served}, {"failed_ps", LoadField::failed},
    {"x0", LoadField::memory_share},    {"x1", LoadField::disk_share}};

// Zone numbers or indexes into Settings::kinds; none if the field is absent or null.
std::optional<std::vector<std::uint16_t>> optional_index_list(const json& in, const char* key) {
  const json* value = optional_field(in, key);
  if (value == nullptr) return std::nullopt;
  std::vector<std::uint16_t> out;
  for (const json& item : require_array(*value, key)) out.push_back(to_integer<std::uint16_t>(item, key));
  return out;
}

ClassSettings parse_class(const json& in) {
  ClassSettings out;
  out.name = string_or(in, "name", "");
  out.latency_target = to_time(required_field(in, "aim"), "classes[].aim");
  out.latency_target_per_work = number_or(in, "aim-stretch", 0);
  out.request_timeout = to_time(required_field(in, "give-up"), "classes[].give-up");
  out.value = number_or(in, "credit", 1);
  out.late_value_share = number_or(in, "late-share", 0);
  out.idempotency =
      parse_enum(string_or(in, "semantics", "unsafe"), kIdempotencyNames, "classes[].semantics");
  out.deduplication_scope =
      parse_enum(string_or(in, "group", "all"), kDeduplicationScopeNames, "classes[].group");
  out.deduplication_window = time_or(in, "window", Time::zero());
  out.ordered_by_key = bool_or(in, "in-order", false);
  out.allowed_zones = optional_index_list(in, "zones-allowed");
  out.allowed_kinds = optional_index_list(in, "bound-to");
  return out;
}

// Calls assign(index, item) for the first `count` items of an array; does nothing if `values` is nullptr.
template <class Assign>
void for_each_item(const json* values, std::size_t count, const char* key, Assign assign) {
  if (values == nullptr) return;
  require_array(*values, key);
  for (std::size_t i = 0; i < count && i < values->size(); ++i) assign(i, (*values)[i]);
}

// Reads the properties of the engine family: arrays by class or by kind of machine, and what engines support.
void parse_family_info(const json& in, Settings& out) {
  const auto classes = out.classes.size();
  const auto kinds = out.kinds.size();
  for_each_item(optional_field(in, "width-by-class"), classes, "width-by-class",
                [&](std::size_t i, const json& v) {
                  out.classes[i].threads = to_integer<unsigned>(v, "width-by-class");
                });
  const auto to_bool = [](const json& v, const char* key) {
    if (!v.is_boolean()) throw_field_error(key, "is not true or false");
    return v.get<bool>();
  };
  for_each_item(optional_field(in, "loads"), classes, "loads",
                [&](std::size_t i, const json& v) { out.classes[i].locks_data_group = to_bool(v, "loads"); });
  for_each_item(optional_field(in, "class-waits"), classes, "class-waits", [&](std::size_t i, const json& v) {
    out.classes[i].waits_for_data_group = to_bool(v, "class-waits");
  });
  for_each_item(optional_field(in, "cpu-of-kind"), kinds, "cpu-of-kind",
                [&](std::size_t i, const json& v) { out.kinds[i].cores = to_number(v, "cpu-of-kind"); });
  for_each_item(
      optional_field(in, "ram-of-kind-mb"), kinds, "ram-of-kind-mb",
      [&](std::size_t i, const json& v) { out.kinds[i].memory_mb = to_number(v, "ram-of-kind-mb"); });
  out.memory_reservations = bool_or(in, "grants", false);
  out.priorities = bool_or(in, "takes-priority", false);
  out.reports_cost = bool_or(in, "tells-cost", false);
  out.max_memory_share = number_or(in, "max-grant-share", 1);
  out.progress_interval = time_or(in, "progress-pace", Time::zero());
  out.memory_shortage_policy =
      parse_enum(string_or(in, "out-of-memory", "line_up"), kMemoryShortagePolicyNames, "out-of-memory");
}

// Reads the limits of the gateway and the actions that are available to it.
void parse_ceilings(const json& in, Settings& out) {
  out.max_attempts = integer_or<unsigned>(in, "max-attempts", 1);
  out.max_open_requests = integer_or<std::size_t>(in, "most-held", 0);
  out.can_cancel = bool_or(in, "cancel", false);
  out.can_probe = bool_or(in, "probing", false);
  out.can_message_peers = bool_or(in, "may-tell", false);
  out.can_hedge = bool_or(in, "second-copies", false);
  out.sends_retry_after = bool_or(in, "retry-after", false);
  out.max_retry_after = time_or(in, "max-retry-after", Time::zero());
}

// Reads the grace periods, the slow-start and overload rules and the retry budget.
void parse_safety(const json& in, Settings& out) {
  out.drain_grace = time_or(in, "drain-grace", Time::zero());
  out.response_grace = time_or(in, "grace-to-answer", Time::zero());
  out.slow_start_initial_share = number_or(in, "cold-from", 1);
  out.slow_start_duration = time_or(in, "ramp-time", Time::zero());
  out.overload_multiple = number_or(in, "tip-multiple", 0);
  out.overload_window = time_or(in, "fall", Time::zero());
  out.order_quiet_period = time_or(in, "turn-gap", Time::zero());
  out.max_membership_age = time_or(in, "ask-within", Time::zero());
  if (optional_field(in, "resend-span") != nullptr) {
    out.retry_budget = RetryBudget{time_or(in, "resend-span", Time::zero()), number_or(in, "free-resends", 0),
                                   number_or(in, "further-ratio", 0)};
  }
}

// Reads how engines report their load. Unknown field names are kept as LoadField::unknown, so that the
// positions of the other values stay right.
void parse_report(const json& in, Settings& out) {
  const std::string report_mode = string_or(in, "how", "silent");
  out.load_in_responses = report_mode == "piggyback";
  if (report_mode == "silent") return;
  const json* fields = optional_field(in, "fields");
  if (fields == nullptr) return;
  for (const json& field : require_array(*fields, "report.fields")) {
    if (!field.is_string()) throw_field_error("report.fields", "is not an array of strings");
    LoadField value = LoadField::unknown;
    for (const auto& enum_name : kLoadFieldNames) {
      if (field.get<std::string>() == enum_name.name) value = enum_name.value;
    }
    out.load_fields.push_back(value);
  }
}

// ---- frames -------------------------------------------------------------------------------------------

// Reads little-endian values from a frame, front to back. Throws ParseError at the end of the bytes.
class ByteReader {
 public:
  explicit ByteReader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  template <std::unsigned_integral T>
  T read_uint() {
    const auto raw = read_bytes(sizeof(T));
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = static_cast<T>(value | (T{raw[i]} << (8 * i)));
    return value;
  }
  double read_float() { return static_cast<double>(std::bit_cast<float>(read_uint<std::uint32_t>())); }
  // Nanoseconds in 64 bits.
  Time read_time() {
    const auto value = read_uint<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
      throw ParseError("frame: a time is out of range");
    return Time(static_cast<std::int64_t>(value));
  }
  std::span<const std::uint8_t> read_bytes(std::size_t count) {
    if (count > bytes_.size() - offset_) throw ParseError("frame: a record exceeds the frame");
    const auto out = bytes_.subspan(offset_, count);
    offset_ += count;
    return out;
  }
  std::string read_string(std::size_t count) {
    const auto raw = read_bytes(count);
    return {raw.begin(), raw.end()};
  }
  [[nodiscard]] std::size_t remaining() const { return bytes_.size() - offset_; }

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t offset_ = 0;
};

// AttemptStatus::query_dropped has no code: the simulator does not report it.
AttemptStatus read_status(ByteReader& in) {
  switch (const auto code = in.read_uint<std::uint16_t>(); code) {
    case 100:
      return AttemptStatus::served;
    case 301:
      return AttemptStatus::error;
    case 302:
      return AttemptStatus::rejected;
    case 303:
      return AttemptStatus::timed_out;
    case 304:
      return AttemptStatus::connect_failed;
    case 305:
      return AttemptStatus::connection_reset;
    case 306:
      return AttemptStatus::cancelled;
    case 307:
      return AttemptStatus::expired;
    default:
      throw ParseError("frame: unknown attempt status " + std::to_string(code));
  }
}

// A count in one byte, then 32-bit floats in the order of Settings::load_fields.
std::vector<double> read_load_values(ByteReader& in) {
  const auto count = in.read_uint<std::uint8_t>();
  std::vector<double> out;
  out.reserve(count);
  for (unsigned i = 0; i < count; ++i) out.push_back(in.read_float());
  return out;
}

EngineEntry read_engine_entry(ByteReader& in) {
  EngineEntry entry;
  entry.engine = in.read_uint<std::uint32_t>();
  entry.zone = in.read_uint<std::uint16_t>();
  entry.kind = in.read_uint<std::uint16_t>();
  entry.cell = in.read_uint<std::uint16_t>();
  switch (const auto state = in.read_uint<std::uint8_t>(); state) {
    case 0:
      entry.state = EngineState::draining;
      break;
    case 2:
      entry.state = EngineState::ready;
      break;
    case 3:
      entry.state = EngineState::gone;
      break;
    default:
      throw ParseError("frame: unknown engine state " + std::to_string(state));
  }
  entry.weight = in.read_float();
  entry.last_start = in.read_time();
  return entry;
}

Arrival read_arrival(ByteReader& in) {
  Arrival out;
  out.request = in.read_uint<std::uint32_t>();
  out.class_index = in.read_uint<std::uint16_t>();
  out.tenant = in.read_uint<std::uint32_t>();
  out.order_key = in.read_uint<std::uint64_t>();
  out.time_left = in.read_time();
  const Time work_estimate = in.read_time();
  out.estimated_memory_mb = in.read_float();
  // The data group is sent as a float; 0 replaces values that are no valid number.
  const double group_value = in.read_float();
  out.data_group = group_value >= 0 && group_value < 1e9 ? static_cast<std::int64_t>(group_value) : 0;
  // Bit 0: the work estimate is valid. Bit 1: the client has sent this query before.
  const auto flags = in.read_uint<std::uint8_t>();
  if ((flags & 1U) != 0) out.estimated_work = work_estimate;
  out.is_retry = (flags & 2U) != 0;
  return out;
}

AttemptResult read_attempt_result(ByteReader& in) {
  AttemptResult out;
  out.request = in.read_uint<std::uint32_t>();
  out.attempt = in.read_uint<std::uint16_t>();
  out.engine = in.read_uint<std::uint32_t>();
  out.status = read_status(in);
  out.latency = in.read_time();
  out.request_closed = in.read_uint<std::uint8_t>() != 0;
  // The upper 20 bits are the work in milliseconds, the lower 12 bits the memory in units of 4 MB; 0: not
  // reported.
  const auto packed_cost = in.read_uint<std::uint32_t>();
  if (packed_cost != 0) {
    out.work = std::chrono::milliseconds(packed_cost / 4096);
    out.memory_needed_mb = 4.0 * (packed_cost % 4096);
  }
  out.load = read_load_values(in);
  return out;
}

ProgressReport read_progress_report(ByteReader& in) {
  ProgressReport out;
  out.request = in.read_uint<std::uint32_t>();
  const auto kind_code = in.read_uint<std::uint8_t>();
  if (kind_code < 1 || kind_code > 3)
    throw ParseError("frame: unknown kind of progress report " + std::to_string(kind_code));
  out.kind = kind_code == 1   ? ProgressKind::progress
             : kind_code == 2 ? ProgressKind::spill
                              : ProgressKind::waiting;
  out.value = in.read_float();
  out.engine = in.read_uint<std::uint32_t>();
  out.attempt = in.read_uint<std::uint16_t>();
  return out;
}

ProbeResult read_probe_result(ByteReader& in) {
  ProbeResult out;
  out.status = read_status(in);
  out.engine = in.read_uint<std::uint32_t>();
  out.latency = in.read_time();
  out.load = read_load_values(in);
  return out;
}

// Size of an encoded EngineEntry, see read_engine_entry().
constexpr std::size_t kEngineEntryBytes = 23;

// Appends the value in little-endian order.
template <std::unsigned_integral T>
void append_uint(std::vector<std::uint8_t>& out, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) out.push_back(static_cast<std::uint8_t>(value >> (8 * i)));
}

// Nanoseconds in 64 bits; negative durations become 0.
void append_time(std::vector<std::uint8_t>& out, Time value) {
  append_uint(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, value.count())));
}

// A length in 16 bits, then the text, which is truncated to 65535 bytes.
void append_string(std::vector<std::uint8_t>& out, const std::string& text) {
  const auto size = std::min<std::size_t>(text.size(), std::numeric_limits<std::uint16_t>::max());
  append_uint(out, static_cast<std::uint16_t>(size));
  out.insert(out.end(), text.begin(), text.begin() + static_cast<std::ptrdiff_t>(size));
}

// Appends the record of an action: its code in one byte, then its fields.
struct ActionWriter {
  std::vector<std::uint8_t>& out;

  void write_code(std::uint8_t value) const { out.push_back(value); }
  void operator()(const Send& action) const {
    write_code(100);
    append_uint(out, action.request);
    append_time(out, action.deadline);
    append_uint(out, action.engine);
  }
  void operator()(const CancelAttempt& action) const {
    write_code(50);
    append_uint(out, action.request);
    append_uint(out, action.attempt);
  }
  void operator()(const Reject& action) const {
    write_code(70);
    append_uint(out, action.request);
    append_time(out, action.retry_after);
  }
  void operator()(const Fail& action) const {
    write_code(80);
    append_uint(out, action.request);
  }
  void operator()(const ExecutionLimits& action) const {
    write_code(30);
    append_uint(out, action.request);
    append_uint(out, std::bit_cast<std::uint32_t>(static_cast<float>(action.memory_mb)));
    append_uint(out, action.priority);
  }
  void operator()(const SetTimer& action) const {
    write_code(20);
    append_uint(out, std::uint32_t{0});
    append_time(out, action.delay);
  }
  void operator()(const Probe& action) const {
    write_code(40);
    append_uint(out, action.engine);
  }
  void operator()(const SendPeerMessage& action) const {
    write_code(10);
    append_uint(out, action.to.value_or(std::numeric_limits<std::uint32_t>::max()));
    append_string(out, action.bytes);
  }
  void operator()(const WatchMembership& action) const {
    write_code(60);
    append_uint(out, static_cast<std::uint8_t>(action.enabled ? 1 : 0));
  }
  void operator()(const Trace& action) const {
    write_code(110);
    append_string(out, action.text);
  }
};

}  // namespace

Settings parse_settings(std::string_view text) { return settings_from(json::parse(text, nullptr, false)); }

Settings settings_from(const json& in) {
  if (in.is_discarded() || !in.is_object()) throw ParseError("settings: not a JSON object");
  Settings out;
  out.gateways = to_integer<unsigned>(required_field(in, "balancers"), "balancers");
  out.gateway_index = integer_or<unsigned>(in, "me", 0);
  out.zone = integer_or<std::uint16_t>(in, "az", 0);
  out.min_call_interval = time_or(in, "step", out.min_call_interval);
  for (const json& item : require_array(required_field(in, "classes"), "classes"))
    out.classes.push_back(parse_class(item));
  for (const json& item : require_array(required_field(in, "kinds"), "kinds")) {
    if (!item.is_string()) throw_field_error("kinds", "contains an element that is not a string");
    out.kinds.push_back({item.get<std::string>(), 1, 0});
  }
  if (const json* tenants = optional_field(in, "tenants"); tenants != nullptr) {
    for (const json& item : require_array(*tenants, "tenants")) {
      if (!item.is_object()) throw_field_error("tenants", "contains an element that is not an object");
      out.tenants.push_back(
          {string_or(item, "name", ""), number_or(item, "portion", 0), number_or(item, "quota-rps", 0)});
    }
  }
  if (const json* zones = optional_field(in, "zones"); zones != nullptr)
    out.zones = static_cast<unsigned>(require_array(*zones, "zones").size());
  out.over_share_value = number_or(in, "over-share-worth", 1);
  if (const json* prices = optional_field(in, "prices"); prices != nullptr)
    out.cross_zone_cost = number_or(*prices, "cross-zone", 0);
  out.membership_on_request = string_or(in, "membership-mode", "pushed") == "on_request";
  parse_ceilings(required_field(in, "ceilings"), out);
  parse_safety(required_field(in, "safety"), out);
  parse_family_info(required_field(in, "family-info"), out);
  if (const json* report = optional_field(in, "report"); report != nullptr) parse_report(*report, out);
  return out;
}

std::size_t frame_length(std::span<const std::uint8_t> first_bytes) {
  const std::size_t length = ByteReader(first_bytes).read_uint<std::uint32_t>();
  if (length < kHeaderBytes || length > kMaxFrameBytes)
    throw ParseError("frame: length " + std::to_string(length) + " is out of range");
  return length;
}

Batch BatchReader::read(std::span<const std::uint8_t> frame) {
  if (frame_length(frame) != frame.size()) throw ParseError("frame: truncated");
  ByteReader in(frame);
  in.read_uint<std::uint32_t>();
  const auto record_count = in.read_uint<std::uint32_t>();
  Batch batch;
  batch.now = in.read_time();
  batch.sequence = in.read_uint<std::uint32_t>();
  batch.records.reserve(std::min<std::size_t>(record_count, in.remaining()));
  std::optional<std::uint32_t> instance;
  const auto add_record = [&](RecordPayload payload) {
    if (!instance) throw ParseError("frame: event record before the first instance record");
    batch.records.push_back({*instance, std::move(payload)});
  };
  for (std::uint32_t i = 0; i < record_count; ++i) {
    switch (const auto code = in.read_uint<std::uint8_t>(); code) {
      case 130:  // the following records belong to this instance
        instance = in.read_uint<std::uint32_t>();
        break;
      case 10: {
        StartInstance start;
        start.seed = in.read_uint<std::uint64_t>();
        start.settings = parse_settings(in.read_string(in.read_uint<std::uint32_t>()));
        add_record(std::move(start));
        break;
      }
      case 100:
        add_record(StopInstance{});
        break;
      case 120: {  // definition of a numbered membership list
        const auto list_number = in.read_uint<std::uint32_t>();
        const auto entry_count = in.read_uint<std::uint32_t>();
        if (list_number >= memberships_.size())
          throw ParseError("frame: unknown membership list number " + std::to_string(list_number));
        if (entry_count > in.remaining() / kEngineEntryBytes)
          throw ParseError("frame: a membership list exceeds the frame");
        memberships_[list_number].clear();
        for (std::uint32_t entry_index = 0; entry_index < entry_count; ++entry_index)
          memberships_[list_number].push_back(read_engine_entry(in));
        defined_[list_number] = true;
        break;
      }
      case 20: {  // membership update, which refers to a numbered list
        const auto mode = in.read_uint<std::uint8_t>();
        const auto list_number = in.read_uint<std::uint32_t>();
        in.read_uint<std::uint32_t>();
        if (mode > 3) throw ParseError("frame: unknown membership update kind " + std::to_string(mode));
        MembershipUpdate update{static_cast<MembershipUpdateKind>(mode), {}};
        if (update.kind != MembershipUpdateKind::failed) {
          if (list_number >= memberships_.size() || !defined_[list_number])
            throw ParseError("frame: unknown membership list number " + std::to_string(list_number));
          update.engines = memberships_[list_number];
        }
        add_record(Event(std::move(update)));
        break;
      }
      case 30:
        add_record(Event(read_arrival(in)));
        break;
      case 40:
        in.read_bytes(4 + 8 + 4 + 2);
        break;  // start of a result stream: ignored, since no class of queries streams its results
      case 50:
        add_record(Event(read_attempt_result(in)));
        break;
      case 60:
        add_record(Event(RequestCancelled{in.read_uint<std::uint32_t>()}));
        break;
      case 70:
        in.read_uint<std::uint32_t>();
        add_record(Event(TimerExpired{}));
        break;
      case 80:
        add_record(Event(read_probe_result(in)));
        break;
      case 90: {
        const auto from = in.read_uint<std::uint32_t>();
        add_record(Event(PeerMessage{from, in.read_string(in.read_uint<std::uint16_t>())}));
        break;
      }
      case 110:
        add_record(Event(read_progress_report(in)));
        break;
      default:
        throw ParseError("frame: unknown record code " + std::to_string(code));
    }
  }
  if (in.remaining() != 0) throw ParseError("frame: unexpected bytes after the last record");
  return batch;
}

void ReplyWriter::select_instance(std::uint32_t id) {
  body_.push_back(90);
  append_uint(body_, id);
  ++record_count_;
}

void ReplyWriter::add_action(const Action& action) {
  std::visit(ActionWriter{body_}, action);
  ++record_count_;
}

std::vector<std::uint8_t> ReplyWriter::finish(std::uint32_t sequence) {
  std::vector<std::uint8_t> frame;
  frame.reserve(12 + body_.size());
  append_uint(frame, static_cast<std::uint32_t>(12 + body_.size()));
  append_uint(frame, record_count_);
  append_uint(frame, sequence);
  frame.insert(frame.end(), body_.begin(), body_.end());
  return frame;
}

}  // namespace heronwell::simulator
