#ifndef FIGWELL_APPS_CONTROLLER_STATUS_H_
#define FIGWELL_APPS_CONTROLLER_STATUS_H_

#include <string>
#include <string_view>
#include <vector>

#include "figwell/config.h"
#include "figwell/peers.h"
#include "figwell/store.h"
#include "figwell/versions.h"

namespace figwell::controller {

/** The transaction that reads the store's part of the status. */
store::Transaction StatusQuery(const std::string& prefix);

/**
 * The status as a JSON object: the version in force here, whether the store
 * answered, and for each domain its instances, units, servers, ready models
 * and the holder of its placement lease.
 *
 * @param result of StatusQuery(); on an error all that the store holds is
 *     missing
 * @param placement this domain's placement as a JSON object
 */
std::string StatusJson(const config::Settings& settings,
                       const versions::VersionLog& log,
                       const Result<store::TransactionResult>& result,
                       const std::vector<peers::Member>& members,
                       peers::ReachabilityLevel reach,
                       std::string_view placement);

}  // namespace figwell::controller

#endif  // FIGWELL_APPS_CONTROLLER_STATUS_H_
