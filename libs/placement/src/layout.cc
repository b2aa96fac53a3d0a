#include <algorithm>
#include <optional>
#include <utility>

#include "figwell/placement/plan.h"

namespace figwell::placement {
namespace {

/** A server with the memory that is not yet assigned. */
struct Bin {
  ServerId server;
  DomainId domain;
  PoolId pool;
  std::int64_t free = 0;
};

/** The bins of each domain. */
using Bins = std::map<DomainId, std::vector<Bin>>;

Bins MakeBins(const config::Configuration& configuration) {
  Bins bins;
  for (const ServerId& id : EngineServers(configuration)) {
    const config::Server& server = configuration.servers.at(id);
    if (!server.draining) {
      bins[server.failure_domain].push_back(
          {id, server.failure_domain, server.pool, server.memory_bytes});
    }
  }
  return bins;
}

bool PoolAllows(const Bundle& bundle, const Bin& bin) {
  return bundle.pool.empty() || bundle.pool == bin.pool;
}

/** The bin with less free memory; either may be null. */
Bin* BetterFit(Bin* left, Bin* right) {
  if (left == nullptr || right == nullptr) {
    return left == nullptr ? right : left;
  }
  return right->free < left->free ? right : left;
}

/** The bin with the least sufficient free memory; null if there is none. */
Bin* BestFit(std::vector<Bin>& bins, const Bundle& bundle,
             std::int64_t needed_bytes) {
  Bin* best = nullptr;
  for (Bin& bin : bins) {
    if (bin.free >= needed_bytes &&
        (best == nullptr || bin.free < best->free) && PoolAllows(bundle, bin)) {
      best = &bin;
    }
  }
  return best;
}

/** The domains by preference of this bundle (rendezvous hashing). */
std::vector<DomainId> PreferredDomains(const Bins& domains,
                                       const Bundle& bundle) {
  std::vector<std::pair<std::uint64_t, DomainId>> weighted;
  weighted.reserve(domains.size());
  const std::string key =
      bundle.base.model.value() + ":" + bundle.base.version.value();
  for (const auto& [domain, bins] : domains) {
    weighted.emplace_back(RendezvousWeight(key, domain.value()), domain);
  }
  std::sort(weighted.rbegin(), weighted.rend());
  std::vector<DomainId> ordered;
  ordered.reserve(weighted.size());
  for (auto& [weight, domain] : weighted) {
    ordered.push_back(std::move(domain));
  }
  return ordered;
}

/** Builds a layout; each round assigns one more domain to each bundle. */
class LayoutBuilder {
 public:
  LayoutBuilder(const config::Configuration& configuration,
                const std::map<Item, Bundle>& bundles)
      : bins_(MakeBins(configuration)) {
    for (const auto& [domain, bins] : bins_) {
      layout_.homes[domain];
    }
    for (const auto& [base, bundle] : bundles) {
      ordered_bundles_.push_back(&bundle);
      preferred_[&bundle] = PreferredDomains(bins_, bundle);
    }
    std::stable_sort(ordered_bundles_.begin(), ordered_bundles_.end(),
                     [](const Bundle* left, const Bundle* right) {
                       return left->TotalBytes() > right->TotalBytes();
                     });
  }

  /** Assigns one domain to each bundle: by preference, or by best fit. */
  void PlaceFirstDomain(bool as_preferred) {
    for (const Bundle* bundle : ordered_bundles_) {
      if (!(as_preferred ? PlaceByPreference(*bundle)
                         : PlaceByBestFit(*bundle))) {
        layout_.findings.push_back(MakeFinding(*bundle));
      }
    }
  }

  /** Assigns one more domain to as many bundles as possible. */
  void PlaceFurtherDomain() {
    LayoutBuilder smallest_first = *this;
    std::reverse(smallest_first.ordered_bundles_.begin(),
                 smallest_first.ordered_bundles_.end());
    const std::size_t placed = PlaceRound();
    if (placed == ordered_bundles_.size()) {
      return;
    }
    if (smallest_first.PlaceRound() > placed) {
      std::reverse(smallest_first.ordered_bundles_.begin(),
                   smallest_first.ordered_bundles_.end());
      *this = std::move(smallest_first);
    }
  }

  const Layout& layout() const { return layout_; }
  std::size_t domains() const { return bins_.size(); }

 private:
  bool PlaceByPreference(const Bundle& bundle) {
    const std::int64_t needed_bytes = bundle.TotalBytes();
    for (const DomainId& domain : preferred_.at(&bundle)) {
      Bin* bin = layout_.homes[domain].contains(bundle.base)
                     ? nullptr
                     : BestFit(bins_.at(domain), bundle, needed_bytes);
      if (bin != nullptr) {
        Assign(bundle, *bin);
        return true;
      }
    }
    return false;
  }

  bool PlaceByBestFit(const Bundle& bundle) {
    Bin* bin = nullptr;
    for (auto& [domain, bins] : bins_) {
      bin = BetterFit(bin, BestFit(bins, bundle, bundle.TotalBytes()));
    }
    if (bin != nullptr) {
      Assign(bundle, *bin);
    }
    return bin != nullptr;
  }

  std::size_t PlaceRound() {
    return static_cast<std::size_t>(std::count_if(
        ordered_bundles_.begin(), ordered_bundles_.end(),
        [this](const Bundle* bundle) { return PlaceByPreference(*bundle); }));
  }

  void Assign(const Bundle& bundle, Bin& bin) {
    bin.free -= bundle.TotalBytes();
    layout_.homes[bin.domain][bundle.base] = bin.server;
  }

  Finding MakeFinding(const Bundle& bundle) const {
    std::int64_t max_free = 0;
    for (const auto& [domain, bins] : bins_) {
      for (const Bin& bin : bins) {
        if (PoolAllows(bundle, bin)) {
          max_free = std::max(max_free, bin.free);
        }
      }
    }
    const std::int64_t needed_bytes = bundle.TotalBytes();
    return {"models." + bundle.base.model.value() + ".versions." +
                bundle.base.version.value(),
            "does not fit: it needs " + std::to_string(needed_bytes) +
                " bytes with its adapters, and beside the other models no "
                "server of its pool has more than " +
                std::to_string(max_free) + " bytes free; " +
                std::to_string(needed_bytes - max_free) + " bytes are lacking"};
  }

  Bins bins_;
  std::vector<const Bundle*> ordered_bundles_;
  std::map<const Bundle*, std::vector<DomainId>> preferred_;
  Layout layout_;
};

}  // namespace

std::int64_t Bundle::TotalBytes() const {
  std::int64_t total = bytes;
  for (const auto& [item, adapter_bytes] : adapters) {
    total += adapter_bytes;
  }
  return total;
}

std::map<Item, Bundle> MakeBundles(const config::Configuration& configuration) {
  std::map<Item, Bundle> bundles;
  for (const auto& [model_id, model] : configuration.models) {
    for (const auto& [version_id, version] : model.versions) {
      Bundle bundle;
      bundle.base = {model_id, version_id, {}};
      bundle.bytes = version.bytes;
      bundle.pool = model.pool;
      if (version_id == model.default_version) {
        for (const auto& [adapter_id, adapter] : model.adapters) {
          bundle.adapters[{model_id, version_id, adapter_id}] = adapter.bytes;
        }
      }
      bundles.emplace(bundle.base, std::move(bundle));
    }
  }
  return bundles;
}

std::set<ServerId> EngineServers(const config::Configuration& configuration) {
  std::set<ServerId> engines;
  for (const auto& [id, server] : configuration.servers) {
    if (server.memory_bytes > 0) {
      engines.insert(id);
    }
  }
  for (const auto& [id, service] : configuration.services) {
    for (const ServerId& server : service.servers) {
      engines.erase(server);
    }
  }
  return engines;
}

Layout MakeLayout(const config::Configuration& configuration) {
  const std::map<Item, Bundle> bundles = MakeBundles(configuration);
  LayoutBuilder builder(configuration, bundles);
  builder.PlaceFirstDomain(true);
  if (!builder.layout().findings.empty()) {
    LayoutBuilder best_fit(configuration, bundles);
    best_fit.PlaceFirstDomain(false);
    if (best_fit.layout().findings.size() < builder.layout().findings.size()) {
      builder = std::move(best_fit);
    }
  }
  for (std::size_t round = 1; round < builder.domains(); ++round) {
    builder.PlaceFurtherDomain();
  }
  return builder.layout();
}

Findings CheckFits(const config::Configuration& configuration) {
  return MakeLayout(configuration).findings;
}

}  // namespace figwell::placement
