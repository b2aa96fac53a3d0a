#ifndef FIGWELL_SERVING_ORDER_TRACKER_H_
#define FIGWELL_SERVING_ORDER_TRACKER_H_

/**
 * Tracks orders to servers with engines, one at a time per server; see
 * serving.h.
 */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"
#include "figwell/serving/engine_state.h"

namespace figwell::serving {

enum class OrderAction { kLoad, kUnload };

std::string_view Name(OrderAction action);

struct Order {
  ServerId server;
  OrderAction action = OrderAction::kLoad;
  ModelTarget target;
  /**
   * The number of orders that the server has accepted so far. The server
   * rejects the order if its own count differs. An order that arrives late or
   * twice thus either finds the state it was made for or has no effect.
   */
  std::int64_t expected = 0;

  friend bool operator==(const Order&, const Order&) = default;
};

/** The result of an order. */
enum class OrderOutcome {
  kAccepted,
  kAlreadyHolds,
  kConflict,  ///< another order is in progress, or `expected` differs
  kRejected,  ///< not executed, and never will be
  kUnknown,   ///< no response: it may be executed, even seconds later
};

std::string_view Name(OrderOutcome outcome);

/** An engine's report of its memory. */
struct EngineReport {
  HeldModels models;
  /** Adapters that are being loaded. */
  std::set<ModelTarget> pending;
  /** Models whose weights are on the server's disk or in its memory. */
  std::set<ModelId> local_weights;
  std::int64_t accepted = 0;  ///< orders accepted since its start
  bool busy = false;          ///< executes an order for a model
  /** BackendServer::started_ms; 0 if the report does not state it. */
  std::int64_t started_ms = 0;

  /**
   * Whether the report can be of the start with this registry entry. Until the
   * registry has the start that a report is of, orders to the start before may
   * be under way that nobody here expects.
   */
  bool IsOfStart(std::int64_t registered_ms) const {
    return started_ms == 0 || started_ms == registered_ms;
  }

  friend bool operator==(const EngineReport&, const EngineReport&) = default;
};

/** The leader's view of one server's memory. */
struct EngineView {
  HeldModels models;
  std::set<ModelId> local_weights;
  /** The model of the order in progress; empty if it is not known. */
  std::optional<ModelId> loading;
  /** The order in progress is an unload. */
  bool unloading = false;
  TimePoint expected_end;  ///< when that order should have ended
  std::int64_t accepted = 0;

  /** Whether a load of the target takes its weights from the weight store. */
  bool LoadsFromStore(const ModelTarget& target) const {
    return target.adapter.empty() && !local_weights.contains(target.model);
  }

  friend bool operator==(const EngineView&, const EngineView&) = default;
};

/**
 * The leader's view of each server's memory and of the order in progress
 * there. An order is sent only after a report has shown the server's state, and
 * while no order that this process sent since awaits its response. Since each
 * order carries the number of orders accepted before it, an order that is
 * executed late was made for exactly the state that it finds, unless the server
 * has started again: its count starts anew, and reaches that number in another
 * state. So an order without a response is remembered until it can no longer be
 * executed, and after a restart room is kept for what it loads.
 */
class OrderTracker {
 public:
  /**
   * An order without a response is executed within this time or never. The
   * users state "seconds".
   */
  static constexpr Duration kMaxOrderDelay = std::chrono::seconds(15);

  /** Drops the views of all servers. A new leader starts from new reports. */
  void Clear();
  /** The server is gone, or has started again under the same id. */
  void RemoveServer(const ServerId& server);
  /**
   * The server has started again, and another process may have sent an order
   * to its earlier start.
   */
  void ExpectLateLoad(TimePoint now, const ServerId& server);
  /**
   * The server may have started again: another process may have sent an order
   * to an earlier start, at `sent_at` at the latest. A report of more than was
   * ordered shows that there was none, since servers start again empty.
   */
  void SuspectLateLoad(TimePoint now, const ServerId& server,
                       TimePoint sent_at);
  /** No process had sent an order before: no suspicion holds. */
  void ForgetSuspectedLoads();
  /** Servers at which room is kept for late loads. */
  int ServersWithLateLoads(TimePoint now) const;
  /**
   * Servers that may yet begin to load weights from the weight store for an
   * order that they have not answered in time.
   */
  int ServersWithLateStoreLoads(TimePoint now) const;
  /** Late loads from the weight store that reports have shown since. */
  int TakeLateStoreLoads() { return std::exchange(late_store_loads_, 0); }

  /** Whether the server's report should be requested now. */
  bool NeedsReport(TimePoint now, const ServerId& server) const;
  void OnReportRequested(TimePoint now, const ServerId& server);
  /**
   * @return a target that the server holds although peers may assume that it
   *   does not: a load has ended, or an unload with an unknown outcome has not
   *   been executed so far
   */
  std::optional<ModelTarget> OnReport(TimePoint now, const ServerId& server,
                                      const EngineReport& report);
  /** @param retry how long until the report is requested again */
  void OnReportFailed(TimePoint now, const ServerId& server, Duration retry);

  /**
   * Compares the server's state with its entry in the registry. If they differ
   * and the last order and the last report are at least `lag` old, a new report
   * is needed: an order that timed out may have been executed late.
   * @param lag maximum age of the entry
   */
  void Reconcile(TimePoint now, const ServerId& server,
                 const HeldModels& registered, Duration lag);

  /** The server's state; null unless it may be sent an order now. */
  const EngineView* FindOrderable(TimePoint now, const ServerId& server) const;
  /**
   * The server's state, also while an order is in progress; null if it has to
   * be reported first.
   */
  const EngineView* Find(const ServerId& server) const;

  /**
   * The server as input to the planner, orders in progress included.
   * @param registered the models in its registry entry, used while the server's
   *   state has to be reported first
   */
  EngineState StateOf(TimePoint now, const ServerId& server,
                      const HeldModels& registered) const;

  /** Marks an order as sent. Precondition: FindOrderable is not null. */
  Order Begin(TimePoint now, const ServerId& server, OrderAction action,
              const ModelTarget& target);
  /** @param load_time how long the order takes, if it is accepted */
  void OnOutcome(TimePoint now, const Order& order, OrderOutcome outcome,
                 Duration load_time);

  /** A model whose load was sent and may have been accepted. */
  std::optional<ModelId> PossiblyLoadingModel(const ServerId& server) const;
  /** Whether a load of the model was sent and may still be in progress. */
  bool IsLoading(const ServerId& server, const ModelId& model) const;
  /** Loads and unloads of models in progress, over all servers. */
  int OrdersInProgress() const;

 private:
  struct State {
    EngineView view;
    bool has_current_report = false;
    bool report_requested = false;
    TimePoint next_request_at;
    std::optional<Order> sent_order;
    /** An order with an unknown outcome that no report has shown yet. */
    std::optional<Order> unconfirmed_order;
    /** The registry entry differs; see Reconcile. */
    bool is_suspect = false;
    /** When an order was last sent, or its outcome received. */
    TimePoint order_changed_at;
    /** When a report was last accepted. */
    TimePoint reported_at;
  };

  /** An order that may be executed although it got no response so far. */
  struct UnansweredOrder {
    Order order;
    TimePoint sent_at;
    bool to_earlier_start = false;
    /** It is not known whether there was an earlier start. */
    bool suspected = false;
    /** It loads weights that the server did not have at hand. */
    bool from_weight_store = false;
  };

  static bool IsSuspected(const UnansweredOrder& unanswered) {
    return unanswered.suspected;
  }
  void AddUnknownLoad(TimePoint now, const ServerId& server, TimePoint sent_at,
                      bool suspected);
  void DropSuspectedLoads(const ServerId& server);
  void MarkEarlierStart(const ServerId& server);
  /** @param accepted orders that the server has accepted at least */
  static bool MayBeExecuted(TimePoint now, const UnansweredOrder& unanswered,
                            std::int64_t accepted);
  bool HasLateStoreLoad(TimePoint now, const ServerId& server) const;
  /** Loads that the server's current start may execute late. */
  std::vector<ModelTarget> LateLoads(TimePoint now,
                                     const ServerId& server) const;
  /** Forgets the newest order that equals this one: it got a response. */
  void RemoveAnswered(const Order& order);
  void DropExpiredOrders(TimePoint now);

  std::map<ServerId, State> states_;
  std::map<ServerId, std::vector<UnansweredOrder>> unanswered_;
  int late_store_loads_ = 0;
};

/**
 * Limits the rate of loads from the weight store. A new leader does not know
 * which loads its predecessor started, so it starts with no loads allowed. A
 * load that may begin late is expected to begin together with those that are
 * ordered next: as many fewer of these may start in a burst.
 */
class LoadRateLimiter {
 public:
  void Configure(double loads_per_second);
  /** Starts over with no loads allowed. */
  void Reset(TimePoint now);
  /** @param late_loads that may begin at any time; they never stop others */
  int Allowed(TimePoint now, int late_loads);
  /** Loads were ordered, or have begun late. */
  void OnLoads(TimePoint now, int count);

 private:
  void Refill(TimePoint now);

  double loads_per_second_ = 0;
  double allowance_ = 0;
  TimePoint last_refill_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_ORDER_TRACKER_H_
