#include "faults.h"

#include <fmt/format.h>

#include "world.h"

namespace figwell::placement::benchmark {
namespace {

constexpr int kRuns = 400;

struct FaultCounts {
  int orders = 0;
  int stale = 0;
  std::size_t runs_with_violations = 0;
};

/**
 * Injects one random fault: delayed orders, a paused controller, expired
 * leases, lost answers or a change of demand.
 */
void InjectFault(World& world, Random& random) {
  const auto length = seconds(1 + static_cast<int>(random.Below(12)));
  switch (random.Below(5)) {
    case 0:
      world.delay_orders_until = world.now() + length;
      world.delay = 2 * length;
      break;
    case 1:
      world.paused_until[random.Below(2)] = world.now() + 2 * length;
      break;
    case 2:
      world.store.EndAllLeases();
      break;
    case 3:
      world.lose_answers_until = world.now() + length;
      break;
    default:
      world.SetDemand(
          BaseItem(Numbered("m", random.Below(6)), std::string("1")),
          static_cast<double>(random.Below(1200)));
      break;
  }
}

FaultCounts RunFaults(Check check) {
  FaultCounts count;
  for (int run = 0; run < kRuns; ++run) {
    Random random(static_cast<std::uint64_t>(run));
    config::Configuration configuration = SmallConfiguration(4, 6, true);
    for (auto& [id, server] : configuration.servers) {
      server.memory_bytes = 70;
    }
    World world(std::move(configuration), check, 2);
    world.Run(seconds(10));
    for (int i = 0; i < 20; ++i) {
      InjectFault(world, random);
      world.Run(seconds(random.Below(8)));
    }
    world.Run(seconds(40));
    count.orders += static_cast<int>(world.sent.size());
    count.stale += world.stale_orders_applied;
    count.runs_with_violations += world.violations().empty() ? 0 : 1;
  }
  return count;
}

}  // namespace

void CompareFencingNumbers() {
  fmt::print("\nStale orders that took effect over {} runs with faults\n",
             kRuns);
  fmt::print("{:<22} {:>8} {:>8} {:>24}\n", "number", "orders", "stale",
             "runs that broke a promise");
  const FaultCounts lease = RunFaults(Check::kEachLease);
  fmt::print("{:<22} {:>8} {:>8} {:>24}\n", "one for each lease", lease.orders,
             lease.stale, lease.runs_with_violations);
  const FaultCounts order = RunFaults(Check::kEachOrder);
  fmt::print("{:<22} {:>8} {:>8} {:>24}\n", "one for each order", order.orders,
             order.stale, order.runs_with_violations);
}

}  // namespace figwell::placement::benchmark
