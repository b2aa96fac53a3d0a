#ifndef FIGWELL_APPS_LOAD_RESULTS_H_
#define FIGWELL_APPS_LOAD_RESULTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "figwell/core.h"

namespace figwell::load {

/** Latency targets; attainment is the fraction of requests that meet both. */
inline constexpr Duration kFirstTokenTarget = std::chrono::seconds(1);
inline constexpr Duration kTokenGapTarget = std::chrono::milliseconds(45);

/** A request sent later than this counts as delayed by the generator. */
inline constexpr Duration kMaxLateness = std::chrono::milliseconds(20);

struct Outcome {
  std::string team;
  /** Empty if answered completely; else a refusal's code, or `broken`. */
  std::string fault;
  bool streamed = false;
  Duration first_token{0};
  Duration total_time{0};
  /** The longest time between two successive pieces of a stream. */
  Duration max_gap{0};
  std::int64_t tokens = 0;
  /** Delay of the send relative to the plan. */
  Duration lateness{0};
};

struct TeamResult {
  std::int64_t sent = 0;
  std::int64_t attained = 0;

  double Attainment() const {
    return sent == 0
               ? 1.0
               : static_cast<double>(attained) / static_cast<double>(sent);
  }
};

/** Aggregates outcomes. */
class Results {
 public:
  void Add(const Outcome& outcome);

  /** @param elapsed time from the start of the run to the last answer */
  std::string Table(Duration elapsed) const;
  std::string Json(Duration elapsed) const;

  std::int64_t answered() const { return answered_; }
  std::int64_t broken() const;

 private:
  double Share(std::int64_t count) const;
  std::pair<std::string, TeamResult> WorstTeam() const;

  std::int64_t sent_ = 0;
  std::int64_t answered_ = 0;
  std::int64_t first_in_time_ = 0;
  std::int64_t streams_ = 0;
  std::int64_t streams_in_time_ = 0;
  std::int64_t late_ = 0;
  std::int64_t tokens_ = 0;
  std::map<std::string, std::int64_t> faults_;
  std::map<std::string, TeamResult> teams_;
  std::vector<Duration> first_tokens_;
  std::vector<Duration> total_times_;
};

}  // namespace figwell::load

#endif  // FIGWELL_APPS_LOAD_RESULTS_H_
