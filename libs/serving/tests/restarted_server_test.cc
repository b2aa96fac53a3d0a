#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <vector>

#include "figwell/serving/known_past.h"
#include "figwell/serving/order_tracker.h"
#include "figwell/serving/replicas.h"
#include "figwell/testing.h"
#include "played_orders.h"

// Guards against a server that is filled beyond its memory by an order that was
// sent to an earlier start of it. Simulates, in virtual time, servers that
// crash and start again under the same id, and leave orders without a response
// and execute them seconds later, while demand moves between more models than
// fit.

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLoadTime{600};
constexpr milliseconds kHotModelInterval{2'500};
constexpr int kSlots = 3;
constexpr int kServers = 3;
constexpr int kModels = 11;
constexpr double kModelMb = 72'700;

/** A server that executes one order at a time. */
struct Engine {
  HeldModels models;
  OrderExecution execution{kLoadTime};
  std::vector<LateOrder> late_orders;
  TimePoint started_at;
  std::optional<TimePoint> down_until;
  bool overfilled = false;

  bool Accept(TimePoint now, const Order& order) {
    if (down_until || !execution.Begin(now, order)) {
      return false;
    }
    if (order.action != OrderAction::kLoad) {
      models.erase(order.target.model);
    } else {
      overfilled = overfilled || (!models.contains(order.target.model) &&
                                  std::ssize(models) == kSlots);
    }
    return true;
  }

  void Crash(TimePoint now, Duration down) {
    models.clear();
    execution = OrderExecution(kLoadTime);
    down_until = now + down;
  }

  void Advance(TimePoint now) {
    if (const auto loaded = execution.End(now)) {
      models[*loaded] = {};
    }
    ExecuteLateOrders(now, *this);
  }
};

/** What happens to the process that leads. */
enum class LeaderFault {
  kNone,
  kSucceeded,  ///< another process leads from time to time
  kRestarted,  ///< it is killed, starts again and leads at once
};

class Simulation {
 public:
  Simulation(std::uint64_t seed, LeaderFault leader_fault)
      : random_(seed),
        leader_fault_(leader_fault),
        engine_(MakeEngineSpec(kModels, kModelMb, kSlots, kLoadTime)) {
    for (int i = 0; i < kServers; ++i) {
      // Full without any order, unlike after a restart: late orders meet
      // other numbers of models.
      for (int slot = 0; slot < kSlots; ++slot) {
        engines_[Server(i)].models[Model(slot)] = {};
      }
    }
  }

  /** @return whether a server was ever ordered to load more than fits */
  bool Overfills() {
    for (now_ = TimePoint(milliseconds(1'000));
         now_ < TimePoint(kSimulatedTime); now_ += kTick) {
      for (auto& [id, engine] : engines_) {
        engine.Advance(now_);
        CrashOrRestart(id, engine);
      }
      if (leader_fault_ != LeaderFault::kNone && random_.Unit() < 0.005) {
        ChangeLeader();
      }
      orders_.DeliverResponses(now_, Leader());
      ReadReports();
      Plan();
    }
    return std::any_of(engines_.begin(), engines_.end(),
                       [](const auto& item) { return item.second.overfilled; });
  }
  int loads() const { return loads_; }

 private:
  OrderTracker& Leader() { return trackers_[leader_]; }

  void ChangeLeader() {
    leads_since_ = now_;
    orders_.DropResponses();
    if (leader_fault_ == LeaderFault::kSucceeded) {
      leader_ = 1 - leader_;
      Leader().Clear();
      return;
    }
    Leader() = OrderTracker();
    past_ = KnownPast();
    past_.OnRegistryGap(now_);
    for (const auto& [id, engine] : engines_) {
      if (!engine.down_until) {
        OnAppeared(id, engine);
      }
    }
  }

  /** The leader did not know the server. */
  void OnAppeared(const ServerId& id, const Engine& engine) {
    known_[id] = leads_since_;
    if (const auto sent_at =
            past_.LatestUnknownOrder(now_, now_ - engine.started_at)) {
      Leader().SuspectLateLoad(now_, id, *sent_at);
    }
  }

  void CrashOrRestart(const ServerId& id, Engine& engine) {
    if (!engine.down_until && random_.Unit() < 0.006) {
      engine.Crash(now_, milliseconds(200 + random_.Below(2'000)));
      for (OrderTracker& tracker : trackers_) {
        tracker.RemoveServer(id);
      }
    } else if (engine.down_until && now_ >= *engine.down_until) {
      engine.down_until.reset();
      engine.started_at = now_;
      OnRestarted(id, engine);
    }
  }

  void OnRestarted(const ServerId& id, const Engine& engine) {
    if (leader_fault_ == LeaderFault::kRestarted &&
        known_[id] != leads_since_) {
      OnAppeared(id, engine);
      return;
    }
    for (std::size_t i = 0; i < trackers_.size(); ++i) {
      const bool sent_all_orders =
          i == leader_ && now_ - leads_since_ >= OrderTracker::kMaxOrderDelay;
      if (leader_fault_ != LeaderFault::kNone && !sent_all_orders) {
        trackers_[i].ExpectLateLoad(now_, id);
      }
    }
  }

  void SendOrder(const ReplicaMove& move) {
    const ServerId& id = move.server;
    if (Leader().FindOrderable(now_, id) == nullptr) {
      return;
    }
    const Order order = Leader().Begin(now_, id, move.action, move.target);
    loads_ += move.action == OrderAction::kLoad ? 1 : 0;
    orders_.Send(now_, order, random_, engines_[id]);
  }

  void ReadReports() {
    for (const auto& [id, engine] : engines_) {
      if (engine.down_until || !Leader().NeedsReport(now_, id)) {
        continue;
      }
      Leader().OnReportRequested(now_, id);
      EngineReport report;
      report.models = engine.models;
      for (int i = 0; i < kModels; ++i) {
        report.local_weights.insert(Model(i));
      }
      report.accepted = engine.execution.accepted();
      report.busy = engine.execution.busy();
      Leader().OnReport(now_, id, report);
    }
  }

  void Plan() {
    std::map<ServerId, EngineState> servers;
    for (const auto& [id, engine] : engines_) {
      if (!engine.down_until) {
        servers.emplace(id, Leader().StateOf(now_, id, {}));
      }
    }
    Demand demand;
    const auto hot = now_.time_since_epoch() / kHotModelInterval;
    for (int i = 0; i < kModels; ++i) {
      demand.work[Model(i)] = (hot + i) % kModels < 4 ? 800 : 0;
    }
    for (const ReplicaMove& move :
         PlanReplicas({engine_, servers, demand, 3, true, nullptr, now_})) {
      SendOrder(move);
    }
  }

  Random random_;
  LeaderFault leader_fault_;
  EngineSpec engine_;
  TimePoint now_;
  std::map<ServerId, Engine> engines_;
  std::array<OrderTracker, 2> trackers_;
  std::size_t leader_ = 0;
  TimePoint leads_since_;
  KnownPast past_;
  /** Since which term the leader knows each server. */
  std::map<ServerId, TimePoint> known_;
  PlayedOrders orders_{kLoadTime};
  int loads_ = 0;
};

TEST_CASE("a late order to a server's earlier start never overfills it") {
  for (const LeaderFault leader_fault :
       {LeaderFault::kNone, LeaderFault::kSucceeded, LeaderFault::kRestarted}) {
    int overfilled = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      Simulation simulation(seed, leader_fault);
      overfilled += simulation.Overfills() ? 1 : 0;
      CHECK(simulation.loads() > 20);
    }
    INFO("leader fault: " << static_cast<int>(leader_fault));
    CHECK(overfilled == 0);
  }
}

}  // namespace
}  // namespace figwell::serving
