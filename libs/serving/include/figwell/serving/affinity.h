#ifndef FIGWELL_SERVING_AFFINITY_H_
#define FIGWELL_SERVING_AFFINITY_H_

/** Which prompt prefixes a server has probably cached; see serving.h. */

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/catalog.h"

namespace figwell::serving {

/** A part of a prompt that requests may share. */
struct PromptPart {
  std::uint64_t id = 0;
  Tokens tokens = 0;

  friend bool operator==(const PromptPart&, const PromptPart&) = default;
};

/** A prefix of a prompt for one model and adapter. */
struct PromptPrefix {
  /** Hash of the model, the adapter and all parts up to this one. */
  std::uint64_t key = 0;
  /** Tokens of all parts up to this one. */
  Tokens tokens = 0;

  friend bool operator==(const PromptPrefix&, const PromptPrefix&) = default;
};

/** The prefixes of a prompt, shortest first. */
std::vector<PromptPrefix> PrefixesOf(const ModelTarget& target,
                                     const std::vector<PromptPart>& parts);

/**
 * Estimate of one server's prompt cache. Evicts least recently used prefixes
 * first.
 */
class PromptIndex {
 public:
  /** @param capacity tokens that fit in the server's cache */
  explicit PromptIndex(Tokens capacity) : capacity_(capacity) {}

  /** Tokens of the longest of `prefixes` that is probably cached. */
  Tokens CachedTokens(const std::vector<PromptPrefix>& prefixes) const;
  /**
   * Records that a request with these prefixes was sent to the server for
   * prefill.
   */
  void RecordPrefill(const std::vector<PromptPrefix>& prefixes);
  /** Drops all entries, after a restart or an unload. */
  void Clear();

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::uint64_t key;
    Tokens added_tokens;  // beyond the next shorter prefix
  };

  Tokens capacity_;
  Tokens used_ = 0;
  std::list<Entry> entries_;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> by_key_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_AFFINITY_H_
