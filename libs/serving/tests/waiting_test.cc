#include <algorithm>
#include <map>
#include <vector>

#include "figwell/serving/admission.h"
#include "figwell/serving/balancer.h"
#include "figwell/serving/prefill_wait.h"
#include "figwell/testing.h"
#include "one_model.h"

// Simulates a load near the servers' capacity, of short and long prompts that
// engines prefill in turns: which requests are refused as late, and whether the
// estimates behind that are right.

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TEST_CASE("without samples the full prefill backlog counts as wait") {
  const PrefillWaitEstimator estimator;
  CHECK(estimator.EstimateWait(milliseconds(300)) == milliseconds(300));
}

TEST_CASE("waits shorter than the prefill backlog are learned and unlearned") {
  PrefillWaitEstimator estimator;
  for (int i = 0; i < 100; ++i) {
    estimator.OnFirstEvent(milliseconds(300), milliseconds(90));
  }
  CHECK(estimator.EstimateWait(milliseconds(1'000)) < milliseconds(320));
  for (int i = 0; i < 100; ++i) {
    estimator.OnFirstEvent(milliseconds(300), milliseconds(300));
  }
  CHECK(estimator.EstimateWait(milliseconds(1'000)) > milliseconds(980));
}

TEST_CASE("one slow answer has little effect, and short queues have none") {
  PrefillWaitEstimator estimator;
  estimator.OnFirstEvent(milliseconds(100), milliseconds(60'000));
  CHECK(estimator.EstimateWait(milliseconds(100)) <= milliseconds(106));
  PrefillWaitEstimator untouched;
  untouched.OnFirstEvent(milliseconds(10), milliseconds(1'000));
  CHECK(untouched.EstimateWait(milliseconds(100)) == milliseconds(100));
}

struct Prompt {
  Tokens tokens = 0;
  Duration target{0};
};

constexpr Prompt kShort{600, milliseconds(500)};
constexpr Prompt kLong{4'000, milliseconds(800)};
// Balancer's default for a model that it has not measured.
constexpr double kMsPerToken = 0.05;

/** Engines that prefill all waiting prompts in turns. */
class Engines {
 public:
  struct Prefill {
    std::size_t instance = 0;
    AttemptNumber attempt = 0;
    double remaining_ms = 0;
    Duration expected{0};
    Duration prefill_backlog{0};
    Prompt prompt;
    TimePoint sent;
  };

  void Send(const ServerId& server, const Prefill& prefill) {
    prefills_[server].push_back(prefill);
  }

  /**
   * Prefills for a millisecond; calls `on_prefilled` for each prompt that
   * completes.
   */
  template <typename OnPrefilled>
  void Tick(OnPrefilled on_prefilled) {
    for (auto& [server, prefills] : prefills_) {
      const double share_ms = 1.0 / static_cast<double>(prefills.size());
      for (Prefill& prefill : prefills) {
        prefill.remaining_ms -= share_ms;
        if (prefill.remaining_ms <= 0) {
          on_prefilled(prefill);
        }
      }
      std::erase_if(prefills,
                    [](const Prefill& p) { return p.remaining_ms <= 0; });
    }
  }

 private:
  std::map<ServerId, std::vector<Prefill>> prefills_;
};

struct Outcome {
  int requests = 0;
  int on_time = 0;
  int refused = 0;
  double expected_ms = 0;  ///< of those with a prefill backlog ahead
  double took_ms = 0;
};

/**
 * Several instances in front of a few engines, which report loads to each
 * other.
 */
class Simulation {
 public:
  /**
   * @param learned whether waits are estimated as learned, or as the full
   * backlog
   */
  explicit Simulation(bool learned) : learned_(learned), random_(11) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      balancers_.emplace_back(kOnlyDomain, i + 1, milliseconds(3'000));
    }
    for (int i = 0; i < kServers; ++i) {
      directory_.Put(MakeModelServer(i));
    }
  }

  /**
   * @param load fraction of what the engines can prefill
   * @return outcome of the requests in this time
   */
  Outcome Run(Duration duration, double load) {
    constexpr double kMeanMs = (kShort.tokens + kLong.tokens) * kMsPerToken / 2;
    const double per_ms = load * kServers / kMeanMs;
    const TimePoint end = now_ + duration;
    outcome_ = {};
    for (; now_ < end; now_ += milliseconds(1)) {
      engines_.Tick(
          [&](const Engines::Prefill& prefill) { OnPrefilled(prefill); });
      ExchangeLoads(now_, kReportInterval, balancers_);
      if (random_.Unit() < per_ms) {
        SendRequest(random_.Below(kInstances),
                    random_.Unit() < 0.5 ? kShort : kLong);
      }
    }
    return outcome_;
  }

 private:
  static constexpr std::size_t kInstances = 9;
  static constexpr int kServers = 4;
  static constexpr milliseconds kReportInterval{200};
  static constexpr milliseconds kFirstEventLatency{25};

  void SendRequest(std::size_t instance, const Prompt& prompt) {
    ++outcome_.requests;
    RequestNeeds needs;
    needs.service = kOnlyService;
    needs.target = kOnlyModel;
    needs.prompt_tokens = prompt.tokens;
    Balancer& balancer = balancers_[instance];
    auto choice = balancer.Choose(now_, catalog_, directory_, needs);
    REQUIRE(choice);
    if (!learned_) {
      choice->wait = choice->prefill_backlog;
      choice->expected = choice->work + choice->prefill_backlog;
    }
    Route route;
    route.kind = RequestKind::kStreaming;
    route.latency_target = prompt.target;
    if (Admit(route, *choice, Duration{0}, milliseconds(5'000)) !=
        Admission::kSend) {
      ++outcome_.refused;
      return;
    }
    const AttemptNumber attempt = balancer.OnSent(now_, *choice, needs);
    engines_.Send(
        choice->server,
        {instance, attempt, static_cast<double>(prompt.tokens) * kMsPerToken,
         choice->expected, choice->prefill_backlog, prompt, now_});
  }

  void OnPrefilled(const Engines::Prefill& prefill) {
    const TimePoint first_event = now_ + kFirstEventLatency;
    const Duration took = first_event - prefill.sent;
    balancers_[prefill.instance].OnFirstByte(first_event, prefill.attempt);
    balancers_[prefill.instance].OnEnd(first_event, prefill.attempt,
                                       AttemptEnd::kAnswered);
    outcome_.on_time += took <= prefill.prompt.target ? 1 : 0;
    if (prefill.prefill_backlog > milliseconds(100)) {
      outcome_.expected_ms +=
          static_cast<double>(prefill.expected.count()) / 1e3;
      outcome_.took_ms += static_cast<double>(took.count()) / 1e3;
    }
  }

  bool learned_;
  Random random_;
  Catalog catalog_ = MakeOneModelCatalog();
  Directory directory_;
  std::vector<Balancer> balancers_;
  Engines engines_;
  Outcome outcome_;
  TimePoint now_{std::chrono::hours(1)};
};

TEST_CASE("learned waits avoid refusals for overestimated waits") {
  constexpr Duration kWarmUp = std::chrono::seconds(20);
  constexpr Duration kMeasuredDuration = std::chrono::seconds(60);
  for (const double load : {0.7, 0.9, 1.1}) {
    Simulation simulations[] = {Simulation(false), Simulation(true)};
    for (Simulation& simulation : simulations) {
      simulation.Run(kWarmUp, load);
    }
    const Outcome full_backlog = simulations[0].Run(kMeasuredDuration, load);
    const Outcome learned = simulations[1].Run(kMeasuredDuration, load);
    INFO("load " << load << ", requests " << full_backlog.requests << " and "
                 << learned.requests << ": on time " << full_backlog.on_time
                 << " and " << learned.on_time << ", refused "
                 << full_backlog.refused << " and " << learned.refused
                 << "; expected " << learned.expected_ms << " ms, took "
                 << learned.took_ms);
    CHECK(learned.on_time > full_backlog.on_time);
    CHECK(learned.refused < full_backlog.refused);
    // Estimates are right within a third, on average.
    CHECK(learned.expected_ms < learned.took_ms * 4 / 3);
    CHECK(learned.expected_ms > learned.took_ms * 2 / 3);
  }
}

}  // namespace
}  // namespace figwell::serving
