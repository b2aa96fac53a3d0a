#include "figwell/serving/spreading.h"

#include <algorithm>
#include <deque>
#include <map>

#include "figwell/serving/balancer.h"
#include "figwell/serving/demand.h"
#include "figwell/testing.h"
#include "one_model.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TEST_CASE("without unreported work the least cost is chosen") {
  CHECK(DrawServer({30, 10, 20}, 0, 0.0) == 1);
  CHECK(DrawServer({30, 10, 20}, 0, 0.99) == 1);
  // Too little work to bring the cheapest server up to the next one.
  CHECK(DrawServer({30, 10, 20}, 9, 0.99) == 1);
}

TEST_CASE("servers that get unreported work end up with equal costs") {
  // 40 ms raise 10 and 20 to 35, and leave 60 unused.
  std::map<std::size_t, int> chosen;
  for (int i = 0; i < 400; ++i) {
    ++chosen[DrawServer({60, 10, 20}, 40, (i + 0.5) / 400)];
  }
  CHECK(chosen[0] == 0);
  CHECK(chosen[1] == 250);
  CHECK(chosen[2] == 150);
}

// Simulates one model requested through many instances that report their loads
// to each other every 200 ms. Servers prefill one prompt after the other.
class Simulation {
 public:
  explicit Simulation(bool spread) : spread_(spread), random_(7) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      balancers_.emplace_back(kOnlyDomain, i + 1, milliseconds(3'000));
    }
    meters_.resize(kInstances);
  }

  void AddServer() {
    const BackendServer server = MakeModelServer(servers_added_++);
    directory_.Put(server);
    free_at_[server.id] = TimePoint{};
  }

  /** @param per_second requests, over all instances */
  void Run(Duration duration, double per_second) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(1)) {
      Deliver();
      if (random_.Unit() * 1'000 < per_second) {
        SendRequest(random_.Below(kInstances));
      }
    }
  }

  /** Time from each request to its first event, in the order sent. */
  const std::vector<Duration>& waits() const { return waits_; }

 private:
  struct Running {
    std::size_t instance = 0;
    AttemptNumber attempt = 0;
  };

  static constexpr std::size_t kInstances = 20;
  static constexpr Tokens kPrompt = 1'500;
  static constexpr milliseconds kPrefillTime{75};
  static constexpr milliseconds kFirstEventLatency{25};
  static constexpr milliseconds kReportInterval{200};

  void Deliver() {
    for (auto next = running_.begin();
         next != running_.end() && next->first <= now_;
         next = running_.erase(next)) {
      const Running& done = next->second;
      balancers_[done.instance].OnFirstByte(now_, done.attempt);
      balancers_[done.instance].OnEnd(now_, done.attempt,
                                      AttemptEnd::kAnswered);
    }
    ExchangeLoads(now_, kReportInterval, balancers_);
  }

  void SendRequest(std::size_t instance) {
    RequestNeeds needs;
    needs.service = kOnlyService;
    needs.target = kOnlyModel;
    needs.prompt_tokens = kPrompt;
    meters_[instance].OnRequest(now_, kOnlyModel, kPrefillTime);
    if (spread_) {
      needs.unreported_work = UnreportedWork(
          meters_[instance].Work(now_, kOnlyModel.model), kInstances);
    }
    const auto choice =
        balancers_[instance].Choose(now_, catalog_, directory_, needs);
    REQUIRE(choice);
    TimePoint& free_at = free_at_[choice->server];
    free_at = std::max(free_at, now_) + kPrefillTime;
    const TimePoint first_event = free_at + kFirstEventLatency;
    waits_.push_back(first_event - now_);
    running_.emplace(first_event, Running{instance, balancers_[instance].OnSent(
                                                        now_, *choice, needs)});
  }

  bool spread_;
  Random random_;
  Catalog catalog_ = MakeOneModelCatalog();
  Directory directory_;
  std::vector<Balancer> balancers_;
  std::vector<DemandMeter> meters_;
  int servers_added_ = 0;
  std::map<ServerId, TimePoint> free_at_;
  std::multimap<TimePoint, Running> running_;
  std::vector<Duration> waits_;
  TimePoint now_{std::chrono::hours(1)};
};

// The fraction of requests whose first event came within the latency target.
double OnTimeFraction(bool spread) {
  constexpr Duration kTarget = milliseconds(800);
  constexpr double kCapacityPerServer = 1'000.0 / 75;
  Simulation simulation(spread);
  for (int i = 0; i < 4; ++i) {
    simulation.AddServer();
  }
  simulation.Run(std::chrono::seconds(4), 3.0 * kCapacityPerServer);
  // Demand moves to the model: queues grow until replicas have been loaded.
  simulation.Run(std::chrono::seconds(2), 5.5 * kCapacityPerServer);
  for (int i = 0; i < 3; ++i) {
    simulation.AddServer();
    simulation.Run(std::chrono::seconds(3), 5.5 * kCapacityPerServer);
  }
  const auto on_time =
      std::count_if(simulation.waits().begin(), simulation.waits().end(),
                    [&](const Duration& wait) { return wait <= kTarget; });
  return static_cast<double>(on_time) /
         static_cast<double>(simulation.waits().size());
}

TEST_CASE(
    "instances do not all send to a newly loaded replica at the same time") {
  const double least_cost = OnTimeFraction(false);
  const double spread = OnTimeFraction(true);
  INFO("on time: least cost " << least_cost << ", spread " << spread);
  CHECK(1 - spread <= (1 - least_cost) * 0.75);
}

}  // namespace
}  // namespace figwell::serving
