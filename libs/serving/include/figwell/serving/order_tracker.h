#ifndef FIGWELL_SERVING_ORDER_TRACKER_H_
#define FIGWELL_SERVING_ORDER_TRACKER_H_

/** Orders to servers with engines, one at a time each; see serving.h. */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
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
   * The number of orders that the server has accepted so far. It refuses the
   * order if the number is another, so that an order that arrives late, or
   * twice, finds the state it was made for or has no effect.
   */
  std::int64_t expected = 0;

  friend bool operator==(const Order&, const Order&) = default;
};

/** What came of an order. */
enum class OrderOutcome {
  kAccepted,
  kAlreadyHolds,
  kConflict,  ///< another order is under way, or the number is another
  kRejected,  ///< not carried out, and never will be
  kUnknown,   ///< no answer: it may be carried out, also seconds later
};

std::string_view Name(OrderOutcome outcome);

/** What an engine says of its memory. */
struct EngineReport {
  HeldModels models;
  /** Adapters under way to the server. */
  std::set<ModelTarget> pending;
  /** Models whose weights are on the server's disk or in its memory. */
  std::set<ModelId> local_weights;
  std::int64_t accepted = 0;  ///< orders accepted since its start
  bool busy = false;          ///< carries out an order for a model

  friend bool operator==(const EngineReport&, const EngineReport&) = default;
};

/** What the leader knows of one server's memory. */
struct EngineView {
  HeldModels models;
  std::set<ModelId> local_weights;
  /** A model whose order is under way. */
  std::optional<ModelId> loading;
  /** The order under way is an unload. */
  bool unloading = false;
  TimePoint load_done;  ///< when the load should have ended
  std::int64_t accepted = 0;

  friend bool operator==(const EngineView&, const EngineView&) = default;
};

/**
 * The leader's view of each server's memory and of the order that is under
 * way there. An order leaves only if a report has shown the server's state and
 * nothing that this process sent since is without an answer. Since each order
 * carries the number of orders accepted before it, a late order that is
 * carried out was made for exactly the state that it finds.
 */
class OrderTracker {
 public:
  /** Forgets all, as a new leader has to. */
  void Clear();
  void Forget(const ServerId& server);

  /** Whether the server's report should be read now. */
  bool NeedsReport(TimePoint now, const ServerId& server) const;
  void OnReportRequested(TimePoint now, const ServerId& server);
  /**
   * @return what the server holds although peers may think that it does not: a
   *   load has ended, or an unload without an answer was not carried out so far
   */
  std::optional<ModelTarget> OnReport(TimePoint now, const ServerId& server,
                                      const EngineReport& report);
  void OnReportFailed(TimePoint now, const ServerId& server);

  /**
   * Compares the server's state with its entry in the registry. If they differ
   * for longer than the entry may be old, the report is read again: an order
   * that was given up may have been carried out late.
   * @param lag how old the entry may be
   */
  void Reconcile(TimePoint now, const ServerId& server,
                 const HeldModels& registered, Duration lag);

  /** The server's state; null unless it may be given an order now. */
  const EngineView* FindOrderable(TimePoint now, const ServerId& server) const;
  /** The server's state as far as known, also while an order is under way. */
  const EngineView* Find(const ServerId& server) const;

  /**
   * The server as plans see it, orders under way included.
   * @param registered what its entry in the registry says it holds, for a
   *   server whose report has not been read
   */
  EngineState StateOf(TimePoint now, const ServerId& server,
                      const HeldModels& registered) const;

  /** Notes an order as sent. Precondition: Orderable. */
  Order Begin(TimePoint now, const ServerId& server, OrderAction action,
              const ModelTarget& target);
  /** @param load_time how long a load of the target takes, if accepted */
  void OnOutcome(TimePoint now, const Order& order, OrderOutcome outcome,
                 Duration load_time);

  /** A model whose load was ordered, and perhaps accepted. */
  std::optional<ModelId> PossiblyLoading(const ServerId& server) const;
  /** Whether a load of the model was ordered and may not have ended. */
  bool Loading(const ServerId& server, const ModelId& model) const;
  /** Loads of models that have not ended, over all servers. */
  int LoadsUnderWay() const;

 private:
  struct State {
    EngineView view;
    bool known = false;
    bool asked = false;
    TimePoint ask_at;
    std::optional<Order> sent;
    /** Had no answer, and no report has shown yet what came of it. */
    std::optional<Order> unsure;
    /** The registry says otherwise. */
    bool doubted = false;
    /** The last change by an order of this process. */
    TimePoint changed;
    /** When a report was last believed. */
    TimePoint reported;
  };

  std::map<ServerId, State> states_;
};

/**
 * Paces loads from the weight store. A new leader does not know what the one
 * before it has begun, so it begins with the window used up.
 */
class LoadRateLimiter {
 public:
  void Configure(double loads_per_second);
  /** Starts again with nothing allowed. */
  void Reset(TimePoint now);
  int Allowed(TimePoint now);
  void OnLoad(TimePoint now);

 private:
  void Refill(TimePoint now);

  double rate_ = 0;
  double level_ = 0;
  TimePoint last_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_ORDER_TRACKER_H_
