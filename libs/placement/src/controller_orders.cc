#include <algorithm>
#include <utility>

#include "figwell/placement/controller.h"

namespace figwell::placement {

Actions Controller::WriteOrders(TimePoint now, const std::vector<Move>& moves) {
  Write write;
  for (const Move& move : moves) {
    const Book& book = books_.at(move.server);
    if (!write.ledgers.contains(move.server) &&
        write.ledgers.size() == kMaxLedgersPerWrite) {
      continue;  // Left to the next plan.
    }
    const auto changed = write.ledgers.find(move.server);
    const ServerLedger& ledger =
        changed == write.ledgers.end() ? book.ledger : changed->second;
    auto next = WithOrder(ledger, leadership_.epoch(), book.memory_bytes, move);
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
  write_ = std::move(write);
  return Attempt(now);
}

/** Adds ledgers whose changes from reports are due to be written. */
void Controller::AddUnwrittenLedgers(TimePoint now, Write& write) const {
  for (const auto& [id, book] : books_) {
    if (write.ledgers.size() < kMaxLedgersPerWrite && book.changed_at &&
        now - *book.changed_at >= kFlushAfter) {
      write.ledgers.emplace(id, book.ledger);
    }
  }
}

store::Transaction Controller::LedgerTransaction(const Write& write) const {
  store::Transaction transaction;
  transaction.compares.push_back(leadership_.HolderCompare());
  transaction.failure.emplace_back(store::Range{leadership_.keys().holder, {}});
  for (const auto& [id, ledger] : write.ledgers) {
    const std::string key = leadership_.keys().ledgers + id.value();
    transaction.compares.push_back({key, books_.at(id).revision});
    transaction.success.emplace_back(store::Put{key, ToText(ledger), 0});
    transaction.failure.emplace_back(store::Range{key, {}});
  }
  return transaction;
}

Actions Controller::Attempt(TimePoint now) {
  if (write_->in_flight || now < write_->retry_at || !leadership_.Holds(now)) {
    return {};
  }
  write_->id = next_id_++;
  write_->in_flight = true;
  write_->retry_at = now + kWriteRetryEvery;
  ++ledger_writes_;
  return {ExecuteTransaction{write_->id, write_->transaction}};
}

Actions Controller::OnWriteAnswer(
    TimePoint now, const Result<store::TransactionResult>& result) {
  if (!result) {
    const bool untouched = result.error().code == ErrorCode::kUnavailable;
    if (untouched && !write_->may_be_written) {
      write_.reset();  // Nothing was written; plan again.
    } else if (!untouched) {
      write_->may_be_written = true;  // A retry will show the outcome.
    }
    return {};
  }
  if (result->succeeded) {
    return FinishWrite(now, result->revision);
  }
  if (write_->may_be_written && IsOurWrite(*result)) {
    return FinishWrite(now, result->ranges.at(1).front().mod_revision);
  }
  EndEpoch(now);
  return {};
}

/** Whether the failure branch read what an earlier attempt wrote. */
bool Controller::IsOurWrite(const store::TransactionResult& result) const {
  const auto& ranges = result.ranges;
  if (ranges.size() != write_->ledgers.size() + 1 || ranges[0].empty() ||
      ranges[0].front().mod_revision !=
          leadership_.HolderCompare().mod_revision) {
    return false;
  }
  std::size_t next = 1;
  return std::all_of(
      write_->ledgers.begin(), write_->ledgers.end(), [&](const auto& entry) {
        const auto& values = ranges[next++];
        return !values.empty() && values.front().value == ToText(entry.second);
      });
}

Actions Controller::FinishWrite(TimePoint now, store::Revision revision) {
  Write write = std::move(*write_);
  write_.reset();
  for (auto& [id, ledger] : write.ledgers) {
    Book& book = books_.at(id);
    book.ledger = std::move(ledger);
    book.revision = revision;
    book.changed_at.reset();
  }
  Actions actions;
  for (const auto& [id, orders] : write.orders) {
    Book& book = books_.at(id);
    for (const Order& order : orders) {
      book.times[order.fencing] = {now, std::nullopt};
      book.to_send.push_back(order);
      Record(now, id, order);
    }
    const Actions sends = SendNext(now, id);
    actions.insert(actions.end(), sends.begin(), sends.end());
  }
  return actions;
}

Actions Controller::SendNext(TimePoint now, const ServerId& server) {
  Book& book = books_.at(server);
  const auto settings = configuration_->servers.find(server);
  if (book.in_exchange || book.to_send.empty() || !leadership_.Holds(now) ||
      settings == configuration_->servers.end()) {
    return {};
  }
  Order order = std::move(book.to_send.front());
  book.to_send.pop_front();
  book.in_exchange = order.fencing;
  book.exchange_began = now;
  return {SendOrder{server, settings->second.address, book.ledger.incarnation,
                    std::move(order), !settings->second.checks_fencing}};
}

Actions Controller::OnOrderAnswer(TimePoint now, const ServerId& server,
                                  const Fencing& fencing, OrderAnswer answer) {
  const auto found = books_.find(server);
  if (!leads_ || found == books_.end()) {
    return {};
  }
  Book& book = found->second;
  if (book.in_exchange == fencing) {
    book.in_exchange.reset();
  }
  if (answer == OrderAnswer::kTaken) {
    if (const auto times = book.times.find(fencing);
        times != book.times.end()) {
      times->second.taken = now;
    }
  } else if (answer == OrderAnswer::kNotSent && !write_) {
    book.ledger = WithoutOrder(std::move(book.ledger), fencing);
  }
  return SendNext(now, server);
}

/** Sends the next order where none is in flight or its answer timed out. */
Actions Controller::ContinueSending(TimePoint now) {
  Actions actions;
  for (auto& [id, book] : books_) {
    if (book.in_exchange && now - book.exchange_began > kAnswerTimeout) {
      book.in_exchange.reset();
    }
    const Actions sends = SendNext(now, id);
    actions.insert(actions.end(), sends.begin(), sends.end());
  }
  return actions;
}

void Controller::Record(TimePoint now, const ServerId& server,
                        const Order& order) {
  ++orders_written_;
  records_.push_back({now - epoch_began_, server, order});
  if (records_.size() > kRecordsKept) {
    records_.pop_front();
  }
}

}  // namespace figwell::placement
