#ifndef FIGWELL_PLACEMENT_REPORTS_H_
#define FIGWELL_PLACEMENT_REPORTS_H_

/** Reports of servers about their memory, and of gateways about demand. */

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"
#include "figwell/placement/ledger.h"

namespace figwell::placement {

/** An engine's answer to `GET /report`. */
struct ServerReport {
  std::string incarnation;
  /** Age of the report when it was sent. */
  Duration age{};
  bool draining = false;
  std::int64_t memory_bytes = 0;
  std::int64_t memory_used = 0;
  std::int64_t outstanding_tokens = 0;
  /** The newest order that the engine has executed. */
  Fencing last_order;
  std::map<Item, Resident> resident;

  friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

/** Parses an engine's report (docs/ENGINE.md); kProtocol if it is not one. */
Result<ServerReport> ReportFromJson(std::string_view json);

/** When this process wrote an order and received the answer to it. */
struct OrderTimes {
  TimePoint written;
  /** The server accepted the order (202). */
  std::optional<TimePoint> accepted;

  friend bool operator==(const OrderTimes&, const OrderTimes&) = default;
};

/**
 * Applies a report that was made no earlier than `sampled_at` to the ledger.
 *
 * Requires that the report is newer than all earlier ones and than the start of
 * the epoch. Orders without an entry in `times` are treated as written before
 * the epoch.
 *
 * @param checks_fencing whether the engine rejects old order numbers
 */
ServerLedger ApplyReport(ServerLedger ledger, const ServerReport& report,
                         TimePoint sampled_at, bool checks_fencing,
                         const std::map<Fencing, OrderTimes>& times);

/** Removes an order that has certainly not left this process. */
ServerLedger WithoutOrder(ServerLedger ledger, const Fencing& fencing);

/** Tokens requested of one item in a gateway's reporting interval. */
struct DemandEntry {
  ModelId model;
  VersionId version;
  AdapterId adapter;
  /** Includes the tokens of refused requests. */
  std::uint64_t tokens = 0;

  friend bool operator==(const DemandEntry&, const DemandEntry&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(model, version, adapter, tokens);
  }
};

/** Demand that one gateway measured since its previous report. */
struct DemandReport {
  InstanceId gateway;
  std::uint64_t sequence = 0;
  std::uint32_t interval_ms = 0;
  std::vector<DemandEntry> entries;

  friend bool operator==(const DemandReport&, const DemandReport&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(gateway, sequence, interval_ms, entries);
  }
};

/** Tokens per second for each model and version, adapters included. */
using Demand = std::map<Item, double>;

/**
 * Sums the gateways' reports into smoothed rates. Repeated or reordered reports
 * of a gateway are dropped. A gateway's rates stop counting if there is no
 * report for kGatewayReportTimeout.
 */
class DemandTracker {
 public:
  /** Time constant: the weight of a report falls to 1/e after this. */
  static constexpr Duration kSmoothingTime = std::chrono::seconds(10);
  static constexpr Duration kGatewayReportTimeout = std::chrono::seconds(60);

  void Add(TimePoint now, const DemandReport& report);

  /** The sum over the gateways with a report within kGatewayReportTimeout. */
  Demand Rates(TimePoint now) const;

 private:
  struct Gateway {
    std::uint64_t sequence = 0;
    TimePoint last_report_at;
    Demand rates;
  };

  std::map<InstanceId, Gateway> gateways_;
};

}  // namespace figwell::placement

#endif  // FIGWELL_PLACEMENT_REPORTS_H_
