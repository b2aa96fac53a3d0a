// Compares methods of choosing a server in virtual time and with fixed seeds,
// and measures the costs of claims, choices, snapshots and cache transfers.

#include <fmt/core.h>

#include <chrono>
#include <string>
#include <string_view>
#include <thread>

#include "claim_cost.h"
#include "simulation.h"

namespace figwell::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 3;

std::vector<BaselineChooser> MakeBaselineChoosers(Baseline kind,
                                                  const Plan& plan) {
  std::vector<BaselineChooser> choosers;
  choosers.reserve(plan.size.gateways);
  for (int i = 0; i < plan.size.gateways; ++i) {
    choosers.emplace_back(kind, plan.seed * 100 + i);
  }
  return choosers;
}

std::vector<FigwellChooser> MakeFigwellChoosers(
    const routing::BalancerPolicy& policy, const Plan& plan) {
  std::vector<FigwellChooser> choosers;
  choosers.reserve(plan.size.gateways);
  for (int i = 0; i < plan.size.gateways; ++i) {
    choosers.emplace_back(DomainId(std::to_string(i % plan.size.domains)),
                          plan.seed * 100 + i, policy);
  }
  return choosers;
}

struct Method {
  std::string_view name;
  std::function<Outcome(const Plan&)> run;
};

Method BaselineMethod(std::string_view name, Baseline kind) {
  return {name, [kind](const Plan& plan) {
            return Simulation<BaselineChooser>(plan,
                                               MakeBaselineChoosers(kind, plan))
                .Run();
          }};
}

Method FigwellMethod(std::string_view name,
                     const routing::BalancerPolicy& policy) {
  return {name, [policy](const Plan& plan) {
            return Simulation<FigwellChooser>(plan,
                                              MakeFigwellChoosers(policy, plan))
                .Run();
          }};
}

std::vector<Method> AllMethods() {
  routing::BalancerPolicy no_affinity;
  no_affinity.use_affinity = false;
  routing::BalancerPolicy no_correction;
  no_correction.correct_reports = false;
  return {BaselineMethod("random", Baseline::kRandom),
          BaselineMethod("round robin", Baseline::kRoundRobin),
          BaselineMethod("least reported", Baseline::kLeastReported),
          BaselineMethod("two choices, uncorrected", Baseline::kTwoChoices),
          FigwellMethod("figwell without correction", no_correction),
          FigwellMethod("figwell without affinity", no_affinity),
          FigwellMethod("figwell", {})};
}

void PrintChoices(const UserSize& size, std::span<const Duration> ages) {
  fmt::print("\n{}: {}+{} servers, {} models, {} teams, {:.0f} requests/s\n",
             size.name, size.pool_servers, size.desk_servers, size.models,
             size.teams, size.requests_per_second);
  fmt::print("{:<27}{:>7}{:>10}{:>10}{:>8}{:>10}{:>10}\n", "choice", "age s",
             "attained", "/accel/s", "worst", "hit rate", "first p95");
  for (const Duration age : ages) {
    for (const Method& method : AllMethods()) {
      Tally all;
      double per_accelerator = 0;
      double worst = 1;
      double hit_rate = 0;
      Duration first_token_p95{0};
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Plan plan;
        plan.size = size;
        plan.max_report_age = age;
        plan.seed = seed;
        Outcome outcome = method.run(plan);
        all.requests += outcome.all.requests;
        all.attained += outcome.all.attained;
        per_accelerator += outcome.AttainedPerAcceleratorSecond() / kSeeds;
        worst = std::min(worst, outcome.MinTeamAttainedFraction());
        hit_rate += outcome.HitRate() / kSeeds;
        first_token_p95 = std::max(first_token_p95, outcome.FirstTokenP95());
      }
      fmt::print("{:<27}{:>7.1f}{:>9.1f}%{:>10.3f}{:>7.1f}%{:>9.1f}%{:>7} ms\n",
                 method.name, static_cast<double>(age.count()) / 1e6,
                 100 * all.AttainedFraction(), per_accelerator, 100 * worst,
                 100 * hit_rate, first_token_p95 / milliseconds(1));
    }
  }
}

void PrintHalfDies(const UserSize& size) {
  constexpr std::size_t kDeathSecond = 20;
  Plan plan;
  plan.size = size;
  plan.size.requests_per_second /= 2;
  plan.half_dies_at = seconds(kDeathSecond);
  plan.length = seconds(40);
  Plan unbounded = plan;
  unbounded.retry_fraction = 1000;
  unbounded.retry_reserve = 1'000'000;
  const Outcome unbounded_outcome =
      BaselineMethod("", Baseline::kRandom).run(unbounded);
  const Outcome figwell_outcome = FigwellMethod("", {}).run(plan);
  fmt::print(
      "\n{}: half of the servers die at {} s, {:.0f} requests/s\n"
      "{:>4}{:>22}{:>10}{:>22}{:>10}\n",
      size.name, kDeathSecond, plan.size.requests_per_second, "s",
      "unbounded: attempts", "failed", "figwell: attempts", "failed");
  for (std::size_t i = kDeathSecond - 2; i < kDeathSecond + 16; ++i) {
    const auto per_request = [](const Second& second) {
      return static_cast<double>(second.attempts) /
             static_cast<double>(
                 std::max<std::uint64_t>(1, second.new_requests));
    };
    fmt::print("{:>4}{:>22.2f}{:>10}{:>22.2f}{:>10}\n", i,
               per_request(unbounded_outcome.seconds[i]),
               unbounded_outcome.seconds[i].failed,
               per_request(figwell_outcome.seconds[i]),
               figwell_outcome.seconds[i].failed);
  }
}

/** Nanoseconds per choice with its end; `threads` share one balancer. */
double MeasureChoice(int servers, int threads) {
  constexpr int kChoices = 200'000;
  config::Configuration configuration;
  routing::FleetStatus updates;
  const config::ModelTarget target{ModelId("m"), VersionId("1"), {}};
  const TimePoint now{seconds(1000)};
  for (int i = 0; i < servers; ++i) {
    const ServerId id(std::to_string(1000 + i));
    configuration.servers[id].failure_domain = DomainId(std::to_string(i % 3));
    updates.reports[id].measured_at = now;
    updates.reports[id].ready = {target};
  }
  routing::Balancer balancer(DomainId("0"), 1);
  balancer.SetFleet(
      now, std::make_shared<const routing::FleetView>(configuration, updates));
  const auto work = [&] {
    routing::RequestFacts facts{target, 500, 0};
    for (int i = 0; i < kChoices; ++i) {
      facts.prefix = 1 + i % 50;
      const auto choice = balancer.Choose(now, facts);
      balancer.End(now, *choice, routing::AttemptOutcome::kSuccess);
    }
  };
  const auto begin = std::chrono::steady_clock::now();
  std::vector<std::thread> workers;
  workers.reserve(threads);
  for (int i = 0; i < threads; ++i) {
    workers.emplace_back(work);
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count() / kChoices / threads;
}

void PrintCost() {
  fmt::print(
      "\ncost of a choice with its end; all threads share one balancer\n");
  fmt::print("{:>10}{:>10}{:>14}\n", "servers", "threads", "ns each");
  for (const int servers : {4, 20, 100, 500}) {
    for (const int threads : {1, 4}) {
      fmt::print("{:>10}{:>10}{:>14.0f}\n", servers, threads,
                 MeasureChoice(servers, threads));
    }
  }
}

/** Microseconds to build a snapshot and put it in force. */
double MeasureSnapshot(int servers) {
  constexpr int kSnapshots = 20;
  constexpr int kModelsPerServer = 8;
  config::Configuration configuration;
  routing::FleetStatus updates;
  for (int i = 0; i < servers; ++i) {
    const ServerId id(std::to_string(10'000 + i));
    configuration.servers[id].failure_domain = DomainId(std::to_string(i % 10));
    for (int m = 0; m < kModelsPerServer; ++m) {
      updates.reports[id].ready.push_back(
          {ModelId(std::to_string((i * kModelsPerServer + m) % 940)),
           VersionId("1"),
           {}});
    }
  }
  routing::Balancer balancer(DomainId("0"), 1);
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kSnapshots; ++i) {
    balancer.SetFleet(
        TimePoint(seconds(i)),
        std::make_shared<const routing::FleetView>(configuration, updates));
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - begin;
  return elapsed.count() / kSnapshots;
}

void PrintSnapshotCost() {
  fmt::print("\nbuilding a snapshot and putting it in force\n{:>10}{:>14}\n",
             "servers", "us each");
  for (const int servers : {23, 270, 2700}) {
    fmt::print("{:>10}{:>14.0f}\n", servers, MeasureSnapshot(servers));
  }
}

void PrintCacheMove() {
  // A model of 8 billion parameters with grouped-query attention.
  constexpr double kBytesPerToken = 2.0 * 32 * 8 * 128 * 2;
  // For the orders to export and to import.
  constexpr double kSetUpSeconds = 0.005;
  const EngineParameters engine;
  const double prefill = static_cast<double>(engine.prefill_per_token.count()) /
                         1e6 / engine.accelerators;
  fmt::print(
      "\nmoving a KV cache compared with a new prefill ({:.0f} bytes and "
      "{:.0f} "
      "us per token)\n{:>9}{:>12}{:>14}{:>14}{:>14}\n",
      kBytesPerToken, prefill * 1e6, "tokens", "prefill ms", "1 Gbit/s ms",
      "10 Gbit/s ms", "100 Gbit/s ms");
  for (const int tokens : {1000, 4000, 16'000, 64'000}) {
    const auto move = [&](double gigabits) {
      return 1000 *
             (kSetUpSeconds + tokens * kBytesPerToken * 8 / (gigabits * 1e9));
    };
    fmt::print("{:>9}{:>12.0f}{:>14.0f}{:>14.0f}{:>14.0f}\n", tokens,
               1000 * prefill * tokens, move(1), move(10), move(100));
  }
  fmt::print("moving is faster above {:.0f} Gbit/s for one cache at a time\n",
             kBytesPerToken * 8 / prefill / 1e9);
}

}  // namespace
}  // namespace figwell::bench

int main() {
  using std::chrono::milliseconds;
  const std::vector<figwell::Duration> ages = {
      milliseconds(100), milliseconds(500), milliseconds(2000),
      milliseconds(5000)};
  const std::vector<figwell::Duration> peak_ages = {milliseconds(500),
                                                    milliseconds(5000)};
  constexpr double kPeakFactor = 1.15;
  for (figwell::bench::UserSize size :
       {figwell::bench::Rahnuma(), figwell::bench::Karaca()}) {
    figwell::bench::PrintChoices(size, ages);
    size.requests_per_second *= kPeakFactor;
    figwell::bench::PrintChoices(size, peak_ages);
  }
  figwell::bench::PrintHalfDies(figwell::bench::Rahnuma());
  figwell::bench::PrintClaims();
  figwell::bench::PrintCost();
  figwell::bench::PrintSnapshotCost();
  figwell::bench::PrintCacheMove();
  return 0;
}
