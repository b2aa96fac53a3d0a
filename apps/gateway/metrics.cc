#include "metrics.h"

namespace figwell::gateway {
namespace {

using telemetry::Label;

template <typename Reason, std::size_t kSize, typename NameOf>
std::array<telemetry::Counter*, kSize> MakeCounters(
    telemetry::Registry& registry, std::string_view metric,
    std::string_view label, NameOf name_of) {
  std::array<telemetry::Counter*, kSize> counters{};
  for (std::size_t i = 0; i < kSize; ++i) {
    const auto name = name_of(static_cast<Reason>(i));
    counters[i] = &registry.GetCounter(metric, Label(label, name));
  }
  return counters;
}

telemetry::Counter& Outcome(telemetry::Registry& registry,
                            std::string_view outcome) {
  return registry.GetCounter("figwell_requests_total",
                             Label("outcome", outcome));
}

constexpr auto kNameOf = [](auto reason) { return Name(reason); };

}  // namespace

Metrics::Metrics(telemetry::Registry& the_registry)
    : registry(the_registry),
      answered(Outcome(registry, "answered")),
      cancelled(Outcome(registry, "cancelled")),
      broken(Outcome(registry, "broken")),
      active(registry.GetGauge("figwell_requests_active")),
      queued(registry.GetGauge("figwell_requests_queued")),
      config_number(registry.GetGauge("figwell_config_number")),
      first_token_seconds(
          registry.GetDistribution("figwell_first_token_seconds")),
      request_seconds(registry.GetDistribution("figwell_request_seconds")),
      refusals_(MakeCounters<Refusal, kRefusals>(
          registry, "figwell_refusals_total", "reason",
          [](Refusal refusal) { return CodeOf(refusal); })),
      retries_(MakeCounters<routing::RetryReason, routing::kRetryReasons>(
          registry, "figwell_retries_total", "reason", kNameOf)),
      denied_(MakeCounters<routing::DenyReason, routing::kDenyReasons>(
          registry, "figwell_retries_denied_total", "reason", kNameOf)),
      claims_(MakeCounters<routing::ClaimVerdict, kClaimVerdicts>(
          registry, "figwell_claims_total", "verdict", kNameOf)) {}

}  // namespace figwell::gateway
