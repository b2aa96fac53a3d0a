#include <algorithm>
#include <utility>

#include "figwell/placement/controller.h"

namespace figwell::placement {

Actions Controller::WriteOrders(TimePoint now, const std::vector<Move>& moves) {
  PendingWrite write;
  for (const Move& move : moves) {
    const ServerRecord& record = server_records_.at(move.server);
    if (!write.ledgers.contains(move.server) &&
        write.ledgers.size() == kMaxLedgersPerWrite) {
      continue;  // Left to the next plan.
    }
    const auto changed = write.ledgers.find(move.server);
    const ServerLedger& ledger =
        changed == write.ledgers.end() ? record.ledger : changed->second;
    auto next =
        WithOrder(ledger, leadership_.epoch(), record.memory_bytes, move);
    if (!next) {
      continue;  // Conflicts with an earlier move of this plan.
    }
    write.orders[move.server].push_back(next->unsettled.back());
    write.ledgers[move.server] = std::move(*next);
    if (move.action == Action::kLoad && move.item.adapter.empty()) {
      load_tokens_ -= 1;
    }
  }
  AddUnwrittenLedgers(now, write);
  if (write.ledgers.empty()) {
    return {};
  }
  write.transaction = LedgerTransaction(write);
  pending_write_ = std::move(write);
  return AttemptWrite(now);
}

/** Adds ledgers whose changes from reports are due to be written. */
void Controller::AddUnwrittenLedgers(TimePoint now, PendingWrite& write) const {
  for (const auto& [id, record] : server_records_) {
    if (write.ledgers.size() < kMaxLedgersPerWrite && record.changed_at &&
        now - *record.changed_at >= kLedgerChangeMaxAge) {
      write.ledgers.emplace(id, record.ledger);
    }
  }
}

store::Transaction Controller::LedgerTransaction(
    const PendingWrite& write) const {
  store::Transaction transaction;
  transaction.compares.push_back(leadership_.HolderCompare());
  transaction.failure.emplace_back(store::Range{leadership_.keys().holder, {}});
  for (const auto& [id, ledger] : write.ledgers) {
    const std::string key = leadership_.keys().ledgers + id.value();
    transaction.compares.push_back({key, server_records_.at(id).revision});
    transaction.success.emplace_back(store::Put{key, ToText(ledger), 0});
    transaction.failure.emplace_back(store::Range{key, {}});
  }
  return transaction;
}

Actions Controller::AttemptWrite(TimePoint now) {
  if (pending_write_->in_flight || now < pending_write_->retry_at ||
      !leadership_.Holds(now)) {
    return {};
  }
  pending_write_->id = next_id_++;
  pending_write_->in_flight = true;
  pending_write_->retry_at = now + kWriteRetryInterval;
  ++ledger_writes_;
  return {ExecuteTransaction{pending_write_->id, pending_write_->transaction}};
}

Actions Controller::OnWriteAnswer(
    TimePoint now, const Result<store::TransactionResult>& result) {
  if (!result) {
    const bool untouched = result.error().code == ErrorCode::kUnavailable;
    if (untouched && !pending_write_->may_be_written) {
      pending_write_.reset();  // Nothing was written; plan again.
    } else if (!untouched) {
      pending_write_->may_be_written = true;  // A retry will show the outcome.
    }
    return {};
  }
  if (result->succeeded) {
    return FinishWrite(now, result->revision);
  }
  if (pending_write_->may_be_written && IsOurWrite(*result)) {
    return FinishWrite(now, result->ranges.at(1).front().mod_revision);
  }
  EndEpoch(now);
  return {};
}

/** Whether the failure branch read what an earlier attempt wrote. */
bool Controller::IsOurWrite(const store::TransactionResult& result) const {
  const auto& ranges = result.ranges;
  if (ranges.size() != pending_write_->ledgers.size() + 1 ||
      ranges[0].empty() ||
      ranges[0].front().mod_revision !=
          leadership_.HolderCompare().mod_revision) {
    return false;
  }
  std::size_t next = 1;
  return std::all_of(pending_write_->ledgers.begin(),
                     pending_write_->ledgers.end(), [&](const auto& entry) {
                       const auto& values = ranges[next++];
                       return !values.empty() &&
                              values.front().value == ToText(entry.second);
                     });
}

Actions Controller::FinishWrite(TimePoint now, store::Revision revision) {
  PendingWrite write = std::move(*pending_write_);
  pending_write_.reset();
  for (auto& [id, ledger] : write.ledgers) {
    ServerRecord& record = server_records_.at(id);
    record.ledger = std::move(ledger);
    record.revision = revision;
    record.changed_at.reset();
  }
  Actions actions;
  for (const auto& [id, orders] : write.orders) {
    ServerRecord& record = server_records_.at(id);
    for (const Order& order : orders) {
      record.times[order.fencing] = {now, std::nullopt};
      record.to_send.push_back(order);
      RecordMove(now, id, order);
    }
    const Actions sends = SendNext(now, id);
    actions.insert(actions.end(), sends.begin(), sends.end());
  }
  return actions;
}

Actions Controller::SendNext(TimePoint now, const ServerId& server) {
  ServerRecord& record = server_records_.at(server);
  const auto settings = configuration_->servers.find(server);
  if (record.in_exchange || record.to_send.empty() || !leadership_.Holds(now) ||
      settings == configuration_->servers.end()) {
    return {};
  }
  Order order = std::move(record.to_send.front());
  record.to_send.pop_front();
  record.in_exchange = order.fencing;
  record.exchange_started_at = now;
  return {SendOrder{server, settings->second.address, record.ledger.incarnation,
                    std::move(order), !settings->second.checks_fencing}};
}

Actions Controller::OnOrderAnswer(TimePoint now, const ServerId& server,
                                  const Fencing& fencing, OrderAnswer answer) {
  const auto found = server_records_.find(server);
  if (!is_leader_ || found == server_records_.end()) {
    return {};
  }
  ServerRecord& record = found->second;
  if (record.in_exchange == fencing) {
    record.in_exchange.reset();
  }
  if (answer == OrderAnswer::kAccepted) {
    if (const auto times = record.times.find(fencing);
        times != record.times.end()) {
      times->second.accepted = now;
    }
  } else if (answer == OrderAnswer::kNotSent && !pending_write_) {
    record.ledger = WithoutOrder(std::move(record.ledger), fencing);
  }
  return SendNext(now, server);
}

/** Sends the next order where none is in flight or its answer timed out. */
Actions Controller::ContinueSending(TimePoint now) {
  Actions actions;
  for (auto& [id, record] : server_records_) {
    if (record.in_exchange &&
        now - record.exchange_started_at > kAnswerTimeout) {
      record.in_exchange.reset();
    }
    const Actions sends = SendNext(now, id);
    actions.insert(actions.end(), sends.begin(), sends.end());
  }
  return actions;
}

void Controller::RecordMove(TimePoint now, const ServerId& server,
                            const Order& order) {
  ++orders_written_;
  move_records_.push_back({now - epoch_started_at_, server, order});
  if (move_records_.size() > kMaxMoveRecords) {
    move_records_.pop_front();
  }
}

}  // namespace figwell::placement
