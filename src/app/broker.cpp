#include "app/broker.hpp"

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <thread>

#include "app/signals.hpp"
#include "core/clock.hpp"
#include "mysql/engines.hpp"
#include "platform/engines.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;

// The loop iterates at least every Reducer::kTick, and its own work takes little longer than the limits
// below. A longer gap means that the process was paused (stopped, or without a processor): clients may have
// disconnected and answers may have arrived that were not read yet.
constexpr core::Time kMaxPollGap = 50ms;
// The longest time for which events are not processed after a pause, until all that has arrived meanwhile is
// read.
constexpr core::Time kMaxCatchUpTime = 100ms;
// In one iteration of the loop, time for reading and parsing what clients have sent, by its priority.
constexpr core::Time kPromptReadTime = 10ms, kNormalReadTime = 5ms, kBulkReadTime = 5ms;
// No more is read in one iteration once the requests that it has brought have so many bytes: each copy of
// them counts towards the memory limit.
constexpr std::size_t kMaxQueuedRequestBytes = std::size_t{2} << 20;
// The same for the number of events, since each of them takes time to process.
constexpr std::size_t kMaxQueuedEvents = 256;
// If the configuration can't be read, it is tried again at this interval for this long.
constexpr core::Time kReloadRetryInterval = 100ms, kMaxReloadTime = 10s;
// A client sends a request again if its connection is closed this soon after it has sent it.
constexpr core::Time kMaxCrossing = 50ms;
// Jumps of the wall clock that exceed this are logged.
constexpr core::Time kMinLoggedJump = 500ms;
// A poll of the loop reports at least this many descriptors, if so many are ready.
constexpr std::size_t kMinReadyPerPoll = 64;

using core::seconds;

// Client connections get a third of the descriptors, engine connections the rest, except for the reserved
// ones, which are for listeners, files and other uses.
constexpr std::size_t kReservedDescriptors = 48;
std::size_t max_client_connections(std::size_t sockets) { return sockets / 3 + 16; }
std::size_t max_engine_connections(std::size_t sockets) {
  const auto clients = max_client_connections(sockets) + kReservedDescriptors;
  return sockets > clients + 8 ? sockets - clients : 8;
}

net::ConnectionPool::Limits pool_limits(const config::Config& config) {
  net::ConnectionPool::Limits out;
  out.max_connections = max_engine_connections(config.max_descriptors);
  out.connect_timeout = config.connect_timeout;
  // Well before the engine closes an idle connection, so that no request is sent on one that is being closed.
  out.idle_timeout = config.idle_timeout / 2;
  return out;
}

// Listening is retried, since a previous process that is being killed may still use the address, and the
// system may be short of memory for a moment.
constexpr core::Time kMaxListenWait = 10s, kListenRetryInterval = 100ms;

// Listens on `address`, the value of the configuration's `field`. Throws StartupError.
net::Fd listen(const std::string& address, const char* field) {
  const auto at = net::parse_address(address);
  if (!at) throw StartupError(std::string(field) + ": is not an address with a port");
  const auto listen_deadline = core::monotonic_now() + kMaxListenWait;
  bool logged = false;
  while (true) {
    auto fd = net::listen_tcp(*at);
    if (fd) {
      std::fprintf(stderr, "bellstair: %s on %s\n", field, net::local_address(fd.get()).c_str());
      return fd;
    }
    const int error = errno;
    const auto error_text = std::string(field) + ": " + address + ": " + std::strerror(error);
    const bool transient = error == EADDRINUSE || net::local_shortage(error);
    if (!transient || core::monotonic_now() >= listen_deadline) throw StartupError(error_text);
    if (!std::exchange(logged, true)) std::fprintf(stderr, "bellstair: %s; retrying\n", error_text.c_str());
    std::this_thread::sleep_for(kListenRetryInterval);
  }
}
}  // namespace

net::EventSink Broker::event_sink() {
  return [this](core::Event event) { post(std::move(event)); };
}

std::unique_ptr<net::EngineDriver> Broker::make_engine_driver() {
  const auto& names = config_.names;
  if (fronts_.mysql_engines)
    return std::make_unique<mysql::Engines>(loop_, pool_limits(config_), *fronts_.mysql_engines,
                                            names.class_names, event_sink());
  auto platform_limits = pool_limits(config_);
  platform_limits.reuse_delay = 20ms;  // a second response may follow some milliseconds after the first
  return std::make_unique<platform::Engines>(loop_, platform_limits, names.class_names, names.load_fields,
                                             event_sink());
}

core::Tick Broker::make_tick() const {
  if (reducer_.lifecycle().phase() < core::Phase::draining) return {};
  core::Tick tick;
  tick.output_pending =
      platform_front_->has_unsent_output() || (mysql_front_ && mysql_front_->has_unsent_output());
  const auto drain_end = reducer_.lifecycle().min_drain_end();
  const auto has_unread_input = [this](net::ReadPriority priority, core::Time received_before) {
    return read_queue_.has_input_from_before(received_before, priority);
  };
  tick.input_pending =
      platform_front_->receives_request(drain_end) ||
      has_unread_input(net::ReadPriority::prompt, std::max(drain_end, last_poll_at_ - kMaxCrossing)) ||
      has_unread_input(net::ReadPriority::deferred, drain_end) ||
      has_unread_input(net::ReadPriority::normal, drain_end);
  return tick;
}

Broker::Broker(ev::loop_ref loop, config::Config config, config::Fronts fronts, std::string file)
    : loop_(loop),
      config_file_(std::move(file)),
      config_(std::move(config)),
      fronts_(std::move(fronts)),
      reducer_(config_.settings, config_.seed, (config_.memory_mb << 20) / 4,
               core::wall_now() - core::monotonic_now()),
      engine_driver_(make_engine_driver()),
      changelog_(loop, config_.changelog, config_.names, config_.initial_membership.seq, event_sink()),
      peers_(loop, config_, event_sink()),
      tick_timer_(loop),
      policy_timer_(loop),
      prepare_(loop),
      check_(loop),
      reload_timer_(loop) {
  const auto max_clients = max_client_connections(config_.max_descriptors);
  platform_front_ = std::make_unique<platform::Front>(
      loop, listen(config_.listen, "listen"), read_queue_, config_.names,
      fronts_.mysql ? max_clients / 2 : max_clients, last_client_handle_,
      [this] { return reducer_.lifecycle().ready(); }, event_sink());
  if (fronts_.plugin)
    plugin_ =
        std::make_unique<plugin::Admission>(*fronts_.plugin, config_.names, config_.settings.max_retry_after);
  if (fronts_.directory)
    directory_ = std::make_unique<directory::Ldap>(loop, *fronts_.directory, config_.names);
  if (fronts_.mysql) {
    mysql::Front::Options options;
    options.max_connections = max_clients / 2;
    options.escaped_rows = fronts_.mysql_engines.has_value();
    if (directory_) {
      options.lookup = [this](const std::string& user, const std::string& password, directory::Done done) {
        directory_->look_up(user, password, std::move(done));
      };
    }
    mysql_front_ = std::make_unique<mysql::Front>(
        loop, listen(fronts_.mysql->listen, "mysql.listen"), read_queue_, *fronts_.mysql, config_.names,
        config_.settings, std::move(options), last_client_handle_, config_.seed, event_sink());
  }
  for (auto& change : config_.initial_membership.changes) post(std::move(change));
  post(core::Listening{});

  tick_timer_.set<Broker, &Broker::on_tick>(this);
  policy_timer_.set<Broker, &Broker::on_policy_timer>(this);
  prepare_.set<Broker, &Broker::on_prepare>(this);
  check_.set<Broker, &Broker::on_check>(this);
  reload_timer_.set<Broker, &Broker::on_reload>(this);
}

void Broker::run() {
  SignalFlags::install();
  tick_timer_.start(0, seconds(core::Reducer::kTick));
  prepare_.start();
  last_poll_at_ = core::monotonic_now();
  last_cpu_time_ = core::thread_cpu_time();
  wall_offset_ = core::wall_now() - last_poll_at_;
  check_.start();
  loop_.run(0);
}

void Broker::on_tick(ev::timer&, int) {
  if (SignalFlags::take_reload()) post(core::ReloadRequested{});
  if (SignalFlags::take_stop()) post(core::ShutdownRequested{});
  if (catch_up_polls_ == 0) advance_time();  // else after all that has arrived is read
}

void Broker::advance_time() {
  log_wall_clock_jumps();
  const auto now = core::monotonic_now();
  engine_driver_->tick(now);
  platform_front_->tick(now);
  if (mysql_front_) mysql_front_->tick(now);
  if (directory_) directory_->tick(now);
  changelog_.tick(now);
  if (reducer_.lifecycle().stopped_accepting()) platform_front_->stop();
  post(make_tick());
}

// Nothing depends on the wall clock, but jumps matter to those who compare the log with other machines' logs.
void Broker::log_wall_clock_jumps() {
  const auto offset = core::wall_now() - core::monotonic_now();
  const auto jump = offset - std::exchange(wall_offset_, offset);
  if (jump > kMinLoggedJump || jump < -kMinLoggedJump)
    execute(core::Log{"the wall clock jumped by " + std::to_string(seconds(jump)) + " s"});
}

void Broker::on_policy_timer(ev::timer&, int) { post(make_tick()); }

// Called first in each iteration of the loop, before anything is read.
void Broker::on_check(ev::check&, int) {
  const auto before = std::exchange(last_poll_at_, core::monotonic_now());
  const auto cpu_before = std::exchange(last_cpu_time_, core::thread_cpu_time());
  const auto gap = last_poll_at_ - before;
  const bool catches_up = catch_up_polls_ > 0;
  if (gap > kMaxPollGap && !catches_up) pause_started_at_ = before;
  // The first poll after a pause may report only some of what has arrived meanwhile.
  read_queue_.on_poll(gap > kMaxPollGap || catches_up ? pause_started_at_ : before, last_poll_at_);
  if (gap <= kMaxPollGap) return;
  execute(core::Log{"the loop did not poll for " + std::to_string(seconds(gap)) +
                    " s, of which it worked for " + std::to_string(seconds(last_cpu_time_ - cpu_before)) +
                    " s"});
  if (!catches_up) catch_up_deadline_ = last_poll_at_ + kMaxCatchUpTime;
  catch_up_polls_ = 1 + config_.max_descriptors / kMinReadyPerPoll;
}

void Broker::post(core::Event event) {
  if (ClientEvents::is_client_event(event))
    return client_events_.add(std::move(event), core::monotonic_now());
  if (const auto* ready = std::get_if<core::AttemptReady>(&event)) return ready_attempts_.push_back(*ready);
  events_.push_back(std::move(event));
}

void Broker::read_clients(net::ReadPriority priority, core::Time max_time) {
  const auto end = core::monotonic_now() + max_time;
  while (!read_queue_.empty(priority)) {
    const auto first_event = client_events_.size();
    const auto arrival = read_queue_.read_next(priority);
    client_events_.set_arrival(first_event, arrival);
    const bool too_many_events =
        client_events_.size() > kMaxQueuedEvents || client_events_.request_bytes() > kMaxQueuedRequestBytes;
    if (too_many_events || core::monotonic_now() >= end) return;
  }
}

// Called before the loop sleeps: reads from clients and processes all events of this iteration.
void Broker::on_prepare(ev::prepare&, int) {
  if (catch_up_polls_ > 0) {
    const auto time_left = catch_up_deadline_ - core::monotonic_now();
    // Another poll, without sleeping: more connections may be readable than one poll reports.
    if (--catch_up_polls_ > 0 && time_left > core::Time::zero()) return policy_timer_.start(0, 0);
    catch_up_polls_ = 0;
    read_clients(net::ReadPriority::prompt, std::max(time_left, kPromptReadTime));
    advance_time();
  } else {
    read_clients(net::ReadPriority::prompt, kPromptReadTime);
  }
  read_clients(net::ReadPriority::normal, kNormalReadTime);
  read_clients(net::ReadPriority::bulk, kBulkReadTime);
  ready_attempts_.insert(ready_attempts_.end(), held_attempts_.begin(), held_attempts_.end());
  held_attempts_.clear();
  do {
    process_events();
    begin_attempts();
    engine_driver_->process_pending();
    platform_front_->release_closed();
    if (mysql_front_) mysql_front_->release_closed();
  } while (!events_.empty() || !client_events_.empty() || !ready_attempts_.empty());
  const auto due = reducer_.next_policy_run();
  if (!due) return;
  policy_timer_.start(std::max(0.0, seconds(*due - core::monotonic_now())) + 1e-5, 0);
}

void Broker::process_events() {
  client_events_.move_to(events_);
  while (!events_.empty()) {
    auto event = std::move(events_.front());
    events_.pop_front();
    if (auto* arrived = std::get_if<core::RequestArrived>(&event); arrived != nullptr && plugin_)
      apply_admission(arrived->request);
    reduce(std::move(event));
  }
}

void Broker::begin_attempts() {
  for (const auto& ready : std::exchange(ready_attempts_, {})) {
    if (awaits_client_input(ready.id)) {
      held_attempts_.push_back(ready);
    } else {
      reduce(ready);
    }
  }
}

void Broker::reduce(core::Event event) {
  effects_.clear();
  reducer_.reduce(core::monotonic_now(), std::move(event), effects_);
  for (auto& effect : effects_) std::visit([this](auto& requested) { execute(requested); }, effect);
}

bool Broker::awaits_client_input(core::AttemptId id) const {
  const auto client = reducer_.client_of(id);
  const auto now = core::monotonic_now();
  return platform_front_->awaits_input(client, now) ||
         (mysql_front_ && mysql_front_->awaits_input(client, now));
}

// Logs at most one error a second, since a script that fails for one request fails for many.
void Broker::apply_admission(core::ClientRequest& request) {
  const auto plugin_error = plugin_->admit(request);
  const auto now = core::monotonic_now();
  if (plugin_error.empty() || now < plugin_logged_at_ + 1s) return;
  plugin_logged_at_ = now;
  execute(core::Log{plugin_error});
}

void Broker::execute(const core::Answer& effect) {
  if (!platform_front_->run(effect) && mysql_front_) mysql_front_->run(effect);
}

void Broker::execute(const core::Log& effect) {
  std::fprintf(stderr, "bellstair %s: %s\n", config_.name.c_str(), effect.text.c_str());
}

void Broker::execute(const core::ReadConfiguration&) {
  reload_deadline_ = core::monotonic_now() + kMaxReloadTime;
  read_configuration(true);
}

void Broker::on_reload(ev::timer&, int) { read_configuration(false); }

// The whole file is read and checked as strictly as at startup before any of it is used. That fails while the
// file is being written or while the process is out of descriptors, so it is retried; only the first error is
// reported.
void Broker::read_configuration(bool report_error) {
  core::ConfigurationRead read;
  try {
    const auto new_config = config::parse(config::read_file(config_file_, "configuration"));
    read.changelog = new_config.changelog;
    for (const auto& [field, text] : new_config.restart_only_fields) {
      if (text != config_.restart_only_fields.at(field)) read.restart_required.push_back(field);
    }
  } catch (const std::exception& error) {
    read.error = error.what();
  }
  const bool failed = !read.error.empty();
  if (failed && core::monotonic_now() < reload_deadline_) {
    reload_timer_.start(seconds(kReloadRetryInterval), 0);
  } else {
    reload_timer_.stop();
  }
  if (!failed || report_error) post(std::move(read));
}

void Broker::execute(const core::Exit&) { loop_.break_loop(ev::ALL); }

}  // namespace bellstair::app
