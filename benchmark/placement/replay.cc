#include "replay.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace figwell::placement::benchmark {
namespace {

using std::chrono::seconds;

/** The empty fleet loads its first models in this time; not in the results. */
constexpr std::int64_t kWarmUpSeconds = 300;

struct DomainRun {
  DomainId domain;
  std::unique_ptr<Policy> policy;
  Homes homes;
  LoadLimits limits;
  double load_tokens = 0;
  std::map<ServerId, ServerView> servers;
  /** When each item that is loading becomes ready. */
  std::map<std::pair<ServerId, Item>, TimePoint> loading;
  DemandTracker tracker;
};

class Run {
 public:
  Run(const FleetSize& size, const config::Configuration& fleet,
      PolicyKind kind)
      : fleet_(fleet), bundles_(MakeBundles(fleet)) {
    options_.load_time = std::chrono::microseconds(static_cast<std::int64_t>(
        1e6 * static_cast<double>(size.loads_at_once) / size.loads_per_second));
    Layout layout = MakeLayout(fleet);
    for (auto& [id, homes] : layout.homes) {
      DomainRun& run = domains_.emplace_back();
      run.domain = id;
      run.policy = MakePolicy(kind);
      run.homes = std::move(homes);
      run.limits = DomainLimits(fleet, id);
    }
    for (DomainRun& run : domains_) {
      for (const auto& [id, server] : fleet.servers) {
        if (server.failure_domain == run.domain) {
          run.servers[id] = {
              {}, server.memory_bytes, server.accelerators, {}, true, {}};
          accelerators_ += server.accelerators;
        }
      }
    }
  }

  double Capacity() const { return accelerators_ * options_.accelerator_rate; }

  void Step(std::int64_t second, const Demand& demand) {
    is_measured_ = second >= kWarmUpSeconds;
    now_ = TimePoint(seconds(second + 1));
    for (DomainRun& run : domains_) {
      FinishLoads(run);
    }
    const std::vector<Demand> shares = Route(demand);
    for (std::size_t i = 0; i < domains_.size(); ++i) {
      RecordServed(domains_[i], shares[i]);
      Report(domains_[i], second, shares[i]);
      Plan(domains_[i]);
    }
    CountUnreachable();
  }

  Outcome Finish() {
    outcome_.accelerator_seconds = accelerators_ *
                                   (Workload::kRunSeconds - kWarmUpSeconds) /
                                   Workload::kStepSeconds;
    for (const auto& [id, team] : fleet_.teams) {
      const auto& [requested, served] = by_team_[id];
      if (requested > 0) {
        outcome_.min_team_ratio =
            std::min(outcome_.min_team_ratio, served / requested);
      }
    }
    return outcome_;
  }

 private:
  PlanInput Input(const DomainRun& run, const Demand& demand, int loads,
                  int adapters) const {
    return {fleet_, bundles_, run.homes, run.servers,
            demand, loads,    adapters,  options_};
  }

  static bool IsReady(const DomainRun& run, const Item& base) {
    return std::any_of(run.servers.begin(), run.servers.end(),
                       [&](const auto& server) {
                         const auto& resident = server.second.ledger.resident;
                         const auto found = resident.find(base);
                         return found != resident.end() &&
                                found->second.state == ItemState::kReady;
                       });
  }

  /**
   * Splits the demand for each item evenly among the domains with a ready
   * replica, or among all domains if none has one.
   */
  std::vector<Demand> Route(const Demand& demand) const {
    std::vector<Demand> shares(domains_.size());
    for (const auto& [item, rate] : demand) {
      std::vector<std::size_t> ready;
      for (std::size_t i = 0; i < domains_.size(); ++i) {
        shares[i][item] = 0;
        if (IsReady(domains_[i], item)) {
          ready.push_back(i);
        }
      }
      const std::size_t receivers =
          ready.empty() ? domains_.size() : ready.size();
      for (std::size_t i = 0; i < receivers; ++i) {
        shares[ready.empty() ? i : ready[i]][item] =
            rate / static_cast<double>(receivers);
      }
    }
    return shares;
  }

  void FinishLoads(DomainRun& run) {
    std::erase_if(run.loading, [&](const auto& entry) {
      const auto& [server, item] = entry.first;
      auto& resident = run.servers.at(server).ledger.resident;
      const auto found = resident.find(item);
      if (found != resident.end() && now_ >= entry.second) {
        found->second.state = ItemState::kReady;
      }
      return found == resident.end() || now_ >= entry.second;
    });
  }

  void RecordServed(const DomainRun& run, const Demand& demand) {
    if (!is_measured_) {
      return;
    }
    const ServedDemand served = EstimateServed(Input(run, demand, 0, 0));
    outcome_.requested += served.asked;
    outcome_.served += served.served;
    for (const auto& [id, team] : fleet_.teams) {
      auto& [team_requested, team_served] = by_team_[id];
      for (const ModelId& model : team.models) {
        const Item item{model, fleet_.models.at(model).default_version, {}};
        team_requested += demand.at(item);
        team_served += served.served_by_bundle.at(item);
      }
    }
  }

  void Report(DomainRun& run, std::int64_t second, const Demand& demand) {
    DemandReport report{InstanceId(std::string("gateway")),
                        static_cast<std::uint64_t>(second + 1),
                        1000 * Workload::kStepSeconds,
                        {}};
    for (const auto& [item, rate] : demand) {
      report.entries.push_back(
          {item.model, item.version, item.adapter,
           static_cast<std::uint64_t>(rate * Workload::kStepSeconds)});
    }
    run.tracker.Add(now_, report);
  }

  void Plan(DomainRun& run) {
    run.load_tokens = std::min(
        std::max(1.0, run.limits.loads_per_second),
        run.load_tokens + Workload::kStepSeconds * run.limits.loads_per_second);
    const auto loads_in_progress = static_cast<int>(std::count_if(
        run.loading.begin(), run.loading.end(),
        [](const auto& entry) { return entry.first.second.adapter.empty(); }));
    const int loads =
        std::max(0, std::min(static_cast<int>(run.load_tokens),
                             run.limits.loads_at_once - loads_in_progress));
    const Demand rates = run.tracker.Rates(now_);
    const auto moves = run.policy->Decide(
        now_, Input(run, rates, loads, run.limits.adapters_at_once));
    for (const Move& move : moves) {
      ExecuteMove(run, move);
    }
  }

  void ExecuteMove(DomainRun& run, const Move& move) {
    ServerView& view = run.servers.at(move.server);
    auto next = WithOrder(view.ledger, 1, view.memory_bytes, move);
    if (!next) {
      ++outcome_.dropped_moves;
      return;
    }
    // Orders arrive immediately; only loading a model takes time.
    view.ledger.next_order = next->next_order;
    if (move.action == Action::kUnload) {
      view.ledger.resident.erase(move.item);
      return;
    }
    view.ledger.resident[move.item] = {move.bytes, ItemState::kLoading};
    const bool is_adapter = !move.item.adapter.empty();
    run.loading[{move.server, move.item}] =
        now_ + (is_adapter ? Duration(0) : options_.load_time);
    if (!is_adapter) {
      run.load_tokens -= 1;
      outcome_.moves += is_measured_ ? 1 : 0;
    }
    outcome_.bytes_moved += is_measured_ ? move.bytes : 0;
  }

  void CountUnreachable() {
    if (!is_measured_) {
      return;
    }
    for (const auto& [base, bundle] : bundles_) {
      bool ready_anywhere = false;
      for (const DomainRun& run : domains_) {
        const bool ready_here = IsReady(run, base);
        ready_anywhere = ready_anywhere || ready_here;
        outcome_.unreachable_domain_seconds +=
            !ready_here && run.homes.contains(base) ? Workload::kStepSeconds
                                                    : 0;
      }
      outcome_.unreachable_model_seconds +=
          ready_anywhere ? 0 : Workload::kStepSeconds;
    }
  }

  const config::Configuration& fleet_;
  std::map<Item, Bundle> bundles_;
  PlanOptions options_;
  std::vector<DomainRun> domains_;
  std::map<TeamId, std::pair<double, double>> by_team_;
  double accelerators_ = 0;
  TimePoint now_;
  bool is_measured_ = false;
  Outcome outcome_;
};

}  // namespace

Outcome Replay(const FleetSize& size, const config::Configuration& fleet,
               PolicyKind kind, double load_fraction, std::uint64_t seed) {
  Run run(size, fleet, kind);
  Workload workload(fleet, load_fraction * run.Capacity(), seed);
  for (std::int64_t second = 0; second < Workload::kRunSeconds;
       second += Workload::kStepSeconds) {
    run.Step(second, workload.At(second));
  }
  return run.Finish();
}

}  // namespace figwell::placement::benchmark
