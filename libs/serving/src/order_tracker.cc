#include "figwell/serving/order_tracker.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

// A report may be several hundred milliseconds old when it arrives.
constexpr Duration kReportMaxAge = milliseconds(500);
constexpr Duration kReportRetryInterval = milliseconds(400);
// How often a report is requested once a load should have ended.
constexpr Duration kLoadPollInterval = milliseconds(400);
// The fraction of the weight store's rate that is used, and the loads that may
// start in a burst. The store's limit applies to sliding windows.
constexpr double kUsedRateFraction = 0.95;
constexpr double kMaxBurstLoads = 3.0;

// Models and adapters that the server holds.
std::int64_t HeldCount(const HeldModels& models) {
  std::int64_t count = 0;
  for (const auto& [model, adapters] : models) {
    count += 1 + std::ssize(adapters);
  }
  return count;
}

}  // namespace

std::string_view Name(OrderAction action) {
  return action == OrderAction::kLoad ? "load" : "unload";
}

std::string_view Name(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      return "accepted";
    case OrderOutcome::kAlreadyHolds:
      return "already_holds";
    case OrderOutcome::kConflict:
      return "conflict";
    case OrderOutcome::kRejected:
      return "rejected";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

void OrderTracker::Clear() {
  states_.clear();
  late_store_loads_ = 0;
}

void OrderTracker::RemoveServer(const ServerId& server) {
  states_.erase(server);
  MarkEarlierStart(server);
}

void OrderTracker::MarkEarlierStart(const ServerId& server) {
  const auto found = unanswered_.find(server);
  if (found != unanswered_.end()) {
    for (UnansweredOrder& order : found->second) {
      order.to_earlier_start = true;
    }
  }
}

void OrderTracker::ExpectLateLoad(TimePoint now, const ServerId& server) {
  DropSuspectedLoads(server);
  AddUnknownLoad(now, server, now, /*suspected=*/false);
}

void OrderTracker::SuspectLateLoad(TimePoint now, const ServerId& server,
                                   TimePoint sent_at) {
  if (now < sent_at + kMaxOrderDelay) {
    AddUnknownLoad(now, server, sent_at, /*suspected=*/true);
  }
}

void OrderTracker::AddUnknownLoad(TimePoint now, const ServerId& server,
                                  TimePoint sent_at, bool suspected) {
  DropExpiredOrders(now);
  const Order unknown{
      server, OrderAction::kLoad, {}, std::numeric_limits<std::int64_t>::max()};
  unanswered_[server].push_back({unknown, sent_at, /*to_earlier_start=*/true,
                                 suspected, /*from_weight_store=*/true});
}

void OrderTracker::DropSuspectedLoads(const ServerId& server) {
  if (const auto found = unanswered_.find(server); found != unanswered_.end()) {
    std::erase_if(found->second, IsSuspected);
  }
}

void OrderTracker::ForgetSuspectedLoads() {
  for (auto& [server, orders] : unanswered_) {
    std::erase_if(orders, IsSuspected);
  }
}

int OrderTracker::ServersWithLateLoads(TimePoint now) const {
  return static_cast<int>(std::count_if(
      unanswered_.begin(), unanswered_.end(),
      [&](const auto& item) { return !LateLoads(now, item.first).empty(); }));
}

std::vector<ModelTarget> OrderTracker::LateLoads(TimePoint now,
                                                 const ServerId& server) const {
  std::vector<ModelTarget> loads;
  const auto found = unanswered_.find(server);
  if (found == unanswered_.end()) {
    return loads;
  }
  const EngineView* view = Find(server);
  const std::int64_t accepted = view == nullptr ? 0 : view->accepted;
  for (const UnansweredOrder& unanswered : found->second) {
    const Order& order = unanswered.order;
    if (unanswered.to_earlier_start &&
        MayBeExecuted(now, unanswered, accepted) &&
        order.action == OrderAction::kLoad) {
      loads.push_back(order.target);
    }
  }
  return loads;
}

bool OrderTracker::MayBeExecuted(TimePoint now,
                                 const UnansweredOrder& unanswered,
                                 std::int64_t accepted) {
  return now < unanswered.sent_at + kMaxOrderDelay &&
         accepted <= unanswered.order.expected;
}

bool OrderTracker::HasLateStoreLoad(TimePoint now,
                                    const ServerId& server) const {
  const auto found = unanswered_.find(server);
  if (found == unanswered_.end()) {
    return false;
  }
  std::int64_t accepted = 0;
  // An order is not late while its answer may still come.
  std::optional<Order> awaited;
  if (const auto known = states_.find(server); known != states_.end()) {
    accepted = known->second.view.accepted;
    awaited = known->second.sent_order;
  }
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](const UnansweredOrder& unanswered) {
                       return unanswered.from_weight_store &&
                              unanswered.order != awaited &&
                              MayBeExecuted(now, unanswered, accepted);
                     });
}

int OrderTracker::ServersWithLateStoreLoads(TimePoint now) const {
  return static_cast<int>(std::count_if(
      unanswered_.begin(), unanswered_.end(),
      [&](const auto& item) { return HasLateStoreLoad(now, item.first); }));
}

void OrderTracker::RemoveAnswered(const Order& order) {
  const auto found = unanswered_.find(order.server);
  if (found == unanswered_.end()) {
    return;
  }
  // An equal order may have been sent before, which is still unanswered.
  std::vector<UnansweredOrder>& orders = found->second;
  const auto last = std::find_if(
      orders.rbegin(), orders.rend(),
      [&](const UnansweredOrder& other) { return other.order == order; });
  if (last != orders.rend()) {
    orders.erase(std::prev(last.base()));
  }
}

void OrderTracker::DropExpiredOrders(TimePoint now) {
  for (auto& [server, orders] : unanswered_) {
    std::erase_if(orders, [&](const UnansweredOrder& order) {
      return now >= order.sent_at + kMaxOrderDelay;
    });
  }
  std::erase_if(unanswered_,
                [](const auto& item) { return item.second.empty(); });
}

bool OrderTracker::NeedsReport(TimePoint now, const ServerId& server) const {
  const auto found = states_.find(server);
  if (found == states_.end()) {
    return true;
  }
  const State& state = found->second;
  if (state.report_requested || state.sent_order ||
      now < state.next_request_at) {
    return false;
  }
  return !state.has_current_report || state.is_suspect ||
         (state.view.loading && now >= state.view.expected_end);
}

void OrderTracker::OnReportRequested(TimePoint, const ServerId& server) {
  states_[server].report_requested = true;
}

std::optional<ModelTarget> OrderTracker::OnReport(TimePoint now,
                                                  const ServerId& server,
                                                  const EngineReport& report) {
  State& state = states_[server];
  state.report_requested = false;
  state.next_request_at = now + kLoadPollInterval;
  if (state.sent_order) {
    return std::nullopt;
  }
  const bool restarted = report.accepted < state.view.accepted;
  if (state.has_current_report && restarted &&
      now < state.order_changed_at + kReportMaxAge) {
    return std::nullopt;  // made before the last order
  }
  if (!state.has_current_report &&
      now < state.order_changed_at + kReportMaxAge) {
    // May have been made before an unconfirmed order took effect.
    return std::nullopt;
  }
  if (restarted) {
    MarkEarlierStart(server);
  }
  if (HeldCount(report.models) > report.accepted) {
    DropSuspectedLoads(server);
  }
  const bool expected_late_load = HasLateStoreLoad(now, server);
  const std::optional<ModelId> was_loading = state.view.loading;
  const auto unconfirmed_order =
      std::exchange(state.unconfirmed_order, std::nullopt);
  state.has_current_report = true;
  state.is_suspect = false;
  state.reported_at = now;
  state.view.accepted = report.accepted;
  if (expected_late_load && !HasLateStoreLoad(now, server)) {
    ++late_store_loads_;
  }
  state.view.models = report.models;
  for (const ModelTarget& target : report.pending) {
    state.view.models[target.model].insert(target.adapter);
  }
  state.view.local_weights = report.local_weights;
  if (report.busy) {
    if (!state.view.loading) {
      const bool of_model =
          unconfirmed_order && unconfirmed_order->target.adapter.empty();
      state.view.loading =
          of_model ? unconfirmed_order->target.model : ModelId();
      state.view.unloading =
          of_model && unconfirmed_order->action == OrderAction::kUnload;
    }
    if (state.view.unloading) {
      // The server lists the model until its last run has ended, but the
      // model takes no new requests.
      state.view.models.erase(*state.view.loading);
    }
    state.view.expected_end = now;
    return std::nullopt;
  }
  state.view.loading.reset();
  state.view.unloading = false;
  if (was_loading && report.models.contains(*was_loading)) {
    return ModelTarget{*was_loading, {}};
  }
  if (unconfirmed_order && unconfirmed_order->action == OrderAction::kUnload &&
      Holds(state.view.models, unconfirmed_order->target)) {
    return unconfirmed_order->target;
  }
  return std::nullopt;
}

void OrderTracker::Reconcile(TimePoint now, const ServerId& server,
                             const HeldModels& registered, Duration lag) {
  const auto found = states_.find(server);
  if (found == states_.end()) {
    return;
  }
  State& state = found->second;
  if (state.has_current_report && !state.sent_order && !state.view.loading &&
      now >= std::max(state.order_changed_at, state.reported_at) + lag &&
      state.view.models != registered) {
    state.is_suspect = true;
  }
}

void OrderTracker::OnReportFailed(TimePoint now, const ServerId& server,
                                  Duration retry) {
  State& state = states_[server];
  state.report_requested = false;
  state.next_request_at = now + retry;
}

const EngineView* OrderTracker::FindOrderable(TimePoint,
                                              const ServerId& id) const {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return nullptr;
  }
  const State& state = found->second;
  return state.has_current_report && !state.is_suspect && !state.sent_order &&
                 !state.view.loading
             ? &state.view
             : nullptr;
}

const EngineView* OrderTracker::Find(const ServerId& server) const {
  const auto found = states_.find(server);
  return found == states_.end() || !found->second.has_current_report
             ? nullptr
             : &found->second.view;
}

EngineState OrderTracker::StateOf(TimePoint now, const ServerId& server,
                                  const HeldModels& registered) const {
  EngineState state;
  state.late_loads = LateLoads(now, server);
  state.loading = PossiblyLoadingModel(server);
  const EngineView* view = Find(server);
  if (view == nullptr) {
    // Not reported yet: the registry entry keeps its replicas counted.
    state.models = registered;
    return state;
  }
  state.models = view->models;
  state.local_weights = view->local_weights;
  if (view->loading) {
    state.loading = view->loading;
  }
  state.is_load = !view->unloading;
  state.orderable = FindOrderable(now, server) != nullptr;
  return state;
}

Order OrderTracker::Begin(TimePoint now, const ServerId& server,
                          OrderAction action, const ModelTarget& target) {
  State& state = states_[server];
  Order order{server, action, target, state.view.accepted};
  state.sent_order = order;
  state.order_changed_at = now;
  DropExpiredOrders(now);
  const bool from_weight_store =
      action == OrderAction::kLoad && state.view.LoadsFromStore(target);
  unanswered_[server].push_back({order, now, /*to_earlier_start=*/false,
                                 /*suspected=*/false, from_weight_store});
  return order;
}

void OrderTracker::OnOutcome(TimePoint now, const Order& order,
                             OrderOutcome outcome, Duration load_time) {
  if (outcome != OrderOutcome::kUnknown) {
    RemoveAnswered(order);
  }
  const auto found = states_.find(order.server);
  if (found == states_.end() || found->second.sent_order != order) {
    return;
  }
  State& state = found->second;
  EngineView& view = state.view;
  state.sent_order.reset();
  state.order_changed_at = now;
  if (outcome == OrderOutcome::kUnknown) {
    state.unconfirmed_order = order;
  }
  if (outcome != OrderOutcome::kAccepted) {
    // A new report has to show what the server holds and has accepted.
    state.has_current_report = false;
    state.next_request_at = outcome == OrderOutcome::kUnknown
                                ? now + kReportMaxAge
                                : now + kReportRetryInterval;
    return;
  }
  view.accepted = order.expected + 1;
  if (!order.target.adapter.empty()) {
    auto& adapters = view.models[order.target.model];
    if (order.action == OrderAction::kLoad) {
      adapters.insert(order.target.adapter);
    } else {
      adapters.erase(order.target.adapter);
    }
    return;
  }
  // Orders for a model keep the server busy until they are executed.
  view.loading = order.target.model;
  view.unloading = order.action == OrderAction::kUnload;
  view.expected_end = now + load_time;
  state.next_request_at = view.expected_end;
  if (order.action == OrderAction::kUnload) {
    view.models.erase(order.target.model);
  }
}

std::optional<ModelId> OrderTracker::PossiblyLoadingModel(
    const ServerId& server) const {
  const auto found = states_.find(server);
  if (found == states_.end()) {
    return std::nullopt;
  }
  const State& state = found->second;
  const auto& order =
      state.sent_order ? state.sent_order : state.unconfirmed_order;
  const bool loads = order && order->action == OrderAction::kLoad &&
                     order->target.adapter.empty();
  return loads ? std::optional(order->target.model) : std::nullopt;
}

bool OrderTracker::IsLoading(const ServerId& server,
                             const ModelId& model) const {
  const auto found = states_.find(server);
  if (found == states_.end()) {
    return false;
  }
  const State& state = found->second;
  const bool ordered = state.sent_order &&
                       state.sent_order->action == OrderAction::kLoad &&
                       state.sent_order->target == ModelTarget{model, {}};
  return ordered ||
         (state.view.loading == model && !state.view.models.contains(model));
}

int OrderTracker::OrdersInProgress() const {
  return static_cast<int>(std::count_if(
      states_.begin(), states_.end(),
      [](const auto& item) { return item.second.view.loading.has_value(); }));
}

void LoadRateLimiter::Configure(double loads_per_second) {
  loads_per_second_ = loads_per_second * kUsedRateFraction;
}

void LoadRateLimiter::Reset(TimePoint now) {
  allowance_ = 0;
  last_refill_ = now;
}

void LoadRateLimiter::Refill(TimePoint now) {
  if (now > last_refill_) {
    allowance_ = std::min(
        kMaxBurstLoads,
        allowance_ + loads_per_second_ *
                         static_cast<double>((now - last_refill_).count()) /
                         1e6);
    last_refill_ = now;
  }
}

int LoadRateLimiter::Allowed(TimePoint now, int late_loads) {
  if (loads_per_second_ <= 0) {
    return static_cast<int>(kMaxBurstLoads);
  }
  Refill(now);
  const double reserved = std::min<double>(late_loads, kMaxBurstLoads - 1);
  return std::max(0, static_cast<int>(allowance_ - reserved));
}

void LoadRateLimiter::OnLoads(TimePoint now, int count) {
  if (count > 0) {
    Refill(now);
    allowance_ -= count;
  }
}

}  // namespace figwell::serving
