// Constants that several parts of the decision module go by.
#pragma once

#include "heronwell/gateway.hpp"

namespace heronwell {

using namespace std::chrono_literals;

inline constexpr double kThreadsPerCore =
    2.0;  // of the pool; near the peak of an engine's work for usual mixes
inline constexpr Time kTimerInterval = 20ms;  // between looks at clocks
inline constexpr Time kDeadlineMargin =
    45ms;  // final answers go out this long before the deadline: two ticks
inline constexpr double kShareBurstSeconds = 2.0;  // seconds of its share a tenant may save up
inline constexpr double kBorrowingLoadLimit =
    1.5;  // threads a core, all gateways: passing the pool stops here
inline constexpr double kCongestedLatencyRatio = 1.5;   // pace that tells the fleet is past its peak
inline constexpr double kSlowEngineLatencyRatio = 2.0;  // times slower than the fleet: what is less is chance
inline constexpr Time kMaxReportAge = 2500ms;           // older load reports tell nothing
inline constexpr double kReportDecaySeconds = 1.5;  // s in which a report loses weight to the fleet's level
inline constexpr std::size_t kMaxCandidates = 12;   // engines compared for one query, however many there are
inline constexpr double kErrorRateWeight = 0.25;    // weight of one outcome in an engine's error share

}  // namespace heronwell
