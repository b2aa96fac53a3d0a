#include "admin_fixture.h"
#include "figwell/testing.h"

namespace figwell::admin {
namespace {

/** Records the response; a second one fails the test. */
class FakeExchange : public http::Exchange {
 public:
  explicit FakeExchange(http::Request request) : request_(std::move(request)) {}
  const http::Request& request() const override { return request_; }
  const std::string& client_address() const override { return address_; }
  void Send(http::Response response) override {
    REQUIRE_FALSE(answer.has_value());
    answer = std::move(response);
  }
  void StartStream(int, http::Headers) override {}
  void Write(std::string, std::function<void(bool)>) override {}
  void Finish() override {}
  void Abort() override {}
  void OnClosed(std::function<void()>) override {}

  std::optional<http::Response> answer;

 private:
  http::Request request_;
  std::string address_ = "127.0.0.1:1";
};

struct Fixture : AdminFixture {
  std::shared_ptr<FakeExchange> Call(const std::string& method,
                                     const std::string& target,
                                     http::Headers headers = {},
                                     std::string body = "",
                                     const std::string& token = kToken) {
    headers.Add("Authorization", "Bearer " + token);
    auto exchange = std::make_shared<FakeExchange>(
        http::Request{method, target, std::move(headers), std::move(body)});
    api.Handle(exchange);
    return exchange;
  }

  std::shared_ptr<FakeExchange> Patch(int base, const std::string& id,
                                      const std::string& body) {
    return Call("PATCH", "/v1/config",
                {{"If-Match", '"' + std::to_string(base) + '"'},
                 {"Idempotency-Key", id}},
                body);
  }
};

const std::string kPatch =
    R"({"domains":{"lahore":{"units":1}},"teams":{"t":{"rate":5}}})";

TEST_CASE("open calls need no token and all others do") {
  Fixture fixture;
  for (const char* path : {"/healthz", "/readyz", "/metrics"}) {
    CHECK(fixture.Call("GET", path, {}, "", "")->answer->status == 200);
  }
  fixture.ready = false;
  CHECK(fixture.Call("GET", "/readyz", {}, "", "")->answer->status == 503);
  for (const char* path : {"/v1/config", "/v1/status", "/v1/patches/a",
                           "/v1/history", "/nothing"}) {
    CHECK(fixture.Call("GET", path, {}, "", "wrong")->answer->status == 401);
  }
  CHECK(fixture.Call("GET", "/nothing")->answer->status == 404);
}

TEST_CASE(
    "each outcome of a patch has its status and its Figwell-Not-Run header") {
  Fixture fixture;
  const auto check = [](const std::shared_ptr<FakeExchange>& exchange,
                        int status, std::string_view not_run) {
    REQUIRE(exchange->answer);
    CHECK(exchange->answer->status == status);
    CHECK(exchange->answer->headers.Find("Figwell-Not-Run") == not_run);
  };
  check(fixture.Call("PATCH", "/v1/config", {}, kPatch), 428, "true");
  const auto accepted = fixture.Patch(0, "p1", kPatch);
  check(accepted, 200, "");
  CHECK(accepted->answer->headers.Find("ETag") == "\"1\"");
  check(fixture.Patch(0, "p1", kPatch), 200, "");
  check(fixture.Patch(0, "p2", kPatch), 412, "true");
  check(fixture.Patch(1, "p1", kPatch), 422, "true");
  const auto invalid =
      fixture.Patch(1, "p3", R"({"teams":{"t":{"rate":-1,"x":1}}})");
  check(invalid, 422, "true");
  CHECK(invalid->answer->body.find("teams.t.rate") != std::string::npos);
  CHECK(invalid->answer->body.find("teams.t.x") != std::string::npos);

  fixture.fault = ErrorCode::kUnavailable;
  const auto not_run = fixture.Patch(1, "p4", kPatch);
  CHECK_FALSE(not_run->answer);
  fixture.AdvanceTime(versions::PatchAcceptor::kDeadline);
  check(not_run, 503, "true");
  check(fixture.Call("GET", "/v1/patches/p4"), 503, "true");

  fixture.fault = ErrorCode::kUnknownOutcome;
  const auto unknown = fixture.Patch(1, "p5", kPatch);
  fixture.AdvanceTime(versions::PatchAcceptor::kDeadline);
  check(unknown, 504, "unknown");
  CHECK(unknown->answer->body.find("p5") != std::string::npos);
}

TEST_CASE("the configuration, a patch's outcome and the history can be read") {
  Fixture fixture;
  fixture.Patch(0, "p1", kPatch);
  const auto shown = fixture.Call("GET", "/v1/config");
  CHECK(shown->answer->headers.Find("ETag") == "\"1\"");
  CHECK(config::ParseConfiguration(shown->answer->body, 1) ==
        *fixture.log.InForce());
  CHECK(fixture.Call("GET", "/v1/patches/p1")->answer->body ==
        R"({"id":"p1","accepted":true,"present":1,"number":1})");
  CHECK(fixture.Call("GET", "/v1/patches/p2")->answer->body ==
        R"({"id":"p2","accepted":false,"present":1})");
  const std::string history = fixture.Call("GET", "/v1/history")->answer->body;
  CHECK(history.find(R"("author":"amina")") != std::string::npos);
  fixture.fault = ErrorCode::kUnavailable;
  const auto stale = fixture.Call("GET", "/v1/config");
  CHECK(stale->answer->status == 200);
  CHECK(stale->answer->headers.Contains("Warning"));
}

TEST_CASE("a denial needs a digest and no store") {
  Fixture fixture;
  fixture.fault = ErrorCode::kUnavailable;
  const Digest digest = Sha256("a key");
  const std::string body = R"({"sha256":")" + ToHex(digest) + "\"}";
  CHECK(fixture.Call("POST", "/v1/deny", {}, body)->answer->status == 200);
  CHECK(fixture.denied == std::vector<Digest>{digest});
  for (const char* bad : {"", "[]", R"({"sha256":1})", R"({"sha256":"12"})"}) {
    CHECK(fixture.Call("POST", "/v1/deny", {}, bad)->answer->status == 422);
  }
  CHECK(fixture.denied.size() == 1);
}

}  // namespace
}  // namespace figwell::admin
