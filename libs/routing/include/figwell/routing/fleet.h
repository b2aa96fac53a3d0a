#ifndef FIGWELL_ROUTING_FLEET_H_
#define FIGWELL_ROUTING_FLEET_H_

/** Part of figwell/routing.h: the servers and what each can serve. */

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"

namespace figwell::routing {

/** What a server must offer for a request: a ready model, or a service. */
using Target = std::variant<config::ModelTarget, ServiceId>;

struct TargetHash {
  std::size_t operator()(const Target& target) const noexcept;
};

/** The last report of a server. */
struct ServerReport {
  /** Changes when the server has restarted and lost its memory. */
  std::string incarnation;
  /** When the values were measured: the report's arrival less its age. */
  TimePoint measured_at;
  bool draining = false;
  /** Tokens awaiting prefill or generation, for all gateways. */
  std::int64_t outstanding_tokens = 0;
  /** Models, versions and adapters in state `ready`. */
  std::vector<config::ModelTarget> ready;

  friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

/**
 * The maximum interval between two FleetViews made from fresh reports and a
 * fresh instance list. With it, a leaving server gets no new work later than
 * kMaxLeavingDelay after the first sign, including the lag of its report.
 */
inline constexpr Duration kFleetViewInterval = std::chrono::seconds(1);
inline constexpr Duration kMaxLeavingDelay = std::chrono::seconds(3);

/** What is known of the servers in addition to the configuration. */
struct FleetStatus {
  std::map<ServerId, ServerReport> reports;
  /** Servers that the platform's instance list marks as leaving. */
  std::set<ServerId> leaving;

  friend bool operator==(const FleetStatus&, const FleetStatus&) = default;
};

/** The index of a server in one FleetView. */
using ServerIndex = std::uint32_t;

struct FleetServer {
  ServerId id;
  DomainId domain;
  /** `IP:PORT`. */
  std::string address;
  int accelerators = 1;
  /** Set if configuration, report or instance list says that it leaves. */
  bool leaving = false;
  bool reported = false;
  TimePoint measured_at;
  std::int64_t outstanding_tokens = 0;
  std::string incarnation;
  /** The server's hash for rendezvous hashing. */
  std::uint64_t hash = 0;

  friend bool operator==(const FleetServer&, const FleetServer&) = default;
};

/** The servers and what each can serve; immutable, shared by threads. */
class FleetView {
 public:
  FleetView() = default;
  FleetView(const config::Configuration& configuration,
            const FleetStatus& news);

  const std::vector<FleetServer>& Servers() const { return servers_; }

  /**
   * The servers that can serve `target`, leaving ones included; empty if there
   * are none. Constant expected time, no allocation.
   */
  std::span<const ServerIndex> CandidatesFor(const Target& target) const;

  /**
   * The highest version of the model (with the adapter, if one is named) that
   * is ready on a server that is not leaving; nullopt if there is none. Linear
   * in the number of targets: for the rare case that the requested version is
   * not ready.
   */
  std::optional<VersionId> AnyReadyVersion(const ModelId& model,
                                           const AdapterId& adapter) const;

 private:
  std::vector<FleetServer> servers_;
  std::unordered_map<Target, std::vector<ServerIndex>, TargetHash> candidates_;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_FLEET_H_
