#ifndef FIGWELL_SERVING_REQUEST_QUARANTINE_H_
#define FIGWELL_SERVING_REQUEST_QUARANTINE_H_

/** Refuses requests under which server after server crashes; see serving.h. */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/affinity.h"

namespace figwell::serving {

/**
 * What requests may have in common: ids of prompt parts (PromptPart::id) and
 * fingerprints (RequestFingerprint).
 */
using TraitSet = std::set<std::uint64_t>;

/** Parts of one prompt that are considered; they fit into a datagram. */
inline constexpr std::size_t kMaxSharedParts = 100;

/**
 * The parts of a prompt that requests share: all but the last one, which
 * belongs to the request or its session, and at most kMaxSharedParts. Parts
 * without a valid id are left out.
 */
TraitSet SharedParts(const std::vector<PromptPart>& parts);

/**
 * Identifies a request that comes again: the same team sends the same body to
 * the same target. Headers do not count. Never 0.
 * @param target path and query
 */
std::uint64_t RequestFingerprint(const TeamId& team, std::string_view method,
                                 std::string_view host, std::string_view target,
                                 std::string_view body);

/** A request that was waiting for its answer when a server process ended. */
struct SuspectRequest {
  /** RequestFingerprint; 0 if the reporting instance does not state it. */
  std::uint64_t fingerprint = 0;
  /** See SharedParts. */
  TraitSet parts;

  /** Its parts and its fingerprint. */
  TraitSet Traits() const;
  /** Whether the request has all of these traits. */
  bool HasAll(const TraitSet& traits) const;
  friend bool operator==(const SuspectRequest&,
                         const SuspectRequest&) = default;
};

/** A server process ended while a request was waiting for its answer. */
struct CrashReport {
  ServerId server;
  /** BackendServer::started_ms of the process. */
  std::int64_t started_ms = 0;
  ServiceId service;
  SuspectRequest request;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/**
 * Attributes crashes of servers to requests that come again, and to prompt
 * parts. A request or part is a suspect of a crash if the request, or one with
 * the part, was waiting for its answer at the server; an answer to such a
 * request clears it.
 *
 * A request that is a suspect of kMinRepeatCrashes crashes is quarantined: it
 * is to be refused when it comes again. Crashes that this does not explain are
 * attributed to parts: a part that is a suspect of several crashes, and of more
 * than any other, is quarantined, and requests with it are to be refused. Parts
 * that always occur together are quarantined together, and only requests with
 * all of them are refused.
 *
 * Memory is bounded: of more than kMaxCrashes crashes the oldest are forgotten,
 * of more than kMaxRequestsPerCrash requests the last to be reported, and of
 * more than kMaxEntries entries the last to be added.
 */
class RequestQuarantine {
 public:
  /**
   * Crashes of which a request has to be a suspect, with at least
   * kMinRepeatSpan between the first and the last of them: servers that fail
   * together are not evidence against a request that several of them ran.
   */
  static constexpr std::size_t kMinRepeatCrashes = 3;
  static constexpr Duration kMinRepeatSpan = std::chrono::milliseconds(250);
  /**
   * Answers of the service since the first of these crashes. While it answers
   * nothing, a request is to blame only if it is a suspect of nearly all
   * crashes.
   */
  static constexpr std::uint64_t kMinRepeatAnswers = 3;
  static constexpr double kMinSoleSuspectShare = 0.8;
  /**
   * Crashes of which a part has to be a suspect, and their share in all crashes
   * from the first to the last of them. Parts that many requests have are
   * suspects of some crashes by chance.
   */
  static constexpr std::size_t kMinCrashes = 4;
  static constexpr double kMinCrashShare = 0.5;
  /**
   * Different requests with the part among them. Fewer are to blame themselves.
   */
  static constexpr std::size_t kMinRequestsOfPart = 3;
  /** How long after a crash all instances have reported their requests. */
  static constexpr Duration kReportTime = std::chrono::milliseconds(300);
  /**
   * Time between the first and the last of these crashes. Servers that fail
   * together, with a rack or a domain, are not evidence against a part.
   */
  static constexpr Duration kMinCrashSpan = std::chrono::seconds(1);
  /**
   * Answers of the service since the first of these crashes. While all requests
   * fail, no part is to blame.
   */
  static constexpr std::uint64_t kMinAnswers = 20;
  /** How long ago the last of these crashes may have been. */
  static constexpr Duration kMaxEvidenceAge = std::chrono::seconds(30);
  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);
  /**
   * How long a crash is remembered. It exceeds kQuarantineTime, so that one
   * more crash after a quarantine can start the next one.
   */
  static constexpr Duration kCrashRetention = std::chrono::minutes(15);
  /** Crashes, and requests per crash, that are kept. */
  static constexpr std::size_t kMaxCrashes = 64;
  static constexpr std::size_t kMaxRequestsPerCrash = 64;
  /** Entries of the quarantine, and traits in one. */
  static constexpr std::size_t kMaxEntries = 256;
  static constexpr std::size_t kMaxEntryTraits = 8;

  void OnCrash(TimePoint now, const CrashReport& report);
  /**
   * Attributes crashes to the request with this fingerprint. There is no need
   * to wait for reports about other requests.
   * @return the entry that is in quarantine from now on, if any
   */
  std::optional<TraitSet> EvaluateRequest(TimePoint now,
                                          std::uint64_t fingerprint);
  /**
   * Attributes the crashes that happened at least kReportTime ago to parts.
   * @return the entry that is in quarantine from now on, if any
   */
  std::optional<TraitSet> EvaluateParts(TimePoint now);
  /** What an answer refutes. */
  struct Refuted {
    /** Entries of the quarantine that have been removed. */
    std::vector<TraitSet> entries;
    /** Traits that were suspects of crashes. */
    TraitSet suspects;
  };
  /**
   * A request with these traits was answered by the service, here or at another
   * instance.
   */
  Refuted OnAnswer(TimePoint now, const ServiceId& service,
                   const TraitSet& traits);

  /** Adds an entry from elsewhere. @return whether it is new */
  bool Add(TimePoint now, const TraitSet& traits);
  /** Lifts a quarantine. @return whether the entry existed */
  bool Remove(const TraitSet& traits);
  bool Contains(TimePoint now, const TraitSet& traits) const;

  /** When the quarantine of a request with these traits ends, if it is in one.
   */
  std::optional<TimePoint> FindEnd(TimePoint now, const TraitSet& traits) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Crash {
    ServerId server;
    std::int64_t started_ms = 0;
    ServiceId service;
    TimePoint at;
    /** Answers of the service before it. */
    std::uint64_t answers_before = 0;
    /** The suspects. */
    std::vector<SuspectRequest> requests;
  };
  /** In order of time. */
  using Crashes = std::vector<const Crash*>;

  Crash& FindOrAddCrash(TimePoint now, const CrashReport& report);
  /** Crashes without an explanation that are at least this long ago. */
  Crashes UnexplainedCrashes(TimePoint now, Duration min_age) const;
  /** Whether a request in quarantine was waiting at the server. */
  bool IsExplained(TimePoint now, const Crash& crash) const;
  /** Share of `crashes` in all from the first to the last of them. */
  static double ShareOfSpan(const Crashes& crashes, const Crashes& all);
  /** Answers of the service since the first of these crashes. */
  std::uint64_t AnswersSince(const Crashes& crashes) const;
  /** Whether `crashes` suffice to quarantine a request with this fingerprint.
   */
  bool IsEvidenceOfRepeat(const Crashes& crashes, const Crashes& all) const;
  /** Whether `crashes` suffice to quarantine parts that are their suspects. */
  bool IsEvidenceOfPart(TimePoint now, const Crashes& crashes,
                        const Crashes& all) const;
  /** Different requests with all of these traits that were waiting. */
  static std::size_t CountRequests(const Crashes& crashes,
                                   const TraitSet& traits);
  std::optional<TraitSet> FindLethalParts(TimePoint now) const;
  /**
   * These traits are no suspects of the crashes so far.
   * @return those that were
   */
  TraitSet Clear(const TraitSet& traits);
  void DropOutdated(TimePoint now);

  /** In order of time. */
  std::vector<Crash> crashes_;
  /** End of the quarantine of each entry. */
  std::map<TraitSet, TimePoint> entries_;
  std::map<ServiceId, std::uint64_t> answers_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_REQUEST_QUARANTINE_H_
