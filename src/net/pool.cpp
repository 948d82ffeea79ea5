#include "net/pool.hpp"

#include <algorithm>
#include <cerrno>

namespace bellstair::net {
namespace {
using namespace std::chrono_literals;
constexpr Time kSweepInterval = 1s;  // between two checks for idle timeouts
// An engine counts as unreachable after more connects in a row than these that timed out although it responds
// elsewhere, or that it accepted and then reset.
constexpr std::size_t kMaxConsecutiveTimeouts = 3;
constexpr std::size_t kMaxConsecutiveResets = 3;
}  // namespace

ConnectionPool::ConnectionPool(ev::loop_ref loop, Limits limits, Handshake handshake)
    : loop_(loop), limits_(limits), handshake_(std::move(handshake)) {}

void ConnectionPool::set_address(std::uint32_t id, const std::string& address) {
  auto& engine = engines_[id];
  // Another engine may use the old address by now.
  if (engine.address != address) {
    while (!engine.idle.empty()) remove(*engine.idle.front());
  }
  engine.address = address;
  engine.usable = true;
}

void ConnectionPool::remove_engine(std::uint32_t id) {
  auto& engine = engines_[id];
  engine.usable = false;
  while (!engine.idle.empty()) remove(*engine.idle.front());
  pending_engines_.push_back(id);
}

std::uint64_t ConnectionPool::acquire(std::uint32_t id, AcquireCallback callback) {
  engines_[id].waiting.push_back({++last_waiter_id_, std::move(callback)});
  pending_engines_.push_back(id);
  return last_waiter_id_;
}

void ConnectionPool::cancel(std::uint32_t id, std::uint64_t waiter_id) {
  std::erase_if(engines_[id].waiting, [waiter_id](const Waiter& w) { return w.waiter_id == waiter_id; });
}

void ConnectionPool::release(Connection& connection) {
  connection.on_data = nullptr;
  connection.on_lost = nullptr;
  auto& engine = engines_[connection.engine];
  if (!connection.stream.open() || (!engine.usable && engine.waiting.empty())) return remove(connection);
  connection.idle = true;
  connection.state_since = now_;
  engine.idle.push_back(&connection);
  pending_engines_.push_back(connection.engine);
}

void ConnectionPool::discard(Connection& connection) {
  connection.stream.abort();
  remove(connection);
}

void ConnectionPool::remove(Connection& connection) {
  auto& engine = engines_[connection.engine];
  if (connection.idle) std::erase(engine.idle, &connection);
  if (!connection.ready) --engine.connecting;
  connection.stream.close();
  const auto found = connections_.find(connection.id);
  closed_.push_back(std::move(found->second));
  connections_.erase(found);
  pending_engines_.push_back(connection.engine);
  if (connect_deferred_) schedule_waiters();
}

void ConnectionPool::schedule_waiters() {
  connect_deferred_ = false;
  for (const auto& [id, engine] : engines_) {
    if (!engine.waiting.empty()) pending_engines_.push_back(id);
  }
}

bool ConnectionPool::make_room() { return connections_.size() < limits_.max_connections || evict_idle(); }

// Closes the connection that has been idle for longest.
bool ConnectionPool::evict_idle() {
  Connection* oldest = nullptr;
  for (auto& [id, engine] : engines_) {
    if (!engine.idle.empty() && (oldest == nullptr || engine.idle.front()->state_since < oldest->state_since))
      oldest = engine.idle.front();
  }
  ++(oldest != nullptr ? counts_.evicted : counts_.exhausted);
  if (oldest != nullptr) remove(*oldest);
  return oldest != nullptr;
}

bool ConnectionPool::connect(std::uint32_t id, Engine& engine) {
  const auto address = parse_address(engine.address);
  errno = 0;
  auto fd = address ? begin_connect(*address) : Fd();
  const int error = errno;
  if (!fd && local_shortage(error)) {
    // An idle connection of this engine is used instead, once its reuse delay is over.
    if (out_of_descriptors(error) && engine.idle.empty()) evict_idle();
    return false;
  }
  ++counts_.started;
  if (!fd) {
    ++engine.unreported_failures;
    ++counts_.failed;
    return true;
  }
  const auto connection_id = ++last_connection_id_;
  auto created = std::make_unique<Connection>(loop_, std::move(fd), limits_.max_unsent_bytes);
  auto& connection = *created;
  connection.id = connection_id;
  connection.engine = id;
  connection.state_since = now_;
  connections_.emplace(connection_id, std::move(created));
  ++engine.connecting;
  connect_timeouts_.arm(now_ + limits_.connect_timeout, connection_id);
  connection.stream.set_handlers({
      .connected =
          [this, &connection] {
            if (!handshake_) return on_connect_result(connection, true);
            handshake_(connection,
                       [this, &connection](bool succeeded) { on_connect_result(connection, succeeded); });
          },
      .data =
          [this, &connection](std::string_view bytes) {
            engines_[connection.engine].last_contact = now_;
            if (!connection.on_data)
              return on_connection_lost(connection, false);  // no call is waiting for it
            const auto data = connection.on_data;  // a copy: the handler may be replaced from within
            data(bytes);
          },
      .end_of_input =
          [this, &connection] {
            if (!connection.ready) return on_connect_result(connection, false);
            on_connection_lost(connection, true);
          },
      .closed =
          [this, &connection] {
            if (!connection.ready) return on_connect_failed(connection);
            on_connection_lost(connection, false);
          },
      .drained = {},
  });
  return true;
}

void ConnectionPool::on_connection_lost(Connection& connection, bool clean) {
  if (!connection.on_lost) {
    ++counts_.lost_idle;
    return remove(connection);
  }
  const auto on_lost = std::move(connection.on_lost);
  connection.on_lost = nullptr;
  on_lost(clean);
}

// An engine that accepts a connection is running, so one reset says nothing about the next connect, and the
// connect is retried. Too many resets in a row count as a failure.
void ConnectionPool::on_connect_failed(Connection& connection) {
  auto& engine = engines_[connection.engine];
  if (!connection.stream.reset_before_connected() || ++engine.consecutive_resets > kMaxConsecutiveResets)
    return on_connect_result(connection, false);
  ++counts_.reset;
  remove(connection);  // another connect is begun for its waiter
}

// A connect to an engine that has responded since the connect began is retried too: its packets were lost.
// Too many timeouts in a row count as a failure.
void ConnectionPool::on_connect_timeout(Connection& connection) {
  auto& engine = engines_[connection.engine];
  if (engine.last_contact > connection.state_since &&
      ++engine.consecutive_timeouts <= kMaxConsecutiveTimeouts)
    return remove(connection);
  --counts_.failed;
  on_connect_result(connection, false);
}

void ConnectionPool::on_connect_result(Connection& connection, bool succeeded) {
  auto& engine = engines_[connection.engine];
  if (!succeeded) {
    ++engine.unreported_failures;
    ++counts_.failed;
    return remove(connection);
  }
  connection.ready = true;
  engine.consecutive_resets = engine.consecutive_timeouts = 0;
  engine.last_contact = now_;
  --engine.connecting;
  release(connection);
}

void ConnectionPool::assign(std::uint32_t id, Engine& engine) {
  while (!engine.waiting.empty()) {
    const auto reusable = [this](const Connection* c) {
      return !c->used || c->state_since + limits_.reuse_delay <= now_;
    };
    if (const auto found = std::find_if(engine.idle.rbegin(), engine.idle.rend(), reusable);
        found != engine.idle.rend()) {
      auto* connection = *found;
      engine.idle.erase(std::next(found).base());
      connection->idle = false;
      // The engine may have closed it while it was idle, and the event loop may not have noticed yet.
      if (connection->stream.closed_by_peer()) {
        ++counts_.closed_by_peer;
        remove(*connection);
        continue;
      }
      ++counts_.assigned;
      connection->used = true;
      auto waiter = std::move(engine.waiting.front());
      engine.waiting.pop_front();
      waiter.callback(connection);
      continue;
    }
    if (engine.unreported_failures > 0 || !engine.usable) {
      if (engine.unreported_failures > 0) --engine.unreported_failures;
      auto waiter = std::move(engine.waiting.front());
      engine.waiting.pop_front();
      waiter.callback(nullptr);
      continue;
    }
    if (engine.connecting >= engine.waiting.size()) return;
    if (!make_room() || !connect(id, engine)) {
      connect_deferred_ = true;
      return;
    }
  }
  engine.unreported_failures = 0;
}

void ConnectionPool::process_pending() {
  for (int pass = 0; pass < 1000 && !pending_engines_.empty(); ++pass) {
    const auto pending = std::exchange(pending_engines_, {});
    for (const auto id : pending) assign(id, engines_[id]);
  }
  closed_.clear();
}

void ConnectionPool::tick(Time now) {
  now_ = now;
  if (connect_deferred_) schedule_waiters();
  connect_timeouts_.advance(now, [this](std::uint64_t connection_id) {
    const auto found = connections_.find(connection_id);
    if (found == connections_.end() || found->second->ready) return;
    ++counts_.timed_out;
    on_connect_timeout(*found->second);
  });
  if (now < last_sweep_ + kSweepInterval) return;
  last_sweep_ = now;
  for (auto& [id, engine] : engines_) {
    while (!engine.idle.empty() && engine.idle.front()->state_since + limits_.idle_timeout <= now) {
      ++counts_.idle_timeouts;
      remove(*engine.idle.front());
    }
  }
  // New engines get new ids, so the table would grow without bound.
  std::erase_if(engines_, [](const auto& entry) {
    const auto& engine = entry.second;
    return !engine.usable && engine.idle.empty() && engine.waiting.empty() && engine.connecting == 0;
  });
}

std::string ConnectionPool::state() const {
  std::size_t idle = 0, connecting = 0, waiting = 0;
  for (const auto& [id, engine] : engines_) {
    idle += engine.idle.size();
    connecting += engine.connecting;
    waiting += engine.waiting.size();
  }
  return std::to_string(connections_.size()) + " of " + std::to_string(limits_.max_connections) +
         " connections, " + std::to_string(idle) + " idle, " + std::to_string(connecting) + " connecting, " +
         std::to_string(waiting) + " requested";
}

}  // namespace bellstair::net
