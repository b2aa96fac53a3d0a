#include "figwell/serving/summary.h"

#include <algorithm>

namespace figwell::serving {
namespace {

// Covers several of the intervals at which members report their loads.
constexpr Duration kMemberLoadMaxAge = std::chrono::milliseconds(1'000);

void Add(std::map<ServerId, PeerLoad>& sum,
         const std::map<ServerId, PeerLoad>& loads) {
  for (const auto& [server, load] : loads) {
    PeerLoad& total = sum[server];
    total.in_flight += load.in_flight;
    total.prefill_backlog += load.prefill_backlog;
  }
}

}  // namespace

void DomainSummary::OnMemberReport(TimePoint now, const InstanceId& id,
                                   std::uint64_t incarnation,
                                   const std::map<ServerId, PeerLoad>& loads,
                                   const std::vector<TeamSpending>& spending) {
  const auto [found, first] = members_.try_emplace(id);
  Member& member = found->second;
  const bool first_or_timed_out =
      first || member.last_report + kPeerReportTimeout < now;
  if (first || member.incarnation != incarnation) {
    member.spent.clear();
    member.baseline_until = first_or_timed_out ? now + kPeerReportTimeout : now;
  }
  member.incarnation = incarnation;
  member.last_report = now;
  member.loads = loads;
  for (const TeamSpending& item : spending) {
    const Tokens baseline = now < member.baseline_until ? item.spent : 0;
    Tokens& before =
        member.spent.try_emplace(item.team, baseline).first->second;
    members_spent_[item.team] += std::max<Tokens>(0, item.spent - before);
    before = std::max(before, item.spent);
  }
}

std::map<ServerId, PeerLoad> DomainSummary::Loads(
    TimePoint now, const std::map<ServerId, PeerLoad>& own) const {
  std::map<ServerId, PeerLoad> sum = own;
  for (const auto& [id, member] : members_) {
    if (member.last_report + kMemberLoadMaxAge >= now) {
      Add(sum, member.loads);
    }
  }
  return sum;
}

int DomainSummary::Instances(TimePoint now) const {
  return 1 + static_cast<int>(std::count_if(
                 members_.begin(), members_.end(), [&](const auto& item) {
                   return item.second.last_report + kPeerReportTimeout >= now;
                 }));
}

std::vector<TeamSpending> DomainSummary::Spending(
    const std::vector<TeamSpending>& own) const {
  std::vector<TeamSpending> sum = own;
  for (TeamSpending& item : sum) {
    const auto members = members_spent_.find(item.team);
    if (members != members_spent_.end()) {
      item.spent += members->second;
    }
  }
  return sum;
}

}  // namespace figwell::serving
