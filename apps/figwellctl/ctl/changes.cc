#include "changes.h"

#include <boost/json.hpp>

namespace figwell::ctl {
namespace {

namespace json = boost::json;

Error NotFoundError(std::string_view kind, const std::string& id) {
  return {ErrorCode::kNotFound, "no such " + std::string(kind) + ": " + id, {}};
}

Error AlreadyExistsError(std::string_view kind, const std::string& id) {
  return {
      ErrorCode::kInvalid, std::string(kind) + " already exists: " + id, {}};
}

// A JSON text with `value` nested under the keys of `path`, outermost first.
std::string Nest(std::initializer_list<std::string> path, json::value value) {
  for (auto key = std::rbegin(path); key != std::rend(path); ++key) {
    json::object outer;
    outer.emplace(*key, std::move(value));
    value = std::move(outer);
  }
  return json::serialize(value);
}

// The items of a comma-separated list; empty ones are left out.
json::array SplitList(const std::string& list) {
  json::array items;
  std::size_t start = 0;
  while (start < list.size()) {
    const std::size_t end = std::min(list.find(',', start), list.size());
    if (end > start) {
      items.emplace_back(list.substr(start, end - start));
    }
    start = end + 1;
  }
  return items;
}

template <typename T>
void PutIfSet(json::object& object, std::string_view name,
              const std::optional<T>& value) {
  if (value) {
    object.emplace(name, *value);
  }
}

json::object TeamFields(const CommandOptions& options) {
  json::object fields;
  PutIfSet(fields, "rate", options.rate);
  PutIfSet(fields, "burst", options.burst);
  PutIfSet(fields, "weight", options.weight);
  if (options.models) {
    fields.emplace("models", SplitList(*options.models));
  }
  if (options.services) {
    fields.emplace("services", SplitList(*options.services));
  }
  return fields;
}

}  // namespace

Result<std::string> AddTeam(const config::Configuration& base,
                            const TeamId& team, const CommandOptions& options) {
  if (base.teams.contains(team)) {
    return tl::unexpected<Error>(AlreadyExistsError("team", team.value()));
  }
  return Nest({"teams", team.value()}, TeamFields(options));
}

Result<std::string> SetTeam(const config::Configuration& base,
                            const TeamId& team, const CommandOptions& options) {
  if (!base.teams.contains(team)) {
    return tl::unexpected<Error>(NotFoundError("team", team.value()));
  }
  return Nest({"teams", team.value()}, TeamFields(options));
}

Result<std::string> RemoveTeam(const config::Configuration& base,
                               const TeamId& team) {
  if (!base.teams.contains(team)) {
    return tl::unexpected<Error>(NotFoundError("team", team.value()));
  }
  return Nest({"teams", team.value()}, nullptr);
}

Result<Digest> DigestOfKey(const config::Configuration& base,
                           const TeamId& team, const KeyId& key) {
  const auto owner = base.teams.find(team);
  if (owner == base.teams.end()) {
    return tl::unexpected<Error>(NotFoundError("team", team.value()));
  }
  const auto found = owner->second.keys.find(key);
  if (found == owner->second.keys.end()) {
    return tl::unexpected<Error>(NotFoundError("key", key.value()));
  }
  return found->second.sha256;
}

Result<std::string> IssueKey(const config::Configuration& base,
                             const TeamId& team, const KeyId& key,
                             const Digest& digest) {
  const auto owner = base.teams.find(team);
  if (owner == base.teams.end()) {
    return tl::unexpected<Error>(NotFoundError("team", team.value()));
  }
  if (owner->second.keys.contains(key)) {
    return tl::unexpected<Error>(AlreadyExistsError("key", key.value()));
  }
  return Nest({"teams", team.value(), "keys", key.value()},
              json::object{{"sha256", ToHex(digest)}});
}

Result<std::string> WithdrawKey(const config::Configuration& base,
                                const TeamId& team, const KeyId& key) {
  return DigestOfKey(base, team, key).map([&](const Digest&) {
    return Nest({"teams", team.value(), "keys", key.value()}, nullptr);
  });
}

Result<std::string> OfferModel(const config::Configuration& base,
                               const ModelId& model,
                               const CommandOptions& options) {
  if (!options.version || !options.bytes) {
    return Fail(ErrorCode::kInvalid,
                "--model-version and --bytes are required");
  }
  json::object fields;
  fields.emplace("versions",
                 json::object{{*options.version,
                               json::object{{"bytes", *options.bytes}}}});
  if (options.make_default || !base.models.contains(model)) {
    fields.emplace("default_version", *options.version);
  }
  PutIfSet(fields, "max_tokens", options.max_tokens);
  PutIfSet(fields, "pool", options.pool);
  return Nest({"models", model.value()}, std::move(fields));
}

Result<std::string> WithdrawModel(const config::Configuration& base,
                                  const ModelId& model,
                                  const CommandOptions& options) {
  const auto found = base.models.find(model);
  if (found == base.models.end()) {
    return tl::unexpected<Error>(NotFoundError("model", model.value()));
  }
  if (!options.version) {
    return Nest({"models", model.value()}, nullptr);
  }
  if (!found->second.versions.contains(VersionId(*options.version))) {
    return tl::unexpected<Error>(NotFoundError("version", *options.version));
  }
  return Nest({"models", model.value(), "versions", *options.version}, nullptr);
}

Result<std::string> OfferAdapter(const config::Configuration& base,
                                 const ModelId& model, const AdapterId& adapter,
                                 const CommandOptions& options) {
  if (!base.models.contains(model)) {
    return tl::unexpected<Error>(NotFoundError("model", model.value()));
  }
  if (!options.bytes) {
    return Fail(ErrorCode::kInvalid, "--bytes is required");
  }
  return Nest({"models", model.value(), "adapters", adapter.value()},
              json::object{{"bytes", *options.bytes}});
}

Result<std::string> WithdrawAdapter(const config::Configuration& base,
                                    const ModelId& model,
                                    const AdapterId& adapter) {
  const auto found = base.models.find(model);
  if (found == base.models.end() || !found->second.adapters.contains(adapter)) {
    return tl::unexpected<Error>(NotFoundError("adapter", adapter.value()));
  }
  return Nest({"models", model.value(), "adapters", adapter.value()}, nullptr);
}

}  // namespace figwell::ctl
