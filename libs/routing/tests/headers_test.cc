#include <algorithm>
#include <set>

#include "figwell/routing.h"
#include "figwell/testing.h"

namespace figwell::routing {
namespace {

const std::string kKey = "fw-7Zq3.presented";
const std::string kOtherKey = "fw-other-team";
const AttemptId kAttempt("r1-1");

bool IsKnown(const Digest& digest) {
  return digest == Sha256(kKey) || digest == Sha256(kOtherKey);
}

std::optional<BackendHead> Send(const CallerHead& head, BackendKind kind) {
  return HeadForBackend(head, kind, kAttempt, IsKnown);
}

std::string Escape(const std::string& text) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string escaped;
  for (const char c : text) {
    escaped.append("%")
        .append(1, kDigits[static_cast<unsigned char>(c) / 16])
        .append(1, kDigits[static_cast<unsigned char>(c) % 16]);
  }
  return escaped;
}

std::string MixCase(std::string text, std::uint64_t bits) {
  for (char& c : text) {
    c = static_cast<char>((bits & 1U) != 0 ? std::toupper(c) : c);
    bits >>= 1U;
  }
  return text;
}

bool Leaks(const std::string& text) {
  const std::vector<std::string> keys = {kKey, kOtherKey};
  return std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
    return text.find(key) != std::string::npos ||
           text.find(Escape(key)) != std::string::npos;
  });
}

TEST_CASE("only allow-listed fields and parameters are passed on") {
  CallerHead head;
  head.target = "/desk/slots?day=3&api_key=x&note=a+b&TOKEN=y#z";
  head.headers = {{"Content-Type", "application/json"},
                  {"ACCEPT", "*/*"},
                  {"accept", "twice"},
                  {"Authorization", "Bearer " + kKey},
                  {"Cookie", "session=1"},
                  {"Host", "gateway"},
                  {"X-Forwarded-For", "10.0.0.1"},
                  {"Idempotency-Key", "booking-7"},
                  {"Accept-Language", "ur\r\n X-Api-Key: 1"},
                  {"X-Request-Id", "callers own"}};
  head.presented_key = kKey;
  const auto service = Send(head, BackendKind::kService);
  REQUIRE(service);
  CHECK(service->target == "/desk/slots?day=3&note=a+b");
  CHECK(service->headers ==
        std::vector<HeaderField>{{"x-request-id", "r1-1"},
                                 {"content-type", "application/json"},
                                 {"accept", "*/*"},
                                 {"idempotency-key", "booking-7"}});
  const auto engine = Send(head, BackendKind::kEngine);
  REQUIRE(engine);
  CHECK(engine->target == "/desk/slots");
  CHECK(engine->headers.size() == 3);
}

TEST_CASE("a request with a key in its path is refused") {
  for (const std::string& path :
       {"/desk/" + kKey, "/desk/" + Escape(kKey), "/desk/" + kOtherKey + "/x",
        "/desk/" + Escape(Escape(kOtherKey))}) {
    CAPTURE(path);
    CallerHead head;
    head.target = path;
    head.presented_key = kKey;
    CHECK_FALSE(Send(head, BackendKind::kService));
  }
}

TEST_CASE("no key reaches a server from any part of a request") {
  const std::vector<std::string> names = {
      "authorization", "x-api-key",  "proxy-authorization", "cookie",
      "accept",        "user-agent", "content-type",        "traceparent",
      "prefer",        "if-match",   "idempotency-key",     "tracestate",
      "x-request-id",  "te",         "accept-language",     "x-custom"};
  const std::vector<std::string> shapes = {
      "",   "Bearer ",  "Basic x ", "key=",       "a; session=",
      "\"", "a\r\n x ", "a\t",      "x,y;token=", "Token:"};
  testing::CheckSequences(3000, [&] {
    const auto pick = [](const std::vector<std::string>& from) {
      return *rc::gen::elementOf(from);
    };
    const auto secret = [&] {
      const std::string key = pick({kKey, kOtherKey});
      return pick(shapes) + pick({key, Escape(key), Escape(Escape(key))});
    };
    CallerHead head;
    head.presented_key = *rc::gen::arbitrary<bool>() ? kKey : std::string();
    head.target = "/desk/" + pick({"", "x"}) + "?" + pick({"day", "q", "KEY"}) +
                  "=" + pick({"1", secret()}) + "&" + pick({secret(), "n=2"}) +
                  pick({"", "#", "&&", "&" + secret()});
    const int fields = *rc::gen::inRange(1, 6);
    for (int i = 0; i < fields; ++i) {
      const std::string name =
          MixCase(pick(names), *rc::gen::arbitrary<std::uint64_t>());
      head.headers.push_back({name, secret()});
      head.trailers.push_back({pick({name, "accept"}), secret()});
    }
    head.headers.push_back({"Accept", "text/plain"});
    for (const BackendKind kind :
         {BackendKind::kEngine, BackendKind::kService}) {
      const auto sent = Send(head, kind);
      RC_ASSERT(sent.has_value());
      RC_ASSERT_FALSE(Leaks(sent->target));
      std::set<std::string> seen;
      for (const HeaderField& field : sent->headers) {
        RC_ASSERT_FALSE(Leaks(field.name + ": " + field.value));
        RC_ASSERT(seen.insert(field.name).second);
      }
      RC_ASSERT(seen.contains("accept"));
    }
  });
}

TEST_CASE("queued work of a key that was removed or moved is not dispatched") {
  config::Configuration configuration;
  const Digest digest = Sha256(kKey);
  const TeamId team("drivers");
  configuration.teams[team].keys[KeyId("k1")].sha256 = digest;
  CHECK(KeyBelongsToTeam(config::KeyIndex(configuration), digest, team));
  CHECK_FALSE(KeyBelongsToTeam(config::KeyIndex(configuration), digest,
                               TeamId("clerks")));
  configuration.teams[team].keys.clear();
  CHECK_FALSE(KeyBelongsToTeam(config::KeyIndex(configuration), digest, team));
}

}  // namespace
}  // namespace figwell::routing
