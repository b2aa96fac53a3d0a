#include "world.h"

#include <algorithm>
#include <utility>

namespace figwell::placement {
namespace {

constexpr Duration kNetworkDelay = std::chrono::milliseconds(100);

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

// Network

void World::Schedule(std::size_t index, TimePoint at,
                     std::function<Actions()> event) {
  events_.push_back({index, at, std::move(event)});
}

void World::RunDueEvents() {
  std::vector<Event> due;
  std::erase_if(events_, [&](const Event& event) {
    const bool is_due = event.at <= now_ && !IsPaused(event.controller);
    if (is_due) {
      due.push_back(event);
    }
    return is_due;
  });
  for (const Event& event : due) {
    Dispatch(event.controller, event.run());
  }
}

void World::Execute(std::size_t index, const ExecuteTransaction& action) {
  const bool writes_ledger = action.transaction.compares.size() > 1 &&
                             action.transaction.success.size() !=
                                 3;  // acquiring the lease: two puts and a read
  if (writes_ledger) {
    on_step(Step::kPlanned);
  }
  Result<store::TransactionResult> result =
      Fail(ErrorCode::kUnavailable, "down");
  if (now_ < store_requests_lost_until) {
    result = Fail(ErrorCode::kUnknownOutcome, "lost");
  } else if (now_ >= store_down_until) {
    result = store.Execute(now_, action.transaction);
    if (writes_ledger) {
      on_step(Step::kWritten);
    }
    if (now_ < store_answers_lost_until) {
      result = Fail(ErrorCode::kUnknownOutcome, "lost");
    }
  }
  Schedule(index, now_ + kNetworkDelay, [=, this, id = action.id] {
    return controllers_[index].OnTransaction(now_, id, result);
  });
}

void World::Fetch(std::size_t index, const ServerId& server) {
  SimulatedEngine& engine = engines_.at(server);
  if (now_ < engine.no_reports_until || engine.reports.empty()) {
    return;
  }
  const auto& [at, report] = now_ < engine.stale_until ? engine.reports.front()
                                                       : engine.reports.back();
  ServerReport copy = report;
  copy.age = now_ - at;
  Schedule(index, now_ + kNetworkDelay, [=, this, requested_at = now_] {
    controllers_[index].OnReport(now_, server, requested_at, copy);
    on_step(Step::kReported);
    return Actions{};
  });
}

void World::Send(std::size_t index, const SendOrder& action) {
  sent.push_back(action.order);
  loads_sent += action.order.action == Action::kLoad ? 1 : 0;
  on_step(Step::kSent);
  const Duration extra = now_ < delay_orders_until ? delay : Duration(0);
  // A paused process delays the bytes; they are not checked again.
  const TimePoint at =
      std::max(now_, paused_until[index]) + kNetworkDelay + extra;
  Message message{
      at,    action.server, std::stoi(action.incarnation), action.order,
      index, now_,          now_ < lose_orders_until};
  if (!message.lost) {
    messages_.push_back(message);
  }
  if (now_ < repeat_orders_until &&
      engines_.at(action.server).check == Check::kEachOrder) {
    message.at += seconds(7);
    messages_.push_back(message);
  }
}

void World::Dispatch(std::size_t index, const ControllerAction& action) {
  std::visit(
      Overloaded{
          [&](const GrantLease& grant) {
            Result<store::LeaseId> lease =
                Fail(ErrorCode::kUnavailable, "down");
            if (now_ >= store_down_until) {
              lease = store.Grant(now_, grant.ttl);
            }
            Schedule(index, now_ + kNetworkDelay, [=, this] {
              controllers_[index].OnLeaseGranted(now_, lease);
              return Actions{};
            });
          },
          [&](const RenewLease& renew) {
            Result<seconds> remaining = Fail(ErrorCode::kUnavailable, "down");
            if (now_ >= store_down_until) {
              remaining = store.Renew(now_, renew.lease);
            }
            Schedule(index, now_ + kNetworkDelay, [=, this] {
              controllers_[index].OnLeaseRenewed(now_, renew.lease, remaining);
              return Actions{};
            });
          },
          [&](const ExecuteTransaction& execute) { Execute(index, execute); },
          [&](const FetchReport& fetch) { Fetch(index, fetch.server); },
          [&](const SendOrder& send) { Send(index, send); }},
      action);
}

void World::Dispatch(std::size_t index, const Actions& actions) {
  for (const ControllerAction& action : actions) {
    Dispatch(index, action);
  }
}

// Time

World::World(config::Configuration configuration, Check check, int controllers)
    : paused_until(static_cast<std::size_t>(controllers)), now_(seconds(1000)) {
  for (const auto& [id, server] : configuration.servers) {
    SimulatedEngine& engine = engines_[id];
    engine.memory_bytes = server.memory_bytes;
    engine.check = check;
  }
  const DomainId domain = configuration.domains.begin()->first;
  for (std::size_t i = 0; i < paused_until.size(); ++i) {
    controllers_.emplace_back(
        InstanceId(Numbered("c", static_cast<std::size_t>(i))), domain, "/f/");
  }
  Configure(std::move(configuration));
}

void World::Configure(config::Configuration configuration) {
  configuration_ =
      std::make_shared<config::Configuration>(std::move(configuration));
  for (Controller& controller : controllers_) {
    controller.OnConfiguration(configuration_);
  }
}

void World::Run(Duration duration) {
  for (const TimePoint end = now_ + duration; now_ < end;) {
    Tick();
  }
}

void World::Tick() {
  now_ += kTick;
  SendDemand();
  std::vector<Message> due;
  std::erase_if(messages_, [&](const Message& message) {
    const bool is_due = message.at <= now_;
    if (is_due) {
      due.push_back(message);
    }
    return is_due;
  });
  for (const Message& message : due) {
    Deliver(message);
  }
  FinishLoads();
  RecordReports();
  RunDueEvents();
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    TickController(i);
  }
  CheckMemory();
}

void World::TickController(std::size_t index) {
  if (!IsPaused(index)) {
    Dispatch(index, controllers_[index].OnTick(now_));
  }
}

void World::SendDemand() {
  DemandReport report{InstanceId("g"), ++demand_sequence_, 500, {}};
  for (const auto& [item, rate] : demand_) {
    report.entries.push_back({item.model, item.version, item.adapter,
                              static_cast<std::uint64_t>(rate / 2)});
  }
  for (Controller& controller : controllers_) {
    controller.OnDemand(now_, report);
  }
}

std::string Numbered(std::string_view prefix, std::size_t number) {
  std::string name(prefix);
  name += std::to_string(number);
  return name;
}

Item BaseItem(const std::string& model, const std::string& version) {
  return {ModelId(model), VersionId(version), {}};
}

config::Configuration SmallConfiguration(int servers, int models, bool checks) {
  config::Configuration configuration;
  const DomainId domain("d");
  configuration.domains[domain] = {};
  configuration.weight_store = {4, 8, 8};
  for (int i = 0; i < servers; ++i) {
    config::Server server;
    server.failure_domain = domain;
    server.memory_bytes = 100;
    server.checks_fencing = checks;
    configuration
        .servers[ServerId(Numbered("s", static_cast<std::size_t>(i)))] = server;
  }
  for (int i = 0; i < models; ++i) {
    config::Model model;
    model.versions[VersionId("1")] = {30};
    model.default_version = VersionId("1");
    model.adapters[AdapterId("a")] = {2};
    configuration.models[ModelId(Numbered("m", static_cast<std::size_t>(i)))] =
        model;
  }
  return configuration;
}

}  // namespace figwell::placement
