#ifndef FIGWELL_PLACEMENT_CONTROLLER_H_
#define FIGWELL_PLACEMENT_CONTROLLER_H_

/** The placement of one failure domain: events in, actions out. */

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"
#include "figwell/placement/leadership.h"
#include "figwell/placement/ledger.h"
#include "figwell/placement/plan.h"
#include "figwell/placement/reports.h"
#include "figwell/store.h"

namespace figwell::placement {

/** Outcome of sending one order to a server. */
enum class OrderAnswer {
  kAccepted,  ///< 202: the engine accepted the order
  kStale,     ///< 409: the engine has seen a newer number
  kNotSent,   ///< no byte of it has left this process, for certain
  kUnknown,   ///< any other result; the engine may have executed the order
};

/** The domain's share of the weight store's limits. */
struct LoadLimits {
  double loads_per_second = 0;
  int loads_at_once = 1;
  int adapters_at_once = 1;

  friend bool operator==(const LoadLimits&, const LoadLimits&) = default;
};

/**
 * Splits the limits evenly over the domains that have engines. The remainder
 * of a division goes to the first domains by name. Each domain gets at least
 * one concurrent load.
 */
LoadLimits DomainLimits(const config::Configuration& configuration,
                        const DomainId& domain);

/** One order that was written to the store, for operators. */
struct MoveRecord {
  /** Time since the start of the epoch in which the order was written. */
  Duration at{};
  ServerId server;
  Order order;

  friend bool operator==(const MoveRecord&, const MoveRecord&) = default;
};

/** What one server holds and which orders to it are unsettled. */
struct ServerStatus {
  bool known = false;   ///< has reported since the lease was acquired
  bool usable = false;  ///< may serve and receive orders
  std::int64_t memory_bytes = 0;
  std::int64_t reserved_bytes = 0;
  std::map<Item, Resident> resident;
  std::vector<Order> unsettled;

  friend bool operator==(const ServerStatus&, const ServerStatus&) = default;
};

/** A snapshot for `GET /v1/status`. */
struct PlacementStatus {
  DomainId domain;
  bool holds_lease = false;
  std::uint64_t epoch = 0;
  std::map<ServerId, ServerStatus> servers;
  /** For each bundle that the domain must hold: servers with a ready replica.
   */
  std::map<Item, std::vector<ServerId>> ready;
  /** The latest orders, oldest first; at most Controller::kMaxMoveRecords. */
  std::vector<MoveRecord> moves;
  std::uint64_t orders_written = 0;
  std::uint64_t ledger_writes = 0;
  std::uint64_t unreadable_ledgers = 0;

  friend bool operator==(const PlacementStatus&,
                         const PlacementStatus&) = default;
};

/** The status as a JSON object. */
std::string ToJson(const PlacementStatus& status);

/** Reads the ledgers of all domains, so that any instance can report a status.
 */
store::Transaction LedgerQuery(std::string_view prefix);

/**
 * The status of each domain from its stored ledgers. They may lag reports by
 * Controller::kLedgerChangeMaxAge, and past moves are missing. Ledgers that
 * cannot be parsed are only counted.
 */
std::map<DomainId, PlacementStatus> ReadLedgers(
    std::string_view prefix, const store::TransactionResult& result,
    const config::Configuration& configuration);

/**
 * Plans the loads and unloads of one domain's servers while it holds the
 * domain's lease. All methods are called on the control thread. The caller
 * executes the actions of each Actions value in order and passes back exactly
 * one result for each; for SendOrder and FetchReport, at most one.
 */
class Controller {
 public:
  static constexpr Duration kPlanInterval = std::chrono::seconds(3);
  static constexpr Duration kReportFetchInterval = std::chrono::seconds(2);
  /** A server with no report for this long is treated as dead. */
  static constexpr Duration kReportTimeout = std::chrono::seconds(10);
  /** An order still unsettled after this is repeated under a new number. */
  static constexpr Duration kOrderEffectTimeout = std::chrono::seconds(10);
  static constexpr Duration kWriteRetryInterval = std::chrono::seconds(1);
  /** After this, the next order is sent without waiting for the answer. */
  static constexpr Duration kAnswerTimeout = std::chrono::seconds(5);
  /**
   * A load that is not resident after this no longer counts towards the limit
   * of concurrent loads.
   */
  static constexpr Duration kLoadTimeout = std::chrono::seconds(60);
  /** Ledger changes from reports are written after this, orders or not. */
  static constexpr Duration kLedgerChangeMaxAge = std::chrono::seconds(10);
  /** One store transaction changes at most this many ledgers. */
  static constexpr std::size_t kMaxLedgersPerWrite = 32;
  static constexpr std::size_t kMaxMoveRecords = 200;

  Controller(InstanceId instance, DomainId domain, std::string_view prefix,
             PlanOptions options = {});

  Actions OnTick(TimePoint now);
  void OnConfiguration(config::ConfigurationPtr configuration);
  void OnDemand(TimePoint now, const DemandReport& report);

  void OnLeaseGranted(TimePoint now, const Result<store::LeaseId>& lease);
  void OnLeaseRenewed(TimePoint now, store::LeaseId lease,
                      const Result<std::chrono::seconds>& remaining);
  Actions OnTransaction(TimePoint now, std::uint64_t id,
                        const Result<store::TransactionResult>& result);
  /** @param requested_at when the FetchReport was executed */
  void OnReport(TimePoint now, const ServerId& server, TimePoint requested_at,
                const Result<ServerReport>& report);
  Actions OnOrderAnswer(TimePoint now, const ServerId& server,
                        const Fencing& fencing, OrderAnswer answer);

  /**
   * Whether an order may still be sent. Called on the sending thread right
   * before the first byte, since the process may have been paused after the
   * action was made.
   */
  bool MaySend(TimePoint now) const { return leadership_.Holds(now); }

  PlacementStatus Status(TimePoint now) const;

 private:
  /** All that is known about one server in the current epoch. */
  struct ServerRecord {
    ServerLedger ledger;
    store::Revision revision = 0;
    bool readable = true;
    bool known = false;
    bool draining = false;
    std::int64_t memory_bytes = 0;
    TimePoint sampled_at;
    TimePoint next_fetch_at;
    /** Since when the ledger differs from the stored one. */
    std::optional<TimePoint> changed_at;
    std::map<Fencing, OrderTimes> times;
    /** Written but not yet sent, oldest first; sent one at a time. */
    std::deque<Order> to_send;
    std::optional<Fencing> in_exchange;
    TimePoint exchange_started_at;
  };

  /** A ledger write whose outcome is not yet known. */
  struct PendingWrite {
    std::uint64_t id = 0;
    store::Transaction transaction;
    std::map<ServerId, ServerLedger> ledgers;
    std::map<ServerId, std::vector<Order>> orders;
    bool in_flight = false;
    /** An earlier attempt may have been executed by the store. */
    bool may_be_written = false;
    TimePoint retry_at;
  };

  void StartEpoch(TimePoint now, const std::vector<store::KeyValue>& values);
  void EndEpoch(TimePoint now);
  Actions FetchReports(TimePoint now);
  Actions ContinueSending(TimePoint now);

  Actions Plan(TimePoint now);
  std::map<ServerId, ServerView> MakeServerViews(TimePoint now) const;
  std::set<Item> OverdueItems(TimePoint now, const ServerRecord& record) const;
  int LoadsAllowed(TimePoint now, bool adapters) const;
  void RefillLoadTokens(TimePoint now);
  Actions WriteOrders(TimePoint now, const std::vector<Move>& moves);
  void AddUnwrittenLedgers(TimePoint now, PendingWrite& write) const;
  store::Transaction LedgerTransaction(const PendingWrite& write) const;
  Actions AttemptWrite(TimePoint now);
  Actions OnWriteAnswer(TimePoint now,
                        const Result<store::TransactionResult>& result);
  bool IsOurWrite(const store::TransactionResult& result) const;
  Actions FinishWrite(TimePoint now, store::Revision revision);
  Actions SendNext(TimePoint now, const ServerId& server);
  void RecordMove(TimePoint now, const ServerId& server, const Order& order);

  DomainId domain_;
  PlanOptions options_;
  Leadership leadership_;
  config::ConfigurationPtr configuration_;
  std::map<Item, Bundle> bundles_;
  Homes homes_;
  LoadLimits limits_;
  DemandTracker demand_;

  bool is_leader_ = false;
  TimePoint epoch_started_at_;
  TimePoint next_plan_at_;
  TimePoint load_tokens_refilled_at_;
  double load_tokens_ = 0;
  std::map<ServerId, ServerRecord> server_records_;
  std::optional<PendingWrite> pending_write_;
  std::uint64_t next_id_ = 1;
  std::uint64_t acquisition_id_ = 0;

  std::deque<MoveRecord> move_records_;
  std::uint64_t orders_written_ = 0;
  std::uint64_t ledger_writes_ = 0;
};

}  // namespace figwell::placement

#endif  // FIGWELL_PLACEMENT_CONTROLLER_H_
