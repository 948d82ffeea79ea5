// Preloads the fault shim into the program under test and controls the faults that it injects.
#pragma once

#include <chrono>
#include <map>
#include <string>

#include "../net/harness.hpp"
#include "fault_shim.hpp"

namespace bellstair::test {

// The fault state that a test shares with the shim in its program, in a temporary file that is mapped by
// both. The constructor throws std::runtime_error if the file cannot be mapped.
class Faults {
 public:
  Faults()
      : path_(write_temporary_file(std::string(sizeof(FaultState), '\0'))), state_(map_fault_state(path_)) {
    state_->random_state = 1;
  }
  ~Faults() {
    ::munmap(state_, sizeof(FaultState));
    ::unlink(path_.c_str());
  }
  Faults(const Faults&) = delete;
  Faults& operator=(const Faults&) = delete;

  FaultState* operator->() { return state_; }
  // Steps the program's CLOCK_REALTIME; steps add up.
  void step_wall_clock(std::chrono::nanoseconds by) { state_->wall_clock_offset_ns += by.count(); }

  // The environment variables to start the program with.
  [[nodiscard]] std::map<std::string, std::string> environment() const {
    return {{kFaultFileVariable, path_},
            {"LD_PRELOAD", BELLSTAIR_FAULT_SHIM},
            // The shim precedes the sanitizer's runtime in the library list of a sanitized program.
            {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
  }

 private:
  std::string path_;
  FaultState* state_;
};

}  // namespace bellstair::test
