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
  const PrefillWaitEstimator scale;
  CHECK(scale.Wait(milliseconds(300)) == milliseconds(300));
}

TEST_CASE("waits shorter than the prefill backlog are learned and unlearned") {
  PrefillWaitEstimator scale;
  for (int i = 0; i < 100; ++i) {
    scale.OnFirstEvent(milliseconds(300), milliseconds(90));
  }
  CHECK(scale.Wait(milliseconds(1'000)) < milliseconds(320));
  for (int i = 0; i < 100; ++i) {
    scale.OnFirstEvent(milliseconds(300), milliseconds(300));
  }
  CHECK(scale.Wait(milliseconds(1'000)) > milliseconds(980));
}

TEST_CASE("one slow answer has little effect, and short queues have none") {
  PrefillWaitEstimator scale;
  scale.OnFirstEvent(milliseconds(100), milliseconds(60'000));
  CHECK(scale.Wait(milliseconds(100)) <= milliseconds(106));
  PrefillWaitEstimator untouched;
  untouched.OnFirstEvent(milliseconds(10), milliseconds(1'000));
  CHECK(untouched.Wait(milliseconds(100)) == milliseconds(100));
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
  struct Reading {
    std::size_t instance = 0;
    AttemptNumber attempt = 0;
    double left_ms = 0;
    Duration expected{0};
    Duration prefill_backlog{0};
    Prompt prompt;
    TimePoint sent;
  };

  void Send(const ServerId& server, const Reading& reading) {
    reading_[server].push_back(reading);
  }

  /**
   * Prefills for a millisecond; calls `on_read` for each prompt that completes.
   */
  template <typename OnRead>
  void Tick(OnRead on_read) {
    for (auto& [server, readings] : reading_) {
      const double each = 1.0 / static_cast<double>(readings.size());
      for (Reading& reading : readings) {
        reading.left_ms -= each;
        if (reading.left_ms <= 0) {
          on_read(reading);
        }
      }
      std::erase_if(readings, [](const Reading& r) { return r.left_ms <= 0; });
    }
  }

 private:
  std::map<ServerId, std::vector<Reading>> reading_;
};

struct Outcome {
  int asked = 0;
  int on_time = 0;
  int refused = 0;
  double expected_ms = 0;  ///< of those with a prefill backlog ahead
  double took_ms = 0;
};

/**
 * Several instances in front of a few engines, which report loads to each
 * other.
 */
class Play {
 public:
  /**
   * @param learned whether waits are estimated as learned, or as the full
   * backlog
   */
  explicit Play(bool learned) : learned_(learned), random_(11) {
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
      engines_.Tick([&](const Engines::Reading& reading) { OnRead(reading); });
      TellLoads(now_, kNewsInterval, balancers_);
      if (random_.Unit() < per_ms) {
        Ask(random_.Below(kInstances), random_.Unit() < 0.5 ? kShort : kLong);
      }
    }
    return outcome_;
  }

 private:
  static constexpr std::size_t kInstances = 9;
  static constexpr int kServers = 4;
  static constexpr milliseconds kNewsInterval{200};
  static constexpr milliseconds kFirstEvent{25};

  void Ask(std::size_t instance, const Prompt& prompt) {
    ++outcome_.asked;
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

  void OnRead(const Engines::Reading& reading) {
    const TimePoint first = now_ + kFirstEvent;
    const Duration took = first - reading.sent;
    balancers_[reading.instance].OnFirstByte(first, reading.attempt);
    balancers_[reading.instance].OnEnd(first, reading.attempt,
                                       AttemptEnd::kAnswered);
    outcome_.on_time += took <= reading.prompt.target ? 1 : 0;
    if (reading.prefill_backlog > milliseconds(100)) {
      outcome_.expected_ms +=
          static_cast<double>(reading.expected.count()) / 1e3;
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
  constexpr Duration kLearning = std::chrono::seconds(20);
  constexpr Duration kLength = std::chrono::seconds(60);
  for (const double load : {0.7, 0.9, 1.1}) {
    Play plays[] = {Play(false), Play(true)};
    for (Play& play : plays) {
      play.Run(kLearning, load);
    }
    const Outcome sum = plays[0].Run(kLength, load);
    const Outcome learned = plays[1].Run(kLength, load);
    INFO("load " << load << ", requests " << sum.asked << " and "
                 << learned.asked << ": on time " << sum.on_time << " and "
                 << learned.on_time << ", refused " << sum.refused << " and "
                 << learned.refused << "; expected " << learned.expected_ms
                 << " ms, took " << learned.took_ms);
    CHECK(learned.on_time > sum.on_time);
    CHECK(learned.refused < sum.refused);
    // Estimates are right within a third, on average.
    CHECK(learned.expected_ms < learned.took_ms * 4 / 3);
    CHECK(learned.expected_ms > learned.took_ms * 2 / 3);
  }
}

}  // namespace
}  // namespace figwell::serving
