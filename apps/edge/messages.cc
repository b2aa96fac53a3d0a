#include "messages.h"

namespace figwell::edge {
namespace {

// Fits into peers::kMaxApplicationBytes with names of 24 bytes.
constexpr std::size_t kItemsInMessage = 24;

}  // namespace

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
