// Events in, actions out: the order in which the parts of the decision module do their work.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr Time kMinProcessPause = 200ms;    // without a call for so long, a gateway was itself away
constexpr double kInitialLatencyShare = 0.5;  // of aim x threads: a class's work before any answer
}  // namespace

Gateway::Impl::Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
  validate(settings_);
  classes_.resize(settings_.classes.size());
  for (std::size_t c = 0; c < classes_.size(); ++c) {
    priority_order_.push_back(static_cast<ClassIndex>(c));
    const auto& set = settings_.classes[c];
    classes_[c].recent_latency = classes_[c].baseline_latency = classes_[c].median_latency =
        to_seconds(set.latency_target) * kInitialLatencyShare;
    classes_[c].mean_work = to_seconds(set.latency_target) * kInitialLatencyShare * set.threads;
    classes_[c].controller_output = set.threads;
    max_query_threads_ = std::max(max_query_threads_, set.threads);
    mean_query_threads_ += set.threads / static_cast<double>(settings_.classes.size());
    loads_block_readers_ = loads_block_readers_ || set.waits_for_data_group;
  }
  std::stable_sort(priority_order_.begin(), priority_order_.end(), [this](ClassIndex a, ClassIndex b) {
    const auto &x = settings_.classes[a], &y = settings_.classes[b];
    return x.latency_target != y.latency_target ? x.latency_target < y.latency_target : x.value > y.value;
  });
  double quota = 0;
  for (const auto& tenant : settings_.tenants) quota += tenant.quota_per_second;
  arrival_rate_ = quota / settings_.gateways;
  tenant_tokens_.assign(settings_.tenants.size(), 0);
  for (std::size_t t = 0; t < tenant_tokens_.size(); ++t) tenant_tokens_[t] = tenant_share_rate(t) * kShareBurstSeconds;
}

void Gateway::Impl::handle(Time now, const std::vector<Event>& events, std::vector<Action>& out) {
  if (!started_) last_call_ = now;
  process_pause_ = now > last_call_ + kMinProcessPause ? now - last_call_ : Time::zero();
  last_call_ = now_ = now;
  actions_ = &out;
  if (!started_) start();
  // It had no turn for a while: no engine was silent meanwhile, and what it now hears is as old.
  for (const auto id : busy_engines_) {
    engines_.at(id).last_response += process_pause_;
    for (const auto& [request, n] : engines_.at(id).in_flight)
      requests_.at(request).attempts[n].last_report += process_pause_;
  }
  for (const auto& event : events) std::visit([this](const auto& e) { apply(e); }, event);
  if (fleet_changed_) update_fleet();
  assign_thread_budgets();
  while (release_next(true) || release_next(false)) continue;
}

ClassStats Gateway::Impl::class_stats(ClassIndex c) const {
  return {classes_.at(c).queue.size(), classes_.at(c).running_threads, classes_.at(c).thread_budget};
}

double Gateway::Impl::total_thread_budget() const { return total_thread_budget_; }

void Gateway::Impl::start() {
  started_ = true;
  last_sample_ = last_tick_ = last_peer_message_ = now_;
  if (settings_.membership_on_request) emit(WatchMembership{true});
  emit(SetTimer{kTimerInterval});
}

double Gateway::Impl::random_unit() { return std::generate_canonical<double, 32>(random_); }  // from 0 to 1

void Gateway::Impl::emit(Action action) { actions_->push_back(std::move(action)); }

void Gateway::Impl::trace_engine(const Engine& engine, const char* what) {
  emit(Trace{"engine " + std::to_string(engine.entry.engine) + " " + what});
}

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::handle(Time now, const std::vector<Event>& events, std::vector<Action>& out) {
  impl_->handle(now, events, out);
}
ClassStats Gateway::class_stats(ClassIndex cls) const { return impl_->class_stats(cls); }
double Gateway::total_thread_budget() const { return impl_->total_thread_budget(); }

}  // namespace heronwell
