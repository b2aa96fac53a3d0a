#ifndef FIGWELL_TELEMETRY_H_
#define FIGWELL_TELEMETRY_H_

/**
 * The logs and metrics of a process. In this order:
 *
 *   events    numbered log events; docs/EVENTS.md lists them
 *   metrics   counters, gauges and distributions; docs/METRICS.md lists them
 *
 * All functions may be called from any thread.
 */

#include <atomic>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/core.h"

namespace figwell::telemetry {

// ------------------------------------------------------------------- events

enum class Level { kDebug, kInfo, kWarning, kError };

/** Every event that a figwell process logs. Numbers are never reused. */
enum class Event : int {
  kStarted = 1001,
  kStopping = 1002,
  kStopped = 1003,
  kStartFailed = 1004,
  kListening = 1005,
  kSecondSignal = 1006,
  kReloaded = 1007,
  kReloadFailed = 1008,
  kUnexpectedError = 1009,
  kDescriptorsShort = 1010,
  kDependencyLost = 1101,
  kDependencyRegained = 1102,
  kFollowingChanged = 1103,
  kWatchSilent = 1104,
  kStoreRestored = 1105,
  kSecretAdded = 1106,
  kEraComplete = 1107,
  kConfigRejected = 1203,
  kConfigInForce = 1204,
  kPatchAccepted = 1205,
  kPatchRefused = 1206,
  kPatchUnknown = 1207,
  kStoreBehind = 1208,
  kStoreForked = 1209,
  kSnapshotWritten = 1210,
  kSnapshotFailed = 1211,
  kKeyDenied = 1212,
  kOperatorRefused = 1213,
  kCutOffChanged = 1305,
  kUnitsClaimed = 1401,
  kUnitsReleased = 1402,
  kMintingStopped = 1403,
  kRequestRefused = 1501,
  kRequestEnded = 1502,
  kAttemptFailed = 1601,
  kAnswerCrossed = 1602,
  kServerLeaving = 1603,
  kServerUnreachable = 1604,
  kServerReachable = 1605,
  kAttemptSent = 1606,
  kServerChanged = 1607,
  kEntryUnreadable = 1608,
  kServerPaused = 1609,
  kServerLimitChanged = 1610,
  kServerCrashed = 1611,
  kPromptQuarantined = 1612,
  kQuarantineLifted = 1613,
  kVersionAppeared = 1614,
  kEvacuationChanged = 1615,
  kServerCold = 1616,
  kServerPaceChanged = 1617,
  kLeaseAcquired = 1701,
  kLeaseLost = 1702,
  kOrderSent = 1703,
  kOrderEnded = 1704,
  kPlacementState = 1705,
  kPlacementHeard = 1706,
};

/** One row of the catalogue of events. */
struct EventInfo {
  Event event;
  std::string_view name;
  Level level;
};

/** Every event, sorted by number. */
std::span<const EventInfo> EventCatalogue();

enum class Format { kText, kJson };

enum class Output { kStandardError, kStandardOutput };

/** Level, format and output of the log; set once, before threads start. */
struct LogSettings {
  Level level = Level::kInfo;
  Format format = Format::kText;
  std::string instance;
  Output output = Output::kStandardError;
  /** Average rate limit; 0: no limit. Errors are exempt from it. */
  double lines_per_second = 0;
};

/**
 * Limits the rate of log lines with a token bucket that holds kMaxBurstSeconds
 * worth of lines. Lines over the limit are dropped and counted.
 */
class LogRateLimiter {
 public:
  explicit LogRateLimiter(double lines_per_second)
      : rate_(lines_per_second), tokens_(lines_per_second * kMaxBurstSeconds) {}

  /** Whether a line may be written now. */
  bool Admit(TimePoint now);
  /** Returns the number of lines dropped since the last call. */
  std::uint64_t ConsumeDropped();
  /** Counts a line that could not be written although it was admitted. */
  void RecordDropped() { ++dropped_; }

 private:
  static constexpr double kMaxBurstSeconds = 3.0;

  double rate_;
  double tokens_;
  TimePoint last_;
  std::uint64_t dropped_ = 0;
};

void ConfigureLog(LogSettings settings);

/** A named value that is logged with an event's message. */
struct Field {
  std::string_view name;
  std::string value;
};

/**
 * Writes one line with a single write call. A line that would block or is over
 * the rate limit is dropped; the next line written reports how many were.
 */
void Log(Event event, std::string_view message,
         std::initializer_list<Field> fields = {});

/** Returns the line that Log writes, without its timestamp. */
std::string FormatLogLine(const LogSettings& settings, const EventInfo& info,
                          std::string_view message,
                          std::span<const Field> fields);

// ------------------------------------------------------------------ metrics

/** A value that only increases. */
class Counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/** A value that increases and decreases. */
class Gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  void Add(std::int64_t amount) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/** Count, sum and estimated quantiles of a stream of samples. */
class Distribution {
 public:
  Distribution();
  ~Distribution();
  Distribution(const Distribution&) = delete;
  Distribution& operator=(const Distribution&) = delete;

  void Record(double sample);

  struct Summary {
    std::uint64_t count = 0;
    double sum = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
  };
  Summary Summarize() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/** Counts samples in cumulative buckets, as Prometheus' histograms do. */
class Histogram {
 public:
  Histogram();
  ~Histogram();
  Histogram(const Histogram&) = delete;
  Histogram& operator=(const Histogram&) = delete;

  void Record(double seconds);

  struct Bucket {
    /** Upper bound of the samples, in seconds; infinity for the last bucket. */
    double upper = 0;
    /** Samples in this and all smaller buckets. */
    std::uint64_t cumulative = 0;
  };
  struct Summary {
    std::vector<Bucket> buckets;
    double sum = 0;
  };
  Summary Summarize() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/** One row of the catalogue of metrics. */
struct MetricInfo {
  std::string_view name;
  std::string_view type;
  std::string_view help;
};

/** Every metric that a process may export. */
std::span<const MetricInfo> MetricCatalogue();

/**
 * The metrics of a process. A getter creates the metric on its first call; the
 * reference is valid for the lifetime of the registry. Keep the reference,
 * because each lookup takes a lock. `label` is empty or `name="value"`.
 */
class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  Counter& GetCounter(std::string_view name, std::string_view label = {});
  Gauge& GetGauge(std::string_view name, std::string_view label = {});
  Distribution& GetDistribution(std::string_view name,
                                std::string_view label = {});
  Histogram& GetHistogram(std::string_view name, std::string_view label = {});

  /** Returns all metrics in Prometheus' text format. */
  std::string Render() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/** Formats a label for Registry, for example `reason="rate_limited"`. */
std::string Label(std::string_view name, std::string_view value);

}  // namespace figwell::telemetry

#endif  // FIGWELL_TELEMETRY_H_
