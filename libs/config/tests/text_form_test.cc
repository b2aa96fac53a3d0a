#include "figwell/config.h"
#include "figwell/testing.h"

namespace figwell::config {
namespace {

constexpr std::string_view kValid = R"({
 "teams": {"drivers": {"rate": 2000, "burst": 20000, "models": ["review"],
   "services": ["desk"], "keys": {"k1": {"sha256":
   "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}}}},
 "models": {"review": {"versions": {"3": {"bytes": 600}}, "default_version": "3",
   "adapters": {"urdu": {"bytes": 50}}}},
 "servers": {"s1": {"failure_domain": "lahore", "address": "127.0.0.1:8100",
   "memory_bytes": 1000}},
 "services": {"desk": {"path": "/desk/", "servers": ["s1"],
   "idempotent": {"GET": true, "POST": false}}},
 "domains": {"lahore": {"region": "punjab", "units": 10}}})";

Configuration Valid() { return ParseConfiguration(kValid, 7).value(); }

TEST_CASE("a configuration reads back as it was written") {
  const Configuration configuration = Valid();
  CHECK(configuration.number == 7);
  CHECK(configuration.teams.at(TeamId("drivers")).rate == 2000);
  CHECK(configuration.policy == Policy());
  CHECK(ParseConfiguration(ToJson(configuration), 7) == configuration);
  CHECK(ParseConfiguration("{}", 0) == Configuration());
}

struct FaultCase {
  std::string_view patch;
  Findings findings;
};

TEST_CASE("every error in a patch is reported with its path") {
  const std::string id_rule =
      "is not an id of 1 to 128 letters, digits, '-', '_' and '.'";
  const std::vector<FaultCase> cases = {
      {"[]", {{"patch", "must be an object"}}},
      {R"({"team": {}})", {{"team", "is not a known field"}}},
      {R"({"teams": 3})", {{"teams", "must be an object"}}},
      {R"({"teams": {"drivers": {"rate": -1, "burts": 1, "burst": "x"}}})",
       {{"teams.drivers.burst", "must be a whole number"},
        {"teams.drivers.burts", "is not a known field"},
        {"teams.drivers.rate", "is -1, but must be from 0 to 1000000000000"}}},
      {R"({"teams": {"drivers": {"rate": 1.5, "weight": 0}}})",
       {{"teams.drivers.rate", "must be a whole number"},
        {"teams.drivers.weight", "is 0, but must be from 1 to 1000000000000"}}},
      {R"({"teams": {"drivers": {"models": ["gone"], "services": ["gone"]}}})",
       {{"teams.drivers.models", "names the model gone, which does not exist"},
        {"teams.drivers.services",
         "names the service gone, which does not exist"}}},
      {R"({"teams": {"drivers": {"models": ["review", "review"]}}})",
       {{"teams.drivers.models", "names review twice"}}},
      {R"({"teams": {"a b": {}}})", {{"teams.a b", id_rule}}},
      {R"({"teams": {"drivers": {"keys": {"k2": {"sha256": "12"}}}}})",
       {{"teams.drivers.keys.k2.sha256",
         "must be a SHA-256 digest of 64 hexadecimal digits"}}},
      {R"({"teams": {"x": {"keys": {"k": {"sha256":
        "00112233445566778899AABBCCDDEEFF00112233445566778899aabbccddeeff"}}}}})",
       {{"teams.x.keys.k.sha256", "is the same key as teams.drivers.keys.k1"}}},
      {R"({"models": {"review": {"default_version": "4", "max_tokens": 0}}})",
       {{"models.review.default_version",
         "must name one of the model's versions"},
        {"models.review.max_tokens",
         "is 0, but must be from 1 to 1000000000000"}}},
      {R"({"models": {"urdu": {"versions": {"1": {"bytes": 1}},
                               "default_version": "1"}}})",
       {{"models.review.adapters.urdu",
         "is ambiguous: a model has the same name"}}},
      {R"({"models": {"b": {"versions": {"1": {"bytes": 1}},
            "default_version": "1", "adapters": {"urdu": {"bytes": 1}}}}})",
       {{"models.review.adapters.urdu",
         "is ambiguous: models.b.adapters.urdu has the same name"}}},
      {R"({"models": {"big": {"versions": {"1": {"bytes": 400}},
                              "default_version": "1"}}})",
       {{"models.big.versions.1",
         "does not fit beside the other models: its 400 bytes are 50 bytes "
         "more than the largest room of any server"}}},
      {R"({"models": {"review": {"pool": "gpu"}}})",
       {{"models.review.versions.3",
         "does not fit beside the other models: its 650 bytes are 650 bytes "
         "more than the largest room of pool gpu"}}},
      {R"({"servers": {"s1": {"draining": true}}})",
       {{"models.review.versions.3",
         "does not fit beside the other models: its 650 bytes are 650 bytes "
         "more than the largest room of any server"}}},
      {R"({"servers": {"s2": {"failure_domain": "mars", "address": "host:1"},
                       "s3": {"failure_domain": "lahore",
                              "address": "127.0.0.1:8100"}}})",
       {{"servers.s2.address", "must be IP:PORT"},
        {"servers.s2.failure_domain",
         "names the domain mars, which does not exist"},
        {"servers.s3.address", "is also the address of servers.s1"}}},
      {R"({"services": {"fees": {"path": "/desk/fees/", "servers": ["gone"]},
                        "v": {"path": "/v1/x/"}, "w": {"path": "w"}}})",
       {{"services.fees.path", "overlaps services.desk.path"},
        {"services.fees.servers",
         "names the server gone, which does not exist"},
        {"services.v.path", "overlaps the models' API under /v1/"},
        {"services.v.servers", "must name at least one server"},
        {"services.w.path",
         "must begin and end with '/' and name something between"},
        {"services.w.servers", "must name at least one server"}}},
      {R"({"domains": {"lahore": {"units": 0}}})",
       {{"domains",
         "the units of all domains together are zero: no team could be given "
         "tokens"}}},
      {R"({"policy": {"fairness": 2, "isolation": "maybe",
                      "isolation_seconds": 0},
           "weight_store": {"loads_per_second": 0, "loads_at_once": 0}})",
       {{"policy.fairness", "must be from 0 to 1"},
        {"policy.isolation", "must be serve or refuse"},
        {"policy.isolation_seconds", "is 0, but must be from 1 to 86400"},
        {"weight_store.loads_at_once", "is 0, but must be from 1 to 1000000"},
        {"weight_store.loads_per_second", "must be above 0"}}},
  };
  const Configuration base = Valid();
  for (const FaultCase& fault : cases) {
    INFO(fault.patch);
    const auto outcome = ApplyPatch(base, fault.patch);
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == ErrorCode::kInvalid);
    Findings found = outcome.error().findings;
    std::sort(found.begin(), found.end());
    CHECK(FormatFindings(found) == FormatFindings(fault.findings));
  }
  CHECK(base == Valid());
  CHECK_FALSE(ApplyPatch(base, "{"));
}

TEST_CASE(
    "a merge patch changes the fields that it names, and null removes them") {
  const Configuration base = Valid();
  const auto next =
      ApplyPatch(base, R"({"teams": {"drivers": {"rate": null, "burst": 1e3,
                "keys": {"k1": null}}, "clerks": {"rate": 5}},
                "policy": {"isolation": "refuse"}})");
  REQUIRE(next);
  Configuration expected = base;
  expected.number = 8;
  expected.teams[TeamId("drivers")].rate = 0;
  expected.teams[TeamId("drivers")].burst = 1000;
  expected.teams[TeamId("drivers")].keys.clear();
  expected.teams[TeamId("clerks")].rate = 5;
  expected.policy.isolation = IsolationRule::kRefuse;
  CHECK(*next == expected);
}

TEST_CASE("a key is found by its digest until it is removed") {
  const Configuration base = Valid();
  const Digest digest =
      base.teams.at(TeamId("drivers")).keys.begin()->second.sha256;
  const KeyIndex index(base);
  REQUIRE(index.Find(digest) != nullptr);
  CHECK(*index.Find(digest) == KeyOwner{TeamId("drivers"), KeyId("k1")});
  CHECK(index.Find(Sha256("another")) == nullptr);
  const auto next =
      ApplyPatch(base, R"({"teams": {"drivers": {"keys": null}}})");
  CHECK(KeyIndex(next.value()).Find(digest) == nullptr);
}

TEST_CASE("the lookups resolve models, versions, adapters and services") {
  const Configuration base = Valid();
  const ModelId review("review");
  const VersionId three("3");
  CHECK(ResolveModel(base, "review") == ModelTarget{review, three, {}});
  CHECK(ResolveModel(base, "review:3") == ModelTarget{review, three, {}});
  CHECK(ResolveModel(base, "urdu") ==
        ModelTarget{review, three, AdapterId("urdu")});
  CHECK_FALSE(ResolveModel(base, "review:4"));
  CHECK_FALSE(ResolveModel(base, ""));
  REQUIRE(FindService(base, "/desk/fees") != nullptr);
  CHECK(FindService(base, "/desk/fees")->first == ServiceId("desk"));
  CHECK(FindService(base, "/desk") == nullptr);
}

}  // namespace
}  // namespace figwell::config
