#ifndef FIGWELL_ADMISSION_FAIR_QUEUE_H_
#define FIGWELL_ADMISSION_FAIR_QUEUE_H_

/** A model's queued requests, fair over teams; see admission.h. */

#include <array>
#include <compare>
#include <concepts>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "figwell/admission/access.h"
#include "figwell/budget.h"

namespace figwell::admission {

/** Identifies a queued request; never reused within its queue. */
struct Ticket {
  std::uint64_t value = 0;

  friend auto operator<=>(const Ticket&, const Ticket&) = default;
  friend bool operator==(const Ticket&, const Ticket&) = default;
};

/** Priorities within a team: 0 to 9, the highest is served first. */
inline constexpr int kPriorityCount = 10;

/** A request that waits for a server. */
struct QueuedRequest {
  Ticket ticket;
  /** The caller's key; checked again at dispatch. */
  Digest key;
  budget::Tokens cost = 0;
  int priority = 0;
  TimePoint enqueued;
  TimePoint deadline = TimePoint::max();
};

/** Limits of one queue. */
struct QueueBounds {
  std::size_t max_requests = 1024;
  Duration max_age = std::chrono::seconds(30);
};

/** One team's requests in a queue, with the state of the disciplines. */
struct TeamQueue {
  static constexpr std::uint32_t kNone = UINT32_MAX;

  TeamId team;
  std::int64_t weight = 1;
  std::size_t requests = 0;
  budget::Tokens tokens = 0;
  std::array<std::uint32_t, kPriorityCount> first;
  std::array<std::uint32_t, kPriorityCount> last;
  /** Tokens served divided by the weight, in units of 1 / kVirtualTimeScale. */
  std::int64_t virtual_time = 0;
  /** Tokens that may still be served in this round. */
  budget::Tokens deficit = 0;
  bool in_round = false;
};

inline constexpr std::int64_t kVirtualTimeScale = 1024;

/**
 * Chooses the team queue to serve next. `head_costs` has the cost of each
 * queue's first request, or 0 if the queue is empty.
 */
template <typename D>
concept QueueDiscipline = requires(
    D discipline, std::vector<TeamQueue>& queues, std::size_t index,
    const std::vector<budget::Tokens>& head_costs, budget::Tokens cost) {
  discipline.Activate(queues, index);
  { discipline.Pick(queues, head_costs) } -> std::same_as<std::size_t>;
  discipline.Charge(queues, index, cost);
  discipline.SetFairness(1.0);
};

/**
 * Start-time fair queueing: serves the team with the lowest virtual time. With
 * a fairness below 1, a team may lead by up to kMaxLeadTokens, and within that
 * bound the cheapest request is served first. This completes more requests on
 * the same accelerators.
 */
class VirtualTime {
 public:
  static constexpr budget::Tokens kMaxLeadTokens = 65'536;

  void SetFairness(double fairness);
  void Activate(std::vector<TeamQueue>& queues, std::size_t index) const;
  std::size_t Pick(std::vector<TeamQueue>& queues,
                   const std::vector<budget::Tokens>& head_costs) const;
  void Charge(std::vector<TeamQueue>& queues, std::size_t index,
              budget::Tokens cost);

 private:
  std::int64_t virtual_now_ = 0;
  std::int64_t max_lead_ = 0;
};

/** Deficit round robin: serves each team a quantum of tokens per round. */
class DeficitRoundRobin {
 public:
  static constexpr budget::Tokens kQuantumTokens = 1024;

  void SetFairness(double) {}
  void Activate(std::vector<TeamQueue>& queues, std::size_t index);
  std::size_t Pick(std::vector<TeamQueue>& queues,
                   const std::vector<budget::Tokens>& head_costs);
  void Charge(std::vector<TeamQueue>& queues, std::size_t index,
              budget::Tokens cost);

 private:
  std::vector<std::size_t> round_;  // indices of queues, served cyclically
  std::size_t round_position_ = 0;
};

/**
 * One model's queue. Teams get tokens in proportion to their weights; within a
 * team, requests are served by priority, then first come first served. One
 * thread owns it. It allocates its full capacity at the start, and more only
 * for each new team.
 */
template <QueueDiscipline Discipline>
class FairQueue {
 public:
  struct PushResult {
    /** The request's ticket; if unset, refuse the request (kOverloaded). */
    std::optional<Ticket> ticket;
    /** A request that was dropped instead; refuse it now (kOverloaded). */
    std::optional<Ticket> shed;
  };
  struct PopResult {
    QueuedRequest request;
    TeamId team;
    /** If set, refuse the request with this reason; do not dispatch it. */
    std::optional<RefusalReason> refusal;
  };

  explicit FairQueue(QueueBounds bounds);

  /** See Policy::fairness. */
  void SetFairness(double fairness) { discipline_.SetFairness(fairness); }

  /**
   * Queues a request and sets its ticket. If the queue is full, the team with
   * the most queued tokens for its weight loses a request: the newest of its
   * lowest priority, or the new request if that is its own team.
   */
  PushResult Push(const TeamId& team, std::int64_t weight,
                  QueuedRequest request);

  /**
   * Removes and returns the next request; nullopt if the queue is empty.
   *
   * @param allowed bool (const QueuedRequest&, const TeamId&): whether the
   *     key is still valid; otherwise the refusal is kUnknownKey
   */
  template <typename Allowed>
  std::optional<PopResult> Pop(TimePoint now, const Allowed& allowed) {
    std::optional<PopResult> next = PopNext(now);
    if (next.has_value() && !next->refusal.has_value() &&
        !allowed(next->request, next->team)) {
      next->refusal = RefusalReason::kUnknownKey;
    }
    return next;
  }

  /**
   * Removes every request past its deadline or the maximum age, calling
   * `refuse(const QueuedRequest&, RefusalReason)` for each. O(capacity).
   */
  template <typename Refuse>
  void Expire(TimePoint now, const Refuse& refuse) {
    for (std::uint32_t slot = 0; slot < slots_.size(); ++slot) {
      if (const auto reason = ExpiryReason(now, slot); reason.has_value()) {
        const QueuedRequest expired = slots_[slot].request;
        Unlink(slot);
        refuse(expired, *reason);
      }
    }
  }

  /** Removes a request whose caller is gone. @return whether it was queued */
  bool Remove(Ticket ticket);

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /** Tokens queued by a team. */
  budget::Tokens QueuedTokens(const TeamId& team) const;

 private:
  struct Slot {
    QueuedRequest request;  // ticket 0: the slot is free
    std::size_t queue_index = 0;
    std::uint32_t next = TeamQueue::kNone;
    std::uint32_t previous = TeamQueue::kNone;
  };

  std::size_t FindOrAddQueue(const TeamId& team, std::int64_t weight);
  std::uint32_t NextSlot(const TeamQueue& queue) const;
  std::uint32_t NewestLowestPrioritySlot(const TeamQueue& queue) const;
  std::size_t SheddingCandidate(std::size_t pushing_index,
                                budget::Tokens cost) const;
  std::optional<PopResult> PopNext(TimePoint now);
  std::optional<RefusalReason> ExpiryReason(TimePoint now,
                                            std::uint32_t slot) const;
  void Link(std::size_t queue_index, const QueuedRequest& request);
  void Unlink(std::uint32_t slot);

  QueueBounds bounds_;
  Discipline discipline_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> free_;
  std::vector<TeamQueue> queues_;
  std::vector<budget::Tokens> head_costs_;  // 0: the queue is empty
  std::unordered_map<TeamId, std::size_t> index_by_team_;
  std::uint64_t next_ticket_ = 1;
  std::size_t size_ = 0;
};

/** The gateway's queue; see docs/design/fairness.md for the discipline. */
using ModelQueue = FairQueue<VirtualTime>;

}  // namespace figwell::admission

#endif  // FIGWELL_ADMISSION_FAIR_QUEUE_H_
