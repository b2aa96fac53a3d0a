#ifndef FIGWELL_SERVING_CATALOG_CHECK_H_
#define FIGWELL_SERVING_CATALOG_CHECK_H_

/** Checks a configuration before it is sent; see serving.h. */

#include <string>
#include <string_view>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

enum class CatalogProblem {
  kNeverUsed,      ///< an entry that no request can reach
  kContradiction,  ///< values that cannot hold together
  kOpened,         ///< a route that needs no key, and needs one now
};

std::string_view Name(CatalogProblem problem);

/** Something in a valid configuration that is most likely an error. */
struct CatalogFinding {
  CatalogProblem problem = CatalogProblem::kNeverUsed;
  /** What it is about, such as `route R`, `service S` or `team T`. */
  std::string place;
  std::string message;

  friend bool operator==(const CatalogFinding&,
                         const CatalogFinding&) = default;
};

/** Finds entries that are never used, and values that contradict each other. */
std::vector<CatalogFinding> CheckCatalog(const Catalog& catalog);
/** Finds routes of `after` that are open to all and are not in `before`. */
std::vector<CatalogFinding> FindOpenedRoutes(const Catalog& before,
                                             const Catalog& after);

/** A value that differs between two configurations; empty where it is absent.
 */
struct CatalogDifference {
  std::string place;
  std::string field;  ///< empty if all of the place was added or removed
  std::string before;
  std::string after;

  friend bool operator==(const CatalogDifference&,
                         const CatalogDifference&) = default;
};

/** Compares two configurations. API keys are counted, not shown. */
std::vector<CatalogDifference> CompareCatalogs(const Catalog& before,
                                               const Catalog& after);

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_CATALOG_CHECK_H_
