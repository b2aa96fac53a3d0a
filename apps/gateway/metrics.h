#ifndef FIGWELL_APPS_GATEWAY_METRICS_H_
#define FIGWELL_APPS_GATEWAY_METRICS_H_

#include <array>

#include "figwell/routing.h"
#include "figwell/telemetry.h"
#include "refusal.h"

namespace figwell::gateway {

/** The gateway's metrics, registered once; usable from any thread. */
class Metrics {
 public:
  explicit Metrics(telemetry::Registry& registry);

  telemetry::Counter& Refused(Refusal refusal) {
    return *refusals_[static_cast<std::size_t>(refusal)];
  }
  telemetry::Counter& Retried(routing::RetryReason reason) {
    return *retries_[static_cast<std::size_t>(reason)];
  }
  telemetry::Counter& RetryDenied(routing::DenyReason reason) {
    return *denied_[static_cast<std::size_t>(reason)];
  }
  telemetry::Counter& Claimed(routing::ClaimVerdict verdict) {
    return *claims_[static_cast<std::size_t>(verdict)];
  }

  telemetry::Registry& registry;
  telemetry::Counter& answered;
  telemetry::Counter& cancelled;
  telemetry::Counter& broken;
  telemetry::Gauge& active;
  telemetry::Gauge& queued;
  telemetry::Gauge& config_number;
  telemetry::Distribution& first_token_seconds;
  telemetry::Distribution& request_seconds;

 private:
  static constexpr std::size_t kClaimVerdicts = 5;

  std::array<telemetry::Counter*, kRefusals> refusals_;
  std::array<telemetry::Counter*, routing::kRetryReasons> retries_;
  std::array<telemetry::Counter*, routing::kDenyReasons> denied_;
  std::array<telemetry::Counter*, kClaimVerdicts> claims_;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_METRICS_H_
