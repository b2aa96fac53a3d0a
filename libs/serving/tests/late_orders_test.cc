#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "figwell/serving/balancer.h"
#include "figwell/serving/order_tracker.h"
#include "figwell/serving/replicas.h"
#include "figwell/testing.h"

// Guards against models that become unreachable because servers leave a
// fraction of their orders without a response and execute them seconds later.
// Simulates, in virtual time, a leader, a few servers with one model slot each,
// and callers at an instance that uses the registry and the leader's
// announcements.

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{40};
constexpr milliseconds kLength{120'000};
constexpr milliseconds kShift{8'000};
constexpr milliseconds kLoad{1'200};
constexpr milliseconds kAnswer{10};
constexpr milliseconds kNoAnswer{300};
constexpr milliseconds kNotice{300};
constexpr milliseconds kHeartbeat{1'200};
constexpr milliseconds kRegistryDelay{800};
constexpr milliseconds kRegistryLag{3'000};
constexpr double kLostShare = 0.3;
constexpr int kServers = 7;
constexpr int kModels = 4;
// The delay of a lost unload: no response, another report, the announcement of
// the next unload.
constexpr milliseconds kReadAgain{500};
constexpr milliseconds kLostOrder = kNoAnswer + kReadAgain + kTick + kNotice;
// How long a requested model may be unavailable: the registry's lag until a
// late unload is detected, a report and a plan, the announcement of an unload
// and a load, and one more lost order.
constexpr milliseconds kLongestAway =
    kRegistryLag + 2 * kTick + kNotice + kLoad + kLostOrder;

const ServiceId kService("models");

ModelId Model(int number) {
  return ModelId(std::string("m").append(std::to_string(number)));
}

/** A server that executes one order at a time. */
struct Engine {
  struct Late {
    TimePoint at;
    Order order;
  };

  std::optional<ModelId> holds;
  std::optional<Order> order;
  TimePoint order_done;
  std::int64_t accepted = 0;
  std::vector<Late> late;
  /** The model in its registry entry, and the updates on their way to it. */
  std::optional<ModelId> registered;
  std::vector<std::pair<TimePoint, std::optional<ModelId>>> heartbeats;

  bool Accept(TimePoint now, const Order& given) {
    if (order || given.expected != accepted) {
      return false;
    }
    ++accepted;
    order = given;
    const bool loads = given.action == OrderAction::kLoad;
    order_done = now + (loads ? kLoad : kAnswer);
    if (!loads) {
      holds.reset();
    }
    return true;
  }

  void Advance(TimePoint now) {
    if (order && now >= order_done) {
      if (order->action == OrderAction::kLoad) {
        holds = order->target.model;
      }
      order.reset();
    }
    for (const Late& given : late) {
      if (now >= given.at) {
        Accept(now, given.order);
      }
    }
    std::erase_if(late, [&](const Late& given) { return now >= given.at; });
  }
};

class Play {
 public:
  explicit Play(std::uint64_t seed) : random_(seed) {
    engine_.weights_mb = 72'700;
    for (int i = 0; i < kModels; ++i) {
      ModelSpec spec;
      spec.id = Model(i);
      spec.weights_mb = 72'700;
      spec.load_time = kLoad;
      engine_.models.emplace(spec.id, spec);
    }
    for (int i = 0; i < kServers; ++i) {
      const ServerId id(std::string("s").append(std::to_string(i)));
      engines_[id].holds = Model(i % kModels);
      engines_[id].registered = engines_[id].holds;
      Register(id);
    }
  }

  /** @return the longest time that a model was unavailable to its callers */
  Duration Run() {
    for (now_ = TimePoint(milliseconds(1'000)); now_ < TimePoint(kLength);
         now_ += kTick) {
      for (auto& [id, engine] : engines_) {
        engine.Advance(now_);
        Beat(id, engine);
      }
      EndOrders();
      ReadReports();
      SendDueUnloads();
      Plan();
      Ask();
    }
    return longest_away_;
  }

 private:
  struct Answer {
    TimePoint at;
    Order order;
    OrderOutcome outcome;
  };

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

  void Beat(const ServerId& id, Engine& engine) {
    if (now_.time_since_epoch() % kHeartbeat < kTick) {
      engine.heartbeats.emplace_back(now_ + kRegistryDelay, engine.holds);
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

  void Send(const ServerId& id, OrderAction action, const ModelId& model) {
    const Order order = book_.Begin(now_, id, action, {model, {}});
    if (random_.Unit() < kLostShare) {
      const milliseconds later(2'000 + static_cast<int>(random_.Below(10'000)));
      engines_[id].late.push_back({now_ + later, order});
      answers_.push_back({now_ + kNoAnswer, order, OrderOutcome::kUnknown});
      return;
    }
    const bool accepted = engines_[id].Accept(now_, order);
    answers_.push_back(
        {now_ + kAnswer, order,
         accepted ? OrderOutcome::kAccepted : OrderOutcome::kConflict});
  }

  void EndOrders() {
    for (const Answer& answer : answers_) {
      if (now_ >= answer.at) {
        const bool loads = answer.order.action == OrderAction::kLoad;
        book_.OnOutcome(now_, answer.order, answer.outcome,
                        loads ? Duration(kLoad) : Duration(kAnswer));
      }
    }
    std::erase_if(answers_,
                  [&](const Answer& answer) { return now_ >= answer.at; });
  }

  void ReadReports() {
    for (const auto& [id, engine] : engines_) {
      if (!book_.NeedsReport(now_, id)) {
        continue;
      }
      book_.OnReportRequested(now_, id);
      EngineReport report;
      if (engine.holds) {
        report.models[*engine.holds] = {};
      }
      report.accepted = engine.accepted;
      report.busy = engine.order.has_value();
      if (const auto held = book_.OnReport(now_, id, report)) {
        balancer_.OnPlacementAnnounced(now_, id, *held, true);
      }
    }
  }

  void SendDueUnloads() {
    for (const auto& [id, due] : std::map(unloads_)) {
      if (now_ >= due.first) {
        unloads_.erase(id);
        if (book_.FindOrderable(now_, id) != nullptr) {
          Send(id, OrderAction::kUnload, due.second);
        }
      }
    }
  }

  void Plan() {
    std::map<ServerId, EngineState> servers;
    for (const auto& [id, entry] : directory_.entries()) {
      book_.Reconcile(now_, id, entry.server.models, kRegistryLag);
      EngineState state = book_.StateOf(now_, id, entry.server.models);
      state.orderable = state.orderable && !unloads_.contains(id);
      if (const auto unload = unloads_.find(id); unload != unloads_.end()) {
        state.models.erase(unload->second.second);
      }
      servers.emplace(id, state);
    }
    Demand demand;
    for (int i = 0; i < kModels; ++i) {
      demand.work[Model(i)] = i == Hot() ? 2'000 : 50;
    }
    for (const ReplicaMove& move :
         PlanReplicas({engine_, servers, demand, 3, true, nullptr, now_})) {
      if (move.action == OrderAction::kUnload) {
        balancer_.OnPlacementAnnounced(now_, move.server, move.target, false);
        unloads_[move.server] = {now_ + kNotice, move.target.model};
      } else {
        Send(move.server, OrderAction::kLoad, move.target.model);
      }
    }
  }

  int Hot() const {
    return static_cast<int>(now_.time_since_epoch() / kShift) % kModels;
  }

  // A caller is served if one of the servers that the balancer would use for
  // the model holds it.
  void Ask() {
    for (int i = 0; i < kModels; ++i) {
      const ModelTarget target{Model(i), {}};
      std::vector<ServerId> wrong;
      bool served = false;
      for (const auto& [id, engine] : engines_) {
        Directory only;
        only.Put(*directory_.Find(id));
        if (balancer_.AnyServerHolds(now_, only, kService, target)) {
          served = served || engine.holds == target.model;
          if (engine.holds != target.model) {
            wrong.push_back(id);
          }
        }
      }
      for (const ServerId& id : wrong) {
        balancer_.OnPlacementAnnounced(now_, id, target,
                                       false);  // it responded with 421
      }
      TimePoint& since = served_at_.try_emplace(i, now_).first->second;
      if (served) {
        since = now_;
      }
      longest_away_ = std::max(longest_away_, now_ - since);
    }
  }

  Random random_;
  EngineSpec engine_;
  TimePoint now_;
  std::map<ServerId, Engine> engines_;
  OrderTracker book_;
  Directory directory_;
  Balancer balancer_{DomainId("here"), 1, kRegistryLag};
  std::vector<Answer> answers_;
  std::map<ServerId, std::pair<TimePoint, ModelId>> unloads_;
  std::map<int, TimePoint> served_at_;
  Duration longest_away_{0};
};

TEST_CASE("models stay available while orders are executed late") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    const Duration away = Play(seed).Run();
    INFO("seed " << seed << ", longest unavailability "
                 << away / milliseconds(1) << " ms");
    CHECK(away <= kLongestAway);
  }
}

}  // namespace
}  // namespace figwell::serving
