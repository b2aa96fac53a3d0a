#include "status.h"

#include <boost/json.hpp>

#include "figwell/budget.h"
#include "figwell/placement.h"
#include "figwell/platform.h"
#include "figwell/testing.h"
#include "model_store.h"

namespace figwell::controller {
namespace {

namespace json = boost::json;

const std::string kPrefix = "/f/";

void PutValue(versions::ModelStore& store, const std::string& key,
              const std::string& value) {
  store::Transaction transaction;
  transaction.success.emplace_back(store::Put{key, value, 0});
  store.Execute(transaction);
}

// Puts a version with one domain, one server and one model in force.
void Configure(versions::VersionLog& log) {
  versions::PatchRecord record;
  record.number = 1;
  record.merge_patch = R"({"domains":{"lahore":{"units":10}},
    "servers":{"s1":{"failure_domain":"lahore","address":"127.0.0.1:1",
                     "memory_bytes":1000}},
    "models":{"m":{"versions":{"1":{"bytes":600}},"default_version":"1"}}})";
  REQUIRE(log.ApplyPatchRecord(versions::Encode(record)) ==
          versions::Step::kAdvanced);
}

void FillStore(versions::ModelStore& store) {
  store.Execute(platform::InstanceUpdate(
      kPrefix,
      {InstanceId("g1"), DomainId("lahore"), {}, "p", "127.0.0.1:9", true}, 0));
  budget::UnitTable units;
  units.entries.push_back({InstanceId("g1"), 5, 7, 10, 1, 1});
  PutValue(store, "/f/units/domain/lahore", budget::FormatUnitTable(units));
  PutValue(store, "/f/units/domain/lahore-2", "another domain's");
  const placement::StoreKeys keys(kPrefix, DomainId("lahore"));
  PutValue(store, keys.holder, "c1/77");
  placement::ServerLedger ledger;
  ledger.resident[{ModelId("m"), VersionId("1"), {}}] = {
      600, placement::ItemState::kReady};
  ledger.resident[{ModelId("m"), VersionId("1"), AdapterId("a")}] = {
      10, placement::ItemState::kLoading};
  PutValue(store, keys.ledgers + "s1", placement::ToText(ledger));
  PutValue(store, keys.ledgers + "s2", "not a ledger");
}

TEST_CASE("the status merges the store's tables with the peers' states") {
  versions::VersionLog log(kPrefix);
  Configure(log);
  versions::ModelStore store;
  FillStore(store);
  config::Settings settings;
  settings.instance = InstanceId("c1");
  settings.failure_domain = DomainId("lahore");
  settings.listen_admin = "127.0.0.1:8";
  settings.platform_prefix = kPrefix;
  peers::Member member;
  member.record.instance = InstanceId("g1");
  member.record.domain = DomainId("lahore");
  member.record.admin_address = "127.0.0.1:9";
  member.number_in_force = 1;
  member.heard = TimePoint();
  peers::Member silent = member;
  silent.record.instance = InstanceId("g2");
  silent.record.state = peers::MemberState::kSuspect;
  silent.heard.reset();

  const json::value status = json::parse(StatusJson(
      settings, log, store.Execute(StatusQuery(kPrefix)), {member, silent},
      peers::ReachabilityLevel::kConnected, R"({"holds_lease":true})"));
  CHECK(status.at("number") == 1);
  CHECK(status.at("store") == "reached");
  const json::value& lahore = status.at("domains").at("lahore");
  CHECK(lahore.at("units") == 10);
  CHECK(lahore.at("unit_holders") == json::parse(R"({"g1": 7})"));
  CHECK(lahore.at("placement_lease") == "c1/77");
  CHECK(lahore.at("ready") == json::parse(R"({"m:1": ["s1"]})"));
  CHECK(lahore.at("servers").at("s1").at("reserved_bytes") == 610);
  CHECK(lahore.at("instances") == json::parse(R"([
    {"instance": "c1", "admin": "127.0.0.1:8", "listed": "", "state": "this",
     "number": 1},
    {"instance": "g1", "admin": "127.0.0.1:9", "listed": "leaving",
     "state": "alive", "number": 1},
    {"instance": "g2", "admin": "127.0.0.1:9", "listed": "",
     "state": "suspect"}])"));

  const json::value unreachable = json::parse(
      StatusJson(settings, log, Fail(ErrorCode::kUnavailable, "away"), {},
                 peers::ReachabilityLevel::kStoreUnreachableEverywhere, "{}"));
  CHECK(status.at("placement").at("holds_lease") == true);
  CHECK(unreachable.at("store") == "away");
  CHECK(unreachable.at("domains").at("lahore").at("placement_lease") == "");
}

}  // namespace
}  // namespace figwell::controller
