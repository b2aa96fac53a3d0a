#ifndef FIGWELL_ROUTING_CLAIMS_H_
#define FIGWELL_ROUTING_CLAIMS_H_

/**
 * Part of figwell/routing.h: at most one execution per Idempotency-Key.
 *
 *   records    ClaimRecord, the value in the store
 *   verdicts   the result of a claim for a caller's request
 *   book       ClaimBook: the claims of one gateway, batched in store calls
 */

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/core.h"
#include "figwell/store.h"

namespace figwell::routing {

// ------------------------------------------------------------------ records

/** The answer of a finished request, as it is sent to a repeat. */
struct FinishedAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  /** False if the body was too large to keep; it is empty then. */
  bool kept = true;

  friend bool operator==(const FinishedAnswer&,
                         const FinishedAnswer&) = default;
};

/** The value of a claim in the store. */
struct ClaimRecord {
  enum class State : std::uint8_t {
    kClaimed,   ///< the request may have been dispatched
    kFinished,  ///< `answer` is the outcome
  };
  State state = State::kClaimed;
  /** The digest of the request that claimed the key. */
  Digest request;
  /** Identifies one claim of one gateway process; never reused. */
  std::string owner;
  FinishedAnswer answer;

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

std::string EncodeClaim(const ClaimRecord& record);

/** Fails with kProtocol. No field allocates more than the size of `text`. */
Result<ClaimRecord> DecodeClaim(std::string_view text);

/** Binds a key to its request: a digest over these four parts. */
Digest RequestDigest(std::string_view method, std::string_view target,
                     std::string_view content_type, std::string_view body);

/** The store key of a claim: scoped to the team, of a fixed length. */
std::string ClaimKey(std::string_view prefix, const TeamId& team,
                     std::string_view idempotency_key);

// ----------------------------------------------------------------- verdicts

/** What is done with a request that has an Idempotency-Key. */
enum class ClaimVerdict : std::uint8_t {
  kDispatch,  ///< this request owns the claim: send it, once
  kReplay,    ///< finished earlier: send `answer` again
  kUnknown,   ///< claimed and not finished: the request may have run
  kConflict,  ///< the key belongs to a different request
  kNotRun,    ///< no claim could be made; the request was certainly not sent
};

std::string_view Name(ClaimVerdict verdict);

/** Identifies a claim of one ClaimBook. */
using ClaimId = std::uint64_t;

/** The book's verdict on one claim; each claim gets exactly one. */
struct ClaimAnswer {
  ClaimId claim = 0;
  ClaimVerdict verdict = ClaimVerdict::kNotRun;
  /** Set for kReplay. */
  FinishedAnswer answer;

  friend bool operator==(const ClaimAnswer&, const ClaimAnswer&) = default;
};

// --------------------------------------------------------------------- book

/** A store call to execute; its result has to go to OnStoreResult. */
struct ClaimStoreCall {
  std::uint64_t call = 0;
  store::Transaction transaction;

  friend bool operator==(const ClaimStoreCall&,
                         const ClaimStoreCall&) = default;
};

/** What the caller of ClaimBook::Step has to do. */
struct ClaimActions {
  std::vector<ClaimAnswer> answers;
  std::optional<ClaimStoreCall> store_call;
  /** Grant a lease of kClaimLeaseTtl and pass it to SetLease. */
  bool needs_lease = false;
  /** Call Step again at this time, unless it is called earlier. */
  std::optional<TimePoint> wake_at;

  friend bool operator==(const ClaimActions&, const ClaimActions&) = default;
};

/** A claim remains in the store at least this long. */
inline constexpr std::chrono::hours kMinClaimLifetime{24};

/** The time to live of a lease for claims. Such leases are never renewed. */
inline constexpr std::chrono::hours kClaimLeaseTtl{25};

/** A claim not dispatched this soon after its store call is released. */
inline constexpr Duration kClaimDispatchTimeout = std::chrono::seconds(30);

/** The maximum size of an answer body that is kept for repeats. */
inline constexpr std::size_t kMaxKeptAnswerBytes = 16'384;

/** Operations per store call; etcd's default limit is 128. */
inline constexpr std::size_t kMaxClaimsPerCall = 100;

/** The maximum length of an Idempotency-Key. */
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

struct ClaimPolicy {
  std::string key_prefix = "/figwell/claim/";
  /** This gateway's share of the store's write rate; above 0. */
  double calls_per_second = 20;
  /** Calls that may be sent back to back after an idle time. */
  int call_burst = 4;
  /** A request waits at most this long for its claim. */
  Duration claim_timeout = std::chrono::seconds(2);

  friend bool operator==(const ClaimPolicy&, const ClaimPolicy&) = default;
};

/**
 * The claims of one gateway. Not thread-safe: it belongs to the control
 * thread. One store call is in flight at a time; claims that arrive meanwhile
 * are batched in the next one.
 *
 * Call Step after each change; it returns what has to be done. A claim that
 * was answered kDispatch ends with Finish, Release or Abandon.
 */
class ClaimBook {
 public:
  /** @param process identifies this process and is never reused. */
  ClaimBook(std::string process, ClaimPolicy policy);
  ~ClaimBook();
  ClaimBook(const ClaimBook&) = delete;
  ClaimBook& operator=(const ClaimBook&) = delete;

  /** Adds a claim; Step answers it by its deadline or policy.claim_timeout. */
  ClaimId Claim(TimePoint now, const TeamId& team,
                std::string_view idempotency_key, const Digest& request,
                TimePoint deadline);

  /**
   * Call once, immediately before the dispatch. False if the claim was not
   * granted, was dispatched already, or was granted too long ago.
   */
  bool TryDispatch(TimePoint now, ClaimId claim);

  /** The request ran: stores its answer for repeats. */
  void Finish(ClaimId claim, FinishedAnswer answer);

  /** The request certainly did not run: frees the key. */
  void Release(ClaimId claim);

  /** The request may have run: the claim remains until its lease ends. */
  void Abandon(ClaimId claim);

  /** Sets the lease of kClaimLeaseTtl for new claims, requested `at`. */
  void SetLease(store::LeaseId lease, TimePoint at);

  ClaimActions Step(TimePoint now);

  void OnStoreResult(TimePoint now, std::uint64_t call,
                     const Result<store::TransactionResult>& result);

  /** The number of claims in memory; 0 when none is in progress. */
  std::size_t size() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_CLAIMS_H_
