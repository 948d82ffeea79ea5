#include "platform/changelog.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "config/read.hpp"

namespace bellstair::platform {

ChangeLog::ChangeLog(ev::loop_ref loop, std::string address, const config::NameIndex& names,
                     std::uint64_t last_seq, net::EventSink emit)
    : loop_(loop), address_(std::move(address)), names_(names), last_seq_(last_seq), emit_(std::move(emit)) {}

// Event numbers continue at the new address. A response that is not complete by now is requested again.
void ChangeLog::set_address(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  disconnect();
  caught_up_ = false;
  due_ = now_;
}

void ChangeLog::tick(core::Time now) {
  now_ = now;
  closed_.clear();
  if (now < due_) return;
  switch (stage_) {
    case Stage::disconnected:
      return connect();
    case Stage::idle:
      return poll();
    case Stage::connecting:
      return on_failure("connect timed out");
    case Stage::polling:
      return on_failure("no response in time");
  }
}

void ChangeLog::connect() {
  const auto at = net::parse_address(address_);
  auto fd = at ? net::begin_connect(*at) : net::Fd();
  if (!fd) return on_failure("could not connect");
  stage_ = Stage::connecting;
  due_ = now_ + kConnectTimeout;
  stream_ = std::make_unique<net::Stream>(loop_, std::move(fd), true, std::size_t{4} * 1024);
  stream_->set_handlers({
      .connected = [this] { poll(); },
      .data = [this](std::string_view bytes) { on_data(bytes); },
      .end_of_input =
          [this] {
            parser_.finish() ? on_response() : on_failure("connection closed before a complete response");
          },
      .closed =
          [this] { on_failure(stage_ == Stage::connecting ? "could not connect" : "connection failed"); },
      .drained = {},
  });
}

// Until a response has reported that there are no more events, a request does not wait for new ones: at the
// start and after a failure, pending events arrive at once.
void ChangeLog::poll() {
  parser_.reset();
  stage_ = Stage::polling;
  due_ = now_ + kResponseTimeout;
  const auto timeout = caught_up_ ? kLongPollTimeout : core::Time::zero();
  const auto path = "/changes?since=" + std::to_string(last_seq_) + "&timeout=" +
                    std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  stream_->write(http_request("GET", path, address_, {}, {}));  // if it fails, the `closed` handler follows
}

void ChangeLog::on_data(std::string_view bytes) {
  if (stage_ != Stage::polling || !parser_.feed(bytes)) return on_failure("invalid HTTP response");
  if (parser_.complete()) on_response();
}

void ChangeLog::on_response() {
  const auto response = parser_.take();
  if (response.status != 200) return on_failure("response with a status other than 200");
  const auto previous_seq = last_seq_;
  try {
    apply(response.body);
  } catch (const config::ConfigError& error) {
    return on_failure(error.what());
  }
  if (std::exchange(failure_logged_, false))
    std::fprintf(stderr, "bellstair: change log: responds again, up to event %llu\n",
                 static_cast<unsigned long long>(last_seq_));
  // After new events there may be more already.
  caught_up_ = last_seq_ == previous_seq;
  if (caught_up_) emit_(core::DiscoveryIdle{true});
  stage_ = Stage::idle;
  due_ = now_ + kMinPollInterval;
  if (!response.keep_alive) disconnect();
}

// Emits each event once, in the order of the numbers. A malformed response has no effect.
void ChangeLog::apply(const std::string& body) {
  auto membership = config::parse_changes(body, names_);
  const auto document = config::parse_json(body, "change log");
  std::vector<std::pair<std::uint64_t, core::MembershipChange*>> new_events;
  std::size_t next_change = 0;
  auto highest_seq = std::max(last_seq_, membership.seq);
  for (const auto& event : document["results"]) {
    const auto seq = config::unsigned_value(config::require_field(event, "seq"), "results[].seq");
    highest_seq = std::max(highest_seq, seq);
    // parse_changes() leaves out events of other kinds.
    auto* const change = event.contains("fleet") ? &membership.changes[next_change++] : nullptr;
    if (seq > last_seq_ && change != nullptr) new_events.emplace_back(seq, change);
  }
  std::ranges::stable_sort(new_events, {}, [](const auto& event) { return event.first; });
  for (auto& [seq, change] : new_events) {
    if (seq == last_seq_) continue;  // a duplicate
    last_seq_ = seq;
    change->live = true;
    emit_(std::move(*change));
  }
  last_seq_ = highest_seq;
}

void ChangeLog::on_failure(const char* reason) {
  if (!std::exchange(failure_logged_, true))
    std::fprintf(stderr, "bellstair: change log: %s; retrying from event %llu\n", reason,
                 static_cast<unsigned long long>(last_seq_));
  disconnect();
  caught_up_ = false;
  due_ = now_ + kReconnectDelay;
  emit_(core::DiscoveryIdle{false});  // goes on with the membership known
}

void ChangeLog::disconnect() {
  stage_ = Stage::disconnected;
  if (!stream_) return;
  stream_->close();
  closed_.push_back(std::move(stream_));
}

}  // namespace bellstair::platform
