#include "figwell/placement/controller.h"

#include <algorithm>
#include <utility>

namespace figwell::placement {
namespace {

/** Ages are reported in whole milliseconds, rounded down. */
constexpr Duration kAgeRounding = std::chrono::milliseconds(1);

}  // namespace

Controller::Controller(InstanceId instance, DomainId domain,
                       std::string_view prefix, PlanOptions options)
    : domain_(std::move(domain)),
      options_(options),
      leadership_(std::move(instance), StoreKeys(prefix, domain_)) {}

void Controller::OnConfiguration(config::ConfigurationPtr configuration) {
  const config::ConfigurationPtr former =
      std::exchange(configuration_, std::move(configuration));
  limits_ = DomainLimits(*configuration_, domain_);
  // Most changes concern only teams and keys; MakeLayout is expensive.
  if (former != nullptr && former->models == configuration_->models &&
      former->servers == configuration_->servers &&
      former->services == configuration_->services) {
    return;
  }
  next_plan_at_ = TimePoint();  // Plan on the next tick.
  bundles_ = MakeBundles(*configuration_);
  homes_ = MakeLayout(*configuration_).homes[domain_];
}

void Controller::OnDemand(TimePoint now, const DemandReport& report) {
  demand_.Add(now, report);
}

Actions Controller::OnTick(TimePoint now) {
  Actions actions = leadership_.OnTick(now);
  if (is_leader_ && !leadership_.Holds(now)) {
    EndEpoch(now);
  }
  if (auto transaction = leadership_.NextAcquisition(now)) {
    acquisition_id_ = next_id_++;
    actions.push_back(
        ExecuteTransaction{acquisition_id_, std::move(*transaction)});
  }
  if (!is_leader_ || configuration_ == nullptr) {
    return actions;
  }
  Actions sends = ContinueSending(now);
  actions.insert(actions.end(), sends.begin(), sends.end());
  for (const auto& step :
       {FetchReports(now), pending_write_ ? AttemptWrite(now) : Plan(now)}) {
    actions.insert(actions.end(), step.begin(), step.end());
  }
  return actions;
}

void Controller::OnLeaseGranted(TimePoint now,
                                const Result<store::LeaseId>& lease) {
  leadership_.OnLeaseGranted(now, lease);
}

void Controller::OnLeaseRenewed(TimePoint now, store::LeaseId lease,
                                const Result<std::chrono::seconds>& remaining) {
  leadership_.OnLeaseRenewed(now, lease, remaining);
}

Actions Controller::OnTransaction(
    TimePoint now, std::uint64_t id,
    const Result<store::TransactionResult>& result) {
  if (id == acquisition_id_) {
    acquisition_id_ = 0;
    if (const auto values = leadership_.OnAcquisitionResult(now, result)) {
      StartEpoch(now, *values);
    }
    return {};
  }
  if (pending_write_ && pending_write_->in_flight && pending_write_->id == id) {
    pending_write_->in_flight = false;
    return OnWriteAnswer(now, result);
  }
  return {};  // The result of a call from a former epoch.
}

void Controller::StartEpoch(TimePoint now,
                            const std::vector<store::KeyValue>& values) {
  is_leader_ = true;
  epoch_started_at_ = now;
  next_plan_at_ = now;
  load_tokens_refilled_at_ = now;
  load_tokens_ = 0;
  server_records_.clear();
  pending_write_.reset();
  const std::size_t prefix = leadership_.keys().ledgers.size();
  for (const store::KeyValue& value : values) {
    ServerRecord& record = server_records_[ServerId(value.key.substr(prefix))];
    record.revision = value.mod_revision;
    auto ledger = LedgerFromText(value.value);
    record.readable = ledger.has_value();
    if (ledger) {
      record.ledger = std::move(*ledger);
    }
  }
}

void Controller::EndEpoch(TimePoint now) {
  is_leader_ = false;
  pending_write_.reset();
  server_records_.clear();
  leadership_.Resign(now);
}

Actions Controller::FetchReports(TimePoint now) {
  Actions actions;
  for (const ServerId& id : EngineServers(*configuration_)) {
    const config::Server& server = configuration_->servers.at(id);
    if (server.failure_domain != domain_) {
      continue;
    }
    ServerRecord& record = server_records_[id];
    if (now >= record.next_fetch_at) {
      record.next_fetch_at = now + kReportFetchInterval;
      actions.push_back(FetchReport{id, server.address});
    }
  }
  return actions;
}

void Controller::OnReport(TimePoint now, const ServerId& server,
                          TimePoint requested_at,
                          const Result<ServerReport>& report) {
  const auto found = server_records_.find(server);
  // A write in flight is about to replace the ledger.
  if (!is_leader_ || pending_write_ || !report ||
      found == server_records_.end() || configuration_ == nullptr ||
      requested_at > now) {
    return;
  }
  const auto settings = configuration_->servers.find(server);
  ServerRecord& record = found->second;
  const TimePoint sampled_at = requested_at - report->age - kAgeRounding;
  if (settings == configuration_->servers.end() || !record.readable ||
      sampled_at <= epoch_started_at_ || sampled_at <= record.sampled_at) {
    return;
  }
  ServerLedger settled =
      ApplyReport(record.ledger, *report, sampled_at,
                  settings->second.checks_fencing, record.times);
  if (settled != record.ledger && !record.changed_at) {
    record.changed_at = now;
  }
  record.ledger = std::move(settled);
  record.known = true;
  record.draining = report->draining;
  record.memory_bytes =
      std::min(settings->second.memory_bytes, report->memory_bytes);
  record.sampled_at = sampled_at;
  std::erase_if(record.times, [&](const auto& entry) {
    const auto& orders = record.ledger.unsettled;
    return std::none_of(orders.begin(), orders.end(), [&](const Order& order) {
      return order.fencing == entry.first;
    });
  });
}

std::set<Item> Controller::OverdueItems(TimePoint now,
                                        const ServerRecord& record) const {
  std::set<Item> overdue;
  std::set<Item> recent;
  for (const Order& order : record.ledger.unsettled) {
    const auto times = record.times.find(order.fencing);
    const TimePoint written =
        times == record.times.end() ? epoch_started_at_ : times->second.written;
    (now - written > kOrderEffectTimeout ? overdue : recent).insert(order.item);
  }
  for (const Item& item : recent) {
    overdue.erase(item);
  }
  return overdue;
}

std::map<ServerId, ServerView> Controller::MakeServerViews(
    TimePoint now) const {
  std::map<ServerId, ServerView> views;
  for (const auto& [id, record] : server_records_) {
    const auto settings = configuration_->servers.find(id);
    if (settings == configuration_->servers.end()) {
      continue;
    }
    ServerView view;
    view.ledger = record.ledger;
    view.memory_bytes = record.memory_bytes;
    view.accelerators = settings->second.accelerators;
    view.pool = settings->second.pool;
    view.usable = record.known && record.readable && !record.draining &&
                  !settings->second.draining &&
                  now - record.sampled_at < kReportTimeout;
    view.overdue = OverdueItems(now, record);
    views.emplace(id, std::move(view));
  }
  return views;
}

void Controller::RefillLoadTokens(TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - load_tokens_refilled_at_).count();
  load_tokens_refilled_at_ = now;
  const double max_tokens =
      std::chrono::duration<double>(kPlanInterval).count() *
      limits_.loads_per_second;
  load_tokens_ = std::min(std::max(1.0, max_tokens),
                          load_tokens_ + seconds * limits_.loads_per_second);
}

int Controller::LoadsAllowed(TimePoint now, bool adapters) const {
  int in_progress = 0;
  for (const auto& [id, record] : server_records_) {
    std::set<Item> loading;
    for (const auto& [item, resident] : record.ledger.resident) {
      if (resident.state == ItemState::kLoading) {
        loading.insert(item);
      }
    }
    for (const Order& order : record.ledger.unsettled) {
      const auto times = record.times.find(order.fencing);
      const TimePoint written = times == record.times.end()
                                    ? epoch_started_at_
                                    : times->second.written;
      if (order.action == Action::kLoad && now - written < kLoadTimeout &&
          !record.ledger.resident.contains(order.item)) {
        loading.insert(order.item);
      }
    }
    in_progress += static_cast<int>(std::count_if(
        loading.begin(), loading.end(),
        [&](const Item& item) { return item.adapter.empty() != adapters; }));
  }
  if (adapters) {
    return std::max(0, limits_.adapters_at_once - in_progress);
  }
  return std::max(0, std::min(static_cast<int>(load_tokens_),
                              limits_.loads_at_once - in_progress));
}

Actions Controller::Plan(TimePoint now) {
  if (now < next_plan_at_) {
    return {};
  }
  next_plan_at_ = now + kPlanInterval;
  RefillLoadTokens(now);
  const std::map<ServerId, ServerView> views = MakeServerViews(now);
  const Demand demand = demand_.Rates(now);
  const PlanInput input{*configuration_,
                        bundles_,
                        homes_,
                        views,
                        demand,
                        LoadsAllowed(now, false),
                        LoadsAllowed(now, true),
                        options_};
  return WriteOrders(now, PlanMoves(input));
}

PlacementStatus Controller::Status(TimePoint now) const {
  PlacementStatus status;
  status.domain = domain_;
  status.holds_lease = leadership_.Holds(now);
  status.epoch = leadership_.epoch();
  status.moves.assign(move_records_.begin(), move_records_.end());
  status.orders_written = orders_written_;
  status.ledger_writes = ledger_writes_;
  if (configuration_ == nullptr) {
    return status;
  }
  for (const auto& [base, home] : homes_) {
    status.ready[base];
  }
  const std::map<ServerId, ServerView> views = MakeServerViews(now);
  for (const auto& [id, view] : views) {
    const ServerRecord& record = server_records_.at(id);
    status.unreadable_ledgers += record.readable ? 0 : 1;
    status.servers[id] = {record.known,           view.usable,
                          record.memory_bytes,    ReservedBytes(record.ledger),
                          record.ledger.resident, record.ledger.unsettled};
    for (const auto& [item, resident] : record.ledger.resident) {
      if (view.usable && item.adapter.empty() &&
          resident.state == ItemState::kReady) {
        status.ready[item].push_back(id);
      }
    }
  }
  return status;
}

}  // namespace figwell::placement
