#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "figwell/serving/balancer.h"
#include "figwell/serving/order_tracker.h"
#include "figwell/serving/replicas.h"
#include "figwell/testing.h"
#include "played_orders.h"

// Guards against models that become unreachable because servers leave a
// fraction of their orders without a response and execute them seconds later.
// Simulates, in virtual time, a leader, a few servers with one model slot each,
// and callers at an instance that uses the registry and the leader's
// announcements.

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kHotModelInterval{8'000};
constexpr milliseconds kLoadTime{1'200};
constexpr milliseconds kUnloadNotice{300};
constexpr milliseconds kHeartbeatInterval{1'200};
constexpr milliseconds kRegistryDelay{800};
constexpr milliseconds kRegistryLag{3'000};
constexpr int kServers = 7;
constexpr int kModels = 4;
// The delay of a lost unload: no response, another report, the announcement of
// the next unload.
constexpr milliseconds kReportRetryDelay{500};
constexpr milliseconds kLostOrderDelay =
    kResponseTimeout + kReportRetryDelay + kTick + kUnloadNotice;
// How long a requested model may be unavailable: the registry's lag until a
// late unload is detected, a report and a plan, the announcement of an unload
// and a load, and one more lost order.
constexpr milliseconds kMaxUnavailable =
    kRegistryLag + 2 * kTick + kUnloadNotice + kLoadTime + kLostOrderDelay;

const ServiceId kService("models");

/** A server that executes one order at a time. */
struct Engine {
  std::optional<ModelId> held_model;
  OrderExecution execution{kLoadTime};
  std::vector<LateOrder> late_orders;
  /** The model in its registry entry, and the updates on their way to it. */
  std::optional<ModelId> registered;
  std::vector<std::pair<TimePoint, std::optional<ModelId>>> heartbeats;

  bool Accept(TimePoint now, const Order& order) {
    if (!execution.Begin(now, order)) {
      return false;
    }
    if (order.action != OrderAction::kLoad) {
      held_model.reset();
    }
    return true;
  }

  void Advance(TimePoint now) {
    if (const auto loaded = execution.End(now)) {
      held_model = *loaded;
    }
    ExecuteLateOrders(now, *this);
  }
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed)
      : random_(seed),
        engine_(MakeEngineSpec(kModels, 72'700, /*model_slots=*/1, kLoadTime)) {
    for (int i = 0; i < kServers; ++i) {
      const ServerId id = Server(i);
      engines_[id].held_model = Model(i % kModels);
      engines_[id].registered = engines_[id].held_model;
      Register(id);
    }
  }

  /** @return the longest time that a model was unavailable to its callers */
  Duration Run() {
    for (now_ = TimePoint(milliseconds(1'000));
         now_ < TimePoint(kSimulatedTime); now_ += kTick) {
      for (auto& [id, engine] : engines_) {
        engine.Advance(now_);
        UpdateHeartbeat(id, engine);
      }
      orders_.DeliverResponses(now_, tracker_);
      ReadReports();
      SendDueUnloads();
      Plan();
      CheckCallers();
    }
    return max_unavailable_;
  }

 private:
  void Register(const ServerId& id) {
    BackendServer server;
    server.id = id;
    server.service = kService;
    if (engines_[id].registered) {
      server.models[*engines_[id].registered] = {};
    }
    directory_.Put(server);
    balancer_.OnRegistryUpdate(now_, id);
  }

  void UpdateHeartbeat(const ServerId& id, Engine& engine) {
    if (now_.time_since_epoch() % kHeartbeatInterval < kTick) {
      engine.heartbeats.emplace_back(now_ + kRegistryDelay, engine.held_model);
    }
    while (!engine.heartbeats.empty() &&
           engine.heartbeats.front().first <= now_) {
      if (engine.registered != engine.heartbeats.front().second) {
        engine.registered = engine.heartbeats.front().second;
        Register(id);
      }
      engine.heartbeats.erase(engine.heartbeats.begin());
    }
  }

  void SendOrder(const ServerId& id, OrderAction action, const ModelId& model) {
    const Order order = tracker_.Begin(now_, id, action, {model, {}});
    orders_.Send(now_, order, random_, engines_[id]);
  }

  void ReadReports() {
    for (const auto& [id, engine] : engines_) {
      if (!tracker_.NeedsReport(now_, id)) {
        continue;
      }
      tracker_.OnReportRequested(now_, id);
      EngineReport report;
      if (engine.held_model) {
        report.models[*engine.held_model] = {};
      }
      report.accepted = engine.execution.accepted();
      report.busy = engine.execution.busy();
      if (const auto held = tracker_.OnReport(now_, id, report)) {
        balancer_.OnPlacementAnnounced(now_, id, *held, true);
      }
    }
  }

  void SendDueUnloads() {
    for (const auto& [id, due] : std::map(unloads_)) {
      if (now_ >= due.first) {
        unloads_.erase(id);
        if (tracker_.FindOrderable(now_, id) != nullptr) {
          SendOrder(id, OrderAction::kUnload, due.second);
        }
      }
    }
  }

  void Plan() {
    std::map<ServerId, EngineState> servers;
    for (const auto& [id, entry] : directory_.entries()) {
      tracker_.Reconcile(now_, id, entry.server.models, kRegistryLag);
      EngineState state = tracker_.StateOf(now_, id, entry.server.models);
      state.orderable = state.orderable && !unloads_.contains(id);
      if (const auto unload = unloads_.find(id); unload != unloads_.end()) {
        state.models.erase(unload->second.second);
      }
      servers.emplace(id, state);
    }
    Demand demand;
    for (int i = 0; i < kModels; ++i) {
      demand.work[Model(i)] = i == HotModel() ? 2'000 : 50;
    }
    for (const ReplicaMove& move :
         PlanReplicas({engine_, servers, demand, 3, true, nullptr, now_})) {
      if (move.action == OrderAction::kUnload) {
        balancer_.OnPlacementAnnounced(now_, move.server, move.target, false);
        unloads_[move.server] = {now_ + kUnloadNotice, move.target.model};
      } else {
        SendOrder(move.server, OrderAction::kLoad, move.target.model);
      }
    }
  }

  int HotModel() const {
    return static_cast<int>(now_.time_since_epoch() / kHotModelInterval) %
           kModels;
  }

  // A caller is served if one of the servers that the balancer would use for
  // the model holds it.
  void CheckCallers() {
    for (int i = 0; i < kModels; ++i) {
      const ModelTarget target{Model(i), {}};
      std::vector<ServerId> wrong_servers;
      bool served = false;
      for (const auto& [id, engine] : engines_) {
        Directory one_server;
        one_server.Put(*directory_.Find(id));
        if (balancer_.AnyServerHolds(now_, one_server, kService, target)) {
          served = served || engine.held_model == target.model;
          if (engine.held_model != target.model) {
            wrong_servers.push_back(id);
          }
        }
      }
      for (const ServerId& id : wrong_servers) {
        balancer_.OnPlacementAnnounced(now_, id, target,
                                       false);  // it responded with 421
      }
      TimePoint& last_served = last_served_.try_emplace(i, now_).first->second;
      if (served) {
        last_served = now_;
      }
      max_unavailable_ = std::max(max_unavailable_, now_ - last_served);
    }
  }

  Random random_;
  EngineSpec engine_;
  TimePoint now_;
  std::map<ServerId, Engine> engines_;
  OrderTracker tracker_;
  Directory directory_;
  Balancer balancer_{DomainId("here"), 1, kRegistryLag};
  PlayedOrders orders_{kLoadTime};
  std::map<ServerId, std::pair<TimePoint, ModelId>> unloads_;
  std::map<int, TimePoint> last_served_;
  Duration max_unavailable_{0};
};

TEST_CASE("models stay available while orders are executed late") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const Duration unavailable = Simulation(seed).Run();
    INFO("seed " << seed << ", longest unavailability "
                 << unavailable / milliseconds(1) << " ms");
    CHECK(unavailable <= kMaxUnavailable);
  }
}

}  // namespace
}  // namespace figwell::serving
