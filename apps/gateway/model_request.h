#ifndef FIGWELL_APPS_GATEWAY_MODEL_REQUEST_H_
#define FIGWELL_APPS_GATEWAY_MODEL_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "figwell/config.h"
#include "figwell/http.h"
#include "refusal.h"

namespace figwell::gateway {

/** A refusal with the message that is sent to the caller. */
struct Refused {
  Refusal refusal = Refusal::kBadRequest;
  std::string message;
};

/** A caller's request to a model, validated and ready to be sent. */
struct ModelRequest {
  config::ModelTarget target;
  /** The caller named the version, so no other version may answer. */
  bool version_named = false;
  bool streamed = false;
  /** Maximum number of tokens in the answer. */
  std::int64_t max_tokens = 0;
  /** Bytes of the prompt, from which its tokens are estimated. */
  std::int64_t prompt_bytes = 0;
  /** A short hash of the prompt's first bytes, for prefix affinity. */
  std::string prefix;
  /** The body sent to the engine, as docs/ENGINE.md describes it. */
  std::string engine_body;
};

/**
 * Parses the body of a request to a model and validates it against the
 * configuration. Bodies nested deeper than 32 levels are refused.
 *
 * @param team the caller's team, which determines the models it may use
 */
tl::expected<ModelRequest, Refused> ParseModelRequest(
    std::string_view body, const config::Configuration& configuration,
    const config::Team& team);

/** Changes the request to another version of the same model. */
void UseVersion(ModelRequest& request, const VersionId& version);

/** Options that a caller may set by headers. */
struct CallerOptions {
  std::chrono::milliseconds deadline{60'000};
  int priority = 0;
  std::string idempotency_key;
  std::string request_id;
};

inline constexpr std::chrono::milliseconds kMaxDeadline{3'600'000};

/** Parses and validates the option headers. */
tl::expected<CallerOptions, Refused> ReadCallerOptions(
    const http::Headers& headers, int max_priority);

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_MODEL_REQUEST_H_
