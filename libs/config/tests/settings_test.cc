#include "figwell/config.h"
#include "figwell/testing.h"

namespace figwell::config {
namespace {

const std::string kToken = "amina's token";

std::string Valid() {
  return R"(instance: lahore-1
failure_domain: lahore
region: punjab
platform:
  endpoints: [127.0.0.1:2379, "[::1]:2379"]
  prefix: /figwell/
listen:
  callers: 127.0.0.1:8080
  admin: 127.0.0.1:0
  peers: 127.0.0.1:7070
peers:
  seeds: [127.0.0.1:7071]
  secret_file: peers.secret
operators:
  - {name: amina, token_sha256: )" +
         ToHex(Sha256(kToken)) + R"(}
threads: 4
log: {level: warning, format: json}
)";
}

TEST_CASE("all settings are read") {
  const Settings settings =
      ParseSettings(Valid(), "s.yaml", Role::kGateway).value();
  CHECK(settings.instance == InstanceId("lahore-1"));
  CHECK(settings.platform_endpoints.size() == 2);
  CHECK(settings.listen_admin == "127.0.0.1:0");
  CHECK(settings.peer_secret_file == "peers.secret");
  CHECK(settings.threads == 4);
  CHECK(settings.log_level == LogLevel::kWarning);
  CHECK(settings.log_format == LogFormat::kJson);
  REQUIRE(FindOperator(settings.operators, kToken) != nullptr);
  CHECK(FindOperator(settings.operators, kToken)->name == OperatorId("amina"));
  CHECK(FindOperator(settings.operators, "") == nullptr);
  CHECK(LoadSettings("/nowhere/s.yaml", Role::kGateway).error().code ==
        ErrorCode::kNotFound);
}

TEST_CASE("every error in the settings is reported with its place") {
  struct FaultCase {
    std::string from;
    std::string to;
    std::string findings;
  };
  const std::vector<FaultCase> cases = {
      {"instance: lahore-1", "instanse: a",
       "s.yaml:1:1: instance: is missing\n"
       "s.yaml:1:1: instanse: is not a known field\n"},
      {"  callers: 127.0.0.1:8080\n", "",
       "s.yaml:8:3: listen.callers: is missing\n"},
      {"admin: 127.0.0.1:0", "admin: localhost:1",
       "s.yaml:9:10: listen.admin: must be IP:PORT\n"},
      {"[127.0.0.1:7071]", "[a, 127.0.0.1:0]",
       "s.yaml:12:10: peers.seeds: a is not IP:PORT\n"
       "s.yaml:12:10: peers.seeds: 127.0.0.1:0 is not IP:PORT\n"},
      {"[127.0.0.1:2379, \"[::1]:2379\"]", "[]",
       "s.yaml:5:14: platform.endpoints: must name at least one endpoint\n"},
      {"threads: 4", "threads: 0\nthreads: 1",
       "s.yaml:17:1: threads: stands twice\n"
       "s.yaml:16:10: threads: must be from 1 to 256\n"},
      {"threads: 4", "threads: many",
       "s.yaml:16:10: threads: must be a whole number\n"},
      {"level: warning, format: json", "level: loud, format: xml",
       "s.yaml:17:14: log.level: must be debug, info, warning or error\n"
       "s.yaml:17:28: log.format: must be text or json\n"},
      {"name: amina, token_sha256: " + ToHex(Sha256(kToken)),
       "token_sha256: 12",
       "s.yaml:15:5: operators.0.name: is missing\n"
       "s.yaml:15:20: operators.0.token_sha256: must be a SHA-256 digest of "
       "64 hexadecimal digits\n"},
      {"/figwell/", "/figwell",
       "s.yaml:6:11: platform.prefix: must end with '/' and hold a name\n"},
      {"region: punjab", "region: [a",
       "s.yaml:4:9: not YAML: end of sequence flow not found\n"},
  };
  for (const FaultCase& fault : cases) {
    INFO(fault.to);
    std::string text = Valid();
    text.replace(text.find(fault.from), fault.from.size(), fault.to);
    const auto settings = ParseSettings(text, "s.yaml", Role::kGateway);
    REQUIRE_FALSE(settings);
    CHECK(FormatFindings(settings.error().findings) == fault.findings);
  }
}

TEST_CASE("a controller needs no address for callers") {
  std::string text = Valid();
  const std::string line = "  callers: 127.0.0.1:8080\n";
  text.erase(text.find(line), line.size());
  CHECK(ParseSettings(text, "s.yaml", Role::kController));
}

}  // namespace
}  // namespace figwell::config
