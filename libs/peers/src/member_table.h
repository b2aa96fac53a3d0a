#ifndef FIGWELL_PEERS_MEMBER_TABLE_H_
#define FIGWELL_PEERS_MEMBER_TABLE_H_

/**
 * The records of all members, the rules by which two tables converge, and
 * digests that show cheaply whether they differ.
 */

#include <array>
#include <bitset>
#include <map>
#include <vector>

#include "messages.h"

namespace figwell::peers {

inline constexpr std::size_t kMaxMembers = 4'096;
/** With 810 members and as many dead or left ones, a bucket fits a datagram. */
inline constexpr std::size_t kBuckets = 64;
inline constexpr std::size_t kMaxAddressBytes = 64;

/** Whether a member counts as running: alive, draining or suspect. */
bool IsLive(MemberState state);

/** Whether `left` is a later record than `right` of the same member. */
bool Supersedes(const MemberRecord& left, const MemberRecord& right);

/** Whether lengths, incarnation and state are within their bounds. */
bool IsValid(const MemberRecord& record);

class MemberTable {
 public:
  struct Entry {
    Member member;
    /** When this process saw its state change. */
    TimePoint state_since{};
    std::uint64_t hash = 0;
    std::size_t bucket = 0;
  };
  using Entries = std::map<InstanceId, Entry>;

  enum class Change {
    kNone,
    kUpdated,         ///< a later record of the same incarnation
    kNewIncarnation,  ///< a new member, or a restarted one
  };

  /**
   * Applies a record if it is valid and later than the known one. A dead or
   * left member that is not in the table is not added: otherwise members
   * would pass expired records to each other forever.
   */
  Change Merge(TimePoint now, const MemberRecord& record);

  /** Sets the state of a member whose record is known. */
  void SetState(TimePoint now, const InstanceId& instance, MemberState state);

  /** Removes dead and left members after their retention time. */
  void Expire(TimePoint now);

  Entry* Find(const InstanceId& instance);
  const Entry* Find(const InstanceId& instance) const;
  const Entries& entries() const { return entries_; }

  /** Covers instance, incarnation and version of all live members. */
  std::uint64_t digest() const { return digest_; }
  std::vector<std::uint32_t> BucketDigests() const;
  static std::size_t BucketOf(const InstanceId& instance);
  /** All records of the buckets that are set, dead and left ones last. */
  std::vector<MemberRecord> Records(const std::bitset<kBuckets>& buckets) const;

  /** Increases when a member joins, stops or is replaced. */
  std::uint64_t generation() const { return generation_; }
  /** Increases with each change of any record. */
  std::uint64_t changes() const { return changes_; }
  std::size_t live_count() const { return live_count_; }

 private:
  void Replace(TimePoint now, Entry& entry, const MemberRecord& record);
  void AddToDigest(const Entry& entry, int sign);

  Entries entries_;
  std::array<std::uint64_t, kBuckets> buckets_{};
  std::uint64_t digest_ = 0;
  std::uint64_t generation_ = 0;
  std::uint64_t changes_ = 0;
  std::size_t live_count_ = 0;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_MEMBER_TABLE_H_
