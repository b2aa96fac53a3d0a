#ifndef FIGWELL_APPS_GATEWAY_REFUSAL_H_
#define FIGWELL_APPS_GATEWAY_REFUSAL_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "figwell/http.h"

namespace figwell::gateway {

/** Why a caller's request was refused; docs/OPERATING.md explains each. */
enum class Refusal : std::uint8_t {
  kMissingKey,
  kUnknownKey,
  kModelNotFound,
  kNotFound,
  kNotAllowed,
  kRateLimited,
  kRequestTooLarge,
  kBadRequest,
  kOverloaded,
  kNoServer,
  kDeadline,
  kBackendFailed,
  kOutcomeUnknown,
  kIdempotencyConflict,
  kDraining,
  kIsolated,
  kStoreUnavailable,
};

inline constexpr std::size_t kRefusals = 17;

/** The stable `code` of a refusal and its HTTP status. */
std::string_view CodeOf(Refusal refusal);
int StatusOf(Refusal refusal);

/** The refusal with this code; kOutcomeUnknown for an unknown code. */
Refusal RefusalFromCode(std::string_view code);

/** Whether the request is certain not to have run on any server. */
enum class NotRun : std::uint8_t { kCertain, kUnknown };

/** An OpenAI-compatible error response with a `Figwell-Not-Run` header. */
http::Response MakeRefusal(Refusal refusal, NotRun not_run,
                           std::string_view message,
                           std::optional<std::int64_t> retry_after_s = {});

/** The error's JSON object alone, sent as the end of a broken event stream. */
std::string ErrorObject(Refusal refusal, std::string_view message);

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_REFUSAL_H_
