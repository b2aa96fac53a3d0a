#ifndef FIGWELL_SERVING_DEMAND_H_
#define FIGWELL_SERVING_DEMAND_H_

/** Demand for models and adapters, present and forecast; see serving.h. */

#include <map>
#include <optional>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** Demand of the fleet, by model and by adapter. */
struct Demand {
  /** Milliseconds of a server's time per second. */
  std::map<ModelId, double> work;
  /** Requests per second, for adapters. */
  std::map<ModelTarget, double> requests;

  friend bool operator==(const Demand&, const Demand&) = default;
};

/**
 * The demand at this instance, whether or not it was served, as exponentially
 * weighted rates.
 */
class DemandMeter {
 public:
  /** Time constant: rates follow a change within about this time. */
  static constexpr Duration kDecayTimeConstant =
      std::chrono::milliseconds(1'500);

  void OnRequest(TimePoint now, const ModelTarget& target, Duration work);
  /** The model's demand, in milliseconds of work per second. */
  double Work(TimePoint now, const ModelId& model) const;
  /** Rates at `now`; drops models and adapters without recent requests. */
  Demand Rates(TimePoint now);

 private:
  struct Rate {
    double amount = 0;  // decayed sum at `updated_at`
    TimePoint updated_at;
  };

  static void Add(Rate& rate, TimePoint now, double amount);
  static double Decayed(const Rate& rate, TimePoint now);

  std::map<ModelId, Rate> work_;
  std::map<ModelTarget, Rate> requests_;
};

/**
 * Tracks the work of each model and its trend (double exponential smoothing)
 * and predicts the work at the time when a load that starts now has ended.
 * Demand can move from model to model within seconds, while a load takes just
 * as long.
 */
class DemandForecast {
 public:
  void Update(TimePoint now, const Demand& demand);
  /**
   * The demand after `ahead`; no model's exceeds the present total of all
   * models. A falling trend is extrapolated less far: a replica is lost
   * immediately if it is evicted, but takes a load to regain.
   */
  Demand Predict(Duration ahead) const;

 private:
  struct Series {
    double level = 0;
    double trend = 0;  // per second
  };

  std::map<ModelId, Series> work_;
  std::map<ModelTarget, double> requests_;
  std::optional<TimePoint> updated_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_DEMAND_H_
