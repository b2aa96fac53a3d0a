#ifndef FIGWELL_APPS_FIGWELLCTL_CTL_CHANGES_H_
#define FIGWELL_APPS_FIGWELLCTL_CTL_CHANGES_H_

/**
 * The merge patches that the commands send. Each function fails with kNotFound
 * or kInvalid if the command does not fit the base configuration (for example
 * it adds a team that exists), and with kInvalid if an option is missing.
 */

#include "commands.h"
#include "figwell/config.h"
#include "figwell/core.h"

namespace figwell::ctl {

Result<std::string> AddTeam(const config::Configuration& base,
                            const TeamId& team, const CommandOptions& options);
Result<std::string> SetTeam(const config::Configuration& base,
                            const TeamId& team, const CommandOptions& options);
Result<std::string> RemoveTeam(const config::Configuration& base,
                               const TeamId& team);

Result<std::string> IssueKey(const config::Configuration& base,
                             const TeamId& team, const KeyId& key,
                             const Digest& digest);
Result<std::string> WithdrawKey(const config::Configuration& base,
                                const TeamId& team, const KeyId& key);

Result<std::string> OfferModel(const config::Configuration& base,
                               const ModelId& model,
                               const CommandOptions& options);
Result<std::string> WithdrawModel(const config::Configuration& base,
                                  const ModelId& model,
                                  const CommandOptions& options);

Result<std::string> OfferAdapter(const config::Configuration& base,
                                 const ModelId& model, const AdapterId& adapter,
                                 const CommandOptions& options);
Result<std::string> WithdrawAdapter(const config::Configuration& base,
                                    const ModelId& model,
                                    const AdapterId& adapter);

/** The digest of a team's key; kNotFound if there is no such team or key. */
Result<Digest> DigestOfKey(const config::Configuration& base,
                           const TeamId& team, const KeyId& key);

}  // namespace figwell::ctl

#endif  // FIGWELL_APPS_FIGWELLCTL_CTL_CHANGES_H_
