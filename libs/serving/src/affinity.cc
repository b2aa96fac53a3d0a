#include "figwell/serving/affinity.h"

namespace figwell::serving {

std::vector<PromptPrefix> PrefixesOf(const ModelTarget& target,
                                     const std::vector<PromptPart>& parts) {
  std::vector<PromptPrefix> prefixes;
  prefixes.reserve(parts.size());
  std::uint64_t key =
      StableHash(target.adapter, StableHash(target.model.value()));
  Tokens tokens = 0;
  for (const PromptPart& part : parts) {
    key = MixBits(key ^ MixBits(part.id));
    tokens += part.tokens;
    prefixes.push_back({key, tokens});
  }
  return prefixes;
}

Tokens PromptIndex::CachedTokens(
    const std::vector<PromptPrefix>& prefixes) const {
  Tokens cached = 0;
  for (const PromptPrefix& prefix : prefixes) {
    if (!by_key_.contains(prefix.key)) {
      break;
    }
    cached = prefix.tokens;
  }
  return cached;
}

void PromptIndex::RecordPrefill(const std::vector<PromptPrefix>& prefixes) {
  // The longest first, so that the shortest becomes the most recently used: a
  // prefix must not be evicted before the longer ones that extend it.
  for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
    const auto existing = by_key_.find(prefix->key);
    if (existing != by_key_.end()) {
      entries_.splice(entries_.begin(), entries_, existing->second);
      continue;
    }
    const auto shorter = std::next(prefix);
    const Tokens added_tokens =
        prefix->tokens - (shorter == prefixes.rend() ? 0 : shorter->tokens);
    entries_.push_front({prefix->key, added_tokens});
    by_key_.emplace(prefix->key, entries_.begin());
    used_ += added_tokens;
  }
  while (used_ > capacity_ && !entries_.empty()) {
    used_ -= entries_.back().added_tokens;
    by_key_.erase(entries_.back().key);
    entries_.pop_back();
  }
}

void PromptIndex::Clear() {
  entries_.clear();
  by_key_.clear();
  used_ = 0;
}

}  // namespace figwell::serving
