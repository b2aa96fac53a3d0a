// Time to admit a request, compared to a plain local bucket and with several
// traffic threads, and time of the queue disciplines.

#include "figwell/admission.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "fairness.h"

namespace figwell::admission {
namespace {

constexpr int kTeams = 200;
constexpr int kKeysPerTeam = 5;
constexpr budget::Limit kLimit{1'000'000'000, 1'000'000'000'000};
const TimePoint kNoDeadline = TimePoint::max();

std::string KeyText(int team, int key) {
  return fmt::format("key-{}-{}", team, key);
}

TeamId TeamName(int team) { return TeamId(fmt::format("team-{}", team)); }

config::ConfigurationPtr MakeConfiguration() {
  config::Configuration configuration;
  configuration.number = 1;
  const ModelId model("review");
  configuration.models[model].versions[VersionId("1")].bytes = 1;
  configuration.models[model].default_version = VersionId("1");
  for (int i = 0; i < kTeams; ++i) {
    config::Team& team = configuration.teams[TeamName(i)];
    team.rate = kLimit.rate;
    team.burst = kLimit.burst;
    team.models = {model};
    for (int key = 0; key < kKeysPerTeam; ++key) {
      team.keys[KeyId(fmt::format("k{}", key))].sha256 =
          Sha256(KeyText(i, key));
    }
  }
  return std::make_shared<const config::Configuration>(configuration);
}

/** State that the traffic threads of a gateway share. */
struct SharedState {
  SharedState() : configuration(MakeConfiguration()), access(configuration) {
    const TimePoint now = MonotonicNow();
    budgets.SetShare(now, {1, 1}, kNoDeadline);
    budgets.Configure(now - std::chrono::hours(1), *configuration);
    for (int i = 0; i < kTeams * kKeysPerTeam; ++i) {
      digests.push_back(Sha256(KeyText(i % kTeams, i / kTeams)));
    }
  }

  config::ConfigurationPtr configuration;
  AccessTable access;
  budget::TeamBudgets budgets;
  std::vector<Digest> digests;
};

SharedState& State() {
  static SharedState shared;
  return shared;
}

void BareBucket(benchmark::State& state) {
  budget::TokenBucket bucket;
  bucket.SetValidUntil(MonotonicNow(), kNoDeadline);
  bucket.Configure(MonotonicNow(), kLimit, {1, 1});
  for (auto _ : state) {
    benchmark::DoNotOptimize(bucket.Spend(MonotonicNow(), 1));
  }
}
BENCHMARK(BareBucket);

/** Spends only, with all threads on the same team. */
void SpendShared(benchmark::State& state) {
  budget::TeamBudget* budget = State().budgets.snapshot()->Find(TeamName(7));
  for (auto _ : state) {
    benchmark::DoNotOptimize(budget->Spend(MonotonicNow, 1));
  }
}
BENCHMARK(SpendShared)->Threads(1)->Threads(2)->Threads(4)->UseRealTime();

/** Access check, cost estimate and spend, over all teams. */
void Admit(benchmark::State& state) {
  SharedState& shared = State();
  const auto budgets = shared.budgets.snapshot();
  RateGate gate(1024);
  const UpperBoundCost cost;
  std::size_t next = static_cast<std::size_t>(state.thread_index()) * 17;
  for (auto _ : state) {
    const Digest& key = shared.digests[next++ % shared.digests.size()];
    const auto access = shared.access.Check(key, "review");
    const TeamId& team = access->owner->team;
    const RateGate::Request request{team,
                                    {access->team->rate, access->team->burst},
                                    cost.Cost({400, 2, 128}, 1024),
                                    kNoDeadline};
    benchmark::DoNotOptimize(
        gate.Arrive(MonotonicNow, *budgets->Find(team), request));
  }
}
BENCHMARK(Admit)->Threads(1)->Threads(2)->Threads(4)->UseRealTime();

template <typename Discipline>
void PushAndPop(benchmark::State& state) {
  const int teams = static_cast<int>(state.range(0));
  FairQueue<Discipline> queue({4096, std::chrono::hours(1)});
  std::vector<TeamId> names;
  names.reserve(static_cast<std::size_t>(teams));
  for (int i = 0; i < teams; ++i) {
    names.push_back(TeamName(i));
  }
  QueuedRequest request;
  request.cost = 700;
  const auto allow = [](const QueuedRequest&, const TeamId&) { return true; };
  std::size_t next = 0;
  for (int i = 0; i < 1000; ++i) {
    queue.Push(names[next++ % names.size()], 1, request);
  }
  for (auto _ : state) {
    queue.Push(names[next++ % names.size()], 1, request);
    benchmark::DoNotOptimize(queue.Pop(TimePoint(), allow));
  }
}
BENCHMARK_TEMPLATE(PushAndPop, VirtualTime)->Arg(5)->Arg(200);
BENCHMARK_TEMPLATE(PushAndPop, DeficitRoundRobin)->Arg(5)->Arg(200);

}  // namespace
}  // namespace figwell::admission

int main(int argc, char** argv) {
  figwell::admission::PrintFairness();
  figwell::admission::PrintEstimates();
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
