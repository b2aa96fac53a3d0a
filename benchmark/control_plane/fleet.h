#ifndef FIGWELL_BENCHMARK_CONTROL_PLANE_FLEET_H_
#define FIGWELL_BENCHMARK_CONTROL_PLANE_FLEET_H_

/**
 * Runs many PeerAgents in one process and in virtual time. A seeded event
 * queue replaces the sockets, and a count of calls replaces the store. Shared
 * by the tests of libs/peers and the control plane's benchmark.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "agent.h"

namespace figwell::peers {

struct FleetOptions {
  std::size_t domains = 1;
  std::size_t members_per_domain = 1;
  /** Probabilities that a datagram is lost and that it is delivered twice. */
  double loss = 0;
  double repeat = 0;
  Duration min_latency = std::chrono::milliseconds(1);
  Duration max_latency = std::chrono::milliseconds(5);
  std::size_t payload_bytes = 0;
  std::size_t patch_bytes = 500;
  std::uint64_t seed = 1;
};

/** Totals over all members since the last ResetTraffic. */
struct Traffic {
  std::uint64_t messages = 0;
  /** Payload, envelope and the headers of IP, UDP and TCP; each byte counts
   * once when sent and once when received. */
  std::uint64_t bytes = 0;
  std::uint64_t store_reads = 0;
  std::uint64_t store_events = 0;
  std::uint64_t fetches = 0;
  std::chrono::nanoseconds agent_time{};  ///< processor time in the agents
};

/** Descriptions of violated invariants; empty if all hold. */
using Faults = std::vector<std::string>;

class Fleet {
 public:
  explicit Fleet(FleetOptions options);

  // Members have an index; the index of a former member is never reused.
  std::size_t Add(std::size_t domain);
  void Kill(std::size_t index);
  void Leave(std::size_t index);
  /**
   * Starts a new process with the same id and address. If its clock went back,
   * its incarnation is lower than that of the former process.
   */
  void Restart(std::size_t index, bool clock_went_back = false);
  /** Gives every member the addresses of all others, as a registry does. */
  void HintAll();
  /** Delays the member's ticks and messages, as SIGSTOP does. */
  void Pause(std::size_t index, Duration duration);

  // The network and the store.
  /**
   * Partitions the network: members on different sides cannot reach each
   * other, and only side 0 reaches the store.
   */
  void SetPartition(std::size_t index, int side) { nodes_[index].side = side; }
  void SetStoreUnreachable(std::size_t index, bool unreachable) {
    nodes_[index].store_unreachable = unreachable;
  }
  void SetStoreDown(bool down) { store_down_ = down; }
  /** Accepts the operators' next patch and returns its number. */
  config::VersionNumber Patch();
  void Issue(const Digest& key) { keys_[key] = {head_ + 1, 0}; }
  void Withdraw(const Digest& key) { keys_[key].withdrawn = head_ + 1; }
  bool Deny(std::size_t index, const Digest& key);
  void Refresh(std::size_t index);
  Result<void> Send(std::size_t from, std::size_t to, std::string_view bytes);
  /** Delivers a datagram from an address that belongs to no member. */
  void Inject(std::size_t index, std::string bytes);
  /** Called once for every datagram that is not lost, before its delivery. */
  std::function<void(std::size_t to, const std::string&)> tap;

  void RunFor(Duration duration);
  TimePoint now() const { return now_; }

  std::size_t size() const { return nodes_.size(); }
  bool running(std::size_t index) const { return nodes_[index].running; }
  const PeerAgent& agent(std::size_t index) const {
    return *nodes_[index].agent;
  }
  std::size_t domain(std::size_t index) const { return nodes_[index].domain; }
  InstanceId id(std::size_t index) const { return nodes_[index].id; }
  config::VersionNumber head() const { return head_; }
  std::size_t watchers() const;
  std::size_t received(std::size_t index) const {
    return nodes_[index].received;
  }

  /**
   * Returns the times, sorted, from the acceptance of version `number` until
   * each running member had it in force. Members that started after the
   * acceptance are left out.
   */
  std::vector<Duration> TimesToForce(config::VersionNumber number) const;
  bool AllInForce(config::VersionNumber number) const;
  /** Whether every running member lists exactly the running ones as live. */
  bool AllAgree() const;
  const Faults& faults() const { return faults_; }

  const Traffic& traffic() const { return traffic_; }
  void ResetTraffic() { traffic_ = {}; }

 private:
  enum class EventKind {
    kTick,
    kDatagram,
    kFrame,
    kAnswer,
    kStoreRead,
    kWatch
  };
  struct Event {
    TimePoint at{};
    std::uint64_t sequence = 0;
    EventKind kind = EventKind::kTick;
    std::size_t node = 0;
    /** Process start that the event belongs to: of the node or, for a frame,
     * of its sender. Drops timers and answers of a former process. */
    std::uint64_t process_number = 0;
    std::size_t from = 0;
    std::uint64_t id = 0;
    std::string bytes{};
    bool operator<(const Event& other) const {
      return std::pair(at, sequence) > std::pair(other.at, other.sequence);
    }
  };
  struct Node {
    InstanceId id;
    std::string address;
    std::size_t domain = 0;
    std::unique_ptr<PeerAgent> agent;
    bool running = false;
    bool watching = false;
    bool store_unreachable = false;
    int side = 0;
    std::uint64_t process_number = 0;
    std::uint64_t incarnation = 0;
    TimePoint started{};
    TimePoint paused_until{};
    config::VersionNumber in_force = 0;
    std::map<config::VersionNumber, TimePoint> in_force_at;
    std::size_t received = 0;
  };
  struct KeyVersions {
    config::VersionNumber issued = 0;
    config::VersionNumber withdrawn = 0;
  };

  void Start(std::size_t index, bool clock_went_back);
  void Push(Event event);
  void Handle(Event& event);
  template <typename Call>
  void Run(std::size_t index, Call&& call);
  void ExecuteActions(std::size_t index, AgentActions& actions);
  void SendDatagram(std::size_t index, Datagram& datagram);
  void SendFrame(std::size_t index, Fetch& fetch);
  void AnswerFrame(Event& event);
  void ReadStore(std::size_t index);
  void FinishStoreRead(const Event& event);
  void Apply(std::size_t index, const ConfigurationUpdate& update);
  void SetInForce(std::size_t index, config::VersionNumber number);
  bool Connected(std::size_t a, std::size_t b) const;
  bool StoreReachable(const Node& node) const;
  ConfigurationUpdate UpdateAfter(config::VersionNumber number) const;
  std::string PatchBytes(config::VersionNumber number) const;
  Duration RandomLatency();

  FleetOptions options_;
  Random random_;
  TimePoint now_{};
  std::uint64_t last_sequence_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, std::size_t> by_address_;
  config::VersionNumber head_ = 0;
  std::map<config::VersionNumber, TimePoint> accepted_at_;
  bool store_down_ = false;
  std::map<Digest, KeyVersions> keys_;
  Traffic traffic_;
  Faults faults_;
};

}  // namespace figwell::peers

#endif  // FIGWELL_BENCHMARK_CONTROL_PLANE_FLEET_H_
