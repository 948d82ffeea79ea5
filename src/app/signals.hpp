// Signal handlers that set flags, which the event loop polls.
#pragma once

#include <atomic>
#include <csignal>

namespace bellstair::app {

// libev's signal watchers wake the loop through a descriptor, and never report a signal again once that
// descriptor can't be watched. These handlers only set a flag, so no signal is lost as long as the flags are
// polled regularly.
class SignalFlags {
 public:
  // Installs the handlers: SIGTERM and SIGINT request a stop, SIGHUP a reload; SIGPIPE is ignored. Signals
  // that were received while blocked are delivered now.
  static void install() {
    std::signal(SIGPIPE, SIG_IGN);
    struct sigaction action {};
    action.sa_handler = &SignalFlags::on_signal;
    action.sa_flags = SA_RESTART;
    sigset_t handled_signals;
    sigemptyset(&handled_signals);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
      ::sigaction(signal, &action, nullptr);
      sigaddset(&handled_signals, signal);
    }
    ::sigprocmask(SIG_UNBLOCK, &handled_signals, nullptr);
  }
  // Whether a signal was received since the last call; several signals count as one.
  [[nodiscard]] static bool take_stop() { return stop_requested_.exchange(false); }
  [[nodiscard]] static bool take_reload() { return reload_requested_.exchange(false); }

 private:
  static void on_signal(int signal) { (signal == SIGHUP ? reload_requested_ : stop_requested_) = true; }

  inline static std::atomic<bool> stop_requested_{false}, reload_requested_{false};
  static_assert(std::atomic<bool>::is_always_lock_free, "set from a signal handler");
};

}  // namespace bellstair::app
