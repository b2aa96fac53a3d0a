#include <algorithm>
#include <map>
#include <vector>

#include "figwell/serving/order_tracker.h"
#include "figwell/testing.h"
#include "played_orders.h"

// Guards against more loads than the weight store allows, since loads that were
// ordered seconds before begin together with those that are ordered now.
// Simulates, in virtual time, a leader that orders as many loads as it may, and
// servers that execute a fraction of the orders late.

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

constexpr int kServers = 40;
constexpr int kSeeds = 200;
constexpr milliseconds kLoadTime{1'200};
constexpr double kLoadsPerSecond = 2.1;
// The store's limit: the rate over this time and a tenth more, plus 3 loads.
constexpr milliseconds kWindow{5'000};
constexpr double kMaxInWindow = kLoadsPerSecond * 5 * 1.1 + 3;

/** A server with room for any number of models. */
struct Engine {
  HeldModels held;
  OrderExecution execution{kLoadTime};
  std::vector<LateOrder> late_orders;
  std::vector<TimePoint> begun;

  bool Accept(TimePoint now, const Order& order) {
    if (!execution.Begin(now, order)) {
      return false;
    }
    begun.push_back(now);
    return true;
  }

  void Advance(TimePoint now) {
    if (const auto loaded = execution.End(now)) {
      held[*loaded] = {};
    }
    ExecuteLateOrders(now, *this);
  }
};

class Simulation {
 public:
  explicit Simulation(std::uint64_t seed) : random_(seed) {
    limiter_.Configure(kLoadsPerSecond);
  }

  void Run() {
    for (now_ = TimePoint(milliseconds(1'000));
         now_ < TimePoint(kSimulatedTime); now_ += kTick) {
      for (int i = 0; i < kServers; ++i) {
        engines_[Server(i)].Advance(now_);
      }
      orders_.DeliverResponses(now_, tracker_);
      ReadReports();
      limiter_.OnLoads(now_, tracker_.TakeLateStoreLoads());
      if (now_.time_since_epoch() % kPause < kBusy) {
        OrderLoads();
      }
    }
  }

  std::vector<TimePoint> Begun() const {
    std::vector<TimePoint> begun;
    for (const auto& [id, engine] : engines_) {
      begun.insert(begun.end(), engine.begun.begin(), engine.begun.end());
    }
    std::sort(begun.begin(), begun.end());
    return begun;
  }

 private:
  // Demand shifts now and then, so that loads may start in a burst.
  static constexpr milliseconds kPause{9'000};
  static constexpr milliseconds kBusy{6'000};

  void ReadReports() {
    for (auto& [id, engine] : engines_) {
      if (tracker_.NeedsReport(now_, id)) {
        tracker_.OnReportRequested(now_, id);
        EngineReport report;
        report.models = engine.held;
        report.accepted = engine.execution.accepted();
        report.busy = engine.execution.busy();
        tracker_.OnReport(now_, id, report);
      }
    }
  }

  void OrderLoads() {
    int allowed =
        limiter_.Allowed(now_, tracker_.ServersWithLateStoreLoads(now_));
    const int first = static_cast<int>(random_.Below(kServers));
    for (int i = 0; i < kServers && allowed > 0; ++i) {
      const ServerId id = Server((first + i) % kServers);
      if (tracker_.FindOrderable(now_, id) != nullptr) {
        --allowed;
        limiter_.OnLoads(now_, 1);
        const Order order = tracker_.Begin(now_, id, OrderAction::kLoad,
                                           {Model(next_model_++), {}});
        orders_.Send(now_, order, random_, engines_[id]);
      }
    }
  }

  Random random_;
  TimePoint now_;
  std::map<ServerId, Engine> engines_;
  OrderTracker tracker_;
  LoadRateLimiter limiter_;
  PlayedOrders orders_{kLoadTime};
  int next_model_ = 0;
};

int MostInWindow(const std::vector<TimePoint>& begun) {
  int most = 0;
  for (auto first = begun.begin(); first != begun.end(); ++first) {
    const auto end = std::lower_bound(first, begun.end(), *first + kWindow);
    most = std::max(most, static_cast<int>(end - first));
  }
  return most;
}

TEST_CASE("late loads and others stay within the weight store's rate") {
  std::size_t all_begun = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(seed);
    simulation.Run();
    const std::vector<TimePoint> begun = simulation.Begun();
    CAPTURE(seed);
    CHECK(MostInWindow(begun) <= kMaxInWindow);
    all_begun += begun.size();
  }
  // Of those that the rate allows in the busy times, less late and equal ones.
  CHECK(all_begun / kSeeds >= 100);
}

}  // namespace
}  // namespace figwell::serving
