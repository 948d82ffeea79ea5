// The program's event loop: passes events from the fronts, engines, change log and peers to the reducer, and
// its effects to the components that execute them.
#pragma once

#include <ev++.h>

#include <deque>
#include <memory>
#include <vector>

#include "app/client_events.hpp"
#include "config/config.hpp"
#include "config/fronts.hpp"
#include "core/reducer.hpp"
#include "directory/ldap.hpp"
#include "mysql/front.hpp"
#include "net/driver.hpp"
#include "platform/changelog.hpp"
#include "platform/front.hpp"
#include "platform/peers.hpp"
#include "plugin/admission.hpp"

namespace bellstair::app {

// The program can't start; what() names the configuration field and the reason.
struct StartupError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One broker with all of its components, on one event loop and one thread.
class Broker {
 public:
  // Listens on all configured addresses. `file`: the configuration file, read again on SIGHUP. Throws
  // StartupError, and what the constructors of the configured components throw.
  Broker(ev::loop_ref loop, config::Config config, config::Fronts fronts, std::string file);
  // Runs the loop until the program has stopped, on SIGTERM or SIGINT.
  void run();

 private:
  // Queues an event for the reducer.
  void post(core::Event event);
  // Callbacks of the loop.
  void on_tick(ev::timer& timer, int events);
  void on_policy_timer(ev::timer& timer, int events);
  void on_prepare(ev::prepare& prepare, int events);
  void on_check(ev::check& check, int events);
  // Hands the time to all components, which fire their timers.
  void advance_time();
  // Reads from clients of this priority, in the order in which their input was received, until none waits, so
  // much time has passed or as many events as should be processed together are queued. One client has its
  // turn in any case.
  void read_clients(net::ReadPriority priority, core::Time max_time);
  void log_wall_clock_jumps();
  void on_reload(ev::timer& timer, int events);
  // Reads the configuration again and posts the result, or schedules a retry. `report_error`: post an error
  // too.
  void read_configuration(bool report_error);
  // Passes all queued events to the reducer and executes the effects.
  void process_events();
  // Begins the attempts that are ready, or holds them.
  void begin_attempts();
  // Passes an event to the reducer and executes the effects.
  void reduce(core::Event event);
  // Whether the attempt's client may have cancelled it or gone some time ago, which is not read yet.
  [[nodiscard]] bool awaits_client_input(core::AttemptId id) const;
  // Runs the admission plug-in on the request. Errors of the plug-in are logged.
  void apply_admission(core::ClientRequest& request);
  // A function that calls post().
  [[nodiscard]] net::EventSink event_sink();
  [[nodiscard]] std::unique_ptr<net::EngineDriver> make_engine_driver();
  // The tick event for the reducer. What is pending only decides when the program can stop and exit, and is
  // not looked up before it drains.
  [[nodiscard]] core::Tick make_tick() const;

  void execute(const core::Answer& effect);
  void execute(const core::StartAttempt& effect) { engine_driver_->run(effect); }
  void execute(core::Transmit& effect) { engine_driver_->run(effect); }
  void execute(const core::CancelAttempt& effect) { engine_driver_->run(effect); }
  void execute(const core::SetPriority& effect) { engine_driver_->run(effect); }
  void execute(const core::ProbeEngine& effect) { engine_driver_->run(effect); }
  void execute(const core::EngineUpdated& effect) { engine_driver_->run(effect); }
  void execute(const core::SendToPeers& effect) { peers_.run(effect); }
  void execute(const core::Log& effect);
  void execute(const core::ReadConfiguration&);
  void execute(const core::WatchChangeLog& effect) { changelog_.set_address(effect.address); }
  void execute(const core::Exit&);

  ev::loop_ref loop_;
  std::string config_file_;
  config::Config config_;
  config::Fronts fronts_;
  std::uint64_t last_client_handle_ = 0;  // all fronts assign handles from this
  std::deque<core::Event> events_;        // not yet processed
  ClientEvents client_events_;            // to be processed after these
  // Attempts with a connection. They begin after the events above, since their clients may have cancelled
  // them; held: not before what their clients have sent is read.
  std::vector<core::AttemptReady> ready_attempts_, held_attempts_;
  core::Effects effects_;
  core::Reducer reducer_;
  std::unique_ptr<net::EngineDriver> engine_driver_;
  net::ReadQueue read_queue_;  // of all client connections
  std::unique_ptr<platform::Front> platform_front_;
  // Optional; null unless configured.
  std::unique_ptr<directory::Ldap> directory_;
  std::unique_ptr<plugin::Admission> plugin_;
  std::unique_ptr<mysql::Front> mysql_front_;
  core::Time plugin_logged_at_{};
  core::Time wall_offset_{};    // wall-clock time minus monotonic time, when last read
  core::Time last_poll_at_{};   // when the loop's last poll returned
  core::Time last_cpu_time_{};  // processor time used until then
  // While it catches up after a pause of the loop: the last poll before the pause, polls until all that is
  // readable has been reported, and when to go on in any case.
  core::Time pause_started_at_{};
  std::size_t catch_up_polls_ = 0;
  core::Time catch_up_deadline_{};
  platform::ChangeLog changelog_;
  platform::Peers peers_;
  ev::timer tick_timer_, policy_timer_;
  ev::prepare prepare_;
  ev::check check_;
  ev::timer reload_timer_;        // retries to read the configuration
  core::Time reload_deadline_{};  // no retry after this
};

}  // namespace bellstair::app
