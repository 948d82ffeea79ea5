// Signals as flags that the program looks at between its turns.
#pragma once

#include <atomic>
#include <csignal>

namespace bellstair::app {

// The loop's own signal watchers wake it through a descriptor, and are deaf for good once that can't be
// watched. These only set a flag: whoever asks often enough misses none.
class SignalFlags {
 public:
  // From here on SIGTERM and SIGINT ask to stop, SIGHUP to reload; SIGPIPE is ignored. Those that were
  // blocked and came before are delivered now.
  static void install() {
    std::signal(SIGPIPE, SIG_IGN);
    struct sigaction action {};
    action.sa_handler = &SignalFlags::on_signal;
    action.sa_flags = SA_RESTART;
    sigset_t heeded;
    sigemptyset(&heeded);
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
      ::sigaction(signal, &action, nullptr);
      sigaddset(&heeded, signal);
    }
    ::sigprocmask(SIG_UNBLOCK, &heeded, nullptr);
  }
  // True once for each time that it was asked for; several at once count as one.
  [[nodiscard]] static bool take_stop() { return stop_.exchange(false); }
  [[nodiscard]] static bool take_reload() { return reload_.exchange(false); }

 private:
  static void on_signal(int signal) { (signal == SIGHUP ? reload_ : stop_) = true; }

  inline static std::atomic<bool> stop_{false}, reload_{false};
  static_assert(std::atomic<bool>::is_always_lock_free, "set from a signal handler");
};

}  // namespace bellstair::app
