// The life of a request, up to its final response.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {

void Gateway::Impl::apply(const RequestCancelled& cancelled) {
  auto* request = find_request(cancelled.request);
  if (request == nullptr || !request->open) return;
  // A request that is cancelled before it was sent to an engine does not count against its tenant's share.
  const auto tenant = request->arrival.tenant;
  if (request->attempts.empty() && tenant < tenant_tokens_.size()) tenant_tokens_[tenant] += 1;
  close(*request);
}

Request* Gateway::Impl::find_request(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void Gateway::Impl::reject_or_fail(Request& request, const char* reason) {
  if (!request.open) return;
  ++rejections_by_reason_[reason];
  const auto id = request.arrival.request;
  const Time retry_after = settings_.sends_retry_after ? settings_.max_retry_after : Time::zero();
  may_reject(request) ? emit(Reject{id, retry_after, reason}) : emit(Fail{id, reason});
  close(request);
}

void Gateway::Impl::close(Request& request) {
  request.open = false;
  const auto id = request.arrival.request;
  if (request.in_queue) std::erase(classes_[request.arrival.class_index].queue, id);
  request.in_queue = false;
  deadlines_.erase({request.deadline - kDeadlineMargin, id});
  for (std::size_t n = 0; n < request.attempts.size(); ++n) cancel_attempt(request, n);
  if (!request.has_attempt_in_flight()) erase_request(request);
}

void Gateway::Impl::erase_request(Request& request) {
  const auto id = request.arrival.request;
  if (is_ordered(request)) key_order_.remove(request.arrival.order_key, id);
  requests_.erase(id);
}

void Gateway::Impl::cancel_attempt(Request& request, std::size_t index) {
  if (!settings_.can_cancel || !request.attempts[index].awaiting_result()) return;
  request.attempts[index].cancel_requested = true;
  emit(CancelAttempt{request.arrival.request, static_cast<AttemptIndex>(index)});
}

const ClassSettings& Gateway::Impl::settings_of(const Request& request) const {
  return settings_.classes[request.arrival.class_index];
}

bool Gateway::Impl::is_ordered(const Request& request) const {
  return request.arrival.order_key != 0 && request.arrival.class_index < classes_.size() &&
         settings_of(request).ordered_by_key;
}

}  // namespace heronwell
