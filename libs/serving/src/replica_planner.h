#ifndef FIGWELL_SERVING_SRC_REPLICA_PLANNER_H_
#define FIGWELL_SERVING_SRC_REPLICA_PLANNER_H_

/**
 * One run of PlanReplicas: models in replicas.cc, adapters in
 * replicas_adapters.cc, who yields a place in replicas_preemption.cc.
 */

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "figwell/serving/replicas.h"

namespace figwell::serving {

// What a slow load costs, in milliseconds of work a second: a server that has
// the weights at hand is chosen unless it has so much more to do.
inline constexpr double kBusyWork = 350;

class Planner {
 public:
  explicit Planner(const ReplicaPlanInput& input);

  std::vector<ReplicaMove> Plan();

 private:
  void NoteSizes();
  double Work(const ModelId& model) const;
  double Requests(const ModelTarget& target) const;
  double WorkPerCopy(const ModelId& model, int copies) const;
  int Copies(const ModelId& model) const;

  /** Work a second that reaches a server if each model's copies share. */
  double ServerWork(const EngineState& server) const;

  bool Free(const ServerId& id) const;

  double WeightOf(const ModelId& model) const;
  double UsedMb(const EngineState& server) const;
  bool Fits(const EngineState& server, const ModelId& model) const;

  void Add(const ServerId& server, OrderAction action,
           const ModelTarget& target, MoveReason reason);

  void LoadModel(const ServerId& server, const ModelId& model,
                 MoveReason reason);

  bool MayLoad(const EngineState& server, const ModelId& model) const;

  /**
   * How many copies each model should have: one each, and the other places to
   * the models with the most work a copy, as far as it is worth a copy.
   */
  void SetTargets();

  /** Targets where there are more models than places. */
  void SetScarceTargets(int places);
  /** Gives further copies, the most worthwhile first, while places last. */
  void SetFurtherTargets(int places);

  /** Models that fit into a server: those it holds, and more of average size.
   */
  int PlacesOf(const EngineState& server) const;

  /**
   * A place that is empty, or is being emptied, waits for a load. No further
   * copy gives way for loads that could not begin.
   */
  void ReserveLoadsForVacancies();

  /**
   * Copies that may give way before their loads are allowed: an unload waits
   * for its runs to end. A place that stays empty is dear where loads are
   * quick, since the copy that left it would have been worth more.
   */
  int UnloadsAhead() const;

  bool IsLoading(const EngineState& server) const;

  int Target(const ModelId& model) const;

  /**
   * What one more copy of a model is worth. The first one of a model that
   * nobody asks for can wait until a copy that is hardly used may give way.
   */
  double WorthOfNextCopy(const ModelId& model) const;

  /**
   * The copy on the server whose loss matters least. It has to be worth
   * clearly less than the one that is wanted, or models would change places
   * over and over.
   */
  std::optional<ModelId> Victim(const ServerId& id,
                                const ModelId& wanted) const;

  /** What is lost with one copy of a model. */
  double Loss(const ModelId& model) const;
  /** Whether the copy may yield its place to one more copy of `wanted`. */
  bool MayYield(const ServerId& id, const ModelId& model,
                const ModelId& wanted) const;
  /** Whether it may although it is the last one. */
  bool MayYieldLast(const ServerId& id, const ModelId& model,
                    const ModelId& wanted) const;
  bool IsAskedFor(const ModelId& model) const { return Work(model) > 0; }
  Duration LoadTime(const ModelId& model) const;
  /** How long nobody has asked for the model, up to a bound. */
  double IdleSeconds(const ModelId& model) const;

  struct Place {
    ServerId server;
    std::optional<ModelId> victim;
    double cost = 0;
  };

  /** Where a further copy costs least; a victim has to go first if it is set.
   */
  std::optional<Place> FindPlace(const ModelId& model) const;

  void Carry(const Place& place, const ModelId& model, MoveReason reason);

  /** Copies that are missing, those with the most work first. */
  void PlaceModels();

  /**
   * Takes places that nothing needs for models that may be asked for next:
   * those with many adapters and few copies. Demand moves faster than a load,
   * and a lone copy may be lost with its server.
   */
  void FillVacancies();

  /** @param vacant servers that may have room */
  std::optional<Place> FindVacancy(const ModelId& model,
                                   const std::set<ServerId>& vacant) const;

  int AdapterCount(const ServerId& id) const;

  /** The server with a free place that has the fewest adapters. */
  std::optional<ServerId> AdapterPlace(const ModelTarget& target) const;

  /** Frees a place for `target` by unloading an adapter asked for less. */
  void MakeAdapterPlace(const ModelTarget& target);

  void PlaceAdapters();

  void AddBusyAdapters();

  const ReplicaPlanInput& input_;
  double capacity_ = 0;  // for weights, without what adapters may take
  double largest_weight_ = 0;
  double average_weight_ = 0;
  Duration longest_load_{0};
  int loads_left_;
  int evictions_left_ = 0;
  /** There are more models than places. */
  bool scarce_ = false;
  std::map<ModelId, int> copies_;
  std::map<ModelTarget, int> adapter_copies_;
  /** Servers that hold a model, and how many adapters a server holds. */
  std::map<ModelId, std::vector<ServerId>> holders_;
  std::map<ServerId, int> adapters_held_;
  std::map<ModelId, int> targets_;
  std::set<ModelId> stuck_;  // no place can be found now
  std::set<ServerId> ordered_;
  std::vector<ReplicaMove> moves_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SRC_REPLICA_PLANNER_H_
