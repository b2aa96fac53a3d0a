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
constexpr int kServed = 20'000;

/** Requests of a team: their mean cost, and the mean number per step. */
struct Sender {
  TeamId team;
  Tokens mean = 0;
  double per_service = 0;
};

const std::vector<Sender>& Senders() {
  // The first sends five times the tokens that can be served to it.
  static const std::vector<Sender> senders = {{TeamId("over"), 800, 1.25},
                                              {TeamId("large"), 2000, 0.1},
                                              {TeamId("even"), 700, 0.25},
                                              {TeamId("small"), 100, 1.0}};
  return senders;
}

Tokens Draw(Random& random, Tokens mean) {
  return 1 + static_cast<Tokens>(random.Exponential(static_cast<double>(mean)));
}

struct Fairness {
  std::map<TeamId, Tokens> offered;
  std::map<TeamId, Tokens> served;
  std::int64_t requests = 0;
  Tokens tokens = 0;
};

template <typename Push, typename Pop>
Fairness Serve(const Push& push, const Pop& pop) {
  Fairness fairness;
  Random random(kSeed);
  for (int i = 0; i < kServed; ++i) {
    for (const Sender& sender : Senders()) {
      if (random.Unit() < sender.per_service - std::floor(sender.per_service)) {
        const Tokens cost = Draw(random, sender.mean);
        fairness.offered[sender.team] += cost;
        push(sender.team, cost);
      }
      for (int n = 0; n < static_cast<int>(sender.per_service); ++n) {
        const Tokens cost = Draw(random, sender.mean);
        fairness.offered[sender.team] += cost;
        push(sender.team, cost);
      }
    }
    // The server takes 500 tokens per step; excess is deducted from later
    // steps.
    while (fairness.tokens < Tokens{500} * (i + 1)) {
      const auto [team, cost] = pop();
      if (cost == 0) {
        break;
      }
      fairness.served[team] += cost;
      fairness.tokens += cost;
      ++fairness.requests;
    }
  }
  return fairness;
}

void Print(const char* name, const Fairness& fairness) {
  fmt::print("{:<22}{:>9}", name, fairness.requests);
  for (const Sender& sender : Senders()) {
    const auto served = fairness.served.find(sender.team);
    const Tokens tokens = served == fairness.served.end() ? 0 : served->second;
    fmt::print("{:>9.3f}",
               static_cast<double>(tokens) /
                   static_cast<double>(fairness.offered.at(sender.team)));
  }
  fmt::print("\n");
}

template <typename Discipline>
Fairness ServeQueue(double fairness) {
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

Fairness ServeInOrder() {
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
  constexpr Duration kService = std::chrono::seconds(3);
  Random random(kSeed);
  budget::TokenBucket bucket;
  budget::TokenBucket exact;
  for (auto* each : {&bucket, &exact}) {
    each->SetValidUntil(TimePoint(), TimePoint::max());
    each->Configure(TimePoint(), kLimit, {1, 1});
  }
  struct Open {
    TimePoint admitted;
    RequestSize size;
    Tokens charged;
    Tokens prompt;
    Tokens used;
  };
  std::deque<Open> open;
  TimePoint now(std::chrono::hours(1));
  int wrongful = 0;
  int admitted = 0;
  int exceeded = 0;
  for (int i = 0; i < kRequests; ++i) {
    now += Duration(static_cast<Duration::rep>(random.Exponential(600'000)));
    for (; !open.empty() && open.front().admitted + kService <= now;
         open.pop_front()) {
      const Open& done = open.front();
      estimate.Learn(done.size, done.prompt);
      exceeded += done.used > done.charged ? 1 : 0;
      bucket.Refund(done.admitted + kService, done.admitted,
                    Unused(done.charged, done.used));
    }
    // One prompt in fifty is in a script with two bytes per token.
    const double bytes_per_token = random.Below(50) == 0 ? 2 : 4;
    const auto prompt = static_cast<Tokens>(random.Below(1000));
    const auto generated = static_cast<Tokens>(50 + random.Below(200));
    const RequestSize size{static_cast<std::int64_t>(
                               static_cast<double>(prompt) * bytes_per_token),
                           1, 256};
    const Tokens used = prompt + kTokensPerMessage + generated;
    const Tokens charged = estimate.Cost(size, 1024);
    const bool inside = exact.Available(now) >= used;
    if (bucket.Spend(now, charged)) {
      ++admitted;
      exact.Spend(now, used);
      open.push_back({now, size, charged, prompt, used});
    } else {
      wrongful += inside ? 1 : 0;
    }
  }
  fmt::print("{:<22}{:>10}{:>12.3f}{:>14}\n", name, admitted,
             1000.0 * wrongful / (admitted + wrongful), exceeded);
}

}  // namespace

void PrintFairness() {
  fmt::print(
      "Share of the offered tokens that is served, by team. A fair\n"
      "queue serves the last three in full. At most 256 are queued.\n"
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
