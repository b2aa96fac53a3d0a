#include <algorithm>
#include <iterator>
#include <utility>

#include "world.h"

namespace figwell::placement {
namespace {

constexpr Duration kLoadTime = seconds(2);
constexpr Duration kNetworkDelay = std::chrono::milliseconds(100);
constexpr Duration kStaleReportAge = seconds(6);
/** A replica lost in a restart may go unnoticed for this long. */
constexpr Duration kMaxUnnoticedLoss = seconds(30);

}  // namespace

std::int64_t SimulatedEngine::Used() const {
  std::int64_t used = 0;
  for (const auto& [item, value] : resident) {
    used += value.bytes;
  }
  return used;
}

SimulatedEngine& World::engine(std::size_t index) {
  return std::next(engines_.begin(),
                   static_cast<std::ptrdiff_t>(index % engines_.size()))
      ->second;
}

void World::RestartEngine(std::size_t index) {
  SimulatedEngine& restarted = engine(index);
  ++restarted.incarnation;
  restarted.resident.clear();
  restarted.ready_at.clear();
  restarted.reports.clear();
  restarted.last_order = {};
  last_restart_ = now_;
}

void World::AddUnknownItem(std::size_t index) {
  SimulatedEngine& target = engine(index);
  std::int64_t arriving_bytes = 0;
  for (const Message& message : messages_) {
    if (&engines_.at(message.server) == &target) {
      arriving_bytes += message.order.bytes;
    }
  }
  if (target.Used() == 0 && arriving_bytes == 0 && target.incarnation == 1) {
    target.resident[BaseItem("stranger", "1")] = {10, ItemState::kReady};
  }
}

void World::ApplyLoad(SimulatedEngine& engine, const Order& order) {
  const bool lacks_base =
      !order.item.adapter.empty() &&
      !engine.resident.contains(
          BaseItem(order.item.model.value(), order.item.version.value()));
  if (engine.resident.contains(order.item) || lacks_base) {
    return;
  }
  engine.resident[order.item] = {order.bytes, ItemState::kLoading};
  engine.ready_at[order.item] = now_ + kLoadTime;
}

void World::ApplyUnload(SimulatedEngine& engine, const Message& message) {
  const Order& order = message.order;
  const bool was_ready =
      engine.resident.contains(order.item) &&
      engine.resident.at(order.item).state == ItemState::kReady;
  engine.resident.erase(order.item);
  engine.ready_at.erase(order.item);
  const bool is_excused =
      order.reason == Reason::kWithdrawn ||
      (last_restart_ > TimePoint() &&
       last_restart_ >= message.emitted_at - kMaxUnnoticedLoss);
  if (was_ready && order.item.adapter.empty() && !is_excused &&
      configuration_->models.contains(order.item.model) &&
      !IsReachable(order.item.model)) {
    violations_.push_back("last replica of " + order.item.model.value() +
                          " unloaded: " + std::string(Name(order.reason)));
  }
}

void World::Deliver(const Message& message) {
  SimulatedEngine& target = engines_.at(message.server);
  if (message.incarnation != target.incarnation) {
    return;  // The connection was closed when the process ended.
  }
  const Fencing& number = message.order.fencing;
  const bool is_stale = number < target.last_order;
  const bool rejected =
      (target.check == Check::kEachOrder && number <= target.last_order) ||
      (target.check == Check::kEachLease &&
       number.epoch < target.last_order.epoch);
  if (!rejected) {
    const auto before = target.resident;
    if (message.order.action == Action::kLoad) {
      ApplyLoad(target, message.order);
    } else {
      ApplyUnload(target, message);
    }
    stale_orders_applied += is_stale && before != target.resident ? 1 : 0;
    target.last_order = number;
    on_step(Step::kArrived);
  }
  if (now_ < lose_answers_until) {
    return;
  }
  const Duration answer_delay =
      now_ < delay_answers_until ? seconds(8) : Duration(0);
  const OrderAnswer answer =
      rejected ? OrderAnswer::kStale : OrderAnswer::kAccepted;
  const ServerId server = message.server;
  Schedule(message.controller, now_ + answer_delay + kNetworkDelay, [=, this] {
    return controllers_[message.controller].OnOrderAnswer(now_, server, number,
                                                          answer);
  });
}

void World::FinishLoads() {
  int finished = 0;
  for (auto& [id, engine] : engines_) {
    for (auto& [item, resident] : engine.resident) {
      const auto at = engine.ready_at.find(item);
      if (at != engine.ready_at.end() && now_ >= at->second) {
        resident.state = ItemState::kReady;
        engine.ready_at.erase(at);
        ++finished;
      }
    }
  }
  // After the loop, since on_step may restart an engine.
  for (int i = 0; i < finished; ++i) {
    on_step(Step::kReady);
  }
}

void World::RecordReports() {
  for (auto& [id, engine] : engines_) {
    ServerReport report;
    report.incarnation = std::to_string(engine.incarnation);
    report.memory_bytes = engine.memory_bytes;
    report.memory_used = engine.Used();
    report.last_order = engine.last_order;
    report.resident = engine.resident;
    engine.reports.emplace_back(now_, std::move(report));
    while (engine.reports.front().first + kStaleReportAge < now_) {
      engine.reports.pop_front();
    }
  }
}

/** Checks that resident items and loads in flight fit into true memory. */
void World::CheckMemory() {
  for (const auto& [id, engine] : engines_) {
    std::map<Item, std::int64_t> bytes;
    for (const auto& [item, resident] : engine.resident) {
      bytes[item] = resident.bytes;
    }
    for (const Message& message : messages_) {
      if (message.server == id && message.incarnation == engine.incarnation &&
          message.order.action == Action::kLoad &&
          (engine.check != Check::kEachOrder ||
           message.order.fencing > engine.last_order)) {
        std::int64_t& max_bytes = bytes[message.order.item];
        max_bytes = std::max(max_bytes, message.order.bytes);
      }
    }
    std::int64_t total = 0;
    for (const auto& [item, size] : bytes) {
      total += size;
    }
    if (total > engine.memory_bytes) {
      violations_.push_back(id.value() +
                            " overcommitted: " + std::to_string(total));
    }
  }
}

bool World::IsReady(const Item& item) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    const auto found = entry.second.resident.find(item);
    return found != entry.second.resident.end() &&
           found->second.state == ItemState::kReady;
  });
}

bool World::IsReachable(const ModelId& model) const {
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    return std::any_of(entry.second.resident.begin(),
                       entry.second.resident.end(), [&](const auto& resident) {
                         return resident.first.model == model &&
                                resident.first.adapter.empty() &&
                                resident.second.state == ItemState::kReady;
                       });
  });
}

bool World::AllReachable() const {
  return std::all_of(
      configuration_->models.begin(), configuration_->models.end(),
      [this](const auto& entry) { return IsReachable(entry.first); });
}

}  // namespace figwell::placement
