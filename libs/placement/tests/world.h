#ifndef FIGWELL_PLACEMENT_TESTS_WORLD_H_
#define FIGWELL_PLACEMENT_TESTS_WORLD_H_

/**
 * Simulates one failure domain in virtual time: a store, engines, controllers,
 * and a network that loses and delays messages. It knows each engine's true
 * memory and every order that may still arrive, and checks the invariants of
 * placement against them.
 */

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "figwell/placement.h"
#include "simulated_store.h"

namespace figwell::placement {

/** How engines check an order's number. */
enum class Check {
  kNone,       ///< not at all
  kEachOrder,  ///< reject numbers that are not newer
  kEachLease,  ///< reject older epochs only
};

struct SimulatedEngine {
  std::int64_t memory_bytes = 0;
  Check check = Check::kEachOrder;
  int incarnation = 1;
  Fencing last_order;
  std::map<Item, Resident> resident;
  std::map<Item, TimePoint> ready_at;
  std::deque<std::pair<TimePoint, ServerReport>> reports;
  TimePoint no_reports_until;
  TimePoint stale_until;

  std::int64_t Used() const;
};

/** The steps of an order, from the plan to the report that confirms it. */
enum class Step { kPlanned, kWritten, kSent, kArrived, kReady, kReported };

class World {
 public:
  static constexpr Duration kTick = std::chrono::milliseconds(500);

  World(config::Configuration configuration, Check check, int controllers);

  void Configure(config::Configuration configuration);
  const config::Configuration& configuration() const { return *configuration_; }
  void SetDemand(const Item& item, double rate) { demand_[item] = rate; }
  void Run(Duration duration);
  void RestartEngine(std::size_t index);
  /** Adds an item that no order loaded, if the engine is empty and new. */
  void AddUnknownItem(std::size_t index);

  /** Whether any engine has exactly this item ready. */
  bool IsReady(const Item& item) const;
  /** Whether any engine has a ready replica of the model, of any version. */
  bool IsReachable(const ModelId& model) const;
  bool AllReachable() const;
  SimulatedEngine& engine(std::size_t index);
  std::size_t engines() const { return engines_.size(); }
  TimePoint now() const { return now_; }
  /** Violations of the invariants so far. */
  const std::vector<std::string>& violations() const { return violations_; }

  // Faults; each is active until its time.
  TimePoint lose_orders_until;
  TimePoint delay_orders_until;
  Duration delay{};
  TimePoint repeat_orders_until;
  TimePoint lose_answers_until;
  TimePoint delay_answers_until;
  TimePoint store_down_until;
  TimePoint store_answers_lost_until;
  TimePoint store_requests_lost_until;
  std::vector<TimePoint> paused_until;
  SimulatedStore store;

  /** Called at each step of an order. */
  std::function<void(Step)> on_step = [](Step) {};

  // Counters and the orders sent so far.
  int loads_sent = 0;
  int stale_orders_applied = 0;
  std::vector<Order> sent;

 private:
  struct Message {
    TimePoint at;
    ServerId server;
    int incarnation = 0;
    Order order;
    std::size_t controller = 0;
    TimePoint emitted_at;
    bool lost = false;
  };

  bool IsPaused(std::size_t index) const { return now_ < paused_until[index]; }
  void Tick();
  void TickController(std::size_t index);
  void Dispatch(std::size_t index, const Actions& actions);
  void Dispatch(std::size_t index, const ControllerAction& action);
  void Execute(std::size_t index, const ExecuteTransaction& action);
  void Fetch(std::size_t index, const ServerId& server);
  void Send(std::size_t index, const SendOrder& action);
  /** Runs `event` for a controller at `at`, or when its pause ends. */
  void Schedule(std::size_t index, TimePoint at,
                std::function<Actions()> event);
  void RunDueEvents();
  void Deliver(const Message& message);
  void ApplyLoad(SimulatedEngine& engine, const Order& order);
  void ApplyUnload(SimulatedEngine& engine, const Message& message);
  void FinishLoads();
  void RecordReports();
  void CheckMemory();
  void SendDemand();

  struct Event {
    std::size_t controller = 0;
    TimePoint at;
    std::function<Actions()> run;
  };

  TimePoint now_;
  config::ConfigurationPtr configuration_;
  std::map<ServerId, SimulatedEngine> engines_;
  std::vector<Controller> controllers_;
  std::vector<Event> events_;
  std::vector<Message> messages_;
  Demand demand_;
  std::uint64_t demand_sequence_ = 0;
  TimePoint last_restart_;
  std::vector<std::string> violations_;
};

/** Servers of 100 bytes; models of 30 bytes, each with one adapter of 2. */
config::Configuration SmallConfiguration(int servers, int models, bool checks);

/** For example `m3`. */
std::string Numbered(std::string_view prefix, std::size_t number);

Item BaseItem(const std::string& model, const std::string& version);

}  // namespace figwell::placement

#endif  // FIGWELL_PLACEMENT_TESTS_WORLD_H_
