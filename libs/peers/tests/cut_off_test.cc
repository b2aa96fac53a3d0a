// The reachability that members report while parts of the fleet are isolated.

#include "figwell/testing.h"
#include "fleet.h"

namespace figwell::peers {
namespace {

using std::chrono::seconds;

/** Evidence has to expire, and its last reports have to spread first. */
constexpr Duration kDetectionTime = kEvidenceMaxAge + seconds(8);
constexpr Duration kRecoveryTime = seconds(20);
/** Long enough for every member to have had a failed call to the store. */
constexpr Duration kOutageTime = seconds(60);
constexpr std::size_t kDomains = 3;

void IsolateDomain(Fleet& fleet) {
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.SetPartition(i, fleet.domain(i) == 0 ? 1 : 0);
  }
}

void IsolateInstance(Fleet& fleet) { fleet.SetPartition(0, 1); }

void StoreUnreachableForOne(Fleet& fleet) {
  fleet.SetStoreUnreachable(0, true);
}

void StoreUnreachableForDomain(Fleet& fleet) {
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.SetStoreUnreachable(i, fleet.domain(i) == 0);
  }
}

void StoreDown(Fleet& fleet) { fleet.SetStoreDown(true); }

void NoFault(Fleet& /*fleet*/) {}

void Repair(Fleet& fleet) {
  fleet.SetStoreDown(false);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.SetPartition(i, 0);
    fleet.SetStoreUnreachable(i, false);
  }
}

TEST_CASE(
    "each kind of isolation is detected as such, and ends after the repair") {
  struct Row {
    const char* name;
    void (*inject)(Fleet&);
    ReachabilityLevel first;       // member 0
    ReachabilityLevel own_domain;  // the other members of its domain
    ReachabilityLevel elsewhere;
    bool unresponsive;   // member 0 has no contact to the rest of its domain
    bool watchers_only;  // non-watchers do not call the store
  };
  using enum ReachabilityLevel;
  const std::vector<Row> rows = {
      {"nothing", NoFault, kConnected, kConnected, kConnected, false, false},
      {"a domain", IsolateDomain, kDomainIsolated, kDomainIsolated, kConnected,
       false, false},
      {"an instance", IsolateInstance, kInstanceIsolated, kConnected,
       kConnected, true, false},
      {"the store, for one", StoreUnreachableForOne, kStoreUnreachableHere,
       kConnected, kConnected, false, true},
      {"the store, for a domain", StoreUnreachableForDomain,
       kStoreUnreachableHere, kStoreUnreachableHere, kConnected, false, true},
      {"the store, for all", StoreDown, kStoreUnreachableEverywhere,
       kStoreUnreachableEverywhere, kStoreUnreachableEverywhere, false, false},
  };
  for (const Row& row : rows) {
    for (const std::size_t members :
         {kWatchersPerDomain, 2 * kWatchersPerDomain}) {
      if (row.watchers_only && members > kWatchersPerDomain) {
        continue;
      }
      INFO(row.name << ", " << members << " a domain");
      Fleet fleet(
          {.domains = kDomains, .members_per_domain = members, .loss = 0.01});
      fleet.RunFor(seconds(20));
      row.inject(fleet);
      fleet.RunFor(kDetectionTime);
      CHECK(fleet.agent(0).reachability_status().unresponsive_domain_members ==
            (row.unresponsive ? members - 1 : 0));
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        const ReachabilityLevel expected = i == 0 ? row.first
                                           : fleet.domain(i) == 0
                                               ? row.own_domain
                                               : row.elsewhere;
        INFO(fleet.id(i));
        CHECK(Name(fleet.agent(i).reachability_status().reach) ==
              Name(expected));
      }
      fleet.RunFor(kOutageTime);
      Repair(fleet);
      fleet.RunFor(kRecoveryTime);
      CHECK(fleet.AllAgree());
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.agent(i).reachability_status().reach == kConnected);
      }
    }
  }
}

TEST_CASE("an isolated domain declares no outside member dead, for hours") {
  Fleet fleet({.domains = kDomains, .members_per_domain = 3});
  fleet.RunFor(seconds(20));
  IsolateDomain(fleet);
  fleet.RunFor(std::chrono::hours(3));
  CHECK(fleet.agent(0).counters().deaths == 0);
  CHECK(fleet.agent(1).membership().table().live_count() == 6);
  Repair(fleet);
  fleet.RunFor(kRecoveryTime);
  CHECK(fleet.AllAgree());
}

TEST_CASE("a paused process does not suspect its peers") {
  Fleet fleet({.domains = kDomains, .members_per_domain = 3});
  fleet.RunFor(seconds(20));
  fleet.Pause(0, seconds(30));
  fleet.RunFor(seconds(31));
  CHECK(fleet.agent(0).counters().suspicions == 0);
  fleet.RunFor(kRecoveryTime);
  CHECK(fleet.AllAgree());
}

}  // namespace
}  // namespace figwell::peers
