#include "net/pool.hpp"

#include <algorithm>
#include <cerrno>

namespace bellstair::net {
namespace {
using namespace std::chrono_literals;
constexpr Time kSweep = 1s;
constexpr std::size_t kLate = 3;    // and that were late
constexpr std::size_t kCutOff = 3;  // dials broken off in a row before an engine counts as not to be reached
}  // namespace

ConnectionPool::ConnectionPool(ev::loop_ref loop, Limits limits, Handshake greeter)
    : loop_(loop), limits_(limits), greeter_(std::move(greeter)) {}

void ConnectionPool::set_address(std::uint32_t id, const std::string& address) {
  auto& engine = engines_[id];
  // Idle connections to an address that it has left may lead to another engine by now.
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
  stirred_.push_back(id);
}

std::uint64_t ConnectionPool::acquire(std::uint32_t id, AcquireCallback taker) {
  engines_[id].waiting.push_back({++tickets_, std::move(taker)});
  stirred_.push_back(id);
  return tickets_;
}

void ConnectionPool::cancel(std::uint32_t id, std::uint64_t ticket) {
  std::erase_if(engines_[id].waiting, [ticket](const Waiter& w) { return w.ticket == ticket; });
}

void ConnectionPool::release(Connection& connection) {
  connection.on_data = nullptr;
  connection.on_lost = nullptr;
  auto& engine = engines_[connection.engine];
  if (!connection.stream.open() || (!engine.usable && engine.waiting.empty())) return remove(connection);
  connection.idle = true;
  connection.since = now_;
  engine.idle.push_back(&connection);
  stirred_.push_back(connection.engine);
}

void ConnectionPool::discard(Connection& connection) {
  connection.stream.abort();
  remove(connection);
}

void ConnectionPool::remove(Connection& connection) {
  auto& engine = engines_[connection.engine];
  if (connection.idle) std::erase(engine.idle, &connection);
  if (!connection.ready) --engine.dialling;
  connection.stream.close();
  const auto found = connections_.find(connection.serial);
  gone_.push_back(std::move(found->second));
  connections_.erase(found);
  stirred_.push_back(connection.engine);
  if (starved_) stir();
}

void ConnectionPool::stir() {
  starved_ = false;
  for (const auto& [id, engine] : engines_) {
    if (!engine.waiting.empty()) stirred_.push_back(id);
  }
}

bool ConnectionPool::make_room() { return connections_.size() < limits_.max_connections || evict(); }

// Closes the connection that has been idle for longest.
bool ConnectionPool::evict() {
  Connection* oldest = nullptr;
  for (auto& [id, engine] : engines_) {
    if (!engine.idle.empty() && (oldest == nullptr || engine.idle.front()->since < oldest->since))
      oldest = engine.idle.front();
  }
  ++(oldest != nullptr ? counts_.evicted : counts_.starved);
  if (oldest != nullptr) remove(*oldest);
  return oldest != nullptr;
}

bool ConnectionPool::dial(std::uint32_t id, Engine& engine) {
  const auto address = parse_address(engine.address);
  errno = 0;
  auto fd = address ? begin_connect(*address) : Fd();
  const int error = errno;
  if (!fd && local_shortage(error)) {
    // Its own idle ones will do, once they have settled.
    if (out_of_descriptors(error) && engine.idle.empty()) evict();
    return false;
  }
  ++counts_.dialled;
  if (!fd) {
    ++engine.failures;
    ++counts_.refused;
    return true;
  }
  const auto serial = ++serial_;
  auto made = std::make_unique<Connection>(loop_, std::move(fd), limits_.max_unsent_bytes);
  auto& connection = *made;
  connection.serial = serial;
  connection.engine = id;
  connection.since = now_;
  connections_.emplace(serial, std::move(made));
  ++engine.dialling;
  dials_.arm(now_ + limits_.connect_timeout, serial);
  connection.stream.set_handlers({
      .connected =
          [this, &connection] {
            if (!greeter_) return dialled(connection, true);
            greeter_(connection, [this, &connection](bool well) { dialled(connection, well); });
          },
      .data =
          [this, &connection](std::string_view bytes) {
            engines_[connection.engine].heard = now_;
            if (!connection.on_data) return lose(connection, false);  // nobody asked
            const auto data = connection.on_data;                     // it may be replaced from within
            data(bytes);
          },
      .end_of_input =
          [this, &connection] {
            if (!connection.ready) return dialled(connection, false);
            lose(connection, true);
          },
      .closed =
          [this, &connection] {
            if (!connection.ready) return not_dialled(connection);
            lose(connection, false);
          },
      .drained = {},
  });
  return true;
}

void ConnectionPool::lose(Connection& connection, bool clean) {
  if (!connection.on_lost) {
    ++counts_.broken;
    return remove(connection);
  }
  const auto lost = std::move(connection.on_lost);
  connection.on_lost = nullptr;
  lost(clean);
}

// An engine that lets a connection in is there: what broke it off says nothing of the next one. Only so many
// in a row, and it can't be used.
void ConnectionPool::not_dialled(Connection& connection) {
  auto& engine = engines_[connection.engine];
  if (!connection.stream.reset_before_connected() || ++engine.cut_off > kCutOff)
    return dialled(connection, false);
  ++counts_.cut_off;
  remove(connection);  // whoever waits for it has another dialled
}

// Nor does a connection that is late tell of an engine that was heard since it was begun: its way in is lost.
void ConnectionPool::late(Connection& connection) {
  auto& engine = engines_[connection.engine];
  if (engine.heard > connection.since && ++engine.late <= kLate) return remove(connection);
  --counts_.refused;
  dialled(connection, false);
}

void ConnectionPool::dialled(Connection& connection, bool well) {
  auto& engine = engines_[connection.engine];
  if (!well) {
    ++engine.failures;
    ++counts_.refused;
    return remove(connection);
  }
  connection.ready = true;
  engine.cut_off = engine.late = 0;
  engine.heard = now_;
  --engine.dialling;
  release(connection);
}

void ConnectionPool::hand_out(std::uint32_t id, Engine& engine) {
  while (!engine.waiting.empty()) {
    const auto settled = [this](const Connection* c) {
      return !c->used || c->since + limits_.reuse_delay <= now_;
    };
    if (const auto found = std::find_if(engine.idle.rbegin(), engine.idle.rend(), settled);
        found != engine.idle.rend()) {
      auto* connection = *found;
      engine.idle.erase(std::next(found).base());
      connection->idle = false;
      // The engine may have closed it while it lay idle, and the loop not have come to that yet.
      if (connection->stream.closed_by_peer()) {
        ++counts_.stale;
        remove(*connection);
        continue;
      }
      ++counts_.reused;
      connection->used = true;
      auto waiter = std::move(engine.waiting.front());
      engine.waiting.pop_front();
      waiter.taker(connection);
      continue;
    }
    if (engine.failures > 0 || !engine.usable) {
      if (engine.failures > 0) --engine.failures;
      auto waiter = std::move(engine.waiting.front());
      engine.waiting.pop_front();
      waiter.taker(nullptr);
      continue;
    }
    if (engine.dialling >= engine.waiting.size()) return;
    if (!make_room() || !dial(id, engine)) {
      starved_ = true;
      return;
    }
  }
  engine.failures = 0;
}

void ConnectionPool::process_pending() {
  for (int turn = 0; turn < 1000 && !stirred_.empty(); ++turn) {
    const auto stirred = std::exchange(stirred_, {});
    for (const auto id : stirred) hand_out(id, engines_[id]);
  }
  gone_.clear();
}

void ConnectionPool::tick(Time now) {
  now_ = now;
  if (starved_) stir();
  dials_.advance(now, [this](std::uint64_t serial) {
    const auto found = connections_.find(serial);
    if (found == connections_.end() || found->second->ready) return;
    ++counts_.late;
    late(*found->second);
  });
  if (now < swept_ + kSweep) return;
  swept_ = now;
  for (auto& [id, engine] : engines_) {
    while (!engine.idle.empty() && engine.idle.front()->since + limits_.idle_timeout <= now) {
      ++counts_.aged;
      remove(*engine.idle.front());
    }
  }
  // Engines come with new ids for ever.
  std::erase_if(engines_, [](const auto& entry) {
    const auto& engine = entry.second;
    return !engine.usable && engine.idle.empty() && engine.waiting.empty() && engine.dialling == 0;
  });
}

std::string ConnectionPool::state() const {
  std::size_t idle = 0, dialling = 0, waiting = 0;
  for (const auto& [id, engine] : engines_) {
    idle += engine.idle.size();
    dialling += engine.dialling;
    waiting += engine.waiting.size();
  }
  return std::to_string(connections_.size()) + " of " + std::to_string(limits_.max_connections) +
         " connections, " + std::to_string(idle) + " idle, " + std::to_string(dialling) + " dialling, " +
         std::to_string(waiting) + " wanted";
}

}  // namespace bellstair::net
