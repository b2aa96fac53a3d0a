#include "placement_driver.h"

#include <fmt/format.h>

#include <algorithm>

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

constexpr milliseconds kTickInterval{40};
// The pause after a tick is at least this many times as long as the tick took,
// so that planning for a large fleet leaves most of the thread to requests.
constexpr int kMinPauseToTickRatio = 5;
// Instances try to take a free leader key after a random delay, so that most of
// them see in time that another has it. Instances that do not follow the store
// learn of changes late; they wait longer and let the followers try first.
constexpr Duration kTakeoverJitterPerInstance = milliseconds(10);
constexpr Duration kNonFollowerTakeoverDelay = milliseconds(1'000);
constexpr Duration kMaxTakeoverJitter = milliseconds(500);
// Replicas are added or removed for demand at most this often.
constexpr Duration kRebalanceInterval = milliseconds(400);
// A peer's demand is counted for this long after its last report.
constexpr Duration kDemandLifetime = std::chrono::seconds(3);
// A request for an adapter counts as demand for kAdapterRequestLifetime after
// it was last received. The sender repeats it at most once per
// kAdapterRequestInterval.
constexpr Duration kAdapterRequestLifetime = milliseconds(600);
constexpr Duration kAdapterRequestInterval = milliseconds(100);
// How often the leader's view is logged, and with how many models.
constexpr Duration kStateLogInterval = std::chrono::seconds(2);
constexpr std::size_t kMaxLoggedModels = 6;
// A trend in demand is not extrapolated further than this.
constexpr Duration kMaxForecastHorizon = std::chrono::seconds(4);
// Demand that a request for an adapter counts as, in requests per second.
constexpr double kAdapterRequestDemandPerSecond = 1.0;

// How long ago the server started, by the time of day; nullopt if it states no
// time in the past.
std::optional<Duration> AgeOf(const serving::BackendServer& server) {
  const std::int64_t now_ms =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  if (server.started_ms <= 0 || server.started_ms > now_ms) {
    return std::nullopt;
  }
  return milliseconds(now_ms - server.started_ms);
}

}  // namespace

PlacementDriver::PlacementDriver(State& state, adapter::StoreClient& store,
                                 http::Client& client, PeerGroup& peers,
                                 PermitClient& permits, Registrar& registrar,
                                 std::uint64_t incarnation)
    : state_(state),
      store_(store),
      client_(client),
      peers_(peers),
      permits_(permits),
      registrar_(registrar),
      timer_(state.context),
      announce_timer_(state.context),
      lease_(
          LeaderKey(),
          {state.settings.instance, state.settings.listen_peers, incarnation},
          {state.settings.bounds.order_separation,
           state.settings.bounds.order_thaw,
           state.settings.bounds.shortest_lease}) {
  store_.OnNewEra([this](store::Era) { OnNewEra(); });
}

std::string PlacementDriver::LeaderKey() const {
  return state_.settings.store_prefix + "placement/holder";
}

std::string PlacementDriver::EraKey() const {
  return state_.settings.store_prefix + "placement/era";
}

void PlacementDriver::Start() { Tick(); }

void PlacementDriver::Tick() {
  const TimePoint now = MonotonicNow();
  TickLease(now);
  UpdateLeadership(now);
  if (lease_.Leads(now) && state_.catalog) {
    SendDueUnloads(now);
    for (const auto& [id, service] : state_.catalog->services()) {
      if (service.engine) {
        ReadReports(now, id);
        Plan(now, service);
      }
    }
  }
  const Duration elapsed = MonotonicNow() - now;
  timer_.expires_after(
      std::max<Duration>(kTickInterval, elapsed * kMinPauseToTickRatio));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

// -------------------------------------------------------------------- lease

void PlacementDriver::TickLease(TimePoint now) {
  if (const auto action = lease_.Tick(now)) {
    std::visit([this](const auto& call) { Execute(call); }, *action);
  }
  registrar_.Tick(now);
}

void PlacementDriver::Execute(const serving::GrantLease& action) {
  store_.GrantLease(std::chrono::duration_cast<milliseconds>(action.ttl),
                    [this](const Result<store::LeaseId>& lease) {
                      lease_.OnGranted(MonotonicNow(), lease);
                    });
}

void PlacementDriver::Execute(const serving::RenewLease& action) {
  store_.RenewLease(action.lease, [this](const Result<void>& renewed) {
    lease_.OnRenewed(MonotonicNow(), renewed);
  });
}

void PlacementDriver::Execute(const serving::AcquireKey& action) {
  adapter::Change change;
  change.conditions.push_back({action.key, action.expected});
  change.writes.push_back({action.key, action.value, action.lease});
  if (action.has_led && !IsEraRecorded()) {
    change.writes.push_back({EraKey(), std::to_string(store_.era()), 0});
  }
  store_.Commit(change, [this](const Result<adapter::ChangeResult>& result) {
    lease_.OnAcquired(
        MonotonicNow(),
        result.map([](const adapter::ChangeResult& change_result) {
          return change_result.committed ? std::optional(change_result.revision)
                                         : std::nullopt;
        }));
  });
}

void PlacementDriver::Execute(const serving::ReadKey& action) {
  store_.Read(action.key,
              [this](const Result<std::optional<store::KeyValue>>& value) {
                lease_.OnRead(MonotonicNow(), value);
              });
}

void PlacementDriver::UpdateTakeoverDelay(std::size_t instances,
                                          bool follows_store) {
  const auto max_jitter = std::min<std::int64_t>(
      kMaxTakeoverJitter.count(), kTakeoverJitterPerInstance.count() *
                                      static_cast<std::int64_t>(instances));
  const Duration jitter(static_cast<std::int64_t>(
      state_.random.Below(static_cast<std::uint64_t>(max_jitter))));
  lease_.SetTakeoverDelay(
      jitter + (follows_store ? Duration{0} : kNonFollowerTakeoverDelay));
}

void PlacementDriver::OnLeaderRecord(
    const std::optional<store::KeyValue>& record) {
  UpdateLedSinceRestore();
  lease_.OnLeaderRecord(MonotonicNow(), record);
  leader_.reset();
  if (record) {
    leader_ = serving::LeaderRecord::FromText(record->value).instance;
  }
}

bool PlacementDriver::IsEraRecorded() const {
  return led_in_era_ == store_.era();
}

void PlacementDriver::UpdateLedSinceRestore() {
  // A store that states no era is not restored.
  lease_.SetLedSinceRestore(store_.era() == 0 || IsEraRecorded());
}

void PlacementDriver::OnEraRecord(const std::string& record) {
  led_in_era_.reset();
  if (const auto era = ParseInteger(record)) {
    led_in_era_ = *era;
  }
  UpdateLedSinceRestore();
}

void PlacementDriver::OnRecordsListed() {
  if (!leader_ && !led_in_era_) {
    state_.past.OnNoOrdersBefore(MonotonicNow());
    order_tracker_.ForgetSuspectedLoads();
  }
}

void PlacementDriver::OnNewEra() {
  lease_.OnNewEra(MonotonicNow());
  UpdateLedSinceRestore();
}

void PlacementDriver::UpdateLeadership(TimePoint now) {
  const bool leads = lease_.Leads(now);
  if (leads == was_leading_) {
    return;
  }
  was_leading_ = leads;
  state_.metrics.GetGauge("figwell_leads").Set(leads ? 1 : 0);
  if (!leads) {
    telemetry::Log(Event::kLeaseLost,
                   "no longer the placement leader; sends no orders");
    return;
  }
  telemetry::Log(Event::kLeaseAcquired,
                 "now the placement leader; sends orders to servers",
                 {{"fence", std::to_string(lease_.fence())},
                  {"succeeds", lease_.TookOver() ? "own_machine" : ""},
                  {"late_loads_possible",
                   std::to_string(order_tracker_.ServersWithLateLoads(now))}});
  leads_since_ = now;
  order_tracker_.Clear();
  pending_unloads_.clear();
  histories_.clear();
  load_rate_limiter_.Reset(now);
  last_rebalance_ = now;
}

void PlacementDriver::Resign() {
  const store::LeaseId lease = lease_.lease();
  lease_.Resign();
  if (lease != 0) {
    // Until the lease has ended, no other instance can take the key.
    registrar_.RevokeLease(lease);
  }
}

// ------------------------------------------------------------------- demand

void PlacementDriver::OnDemand(const InstanceId& from,
                               const DemandMessage& message) {
  ApplyDemandMessage(message, peer_demand_[from]);
  peer_demand_received_[from] = MonotonicNow();
}

void PlacementDriver::OnAdapterRequest(const AdapterRequestMessage& message) {
  requested_adapters_[{ModelId(message.model), message.adapter}] =
      MonotonicNow();
}

void PlacementDriver::RequestAdapter(const serving::ModelTarget& target) {
  const TimePoint now = MonotonicNow();
  const auto [last_sent, inserted] =
      sent_adapter_requests_.try_emplace(target, now);
  if (!inserted && now - last_sent->second < kAdapterRequestInterval) {
    return;
  }
  last_sent->second = now;
  const AdapterRequestMessage message{target.model.value(), target.adapter};
  if (lease_.HoldsKey()) {
    OnAdapterRequest(message);
  } else if (leader_) {
    peers_.Send(*leader_, MessageKind::kAdapterRequest, message);
  }
  std::erase_if(sent_adapter_requests_, [&](const auto& item) {
    return now - item.second > kAdapterRequestLifetime;
  });
}

serving::Demand PlacementDriver::TotalDemand(TimePoint now) {
  serving::Demand total = state_.demand.Rates(now);
  for (const auto& [peer, demand] : peer_demand_) {
    if (now - peer_demand_received_[peer] > kDemandLifetime) {
      continue;
    }
    for (const auto& [model, work] : demand.work) {
      total.work[model] += work;
    }
    for (const auto& [target, requests] : demand.requests) {
      total.requests[target] += requests;
    }
  }
  std::erase_if(requested_adapters_, [&](const auto& item) {
    return now - item.second > kAdapterRequestLifetime;
  });
  for (const auto& [target, at] : requested_adapters_) {
    total.requests[target] += kAdapterRequestDemandPerSecond;
  }
  return total;
}

// ------------------------------------------------------------------ servers

void PlacementDriver::OnServerChange(const ServerId& server,
                                     serving::ServerChange change) {
  if (change == serving::ServerChange::kRestarted ||
      change == serving::ServerChange::kGone) {
    order_tracker_.RemoveServer(server);
    pending_unloads_.erase(server);
  }
  ExpectLateLoad(MonotonicNow(), server, change);
}

void PlacementDriver::ExpectLateLoad(TimePoint now, const ServerId& server,
                                     serving::ServerChange change) {
  const bool sent_all_orders =
      was_leading_ &&
      now - leads_since_ >= serving::OrderTracker::kMaxOrderDelay;
  const serving::BackendServer* entry = state_.directory.Find(server);
  if (sent_all_orders || entry == nullptr) {
    return;
  }
  if (change == serving::ServerChange::kRestarted) {
    order_tracker_.ExpectLateLoad(now, server);
  } else if (change == serving::ServerChange::kAppeared) {
    if (const auto sent_at =
            state_.past.LatestUnknownOrder(now, AgeOf(*entry))) {
      order_tracker_.SuspectLateLoad(now, server, *sent_at);
    }
  }
}

// ----------------------------------------------------------------- planning

void PlacementDriver::Plan(TimePoint now, const serving::ServiceSpec& service) {
  std::map<ServerId, serving::EngineState> servers;
  for (const serving::BackendServer* server : serving::PlacementServers(
           now, state_.directory, service.id, state_.balancer.limits())) {
    const ServerId& id = server->id;
    order_tracker_.Reconcile(now, id, server->models,
                             state_.settings.bounds.registry_lag);
    serving::EngineState engine =
        order_tracker_.StateOf(now, id, server->models);
    engine.orderable = engine.orderable && !pending_unloads_.contains(id) &&
                       permits_.MayCall(now, id);
    if (const auto unload = pending_unloads_.find(id);
        unload != pending_unloads_.end()) {
      const serving::ModelTarget& target = unload->second.move.target;
      if (target.adapter.empty()) {
        engine.models.erase(target.model);
      } else {
        engine.models[target.model].erase(target.adapter);
      }
    }
    servers.emplace(id, std::move(engine));
  }
  load_rate_limiter_.Configure(service.engine->loads_per_second);
  load_rate_limiter_.OnLoads(now, order_tracker_.TakeLateStoreLoads());
  const int allowed_loads = load_rate_limiter_.Allowed(
      now, order_tracker_.ServersWithLateStoreLoads(now));
  const bool rebalance = now - last_rebalance_ >= kRebalanceInterval;
  forecast_.Update(now, TotalDemand(now));
  const serving::Demand demand = forecast_.Predict(ForecastHorizon(service));
  LogState(now, servers, demand);
  serving::ReplicaHistory& history = histories_[service.id];
  history.Update(now, servers, demand);
  const auto moves =
      serving::PlanReplicas({*service.engine, servers, demand, allowed_loads,
                             rebalance, &history, now});
  if (rebalance) {
    last_rebalance_ = now;
  }
  for (const serving::ReplicaMove& move : moves) {
    Execute(now, move);
  }
}

Duration PlacementDriver::ForecastHorizon(
    const serving::ServiceSpec& service) const {
  Duration max_load_time{0};
  for (const auto& [id, model] : service.engine->models) {
    max_load_time = std::max(max_load_time, model.load_time);
  }
  return std::min(max_load_time, kMaxForecastHorizon);
}

void PlacementDriver::LogState(
    TimePoint now, const std::map<ServerId, serving::EngineState>& servers,
    const serving::Demand& demand) {
  if (now - last_state_log_ < kStateLogInterval) {
    return;
  }
  last_state_log_ = now;
  std::vector<std::pair<double, ModelId>> models;
  for (const auto& [model, work] : demand.work) {
    models.emplace_back(work, model);
  }
  std::sort(models.rbegin(), models.rend());
  if (models.size() > kMaxLoggedModels) {
    models.resize(kMaxLoggedModels);
  }
  std::string text;
  for (const auto& [work, model] : models) {
    int ready = 0;
    int loading = 0;
    for (const auto& [id, server] : servers) {
      ready += server.models.contains(model) ? 1 : 0;
      loading += server.loading == model ? 1 : 0;
    }
    text += fmt::format("{}{}:{}+{}:{:.0f}", text.empty() ? "" : " ",
                        model.value(), ready, loading, work);
  }
  telemetry::Log(
      Event::kPlacementState, {},
      {{"models", text},
       {"servers", std::to_string(servers.size())},
       {"orders_under_way", std::to_string(order_tracker_.OrdersInProgress())},
       {"late_store_loads",
        std::to_string(order_tracker_.ServersWithLateStoreLoads(now))}});
}

}  // namespace figwell::edge
