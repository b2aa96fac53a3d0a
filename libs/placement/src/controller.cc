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
  next_plan_ = TimePoint();  // Plan on the next tick.
  bundles_ = MakeBundles(*configuration_);
  homes_ = MakeLayout(*configuration_).homes[domain_];
}

void Controller::OnDemand(TimePoint now, const DemandReport& report) {
  demand_.Add(now, report);
}

Actions Controller::OnTick(TimePoint now) {
  Actions actions = leadership_.OnTick(now);
  if (leads_ && !leadership_.Holds(now)) {
    EndEpoch(now);
  }
  if (auto transaction = leadership_.Acquisition(now)) {
    acquisition_id_ = next_id_++;
    actions.push_back(
        ExecuteTransaction{acquisition_id_, std::move(*transaction)});
  }
  if (!leads_ || configuration_ == nullptr) {
    return actions;
  }
  Actions sends = ContinueSending(now);
  actions.insert(actions.end(), sends.begin(), sends.end());
  for (const auto& step :
       {FetchReports(now), write_ ? Attempt(now) : Plan(now)}) {
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
    if (const auto values = leadership_.OnAcquisition(now, result)) {
      StartEpoch(now, *values);
    }
    return {};
  }
  if (write_ && write_->in_flight && write_->id == id) {
    write_->in_flight = false;
    return OnWriteAnswer(now, result);
  }
  return {};  // The result of a call from a former epoch.
}

void Controller::StartEpoch(TimePoint now,
                            const std::vector<store::KeyValue>& values) {
  leads_ = true;
  epoch_began_ = now;
  next_plan_ = now;
  loads_refilled_ = now;
  load_tokens_ = 0;
  books_.clear();
  write_.reset();
  const std::size_t prefix = leadership_.keys().ledgers.size();
  for (const store::KeyValue& value : values) {
    Book& book = books_[ServerId(value.key.substr(prefix))];
    book.revision = value.mod_revision;
    auto ledger = LedgerFromText(value.value);
    book.readable = ledger.has_value();
    if (ledger) {
      book.ledger = std::move(*ledger);
    }
  }
}

void Controller::EndEpoch(TimePoint now) {
  leads_ = false;
  write_.reset();
  books_.clear();
  leadership_.Resign(now);
}

Actions Controller::FetchReports(TimePoint now) {
  Actions actions;
  for (const ServerId& id : EngineServers(*configuration_)) {
    const config::Server& server = configuration_->servers.at(id);
    if (server.failure_domain != domain_) {
      continue;
    }
    Book& book = books_[id];
    if (now >= book.fetch_at) {
      book.fetch_at = now + kReportEvery;
      actions.push_back(FetchReport{id, server.address});
    }
  }
  return actions;
}

void Controller::OnReport(TimePoint now, const ServerId& server,
                          TimePoint requested_at,
                          const Result<ServerReport>& report) {
  const auto found = books_.find(server);
  // A write in flight is about to replace the ledger.
  if (!leads_ || write_ || !report || found == books_.end() ||
      configuration_ == nullptr || requested_at > now) {
    return;
  }
  const auto settings = configuration_->servers.find(server);
  Book& book = found->second;
  const TimePoint sampled_at = requested_at - report->age - kAgeRounding;
  if (settings == configuration_->servers.end() || !book.readable ||
      sampled_at <= epoch_began_ || sampled_at <= book.sampled_at) {
    return;
  }
  ServerLedger settled = Settle(book.ledger, *report, sampled_at,
                                settings->second.checks_fencing, book.times);
  if (settled != book.ledger && !book.changed_at) {
    book.changed_at = now;
  }
  book.ledger = std::move(settled);
  book.known = true;
  book.draining = report->draining;
  book.memory_bytes =
      std::min(settings->second.memory_bytes, report->memory_bytes);
  book.sampled_at = sampled_at;
  std::erase_if(book.times, [&](const auto& entry) {
    const auto& orders = book.ledger.unsettled;
    return std::none_of(orders.begin(), orders.end(), [&](const Order& order) {
      return order.fencing == entry.first;
    });
  });
}

std::set<Item> Controller::Overdue(TimePoint now, const Book& book) const {
  std::set<Item> overdue;
  std::set<Item> recent;
  for (const Order& order : book.ledger.unsettled) {
    const auto times = book.times.find(order.fencing);
    const TimePoint written =
        times == book.times.end() ? epoch_began_ : times->second.written;
    (now - written > kRetryAfter ? overdue : recent).insert(order.item);
  }
  for (const Item& item : recent) {
    overdue.erase(item);
  }
  return overdue;
}

std::map<ServerId, ServerView> Controller::Views(TimePoint now) const {
  std::map<ServerId, ServerView> views;
  for (const auto& [id, book] : books_) {
    const auto settings = configuration_->servers.find(id);
    if (settings == configuration_->servers.end()) {
      continue;
    }
    ServerView view;
    view.ledger = book.ledger;
    view.memory_bytes = book.memory_bytes;
    view.accelerators = settings->second.accelerators;
    view.pool = settings->second.pool;
    view.usable = book.known && book.readable && !book.draining &&
                  !settings->second.draining &&
                  now - book.sampled_at < kDeadAfter;
    view.overdue = Overdue(now, book);
    views.emplace(id, std::move(view));
  }
  return views;
}

void Controller::RefillLoads(TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - loads_refilled_).count();
  loads_refilled_ = now;
  const double most = std::chrono::duration<double>(kPlanEvery).count() *
                      limits_.loads_per_second;
  load_tokens_ = std::min(std::max(1.0, most),
                          load_tokens_ + seconds * limits_.loads_per_second);
}

int Controller::LoadsAllowed(TimePoint now, bool adapters) const {
  int under_way = 0;
  for (const auto& [id, book] : books_) {
    std::set<Item> loading;
    for (const auto& [item, resident] : book.ledger.resident) {
      if (resident.state == ItemState::kLoading) {
        loading.insert(item);
      }
    }
    for (const Order& order : book.ledger.unsettled) {
      const auto times = book.times.find(order.fencing);
      const TimePoint written =
          times == book.times.end() ? epoch_began_ : times->second.written;
      if (order.action == Action::kLoad && now - written < kLoadTimeout &&
          !book.ledger.resident.contains(order.item)) {
        loading.insert(order.item);
      }
    }
    under_way += static_cast<int>(std::count_if(
        loading.begin(), loading.end(),
        [&](const Item& item) { return item.adapter.empty() != adapters; }));
  }
  if (adapters) {
    return std::max(0, limits_.adapters_at_once - under_way);
  }
  return std::max(0, std::min(static_cast<int>(load_tokens_),
                              limits_.loads_at_once - under_way));
}

Actions Controller::Plan(TimePoint now) {
  if (now < next_plan_) {
    return {};
  }
  next_plan_ = now + kPlanEvery;
  RefillLoads(now);
  const std::map<ServerId, ServerView> views = Views(now);
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
  status.moves.assign(records_.begin(), records_.end());
  status.orders_written = orders_written_;
  status.ledger_writes = ledger_writes_;
  if (configuration_ == nullptr) {
    return status;
  }
  for (const auto& [base, home] : homes_) {
    status.ready[base];
  }
  const std::map<ServerId, ServerView> views = Views(now);
  for (const auto& [id, view] : views) {
    const Book& book = books_.at(id);
    status.unreadable_ledgers += book.readable ? 0 : 1;
    status.servers[id] = {book.known,           view.usable,
                          book.memory_bytes,    ReservedBytes(book.ledger),
                          book.ledger.resident, book.ledger.unsettled};
    for (const auto& [item, resident] : book.ledger.resident) {
      if (view.usable && item.adapter.empty() &&
          resident.state == ItemState::kReady) {
        status.ready[item].push_back(id);
      }
    }
  }
  return status;
}

}  // namespace figwell::placement
