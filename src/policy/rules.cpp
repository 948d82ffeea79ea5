// The rules that protect clients and engines: each send must pass may_send(), each rejection may_reject().
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
  return engine.ready && !membership_expired() && request.open && may_add_attempt(request) &&
         now_ < request.deadline - kDeadlineMargin && request.attempts.size() < settings_.max_attempts &&
         placement_allowed(request, engine) && retry_allowed(request, engine) && is_next_for_key(request) &&
         (request.attempts.empty() || within_retry_budget()) && slow_start_allows(request, engine);
}

// At most two attempts without a cancellation; a cancelled one may still be in flight.
bool Gateway::Impl::may_add_attempt(const Request& request) const {
  return settings_.can_hedge ? request.attempts_awaiting_result() < 2 : !request.has_attempt_in_flight();
}

bool Gateway::Impl::placement_allowed(const Request& request, const Engine& engine) const {
  const auto allows = [](const std::optional<std::vector<std::uint16_t>>& allowed, std::uint16_t value) {
    return !allowed || std::find(allowed->begin(), allowed->end(), value) != allowed->end();
  };
  return allows(settings_of(request).allowed_zones, engine.entry.zone) &&
         allows(settings_of(request).allowed_kinds, engine.entry.kind);
}

// A retry of a keyed request must leave before the deduplication window ends, however long it takes to
// connect.
Time Gateway::Impl::retry_deadline(const Request& request) const {
  const auto first_run = std::ranges::find_if_not(request.attempts, &Attempt::known_not_run);
  const bool keyed_retry =
      settings_of(request).idempotency == Idempotency::keyed && first_run != request.attempts.end();
  return keyed_retry ? first_run->sent + settings_of(request).deduplication_window - kTimerInterval
                     : Time::zero();
}

// The connection may be established only after that.
Time Gateway::Impl::send_deadline(const Request& request) const {
  const Time retry_end = retry_deadline(request), lease_end = membership_lease_end();
  if (retry_end == Time::zero() || lease_end == Time::zero()) return std::max(retry_end, lease_end);
  return std::min(retry_end, lease_end);
}

bool Gateway::Impl::retry_allowed(const Request& request, const Engine& engine) const {
  const auto first_run = std::ranges::find_if_not(request.attempts, &Attempt::known_not_run);
  if (settings_of(request).idempotency == Idempotency::safe || first_run == request.attempts.end())
    return true;
  const auto scope = settings_of(request).deduplication_scope;
  return now_ < retry_deadline(request) &&
         (scope == DeduplicationScope::all ||
          (scope == DeduplicationScope::zone && first_run->zone == engine.entry.zone) ||
          (scope == DeduplicationScope::cell && first_run->cell == engine.entry.cell));
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
         std::floor(budget.free_retries +
                    budget.retries_per_request * static_cast<double>(recent_arrivals_.size()));
}

void Gateway::Impl::remove_expired() {
  const Time window = settings_.retry_budget ? settings_.retry_budget->window : Time::zero();
  while (!recent_arrivals_.empty() && recent_arrivals_.front() <= now_ - window) recent_arrivals_.pop_front();
  while (!recent_retries_.empty() && recent_retries_.front() < now_ - window) recent_retries_.pop_front();
  key_order_.remove_expired_pauses(now_);
}

}  // namespace heronwell
