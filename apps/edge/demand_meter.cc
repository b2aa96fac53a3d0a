#include "demand_meter.h"

#include <cmath>

namespace figwell::edge {
namespace {

// Rates below these are not worth a message.
constexpr double kLeastWork = 0.5;
constexpr double kLeastRequests = 0.02;
// Fits into peers::kMaxApplicationBytes with names of 24 bytes.
constexpr std::size_t kItemsInMessage = 24;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double DemandMeter::Decayed(const Rate& rate, TimePoint now) {
  return rate.amount * std::exp(-Seconds(now - rate.at) / Seconds(kWindow));
}

void DemandMeter::Add(Rate& rate, TimePoint now, double amount) {
  rate.amount = Decayed(rate, now) + amount;
  rate.at = now;
}

void DemandMeter::OnRequest(TimePoint now, const serving::ModelTarget& target,
                            Duration work) {
  Add(work_[target.model], now, Seconds(work) * 1e3);
  if (!target.adapter.empty()) {
    Add(requests_[target], now, 1);
  }
}

serving::Demand DemandMeter::Rates(TimePoint now) {
  serving::Demand demand;
  const double window = Seconds(kWindow);
  for (auto rate = work_.begin(); rate != work_.end();) {
    const double amount = Decayed(rate->second, now) / window;
    if (amount < kLeastWork) {
      rate = work_.erase(rate);
      continue;
    }
    demand.work.emplace(rate->first, amount);
    ++rate;
  }
  for (auto rate = requests_.begin(); rate != requests_.end();) {
    const double amount = Decayed(rate->second, now) / window;
    if (amount < kLeastRequests) {
      rate = requests_.erase(rate);
      continue;
    }
    demand.requests.emplace(rate->first, amount);
    ++rate;
  }
  return demand;
}

std::vector<DemandMessage> ToMessages(const serving::Demand& demand) {
  std::vector<DemandMessage> messages(1);
  const auto add = [&](DemandItem item) {
    if (messages.back().items.size() >= kItemsInMessage) {
      messages.push_back({false, {}});
    }
    messages.back().items.push_back(std::move(item));
  };
  for (const auto& [model, work] : demand.work) {
    add({model.value(), {}, static_cast<float>(work)});
  }
  for (const auto& [target, requests] : demand.requests) {
    add({target.model.value(), target.adapter, static_cast<float>(requests)});
  }
  return messages;
}

void AddItems(const DemandMessage& message, serving::Demand& demand) {
  if (message.first) {
    demand = {};
  }
  for (const DemandItem& item : message.items) {
    if (item.adapter.empty()) {
      demand.work[ModelId(item.model)] = item.amount;
    } else {
      demand.requests[{ModelId(item.model), item.adapter}] = item.amount;
    }
  }
}

}  // namespace figwell::edge
