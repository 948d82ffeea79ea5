// What happens to the core, and what it asks for. Plain values: no sockets, no JSON, no HTTP, no SQL.
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
using Time = std::chrono::nanoseconds;
using ClientHandle = std::uint64_t;  // a front's handle for one request of one client

struct AttemptId {
  RequestId request = 0;
  AttemptIndex index = 0;
  auto operator<=>(const AttemptId&) const = default;
};

// A request as a front has understood it. Bodies are opaque here.
struct ClientRequest {
  ClientHandle client = 0;
  ClassIndex class_index = 0;
  std::uint32_t tenant = 0;
  std::uint64_t order_key = 0;  // 0: none
  Time timeout{};               // the client waits for so long
  std::optional<Time> estimated_work;
  double estimated_memory_mb = 0;
  std::int64_t data_group = 0;
  bool is_retry = false;
  std::string ticket;           // the client's id of the request
  std::string idempotency_key;  // its idempotency key, or none
  std::string body;
  std::string parameters;
  std::optional<Time> admission_retry_after;  // refused at admission: how long to stay away
};

struct Member {
  heronwell::EngineEntry entry;
  std::string address;
};

enum class AttemptOutcome {
  served,
  error,             // it may have run
  rejected,          // it never ran
  expired,           // it never ran: over before it began
  connect_failed,    // it never ran
  connection_reset,  // the connection broke: it may have run
  query_dropped,     // so it did, but its engine was heard since, and has the query no more
  cancelled          // given up, and the engine has been told as far as it could be
};

// ---- events

struct Listening {};  // the fronts accept connections
struct MembershipChange {
  bool full = false;
  std::vector<Member> members;
  bool live = false;  // from the change log itself, not from what was known at the start
};
struct DiscoveryIdle {     // no news of the list is to be waited for
  bool caught_up = false;  // the change log has said that it has nothing newer; else it cannot be asked
};
struct RequestArrived {
  ClientRequest request;
  Time received_at{};  // its last byte came no earlier; zero: just now
};
struct RequestCancelled {  // the client has stopped waiting
  ClientHandle client = 0;
};
struct ClientHalfClosed {  // the client writes no more: it may be gone, or wait for what it has asked for
  ClientHandle client = 0;
};
struct AttemptReady {  // a connection is free for it; nothing has been written
  AttemptId id;
};
struct AttemptProgressed {  // its engine says that it goes on
  AttemptId id;
};
struct AttemptEnded {
  AttemptId id;
  AttemptOutcome outcome = AttemptOutcome::error;
  std::string body;           // the whole answer, if served; else what the engine said, if anything
  std::string result_schema;  // beside the body, where an engine tells one; opaque too
  std::optional<Time> work;
  double memory_needed_mb = 0;
  std::vector<double> load;
};
struct ProbeEnded {
  EngineId engine = 0;
  heronwell::AttemptStatus status = heronwell::AttemptStatus::served;
  std::vector<double> load;
};
struct PeerMessageReceived {
  std::uint32_t from = 0;
  std::string bytes;
};
struct ShutdownRequested {};
struct ReloadRequested {};
struct ConfigurationRead {  // again, because it was asked for
  std::string error;        // why it can't be used; the old one stays then
  std::string changelog;
  std::vector<std::string> restart_required;  // fields that have changed and need a restart
};
struct Tick {
  bool output_pending = false;  // a front or engine driver still has something to write
};

using Event = std::variant<Listening, MembershipChange, DiscoveryIdle, RequestArrived, RequestCancelled,
                           ClientHalfClosed, AttemptReady, AttemptProgressed, AttemptEnded, ProbeEnded,
                           PeerMessageReceived, ShutdownRequested, ReloadRequested, ConfigurationRead, Tick>;

// ---- effects

enum class AnswerKind { served, rejected, failed, timed_out };
struct Answer {  // the one final answer
  ClientHandle client = 0;
  AnswerKind kind = AnswerKind::failed;
  Time retry_after{};         // refused: how long to stay away
  std::string body;           // served: the answer; else what an engine said last, if anything
  std::string result_schema;  // served: as the engine told it
};
struct StartAttempt {  // find a connection, then report AttemptReady
  AttemptId id;
  EngineId engine = 0;
};
struct Transmit {  // the first byte may leave now
  AttemptId id;
  ClassIndex class_index = 0;
  Time timeout{};
  double memory_mb = 0;
  std::uint8_t priority = 1;
  std::string ticket, idempotency_key, body, parameters;
};
struct CancelAttempt {  // ends with an AttemptEnded all the same
  AttemptId id;
};
struct SetPriority {
  AttemptId id;
  std::uint8_t priority = 1;
};
struct ProbeEngine {
  EngineId engine = 0;
};
struct SendToPeers {
  std::optional<std::uint32_t> to;
  std::string bytes;
};
struct EngineUpdated {  // new, at another address, or no longer to be used
  EngineId engine = 0;
  std::string address;
  bool usable = true;     // its connections are of use
  bool accepting = true;  // it takes new work
};
struct Log {
  std::string text;
};
struct ReadConfiguration {};  // whole, then report ConfigurationRead
struct WatchChangeLog {       // there from now on; the number of the last event carries on
  std::string address;
};
struct Exit {};

using Effect = std::variant<Answer, StartAttempt, Transmit, CancelAttempt, SetPriority, ProbeEngine,
                            SendToPeers, EngineUpdated, Log, ReadConfiguration, WatchChangeLog, Exit>;
using Effects = std::vector<Effect>;

}  // namespace bellstair::core
