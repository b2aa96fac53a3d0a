#include "scale.h"

#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "fleet.h"
#include "simulated_store.h"

namespace figwell::placement::benchmark {
namespace {

constexpr int kVirtualSeconds = 60;
constexpr double kLoadFraction = 0.45;

/** Processor time of this thread in seconds. */
double ProcessorSeconds() {
  timespec cpu_time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
  return static_cast<double>(cpu_time.tv_sec) +
         static_cast<double>(cpu_time.tv_nsec) / 1e9;
}

/** Runs `work` and adds its processor time to `total`. */
template <class Work>
auto Timed(double& total, Work work) {
  const double start = ProcessorSeconds();
  auto result = work();
  total += ProcessorSeconds() - start;
  return result;
}

/** An engine that executes orders immediately. */
struct Engine {
  ServerLedger state;
  Fencing last_order;

  std::string Report() const {
    std::string text =
        R"({"age_ms":0,"memory_bytes":128000000000,"memory_used":0,)"
        R"("last_order":{"epoch":)";
    text += std::to_string(last_order.epoch) + R"(,"order":)" +
            std::to_string(last_order.order) + "},";
    return text + ToText(state).substr(1);
  }

  void Apply(const Order& order) {
    last_order = order.fencing;
    if (order.action == Action::kLoad) {
      state.resident[order.item] = {order.bytes, ItemState::kReady};
    } else {
      state.resident.erase(order.item);
    }
  }
};

/** One domain's controller with engines and a store that answer immediately. */
class Domain {
 public:
  explicit Domain(const FleetSize& size)
      : fleet_(
            std::make_shared<config::Configuration>(MakeFleet(size, 1, 0.5))),
        domain_(fleet_->domains.begin()->first),
        controller_(InstanceId(std::string("bench")), domain_, "/figwell/") {
    layout_seconds = ProcessorSeconds();
    controller_.OnConfiguration(fleet_);
    layout_seconds = ProcessorSeconds() - layout_seconds;
    const Layout layout = MakeLayout(*fleet_);
    const auto bundles = MakeBundles(*fleet_);
    for (const auto& [id, server] : fleet_->servers) {
      if (server.failure_domain == domain_) {
        engines[id].state.incarnation = std::string("0123456789abcdef");
        capacity += server.accelerators * PlanOptions{}.accelerator_rate;
      }
    }
    // Starts with a filled fleet: each server holds the bundles, with adapters,
    // that the layout assigns to it.
    models = layout.homes.at(domain_).size();
    for (const auto& [base, home] : layout.homes.at(domain_)) {
      auto& resident = engines.at(home).state.resident;
      const Bundle& bundle = bundles.at(base);
      resident[base] = {bundle.bytes, ItemState::kReady};
      for (const auto& [item, bytes] : bundle.adapters) {
        resident[item] = {bytes, ItemState::kReady};
      }
    }
  }

  const config::Configuration& fleet() const { return *fleet_; }

  void RunSecond(int second, const Demand& demand) {
    now_ = TimePoint(std::chrono::seconds(1000 + second));
    DemandReport report{InstanceId(std::string("gateway")),
                        static_cast<std::uint64_t>(second + 1),
                        1000,
                        {}};
    for (const auto& [item, rate] : demand) {
      report.entries.push_back({item.model, item.version, item.adapter,
                                static_cast<std::uint64_t>(rate)});
    }
    controller_.OnDemand(now_, report);
    double tick = 0;
    const Actions actions =
        Timed(tick, [&] { return controller_.OnTick(now_); });
    max_tick_seconds = std::max(max_tick_seconds, tick);
    cpu_time += tick;
    for (const ControllerAction& action : actions) {
      ExecuteAction(action);
    }
  }

  PlacementStatus Status() const { return controller_.Status(now_); }

  std::map<ServerId, Engine> engines;
  std::size_t models = 0;
  double capacity = 0;
  double layout_seconds = 0;
  double cpu_time = 0;
  double max_tick_seconds = 0;
  std::size_t bytes_written = 0;

 private:
  void ExecuteAction(const Actions& actions) {
    for (const ControllerAction& action : actions) {
      ExecuteAction(action);
    }
  }

  void ExecuteAction(const ControllerAction& action) {
    if (std::holds_alternative<GrantLease>(action)) {
      controller_.OnLeaseGranted(now_, store_.Grant(now_, Leadership::kTtl));
    } else if (const auto* renew = std::get_if<RenewLease>(&action)) {
      controller_.OnLeaseRenewed(now_, renew->lease,
                                 store_.Renew(now_, renew->lease));
    } else if (const auto* execute = std::get_if<ExecuteTransaction>(&action)) {
      for (const store::Operation& step : execute->transaction.success) {
        const auto* put = std::get_if<store::Put>(&step);
        bytes_written += put == nullptr ? 0 : put->value.size();
      }
      const auto result = store_.Execute(now_, execute->transaction);
      ExecuteAction(Timed(cpu_time, [&] {
        return controller_.OnTransaction(now_, execute->id, result);
      }));
    } else if (const auto* fetch = std::get_if<FetchReport>(&action)) {
      const std::string text = engines.at(fetch->server).Report();
      Timed(cpu_time, [&] {
        controller_.OnReport(now_, fetch->server, now_, ReportFromJson(text));
        return 0;
      });
    } else if (const auto* send = std::get_if<SendOrder>(&action)) {
      engines.at(send->server).Apply(send->order);
      ExecuteAction(Timed(cpu_time, [&] {
        return controller_.OnOrderAnswer(
            now_, send->server, send->order.fencing, OrderAnswer::kAccepted);
      }));
    }
  }

  config::ConfigurationPtr fleet_;
  DomainId domain_;
  Controller controller_;
  SimulatedStore store_;
  TimePoint now_;
};

void Measure(const FleetSize& size) {
  Domain domain(size);
  Workload workload(domain.fleet(), kLoadFraction * domain.capacity, 1);
  for (int second = 0; second < kVirtualSeconds; ++second) {
    domain.RunSecond(second, workload.At(std::int64_t{60} * second));
  }
  std::size_t max_ledger_bytes = 0;
  for (const auto& [id, engine] : domain.engines) {
    max_ledger_bytes = std::max(max_ledger_bytes, ToText(engine.state).size());
  }
  const PlacementStatus status = domain.Status();
  fmt::print(
      "{:<10} {:>7} {:>7} {:>9.2f} {:>9.2f} {:>7.3f} {:>7} {:>7} {:>9} "
      "{:>9}\n",
      size.name, domain.engines.size(), domain.models,
      1e3 * domain.layout_seconds, 1e3 * domain.max_tick_seconds,
      100 * domain.cpu_time / kVirtualSeconds, status.orders_written,
      status.ledger_writes, max_ledger_bytes, domain.bytes_written);
}

}  // namespace

void CompareScale() {
  fmt::print(
      "\nProcessor time of one domain's controller in {} virtual seconds, into "
      "which the demand of an hour is compressed\n",
      kVirtualSeconds);
  fmt::print("{:<10} {:>7} {:>7} {:>9} {:>9} {:>7} {:>7} {:>7} {:>9} {:>9}\n",
             "size", "servers", "models", "layout ms", "worst ms", "% core",
             "orders", "writes", "ledger B", "written B");
  Measure(RahnumaSize());
  Measure(KaracaSize());
  FleetSize fifth = LargeSize();
  fifth.name = "a fifth";
  fifth.servers /= 5;
  fifth.models /= 5;
  fifth.adapters /= 5;
  fifth.loads_per_second /= 5;
  fifth.loads_at_once /= 5;
  Measure(fifth);
  Measure(LargeSize());
}

}  // namespace figwell::placement::benchmark
