// Events in, actions out: the order in which the parts of the decision module do their work.
#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

#include "policy/gateway_impl.hpp"

namespace heronwell {
namespace {
constexpr Time kAbsence = 200ms;    // without a call for so long, a gateway was itself away
constexpr double kFirstWork = 0.5;  // of aim x threads: a class's work before any answer
}  // namespace

Gateway::Impl::Impl(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {
  validate(s_);
  classes_.resize(s_.classes.size());
  for (std::size_t c = 0; c < classes_.size(); ++c) {
    rank_.push_back(static_cast<ClassIndex>(c));
    const auto& set = s_.classes[c];
    classes_[c].recent_latency = classes_[c].baseline_latency = classes_[c].median_latency =
        to_seconds(set.latency_target) * kFirstWork;
    classes_[c].mean_work = to_seconds(set.latency_target) * kFirstWork * set.threads;
    classes_[c].controller_output = set.threads;
    widest_ = std::max(widest_, set.threads);
    mean_threads_ += set.threads / static_cast<double>(s_.classes.size());
    readers_wait_ = readers_wait_ || set.waits_for_data_group;
  }
  std::stable_sort(rank_.begin(), rank_.end(), [this](ClassIndex a, ClassIndex b) {
    const auto &x = s_.classes[a], &y = s_.classes[b];
    return x.latency_target != y.latency_target ? x.latency_target < y.latency_target : x.value > y.value;
  });
  double quota = 0;
  for (const auto& tenant : s_.tenants) quota += tenant.quota_per_second;
  arrival_rate_ = quota / s_.gateways;
  tokens_.assign(s_.tenants.size(), 0);
  for (std::size_t t = 0; t < tokens_.size(); ++t) tokens_[t] = share_rate(t) * kShareBurstSeconds;
}

void Gateway::Impl::handle(Time now, const std::vector<Event>& events, std::vector<Action>& out) {
  if (!started_) called_ = now;
  away_ = now > called_ + kAbsence ? now - called_ : Time::zero();
  called_ = now_ = now;
  out_ = &out;
  if (!started_) start();
  // It had no turn for a while: no engine was silent meanwhile, and what it now hears is as old.
  for (const auto id : busy_) {
    engines_.at(id).last_response += away_;
    for (const auto& [request, n] : engines_.at(id).in_flight)
      requests_.at(request).attempts[n].last_report += away_;
  }
  for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
  if (fleet_changed_) refresh();
  fill_budgets();
  while (release_one(true) || release_one(false)) continue;
}

ClassStats Gateway::Impl::class_stats(ClassIndex c) const {
  return {classes_.at(c).queue.size(), classes_.at(c).running_threads, classes_.at(c).thread_budget};
}

double Gateway::Impl::total_thread_budget() const { return pool_; }

void Gateway::Impl::start() {
  started_ = true;
  sampled_ = ticked_ = told_ = now_;
  if (s_.membership_on_request) put(WatchMembership{true});
  put(SetTimer{kTimerInterval});
}

double Gateway::Impl::drawn() { return std::generate_canonical<double, 32>(random_); }  // from 0 to 1

void Gateway::Impl::put(Action action) { out_->push_back(std::move(action)); }

void Gateway::Impl::trace(const Engine& engine, const char* what) {
  put(Trace{"engine " + std::to_string(engine.entry.engine) + " " + what});
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
