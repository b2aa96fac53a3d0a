#ifndef FIGWELL_SERVING_DEMAND_H_
#define FIGWELL_SERVING_DEMAND_H_

/** What is asked of the fleet, now and in a while; see serving.h. */

#include <map>
#include <optional>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** What is asked of the fleet, by model and by adapter. */
struct Demand {
  /** Milliseconds of a server's time a second. */
  std::map<ModelId, double> work;
  /** Requests a second, for adapters. */
  std::map<ModelTarget, double> requests;

  friend bool operator==(const Demand&, const Demand&) = default;
};

/**
 * What is asked for at this instance, whether or not it was served, as
 * exponentially weighted rates.
 */
class DemandMeter {
 public:
  /** Rates follow a change within about this time. */
  static constexpr Duration kWindow = std::chrono::milliseconds(1'500);

  void OnRequest(TimePoint now, const ModelTarget& target, Duration work);
  /** Milliseconds of work a second that are asked of the model. */
  double Work(TimePoint now, const ModelId& model) const;
  /** Rates at `now`; forgets what is no longer asked for. */
  Demand Rates(TimePoint now);

 private:
  struct Rate {
    double amount = 0;  // decayed sum
    TimePoint at;
  };

  static void Add(Rate& rate, TimePoint now, double amount);
  static double Decayed(const Rate& rate, TimePoint now);

  std::map<ModelId, Rate> work_;
  std::map<ModelTarget, Rate> requests_;
};

/**
 * Follows the work of each model and its trend (double exponential smoothing)
 * and says what it will be when a load that begins now has ended. Answers
 * demand that moves from model to model within seconds, while a load takes as
 * long.
 */
class DemandForecast {
 public:
  void Update(TimePoint now, const Demand& demand);
  /**
   * The demand after `ahead`; no model's is more than all have together. What
   * falls is not followed as far: a copy is given up at once, but not regained.
   */
  Demand Predict(Duration ahead) const;

 private:
  struct Series {
    double level = 0;
    double trend = 0;  // a second
  };

  std::map<ModelId, Series> work_;
  std::map<ModelTarget, double> requests_;
  std::optional<TimePoint> updated_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_DEMAND_H_
