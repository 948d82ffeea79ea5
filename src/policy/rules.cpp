// The rules of service: every send passes may_send(), every refusal may_refuse().
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {

bool Gateway::Impl::may_reject(const Request& request) const {
  if (request.arrival.class_index >= classes_.size() || settings_of(request).idempotency == Idempotency::safe)
    return true;
  if (settings_of(request).idempotency == Idempotency::keyed &&
      settings_of(request).deduplication_scope == DeduplicationScope::all)
    return true;
  return std::ranges::all_of(request.attempts, &Attempt::known_not_run);
}

bool Gateway::Impl::may_send(const Request& request, Engine& engine) {
  return engine.ready && request.open && may_add_attempt(request) &&
         now_ < request.deadline - kDeadlineMargin && request.attempts.size() < settings_.max_attempts &&
         placement_allowed(request, engine) && retry_allowed(request, engine) && is_next_for_key(request) &&
         (request.attempts.empty() || within_retry_budget()) && slow_start_allows(request, engine);
}

// Two are awaited at the most; one called off may still be out.
bool Gateway::Impl::may_add_attempt(const Request& request) const {
  return settings_.can_hedge ? request.attempts_awaiting_result() < 2 : !request.has_attempt_in_flight();
}

bool Gateway::Impl::placement_allowed(const Request& request, const Engine& engine) const {
  const auto among = [](const std::optional<std::vector<std::uint16_t>>& list, std::uint16_t value) {
    return !list || std::find(list->begin(), list->end(), value) != list->end();
  };
  return among(settings_of(request).allowed_zones, engine.entry.zone) &&
         among(settings_of(request).allowed_kinds, engine.entry.kind);
}

// Keyed: a repeat has to leave before this, however late its connection comes up.
Time Gateway::Impl::retry_deadline(const Request& request) const {
  const auto first = std::ranges::find_if_not(request.attempts, &Attempt::known_not_run);
  const bool keyed = settings_of(request).idempotency == Idempotency::keyed && first != request.attempts.end();
  return keyed ? first->sent + settings_of(request).deduplication_window - kTimerInterval : Time::zero();
}

bool Gateway::Impl::retry_allowed(const Request& request, const Engine& engine) const {
  const auto first = std::ranges::find_if_not(request.attempts, &Attempt::known_not_run);
  if (settings_of(request).idempotency == Idempotency::safe || first == request.attempts.end()) return true;
  const auto group = settings_of(request).deduplication_scope;
  return now_ < retry_deadline(request) &&
         (group == DeduplicationScope::all ||
          (group == DeduplicationScope::zone && first->zone == engine.entry.zone) ||
          (group == DeduplicationScope::cell && first->cell == engine.entry.cell));
}

bool Gateway::Impl::is_next_for_key(const Request& request) const {
  if (!is_ordered(request)) return true;
  const auto key = request.arrival.order_key;
  return key_order_.is_first(key, request.arrival.request) &&
         (!request.attempts.empty() || !key_order_.is_paused(key, now_));
}

bool Gateway::Impl::within_retry_budget() {
  if (!settings_.retry_budget) return true;
  const auto& budget = *settings_.retry_budget;
  remove_expired();
  return static_cast<double>(recent_retries_.size() + 1) <=
         std::floor(budget.free_retries + budget.retries_per_request * static_cast<double>(recent_arrivals_.size()));
}

void Gateway::Impl::remove_expired() {
  const Time back = settings_.retry_budget ? settings_.retry_budget->window : Time::zero();
  while (!recent_arrivals_.empty() && recent_arrivals_.front() <= now_ - back) recent_arrivals_.pop_front();
  while (!recent_retries_.empty() && recent_retries_.front() < now_ - back) recent_retries_.pop_front();
  key_order_.remove_expired_pauses(now_);
}

}  // namespace heronwell
