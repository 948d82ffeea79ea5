// The events that the core's reducer receives and the effects that it returns. Both are plain values: they
// carry no sockets, JSON, HTTP or SQL.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "heronwell/gateway.hpp"

namespace bellstair::core {

using heronwell::AttemptIndex;
using heronwell::ClassIndex;
using heronwell::EngineId;
using heronwell::RequestId;
// A point in time on the monotonic clock (see clock.hpp) or a duration, in nanoseconds.
using Time = std::chrono::nanoseconds;
// Identifies one request of one client. Assigned by a front, unique over all fronts.
using ClientHandle = std::uint64_t;

// Identifies one attempt of a request.
struct AttemptId {
  RequestId request = 0;
  AttemptIndex index = 0;  // attempts of a request are numbered from 0
  auto operator<=>(const AttemptId&) const = default;
};

// A request as decoded by a front. The core does not interpret `body` and `parameters`.
struct ClientRequest {
  ClientHandle client = 0;
  ClassIndex class_index = 0;
  std::uint32_t tenant = 0;            // index of the tenant in the settings
  std::uint64_t order_key = 0;         // for classes that are ordered by key; 0: none
  Time timeout{};                      // how long the client waits, from when the request was received
  std::optional<Time> estimated_work;  // estimated work, summed over all threads
  double estimated_memory_mb = 0;      // 0: no estimate
  std::int64_t data_group = 0;         // 0: none
  bool is_retry = false;               // the client marks it as a resend of an earlier request
  std::string ticket;                  // the client's identifier of the request; empty: none
  std::string idempotency_key;         // empty: none
  std::string body;
  std::string parameters;                     // encoded parameter values; empty: none
  std::optional<Time> admission_retry_after;  // set if admission rejected it: how long the client should wait
};

// An engine in the membership.
struct Member {
  heronwell::EngineEntry entry;  // entry.last_start is Unix time here; 0: unknown
  std::string address;           // host and port
};

// How an attempt ended.
enum class AttemptOutcome {
  served,            // the engine returned the complete result
  error,             // the engine reported an error; the query may have run
  rejected,          // the engine did not accept the query; it did not run
  expired,           // cancelled or timed out before it was sent or executed; it did not run
  connect_failed,    // no connection was made; the query did not run
  connection_reset,  // the connection broke; the query may have run
  query_dropped,  // the connection broke, and the engine has since reported that it no longer has the query
  cancelled       // cancelled; the engine was notified if it could be reached
};

// ---- events

// All fronts accept connections.
struct Listening {};

// A change of the set of engines, or the whole set.
struct MembershipChange {
  bool full = false;            // `members` is the whole set: engines that are not in it are removed
  std::vector<Member> members;  // the engines that were added or changed, or the whole set
  bool live = false;            // read from the change log, not from the configuration's initial membership
};

// The change log has responded; the membership changes in its response have been reported.
struct MembershipConfirmed {
  Time at{};  // when the response was received
};

// No further membership change is expected for now.
struct DiscoveryIdle {
  bool caught_up = false;  // true: the change log has reported no newer event; false: it can't be read
};

// A client has sent a request.
struct RequestArrived {
  ClientRequest request;
  Time received_at{};  // earliest time at which its last byte can have arrived; 0: now
};

// The client has cancelled the request or has disconnected. It gets no answer.
struct RequestCancelled {
  ClientHandle client = 0;
};

// The client has closed its sending side: it may have gone, or may still read its answers.
struct ClientHalfClosed {
  ClientHandle client = 0;
};

// A connection is available for the attempt. Nothing has been written yet.
struct AttemptReady {
  AttemptId id;
};

// The engine has reported that it is still working on the attempt.
struct AttemptProgressed {
  AttemptId id;
};

// The attempt has ended. Further reports on it are ignored.
struct AttemptEnded {
  AttemptId id;
  AttemptOutcome outcome = AttemptOutcome::error;
  std::string body;           // served: the whole result; otherwise the engine's error text, if any
  std::string result_schema;  // encoded columns of the result, where the engine reports them; not interpreted
  std::optional<Time> work;   // summed over all threads, if reported
  double memory_needed_mb = 0;  // memory that the query needs; 0: not reported
  std::vector<double> load;     // one value for each of Settings::load_fields; empty: not reported
};

// A health probe has ended.
struct ProbeEnded {
  EngineId engine = 0;
  heronwell::AttemptStatus status = heronwell::AttemptStatus::served;
  std::vector<double> load;  // one value for each of Settings::load_fields; empty: not reported
};

// Another gateway has sent a message.
struct PeerMessageReceived {
  std::uint32_t from = 0;  // index of the gateway
  std::string bytes;
};

// SIGTERM or SIGINT was received.
struct ShutdownRequested {};

// SIGHUP was received.
struct ReloadRequested {};

// The result of a ReadConfiguration effect.
struct ConfigurationRead {
  std::string error;      // why it can't be used (the old one then stays in use); empty: none
  std::string changelog;  // address of the change log
  std::vector<std::string> restart_required;  // changed fields that only take effect after a restart
};

// Reported every Reducer::kTick, and when the policy is due (Reducer::next_policy_run()).
struct Tick {
  bool output_pending = false;  // a front or engine driver has not yet written all of its output
  bool input_pending = false;   // part of a request has been received, and the rest may follow
};

using Event = std::variant<Listening, MembershipChange, MembershipConfirmed, DiscoveryIdle, RequestArrived,
                           RequestCancelled, ClientHalfClosed, AttemptReady, AttemptProgressed, AttemptEnded,
                           ProbeEnded, PeerMessageReceived, ShutdownRequested, ReloadRequested,
                           ConfigurationRead, Tick>;

// ---- effects

enum class AnswerKind {
  served,
  rejected,  // a resend by the client does no harm
  failed,    // the query may have run
  timed_out  // the deadline has passed or is about to pass; the query may have run
};

// The only answer that the client gets to a request.
struct Answer {
  ClientHandle client = 0;
  AnswerKind kind = AnswerKind::failed;
  Time retry_after{};         // rejected: how long the client should wait before it resends
  std::string body;           // served: the result; otherwise the last error text from an engine, if any
  std::string result_schema;  // served: as in AttemptEnded
};

// Obtain a connection to the engine, then report AttemptReady.
struct StartAttempt {
  AttemptId id;
  EngineId engine = 0;
};

// Send the query on the attempt's connection.
struct Transmit {
  AttemptId id;
  ClassIndex class_index = 0;
  Time timeout{};             // how long the engine may take
  double memory_mb = 0;       // memory limit for the query; 0: the engine's default
  std::uint8_t priority = 1;  // as in heronwell::ExecutionLimits
  std::string ticket, idempotency_key, body, parameters;  // as in ClientRequest
};

// Cancel the attempt. An AttemptEnded still follows.
struct CancelAttempt {
  AttemptId id;
};

// Change the priority of an attempt that is in flight.
struct SetPriority {
  AttemptId id;
  std::uint8_t priority = 1;
};

// Send a health probe, then report ProbeEnded.
struct ProbeEngine {
  EngineId engine = 0;
};

// Send a message to one gateway or all of them.
struct SendToPeers {
  std::optional<std::uint32_t> to;  // index of the gateway; none: all others
  std::string bytes;
};

// An engine was added or removed, or its address or state has changed.
struct EngineUpdated {
  EngineId engine = 0;
  std::string address;
  bool usable = true;     // its connections may be kept
  bool accepting = true;  // it accepts new queries
};

// Write a line to the log.
struct Log {
  std::string text;
};

// Read and check the configuration file again, then report ConfigurationRead.
struct ReadConfiguration {};

// Read the change log at this address from now on, after the last event that was read.
struct WatchChangeLog {
  std::string address;
};

// Leave the event loop.
struct Exit {};

using Effect = std::variant<Answer, StartAttempt, Transmit, CancelAttempt, SetPriority, ProbeEngine,
                            SendToPeers, EngineUpdated, Log, ReadConfiguration, WatchChangeLog, Exit>;
using Effects = std::vector<Effect>;

}  // namespace bellstair::core
