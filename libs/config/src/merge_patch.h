#ifndef FIGWELL_CONFIG_MERGE_PATCH_H_
#define FIGWELL_CONFIG_MERGE_PATCH_H_

#include <boost/json.hpp>

namespace figwell::config {

/** Applies `patch` to `target` as RFC 7396 says. */
void MergePatch(boost::json::value& target, const boost::json::value& patch);

}  // namespace figwell::config

#endif  // FIGWELL_CONFIG_MERGE_PATCH_H_
