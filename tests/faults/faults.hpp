// Starts the program under the fault shim, and what such tests share.
#pragma once

#include <chrono>
#include <map>
#include <string>

#include "../net/harness.hpp"
#include "fault_shim.hpp"

namespace bellstair::test {

// The state that a test and the shim in its program share, in a file of its own.
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
  void step_wall_clock(std::chrono::nanoseconds by) { state_->wall_clock_offset_ns += by.count(); }

  [[nodiscard]] std::map<std::string, std::string> environment() const {
    return {{kFaultFileVariable, path_},
            {"LD_PRELOAD", BELLSTAIR_FAULT_SHIM},
            // A sanitized program has its runtime behind the shim.
            {"ASAN_OPTIONS", "verify_asan_link_order=0"}};
  }

 private:
  std::string path_;
  FaultState* state_;
};

}  // namespace bellstair::test
