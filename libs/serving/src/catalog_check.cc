#include "figwell/serving/catalog_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace figwell::serving {
namespace {

using Fields = std::map<std::string, std::string>;
/** The fields of every entry, by its place. */
using Places = std::map<std::string, Fields>;

std::string Milliseconds(Duration duration) {
  return std::to_string(duration / std::chrono::milliseconds(1)) + " ms";
}

// Without trailing zeros, so that equal numbers have equal texts.
std::string Number(double number) {
  std::string text = std::to_string(number);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

std::string PlaceOf(const Route& route) { return "route " + route.id.value(); }
std::string PlaceOf(const ServiceSpec& service) {
  return "service " + service.id.value();
}
std::string PlaceOf(const TeamSpec& team) { return "team " + team.id.value(); }

std::map<TeamId, int> CountKeys(const Catalog& catalog) {
  std::map<TeamId, int> keys;
  for (const auto& [key, team] : catalog.team_of_key()) {
    ++keys[team];
  }
  return keys;
}

/** One run of CheckCatalog. */
class Checker {
 public:
  explicit Checker(const Catalog& catalog) : catalog_(catalog) {}

  std::vector<CatalogFinding> Run() {
    CheckRouteOrder();
    std::set<ServiceId> routed;
    for (const Route& route : catalog_.routes()) {
      CheckTimes(route);
      CheckShares(route, routed);
    }
    for (const auto& [id, service] : catalog_.services()) {
      if (!routed.contains(id)) {
        NeverUsed(PlaceOf(service), "no route leads to it");
      }
      CheckService(service);
    }
    const auto keys = CountKeys(catalog_);
    for (const auto& [id, team] : catalog_.teams()) {
      CheckTeam(team, keys.contains(id));
    }
    return std::move(findings_);
  }

 private:
  void NeverUsed(const std::string& place, std::string message) {
    findings_.push_back(
        {CatalogProblem::kNeverUsed, place, std::move(message)});
  }
  void Contradiction(const std::string& place, std::string message) {
    findings_.push_back(
        {CatalogProblem::kContradiction, place, std::move(message)});
  }

  // The longest prefix decides, and of equal ones the first route.
  void CheckRouteOrder() {
    std::map<std::pair<std::string, std::string>, const Route*> first;
    for (const Route& route : catalog_.routes()) {
      const auto [found, added] =
          first.try_emplace({route.host, route.path_prefix}, &route);
      if (!added) {
        NeverUsed(PlaceOf(route),
                  "has the host and prefix of " + PlaceOf(*found->second));
      }
      if (!route.path_prefix.starts_with('/') ||
          !route.path_prefix.ends_with('/')) {
        NeverUsed(PlaceOf(route), "its prefix has to begin and end with '/'");
      }
    }
  }

  void CheckTimes(const Route& route) {
    const Duration timeout = route.timeout;
    if (timeout.count() > 0 && route.latency_target > timeout) {
      Contradiction(PlaceOf(route), "the latency target of " +
                                        Milliseconds(route.latency_target) +
                                        " is above the timeout of " +
                                        Milliseconds(timeout));
    }
    if (timeout.count() > 0 && route.event_gap_target > timeout) {
      Contradiction(PlaceOf(route), "the target for pauses of " +
                                        Milliseconds(route.event_gap_target) +
                                        " is above the timeout of " +
                                        Milliseconds(timeout));
    }
    if (route.max_servers < 1) {
      Contradiction(PlaceOf(route), "its requests may be sent to no server");
    }
    if (route.resumable && route.kind != RequestKind::kStreaming) {
      Contradiction(PlaceOf(route), "only streams can be resumed");
    }
  }

  void CheckShares(const Route& route, std::set<ServiceId>& routed) {
    double total = 0;
    for (const TrafficShare& share : route.shares) {
      total += std::max(0.0, share.weight);
      if (catalog_.FindService(share.service) == nullptr) {
        Contradiction(PlaceOf(route), "leads to service " +
                                          share.service.value() +
                                          ", which is not configured");
      } else if (share.weight <= 0) {
        NeverUsed(PlaceOf(route), "its share for service " +
                                      share.service.value() +
                                      " has the weight 0");
      } else {
        routed.insert(share.service);
      }
    }
    if (total <= 0) {
      Contradiction(PlaceOf(route), "the weights of its shares add up to 0");
    }
  }

  void CheckService(const ServiceSpec& service) {
    if (!service.engine) {
      return;
    }
    const EngineSpec& engine = *service.engine;
    if (engine.models.empty()) {
      NeverUsed(PlaceOf(service), "its servers have no models to hold");
    }
    for (const auto& [id, model] : engine.models) {
      const std::string name = "model " + id.value();
      if (model.weights_mb > engine.weights_mb) {
        Contradiction(PlaceOf(service), name + " of " +
                                            Number(model.weights_mb) +
                                            " MB does not fit into " +
                                            Number(engine.weights_mb) + " MB");
      } else if (model.adapters > 0 &&
                 model.weights_mb + model.adapter_mb > engine.weights_mb) {
        Contradiction(PlaceOf(service),
                      name + " leaves no memory for one of its adapters");
      }
      if (model.adapters > 0 && engine.adapter_slots < 1) {
        NeverUsed(PlaceOf(service),
                  "the adapters of " + name + " have no slot on any server");
      }
    }
  }

  void CheckTeam(const TeamSpec& team, bool has_keys) {
    if (!has_keys) {
      NeverUsed(PlaceOf(team), "has no key");
    }
    if (team.rate > 0 && team.burst < team.plain_tokens) {
      Contradiction(PlaceOf(team), "a request without a token count costs " +
                                       std::to_string(team.plain_tokens) +
                                       ", more than the burst of " +
                                       std::to_string(team.burst));
    }
    if (team.rate == 0 && team.burst > 0) {
      Contradiction(PlaceOf(team), "has a burst, but no rate: not limited");
    }
  }

  const Catalog& catalog_;
  std::vector<CatalogFinding> findings_;
};

std::string_view KindText(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kAtMostOnce:
      return "at most once";
    case RequestKind::kStreaming:
      return "streaming";
  }
  return "unknown";
}

Fields FieldsOf(const Route& route) {
  std::string shares;
  for (const TrafficShare& share : route.shares) {
    shares += (shares.empty() ? "" : ", ") + share.service.value() + " " +
              Number(share.weight);
  }
  return {{"host", route.host},
          {"prefix", route.path_prefix},
          {"kind", std::string(KindText(route.kind))},
          {"timeout", Milliseconds(route.timeout)},
          {"latency target", Milliseconds(route.latency_target)},
          {"pause target", Milliseconds(route.event_gap_target)},
          {"rank", std::to_string(route.rank)},
          {"services", shares},
          {"servers per request", std::to_string(route.max_servers)},
          {"key required", route.open ? "no" : "yes"},
          {"resumable", route.resumable ? "yes" : "no"}};
}

void AddService(const ServiceSpec& service, Places& places) {
  Fields fields{{"health path", service.health_path},
                {"connections", std::to_string(service.max_connections)},
                {"cold start", Milliseconds(service.cold_start)},
                {"cold rate", Number(service.cold_requests_per_second)},
                {"engine", service.engine ? "yes" : "no"}};
  if (service.engine) {
    const EngineSpec& engine = *service.engine;
    fields["slots"] = std::to_string(engine.slots);
    fields["cache"] = std::to_string(engine.cache_tokens);
    fields["memory"] = Number(engine.weights_mb) + " MB";
    fields["adapter slots"] = std::to_string(engine.adapter_slots);
    fields["load rate"] = Number(engine.loads_per_second);
    for (const auto& [id, model] : engine.models) {
      places[PlaceOf(service) + " model " + id.value()] = {
          {"weights", Number(model.weights_mb) + " MB"},
          {"load time", Milliseconds(model.load_time)},
          {"load time from disk", Milliseconds(model.disk_load_time)},
          {"load time from memory", Milliseconds(model.memory_load_time)},
          {"adapters", std::to_string(model.adapters)},
          {"adapter size", Number(model.adapter_mb) + " MB"}};
    }
  }
  places[PlaceOf(service)] = std::move(fields);
}

// Keys as one number, so that a replaced key is a difference.
std::string KeysText(const Catalog& catalog, const TeamId& team) {
  int count = 0;
  std::uint64_t digest = 0;
  for (const auto& [key, owner] : catalog.team_of_key()) {
    if (owner == team) {
      ++count;
      digest ^= StableHash(key);
    }
  }
  constexpr std::uint64_t kDigestRange = 10'000;
  return std::to_string(count) + " (set " +
         std::to_string(digest % kDigestRange) + ")";
}

Places PlacesOf(const Catalog& catalog) {
  Places places;
  for (const Route& route : catalog.routes()) {
    places[PlaceOf(route)] = FieldsOf(route);
  }
  for (const auto& [id, service] : catalog.services()) {
    AddService(service, places);
  }
  for (const auto& [id, team] : catalog.teams()) {
    places[PlaceOf(team)] = {
        {"rank", team.rank ? std::to_string(*team.rank) : ""},
        {"rate", std::to_string(team.rate)},
        {"burst", std::to_string(team.burst)},
        {"plain tokens", std::to_string(team.plain_tokens)},
        {"keys", KeysText(catalog, id)}};
  }
  const CallerLimits& limits = catalog.limits();
  places["limits"] = {{"head", std::to_string(limits.head_bytes)},
                      {"body", std::to_string(limits.body_bytes)},
                      {"head timeout", Milliseconds(limits.head_timeout)},
                      {"idle timeout", Milliseconds(limits.idle_timeout)}};
  places["configuration"] = {{"number", std::to_string(catalog.number())}};
  return places;
}

void CompareFields(const std::string& place, const Fields& before,
                   const Fields& after, std::vector<CatalogDifference>& out) {
  std::set<std::string> names;
  for (const Fields* fields : {&before, &after}) {
    for (const auto& [name, value] : *fields) {
      names.insert(name);
    }
  }
  const auto find = [](const Fields& fields, const std::string& name) {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
  };
  for (const std::string& name : names) {
    const std::string old_value = find(before, name);
    const std::string new_value = find(after, name);
    if (old_value != new_value) {
      out.push_back({place, name, old_value, new_value});
    }
  }
}

}  // namespace

std::string_view Name(CatalogProblem problem) {
  switch (problem) {
    case CatalogProblem::kNeverUsed:
      return "never_used";
    case CatalogProblem::kContradiction:
      return "contradiction";
    case CatalogProblem::kOpened:
      return "opened";
  }
  return "unknown";
}

std::vector<CatalogFinding> CheckCatalog(const Catalog& catalog) {
  return Checker(catalog).Run();
}

std::vector<CatalogFinding> FindOpenedRoutes(const Catalog& before,
                                             const Catalog& after) {
  const auto is_open = [](const Catalog& catalog, const Route& route) {
    return route.open || !catalog.RequiresKeys();
  };
  std::vector<CatalogFinding> findings;
  for (const Route& route : after.routes()) {
    const Route* former = before.FindRoute(route.host, route.path_prefix);
    if (former != nullptr && is_open(after, route) &&
        !is_open(before, *former)) {
      findings.push_back(
          {CatalogProblem::kOpened, PlaceOf(route),
           "needs no key, but its requests need one in the other version"});
    }
  }
  return findings;
}

std::vector<CatalogDifference> CompareCatalogs(const Catalog& before,
                                               const Catalog& after) {
  const Places old_places = PlacesOf(before);
  const Places new_places = PlacesOf(after);
  std::vector<CatalogDifference> out;
  for (const auto& [place, fields] : old_places) {
    const auto found = new_places.find(place);
    if (found == new_places.end()) {
      out.push_back({place, {}, "present", {}});
    } else {
      CompareFields(place, fields, found->second, out);
    }
  }
  for (const auto& [place, fields] : new_places) {
    if (!old_places.contains(place)) {
      out.push_back({place, {}, {}, "present"});
    }
  }
  return out;
}

}  // namespace figwell::serving
