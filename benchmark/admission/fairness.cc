#include "fairness.h"

#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>

#include "figwell/admission.h"

namespace figwell::admission {
namespace {

using budget::Tokens;

constexpr std::uint64_t kSeed = 11;
constexpr int kSteps = 20'000;

/** Requests of a team: their mean cost, and the mean number per step. */
struct TeamLoad {
  TeamId team;
  Tokens mean_cost = 0;
  double requests_per_step = 0;
};

const std::vector<TeamLoad>& TeamLoads() {
  // Per step they offer 1000, 200, 175 and 100 tokens; 500 can be served. Fair
  // shares are 100 for the last and 133 for each of the others.
  static const std::vector<TeamLoad> loads = {{TeamId("over"), 800, 1.25},
                                              {TeamId("large"), 2000, 0.1},
                                              {TeamId("even"), 700, 0.25},
                                              {TeamId("small"), 100, 1.0}};
  return loads;
}

Tokens DrawCost(Random& random, Tokens mean_cost) {
  return 1 + static_cast<Tokens>(
                 random.Exponential(static_cast<double>(mean_cost)));
}

struct ServiceTotals {
  std::map<TeamId, Tokens> offered;
  std::map<TeamId, Tokens> served;
  std::int64_t requests = 0;
  Tokens tokens = 0;
};

template <typename Push, typename Pop>
ServiceTotals Serve(const Push& push, const Pop& pop) {
  ServiceTotals totals;
  Random random(kSeed);
  for (int i = 0; i < kSteps; ++i) {
    for (const TeamLoad& load : TeamLoads()) {
      if (random.Unit() <
          load.requests_per_step - std::floor(load.requests_per_step)) {
        const Tokens cost = DrawCost(random, load.mean_cost);
        totals.offered[load.team] += cost;
        push(load.team, cost);
      }
      for (int n = 0; n < static_cast<int>(load.requests_per_step); ++n) {
        const Tokens cost = DrawCost(random, load.mean_cost);
        totals.offered[load.team] += cost;
        push(load.team, cost);
      }
    }
    // The server takes 500 tokens per step; excess is deducted from later
    // steps.
    while (totals.tokens < Tokens{500} * (i + 1)) {
      const auto [team, cost] = pop();
      if (cost == 0) {
        break;
      }
      totals.served[team] += cost;
      totals.tokens += cost;
      ++totals.requests;
    }
  }
  return totals;
}

void Print(const char* name, const ServiceTotals& totals) {
  fmt::print("{:<22}{:>9}", name, totals.requests);
  for (const TeamLoad& load : TeamLoads()) {
    const auto served = totals.served.find(load.team);
    const Tokens tokens = served == totals.served.end() ? 0 : served->second;
    fmt::print("{:>9.3f}",
               static_cast<double>(tokens) /
                   static_cast<double>(totals.offered.at(load.team)));
  }
  fmt::print("\n");
}

template <typename Discipline>
ServiceTotals ServeQueue(double fairness) {
  FairQueue<Discipline> queue({256, std::chrono::hours(1)});
  queue.SetFairness(fairness);
  const auto allow = [](const QueuedRequest&, const TeamId&) { return true; };
  return Serve(
      [&](const TeamId& team, Tokens cost) {
        QueuedRequest request;
        request.cost = cost;
        queue.Push(team, 1, request);
      },
      [&] {
        const auto next = queue.Pop(TimePoint(), allow);
        return next.has_value() ? std::pair(next->team, next->request.cost)
                                : std::pair(TeamId(), Tokens{0});
      });
}

ServiceTotals ServeInOrder() {
  std::deque<std::pair<TeamId, Tokens>> queue;
  return Serve(
      [&](const TeamId& team, Tokens cost) {
        if (queue.size() < 256) {
          queue.emplace_back(team, cost);
        }
      },
      [&] {
        if (queue.empty()) {
          return std::pair(TeamId(), Tokens{0});
        }
        auto next = queue.front();
        queue.pop_front();
        return next;
      });
}

template <typename Estimate>
void PrintEstimate(const char* name, Estimate estimate) {
  constexpr budget::Limit kLimit{2000, 20'000};
  constexpr int kRequests = 200'000;
  constexpr Duration kServiceTime = std::chrono::seconds(3);
  Random random(kSeed);
  budget::TokenBucket bucket;
  budget::TokenBucket exact_bucket;
  for (auto* each : {&bucket, &exact_bucket}) {
    each->SetValidUntil(TimePoint(), TimePoint::max());
    each->Configure(TimePoint(), kLimit, {1, 1});
  }
  struct InFlight {
    TimePoint admitted;
    RequestSize size;
    Tokens charged_tokens;
    Tokens prompt_tokens;
    Tokens used_tokens;
  };
  std::deque<InFlight> in_flight;
  TimePoint now(std::chrono::hours(1));
  int wrongly_refused = 0;
  int admitted = 0;
  int estimates_exceeded = 0;
  for (int i = 0; i < kRequests; ++i) {
    now += Duration(static_cast<Duration::rep>(random.Exponential(600'000)));
    for (;
         !in_flight.empty() && in_flight.front().admitted + kServiceTime <= now;
         in_flight.pop_front()) {
      const InFlight& done = in_flight.front();
      estimate.RecordUsage(done.size, done.prompt_tokens);
      estimates_exceeded += done.used_tokens > done.charged_tokens ? 1 : 0;
      bucket.Refund(done.admitted + kServiceTime, done.admitted,
                    UnusedTokens(done.charged_tokens, done.used_tokens));
    }
    // One prompt in fifty is in a script with two bytes per token.
    const double bytes_per_token = random.Below(50) == 0 ? 2 : 4;
    const auto prompt_tokens = static_cast<Tokens>(random.Below(1000));
    const auto generated_tokens = static_cast<Tokens>(50 + random.Below(200));
    const RequestSize size{
        static_cast<std::int64_t>(static_cast<double>(prompt_tokens) *
                                  bytes_per_token),
        1, 256};
    const Tokens used_tokens =
        prompt_tokens + kTokensPerMessage + generated_tokens;
    const Tokens charged_tokens = estimate.Cost(size, 1024);
    const bool covered_exactly = exact_bucket.Available(now) >= used_tokens;
    if (bucket.Spend(now, charged_tokens)) {
      ++admitted;
      exact_bucket.Spend(now, used_tokens);
      in_flight.push_back(
          {now, size, charged_tokens, prompt_tokens, used_tokens});
    } else {
      wrongly_refused += covered_exactly ? 1 : 0;
    }
  }
  fmt::print("{:<22}{:>10}{:>12.3f}{:>14}\n", name, admitted,
             1000.0 * wrongly_refused / (admitted + wrongly_refused),
             estimates_exceeded);
}

}  // namespace

void PrintFairness() {
  fmt::print(
      "Share of the offered tokens that is served, by team. A fair\n"
      "queue serves the last in full and equal numbers of tokens of\n"
      "the others. At most 256 requests are queued.\n"
      "{:<22}{:>9}{:>9}{:>9}{:>9}{:>9}\n",
      "queue", "requests", "over", "large", "even", "small");
  Print("arrival order", ServeInOrder());
  Print("deficit round robin", ServeQueue<DeficitRoundRobin>(1));
  for (const double fairness : {1.0, 0.5, 0.0}) {
    Print(fmt::format("virtual time, {:.1f}", fairness).c_str(),
          ServeQueue<VirtualTime>(fairness));
  }
}

void PrintEstimates() {
  fmt::print(
      "\nCost estimates with one bucket (requests refused although the\n"
      "bucket covered the exact cost, per mille; requests that cost\n"
      "more than charged)\n"
      "{:<22}{:>10}{:>12}{:>14}\n",
      "estimate", "admitted", "refused", "over estimate");
  PrintEstimate("upper bound", UpperBoundCost());
  PrintEstimate("observed ratio", ObservedCost());
}

}  // namespace figwell::admission
