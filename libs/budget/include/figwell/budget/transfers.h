#ifndef FIGWELL_BUDGET_TRANSFERS_H_
#define FIGWELL_BUDGET_TRANSFERS_H_

/** Transfers of tokens between gateways and their messages; see budget.h. */

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "figwell/budget/buckets.h"
#include "figwell/config.h"
#include "figwell/core.h"

namespace figwell::budget {

// ----------------------------------------------------------------- messages

/** Identifies a team in a message: StableHash of its id. */
using TeamHash = std::uint64_t;

TeamHash HashTeam(const TeamId& team);

/** A number of one team's tokens that is requested or granted. */
struct TransferItem {
  TeamHash team = 0;
  std::uint32_t tokens = 0;
  /** In a request: all or nothing. */
  bool all_or_nothing = false;
  /**
   * In an answer that grants less than requested: the time after which to
   * request that number again.
   */
  std::uint16_t retry_ms = 0;

  friend bool operator==(const TransferItem&, const TransferItem&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, tokens, all_or_nothing, retry_ms);
  }
};

/** Maximum items of one message; receivers drop longer messages. */
inline constexpr std::size_t kMaxTransferItems = 64;

/** Requests tokens from another gateway. */
struct TransferRequest {
  /** Unique within the requester's incarnation. */
  std::uint64_t id = 0;
  std::vector<TransferItem> requested;

  friend bool operator==(const TransferRequest&,
                         const TransferRequest&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, requested);
  }
};

/** The tokens that the source debited, in the order of the request. */
struct TransferAnswer {
  std::uint64_t id = 0;
  /** The source's incarnation and clock, for a TransferReturn. */
  std::uint64_t incarnation = 0;
  std::int64_t granted_at = 0;
  std::vector<TransferItem> granted;

  friend bool operator==(const TransferAnswer&,
                         const TransferAnswer&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, granted_at, granted);
  }
};

/** Tokens that were charged after `granted_at` and not used. */
struct ReturnItem {
  TeamHash team = 0;
  std::uint32_t tokens = 0;
  /** The source's clock at a time before the charge. */
  std::int64_t granted_at = 0;

  friend bool operator==(const ReturnItem&, const ReturnItem&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(team, tokens, granted_at);
  }
};

/** Returns unused tokens for which the sender has no free capacity. */
struct TransferReturn {
  /** Ascending within the sender's incarnation; each is processed once. */
  std::uint64_t id = 0;
  std::uint64_t incarnation = 0;
  /** The incarnation of the receiver to whose clock the items refer. */
  std::uint64_t source_incarnation = 0;
  std::vector<ReturnItem> items;

  friend bool operator==(const TransferReturn&,
                         const TransferReturn&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, incarnation, source_incarnation, items);
  }
};

/** Approximate levels, one byte per team in the order of the teams' ids. */
struct LevelReport {
  /** The configuration that defines the teams of `levels`. */
  config::VersionNumber configuration = 0;
  std::vector<std::uint8_t> levels;

  friend bool operator==(const LevelReport&, const LevelReport&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(configuration, levels);
  }
};

/**
 * Packs a token count into a byte. Unpacked, it is at most an eighth below the
 * true count and never above it.
 */
std::uint8_t PackLevel(Tokens tokens);
Tokens UnpackLevel(std::uint8_t packed);

// ---------------------------------------------------------------- transfers

/** A gateway that tokens may be requested from. */
struct TransferPeer {
  InstanceId instance;
  DomainId domain;

  friend bool operator==(const TransferPeer&, const TransferPeer&) = default;
};

/**
 * The group of gateways, `self` included, that lend each other the shares of
 * small teams, sorted by instance: all gateways of a small fleet, otherwise
 * some neighbours in the own domain. Gateways with the same view of the
 * membership compute the same groups.
 */
std::vector<TransferPeer> LendingGroup(const TransferPeer& self,
                                       std::vector<TransferPeer> peers);

/** A message to send to another gateway as a datagram. */
template <typename Message>
struct Outgoing {
  InstanceId to;
  Message message;

  friend bool operator==(const Outgoing&, const Outgoing&) = default;
};

/** Messages that Transfers requests the caller to send. */
struct TransferActions {
  std::vector<Outgoing<TransferRequest>> requests;
  std::vector<Outgoing<LevelReport>> reports;
  std::vector<Outgoing<TransferReturn>> returns;
};

/**
 * Moves tokens from gateways that have them to gateways that need them. The
 * source debits its bucket before it sends the answer; the requester credits
 * one answer per request id, and only within kTransferLifetime of its request.
 * A lost message loses tokens; a repeated or late one creates none.
 */
class Transfers {
 public:
  /** @param incarnation different at each start of the process */
  Transfers(TransferPeer self, std::uint64_t incarnation);

  /** Puts a configuration's budgets in force. */
  void Configure(config::VersionNumber number,
                 std::shared_ptr<const BudgetTable> budgets);

  /** The live gateways of the membership; this gateway is ignored. */
  void SetPeers(const std::vector<TransferPeer>& peers);

  /**
   * Reports levels and prefetches tokens for teams with steady demand. Call it
   * every kTransferTick.
   */
  TransferActions Tick(TimePoint now);

  /**
   * Requests the tokens that a waiting request lacks from the peers with the
   * highest reported levels, preferring a peer of the own domain among those
   * that have enough. Tokens of requests in flight are not requested again.
   * Call it again while the request waits.
   */
  TransferActions RequestTokens(TimePoint now, const TeamId& team,
                                Tokens missing);

  /**
   * Debits the tokens that can be spared.
   * @return the answer to send; nullopt if the request has too many items
   */
  std::optional<TransferAnswer> OnRequest(TimePoint now,
                                          const TransferRequest& request);

  /** Credits an answer. @return whether any tokens were credited */
  bool OnAnswer(TimePoint now, const InstanceId& from,
                const TransferAnswer& answer);

  void OnReport(TimePoint now, const InstanceId& from,
                const LevelReport& report);

  /**
   * Settles a request: refunds the unused tokens, here as far as there is free
   * capacity, the rest with the next Tick to a gateway that granted tokens
   * before the request was admitted.
   */
  void Settle(TimePoint now, const TeamId& team, TimePoint admitted,
              Tokens unused);

  void OnReturn(TimePoint now, const InstanceId& from,
                const TransferReturn& message);

 private:
  /** A source's clock, read before `received`. */
  struct SourceClock {
    TimePoint received;
    InstanceId source;
    std::uint64_t incarnation = 0;
    std::int64_t granted_at = 0;
  };
  using InstanceIncarnation = std::pair<InstanceId, std::uint64_t>;

  struct PeerLevels {
    DomainId domain;
    TimePoint reported_at;
    std::vector<Tokens> levels;       // by team, in the order of the budgets
    std::vector<TimePoint> retry_at;  // by team, as the peer answered
  };
  struct PendingItem {
    std::size_t team = 0;
    Tokens tokens = 0;
    bool all_or_nothing = false;
  };
  struct PendingRequest {
    TimePoint at;
    InstanceId source;
    std::vector<PendingItem> items;
  };
  struct Demand {
    double tokens_per_second = 0;
    Tokens in_flight = 0;
    TimePoint next_prefetch;
    Duration backoff{0};
  };

  using Requests = std::map<InstanceId, PendingRequest>;

  std::optional<std::size_t> IndexOf(TeamHash team) const;
  Tokens LocalReserve(std::size_t team) const;
  void MeasureDemand(TimePoint now);
  void ExpireState(TimePoint now);
  void ReportLevels(TimePoint now, std::vector<Outgoing<LevelReport>>& out);
  void Prefetch(TimePoint now, Requests& requests);
  Tokens RequestFromPeers(TimePoint now, std::size_t team, Tokens requested,
                          Requests& requests);
  PeerLevels* SelectSource(TimePoint now, std::size_t team, Tokens requested,
                           InstanceId& source);
  std::vector<Outgoing<TransferRequest>> BuildRequests(
      TimePoint now, const Requests& requests);
  TransferItem GrantItem(TimePoint now, std::size_t team,
                         const TransferItem& requested);
  std::vector<InstanceId> PickReportTargets();
  void RecordSourceClock(std::size_t team, SourceClock source_clock);
  std::vector<Outgoing<TransferReturn>> DrainReturns();

  TransferPeer self_;
  std::uint64_t incarnation_;
  Random random_;
  config::VersionNumber configuration_number_ = 0;
  std::shared_ptr<const BudgetTable> budgets_;
  std::map<TeamHash, std::size_t> index_by_hash_;
  std::vector<Demand> demand_;
  std::vector<TransferPeer> peers_;
  std::map<std::size_t, std::deque<SourceClock>> source_clocks_;  // by team
  std::map<InstanceIncarnation, std::vector<ReturnItem>> pending_returns_;
  std::map<InstanceIncarnation, std::uint64_t> last_return_ids_;
  std::uint64_t next_return_id_ = 1;
  std::vector<TransferPeer> group_;  // without this gateway
  std::size_t next_group_peer_ = 0;
  std::map<InstanceId, PeerLevels> peer_levels_;
  std::map<std::uint64_t, PendingRequest> pending_requests_;
  std::uint64_t next_request_id_ = 1;
  TimePoint demand_measured_at_;
  TimePoint next_report_;
};

/** How often Transfers::Tick is to be called. */
inline constexpr Duration kTransferTick = std::chrono::milliseconds(100);

}  // namespace figwell::budget

#endif  // FIGWELL_BUDGET_TRANSFERS_H_
