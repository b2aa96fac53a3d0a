#ifndef FIGWELL_SERVING_REQUEST_QUARANTINE_H_
#define FIGWELL_SERVING_REQUEST_QUARANTINE_H_

/** Refuses prompts under which server after server crashes; see serving.h. */

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/affinity.h"

namespace figwell::serving {

/** Ids of prompt parts, see PromptPart::id. */
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

/**
 * A server process ended while a request with these parts was waiting for its
 * answer.
 */
struct CrashReport {
  ServerId server;
  /** BackendServer::started_ms of the process. */
  std::int64_t started_ms = 0;
  TraitSet parts;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/**
 * Attributes crashes of servers to prompt parts. A part is a suspect of a crash
 * if a request with it was waiting for its answer at the server; an answer to
 * any request with the part clears it. A part that is a suspect of several
 * crashes, and of more than any other, is quarantined: requests with it are to
 * be refused. Parts that always occur together are quarantined together, and
 * only requests with all of them are refused.
 */
class RequestQuarantine {
 public:
  /**
   * Crashes of which a part has to be a suspect, and their share in all crashes
   * from the first to the last of them. Parts that many requests have are
   * suspects of some crashes by chance.
   */
  static constexpr std::size_t kMinCrashes = 4;
  static constexpr double kMinCrashShare = 0.5;
  /** How long after a crash all instances have reported their requests. */
  static constexpr Duration kReportTime = std::chrono::milliseconds(300);
  /**
   * Time between the first and the last of these crashes. Servers that fail
   * together, with a rack or a domain, are not evidence against a part.
   */
  static constexpr Duration kMinCrashSpan = std::chrono::seconds(1);
  /**
   * Answers to prompts with shared parts since the first of these crashes.
   * While all of them fail, no part is to blame.
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
  static constexpr std::size_t kMaxRequestsPerCrash = 16;
  /** Entries of the quarantine, and parts in one. */
  static constexpr std::size_t kMaxEntries = 256;
  static constexpr std::size_t kMaxEntryParts = 8;

  void OnCrash(TimePoint now, const CrashReport& report);
  /**
   * Attributes the crashes that happened at least kReportTime ago.
   * @return the parts that are quarantined from now on, if any
   */
  std::optional<TraitSet> Evaluate(TimePoint now);
  /**
   * A request with these parts was answered.
   * @return entries of the quarantine that were wrong and have been removed
   */
  std::vector<TraitSet> OnAnswer(TimePoint now, const TraitSet& parts);

  /** Adds an entry from elsewhere. @return whether it is new */
  bool Add(TimePoint now, const TraitSet& parts);
  /** Lifts a quarantine. @return whether the entry existed */
  bool Remove(const TraitSet& parts);
  bool Contains(TimePoint now, const TraitSet& parts) const;

  /** When the quarantine of a request with these parts ends, if it is in one.
   */
  std::optional<TimePoint> FindEnd(TimePoint now, const TraitSet& parts) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Crash {
    ServerId server;
    std::int64_t started_ms = 0;
    TimePoint at;
    /** Value of `answers_` at the time. */
    std::uint64_t answers_before = 0;
    /** The suspects: the parts of each request that was waiting. */
    std::vector<TraitSet> requests;
  };

  /** The crashes of which each part is a suspect, in order of time. */
  using CrashesOfParts = std::map<std::uint64_t, std::vector<const Crash*>>;

  Crash& FindOrAddCrash(TimePoint now, const CrashReport& report);
  /** Crashes without an explanation of which all reports have arrived. */
  std::vector<const Crash*> UnexplainedCrashes(TimePoint now) const;
  /** Whether parts in quarantine were waiting at the server. */
  bool IsExplained(TimePoint now, const Crash& crash) const;
  static CrashesOfParts GroupByPart(const std::vector<const Crash*>& crashes);
  /** Whether `crashes` suffice to quarantine a suspect of all of them. */
  bool IsEvidence(TimePoint now, const std::vector<const Crash*>& crashes,
                  const std::vector<const Crash*>& all) const;
  std::optional<TraitSet> FindCulprits(TimePoint now) const;
  /** The parts are no suspects of the crashes so far. */
  void Clear(const TraitSet& parts);
  void DropOutdated(TimePoint now);

  /** In order of time. */
  std::vector<Crash> crashes_;
  /** End of the quarantine of each entry. */
  std::map<TraitSet, TimePoint> entries_;
  std::uint64_t answers_ = 0;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_REQUEST_QUARANTINE_H_
