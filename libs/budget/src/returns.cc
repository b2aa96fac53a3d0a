// Returns unused tokens to a gateway that may have free capacity for them.

#include <algorithm>

#include "figwell/budget.h"

namespace figwell::budget {
namespace {

/** Maximum clock readings per team, enough for requests that run for about a
 * minute. */
constexpr std::size_t kMaxSourceClocks = 256;

/** Minimum time between two clock readings of the same source. */
constexpr Duration kMinSourceClockInterval = std::chrono::milliseconds(250);

}  // namespace

/** Records a source's clock for requests admitted from now on. */
void Transfers::RecordSourceClock(std::size_t team, SourceClock source_clock) {
  std::deque<SourceClock>& source_clocks = source_clocks_[team];
  const bool close =
      source_clocks.size() > 1 &&
      source_clocks.back().source == source_clock.source &&
      source_clock.received - source_clocks[source_clocks.size() - 2].received <
          kMinSourceClockInterval;
  if (close) {
    // The earlier reading serves as well: it also precedes the
    // later charges.
    return;
  }
  source_clocks.push_back(std::move(source_clock));
  if (source_clocks.size() > kMaxSourceClocks) {
    source_clocks.pop_front();
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
  const std::deque<SourceClock>& source_clocks = source_clocks_[*index];
  const auto source_clock =
      std::find_if(source_clocks.rbegin(), source_clocks.rend(),
                   [&](const SourceClock& candidate) {
                     return candidate.received <= admitted;
                   });
  if (rest <= 0 || source_clock == source_clocks.rend()) {
    return;
  }
  pending_returns_[{source_clock->source, source_clock->incarnation}].push_back(
      {HashTeam(team),
       static_cast<std::uint32_t>(std::min<Tokens>(rest, UINT32_MAX)),
       source_clock->granted_at});
}

std::vector<Outgoing<TransferReturn>> Transfers::DrainReturns() {
  std::vector<Outgoing<TransferReturn>> out;
  for (auto& [source, items] : pending_returns_) {
    for (std::size_t i = 0; i < items.size(); i += kMaxTransferItems) {
      const std::size_t end = std::min(items.size(), i + kMaxTransferItems);
      TransferReturn message{
          next_return_id_++, incarnation_, source.second, {}};
      message.items.assign(items.begin() + static_cast<std::ptrdiff_t>(i),
                           items.begin() + static_cast<std::ptrdiff_t>(end));
      out.push_back({source.first, std::move(message)});
    }
  }
  pending_returns_.clear();
  return out;
}

void Transfers::OnReturn(TimePoint now, const InstanceId& from,
                         const TransferReturn& message) {
  std::uint64_t& last = last_return_ids_[{from, message.incarnation}];
  if (message.id <= last || message.source_incarnation != incarnation_ ||
      message.items.size() > kMaxTransferItems) {
    return;
  }
  // Recorded before the refund, so that a repeated or overtaken message has no
  // effect.
  last = message.id;
  for (const ReturnItem& item : message.items) {
    if (const auto team = IndexOf(item.team); team.has_value()) {
      budgets_->budgets()[*team]->Refund(
          now, TimePoint(Duration(item.granted_at)), item.tokens);
    }
  }
}

}  // namespace figwell::budget
