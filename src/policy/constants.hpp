// Constants used by several source files of the decision module. Threads per core count the threads of all
// gateways on an engine, or on the fleet, against its cores.
#pragma once

#include "heronwell/gateway.hpp"

namespace heronwell {

using namespace std::chrono_literals;

// Size of the total thread budget; close to the load at which an engine does most work with the usual mixes.
inline constexpr double kThreadsPerCore = 2.0;
// Between two timer events; a tick.
inline constexpr Time kTimerInterval = 20ms;
// Final responses are sent this long before the client's deadline: two ticks, and a little more.
inline constexpr Time kDeadlineMargin = 45ms;
// A tenant may save up its share of this many seconds.
inline constexpr double kShareBurstSeconds = 2.0;
// Threads per core up to which a gateway may use more than its share of an engine, and up to which the fleet
// is not overloaded.
inline constexpr double kBorrowingLoadLimit = 1.5;
// Latency ratio above which the fleet is congested: it is past the load at which it does most work.
inline constexpr double kCongestedLatencyRatio = 1.5;
// An engine is slow if its latency ratio is this many times the fleet's; smaller differences occur by chance.
inline constexpr double kSlowEngineLatencyRatio = 2.0;
// Older load reports are ignored.
inline constexpr Time kMaxReportAge = 2500ms;
// Time constant in seconds with which the weight of a load report decays in favour of the fleet load.
inline constexpr double kReportDecaySeconds = 1.5;
// Engines compared for one query, however large the fleet is.
inline constexpr std::size_t kMaxCandidates = 12;
// Weight of one outcome in an engine's error rate.
inline constexpr double kErrorRateWeight = 0.25;

}  // namespace heronwell
