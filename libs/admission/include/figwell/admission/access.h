#ifndef FIGWELL_ADMISSION_ACCESS_H_
#define FIGWELL_ADMISSION_ACCESS_H_

/** Refusal reasons and access checks by key and model; see admission.h. */

#include <array>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>

#include "figwell/config.h"
#include "figwell/core.h"

namespace figwell::admission {

/** Why a request is refused. Callers see the code, which never changes. */
enum class RefusalReason {
  kMissingKey,
  kUnknownKey,
  kModelNotFound,
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
};

inline constexpr std::array kAllRefusalReasons = {
    RefusalReason::kMissingKey,
    RefusalReason::kUnknownKey,
    RefusalReason::kModelNotFound,
    RefusalReason::kNotAllowed,
    RefusalReason::kRateLimited,
    RefusalReason::kRequestTooLarge,
    RefusalReason::kBadRequest,
    RefusalReason::kOverloaded,
    RefusalReason::kNoServer,
    RefusalReason::kDeadline,
    RefusalReason::kBackendFailed,
    RefusalReason::kOutcomeUnknown,
    RefusalReason::kIdempotencyConflict,
    RefusalReason::kDraining,
};

/** The stable code, for example `rate_limited`. */
std::string_view Code(RefusalReason reason);

/** The HTTP status that goes with the code. */
int HttpStatus(RefusalReason reason);

/** Whether a response with this reason has a `Retry-After` header. */
bool HasRetryAfter(RefusalReason reason);

/** Team and model of a permitted request. Points into its AccessTable. */
struct Access {
  const config::KeyOwner* owner = nullptr;
  const config::Team* team = nullptr;
  const config::ModelTarget* target = nullptr;
};

/** Hash that finds a `string_view` in a map of strings without a copy. */
struct StringHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const {
    return std::hash<std::string_view>()(text);
  }
};

/** Access checks against one configuration. Immutable and thread-safe. */
class AccessTable {
 public:
  /** @param denied digests of keys that operators denied */
  explicit AccessTable(config::ConfigurationPtr configuration,
                       std::set<Digest> denied = {});

  /** The owner of a key; null if the key is unknown or denied. */
  const config::KeyOwner* FindOwner(const Digest& key) const;

  /** Whether the key may use the model of this name. Allocates nothing. */
  tl::expected<Access, RefusalReason> Check(const Digest& key,
                                            std::string_view model) const;

  /**
   * Whether a request that was accepted under an earlier configuration may
   * still be dispatched: the key still belongs to the team, and the team may
   * still use the model.
   */
  bool StillAllowed(const Digest& key, const TeamId& team,
                    const ModelId& model) const;

  const config::ConfigurationPtr& configuration() const {
    return configuration_;
  }

 private:
  void AddTarget(const std::string& name);

  config::ConfigurationPtr configuration_;
  config::KeyIndex keys_;
  std::set<Digest> denied_;
  std::unordered_map<std::string, config::ModelTarget, StringHash,
                     std::equal_to<>>
      targets_;  // by every name that a request may use
};

}  // namespace figwell::admission

#endif  // FIGWELL_ADMISSION_ACCESS_H_
