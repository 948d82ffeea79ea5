// Interface between the reducer and the clients of one engine protocol (HTTP or MySQL).
#pragma once

#include <functional>

#include "core/events.hpp"

namespace bellstair::net {

// Receives the events that network code reports to the reducer.
using EventSink = std::function<void(core::Event)>;

// Executes the reducer's effects on engines and reports results through an EventSink. Network errors are
// reported as events; none of the functions throws or blocks.
class EngineDriver {
 public:
  virtual ~EngineDriver() = default;
  // Acquires a connection for an attempt; reports AttemptReady or AttemptEnded.
  virtual void run(const core::StartAttempt& effect) = 0;
  // Sends the query of an attempt that is ready; may move out of the effect.
  virtual void run(core::Transmit& effect) = 0;
  // Cancels an attempt; AttemptEnded follows once the query has ended or the engine has been asked to end it.
  virtual void run(const core::CancelAttempt& effect) = 0;
  // Changes the priority of a running query, where the protocol has priorities.
  virtual void run(const core::SetPriority& effect) = 0;
  // Checks whether an engine responds; reports ProbeEnded.
  virtual void run(const core::ProbeEngine& effect) = 0;
  // Takes over an engine's address and whether it may be used.
  virtual void run(const core::EngineUpdated& effect) = 0;
  // Continues pending work and frees closed connections. Called once per iteration of the event loop.
  virtual void process_pending() = 0;
  // Takes over the current monotonic time and fires the timers that are due.
  virtual void tick(core::Time now) = 0;
};

}  // namespace bellstair::net
