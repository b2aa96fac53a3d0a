#include "figwell/admission/access.h"

namespace figwell::admission {
namespace {

struct ReasonTraits {
  std::string_view code;
  int status;
  bool retry_after;
};

ReasonTraits Traits(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kMissingKey:
      return {"missing_key", 401, false};
    case RefusalReason::kUnknownKey:
      return {"unknown_key", 401, false};
    case RefusalReason::kModelNotFound:
      return {"model_not_found", 404, false};
    case RefusalReason::kNotAllowed:
      return {"not_allowed", 403, false};
    case RefusalReason::kRateLimited:
      return {"rate_limited", 429, true};
    case RefusalReason::kRequestTooLarge:
      return {"request_too_large", 413, false};
    case RefusalReason::kBadRequest:
      return {"bad_request", 400, false};
    case RefusalReason::kOverloaded:
      return {"overloaded", 503, true};
    case RefusalReason::kNoServer:
      return {"no_server", 503, false};
    case RefusalReason::kDeadline:
      return {"deadline", 504, false};
    case RefusalReason::kBackendFailed:
      return {"backend_failed", 502, false};
    case RefusalReason::kOutcomeUnknown:
      return {"outcome_unknown", 502, false};
    case RefusalReason::kIdempotencyConflict:
      return {"idempotency_conflict", 409, false};
    case RefusalReason::kDraining:
      return {"draining", 503, false};
  }
  return {"internal", 500, false};
}

}  // namespace

std::string_view Code(RefusalReason reason) { return Traits(reason).code; }

int HttpStatus(RefusalReason reason) { return Traits(reason).status; }

bool HasRetryAfter(RefusalReason reason) { return Traits(reason).retry_after; }

AccessTable::AccessTable(config::ConfigurationPtr configuration,
                         std::set<Digest> denied)
    : configuration_(std::move(configuration)),
      keys_(*configuration_),
      denied_(std::move(denied)) {
  for (const auto& [id, model] : configuration_->models) {
    AddTarget(id.value());
    for (const auto& [version, unused] : model.versions) {
      AddTarget(id.value() + ":" + version.value());
    }
    for (const auto& [adapter, unused] : model.adapters) {
      AddTarget(adapter.value());
    }
  }
}

void AccessTable::AddTarget(const std::string& name) {
  if (auto target = config::ResolveModel(*configuration_, name);
      target.has_value()) {
    targets_.emplace(name, *std::move(target));
  }
}

const config::KeyOwner* AccessTable::FindOwner(const Digest& key) const {
  return denied_.contains(key) ? nullptr : keys_.Find(key);
}

tl::expected<Access, RefusalReason> AccessTable::Check(
    const Digest& key, std::string_view model) const {
  const config::KeyOwner* owner = FindOwner(key);
  if (owner == nullptr) {
    return tl::unexpected(RefusalReason::kUnknownKey);
  }
  const auto target = targets_.find(model);
  if (target == targets_.end()) {
    return tl::unexpected(RefusalReason::kModelNotFound);
  }
  const config::Team& team = configuration_->teams.at(owner->team);
  if (!team.models.contains(target->second.model)) {
    return tl::unexpected(RefusalReason::kNotAllowed);
  }
  return Access{owner, &team, &target->second};
}

bool AccessTable::StillAllowed(const Digest& key, const TeamId& team,
                               const ModelId& model) const {
  const config::KeyOwner* owner = FindOwner(key);
  return owner != nullptr && owner->team == team &&
         configuration_->teams.at(team).models.contains(model);
}

}  // namespace figwell::admission
