#include <algorithm>
#include <iterator>

#include "edge.h"

namespace figwell::edge {
namespace {

using telemetry::Event;

// How often a delegate tells its peers of evacuations: instances that have
// started while the store does not answer know none.
constexpr Duration kEvacuationsInterval = std::chrono::milliseconds(1'000);

}  // namespace

void Edge::ApplyEvacuations(std::string_view source) {
  const std::set<DomainId> former = state_.directory.evacuated();
  const std::set<DomainId> current = state_.evacuations.Domains();
  if (former == current) {
    return;
  }
  state_.directory.SetEvacuated(current);
  std::set<DomainId> changed;
  std::set_symmetric_difference(former.begin(), former.end(), current.begin(),
                                current.end(),
                                std::inserter(changed, changed.end()));
  for (const DomainId& domain : changed) {
    const auto servers = std::count_if(
        state_.directory.entries().begin(), state_.directory.entries().end(),
        [&](const auto& item) { return item.second.server.domain == domain; });
    const bool began = current.contains(domain);
    if (!began) {
      SuspectColdDomain(domain);
    }
    state_.metrics
        .GetCounter("figwell_evacuation_changes_total",
                    telemetry::Label("change", began ? "began" : "ended"))
        .Add();
    telemetry::Log(Event::kEvacuationChanged,
                   began ? "began: its servers get nothing new" : "ended",
                   {{"domain", domain.value()},
                    {"servers", std::to_string(servers)},
                    {"source", std::string(source)}});
  }
  last_evacuations_announced_ = {};  // peers learn of it at the next tick
}

void Edge::OnEvacuationsMessage(const InstanceId& from,
                                const EvacuationsMessage& message) {
  const std::set<DomainId> former = state_.directory.evacuated();
  state_.evacuations.OnPeerRecords(MonotonicNow(), message.records);
  ApplyEvacuations("peer");
  if (state_.directory.evacuated() != former) {
    peers_.Announce(MessageKind::kEvacuations, message, from);
  }
}

void Edge::AnnounceEvacuations(TimePoint now) {
  const bool is_delegate =
      peers_.Delegates().at(state_.settings.failure_domain) ==
      state_.settings.instance;
  if (!is_delegate ||
      now - last_evacuations_announced_ < kEvacuationsInterval) {
    return;
  }
  const EvacuationsMessage message{state_.evacuations.RecordsForPeers(now)};
  if (!message.records.empty()) {
    last_evacuations_announced_ = now;
    peers_.Announce(MessageKind::kEvacuations, message, std::nullopt);
  }
}

}  // namespace figwell::edge
