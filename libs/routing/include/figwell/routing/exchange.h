#ifndef FIGWELL_ROUTING_EXCHANGE_H_
#define FIGWELL_ROUTING_EXCHANGE_H_

/**
 * Part of figwell/routing.h: what follows when an attempt fails.
 *
 *   stages and actions   ExchangeStage, ExchangeAction, kFaultTable
 *   reasons              RetryReason, DenyReason; callers count each
 *   budget               RetryBudget
 *   one request          Exchange
 */

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/core.h"
#include "figwell/routing/balancer.h"

namespace figwell::routing {

// ------------------------------------------------------- stages and actions

/** How far an attempt had progressed when it failed. */
enum class ExchangeStage : std::uint8_t {
  kResolve,           ///< no address yet
  kConnect,           ///< no connection yet
  kFirstByteWritten,  ///< the first write was passed to the connection
  kPartlyWritten,     ///< some of the request is written
  kWritten,           ///< all of the request is written
  kAnswerHead,        ///< the answer's head was received
  kMidAnswer,         ///< some of the answer's body was received
  kBeforeRelay,       ///< the answer is complete and not yet relayed
};

/** What the gateway does next. */
enum class ExchangeAction : std::uint8_t {
  kRetry,          ///< send the request again, to another server
  kResume,         ///< request the rest of the stream from the same server
  kRefuseNotRun,   ///< refuse; the request certainly did not run
  kRefuseUnknown,  ///< refuse; the request may have run
  kEndStream,      ///< end the caller's stream with an error
  kRelay,          ///< relay the complete answer
};

std::string_view Name(ExchangeStage stage);
std::string_view Name(ExchangeAction action);

/** The decision for an attempt that fails at a stage. */
struct FaultCell {
  ExchangeStage stage;
  bool idempotent;
  /** A stream of events that the server can resume. */
  bool streamed;
  /** If deadline, budget and number of attempts allow another attempt. */
  ExchangeAction action;
  /** If they do not. */
  ExchangeAction final_action;

  friend bool operator==(const FaultCell&, const FaultCell&) = default;
};

inline constexpr std::size_t kExchangeStages = 8;
inline constexpr std::size_t kFaultCells = kExchangeStages * 4;

/**
 * The decision for a first attempt, by stage, idempotent or not, streamed or
 * not. Exchange adds the restrictions that follow from earlier attempts of the
 * same request.
 */
// clang-format off
inline constexpr std::array<FaultCell, kFaultCells> kFaultTable = {{
    {ExchangeStage::kResolve, true, false, ExchangeAction::kRetry, ExchangeAction::kRefuseNotRun},
    {ExchangeStage::kResolve, true, true, ExchangeAction::kRetry, ExchangeAction::kRefuseNotRun},
    {ExchangeStage::kResolve, false, false, ExchangeAction::kRetry, ExchangeAction::kRefuseNotRun},
    {ExchangeStage::kResolve, false, true, ExchangeAction::kRetry, ExchangeAction::kRefuseNotRun},
    {ExchangeStage::kConnect, true, false, ExchangeAction::kRetry, ExchangeAction::kRefuseNotRun},
    {ExchangeStage::kConnect, true, true, ExchangeAction::kRetry, ExchangeAction::kRefuseNotRun},
    {ExchangeStage::kConnect, false, false, ExchangeAction::kRetry, ExchangeAction::kRefuseNotRun},
    {ExchangeStage::kConnect, false, true, ExchangeAction::kRetry, ExchangeAction::kRefuseNotRun},
    {ExchangeStage::kFirstByteWritten, true, false, ExchangeAction::kRetry, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kFirstByteWritten, true, true, ExchangeAction::kRetry, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kFirstByteWritten, false, false, ExchangeAction::kRefuseUnknown, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kFirstByteWritten, false, true, ExchangeAction::kRefuseUnknown, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kPartlyWritten, true, false, ExchangeAction::kRetry, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kPartlyWritten, true, true, ExchangeAction::kRetry, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kPartlyWritten, false, false, ExchangeAction::kRefuseUnknown, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kPartlyWritten, false, true, ExchangeAction::kRefuseUnknown, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kWritten, true, false, ExchangeAction::kRetry, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kWritten, true, true, ExchangeAction::kRetry, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kWritten, false, false, ExchangeAction::kRefuseUnknown, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kWritten, false, true, ExchangeAction::kRefuseUnknown, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kAnswerHead, true, false, ExchangeAction::kRetry, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kAnswerHead, true, true, ExchangeAction::kRetry, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kAnswerHead, false, false, ExchangeAction::kRefuseUnknown, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kAnswerHead, false, true, ExchangeAction::kResume, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kMidAnswer, true, false, ExchangeAction::kRetry, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kMidAnswer, true, true, ExchangeAction::kResume, ExchangeAction::kEndStream},
    {ExchangeStage::kMidAnswer, false, false, ExchangeAction::kRefuseUnknown, ExchangeAction::kRefuseUnknown},
    {ExchangeStage::kMidAnswer, false, true, ExchangeAction::kResume, ExchangeAction::kEndStream},
    {ExchangeStage::kBeforeRelay, true, false, ExchangeAction::kRelay, ExchangeAction::kRelay},
    {ExchangeStage::kBeforeRelay, true, true, ExchangeAction::kRelay, ExchangeAction::kRelay},
    {ExchangeStage::kBeforeRelay, false, false, ExchangeAction::kRelay, ExchangeAction::kRelay},
    {ExchangeStage::kBeforeRelay, false, true, ExchangeAction::kRelay, ExchangeAction::kRelay},
}};
// clang-format on

/** The cell of kFaultTable for a stage and a kind of request. */
const FaultCell& FindFaultCell(ExchangeStage stage, bool idempotent,
                               bool streamed);

// ------------------------------------------------------------------ reasons

/** Why an attempt failed and another one follows. */
enum class RetryReason : std::uint8_t {
  kResolveFailed,
  kConnectFailed,
  kConnectTimeout,
  kWriteFailed,
  kConnectionLost,
  kAnswerTimeout,
  kTruncatedAnswer,
  kCrossedAnswer,  ///< the answer has the id of another request
  kLateAnswer,     ///< the answer has the id of an earlier attempt
  kServerOverloaded,
  kServerError,
};

inline constexpr std::size_t kRetryReasons = 11;

/** Why a failed attempt is not followed by another one. */
enum class DenyReason : std::uint8_t {
  kNone,
  kNotRepeatable,   ///< its first byte may have reached the server
  kCallerHasBytes,  ///< some of the answer was relayed
  kDeadline,
  kAttempts,
  kBudget,
  kNoServer,
};

inline constexpr std::size_t kDenyReasons = 7;

std::string_view Name(RetryReason reason);
std::string_view Name(DenyReason reason);

/** What a failure shows about the server's health. */
AttemptOutcome OutcomeOf(RetryReason reason);

// ------------------------------------------------------------------- budget

/**
 * Limits retries to a fraction of the fresh requests, so that retries cannot
 * amplify an overload: in any time interval, retries <= reserve + fraction x
 * fresh requests. Thread-safe without a lock.
 */
class RetryBudget {
 public:
  static constexpr double kDefaultFraction = 0.2;
  static constexpr std::int64_t kDefaultReserve = 50;

  explicit RetryBudget(double fraction = kDefaultFraction,
                       std::int64_t reserve = kDefaultReserve);

  /** Call once for each request of a caller. */
  void OnFreshRequest();

  /** Consumes one retry of the budget; false if none is left. */
  bool TryConsume();

 private:
  const std::int64_t deposit_per_request_;
  const std::int64_t max_level_;
  std::atomic<std::int64_t> level_;  // thousandths of a retry
};

// -------------------------------------------------------------- one request

using AttemptId = Id<struct AttemptTag>;

/** Properties of a request that its route determines. */
struct RouteTraits {
  bool idempotent = false;
  /** The answer is a stream of events. */
  bool streamed = false;
  /** The server can resume a stream at an offset. */
  bool resumable = false;
  /** The server echoes the attempt's id in the head of its answer. */
  bool echoes_id = true;

  friend bool operator==(const RouteTraits&, const RouteTraits&) = default;
};

/** What to do after an attempt has failed. */
struct ExchangeDecision {
  ExchangeAction action = ExchangeAction::kRefuseUnknown;
  /** For kRetry and kResume; counted in `figwell_retries_total{reason=}`. */
  RetryReason reason = RetryReason::kConnectionLost;
  /** For all other actions: why there is no further attempt. */
  DenyReason denied = DenyReason::kNone;
  /** For kResume: the attempt whose stream continues, at which event. */
  AttemptId resume_of;
  std::uint64_t resume_offset = 0;
  /** Wait this long before the next attempt. */
  Duration delay{0};

  friend bool operator==(const ExchangeDecision&,
                         const ExchangeDecision&) = default;
};

/** The `code` of the refusal for a decision; empty if it refuses nothing. */
std::string_view RefusalCode(const ExchangeDecision& decision, bool idempotent);

/** What is wrong with an answer: its id, or its completeness. */
enum class AnswerFault : std::uint8_t { kNone, kCrossed, kLate, kTruncated };

/** What is known when an answer's body has ended. */
struct AnswerEnd {
  std::optional<std::uint64_t> content_length;
  std::uint64_t body_bytes = 0;
  /** The framing is complete: last chunk or full length received. */
  bool framing_complete = false;
  /** For a stream: its last event, `[DONE]`, was received. */
  bool last_event_seen = false;
  /** The server's number of that event, if it sends one. */
  std::optional<std::uint64_t> last_event_number{};
};

/** What to do with one event of a stream. */
enum class EventVerdict : std::uint8_t {
  kRelay,
  kDrop,  ///< the caller has received it already
  kGap,   ///< an event is missing: the attempt has failed
};

inline constexpr int kMaxAttempts = 3;
inline constexpr int kMaxResumes = 3;
inline constexpr Duration kResumeBackoff = std::chrono::milliseconds(50);

/**
 * One caller's request over all its attempts. Not thread-safe: it belongs to
 * the thread that serves the request.
 *
 * Order of calls: Begin, OnWriteStarted, CheckHead, OnEvent or CheckEnd. Call
 * OnBreak as soon as any step fails, and Begin again after kRetry or kResume.
 */
class Exchange {
 public:
  Exchange(RequestId request, RouteTraits traits, TimePoint deadline);

  /** Starts an attempt at `server`; returns its id. */
  AttemptId Begin(const ServerId& server);

  /** Call before the first byte is passed to the connection. */
  void OnWriteStarted();

  /** Call before the first byte of an answer is sent to the caller. */
  void OnRelayStarted() { caller_has_bytes_ = true; }

  /** Compares the echoed id (empty: none) with the current attempt's. */
  AnswerFault CheckHead(std::string_view echoed_id) const;

  /**
   * Checks and counts an event of a stream. `number` is the server's number of
   * the event, from 0, if it sends one.
   */
  EventVerdict OnEvent(std::optional<std::uint64_t> number);

  /** kTruncated unless the body is complete. */
  AnswerFault CheckEnd(const AnswerEnd& end) const;

  /** Decides what follows a failure of the current attempt. */
  ExchangeDecision OnBreak(TimePoint now, ExchangeStage stage,
                           RetryReason reason, RetryBudget& budget);

  /**
   * Decides what follows a complete answer with this status: kRelay, or a retry
   * of an idempotent request if the status shows a failed or overloaded server.
   * Keep the answer until the retry has a server: OnNoServer may return kRelay.
   */
  ExchangeDecision OnStatus(TimePoint now, int status, RetryBudget& budget);

  /** Decides what follows if there is no other server for a kRetry. */
  ExchangeDecision OnNoServer() const;

  /**
   * Whether the attempt's connection may be used for another request. False
   * after any fault, and while the answer is incomplete.
   */
  static bool MayReuseConnection(AnswerFault fault, const AnswerEnd& end);

  /**
   * Whether the request needs a new connection: a reused one may be stale, and
   * this request must not be repeated.
   */
  bool NeedsFreshConnection() const { return !traits_.idempotent; }

  /** True while no byte of any attempt was passed to a connection. */
  bool CertainlyNotRun() const { return !bytes_written_; }

  const std::vector<ServerId>& TriedServers() const { return tried_servers_; }
  TimePoint Deadline() const { return deadline_; }

 private:
  ExchangeStage EffectiveStage(ExchangeStage stage) const;
  bool CanResume() const;
  ExchangeAction NextAction(ExchangeAction action) const;
  ExchangeAction FinalAction(ExchangeAction action) const;
  DenyReason CheckFurtherAttempt(TimePoint now, ExchangeAction action,
                                 RetryBudget& budget) const;
  ExchangeDecision MakeFinalDecision(DenyReason denied) const;
  ExchangeDecision Continue(ExchangeAction action, RetryReason reason);

  RequestId request_;
  RouteTraits traits_;
  TimePoint deadline_;
  std::vector<ServerId> tried_servers_;
  std::vector<AttemptId> attempts_;
  AttemptId stream_attempt_;
  ExchangeStage last_stage_ = ExchangeStage::kResolve;
  std::uint64_t events_relayed_ = 0;
  int retries_ = 0;
  int resumes_ = 0;
  bool is_resuming_ = false;
  bool write_started_ = false;
  bool bytes_written_ = false;
  bool caller_has_bytes_ = false;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_EXCHANGE_H_
