#include "figwell/serving/order_tracker.h"

#include <algorithm>
#include <utility>

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

// A report may be several hundred milliseconds old when it arrives.
constexpr Duration kReportLag = milliseconds(500);
constexpr Duration kReportRetry = milliseconds(400);
// How often a report is requested once a load should have ended.
constexpr Duration kLoadPoll = milliseconds(400);
// The fraction of the weight store's rate that is used, and the loads that may
// start in a burst. The store's limit applies to sliding windows.
constexpr double kUsedRate = 0.95;
constexpr double kBurstLoads = 3.0;

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

void OrderTracker::Clear() { states_.clear(); }

void OrderTracker::Forget(const ServerId& server) { states_.erase(server); }

bool OrderTracker::NeedsReport(TimePoint now, const ServerId& server) const {
  const auto found = states_.find(server);
  if (found == states_.end()) {
    return true;
  }
  const State& state = found->second;
  if (state.asked || state.sent || now < state.ask_at) {
    return false;
  }
  return !state.known || state.doubted ||
         (state.view.loading && now >= state.view.load_done);
}

void OrderTracker::OnReportRequested(TimePoint, const ServerId& server) {
  states_[server].asked = true;
}

std::optional<ModelTarget> OrderTracker::OnReport(TimePoint now,
                                                  const ServerId& server,
                                                  const EngineReport& report) {
  State& state = states_[server];
  state.asked = false;
  state.ask_at = now + kLoadPoll;
  if (state.sent) {
    return std::nullopt;
  }
  const bool restarted = report.accepted < state.view.accepted;
  if (state.known && restarted && now < state.changed + kReportLag) {
    return std::nullopt;  // made before the last order
  }
  if (!state.known && now < state.changed + kReportLag) {
    // May have been made before an unconfirmed order took effect.
    return std::nullopt;
  }
  const std::optional<ModelId> was_loading = state.view.loading;
  const auto unsure = std::exchange(state.unsure, std::nullopt);
  state.known = true;
  state.doubted = false;
  state.reported = now;
  state.view.accepted = report.accepted;
  state.view.models = report.models;
  for (const ModelTarget& target : report.pending) {
    state.view.models[target.model].insert(target.adapter);
  }
  state.view.local_weights = report.local_weights;
  if (report.busy) {
    if (!state.view.loading) {
      const bool of_model = unsure && unsure->target.adapter.empty();
      state.view.loading = of_model ? unsure->target.model : ModelId();
      state.view.unloading = of_model && unsure->action == OrderAction::kUnload;
    }
    if (state.view.unloading) {
      // The server lists the model until its last run has ended, but the
      // model takes no new requests.
      state.view.models.erase(*state.view.loading);
    }
    state.view.load_done = now;
    return std::nullopt;
  }
  state.view.loading.reset();
  state.view.unloading = false;
  if (was_loading && report.models.contains(*was_loading)) {
    return ModelTarget{*was_loading, {}};
  }
  if (unsure && unsure->action == OrderAction::kUnload &&
      Holds(state.view.models, unsure->target)) {
    return unsure->target;
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
  if (state.known && !state.sent && !state.view.loading &&
      now >= std::max(state.changed, state.reported) + lag &&
      state.view.models != registered) {
    state.doubted = true;
  }
}

void OrderTracker::OnReportFailed(TimePoint now, const ServerId& server) {
  State& state = states_[server];
  state.asked = false;
  state.ask_at = now + kReportRetry;
}

const EngineView* OrderTracker::FindOrderable(TimePoint,
                                              const ServerId& id) const {
  const auto found = states_.find(id);
  if (found == states_.end()) {
    return nullptr;
  }
  const State& state = found->second;
  return state.known && !state.doubted && !state.sent && !state.view.loading
             ? &state.view
             : nullptr;
}

const EngineView* OrderTracker::Find(const ServerId& server) const {
  const auto found = states_.find(server);
  return found == states_.end() || !found->second.known ? nullptr
                                                        : &found->second.view;
}

EngineState OrderTracker::StateOf(TimePoint now, const ServerId& server,
                                  const HeldModels& registered) const {
  EngineState state;
  state.loading = PossiblyLoading(server);
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
  state.loads = !view->unloading;
  state.orderable = FindOrderable(now, server) != nullptr;
  return state;
}

Order OrderTracker::Begin(TimePoint now, const ServerId& server,
                          OrderAction action, const ModelTarget& target) {
  State& state = states_[server];
  Order order{server, action, target, state.view.accepted};
  state.sent = order;
  state.changed = now;
  return order;
}

void OrderTracker::OnOutcome(TimePoint now, const Order& order,
                             OrderOutcome outcome, Duration load_time) {
  const auto found = states_.find(order.server);
  if (found == states_.end() || found->second.sent != order) {
    return;
  }
  State& state = found->second;
  EngineView& view = state.view;
  state.sent.reset();
  state.changed = now;
  if (outcome == OrderOutcome::kUnknown) {
    state.unsure = order;
  }
  if (outcome != OrderOutcome::kAccepted) {
    // A new report has to show what the server holds and has accepted.
    state.known = false;
    state.ask_at = outcome == OrderOutcome::kUnknown ? now + kReportLag
                                                     : now + kReportRetry;
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
  view.load_done = now + load_time;
  state.ask_at = view.load_done;
  if (order.action == OrderAction::kUnload) {
    view.models.erase(order.target.model);
  }
}

std::optional<ModelId> OrderTracker::PossiblyLoading(
    const ServerId& server) const {
  const auto found = states_.find(server);
  if (found == states_.end()) {
    return std::nullopt;
  }
  const State& state = found->second;
  const auto& order = state.sent ? state.sent : state.unsure;
  const bool loads = order && order->action == OrderAction::kLoad &&
                     order->target.adapter.empty();
  return loads ? std::optional(order->target.model) : std::nullopt;
}

bool OrderTracker::Loading(const ServerId& server, const ModelId& model) const {
  const auto found = states_.find(server);
  if (found == states_.end()) {
    return false;
  }
  const State& state = found->second;
  const bool ordered = state.sent && state.sent->action == OrderAction::kLoad &&
                       state.sent->target == ModelTarget{model, {}};
  return ordered ||
         (state.view.loading == model && !state.view.models.contains(model));
}

int OrderTracker::LoadsUnderWay() const {
  return static_cast<int>(std::count_if(
      states_.begin(), states_.end(),
      [](const auto& item) { return item.second.view.loading.has_value(); }));
}

void LoadRateLimiter::Configure(double loads_per_second) {
  rate_ = loads_per_second * kUsedRate;
}

void LoadRateLimiter::Reset(TimePoint now) {
  level_ = 0;
  last_ = now;
}

void LoadRateLimiter::Refill(TimePoint now) {
  if (now > last_) {
    level_ = std::min(
        kBurstLoads,
        level_ + rate_ * static_cast<double>((now - last_).count()) / 1e6);
    last_ = now;
  }
}

int LoadRateLimiter::Allowed(TimePoint now) {
  if (rate_ <= 0) {
    return static_cast<int>(kBurstLoads);
  }
  Refill(now);
  return static_cast<int>(level_);
}

void LoadRateLimiter::OnLoad(TimePoint now) {
  Refill(now);
  level_ -= 1;
}

}  // namespace figwell::serving
