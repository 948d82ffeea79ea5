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

// The loop turns every Reducer::kTick. After a longer pause (stopped, or without a processor) clients may
// have left and answers come that were not read yet.
constexpr core::Time kPause = 50ms;
// A configuration that can't be read is tried again so often, and for so long.
constexpr core::Time kReloadPause = 100ms, kMostReloadWait = 10s;
// Steps of the wall clock are logged from this size on.
constexpr core::Time kToldStep = 500ms;
// A poll of the loop reports so many descriptors at the least, if they are ready.
constexpr std::size_t kReadyPerPoll = 64;

double seconds(core::Time time) { return std::chrono::duration<double>(time).count(); }

// Clients hold a third of the descriptors at the most; what is left over is for listeners, files and the
// like.
constexpr std::size_t kSpare = 48;
std::size_t client_share(std::size_t sockets) { return sockets / 3 + 16; }
std::size_t engine_share(std::size_t sockets) {
  const auto clients = client_share(sockets) + kSpare;
  return sockets > clients + 8 ? sockets - clients : 8;
}

net::ConnectionPool::Limits limits(const config::Config& config) {
  net::ConnectionPool::Limits out;
  out.max_connections = engine_share(config.max_descriptors);
  out.connect_timeout = config.connect_timeout;
  // Well before the engine closes it: a call must not cross the close.
  out.idle_timeout = config.idle_timeout / 2;
  return out;
}

// A predecessor that is being killed may hold the address still, and the system lack memory for a moment.
constexpr core::Time kMostListenWait = 10s, kListenPause = 100ms;

net::Fd listen(const std::string& address, const char* field) {
  const auto at = net::parse_address(address);
  if (!at) throw CannotStart(std::string(field) + ": is not an address with a port");
  const auto give_up = core::monotonic_now() + kMostListenWait;
  bool told = false;
  while (true) {
    auto fd = net::listen_tcp(*at);
    if (fd) {
      std::fprintf(stderr, "bellstair: %s on %s\n", field, net::local_address(fd.get()).c_str());
      return fd;
    }
    const int error = errno;
    const auto problem = std::string(field) + ": " + address + ": " + std::strerror(error);
    const bool may_pass = error == EADDRINUSE || net::local_shortage(error);
    if (!may_pass || core::monotonic_now() >= give_up) throw CannotStart(problem);
    if (!std::exchange(told, true)) std::fprintf(stderr, "bellstair: %s; trying again\n", problem.c_str());
    std::this_thread::sleep_for(kListenPause);
  }
}
}  // namespace

net::EventSink Broker::poster() {
  return [this](core::Event event) { post(std::move(event)); };
}

std::unique_ptr<net::EngineDriver> Broker::make_engines() {
  const auto& names = config_.names;
  if (fronts_.mysql_engines)
    return std::make_unique<mysql::Engines>(loop_, limits(config_), *fronts_.mysql_engines, names.class_names,
                                            poster());
  auto calm = limits(config_);
  calm.reuse_delay = 20ms;  // a second answer may come some milliseconds after the first
  return std::make_unique<platform::Engines>(loop_, calm, names.class_names, names.load_fields, poster());
}

// Of interest only once the program is about to end.
bool Broker::unwritten() const {
  if (reducer_.lifecycle().phase() < core::Phase::draining) return false;
  return front_->has_unsent_output() || (mysql_ && mysql_->unwritten());
}

Broker::Broker(ev::loop_ref loop, config::Config config, config::Fronts fronts, std::string file)
    : loop_(loop),
      file_(std::move(file)),
      config_(std::move(config)),
      fronts_(std::move(fronts)),
      reducer_(config_.settings, config_.seed, (config_.memory_mb << 20) / 4,
               core::wall_now() - core::monotonic_now()),
      engines_(make_engines()),
      changelog_(loop, config_.changelog, config_.names, config_.initial_membership.seq, poster()),
      peers_(loop, config_, poster()),
      tick_(loop),
      call_(loop),
      prepare_(loop),
      check_(loop),
      reload_(loop) {
  const auto share = client_share(config_.max_descriptors);
  front_ = std::make_unique<platform::Front>(
      loop, listen(config_.listen, "listen"), config_.names, fronts_.mysql ? share / 2 : share, handles_,
      [this] { return reducer_.lifecycle().green(); }, poster());
  if (fronts_.plugin)
    plugin_ =
        std::make_unique<plugin::Admission>(*fronts_.plugin, config_.names, config_.settings.max_retry_after);
  if (fronts_.directory)
    directory_ = std::make_unique<directory::Ldap>(loop, *fronts_.directory, config_.names);
  if (fronts_.mysql) {
    mysql::Front::Options options;
    options.most_connections = share / 2;
    options.escaped_rows = fronts_.mysql_engines.has_value();
    if (directory_) {
      options.lookup = [this](const std::string& user, const std::string& password, directory::Done done) {
        directory_->look_up(user, password, std::move(done));
      };
    }
    mysql_ = std::make_unique<mysql::Front>(loop, listen(fronts_.mysql->listen, "mysql.listen"),
                                            *fronts_.mysql, config_.names, config_.settings,
                                            std::move(options), handles_, config_.seed, poster());
  }
  for (auto& change : config_.initial_membership.changes) post(std::move(change));
  post(core::Listening{});

  tick_.set<Broker, &Broker::on_tick>(this);
  call_.set<Broker, &Broker::on_call>(this);
  prepare_.set<Broker, &Broker::on_prepare>(this);
  check_.set<Broker, &Broker::on_check>(this);
  reload_.set<Broker, &Broker::on_reload>(this);
}

void Broker::run() {
  SignalFlags::install();
  tick_.start(0, seconds(core::Reducer::kTick));
  prepare_.start();
  polled_ = core::monotonic_now();
  wall_offset_ = core::wall_now() - polled_;
  check_.start();
  loop_.run(0);
}

void Broker::on_tick(ev::timer&, int) {
  if (SignalFlags::take_reload()) post(core::ReloadRequested{});
  if (SignalFlags::take_stop()) post(core::ShutdownRequested{});
  if (turns_behind_ > 0) return;  // what has come is read before anything is taken for overdue
  watch_wall_clock();
  const auto now = core::monotonic_now();
  engines_->tick(now);
  front_->tick(now);
  if (mysql_) mysql_->tick(now);
  if (directory_) directory_->tick(now);
  changelog_.tick(now);
  if (reducer_.lifecycle().closed()) front_->stop();
  post(core::Tick{unwritten()});
}

// Nothing goes by the wall clock, but whoever reads the log beside others' has to know of its steps.
void Broker::watch_wall_clock() {
  const auto offset = core::wall_now() - core::monotonic_now();
  const auto step = offset - std::exchange(wall_offset_, offset);
  if (step > kToldStep || step < -kToldStep)
    run(core::Log{"the wall clock was stepped by " + std::to_string(seconds(step)) + " s"});
}

void Broker::on_call(ev::timer&, int) { post(core::Tick{unwritten()}); }

// Called first in each turn of the loop, before anything is read.
void Broker::on_check(ev::check&, int) {
  const auto before = std::exchange(polled_, core::monotonic_now());
  if (polled_ - before <= kPause) return;
  run(core::Log{"the program stood still for " + std::to_string(seconds(polled_ - before)) + " s"});
  if (turns_behind_ == 0) standstill_began_ = before;
  turns_behind_ = 1 + config_.max_descriptors / kReadyPerPoll;
}

void Broker::post(core::Event event) {
  auto* const arrived = std::get_if<core::RequestArrived>(&event);
  if (arrived != nullptr && turns_behind_ > 0) arrived->received_at = standstill_began_;
  events_.push_back(std::move(event));
}

// Before the loop sleeps: all that has happened in this turn of it.
void Broker::on_prepare(ev::prepare&, int) {
  if (turns_behind_ > 0 && --turns_behind_ > 0) return call_.start(0, 0);  // another turn, without a sleep
  do {
    pump();
    engines_->process_pending();
    front_->release_closed();
    if (mysql_) mysql_->settle();
  } while (!events_.empty());
  const auto due = reducer_.next_call();
  if (!due) return;
  call_.start(std::max(0.0, seconds(*due - core::monotonic_now())) + 1e-5, 0);
}

void Broker::pump() {
  while (!events_.empty()) {
    auto event = std::move(events_.front());
    events_.pop_front();
    if (auto* arrived = std::get_if<core::RequestArrived>(&event); arrived != nullptr && plugin_)
      admit(arrived->request);
    effects_.clear();
    reducer_.reduce(core::monotonic_now(), std::move(event), effects_);
    for (auto& effect : effects_) std::visit([this](auto& e) { run(e); }, effect);
  }
}

// A script that fails for one request fails for many: one line a second says enough.
void Broker::admit(core::ClientRequest& asked) {
  const auto said = plugin_->admit(asked);
  const auto now = core::monotonic_now();
  if (said.empty() || now < plugin_logged_ + 1s) return;
  plugin_logged_ = now;
  run(core::Log{said});
}

void Broker::run(const core::Answer& effect) {
  if (!front_->run(effect) && mysql_) mysql_->run(effect);
}

void Broker::run(const core::Log& effect) {
  std::fprintf(stderr, "bellstair %s: %s\n", config_.name.c_str(), effect.text.c_str());
}

void Broker::run(const core::ReadConfiguration&) {
  reload_until_ = core::monotonic_now() + kMostReloadWait;
  read_configuration(true);
}

void Broker::on_reload(ev::timer&, int) { read_configuration(false); }

// Read whole, and as strictly as at the start, before anything of it is used. Out of descriptors, or while it
// is being written, it can't be: it is tried again then, and only the first problem is told.
void Broker::read_configuration(bool tell_problem) {
  core::ConfigurationRead read;
  try {
    const auto again = config::parse(config::read_file(file_, "configuration"));
    read.changelog = again.changelog;
    for (const auto& [field, text] : again.restart_only_fields) {
      if (text != config_.restart_only_fields.at(field)) read.restart_required.push_back(field);
    }
  } catch (const std::exception& error) {
    read.error = error.what();
  }
  const bool failed = !read.error.empty();
  if (failed && core::monotonic_now() < reload_until_) {
    reload_.start(seconds(kReloadPause), 0);
  } else {
    reload_.stop();
  }
  if (!failed || tell_problem) post(std::move(read));
}

void Broker::run(const core::Exit&) { loop_.break_loop(ev::ALL); }

}  // namespace bellstair::app
