#include "figwell/routing.h"

namespace figwell::routing {
namespace {

constexpr std::array<std::string_view, kExchangeStages> kStageNames = {
    "resolve", "connect",     "first_byte_written", "partly_written",
    "written", "answer_head", "mid_answer",         "before_relay"};

constexpr std::array<std::string_view, 6> kActionNames = {
    "retry",          "resume",     "refuse_not_run",
    "refuse_unknown", "end_stream", "relay"};

constexpr std::array<std::string_view, kRetryReasons> kRetryNames = {
    "resolve_failed",    "connect_failed",  "connect_timeout",
    "write_failed",      "connection_lost", "answer_timeout",
    "truncated_answer",  "crossed_answer",  "late_answer",
    "server_overloaded", "server_error"};

constexpr std::array<std::string_view, kDenyReasons> kDenyNames = {
    "none",     "not_repeatable", "caller_has_bytes", "deadline",
    "attempts", "budget",         "no_server"};

}  // namespace

std::string_view Name(ExchangeStage stage) {
  return kStageNames[static_cast<std::size_t>(stage)];
}

std::string_view Name(ExchangeAction action) {
  return kActionNames[static_cast<std::size_t>(action)];
}

std::string_view Name(RetryReason reason) {
  return kRetryNames[static_cast<std::size_t>(reason)];
}

std::string_view Name(DenyReason reason) {
  return kDenyNames[static_cast<std::size_t>(reason)];
}

AttemptOutcome OutcomeOf(RetryReason reason) {
  switch (reason) {
    case RetryReason::kResolveFailed:
    case RetryReason::kConnectFailed:
      return AttemptOutcome::kConnectFailed;
    case RetryReason::kConnectTimeout:
    case RetryReason::kAnswerTimeout:
      return AttemptOutcome::kTimedOut;
    case RetryReason::kWriteFailed:
    case RetryReason::kConnectionLost:
    case RetryReason::kTruncatedAnswer:
    case RetryReason::kCrossedAnswer:
    case RetryReason::kLateAnswer:
      return AttemptOutcome::kBroken;
    case RetryReason::kServerOverloaded:
      return AttemptOutcome::kOverloaded;
    case RetryReason::kServerError:
      return AttemptOutcome::kServerError;
  }
  return AttemptOutcome::kBroken;
}

std::string_view RefusalCode(const ExchangeDecision& decision,
                             bool idempotent) {
  const bool late = decision.denied == DenyReason::kDeadline;
  switch (decision.action) {
    case ExchangeAction::kRefuseNotRun:
      return late ? "deadline" : "no_server";
    case ExchangeAction::kRefuseUnknown:
      if (!idempotent) {
        return "outcome_unknown";
      }
      return late ? "deadline" : "backend_failed";
    case ExchangeAction::kEndStream:
      return "backend_failed";
    case ExchangeAction::kRetry:
    case ExchangeAction::kResume:
    case ExchangeAction::kRelay:
      return "";
  }
  return "";
}

}  // namespace figwell::routing
