#ifndef FIGWELL_APPS_EDGE_DEMAND_METER_H_
#define FIGWELL_APPS_EDGE_DEMAND_METER_H_

#include <map>
#include <vector>

#include "figwell/serving.h"
#include "messages.h"

namespace figwell::edge {

/**
 * What is asked for at this instance, whether or not it was served, as
 * exponentially weighted rates.
 */
class DemandMeter {
 public:
  /** Rates follow a change within about this time. */
  static constexpr Duration kWindow = std::chrono::milliseconds(1'500);

  void OnRequest(TimePoint now, const serving::ModelTarget& target,
                 Duration work);
  /** Rates at `now`; forgets what is no longer asked for. */
  serving::Demand Rates(TimePoint now);

 private:
  struct Rate {
    double amount = 0;  // decayed sum
    TimePoint at;
  };

  static void Add(Rate& rate, TimePoint now, double amount);
  static double Decayed(const Rate& rate, TimePoint now);

  std::map<ModelId, Rate> work_;
  std::map<serving::ModelTarget, Rate> requests_;
};

/** Packs rates into messages that fit into datagrams. */
std::vector<DemandMessage> ToMessages(const serving::Demand& demand);
void AddItems(const DemandMessage& message, serving::Demand& demand);

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_DEMAND_METER_H_
