// The life of a request, up to its final answer.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {

void Gateway::Impl::on(const RequestCancelled& left) {
  auto* request = find(left.request);
  if (request == nullptr || !request->open) return;
  // Withdrawn before it was sent anywhere, it has used nothing of its tenant's share.
  const auto tenant = request->arrival.tenant;
  if (request->attempts.empty() && tenant < tokens_.size()) tokens_[tenant] += 1;
  close(*request);
}

Request* Gateway::Impl::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void Gateway::Impl::finish(Request& request, const char* why) {
  if (!request.open) return;
  ++given_up_[why];
  const auto id = request.arrival.request;
  const Time pause = s_.sends_retry_after ? s_.max_retry_after : Time::zero();
  may_refuse(request) ? put(Reject{id, pause, why}) : put(Fail{id, why});
  close(request);
}

void Gateway::Impl::close(Request& request) {
  request.open = false;
  const auto id = request.arrival.request;
  if (request.in_queue) std::erase(classes_[request.arrival.class_index].queue, id);
  request.in_queue = false;
  deadlines_.erase({request.deadline - kDeadlineMargin, id});
  for (std::size_t n = 0; n < request.attempts.size(); ++n) call_off(request, n);
  if (!request.has_attempt_in_flight()) forget(request);
}

void Gateway::Impl::forget(Request& request) {
  const auto id = request.arrival.request;
  if (in_order(request)) turns_.remove(request.arrival.order_key, id);
  requests_.erase(id);
}

void Gateway::Impl::call_off(Request& request, std::size_t n) {
  if (!s_.can_cancel || !request.attempts[n].awaiting_result()) return;
  request.attempts[n].cancel_requested = true;
  put(CancelAttempt{request.arrival.request, static_cast<AttemptIndex>(n)});
}

const ClassSettings& Gateway::Impl::set(const Request& request) const {
  return s_.classes[request.arrival.class_index];
}

bool Gateway::Impl::in_order(const Request& request) const {
  return request.arrival.order_key != 0 && request.arrival.class_index < classes_.size() &&
         set(request).ordered_by_key;
}

}  // namespace heronwell
