// Returns unused tokens to a gateway that may have free capacity for them.

#include <algorithm>

#include "figwell/budget.h"

namespace figwell::budget {
namespace {

/** Maximum stamps per team, enough for requests that run for about a minute. */
constexpr std::size_t kMaxStamps = 256;

/** Minimum time between two stamps of the same source. */
constexpr Duration kStampSpacing = std::chrono::milliseconds(250);

}  // namespace

/** Records a source's clock for requests admitted from now on. */
void Transfers::NoteStamp(std::size_t team, Stamp stamp) {
  std::deque<Stamp>& stamps = stamps_[team];
  const bool close =
      stamps.size() > 1 && stamps.back().giver == stamp.giver &&
      stamp.received - stamps[stamps.size() - 2].received < kStampSpacing;
  if (close) {
    // The earlier stamp serves as well: its clock reading also precedes the
    // later charges.
    return;
  }
  stamps.push_back(std::move(stamp));
  if (stamps.size() > kMaxStamps) {
    stamps.pop_front();
  }
}

void Transfers::Settle(TimePoint now, const TeamId& team, TimePoint admitted,
                       Tokens unused) {
  const auto index = IndexOf(HashTeam(team));
  if (!index.has_value() || unused <= 0) {
    return;
  }
  const Tokens rest =
      budgets_->budgets()[*index]->Refund(now, admitted, unused);
  const std::deque<Stamp>& stamps = stamps_[*index];
  const auto stamp = std::find_if(
      stamps.rbegin(), stamps.rend(),
      [&](const Stamp& known) { return known.received <= admitted; });
  if (rest <= 0 || stamp == stamps.rend()) {
    return;
  }
  unsent_[{stamp->giver, stamp->incarnation}].push_back(
      {HashTeam(team),
       static_cast<std::uint32_t>(std::min<Tokens>(rest, UINT32_MAX)),
       stamp->given_at});
}

std::vector<Outgoing<TransferReturn>> Transfers::TakeReturns() {
  std::vector<Outgoing<TransferReturn>> out;
  for (auto& [giver, items] : unsent_) {
    for (std::size_t i = 0; i < items.size(); i += kMaxTransferItems) {
      const std::size_t end = std::min(items.size(), i + kMaxTransferItems);
      TransferReturn message{next_return_++, incarnation_, giver.second, {}};
      message.items.assign(items.begin() + static_cast<std::ptrdiff_t>(i),
                           items.begin() + static_cast<std::ptrdiff_t>(end));
      out.push_back({giver.first, std::move(message)});
    }
  }
  unsent_.clear();
  return out;
}

void Transfers::OnReturn(TimePoint now, const InstanceId& from,
                         const TransferReturn& message) {
  std::uint64_t& last = last_return_[{from, message.incarnation}];
  if (message.id <= last || message.giver_incarnation != incarnation_ ||
      message.items.size() > kMaxTransferItems) {
    return;
  }
  // Recorded before the refund, so that a repeated or overtaken message has no
  // effect.
  last = message.id;
  for (const ReturnItem& item : message.items) {
    if (const auto team = IndexOf(item.team); team.has_value()) {
      budgets_->budgets()[*team]->Refund(
          now, TimePoint(Duration(item.given_at)), item.tokens);
    }
  }
}

}  // namespace figwell::budget
