#include "placement_driver.h"

#include <fmt/format.h>

#include <algorithm>

#include "server_state.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

constexpr milliseconds kTick{40};
// The pause after a tick is at least this many times as long as the tick took,
// so that planning for a large fleet leaves most of the thread to requests.
constexpr int kRestAfterPlan = 5;
// Reports that are read at the same time; each takes a connection.
constexpr std::size_t kMostReportsAtOnce = 64;
// Instances try to take a free leader key after a random delay, so that most of
// them see in time that another has it. Instances that do not follow the store
// learn of changes late; they wait longer and let the followers try first.
constexpr Duration kTakeoverDelayPerInstance = milliseconds(10);
constexpr Duration kSecondChoiceDelay = milliseconds(1'000);
constexpr Duration kLongestTakeoverDelay = milliseconds(500);
constexpr milliseconds kReportTimeout{600};
// Replicas are added or removed for demand at most this often.
constexpr Duration kRebalanceEvery = milliseconds(400);
// A peer's demand is counted for this long after its last report.
constexpr Duration kDemandLifetime = std::chrono::seconds(3);
// A request for an adapter counts as demand for kWishLifetime after it was last
// received. The sender repeats it at most once per kWishInterval.
constexpr Duration kWishLifetime = milliseconds(600);
constexpr Duration kWishInterval = milliseconds(100);
// How often the leader's view is logged, and with how many models.
constexpr Duration kStateLogInterval = std::chrono::seconds(2);
constexpr std::size_t kLoggedModels = 6;
// A trend in demand is not extrapolated further than this.
constexpr Duration kLongestForecast = std::chrono::seconds(4);
// Demand that a request for an adapter counts as, in requests per second.
constexpr double kWishWeight = 1.0;

}  // namespace

PlacementDriver::PlacementDriver(State& state, adapter::StoreClient& store,
                                 http::Client& client, PeerGroup& peers,
                                 Registrar& registrar,
                                 std::uint64_t incarnation)
    : state_(state),
      store_(store),
      client_(client),
      peers_(peers),
      registrar_(registrar),
      timer_(state.context),
      announce_timer_(state.context),
      lease_(
          HolderKey(),
          {state.settings.instance, state.settings.listen_peers, incarnation},
          {state.settings.bounds.order_separation,
           state.settings.bounds.order_thaw,
           state.settings.bounds.shortest_lease}) {}

std::string PlacementDriver::HolderKey() const {
  return state_.settings.store_prefix + "placement/holder";
}

void PlacementDriver::Start() { Tick(); }

void PlacementDriver::Tick() {
  const TimePoint now = MonotonicNow();
  TickLease(now);
  NoteLeading(now);
  if (lease_.Leads(now) && state_.catalog) {
    SendDueUnloads(now);
    for (const auto& [id, service] : state_.catalog->services()) {
      if (service.engine) {
        ReadReports(now, id);
        Plan(now, service);
      }
    }
  }
  const Duration took = MonotonicNow() - now;
  timer_.expires_after(std::max<Duration>(kTick, took * kRestAfterPlan));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      Tick();
    }
  });
}

// -------------------------------------------------------------------- lease

void PlacementDriver::TickLease(TimePoint now) {
  if (const auto action = lease_.Tick(now)) {
    std::visit([this](const auto& call) { Carry(call); }, *action);
  }
  registrar_.Tick(now);
}

void PlacementDriver::Carry(const serving::GrantLease& action) {
  store_.GrantLease(std::chrono::duration_cast<milliseconds>(action.ttl),
                    [this](const Result<store::LeaseId>& lease) {
                      lease_.OnGranted(MonotonicNow(), lease);
                    });
}

void PlacementDriver::Carry(const serving::RenewLease& action) {
  store_.RenewLease(action.lease, [this](const Result<void>& kept) {
    lease_.OnRenewed(MonotonicNow(), kept);
  });
}

void PlacementDriver::Carry(const serving::AcquireKey& action) {
  adapter::Change change;
  change.conditions.push_back({action.key, action.expected});
  change.writes.push_back({action.key, action.value, action.lease});
  store_.Commit(change, [this](const Result<adapter::ChangeResult>& result) {
    lease_.OnAcquired(
        MonotonicNow(),
        result.map([](const adapter::ChangeResult& change_result) {
          return change_result.committed ? std::optional(change_result.revision)
                                         : std::nullopt;
        }));
  });
}

void PlacementDriver::Carry(const serving::ReadKey& action) {
  store_.Read(action.key,
              [this](const Result<std::optional<store::KeyValue>>& value) {
                lease_.OnRead(MonotonicNow(), value);
              });
}

void PlacementDriver::SetCandidates(std::size_t instances, bool first_choice) {
  const auto longest = std::min<std::int64_t>(
      kLongestTakeoverDelay.count(),
      kTakeoverDelayPerInstance.count() * static_cast<std::int64_t>(instances));
  const Duration jitter(static_cast<std::int64_t>(
      state_.random.Below(static_cast<std::uint64_t>(longest))));
  lease_.SetTakeoverDelay(jitter +
                          (first_choice ? Duration{0} : kSecondChoiceDelay));
}

void PlacementDriver::OnLeaderRecord(
    const std::optional<store::KeyValue>& holder) {
  lease_.OnLeaderRecord(MonotonicNow(), holder);
  leader_.reset();
  if (holder) {
    leader_ = serving::LeaderRecord::FromText(holder->value).instance;
  }
}

void PlacementDriver::NoteLeading(TimePoint now) {
  const bool leads = lease_.Leads(now);
  if (leads == led_) {
    return;
  }
  led_ = leads;
  state_.metrics.GetGauge("figwell_leads").Set(leads ? 1 : 0);
  if (!leads) {
    telemetry::Log(Event::kLeaseLost,
                   "no longer the placement leader; sends no orders");
    return;
  }
  telemetry::Log(Event::kLeaseAcquired,
                 "now the placement leader; sends orders to servers",
                 {{"fence", std::to_string(lease_.fence())},
                  {"succeeds", lease_.TookOver() ? "own_machine" : ""}});
  book_.Clear();
  unloads_.clear();
  histories_.clear();
  pacer_.Reset(now);
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
  AddItems(message, demand_of_peers_[from]);
  demand_heard_[from] = MonotonicNow();
}

void PlacementDriver::OnAdapterWanted(const AdapterWantedMessage& message) {
  wanted_[{ModelId(message.model), message.adapter}] = MonotonicNow();
}

void PlacementDriver::RequestAdapter(const serving::ModelTarget& target) {
  const TimePoint now = MonotonicNow();
  const auto [asked, first] = asked_.try_emplace(target, now);
  if (!first && now - asked->second < kWishInterval) {
    return;
  }
  asked->second = now;
  const AdapterWantedMessage message{target.model.value(), target.adapter};
  if (lease_.HoldsKey()) {
    OnAdapterWanted(message);
  } else if (leader_) {
    peers_.Send(*leader_, MessageKind::kAdapterWanted, message);
  }
  std::erase_if(asked_, [&](const auto& item) {
    return now - item.second > kWishLifetime;
  });
}

serving::Demand PlacementDriver::TotalDemand(TimePoint now) {
  serving::Demand total = state_.demand.Rates(now);
  for (const auto& [peer, demand] : demand_of_peers_) {
    if (now - demand_heard_[peer] > kDemandLifetime) {
      continue;
    }
    for (const auto& [model, work] : demand.work) {
      total.work[model] += work;
    }
    for (const auto& [target, requests] : demand.requests) {
      total.requests[target] += requests;
    }
  }
  std::erase_if(wanted_, [&](const auto& item) {
    return now - item.second > kWishLifetime;
  });
  for (const auto& [target, at] : wanted_) {
    total.requests[target] += kWishWeight;
  }
  return total;
}

// ------------------------------------------------------------------ reports

void PlacementDriver::OnServerChange(const ServerId& server,
                                     serving::ServerChange change) {
  if (change == serving::ServerChange::kRestarted ||
      change == serving::ServerChange::kGone) {
    book_.Forget(server);
    unloads_.erase(server);
  }
}

void PlacementDriver::ReadReports(TimePoint now, const ServiceId& service) {
  for (const auto& [id, entry] : state_.directory.entries()) {
    const serving::BackendServer& server = entry.server;
    if (reports_under_way_ >= kMostReportsAtOnce) {
      return;
    }
    if (server.service == service && !server.draining &&
        !state_.balancer.IsPaused(now, id) && book_.NeedsReport(now, id)) {
      book_.OnReportRequested(now, id);
      ReadReport(server);
    }
  }
}

void PlacementDriver::ReadReport(const serving::BackendServer& server) {
  http::CallLimits limits;
  limits.head_timeout = kReportTimeout;
  limits.piece_timeout = kReportTimeout;
  ++reports_under_way_;
  client_.Fetch(
      server.address, adapter::MakeReportRequest(server.id), limits,
      [this, id = server.id, started_ms = server.started_ms](
          const tl::expected<http::Response, http::ClientError>& response) {
        const TimePoint now = MonotonicNow();
        --reports_under_way_;
        if (response) {
          ApplyServerState(state_, id, started_ms, *response);
        }
        const auto report =
            response ? adapter::DecodeReport(*response)
                     : Result<serving::EngineReport>(Fail(
                           ErrorCode::kUnavailable, response.error().message));
        if (!report) {
          book_.OnReportFailed(now, id);
          telemetry::Log(Event::kServerUnreachable, report.error().message,
                         {{"server", id.value()}});
          return;
        }
        if (const auto held = book_.OnReport(now, id, *report)) {
          Announce(id, *held, true);
        }
      },
      adapter::MayAnswerInternalCall);
}

// ----------------------------------------------------------------- planning

void PlacementDriver::Plan(TimePoint now, const serving::ServiceSpec& service) {
  std::map<ServerId, serving::EngineState> servers;
  for (const auto& [id, entry] : state_.directory.entries()) {
    if (entry.server.service != service.id || entry.server.draining) {
      continue;
    }
    book_.Reconcile(now, id, entry.server.models,
                    state_.settings.bounds.registry_lag);
    serving::EngineState engine = book_.StateOf(now, id, entry.server.models);
    engine.orderable = engine.orderable && !unloads_.contains(id) &&
                       !state_.balancer.IsPaused(now, id);
    if (const auto unload = unloads_.find(id); unload != unloads_.end()) {
      const serving::ModelTarget& target = unload->second.move.target;
      if (target.adapter.empty()) {
        engine.models.erase(target.model);
      } else {
        engine.models[target.model].erase(target.adapter);
      }
    }
    servers.emplace(id, std::move(engine));
  }
  pacer_.Configure(service.engine->loads_per_second);
  const bool rebalance = now - last_rebalance_ >= kRebalanceEvery;
  forecast_.Update(now, TotalDemand(now));
  const serving::Demand demand = forecast_.Predict(ForecastTime(service));
  LogState(now, servers, demand);
  serving::ReplicaHistory& history = histories_[service.id];
  history.Update(now, servers, demand);
  const auto moves =
      serving::PlanReplicas({*service.engine, servers, demand,
                             pacer_.Allowed(now), rebalance, &history, now});
  if (rebalance) {
    last_rebalance_ = now;
  }
  for (const serving::ReplicaMove& move : moves) {
    Carry(now, move);
  }
}

Duration PlacementDriver::ForecastTime(
    const serving::ServiceSpec& service) const {
  Duration longest{0};
  for (const auto& [id, model] : service.engine->models) {
    longest = std::max(longest, model.load_time);
  }
  return std::min(longest, kLongestForecast);
}

void PlacementDriver::LogState(
    TimePoint now, const std::map<ServerId, serving::EngineState>& servers,
    const serving::Demand& demand) {
  if (now - state_logged_ < kStateLogInterval) {
    return;
  }
  state_logged_ = now;
  std::vector<std::pair<double, ModelId>> models;
  for (const auto& [model, work] : demand.work) {
    models.emplace_back(work, model);
  }
  std::sort(models.rbegin(), models.rend());
  if (models.size() > kLoggedModels) {
    models.resize(kLoggedModels);
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
  telemetry::Log(Event::kPlacementState, {},
                 {{"models", text},
                  {"servers", std::to_string(servers.size())},
                  {"orders_under_way", std::to_string(book_.LoadsUnderWay())}});
}

}  // namespace figwell::edge
