#include "fleet.h"

#include <fmt/format.h>
#include <time.h>

#include <algorithm>

namespace figwell::peers {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr std::size_t kDatagramHeaderBytes = 28;  // IPv4 and UDP
/** Headers of the ten segments of a short TCP exchange, both directions. */
constexpr std::size_t kTcpExchangeHeaderBytes = 400;
constexpr Duration kRetransmissionDelay = std::chrono::milliseconds(200);
constexpr Duration kStoreTimeout = std::chrono::seconds(2);
constexpr std::size_t kSeedCount = 3;
constexpr config::VersionNumber kMaxStoredPatches = 64;

/** Processor time of this thread; other load on the machine is excluded. */
std::chrono::nanoseconds ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

const std::string kSecret = "the fleet's secret";

}  // namespace

Fleet::Fleet(FleetOptions options) : options_(options), random_(options.seed) {
  now_ += std::chrono::hours(1);
  nodes_.reserve(2 * options.domains * options.members_per_domain + 64);
  for (std::size_t i = 0; i < options.members_per_domain; ++i) {
    for (std::size_t domain = 0; domain < options.domains; ++domain) {
      Add(domain);
    }
  }
}

std::size_t Fleet::Add(std::size_t domain) {
  const std::size_t index = nodes_.size();
  Node node;
  node.id = InstanceId(fmt::format("d{}-{}", domain, index));
  node.address =
      fmt::format("10.{}.{}.{}:7070", domain, index / 250, index % 250);
  node.domain = domain;
  by_address_[node.address] = index;
  nodes_.push_back(std::move(node));
  Start(index, /*clock_went_back=*/false);
  return index;
}

void Fleet::Start(std::size_t index, bool clock_went_back) {
  Node& node = nodes_[index];
  ++node.process_number;
  node.running = true;
  node.started = now_;
  node.watching = false;
  node.in_force = 0;
  node.incarnation =
      clock_went_back
          ? 1
          : static_cast<std::uint64_t>(now_.time_since_epoch().count());
  AgentSettings settings;
  settings.self = {.instance = node.id,
                   .domain = DomainId(fmt::format("domain-{}", node.domain)),
                   .peers_address = node.address,
                   .admin_address = node.address,
                   .incarnation = node.incarnation};
  for (std::size_t seed = 0; seed < std::min(kSeedCount, nodes_.size());
       ++seed) {
    settings.seeds.push_back(nodes_[seed].address);
  }
  settings.secrets = {kSecret};
  settings.random_seed = random_();
  settings.snapshot = [this, index] {
    const auto number = nodes_[index].in_force;
    return peers::Patch{number, PatchBytes(number)};
  };
  node.agent = std::make_unique<PeerAgent>(now_, std::move(settings));
  const std::string payload(options_.payload_bytes, 'p');
  static_cast<void>(node.agent->SetPayload(payload));
  Push({.at = now_ + Duration(static_cast<Duration::rep>(
                         random_.Below(Duration(kTickInterval).count()))),
        .kind = EventKind::kTick,
        .node = index,
        .process_number = node.process_number});
}

void Fleet::Kill(std::size_t index) {
  nodes_[index].running = false;
  nodes_[index].watching = false;
}

void Fleet::Leave(std::size_t index) {
  Run(index, [this](PeerAgent& agent, AgentActions& actions) {
    agent.Leave(now_, actions);
  });
  Kill(index);
}

void Fleet::Restart(std::size_t index, bool clock_went_back) {
  Kill(index);
  Start(index, clock_went_back);
}

void Fleet::HintAll() {
  for (const Node& to : nodes_) {
    std::vector<std::string> others;
    for (const Node& node : nodes_) {
      if (node.address != to.address) {
        others.push_back(node.address);
      }
    }
    to.agent->SetHints(std::move(others));
  }
}

void Fleet::Pause(std::size_t index, Duration duration) {
  nodes_[index].paused_until = now_ + duration;
}

void Fleet::Push(Event event) {
  event.sequence = ++last_sequence_;
  events_.push(std::move(event));
}

Duration Fleet::RandomLatency() {
  const auto spread = (options_.max_latency - options_.min_latency).count();
  return options_.min_latency +
         Duration(static_cast<Duration::rep>(
             random_.Below(static_cast<std::uint64_t>(spread) + 1)));
}

void Fleet::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  now_ = end;
}

void Fleet::Handle(Event& event) {
  Node& node = nodes_[event.node];
  const bool belongs_to_process =
      event.kind != EventKind::kDatagram && event.kind != EventKind::kFrame;
  if (!node.running ||
      (belongs_to_process && event.process_number != node.process_number)) {
    if (event.kind == EventKind::kFrame) {
      AnswerFrame(event);
    }
    return;
  }
  if (now_ < node.paused_until) {
    event.at = node.paused_until;
    Push(std::move(event));
    return;
  }
  switch (event.kind) {
    case EventKind::kTick:
      Run(event.node, [this](PeerAgent& agent, AgentActions& actions) {
        agent.Tick(now_, actions);
      });
      event.at = now_ + kTickInterval;
      Push(std::move(event));
      break;
    case EventKind::kDatagram:
      Run(event.node, [&](PeerAgent& agent, AgentActions& actions) {
        agent.OnDatagram(now_, nodes_[event.from].address, event.bytes,
                         actions);
      });
      break;
    case EventKind::kFrame:
      AnswerFrame(event);
      break;
    case EventKind::kAnswer:
      Run(event.node, [&](PeerAgent& agent, AgentActions& actions) {
        agent.OnFrameAnswer(now_, event.id, event.bytes, actions);
      });
      break;
    case EventKind::kStoreRead:
    case EventKind::kWatch:
      FinishStoreRead(event);
      break;
  }
}

template <typename Call>
void Fleet::Run(std::size_t index, Call&& call) {
  AgentActions actions;
  const auto begin = ThreadCpuTime();
  call(*nodes_[index].agent, actions);
  traffic_.agent_time += ThreadCpuTime() - begin;
  ExecuteActions(index, actions);
}

void Fleet::ExecuteActions(std::size_t index, AgentActions& actions) {
  Node& node = nodes_[index];
  for (Datagram& datagram : actions.datagrams) {
    SendDatagram(index, datagram);
  }
  for (Fetch& fetch : actions.fetches) {
    SendFrame(index, fetch);
  }
  node.received += actions.messages.size();
  if (actions.watch) {
    node.watching = *actions.watch;
  }
  if (actions.read_store) {
    ReadStore(index);
  }
  if (actions.apply) {
    Apply(index, *actions.apply);
  }
}

bool Fleet::Connected(std::size_t a, std::size_t b) const {
  return nodes_[a].side == nodes_[b].side;
}

void Fleet::SendDatagram(std::size_t index, Datagram& datagram) {
  const std::size_t bytes = datagram.bytes.size() + kDatagramHeaderBytes;
  ++traffic_.messages;
  traffic_.bytes += bytes;
  if (datagram.bytes.size() > kMaxDatagramBytes) {
    faults_.push_back(
        fmt::format("a datagram of {} bytes exceeds the limit", bytes));
  }
  const auto target = by_address_.find(datagram.address);
  if (target == by_address_.end() || !Connected(index, target->second) ||
      random_.Unit() < options_.loss) {
    return;
  }
  if (tap) {
    tap(target->second, datagram.bytes);
  }
  const int deliveries = random_.Unit() < options_.repeat ? 2 : 1;
  for (int i = 0; i < deliveries; ++i) {
    traffic_.bytes += bytes;
    Push({.at = now_ + RandomLatency(),
          .kind = EventKind::kDatagram,
          .node = target->second,
          .from = index,
          .bytes = datagram.bytes});
  }
}

void Fleet::SendFrame(std::size_t index, Fetch& fetch) {
  ++traffic_.fetches;
  traffic_.bytes += 2 * (fetch.frame.size() + kTcpExchangeHeaderBytes);
  const auto target = by_address_.find(fetch.address);
  if (target == by_address_.end() || !Connected(index, target->second)) {
    return;  // the agent's timeout ends the fetch
  }
  Duration latency = 3 * RandomLatency();
  if (random_.Unit() < options_.loss) {
    latency += kRetransmissionDelay;
  }
  Push({.at = now_ + latency,
        .kind = EventKind::kFrame,
        .node = target->second,
        .process_number = nodes_[index].process_number,
        .from = index,
        .id = fetch.id,
        .bytes = std::move(fetch.frame)});
}

void Fleet::AnswerFrame(Event& event) {
  Event answer{.at = now_ + RandomLatency(),
               .kind = EventKind::kAnswer,
               .node = event.from,
               .process_number = event.process_number,
               .id = event.id};
  if (nodes_[event.node].running && Connected(event.node, event.from)) {
    const auto begin = ThreadCpuTime();
    answer.bytes = nodes_[event.node].agent->OnFrame(event.bytes);
    traffic_.agent_time += ThreadCpuTime() - begin;
    traffic_.bytes += 2 * answer.bytes.size();
  }
  Push(std::move(answer));
}

bool Fleet::StoreReachable(const Node& node) const {
  return !store_down_ && !node.store_unreachable && node.side == 0;
}

void Fleet::ReadStore(std::size_t index) {
  ++traffic_.store_reads;
  const bool reachable = StoreReachable(nodes_[index]);
  Push({.at = now_ + (reachable ? RandomLatency() : kStoreTimeout),
        .kind = EventKind::kStoreRead,
        .node = index,
        .process_number = nodes_[index].process_number,
        .id = reachable ? 1U : 0U});
}

void Fleet::FinishStoreRead(const Event& event) {
  const bool reached = event.id != 0;
  Run(event.node, [&](PeerAgent& agent, AgentActions& actions) {
    agent.OnStoreAnswered(now_, reached,
                          reached ? std::optional(head_) : std::nullopt);
    if (reached) {
      agent.OnOffer(UpdateAfter(nodes_[event.node].in_force), actions);
    }
  });
}

std::string Fleet::PatchBytes(config::VersionNumber number) const {
  std::string bytes = fmt::format("{}:", number);
  bytes.resize(options_.patch_bytes, '.');
  return bytes;
}

ConfigurationUpdate Fleet::UpdateAfter(config::VersionNumber number) const {
  ConfigurationUpdate update;
  if (head_ > number + kMaxStoredPatches) {
    update.snapshot = {head_, PatchBytes(head_)};
    return update;
  }
  for (auto next = number + 1; next <= head_; ++next) {
    update.patches.push_back({next, PatchBytes(next)});
  }
  return update;
}

config::VersionNumber Fleet::Patch() {
  ++head_;
  accepted_at_[head_] = now_;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].running && nodes_[i].watching && StoreReachable(nodes_[i])) {
      ++traffic_.store_events;
      Push({.at = now_ + RandomLatency(),
            .kind = EventKind::kWatch,
            .node = i,
            .process_number = nodes_[i].process_number,
            .id = 1});
    }
  }
  return head_;
}

void Fleet::Apply(std::size_t index, const ConfigurationUpdate& update) {
  auto number = nodes_[index].in_force;
  if (update.snapshot.number > 0) {
    number = update.snapshot.number;
  }
  for (const peers::Patch& patch : update.patches) {
    if (patch.number != number + 1 || patch.bytes != PatchBytes(patch.number)) {
      faults_.push_back(fmt::format(
          "{} received patch {}, wrong or out of order, at version {}",
          nodes_[index].id.value(), patch.number, number));
    }
    number = patch.number;
  }
  SetInForce(index, number);
}

void Fleet::SetInForce(std::size_t index, config::VersionNumber number) {
  Node& node = nodes_[index];
  if (number < node.in_force || number > head_) {
    faults_.push_back(fmt::format(
        "{} changed its version in force from {} to {}; the head is {}",
        node.id.value(), node.in_force, number, head_));
  }
  for (auto reached = node.in_force + 1; reached <= number; ++reached) {
    node.in_force_at.try_emplace(reached, now_);
  }
  node.in_force = number;
  Run(index, [&](PeerAgent& agent, AgentActions& actions) {
    agent.OnInForce(
        now_, number,
        [this, number](const Digest& digest) {
          const auto key = keys_.find(digest);
          return key != keys_.end() && key->second.issued <= number &&
                 (key->second.withdrawn == 0 || number < key->second.withdrawn);
        },
        actions);
  });
}

bool Fleet::Deny(std::size_t index, const Digest& key) {
  bool accepted = false;
  Run(index, [&](PeerAgent& agent, AgentActions& actions) {
    accepted = agent.Deny(now_, key, actions).has_value();
  });
  return accepted;
}

void Fleet::Refresh(std::size_t index) {
  Run(index, [this](PeerAgent& agent, AgentActions& actions) {
    agent.RefreshMembers(now_, actions);
  });
}

Result<void> Fleet::Send(std::size_t from, std::size_t to,
                         std::string_view bytes) {
  Result<void> sent;
  Run(from, [&](PeerAgent& agent, AgentActions& actions) {
    sent = agent.Send(now_, nodes_[to].id, 1, bytes, actions);
  });
  return sent;
}

void Fleet::Inject(std::size_t index, std::string bytes) {
  Run(index, [&](PeerAgent& agent, AgentActions& actions) {
    agent.OnDatagram(now_, "10.255.255.255:1", bytes, actions);
  });
}

}  // namespace figwell::peers
