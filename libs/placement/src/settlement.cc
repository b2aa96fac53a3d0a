#include <algorithm>
#include <utility>

#include "figwell/placement/reports.h"

namespace figwell::placement {
namespace {

/** One report, and what this process knows about its orders. */
struct ReportContext {
  const ServerReport& report;
  TimePoint sampled_at;
  bool checks_fencing;
  const std::map<Fencing, OrderTimes>& times;
};

/** Whether the server accepted the order before the report was made. */
bool WasAcceptedBefore(const Order& order, const ReportContext& context) {
  const auto found = context.times.find(order.fencing);
  return found != context.times.end() && found->second.accepted &&
         *found->second.accepted < context.sampled_at;
}

/** Whether the item is resident after a sole load or gone after an unload. */
bool IsConfirmedByMemory(const Order& order, const ReportContext& context) {
  const auto found = context.times.find(order.fencing);
  if (found != context.times.end() &&
      context.sampled_at <= found->second.written) {
    return false;  // The report may have been made before the order.
  }
  const bool present = context.report.resident.contains(order.item);
  return order.sole && present == (order.action == Action::kLoad);
}

/** Whether the order can no longer have an effect after the report. */
bool IsSettled(const Order& order, const ReportContext& context) {
  if (context.checks_fencing) {
    return order.fencing <= context.report.last_order;
  }
  return order.fencing == context.report.last_order ||
         WasAcceptedBefore(order, context) ||
         IsConfirmedByMemory(order, context);
}

/** The reported items, each with the larger of its reported and known size. */
std::map<Item, Resident> MergedResidents(const ServerLedger& ledger,
                                         const ServerReport& report) {
  std::map<Item, Resident> merged = report.resident;
  for (auto& [item, resident] : merged) {
    if (const auto known = ledger.resident.find(item);
        known != ledger.resident.end()) {
      resident.bytes = std::max(resident.bytes, known->second.bytes);
    }
    for (const Order& order : ledger.unsettled) {
      if (order.item == item) {
        resident.bytes = std::max(resident.bytes, order.bytes);
      }
    }
  }
  return merged;
}

std::int64_t UnaccountedBytes(const ServerReport& report) {
  std::int64_t known = 0;
  for (const auto& [item, resident] : report.resident) {
    known += resident.bytes;
  }
  return std::max<std::int64_t>(0, report.memory_used - known);
}

}  // namespace

ServerLedger ApplyReport(ServerLedger ledger, const ServerReport& report,
                         TimePoint sampled_at, bool checks_fencing,
                         const std::map<Fencing, OrderTimes>& times) {
  const bool restarted = ledger.incarnation != report.incarnation;
  // An order is sent on a connection to one incarnation and cannot arrive after
  // that process has ended. For engines that check order numbers, this rule is
  // not relied on: only a report of the order itself or a newer one settles it.
  if (restarted && !checks_fencing) {
    ledger.unsettled.clear();
  }
  const ReportContext context{report, sampled_at, checks_fencing, times};
  ledger.resident = MergedResidents(ledger, report);
  std::erase_if(ledger.unsettled,
                [&](const Order& order) { return IsSettled(order, context); });
  ledger.incarnation = report.incarnation;
  ledger.other_bytes = UnaccountedBytes(report);
  return ledger;
}

}  // namespace figwell::placement
