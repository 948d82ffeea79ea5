#include "platform/front.hpp"

#include <algorithm>

namespace bellstair::platform {
namespace {
using namespace std::chrono_literals;
// A client must get a response, an error or a close within 3 s. Before its first request it must not be
// silent for longer than kSilenceTimeout, unless it has completed a line. A shutdown does not wait longer
// than that for the rest of a request. kLingerTimeout is the time to read the last output, while further
// input is read and dropped.
constexpr core::Time kSilenceTimeout = 2s, kLingerTimeout = 800ms;
// How soon a client is looked at again that is silent as far as its input has been read, but has sent more.
constexpr core::Time kUnreadInputDelay = 100ms;
// A line of which less than this is read in such a time is one that its client writes slowly.
constexpr core::Time kInputGap = 20ms;
constexpr std::size_t kMinBacklogBytes = 2048;
// A line that is too long is answered without its id if that has not been received this much later.
constexpr core::Time kIdTimeout = 1s;
}  // namespace

Front::Front(ev::loop_ref loop, net::Fd listening, net::ReadQueue& read_queue, const config::NameIndex& names,
             std::size_t max_connections, std::uint64_t& last_client_handle, std::function<bool()> ready,
             net::EventSink emit)
    : loop_(loop),
      read_queue_(read_queue),
      names_(names),
      max_connections_(max_connections),
      last_client_handle_(last_client_handle),
      ready_(std::move(ready)),
      emit_(std::move(emit)),
      address_(net::local_address(listening.get())),
      listener_(
          std::in_place, loop, std::move(listening), [this](net::Fd fd) { accept(std::move(fd)); },
          [this] { return can_accept(); }) {}

// A connection without an open request may be closed at any time. But input that has not been read may be a
// request, and then shows soon which connections can be closed.
Front::Connection* Front::connection_to_evict() const {
  for (const auto rank : {EvictionRank::ended, EvictionRank::useless})
    if (!with_rank(rank).empty()) return with_rank(rank).front();
  const auto is_unread = [this](const Connection* connection) {
    return read_queue_.waits(connection->stream);
  };
  const auto is_silent = [&](const Connection* connection) {
    return !receives_line(*connection) && !is_unread(connection);
  };
  const auto& unidentified = with_rank(EvictionRank::unidentified);
  if (const auto found = std::ranges::find_if(unidentified, is_silent); found != unidentified.end())
    return *found;
  if (const auto found = std::ranges::find_if_not(unidentified, is_unread); found != unidentified.end())
    return *found;
  const auto& idle = with_rank(EvictionRank::idle);
  if (idle.empty() || !unidentified.empty() || std::ranges::any_of(idle, is_unread)) return nullptr;
  const auto found = std::ranges::find_if(idle, is_silent);
  return found != idle.end() ? *found : idle.front();
}

bool Front::can_accept() const {
  const bool all_are_busy =
      with_rank(EvictionRank::unidentified).empty() && with_rank(EvictionRank::idle).empty();
  return connections_.size() < max_connections_ || all_are_busy || connection_to_evict() != nullptr;
}

bool Front::make_room() {
  if (connections_.size() < max_connections_) return true;
  auto* const evicted = connection_to_evict();
  if (evicted != nullptr) close(*evicted);
  return evicted != nullptr;
}

void Front::update_rank(Connection& connection) {
  const bool busy = !connection.open_requests.empty() || connection.stream.unsent_bytes() > 0;
  const auto rank = connection.half_closed           ? EvictionRank::ended
                    : busy                           ? EvictionRank::busy
                    : connection.sends_useless_input ? EvictionRank::useless
                    : connection.request_received    ? EvictionRank::idle
                                                     : EvictionRank::unidentified;
  if (rank == connection.rank) return;
  auto& to = with_rank(rank);
  to.splice(to.end(), with_rank(connection.rank), connection.rank_position);
  connection.rank = rank;
}

// Clients that have sent useless input are read after all others: it may come without end, and to parse it
// takes time that the others need. Those that have not sent a request yet may turn out to be such clients,
// above all if their first line is long. Behind a request, its cancellation may follow, and is read in the
// same turn.
void Front::update_reading(Connection& connection) {
  using net::ReadPriority;
  const bool useless = connection.sends_useless_input || connection.half_closed;
  const auto priority = useless                       ? ReadPriority::bulk
                        : connection.request_received ? ReadPriority::prompt
                        : receives_line(connection)   ? ReadPriority::normal
                                                      : ReadPriority::deferred;
  connection.stream.set_reading(
      priority, connection.open_requests.empty() ? net::Stream::kReadTurnBytes : kMaxLineBytes);
}

void Front::accept(net::Fd fd) {
  if (!make_room()) return;
  auto created = std::make_unique<Connection>(loop_, std::move(fd), read_queue_);
  auto& connection = *created;
  connection.id = ++last_connection_id_;
  update_reading(connection);
  connection.timeout_start = now_;
  auto& unidentified = with_rank(EvictionRank::unidentified);
  connection.rank_position = unidentified.insert(unidentified.end(), &connection);
  connections_.emplace(connection.id, std::move(created));
  arm_timer(connection, now_ + kSilenceTimeout);
  connection.stream.set_handlers({
      .connected = {},
      .data =
          [this, &connection](std::string_view bytes) {
            on_data(connection, bytes);
            update_reading(connection);
          },
      .end_of_input =
          [this, &connection] {
            // It may have closed its sending side only, so its open requests are still answered.
            connection.input_ended = true;
            if (connection.open_requests.empty() && connection.stream.unsent_bytes() == 0)
              return close(connection);
            for (const auto& [id, client] : connection.open_requests) emit_(core::ClientHalfClosed{client});
          },
      .closed = [this, &connection] { close(connection); },
      .drained =
          [this, &connection] {
            if (connection.input_ended && connection.open_requests.empty()) return close(connection);
            update_rank(connection);
          },
  });
  // What it has sent by now was perhaps received before what the loop reports of other connections.
  connection.stream.queue_for_reading();
}

void Front::RecentInput::add(core::Time now, std::size_t size) {
  if (now >= window_start_ + kInputGap) {
    previous_bytes_ = now < window_start_ + 2 * kInputGap ? bytes_ : 0;
    window_start_ = now;
    bytes_ = 0;
  }
  last_read_at_ = now;
  bytes_ += size;
}

std::size_t Front::RecentInput::bytes(core::Time now) const {
  return now < last_read_at_ + kInputGap ? previous_bytes_ + bytes_ : 0;
}

void Front::arm_timer(Connection& connection, core::Time at) {
  if (connection.timer_at != core::Time::zero() && connection.timer_at <= at) return;
  connection.timer_at = at;
  timers_.arm(at, connection.id);
}

// Clients that send nothing, or never complete a request, use up connections and memory that others need.
// Those that have sent a request may write the next one as slowly as they like.
void Front::tick(core::Time now) {
  now_ = now;
  timers_.advance(now, [this](std::uint64_t connection_id) {
    const auto found = connections_.find(connection_id);
    if (found == connections_.end()) return;
    auto& connection = *found->second;
    if (now_ < connection.timer_at) return;  // an earlier timer has fired and armed another
    connection.timer_at = core::Time::zero();
    if (connection.half_closed && now_ >= connection.timeout_start + kLingerTimeout) return close(connection);
    if (connection.half_closed) return arm_timer(connection, connection.timeout_start + kLingerTimeout);
    if (connection.rejection && connection.rejection->deadline != core::Time::zero()) {
      if (now_ >= connection.rejection->deadline) return send_rejection(connection);
      arm_timer(connection, connection.rejection->deadline);
    }
    if (connection.request_received) return;
    if (connection.line_received && !receives_line(connection)) return;
    if (now_ < connection.timeout_start + kSilenceTimeout)
      return arm_timer(connection, connection.timeout_start + kSilenceTimeout);
    if (read_queue_.waits(connection.stream)) return arm_timer(connection, now_ + kUnreadInputDelay);
    if (!connection.rejection) reject_line(connection, kRpcInvalidRequest, "no whole request came");
    if (connection.rejection) send_rejection(connection);
  });
}

void Front::close(Connection& connection) {
  for (const auto& [id, client] : connection.open_requests) {
    open_requests_.erase(client);
    emit_(core::RequestCancelled{client});
  }
  connection.open_requests.clear();
  partial_bytes_ -= std::exchange(connection.partial_line, {}).size();
  connection.stream.close();
  const auto found = connections_.find(connection.id);
  if (found == connections_.end()) return;
  with_rank(connection.rank).erase(connection.rank_position);
  closed_.push_back(std::move(found->second));
  connections_.erase(found);
}

void Front::reject_line(Connection& connection, int code, std::string_view reason) {
  const auto line = std::exchange(connection.partial_line, {});
  partial_bytes_ -= line.size();
  connection.skips_line = true;
  connection.rejection.emplace(Rejection{code, reason, {}, 0, {}});
  on_skipped_bytes(connection, line);
}

// The client waits for a response that names its request, and may write the id behind the long part.
void Front::on_skipped_bytes(Connection& connection, std::string_view bytes) {
  if (!connection.rejection) return;  // it has been sent
  auto& rejection = *connection.rejection;
  rejection.scanner.feed(bytes);
  if (rejection.scanner.id()) return send_rejection(connection);
  rejection.line_bytes += bytes.size();
  if (rejection.line_bytes <= kMaxLineBytes || rejection.deadline != core::Time::zero()) return;
  rejection.deadline = now_ + kIdTimeout;
  connection.sends_useless_input = true;
  arm_timer(connection, rejection.deadline);
}

void Front::send_rejection(Connection& connection) {
  const auto rejection = *std::exchange(connection.rejection, std::nullopt);
  auto id = rejection.scanner.id();
  if (id && connection.open_requests.contains(*id))
    id.reset();  // it would be the response to the open request
  connection.stream.write(rpc_error(id, rejection.code, rejection.reason));
  // Rejected to make room, the line may be a valid request.
  if (rejection.code != kRpcRejected) return count_protocol_error(connection);
  end_if_unusable(connection);
}

bool Front::end_if_unusable(Connection& connection) {
  const bool skips_answered_line = connection.skips_line && !connection.rejection;
  const bool unusable = stopped_ || skips_answered_line || connection.rejects_requests;
  if (!unusable || connection.half_closed || !connection.open_requests.empty()) return false;
  if (connection.rejection)
    connection.stream.write(
        rpc_error(std::nullopt, connection.rejection->code, connection.rejection->reason));
  half_close(connection);
  return true;
}

void Front::limit_partial_bytes() {
  while (partial_bytes_ > kMaxPartialBytes)
    reject_line(costliest_partial_line(), kRpcRejected, "too much incomplete input");
}

// Half of the memory is for clients that have sent a request before, half for the others. Of those that use
// more than their half, it is the line that has used most memory for the longest time since its client last
// sent a part of it. The time that is added keeps the short lines of slow clients behind long ones that have
// only just come.
Front::Connection& Front::costliest_partial_line() {
  std::size_t unidentified_bytes = 0;
  for (const auto& [id, connection] : connections_)
    unidentified_bytes += connection->request_received ? 0 : connection->partial_line.size();
  const bool is_known = unidentified_bytes <= kMaxPartialBytes / 2;
  const auto cost = [this, is_known](const Connection& connection) {
    if (connection.request_received != is_known) return std::size_t{0};
    const auto silence = now_ - connection.timeout_start + kSilenceTimeout;
    return connection.partial_line.size() * static_cast<std::size_t>(silence / 1ms);
  };
  const auto found =
      std::ranges::max_element(connections_, {}, [&cost](const auto& entry) { return cost(*entry.second); });
  return *found->second;
}

void Front::half_close(Connection& connection) {
  connection.half_closed = true;
  partial_bytes_ -= std::exchange(connection.partial_line, {}).size();
  connection.rejection.reset();
  connection.stream.shut_down_write();
  update_rank(connection);
  connection.timeout_start = now_;
  connection.timer_at = core::Time::zero();
  arm_timer(connection, now_ + kLingerTimeout);
}

void Front::stop() {
  if (std::exchange(stopped_, true)) return;
  listener_.reset();
  // Open requests have only just been read, and are answered before their connection is half-closed.
  for (const auto& [connection_id, connection] : connections_) end_if_unusable(*connection);
}

void Front::count_protocol_error(Connection& connection) {
  connection.sends_useless_input = true;
  if (++connection.protocol_errors == kMaxProtocolErrors) reject_further_requests(connection);
  end_if_unusable(connection);
}

void Front::reject_further_requests(Connection& connection) {
  connection.sends_useless_input = true;
  connection.stream.write(rpc_error(std::nullopt, kRpcInvalidRequest, "too many lines of no use"));
  connection.rejects_requests = true;
}

bool Front::reads_lines(const Connection& connection) const {
  return connection.stream.open() && !connection.half_closed && !stopped_;
}

void Front::on_data(Connection& connection, std::string_view bytes) {
  connection.cancellations = 0;
  connection.recent_input.add(core::monotonic_now(), bytes.size());
  while (reads_lines(connection)) {
    const auto end = bytes.find('\n');
    if (end == std::string_view::npos) break;
    on_line_end(connection, bytes.substr(0, end));
    bytes.remove_prefix(end + 1);
  }
  if (!reads_lines(connection)) return;
  update_rank(connection);
  if (bytes.empty()) return;
  if (!connection.skips_line) return on_partial_line(connection, bytes);
  connection.timeout_start = now_;
  on_skipped_bytes(connection, bytes);
}

// A line that was received at once is parsed in place; only an incomplete line is copied.
void Front::on_line_end(Connection& connection, std::string_view bytes) {
  if (connection.skips_line) {
    connection.skips_line = false;
    on_skipped_bytes(connection, bytes);
    if (connection.rejection) send_rejection(connection);
    return;
  }
  if (connection.partial_line.empty()) return on_line(connection, bytes);
  partial_bytes_ -= connection.partial_line.size();
  const auto line = std::exchange(connection.partial_line, {}).append(bytes);
  on_line(connection, line);
}

void Front::on_partial_line(Connection& connection, std::string_view bytes) {
  if (connection.partial_line.empty()) connection.line_started_at = now_;
  partial_bytes_ += bytes.size();
  connection.partial_line.append(bytes);
  if (connection.partial_line.size() > kMaxLineBytes)
    return reject_line(connection, kRpcInvalidRequest, "a line is too long");
  connection.timeout_start = now_;
  if (!connection.request_received) arm_timer(connection, now_ + kSilenceTimeout);
  limit_partial_bytes();
}

void Front::on_line(Connection& connection, std::string_view line) {
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) return;
  connection.line_received = true;
  auto message = parse_rpc(line, names_);
  if (const auto* error = std::get_if<RpcError>(&message)) {
    if (error->id || !connection.rejects_requests)
      connection.stream.write(rpc_error(error->id, error->code, error->message));
    count_protocol_error(connection);
  } else if (const auto* health = std::get_if<RpcHealth>(&message)) {
    connection.stream.write(rpc_health(health->id, ready_()));
  } else if (const auto* cancel = std::get_if<RpcCancel>(&message)) {
    on_cancel(connection, *cancel);
  } else {
    on_request(connection, std::get<RpcRequest>(message));
  }
}

void Front::on_request(Connection& connection, RpcRequest& request) {
  if (connection.open_requests.contains(request.id)) {
    if (!connection.rejects_requests)
      connection.stream.write(rpc_error(std::nullopt, kRpcInvalidRequest, "the id is in use"));
    return count_protocol_error(connection);
  }
  if (connection.rejects_requests || connection.open_requests.size() >= kMaxOpenRequests) {
    connection.stream.write(rpc_error(request.id, kRpcRejected, "too many open requests"));
    return count_protocol_error(connection);
  }
  connection.request_received = true;
  connection.max_request_id = std::max(connection.max_request_id, request.id);
  const auto client = ++last_client_handle_;
  connection.open_requests[request.id] = client;
  open_requests_[client] = {connection.id, request.id, request.request.ticket};
  request.request.client = client;
  emit_(core::RequestArrived{std::move(request.request)});
}

void Front::on_cancel(Connection& connection, const RpcCancel& message) {
  auto found = connection.open_requests.end();
  // The id of the cancel call itself may be that of the request to cancel.
  const bool own_id = message.id && *message.id > connection.max_request_id;
  if (message.id && !own_id) found = connection.open_requests.find(*message.id);
  if (message.request_id && found == connection.open_requests.end())
    found = connection.open_requests.find(*message.request_id);
  if (found == connection.open_requests.end() && !message.ticket.empty()) {
    found = std::ranges::find_if(connection.open_requests, [&](const auto& request) {
      return open_requests_.at(request.second).ticket == message.ticket;
    });
  }
  if (found != connection.open_requests.end()) {
    const auto client = found->second;
    connection.open_requests.erase(found);
    open_requests_.erase(client);
    emit_(core::RequestCancelled{client});
    if (++connection.cancellations == kMaxOpenRequests + 1) reject_further_requests(connection);
  }
  // A call with the id of an earlier request gets no response: it would be the second one for that id.
  if (own_id)
    connection.stream.write("{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(*message.id) +
                            ",\"result\":true}\n");
  end_if_unusable(connection);
}

bool Front::run(const core::Answer& answer) {
  const auto found = open_requests_.find(answer.client);
  if (found == open_requests_.end()) return false;
  const auto open = std::move(found->second);
  open_requests_.erase(found);
  auto& connection = *connections_.at(open.connection_id);
  connection.open_requests.erase(open.request_id);
  switch (answer.kind) {
    case core::AnswerKind::served:
      connection.stream.write(rpc_result(open.request_id, answer.body));
      break;
    case core::AnswerKind::rejected:
      connection.stream.write(rpc_error(open.request_id, kRpcRejected, "refused", answer.retry_after));
      break;
    case core::AnswerKind::failed:
      connection.stream.write(rpc_error(open.request_id, kRpcFailed, "failed", answer.retry_after));
      break;
    case core::AnswerKind::timed_out:
      connection.stream.write(rpc_error(open.request_id, kRpcTimedOut, "timed out", answer.retry_after));
      break;
  }
  if (connection.open_requests.empty() && connection.input_ended && connection.stream.unsent_bytes() == 0) {
    close(connection);
  } else if (!end_if_unusable(connection)) {
    update_rank(connection);
  }
  return true;
}

// The system of a client that has gone still sends what the client has written, as fast as it is read. Then
// its connection is in the middle of a line nearly whenever all that has come is read.
bool Front::awaits_input(core::ClientHandle client, core::Time now) const {
  const auto found = open_requests_.find(client);
  if (found == open_requests_.end()) return false;
  const auto& connection = *connections_.at(found->second.connection_id);
  if (read_queue_.has_input_from_before(now - net::ReadQueue::kMaxUnreadTime, connection.stream)) return true;
  const bool may_go_on =
      read_queue_.waits(connection.stream) || connection.recent_input.bytes(now) >= kMinBacklogBytes;
  return (receives_line(connection) || connection.skips_line) && may_go_on;
}

bool Front::receives_request(core::Time begun_before) const {
  return std::ranges::any_of(connections_, [this, begun_before](const auto& entry) {
    const auto& connection = *entry.second;
    const bool may_be_request = connection.request_received || connection.line_started_at < begun_before;
    return receives_line(connection) && may_be_request && !connection.sends_useless_input &&
           now_ < connection.timeout_start + kSilenceTimeout;
  });
}

std::size_t Front::rejected_lines() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      connections_, [](const auto& entry) { return entry.second->rejection.has_value(); }));
}

bool Front::has_unsent_output() const {
  if (stopped_) return !connections_.empty();
  return std::ranges::any_of(connections_, [](const auto& c) { return c.second->stream.unsent_bytes() > 0; });
}

}  // namespace bellstair::platform
