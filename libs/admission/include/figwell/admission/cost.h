#ifndef FIGWELL_ADMISSION_COST_H_
#define FIGWELL_ADMISSION_COST_H_

/** Estimates of a request's tokens before it runs; see admission.h. */

#include <algorithm>
#include <concepts>
#include <cstdint>

#include "figwell/budget.h"

namespace figwell::admission {

using budget::Tokens;

/** Size of a request, as known before it runs. */
struct RequestSize {
  /** UTF-8 bytes of the prompt's texts. */
  std::int64_t prompt_bytes = 0;
  /** Number of chat messages; each adds up to kTokensPerMessage tokens. */
  std::int64_t messages = 1;
  /** The caller's limit on generated tokens; 0: only the model's limit. */
  Tokens max_tokens = 0;

  friend bool operator==(const RequestSize&, const RequestSize&) = default;
};

/** Maximum number of tokens that engines add to wrap one chat message. */
inline constexpr Tokens kTokensPerMessage = 8;

/** Estimates a request's cost and learns from the engines' usage reports. */
template <typename Estimate>
concept CostEstimate = requires(Estimate estimate, const Estimate& constant,
                                const RequestSize& size, Tokens tokens) {
  { constant.Cost(size, tokens) } -> std::same_as<Tokens>;
  estimate.RecordUsage(size, tokens);
};

/** Maximum number of generated tokens: the lower of both limits. */
inline Tokens MaxGeneratedTokens(const RequestSize& size,
                                 Tokens model_max_tokens) {
  return size.max_tokens > 0 ? std::min(size.max_tokens, model_max_tokens)
                             : model_max_tokens;
}

/**
 * An upper bound: no tokenizer makes more than one token of a byte. Since it is
 * never exceeded, the rate limits hold for the actual costs.
 */
class UpperBoundCost {
 public:
  Tokens Cost(const RequestSize& size, Tokens model_max_tokens) const {
    return size.prompt_bytes + kTokensPerMessage * size.messages +
           MaxGeneratedTokens(size, model_max_tokens);
  }
  void RecordUsage(const RequestSize&, Tokens) {}
};

/**
 * The upper bound with the prompt scaled by the largest recent ratio of tokens
 * to bytes. It reserves less, but a prompt with a higher ratio can exceed the
 * estimate, and with it the team's limit.
 */
class ObservedCost {
 public:
  Tokens Cost(const RequestSize& size, Tokens model_max_tokens) const;

  /** @param prompt_tokens from the engine's usage report */
  void RecordUsage(const RequestSize& size, Tokens prompt_tokens);

 private:
  /** Tokens per byte; starts at the upper bound. */
  double ratio_ = 1;
};

static_assert(CostEstimate<UpperBoundCost>);
static_assert(CostEstimate<ObservedCost>);

/** Tokens that were charged but not used. */
inline Tokens UnusedTokens(Tokens charged, Tokens used) {
  return std::max<Tokens>(0, charged - used);
}

}  // namespace figwell::admission

#endif  // FIGWELL_ADMISSION_COST_H_
