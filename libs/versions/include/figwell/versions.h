#ifndef FIGWELL_VERSIONS_H_
#define FIGWELL_VERSIONS_H_

/**
 * The numbered versions of the configuration: how the store holds them, how a
 * reader follows them and how a patch creates the next one. In this order:
 *
 *   records          what the store's keys hold
 *   VersionLog       follows the versions; the number in force never decreases
 *   actions          what the classes below request from their driver
 *   PatchAcceptor    turns a patch into the next version, at most once
 *   SnapshotWriter   writes snapshots and removes the records they replace
 *
 * No I/O here. One control thread calls all of it.
 */

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"
#include "figwell/store.h"

namespace figwell::versions {

using config::ConfigurationPtr;
using config::VersionNumber;

// ------------------------------------------------------------------ records

/** The largest merge patch, in bytes; its record fits into one store value. */
inline constexpr std::size_t kMaxPatchBytes = 900'000;
/** The most bytes of a snapshot in one store value. */
inline constexpr std::size_t kChunkBytes = 900'000;
/** The longest patch id, in characters. */
inline constexpr std::size_t kMaxPatchIdLength = 128;

/** The keys of the configuration under the platform's prefix. */
class Layout {
 public:
  explicit Layout(std::string prefix) : root_(std::move(prefix) + "config/") {}

  /** Holds the current number and lineage; written with each patch. */
  std::string HeadKey() const { return root_ + "head"; }
  /** Identifies the newest complete snapshot. */
  std::string SnapshotKey() const { return root_ + "snapshot"; }
  /** Sorts before the keys of this patch and of all later ones. */
  std::string PatchKey(VersionNumber number) const;
  /**
   * The key of a patch. It includes the lineage, so that a compare of this key
   * fails if a restored store has another patch at this number.
   */
  std::string PatchKey(VersionNumber number, const Digest& lineage) const;
  /** The end of the range of all patch keys: '0' follows '/' in ASCII. */
  std::string PatchesEnd() const { return root_ + "patch0"; }
  /** Maps a patch id to the number that it was accepted as. */
  std::string IdKey(const PatchId& id) const;
  /** The prefix of the keys of one snapshot's chunks. */
  std::string ChunkPrefix(VersionNumber number, std::string_view writer) const;
  /** Sorts before the chunk keys of snapshots from `number` on. */
  std::string ChunksStart(VersionNumber number) const;

 private:
  std::string root_;
};

/** An accepted patch, as the store and the peers hold it. */
struct PatchRecord {
  /** The version that the patch created. */
  VersionNumber number = 0;
  PatchId id;
  OperatorId author;
  /** Seconds since 1970 by the clock of the instance that accepted it. */
  std::int64_t accepted_at = 0;
  /** The lineage digest of the version that it changed. */
  Digest parent;
  std::string merge_patch;

  friend bool operator==(const PatchRecord&, const PatchRecord&) = default;
};

std::string Encode(const PatchRecord& record);

/** Fails with kProtocol. */
Result<PatchRecord> DecodePatchRecord(std::string_view bytes);

/** The value stored under a patch id's key. */
struct PatchReceipt {
  VersionNumber number = 0;
  /** Distinguishes a repeated patch from another one with the same id. */
  Digest request;

  friend bool operator==(const PatchReceipt&, const PatchReceipt&) = default;
};

/** Whether a patch was accepted, as read from the store. */
struct PatchStatus {
  std::optional<PatchReceipt> receipt;
  /** The current number; a patch against an older one cannot take effect. */
  VersionNumber head = 0;
};

/** The transaction that reads a patch's status; decodes its result. */
store::Transaction PatchStatusQuery(const Layout& layout, const PatchId& id);
Result<PatchStatus> ReadPatchStatus(const store::TransactionResult& result);

/** The transaction that reads the last `count` accepted patches. */
store::Transaction HistoryQuery(const Layout& layout, VersionNumber head,
                                VersionNumber count);
/** Oldest first; patches that compaction removed are absent. */
Result<std::vector<PatchRecord>> ReadHistory(
    const store::TransactionResult& result);

// --------------------------------------------------------------- VersionLog

/** The result of passing a read, a watch batch or a record to a VersionLog. */
enum class Step {
  kAdvanced,   ///< a newer version is in force
  kUnchanged,  ///< nothing in it was newer
  kGap,        ///< versions are missing: read the store or ask a peer
  kBehind,     ///< the store is older than this log: it was restored
  kForked,     ///< another lineage of versions: the store was restored
  kInvalid,    ///< a record is damaged or of a newer software version
};

std::string_view Name(Step step);

/** An accepted patch to relay to a peer: its number and its record. */
struct EncodedPatch {
  VersionNumber number = 0;
  std::string bytes;

  friend bool operator==(const EncodedPatch&, const EncodedPatch&) = default;
};

/**
 * Follows the configuration's versions from reads of the store, a watch and
 * peers, in any mixture and order. The number in force never decreases, and
 * a patch is applied only to the version that it was made for.
 */
class VersionLog {
 public:
  /** @param prefix the platform's prefix from the settings */
  explicit VersionLog(std::string prefix);

  /**
   * How many lineages a full version lists, its own included. A full version
   * of another lineage is detected only if it is fewer versions ahead.
   */
  static constexpr std::size_t kMaxAncestors = 256;

  /** Never null; empty with number 0 until a version was applied. */
  const ConfigurationPtr& InForce() const { return in_force_; }
  VersionNumber Number() const { return in_force_->number; }
  /** Identifies the version in force and, by a hash chain, all before it. */
  const Digest& Lineage() const { return lineage_; }
  const Layout& Keys() const { return layout_; }

  /** A store read, and the number in force when it was created. */
  struct Read {
    VersionNumber from = 0;
    bool with_snapshot = false;
    store::Transaction transaction;
  };

  /**
   * Returns the read that brings the log up to date. After kGap, call it
   * again: the next read includes the snapshot.
   */
  Read NextRead() const;

  /** Applies a read's result; results may come late and in any order. */
  Step ApplyRead(const Read& read, const store::TransactionResult& result);

  /** The store's revision in the newest result; watch from the next one. */
  store::Revision StoreRevision() const { return store_revision_; }
  std::string WatchKey() const { return layout_.PatchKey(0); }
  std::string WatchEnd() const { return layout_.PatchesEnd(); }
  Step ApplyWatch(const store::WatchBatch& batch);

  /** Applies a patch from a peer, or from the store with its revision. */
  Step ApplyPatchRecord(std::string_view bytes, store::Revision revision = 0);

  /**
   * The patches after `number`, oldest first, up to `max_bytes` but at least
   * one; empty if the log no longer holds the next one.
   */
  std::vector<EncodedPatch> PatchesAfter(VersionNumber number,
                                         std::size_t max_bytes) const;

  /**
   * The full version in force, for a peer too far behind for patches. It
   * lists the lineages of the last kMaxAncestors versions.
   */
  std::string EncodeFullVersion() const;
  Step ApplyFullVersion(std::string_view bytes);

  /**
   * The store revision at which the head was set to the version in force;
   * none if the version came from a peer.
   */
  std::optional<store::Revision> HeadRevision() const { return head_revision_; }
  /** The number of the newest snapshot that a read has found. */
  VersionNumber SnapshotNumber() const { return snapshot_number_; }
  store::Revision SnapshotRevision() const { return snapshot_revision_; }

 private:
  void PutInForce(config::Configuration configuration, const Digest& lineage,
                  std::optional<store::Revision> head_revision);
  bool MayDescend(VersionNumber number,
                  const std::vector<Digest>& ancestors) const;
  void AddRecentPatch(VersionNumber number, std::string_view bytes);
  Step ApplySnapshot(const store::TransactionResult& result);
  Step ApplyPatches(const std::vector<store::KeyValue>& entries);
  Step CompareWithHead(const Read& read,
                       const std::vector<store::KeyValue>& head);

  Layout layout_;
  ConfigurationPtr in_force_;
  Digest lineage_;
  /** The lineages of the versions up to the one in force, newest last. */
  std::deque<Digest> ancestors_;
  std::optional<store::Revision> head_revision_;
  store::Revision store_revision_ = 0;
  bool needs_snapshot_ = false;
  VersionNumber snapshot_number_ = 0;
  store::Revision snapshot_revision_ = 0;
  std::string snapshot_writer_;
  std::map<VersionNumber, std::string> recent_patches_;
  std::size_t recent_bytes_ = 0;
};

// ------------------------------------------------------------------ actions

using CallId = std::uint64_t;

/** Asks the driver to execute a transaction and to return its result. */
struct StoreCall {
  CallId id = 0;
  store::Transaction transaction;
};

/** The outcome of a submitted patch. */
struct PatchOutcome {
  enum class Kind {
    kAccepted,  ///< in the store as version `number`
    kConflict,  ///< not run: the current number is `number`
    kInvalid,   ///< not run: see `findings`
    kNotRun,    ///< certainly not run; may be sent again
    kUnknown,   ///< may or may not take effect; query its id
  };
  Kind kind = Kind::kNotRun;
  VersionNumber number = 0;
  Findings findings;
  std::string message;

  friend bool operator==(const PatchOutcome&, const PatchOutcome&) = default;
};

struct PatchReply {
  std::uint64_t ticket = 0;
  PatchOutcome outcome;
};

/** An event to report to the operators. */
struct Notice {
  enum class Kind {
    kStoreBehind,      ///< the store is older than the version in force
    kStoreForked,      ///< the store holds another lineage
    kRecordInvalid,    ///< a record cannot be read
    kSnapshotWritten,  ///< `number` has a snapshot now
    kSnapshotFailed,   ///< retried after kRetryDelay
  };
  Kind kind;
  VersionNumber number = 0;
  std::string message;
};

struct Actions {
  std::vector<StoreCall> calls;
  std::vector<PatchReply> replies;
  std::vector<Notice> notices;
};

/** What the store retains; must be the same on all controllers. */
struct Retention {
  /** A snapshot is due this many patches after the newest one. */
  VersionNumber patches_per_snapshot = 64;
  /** Patches before the newest snapshot that are kept, with their ids. */
  VersionNumber history = 256;
};

// ------------------------------------------------------------ PatchAcceptor

struct PatchRequest {
  /** Identifies the request in its reply; set by the driver, never reused. */
  std::uint64_t ticket = 0;
  /** Set by the operator; the same id sent twice is one patch. */
  PatchId id;
  OperatorId author;
  VersionNumber base = 0;
  std::string merge_patch;
  /** Seconds since 1970, for the history. */
  std::int64_t accepted_at = 0;
};

/**
 * Accepts patches, one at a time, in the order in which they were submitted.
 *
 * A patch is one transaction: if the head is still the version that the patch
 * was made for and the id is unused, it puts head, patch and id. If its answer
 * is lost, the same transaction is sent again: it cannot take effect twice,
 * and its failure branch reads whether the first one took effect.
 */
class PatchAcceptor {
 public:
  static constexpr std::chrono::milliseconds kDeadline{5000};
  static constexpr std::chrono::milliseconds kCallTimeout{1000};
  static constexpr std::chrono::milliseconds kRetryDelay{200};
  static constexpr std::size_t kMaxQueuedPatches = 64;

  /** @param log must outlive the acceptor; the driver may update it too */
  explicit PatchAcceptor(VersionLog& log, Retention retention = {});
  ~PatchAcceptor();

  /** Every submitted patch gets exactly one reply. */
  void Submit(TimePoint now, PatchRequest request, Actions& actions);
  /** Processes a call's result; late and repeated results are harmless. */
  void OnResult(TimePoint now, CallId call,
                const Result<store::TransactionResult>& result,
                Actions& actions);
  /** Call about every 100 ms. */
  void OnTimer(TimePoint now, Actions& actions);

  /**
   * Records a version number that is in force on some peer. Patches are
   * refused while the store is older, as it is after a restore.
   */
  void RecordPeerNumber(VersionNumber number);

 private:
  struct QueuedPatch {
    TimePoint deadline;
    PatchRequest request;
  };
  struct Job;

  void ExpireQueued(TimePoint now, Actions& actions);
  void StartNext(TimePoint now, Actions& actions);
  void Advance(TimePoint now, Actions& actions);
  void SendRead(TimePoint now, Actions& actions);
  bool PrepareRecord(Actions& actions);
  void SendWrite(TimePoint now, Actions& actions);
  void Send(TimePoint now, store::Transaction transaction, bool is_write,
            Actions& actions);
  void RetryLater(TimePoint now);
  void OnAccepted(TimePoint now, const store::TransactionResult& result,
                  Actions& actions);
  void OnRead(TimePoint now, const store::TransactionResult& result,
              Actions& actions);
  void FinishStale(TimePoint now, VersionNumber head, Actions& actions);
  bool FinishByReceipt(TimePoint now, const store::TransactionResult& result,
                       Actions& actions);
  bool StoreIsUsable(TimePoint now, Step step, VersionNumber head,
                     Actions& actions);
  void Finish(TimePoint now, PatchOutcome outcome, Actions& actions);
  void AbandonJob(TimePoint now, std::string message, Actions& actions);

  VersionLog& log_;
  Retention retention_;
  std::deque<QueuedPatch> queue_;
  std::unique_ptr<Job> job_;
  CallId last_call_ = 0;
  VersionNumber max_peer_number_ = 0;
};

// ----------------------------------------------------------- SnapshotWriter

/**
 * Writes a snapshot once enough patches have followed the last one. It writes
 * the chunks, then the key that identifies them, with which it deletes older
 * chunks, and then removes patches older than the retention's history. A
 * writer that dies before it wrote that key leaves chunks that no key refers
 * to; a later snapshot deletes them.
 */
class SnapshotWriter {
 public:
  static constexpr std::chrono::milliseconds kCallTimeout{2000};
  static constexpr std::chrono::milliseconds kRetryDelay{10'000};

  /** @param writer distinguishes this process's chunks from all others' */
  SnapshotWriter(VersionLog& log, std::string writer, Retention retention = {})
      : log_(log), writer_(std::move(writer)), retention_(retention) {}

  /** Call after each accepted patch and periodically. */
  void OnTimer(TimePoint now, Actions& actions);
  void OnResult(TimePoint now, CallId call,
                const Result<store::TransactionResult>& result,
                Actions& actions);

 private:
  enum class Phase { kIdle, kReading, kWriting, kPublishing, kRemoving };

  bool IsDue() const;
  void Send(TimePoint now, store::Transaction transaction, Actions& actions);
  void Abandon(TimePoint now, std::string message, Actions& actions);
  void OnRead(TimePoint now, const store::TransactionResult& result,
              Actions& actions);
  void WriteNextChunk(TimePoint now, Actions& actions);
  void PublishSnapshot(TimePoint now, Actions& actions);
  void OnPublished(TimePoint now, const store::TransactionResult& result,
                   Actions& actions);

  VersionLog& log_;
  std::string writer_;
  Retention retention_;
  Phase phase_ = Phase::kIdle;
  CallId call_ = 0;
  CallId last_call_ = 0;
  TimePoint call_deadline_;
  TimePoint next_attempt_at_;
  VersionLog::Read read_;
  VersionNumber number_ = 0;
  Digest lineage_;
  store::Revision head_revision_ = 0;
  std::string snapshot_;
  std::size_t written_bytes_ = 0;
};

}  // namespace figwell::versions

#endif  // FIGWELL_VERSIONS_H_
