#include "figwell/admission/cost.h"

#include <cmath>

namespace figwell::admission {
namespace {

/** The observed ratio is multiplied by this for headroom. */
constexpr double kRatioHeadroomFactor = 1.25;

/** Decay factor of the observed ratio with each usage report. */
constexpr double kRatioDecayPerReport = 0.995;

}  // namespace

Tokens ObservedCost::Cost(const RequestSize& size,
                          Tokens model_max_tokens) const {
  const double ratio = std::min(1.0, ratio_ * kRatioHeadroomFactor);
  const auto prompt = static_cast<Tokens>(
      std::ceil(ratio * static_cast<double>(size.prompt_bytes)));
  return prompt + kTokensPerMessage * size.messages +
         MaxGeneratedTokens(size, model_max_tokens);
}

void ObservedCost::RecordUsage(const RequestSize& size, Tokens prompt_tokens) {
  if (size.prompt_bytes <= 0) {
    return;
  }
  const double observed_ratio = static_cast<double>(prompt_tokens) /
                                static_cast<double>(size.prompt_bytes);
  ratio_ =
      std::min(1.0, std::max(observed_ratio, ratio_ * kRatioDecayPerReport));
}

}  // namespace figwell::admission
