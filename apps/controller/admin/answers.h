#ifndef FIGWELL_APPS_CONTROLLER_ADMIN_ANSWERS_H_
#define FIGWELL_APPS_CONTROLLER_ADMIN_ANSWERS_H_

/** The HTTP responses of the administration API, and parts of its requests. */

#include <string>
#include <string_view>
#include <vector>

#include "figwell/core.h"
#include "figwell/http.h"
#include "figwell/versions.h"

namespace figwell::admin {

/**
 * The response's `Figwell-Not-Run` header: absent, `true` (the request had no
 * effect) or `unknown`.
 */
enum class NotRun { kUnspecified, kTrue, kUnknown };

http::Response ErrorResponse(int status, std::string_view code,
                             std::string_view message, NotRun not_run);

http::Response PatchResponse(const PatchId& id,
                             const versions::PatchOutcome& outcome);

http::Response PatchStatusResponse(const PatchId& id,
                                   const versions::PatchStatus& status);

http::Response HistoryResponse(
    const std::vector<versions::PatchRecord>& records);

/** The outcome's name in audit events and metric labels. */
std::string_view Name(versions::PatchOutcome::Kind kind);

/** Parses the version number N from `If-Match: "N"`; quotes are optional. */
Result<config::VersionNumber> ParseIfMatch(std::string_view value);

/** Parses the digest from `{"sha256": "..."}`. */
Result<Digest> ParseDenial(std::string_view body);

}  // namespace figwell::admin

#endif  // FIGWELL_APPS_CONTROLLER_ADMIN_ANSWERS_H_
