#include <memory>

#include "figwell/admission.h"
#include "runs.h"
#include "simulation.h"

namespace figwell::bench {
namespace {

using admission::RateDecision;
using admission::RateGate;
using std::chrono::seconds;

/** Units are claimed and buckets filled before the arrivals start. */
constexpr Duration kWarmUp = seconds(30);
constexpr std::size_t kMaxWaitingRequests = 4096;
constexpr double kFairness = 0.8;

class FigwellRun {
 public:
  FigwellRun(const Size& size, Arrivals arrivals)
      : size_(size),
        arrivals_(arrivals),
        simulation_(MakeSettings(size), MakeConfiguration(size)),
        start_(simulation_.now() + kWarmUp),
        account_(size, start_, arrivals == Arrivals::kOverRate) {
    for (std::size_t i = 0; i < simulation_.gateways().size(); ++i) {
      gates_.push_back(std::make_unique<RateGate>(kMaxWaitingRequests));
      gates_.back()->SetMaxWait(admission::MaxRateWait(kFairness));
    }
    for (std::size_t i = 0; i < size.teams.size(); ++i) {
      teams_.push_back(budget::simulation::TeamName(i));
    }
    simulation_.on_credit = [this](int gateway) { Poll(gateway); };
  }

  Outcome Run() {
    simulation_.RunUntil(start_);
    for (auto& gateway : simulation_.gateways()) {
      gateway.traffic = {};
    }
    ScheduleFaults();
    requests_ = MakeRequests(size_, arrivals_, start_, size_.measured, kSeed);
    ScheduleNext(0);
    simulation_.RunUntil(start_ + size_.measured);
    MeasureTraffic();
    simulation_.RunUntil(start_ + size_.measured + seconds(10));
    Outcome outcome = account_.Result();
    outcome.messages = traffic_.messages;
    outcome.bytes = traffic_.bytes;
    outcome.max_bytes = traffic_.max_bytes;
    outcome.store_calls = traffic_.store_calls;
    return outcome;
  }

 private:
  struct Waiting {
    std::size_t request = 0;
    bool within_rate = false;
  };

  static budget::simulation::Settings MakeSettings(const Size& size) {
    budget::simulation::Settings settings;
    settings.gateways_per_domain = size.gateways_per_domain;
    settings.seed = kSeed;
    return settings;
  }

  static config::ConfigurationPtr MakeConfiguration(const Size& size) {
    return std::make_shared<const config::Configuration>(
        budget::simulation::MakeConfiguration(
            static_cast<int>(size.gateways_per_domain.size()), size.teams,
            810));
  }

  void ScheduleNext(std::size_t i) {
    if (i < requests_.size()) {
      simulation_.At(requests_[i].when, [this, i] {
        Arrive(i);
        ScheduleNext(i + 1);
      });
    }
  }

  void ScheduleFaults() {
    const int count = static_cast<int>(simulation_.gateways().size());
    if (arrivals_ == Arrivals::kDying) {
      int death = 0;
      for (Duration t = kFirstDeath; t < size_.measured; t += kDeathInterval) {
        const int gateway = death++ % count;
        simulation_.At(start_ + t, [=, this] {
          simulation_.Stop(gateway);
          waiting_.erase(gateway);
          gates_[gateway] = std::make_unique<RateGate>(kMaxWaitingRequests);
          gates_[gateway]->SetMaxWait(admission::MaxRateWait(kFairness));
        });
        simulation_.At(start_ + t + kDownTime,
                       [=, this] { simulation_.Start(gateway); });
      }
    }
    if (arrivals_ == Arrivals::kCutOff) {
      const int domain = static_cast<int>(size_.gateways_per_domain.size()) - 1;
      simulation_.At(start_ + kCutOffStart, [=, this] {
        simulation_.faults().without_store.insert(domain);
        simulation_.faults().without_peers.insert(domain);
      });
      simulation_.At(start_ + kCutOffStart + kCutOffTime, [this] {
        simulation_.faults() = budget::simulation::Faults();
      });
    }
  }

  void Arrive(std::size_t i) {
    const Request& request = requests_[i];
    const int gateway = request.gateway;
    if (!simulation_.Up(gateway)) {
      return;  // the load balancer avoids the gateway; no bucket is charged
    }
    if (account_.IdealAdmits(request.when, request)) {
      simulation_.At(request.when + request.service_time, [this, i] {
        const Request& done = requests_[i];
        account_.RecordIdealSettled(simulation_.now(), done.when, done);
      });
    }
    const bool within_rate = account_.IsWithinRate(request.when, request);
    budget::TeamBudget* budget = Find(gateway, teams_[request.team]);
    const RateGate::Request rate_request{teams_[request.team],
                                         size_.teams[request.team],
                                         request.estimate, TimePoint::max()};
    const RateDecision decision = gates_[gateway]->Arrive(
        [&] { return simulation_.Local(gateway); }, *budget, rate_request);
    if (decision.kind == RateDecision::Kind::kWaiting) {
      waiting_[gateway][decision.wait.value] = {i, within_rate};
      simulation_.RequestTokens(gateway, teams_[request.team],
                                decision.missing);
      SchedulePoll(gateway);
      return;
    }
    Finish(gateway, i, within_rate, decision);
  }

  budget::TeamBudget* Find(int gateway, const TeamId& team) {
    return simulation_.gateways()[gateway].budgets->snapshot()->Find(team);
  }

  void SchedulePoll(int gateway) {
    if (!poll_scheduled_.insert(gateway).second) {
      return;
    }
    simulation_.At(simulation_.now() + admission::kRatePollInterval,
                   [this, gateway] {
                     poll_scheduled_.erase(gateway);
                     Poll(gateway);
                   });
  }

  void Poll(int gateway) {
    if (!simulation_.Up(gateway) || gates_[gateway]->waiting() == 0) {
      return;
    }
    std::vector<std::pair<std::size_t, budget::Tokens>> token_requests;
    gates_[gateway]->Poll(
        [&] { return simulation_.Local(gateway); },
        [&](const TeamId& team) { return Find(gateway, team); },
        [&](const RateDecision& decision) {
          auto& waiting = waiting_[gateway];
          const Waiting entry = waiting.at(decision.wait.value);
          if (decision.kind == RateDecision::Kind::kWaiting) {
            token_requests.emplace_back(requests_[entry.request].team,
                                        decision.missing);
            return;
          }
          waiting.erase(decision.wait.value);
          Finish(gateway, entry.request, entry.within_rate, decision);
        });
    for (const auto& [team, missing] : token_requests) {
      simulation_.RequestTokens(gateway, teams_[team], missing);
    }
    if (gates_[gateway]->waiting() > 0) {
      SchedulePoll(gateway);
    }
  }

  void Finish(int gateway, std::size_t i, bool within_rate,
              const RateDecision& decision) {
    const Request& request = requests_[i];
    if (decision.kind == RateDecision::Kind::kRefused) {
      account_.RecordRefused(
          request,
          within_rate || account_.IsWithinRate(simulation_.now(), request));
      return;
    }
    const TimePoint admitted =
        simulation_.Global(gateway, decision.admitted_at);
    const std::size_t number = account_.RecordAdmitted(admitted, request);
    const std::uint64_t incarnation =
        simulation_.gateways()[gateway].incarnation;
    simulation_.At(simulation_.now() + request.service_time, [=, this] {
      const Request& done = requests_[i];
      account_.RecordSettled(simulation_.now(), admitted, done, number);
      if (simulation_.Up(gateway) &&
          simulation_.gateways()[gateway].incarnation == incarnation) {
        simulation_.Refund(gateway, teams_[done.team], decision.admitted_at,
                           done.estimate - done.used);
      }
    });
  }

  void MeasureTraffic() {
    const double seconds_run =
        static_cast<double>(size_.measured.count()) / 1e6;
    const auto count = static_cast<double>(simulation_.gateways().size());
    for (const auto& gateway : simulation_.gateways()) {
      const auto& sent = gateway.traffic;
      const double bytes = static_cast<double>(sent.bytes) / seconds_run;
      traffic_.messages +=
          static_cast<double>(sent.messages) / seconds_run / count;
      traffic_.bytes += bytes / count;
      traffic_.max_bytes = std::max(traffic_.max_bytes, bytes);
      traffic_.store_calls +=
          static_cast<double>(sent.store_calls) / seconds_run;
    }
  }

  const Size& size_;
  Arrivals arrivals_;
  budget::simulation::Simulation simulation_;
  TimePoint start_;
  Account account_;
  std::vector<TeamId> teams_;
  std::vector<std::unique_ptr<RateGate>> gates_;
  std::vector<Request> requests_;
  std::map<int, std::map<std::uint64_t, Waiting>> waiting_;
  std::set<int> poll_scheduled_;
  Outcome traffic_;
};

}  // namespace

Outcome RunFigwell(const Size& size, Arrivals arrivals) {
  return FigwellRun(size, arrivals).Run();
}

}  // namespace figwell::bench
