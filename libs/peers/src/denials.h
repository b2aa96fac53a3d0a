#ifndef FIGWELL_PEERS_DENIALS_H_
#define FIGWELL_PEERS_DENIALS_H_

/**
 * Keys that are denied before a configuration without them is in force. The
 * set only grows, so that any two sets merge without coordination. A denial
 * is removed once a configuration without its key is in force.
 */

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "messages.h"

namespace figwell::peers {

inline constexpr std::size_t kMaxDenials = 4'096;
/** Versions for which the denial of a key that is not in force is kept. */
inline constexpr config::VersionNumber kUnknownKeyVersions = 16;

class DenialSet {
 public:
  enum class Outcome { kAdded, kUnchanged, kFull };

  /**
   * Denies a key. A key that is not in force here may come with a newer
   * configuration that has not arrived yet, so its denial is kept for
   * kUnknownKeyVersions versions.
   */
  Outcome Deny(const Digest& digest);
  /** Merges a peer's denials; returns those that were added. */
  std::vector<Denial> Merge(const std::vector<Denial>& denials);
  /**
   * Removes denials of keys that the configuration `number` does not have. A
   * denial as of a later version stays: its key may not have arrived yet.
   *
   * @return whether the set changed
   */
  bool OnInForce(config::VersionNumber number,
                 std::function<bool(const Digest&)> has_key);

  /** Equal for equal sets of denials; 0 for the empty set. */
  std::uint64_t hash() const { return hash_; }
  std::vector<Denial> List() const;
  std::set<Digest> Digests() const;
  std::size_t size() const { return as_of_.size(); }
  /** Denials that did not fit. */
  std::uint64_t refused() const { return refused_; }

 private:
  Outcome Add(const Denial& denial);
  bool IsObsolete(const Denial& denial) const;

  std::map<Digest, config::VersionNumber> as_of_;
  config::VersionNumber in_force_ = 0;
  std::function<bool(const Digest&)> has_key_;
  std::uint64_t hash_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_DENIALS_H_
