// The rules of service: every send passes may_send(), every refusal may_refuse().
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {

bool Gateway::Impl::may_refuse(const Request& request) const {
  if (request.arrival.class_index >= classes_.size() || set(request).idempotency == Idempotency::safe)
    return true;
  if (set(request).idempotency == Idempotency::keyed &&
      set(request).deduplication_scope == DeduplicationScope::all)
    return true;
  return std::ranges::all_of(request.attempts, &Attempt::known_not_run);
}

bool Gateway::Impl::may_send(const Request& request, Engine& engine) {
  return engine.ready && request.open && may_stand_beside(request) &&
         now_ < request.deadline - kDeadlineMargin && request.attempts.size() < s_.max_attempts &&
         placed(request, engine) && repeat_allowed(request, engine) && in_turn(request) &&
         (request.attempts.empty() || within_retry_budget()) && cold_room(request, engine);
}

// Two are awaited at the most; one called off may still be out.
bool Gateway::Impl::may_stand_beside(const Request& request) const {
  return s_.can_hedge ? request.attempts_awaiting_result() < 2 : !request.has_attempt_in_flight();
}

bool Gateway::Impl::placed(const Request& request, const Engine& engine) const {
  const auto among = [](const std::optional<std::vector<std::uint16_t>>& list, std::uint16_t value) {
    return !list || std::find(list->begin(), list->end(), value) != list->end();
  };
  return among(set(request).allowed_zones, engine.entry.zone) &&
         among(set(request).allowed_kinds, engine.entry.kind);
}

// Keyed: a repeat has to leave before this, however late its connection comes up.
Time Gateway::Impl::repeat_until(const Request& request) const {
  const auto first = std::ranges::find_if_not(request.attempts, &Attempt::known_not_run);
  const bool keyed = set(request).idempotency == Idempotency::keyed && first != request.attempts.end();
  return keyed ? first->sent + set(request).deduplication_window - kTimerInterval : Time::zero();
}

bool Gateway::Impl::repeat_allowed(const Request& request, const Engine& engine) const {
  const auto first = std::ranges::find_if_not(request.attempts, &Attempt::known_not_run);
  if (set(request).idempotency == Idempotency::safe || first == request.attempts.end()) return true;
  const auto group = set(request).deduplication_scope;
  return now_ < repeat_until(request) &&
         (group == DeduplicationScope::all ||
          (group == DeduplicationScope::zone && first->zone == engine.entry.zone) ||
          (group == DeduplicationScope::cell && first->cell == engine.entry.cell));
}

bool Gateway::Impl::in_turn(const Request& request) const {
  if (!in_order(request)) return true;
  const auto key = request.arrival.order_key;
  return turns_.is_first(key, request.arrival.request) &&
         (!request.attempts.empty() || !turns_.is_paused(key, now_));
}

bool Gateway::Impl::within_retry_budget() {
  if (!s_.retry_budget) return true;
  const auto& budget = *s_.retry_budget;
  forget_old();
  return static_cast<double>(further_.size() + 1) <=
         std::floor(budget.free_retries + budget.retries_per_request * static_cast<double>(taken_.size()));
}

void Gateway::Impl::forget_old() {
  const Time back = s_.retry_budget ? s_.retry_budget->window : Time::zero();
  while (!taken_.empty() && taken_.front() <= now_ - back) taken_.pop_front();
  while (!further_.empty() && further_.front() < now_ - back) further_.pop_front();
  turns_.remove_expired_pauses(now_);
}

}  // namespace heronwell
