#ifndef FIGWELL_SERVING_TESTS_ONE_MODEL_H_
#define FIGWELL_SERVING_TESTS_ONE_MODEL_H_

/** A service with one model, for simulated loads. */

#include <string>
#include <vector>

#include "figwell/serving/balancer.h"
#include "figwell/serving/catalog.h"
#include "figwell/serving/directory.h"

namespace figwell::serving {

inline const ServiceId kOnlyService{"models"};
inline const ModelTarget kOnlyModel{ModelId("m"), ""};
inline const DomainId kOnlyDomain{"here"};

inline Catalog MakeOneModelCatalog() {
  ServiceSpec service{kOnlyService, "/", 0, EngineSpec{}};
  service.engine->slots = 64;
  service.engine->models.emplace(kOnlyModel.model, ModelSpec{kOnlyModel.model});
  CatalogParts parts;
  parts.services.emplace(kOnlyService, service);
  return Catalog(std::move(parts));
}

/** A server that holds the model. */
inline BackendServer MakeModelServer(int number) {
  BackendServer server;
  server.id = ServerId(std::string("s").append(std::to_string(number)));
  server.service = kOnlyService;
  server.domain = kOnlyDomain;
  server.models[kOnlyModel.model] = {};
  return server;
}

/**
 * Sends each instance's load to all others every `interval`, one instance after
 * the other. To be called every millisecond.
 */
inline void ExchangeLoads(TimePoint now, std::chrono::milliseconds interval,
                          std::vector<Balancer>& balancers) {
  for (std::size_t sender = 0; sender < balancers.size(); ++sender) {
    const Duration phase = interval * sender / balancers.size();
    if ((now.time_since_epoch() - phase) % interval != Duration{0}) {
      continue;
    }
    const InstanceId name(std::string("i").append(std::to_string(sender)));
    for (std::size_t receiver = 0; receiver < balancers.size(); ++receiver) {
      if (receiver != sender) {
        balancers[receiver].OnPeerLoads(now, name,
                                        balancers[sender].OwnLoads());
      }
    }
  }
}

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_TESTS_ONE_MODEL_H_
