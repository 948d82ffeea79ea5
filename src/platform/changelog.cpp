#include "platform/changelog.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "config/read.hpp"

namespace bellstair::platform {
namespace {
// Of a connection; requests are far shorter.
constexpr std::size_t kMaxUnsentBytes = std::size_t{4} * 1024;
}  // namespace

ChangeLog::ChangeLog(ev::loop_ref loop, std::string address, const config::NameIndex& names,
                     std::uint64_t last_seq, net::EventSink emit)
    : loop_(loop), address_(std::move(address)), names_(names), last_seq_(last_seq), emit_(std::move(emit)) {}

// Event numbers continue at the new address. A response that is not complete by now is requested again.
void ChangeLog::set_address(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  disconnect();
  while (!overdue_.empty()) {
    close(std::move(overdue_.front()));
    overdue_.pop_front();
  }
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
      return on_response_timeout();
  }
}

void ChangeLog::connect() {
  const auto at = net::parse_address(address_);
  auto fd = at ? net::begin_connect(*at) : net::Fd();
  if (!fd) return on_failure("could not connect");
  stage_ = Stage::connecting;
  due_ = now_ + kConnectTimeout;
  current_ = std::make_unique<Connection>();
  auto& connection = *current_;
  connection.stream = std::make_unique<net::Stream>(loop_, std::move(fd), true, kMaxUnsentBytes);
  connection.stream->set_handlers({
      .connected = [this] { poll(); },
      .data = [this, &connection](std::string_view bytes) { on_data(connection, bytes); },
      .end_of_input =
          [this, &connection] {
            if (connection.parser.finish()) return on_response(connection);
            on_connection_failure(connection, "connection closed before a complete response");
          },
      .closed =
          [this, &connection] {
            const bool was_connected = connection.polled_at > core::Time::zero();
            on_connection_failure(connection, was_connected ? "connection failed" : "could not connect");
          },
      .drained = {},
  });
}

// Until a response has reported that there are no more events, a request does not wait for new ones: at the
// start and after a failure, pending events arrive at once.
void ChangeLog::poll() {
  current_->parser.reset();
  current_->polled_at = now_;
  stage_ = Stage::polling;
  due_ = now_ + kResponseTimeout;
  const auto timeout = caught_up_ ? kLongPollTimeout : core::Time::zero();
  const auto path = "/changes?since=" + std::to_string(last_seq_) + "&timeout=" +
                    std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
  // If it fails, the `closed` handler follows.
  current_->stream->write(http_request("GET", path, address_, {}, {}));
}

void ChangeLog::on_data(Connection& connection, std::string_view bytes) {
  const bool is_expected = &connection != current_.get() || stage_ == Stage::polling;
  if (!is_expected || !connection.parser.feed(bytes))
    return on_connection_failure(connection, "invalid HTTP response");
  if (connection.parser.complete()) on_response(connection);
}

void ChangeLog::on_response(Connection& connection) {
  const auto response = connection.parser.take();
  if (response.status != 200)
    return on_connection_failure(connection, "response with a status other than 200");
  const auto previous_seq = last_seq_;
  try {
    apply(response.body);
  } catch (const config::ConfigError& error) {
    return on_connection_failure(connection, error.what());
  }
  if (std::exchange(failure_logged_, false))
    std::fprintf(stderr, "bellstair: change log: responds again, up to event %llu\n",
                 static_cast<unsigned long long>(last_seq_));
  // After a pause of the process the response may be as old as the pause.
  emit_(
      core::MembershipConfirmed{std::max(connection.polled_at, now_ - connection.stream->time_since_data())});
  // After new events there may be more already.
  caught_up_ = last_seq_ == previous_seq;
  if (caught_up_) emit_(core::DiscoveryIdle{true});
  keep_only(connection);
  stage_ = Stage::idle;
  due_ = now_ + kMinPollInterval;
  if (!response.keep_alive) disconnect();
}

// Its change log may be slow, or may have stopped.
void ChangeLog::on_response_timeout() {
  overdue_.push_back(std::move(current_));
  if (overdue_.size() > kMaxOverdueConnections) {
    close(std::move(overdue_.front()));
    overdue_.pop_front();
  }
  on_failure("no response in time");
}

void ChangeLog::on_connection_failure(Connection& connection, const char* reason) {
  if (&connection == current_.get()) return on_failure(reason);
  const auto is_failed = [&connection](const auto& overdue) { return overdue.get() == &connection; };
  const auto found = std::ranges::find_if(overdue_, is_failed);
  close(std::move(*found));
  overdue_.erase(found);
}

void ChangeLog::keep_only(Connection& connection) {
  for (auto& overdue : std::exchange(overdue_, {})) {
    if (overdue.get() == &connection) std::swap(overdue, current_);
    close(std::move(overdue));
  }
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
  close(std::move(current_));
}

void ChangeLog::close(std::unique_ptr<Connection> connection) {
  if (!connection) return;
  connection->stream->close();
  closed_.push_back(std::move(connection));
}

}  // namespace bellstair::platform
