// Entry points of the decision module: set-up from the settings, and the order in which a call does its work.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
// After this long without a call, this process itself was paused.
constexpr Time kMinProcessPause = 200ms;
// The latency assumed for a class before its first response, as a share of its latency target. The work
// assumed for its queries is this latency times their threads.
constexpr double kInitialLatencyShare = 0.5;
}  // namespace

Gateway::Impl::Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
  validate(settings_);
  classes_.resize(settings_.classes.size());
  for (std::size_t class_index = 0; class_index < classes_.size(); ++class_index) {
    priority_order_.push_back(static_cast<ClassIndex>(class_index));
    const auto& class_settings = settings_.classes[class_index];
    classes_[class_index].recent_latency = classes_[class_index].baseline_latency =
        classes_[class_index].median_latency =
            to_seconds(class_settings.latency_target) * kInitialLatencyShare;
    classes_[class_index].mean_work =
        to_seconds(class_settings.latency_target) * kInitialLatencyShare * class_settings.threads;
    classes_[class_index].controller_output = class_settings.threads;
    max_query_threads_ = std::max(max_query_threads_, class_settings.threads);
    mean_query_threads_ += class_settings.threads / static_cast<double>(settings_.classes.size());
    loads_block_readers_ = loads_block_readers_ || class_settings.waits_for_data_group;
  }
  std::stable_sort(priority_order_.begin(), priority_order_.end(), [this](ClassIndex a, ClassIndex b) {
    const auto &first = settings_.classes[a], &second = settings_.classes[b];
    return first.latency_target != second.latency_target ? first.latency_target < second.latency_target
                                                         : first.value > second.value;
  });
  double quota = 0;
  for (const auto& tenant : settings_.tenants) quota += tenant.quota_per_second;
  arrival_rate_ = quota / settings_.gateways;
  tenant_tokens_.assign(settings_.tenants.size(), 0);
  for (std::size_t tenant_index = 0; tenant_index < tenant_tokens_.size(); ++tenant_index)
    tenant_tokens_[tenant_index] = tenant_share_rate(tenant_index) * kShareBurstSeconds;
}

void Gateway::Impl::handle(Time now, const std::vector<Event>& events, std::vector<Action>& out) {
  if (!started_) last_call_ = now;
  process_pause_ = now > last_call_ + kMinProcessPause ? now - last_call_ : Time::zero();
  last_call_ = now_ = now;
  actions_ = &out;
  if (!started_) start();
  // During a pause of this process no engine was silent: the events that it reads now may be as old as the
  // pause. So the times of the last signs of life move forward by the pause.
  for (const auto engine_id : busy_engines_) {
    engines_.at(engine_id).last_response += process_pause_;
    for (const auto& [request_id, attempt_index] : engines_.at(engine_id).in_flight)
      requests_.at(request_id).attempts[attempt_index].last_report += process_pause_;
  }
  for (const auto& event : events) std::visit([this](const auto& e) { apply(e); }, event);
  trace_membership_lease();
  if (fleet_changed_) update_fleet();
  assign_thread_budgets();
  while (release_next(true) || release_next(false)) continue;
}

ClassStats Gateway::Impl::class_stats(ClassIndex class_index) const {
  return {classes_.at(class_index).queue.size(), classes_.at(class_index).running_threads,
          classes_.at(class_index).thread_budget};
}

double Gateway::Impl::total_thread_budget() const { return total_thread_budget_; }

void Gateway::Impl::start() {
  started_ = true;
  last_control_step_ = last_tick_ = last_peer_message_ = membership_confirmed_at_ = now_;
  if (settings_.membership_on_request) emit(WatchMembership{true});
  emit(SetTimer{kTimerInterval});
}

double Gateway::Impl::random_unit() { return std::generate_canonical<double, 32>(random_); }

void Gateway::Impl::emit(Action action) { actions_->push_back(std::move(action)); }

void Gateway::Impl::trace_engine(const Engine& engine, const char* event) {
  emit(Trace{"engine " + std::to_string(engine.entry.engine) + " " + event});
}

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::handle(Time now, const std::vector<Event>& events, std::vector<Action>& out) {
  impl_->handle(now, events, out);
}
ClassStats Gateway::class_stats(ClassIndex class_index) const { return impl_->class_stats(class_index); }
double Gateway::total_thread_budget() const { return impl_->total_thread_budget(); }

}  // namespace heronwell
