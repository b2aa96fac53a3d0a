#ifndef FIGWELL_VERSIONS_TESTS_WORLD_H_
#define FIGWELL_VERSIONS_TESTS_WORLD_H_

/**
 * Simulates controllers and readers with an in-memory store. The test decides
 * the outcome of every call. An oracle checks them against the list of
 * accepted patches, by lineage.
 */

#include <memory>
#include <set>

#include "figwell/testing.h"
#include "figwell/versions.h"
#include "model_store.h"
#include "record_json.h"

namespace figwell::versions {

/** The rate of every team: the only part of a configuration checked here. */
using Rates = std::map<TeamId, std::int64_t>;

inline Rates RatesOf(const config::Configuration& configuration) {
  Rates rates;
  for (const auto& [id, team] : configuration.teams) {
    rates[id] = team.rate;
  }
  return rates;
}

struct Node {
  explicit Node(const std::string& name, Retention retention)
      : log("/f/"), acceptor(log, retention), writer(log, name, retention) {}
  VersionLog log;
  PatchAcceptor acceptor;
  SnapshotWriter writer;
};

enum class Caller { kAcceptor, kWriter, kReader };

/** A store call that has not been answered. */
struct PendingCall {
  std::size_t node = 0;
  std::shared_ptr<Node> process;  // a restarted node is another process
  Caller caller = Caller::kReader;
  StoreCall call;
  VersionLog::Read read;
};

/** What the network and the store do to one call. */
enum class CallOutcome {
  kAnswered,
  kRefused,              ///< not executed, and reported as such
  kRequestLost,          ///< not executed, reported as unknown
  kAnswerLost,           ///< executed, reported as unknown
  kRequestLostSilently,  ///< not executed, nothing reported
  kAnswerLostSilently,   ///< executed, nothing reported
  kDuplicated,           ///< executed, the answer comes twice
};

struct Submitted {
  PatchRequest request;
  TeamId team;
  std::int64_t rate = 0;
  std::optional<PatchOutcome> outcome;
};

class World {
 public:
  explicit World(std::size_t nodes, Retention retention = {4, 12})
      : retention_(retention) {
    states_[Digest()] = {};
    for (std::size_t i = 0; i < nodes; ++i) {
      nodes_.push_back(NewNode(i));
    }
  }

  Node& NodeAt(std::size_t index) { return *nodes_[index]; }
  std::size_t size() const { return nodes_.size(); }
  std::size_t PendingCount() const { return pending_.size(); }
  const std::vector<Submitted>& AllSubmitted() const { return submitted_; }
  const std::set<Notice::Kind>& Notices() const { return notices_; }
  ModelStore& Store() { return store_; }
  VersionNumber Head() const { return head_.number; }
  bool Restored() const { return restored_; }

  /** Submits a patch that sets a team's rate; a negative one is invalid. */
  std::size_t Submit(std::size_t node, VersionNumber base,
                     const std::string& id, const std::string& team,
                     std::int64_t rate) {
    Submitted entry;
    entry.team = TeamId(team);
    entry.rate = rate;
    entry.request.ticket = submitted_.size();
    entry.request.id = PatchId(id);
    entry.request.base = base;
    entry.request.accepted_at = static_cast<std::int64_t>(submitted_.size());
    entry.request.merge_patch = R"({"domains":{"d":{"units":1}},"teams":{")" +
                                team + R"(":{"rate":)" + std::to_string(rate) +
                                "}}}";
    submitted_.push_back(entry);
    RunNode(node, [&](Node& one, Actions& actions) {
      one.acceptor.Submit(now_, entry.request, actions);
    });
    return submitted_.size() - 1;
  }

  void Read(std::size_t node) {
    PendingCall call{node, nodes_[node], Caller::kReader, {}, {}};
    call.read = nodes_[node]->log.NextRead();
    call.call.transaction = call.read.transaction;
    pending_.push_back(std::move(call));
  }

  /** Resolves the pending call at `index`; calls may resolve in any order. */
  void Resolve(std::size_t index, CallOutcome call_outcome) {
    const PendingCall call = pending_[index];
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
    const bool runs = call_outcome != CallOutcome::kRefused &&
                      call_outcome != CallOutcome::kRequestLost &&
                      call_outcome != CallOutcome::kRequestLostSilently;
    Result<store::TransactionResult> result =
        Fail(call_outcome == CallOutcome::kRefused ? ErrorCode::kUnavailable
                                                   : ErrorCode::kUnknownOutcome,
             "fault");
    if (runs) {
      const auto answer = store_.Execute(call.call.transaction);
      UpdateOracle();
      if (call_outcome != CallOutcome::kAnswerLost &&
          call_outcome != CallOutcome::kAnswerLostSilently) {
        result = answer;
      }
    }
    if (call_outcome == CallOutcome::kRequestLostSilently ||
        call_outcome == CallOutcome::kAnswerLostSilently) {
      return;
    }
    Answer(call, result);
    if (call_outcome == CallOutcome::kDuplicated) {
      Answer(call, result);
    }
  }

  void Advance(std::chrono::milliseconds time) {
    now_ += time;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      RunNode(i, [&](Node& one, Actions& actions) {
        one.acceptor.OnTimer(now_, actions);
      });
      RunNode(
          i,
          [&](Node& one, Actions& actions) {
            one.writer.OnTimer(now_, actions);
          },
          Caller::kWriter);
    }
  }

  void Relay(std::size_t from, std::size_t to, bool whole) {
    VersionLog& source = nodes_[from]->log;
    VersionLog& target = nodes_[to]->log;
    if (whole) {
      ApplyAndCheck(
          to, [&] { target.ApplyFullVersion(source.EncodeFullVersion()); });
      return;
    }
    for (const auto& patch : source.PatchesAfter(target.Number(), 1 << 20)) {
      ApplyAndCheck(to, [&] { target.ApplyPatchRecord(patch.bytes); });
    }
  }

  /** Replaces a process by a new one with no state; its calls stay pending. */
  void Restart(std::size_t node) { nodes_[node] = NewNode(node); }

  void Backup() { backup_ = store_; }

  /** Restores the backup; pending calls are lost with their connections. */
  void Restore() {
    store_ = backup_;
    pending_.clear();
    restored_ = true;
    UpdateOracle();
  }

  /** Removes all pending calls; RestorePending makes them pending again. */
  std::vector<PendingCall> RemovePending() {
    return std::exchange(pending_, {});
  }
  void RestorePending(std::vector<PendingCall> calls) {
    pending_ = std::move(calls);
  }

  /** The numbers that a patch was accepted as, according to the oracle. */
  std::set<VersionNumber> AcceptedAs(const PatchId& id) const {
    const auto found = accepted_.find(id);
    return found == accepted_.end() ? std::set<VersionNumber>() : found->second;
  }

  void RecordNumbersInForce() {
    for (const auto& from : nodes_) {
      for (const auto& to : nodes_) {
        to->acceptor.RecordPeerNumber(from->log.Number());
      }
    }
  }

  /** Answers all calls and advances the time, without further faults. */
  void Settle() {
    for (int round = 0; round < 400; ++round) {
      while (!pending_.empty()) {
        Resolve(0, CallOutcome::kAnswered);
      }
      Advance(std::chrono::milliseconds(100));
    }
  }

  /** Brings every reader up to date with the store. */
  void CatchUp() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      for (int tries = 0; tries < 3; ++tries) {
        Read(i);
        Resolve(pending_.size() - 1, CallOutcome::kAnswered);
      }
    }
  }

  /**
   * Checks the guarantees about replies; call after Settle. A patch that a
   * restore removed from the store no longer counts as run.
   */
  void CheckReplies() const {
    std::set<std::uint64_t> run;
    for (Digest at = head_.lineage; at != Digest(); at = parents_.at(at)) {
      run.insert(tickets_.at(at));
    }
    for (const Submitted& entry : submitted_) {
      RC_ASSERT(entry.outcome.has_value());
      if (entry.outcome->kind != PatchOutcome::Kind::kUnknown &&
          entry.outcome->kind != PatchOutcome::Kind::kAccepted) {
        RC_ASSERT(!run.contains(entry.request.ticket));
      }
    }
  }

  /** Sets the outcome of patches whose process died before it replied. */
  void MarkUnansweredUnknown(std::size_t node) {
    for (Submitted& entry : submitted_) {
      if (!entry.outcome && owner_[entry.request.ticket] == node) {
        entry.outcome = PatchOutcome{PatchOutcome::Kind::kUnknown, 0, {}, ""};
      }
    }
  }

 private:
  std::shared_ptr<Node> NewNode(std::size_t index) {
    return std::make_shared<Node>(
        "w" + std::to_string(++process_count_) + "n" + std::to_string(index),
        retention_);
  }

  template <typename Function>
  void ApplyAndCheck(std::size_t node, Function&& function) {
    const VersionNumber before = nodes_[node]->log.Number();
    const Digest lineage = nodes_[node]->log.Lineage();
    function();
    CheckLog(nodes_[node]->log, before, lineage);
  }

  // The log never goes back or to another lineage, and matches the oracle.
  void CheckLog(const VersionLog& log, VersionNumber before,
                const Digest& lineage) const {
    RC_ASSERT(log.Number() >= before);
    const auto state = states_.find(log.Lineage());
    RC_ASSERT(state != states_.end());
    RC_ASSERT(RatesOf(*log.InForce()) == state->second);
    Digest ancestor = log.Lineage();
    for (VersionNumber number = log.Number(); number > before; --number) {
      ancestor = parents_.at(ancestor);
    }
    RC_ASSERT(ancestor == lineage);
  }

  template <typename Function>
  void RunNode(std::size_t node, Function&& function,
               Caller caller = Caller::kAcceptor) {
    Actions actions;
    ApplyAndCheck(node, [&] { function(*nodes_[node], actions); });
    for (StoreCall& call : actions.calls) {
      pending_.push_back({node, nodes_[node], caller, std::move(call), {}});
    }
    for (const Notice& notice : actions.notices) {
      notices_.insert(notice.kind);
    }
    for (PatchReply& reply : actions.replies) {
      CheckReply(reply);
    }
    for (std::size_t i = owner_.size(); i < submitted_.size(); ++i) {
      owner_.push_back(node);
    }
  }

  void CheckReply(const PatchReply& reply) {
    Submitted& entry = submitted_.at(reply.ticket);
    RC_ASSERT(!entry.outcome.has_value());
    entry.outcome = reply.outcome;
    const auto accepted = accepted_.find(entry.request.id);
    if (reply.outcome.kind == PatchOutcome::Kind::kAccepted) {
      RC_ASSERT(accepted != accepted_.end());
      RC_ASSERT(accepted->second.contains(reply.outcome.number));
    }
    if (reply.outcome.kind == PatchOutcome::Kind::kConflict && !restored_) {
      RC_ASSERT(accepted == accepted_.end());
    }
  }

  void Answer(const PendingCall& call,
              const Result<store::TransactionResult>& result) {
    if (nodes_[call.node] != call.process) {
      return;
    }
    switch (call.caller) {
      case Caller::kReader:
        if (result) {
          ApplyAndCheck(call.node, [&] {
            call.process->log.ApplyRead(call.read, *result);
          });
        }
        break;
      case Caller::kAcceptor:
        RunNode(call.node, [&](Node& one, Actions& actions) {
          one.acceptor.OnResult(now_, call.call.id, result, actions);
        });
        break;
      case Caller::kWriter:
        RunNode(
            call.node,
            [&](Node& one, Actions& actions) {
              one.writer.OnResult(now_, call.call.id, result, actions);
            },
            Caller::kWriter);
        break;
    }
  }

  // Updates the oracle from the store: each new head is one accepted patch.
  void UpdateOracle() {
    const auto entry = store_.Entries().find("/f/config/head");
    if (entry == store_.Entries().end()) {
      head_ = {};
      return;
    }
    VersionHeader head = DecodeVersionHeader(entry->second.value).value();
    if (!states_.contains(head.lineage)) {
      RC_ASSERT(head.number == head_.number + 1);
      const Layout layout("/f/");
      const auto& value =
          store_.Entries().at(layout.PatchKey(head.number, head.lineage)).value;
      Accept(DecodePatchRecord(value).value(), head.lineage);
    }
    head_ = head;
  }

  void Accept(const PatchRecord& record, const Digest& lineage) {
    RC_ASSERT(record.parent == head_.lineage);
    const Submitted& source =
        submitted_.at(static_cast<std::size_t>(record.accepted_at));
    RC_ASSERT(source.rate >= 0);
    RC_ASSERT(source.request.base + 1 == record.number);
    const bool first = accepted_[record.id].insert(record.number).second &&
                       (restored_ || accepted_[record.id].size() == 1);
    RC_ASSERT(first || restored_);
    tickets_[lineage] = source.request.ticket;
    parents_[lineage] = record.parent;
    Rates rates = states_.at(record.parent);
    rates[source.team] = source.rate;
    states_[lineage] = std::move(rates);
  }

  Retention retention_;
  ModelStore store_;
  ModelStore backup_;
  bool restored_ = false;
  int process_count_ = 0;
  TimePoint now_{};
  std::vector<std::shared_ptr<Node>> nodes_;
  std::vector<PendingCall> pending_;
  std::vector<Submitted> submitted_;
  std::vector<std::size_t> owner_;
  std::set<Notice::Kind> notices_;
  VersionHeader head_;
  std::map<Digest, Rates> states_;
  std::map<Digest, Digest> parents_;
  std::map<PatchId, std::set<VersionNumber>> accepted_;
  std::map<Digest, std::uint64_t> tickets_;
};

}  // namespace figwell::versions

#endif  // FIGWELL_VERSIONS_TESTS_WORLD_H_
