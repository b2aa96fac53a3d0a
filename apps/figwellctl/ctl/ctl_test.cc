#include <boost/asio/io_context.hpp>
#include <fstream>

#include "admin_fixture.h"
#include "commands.h"
#include "figwell/testing.h"
#include "tables.h"

namespace figwell::ctl {
namespace {

/** Passes the request on and closes the connection instead of answering. */
class ResponseDroppingExchange : public http::Exchange {
 public:
  explicit ResponseDroppingExchange(http::ExchangePtr inner)
      : inner_(std::move(inner)) {}
  const http::Request& request() const override { return inner_->request(); }
  const std::string& client_address() const override {
    return inner_->client_address();
  }
  void Send(http::Response) override { inner_->Abort(); }
  void StartStream(int, http::Headers) override {}
  void Write(std::string, std::function<void(bool)>) override {}
  void Finish() override {}
  void Abort() override { inner_->Abort(); }
  void OnClosed(std::function<void()>) override {}

 private:
  http::ExchangePtr inner_;
};

enum class Loss { kNone, kRequest, kAnswer };

/** A controller on the loopback interface and a session with it. */
struct Fixture {
  Fixture()
      : server(context, {},
               {[this](const http::ExchangePtr& call) { Serve(call); },
                [](http::RejectReason) {
                  return http::JsonResponse(400, "{}");
                }}) {
    session_options.admin = server.Listen("127.0.0.1:0").value();
    session_options.token = admin::kToken;
    session_options.outcome_query_interval = std::chrono::milliseconds(1);
    session_options.max_outcome_queries = 3;
    session.emplace(context, session_options);
  }

  void Serve(const http::ExchangePtr& call) {
    const bool patches = call->request().method == "PATCH";
    if (patches && before_patch) {
      std::exchange(before_patch, nullptr)();
    }
    if (!patches || loss == Loss::kNone) {
      controller.api.Handle(call);
    } else if (loss == Loss::kAnswer) {
      controller.api.Handle(std::make_shared<ResponseDroppingExchange>(call));
    } else {
      call->Abort();
    }
  }

  Result<void> Run(const std::vector<std::string>& words,
                   const CommandOptions& options = {}) {
    out.str("");
    return RunCommand(words, options, *session, out);
  }

  // Accepts a patch of another operator, past the session.
  void AcceptOtherPatch(const std::string& id, const std::string& patch) {
    versions::PatchRequest request;
    request.id = PatchId(id);
    request.base = controller.log.Number();
    request.merge_patch = patch;
    controller.Submit(request, [](const auto&) {});
  }

  boost::asio::io_context context;
  admin::AdminFixture controller;
  http::Server server;
  SessionOptions session_options;
  std::optional<Session> session;
  std::ostringstream out;
  Loss loss = Loss::kNone;
  std::function<void()> before_patch;
};

CommandOptions VersionOptions(const std::string& version, std::int64_t bytes) {
  CommandOptions options;
  options.version = version;
  options.bytes = bytes;
  return options;
}

const std::string kBase = R"({"domains":{"d":{"units":1}},
  "servers":{"s":{"failure_domain":"d","address":"127.0.0.1:1",
                  "memory_bytes":1000}}})";

TEST_CASE("every command changes what it names and nothing else") {
  Fixture fixture;
  fixture.AcceptOtherPatch("base", kBase);
  CommandOptions team_options;
  team_options.rate = 10;
  team_options.burst = 100;
  const auto configuration = [&] { return *fixture.controller.log.InForce(); };
  REQUIRE(fixture.Run({"model", "offer", "review"}, VersionOptions("1", 100)));
  REQUIRE(fixture.Run({"model", "offer", "review"}, VersionOptions("2", 200)));
  REQUIRE(fixture.Run({"adapter", "offer", "review", "urdu"},
                      VersionOptions("", 5)));
  REQUIRE(fixture.Run({"team", "add", "drivers"}, team_options));
  team_options = {};
  team_options.models = "review,";
  REQUIRE(fixture.Run({"team", "set", "drivers"}, team_options));
  const config::Team team = configuration().teams.at(TeamId("drivers"));
  CHECK(team.rate == 10);
  CHECK(team.models == std::set<ModelId>{ModelId("review")});
  const config::Model model = configuration().models.at(ModelId("review"));
  CHECK(model.default_version == VersionId("1"));
  CHECK(model.versions.size() == 2);
  CHECK(model.adapters.size() == 1);

  REQUIRE(fixture.Run({"key", "issue", "drivers", "k1"}));
  const std::string key =
      fixture.out.str().substr(0, fixture.out.str().find('\n'));
  CHECK(key.starts_with("fw-"));
  CHECK(config::KeyIndex(configuration()).Find(Sha256(key)) != nullptr);
  CHECK(config::ToJson(configuration()).find(key) == std::string::npos);
  REQUIRE(fixture.Run({"key", "deny", "drivers", "k1"}));
  CHECK(fixture.controller.denied == std::vector<Digest>{Sha256(key)});
  REQUIRE(fixture.Run({"key", "withdraw", "drivers", "k1"}));
  CHECK(config::KeyIndex(configuration()).size() == 0);

  REQUIRE(fixture.Run({"adapter", "withdraw", "review", "urdu"}));
  REQUIRE(fixture.Run({"model", "withdraw", "review"}, VersionOptions("2", 0)));
  REQUIRE(fixture.Run({"team", "remove", "drivers"}));
  REQUIRE(fixture.Run({"model", "withdraw", "review"}));
  CHECK(configuration().models.empty());
  CHECK(configuration().teams.empty());
  REQUIRE(fixture.Run({"config", "history"}));
  CHECK(fixture.out.str().find("amina") != std::string::npos);
  REQUIRE(fixture.Run({"config", "show"}));
  CHECK(fixture.out.str().starts_with("version 12\n"));
  REQUIRE(fixture.Run({"status"}));
}

TEST_CASE("an invalid command changes nothing") {
  Fixture fixture;
  fixture.AcceptOtherPatch("base", kBase);
  const std::vector<std::vector<std::string>> cases = {
      {},
      {"team"},
      {"team", "add"},
      {"team", "frobnicate", "x"},
      {"team", "remove", "nobody"},
      {"team", "set", "nobody"},
      {"key", "issue", "nobody", "k"},
      {"key", "withdraw", "nobody", "k"},
      {"key", "deny"},
      {"model", "offer", "m"},
      {"model", "withdraw", "m"},
      {"adapter", "offer", "m", "a"},
      {"adapter", "withdraw", "m", "a"},
      {"config", "patch", "/nowhere"},
  };
  for (const auto& words : cases) {
    INFO(words.size() << ' ' << (words.empty() ? "" : words.back()));
    const auto done = fixture.Run(words);
    REQUIRE_FALSE(done);
    CHECK((done.error().code == ErrorCode::kInvalid ||
           done.error().code == ErrorCode::kNotFound));
  }
  CHECK(fixture.controller.log.Number() == 1);
  // A patch that fails validation returns its findings.
  const auto too_large =
      fixture.Run({"model", "offer", "m"}, VersionOptions("1", 1001));
  REQUIRE_FALSE(too_large);
  CHECK(too_large.error().findings.size() == 1);
}

TEST_CASE("the outcome of a patch whose answer is lost is queried by its id") {
  Fixture fixture;
  fixture.AcceptOtherPatch("base", kBase);
  fixture.loss = Loss::kAnswer;
  REQUIRE(fixture.Run({"team", "add", "a"}));
  CHECK(fixture.out.str() == "accepted as version 2\n");

  fixture.loss = Loss::kRequest;
  const auto unknown = fixture.Run({"key", "issue", "a", "k"});
  REQUIRE_FALSE(unknown);
  CHECK(unknown.error().code == ErrorCode::kUnknownOutcome);
  // The patch may still be accepted, so the key must be printed.
  CHECK(fixture.out.str().starts_with("fw-"));

  // Another operator's patch advances the version, so the lost patch can no
  // longer be accepted.
  fixture.before_patch = [&] {
    fixture.AcceptOtherPatch("other", R"({"teams":{"b":{}}})");
    fixture.loss = Loss::kRequest;
  };
  const auto overtaken = fixture.session->Patch(2, "mine", R"({})");
  REQUIRE_FALSE(overtaken);
  CHECK(overtaken.error().code == ErrorCode::kConflict);
}

TEST_CASE("a change is repeated after another operator's patch") {
  Fixture fixture;
  fixture.AcceptOtherPatch("base", kBase);
  fixture.before_patch = [&] {
    fixture.AcceptOtherPatch("other", R"({"teams":{"b":{}}})");
  };
  REQUIRE(fixture.Run({"team", "add", "a"}));
  CHECK(fixture.controller.log.InForce()->teams.size() == 2);
  // It fails if the change no longer fits: the other patch added the same team.
  fixture.before_patch = [&] {
    fixture.AcceptOtherPatch("third", R"({"teams":{"c":{}}})");
  };
  CHECK(fixture.Run({"team", "add", "c"}).error().code == ErrorCode::kInvalid);
}

TEST_CASE("the status and the history are formatted as tables") {
  CHECK(StatusTables(R"({"number":4,"store":"reached","domains":{"d":{
      "units":10,"unit_holders":{"a":3,"b":4},"servers":{"s":{}},
      "ready":{"m:1":["s"]},"placement_lease":"c/1","instances":[
      {"instance":"a","state":"alive","number":4,"admin":"x"}]}}})") ==
        "version 4  store reached\n\n"
        "DOMAIN  UNITS  HELD  SERVERS  READY MODELS  INSTANCES  PLACEMENT "
        "LEASE\n"
        "d       10     7     1        1             1          c/1\n\n"
        "INSTANCE  DOMAIN  STATE  IN FORCE  ADMIN\n"
        "a         d       alive  4         x\n");
  CHECK(HistoryTable(R"({"patches":[{"number":1,"id":"p","author":"amina",
      "accepted_at":86400,"patch":"{}"}]})") ==
        "NUMBER  TIME (UTC)           OPERATOR  ID  PATCH\n"
        "1       1970-01-02 00:00:00  amina     p   {}\n");
  CHECK(HistoryTable("not JSON").starts_with("NUMBER"));
}

TEST_CASE("a wrong token and an unreachable controller give different errors") {
  Fixture fixture;
  fixture.session_options.token = "wrong";
  Session wrong(fixture.context, fixture.session_options);
  CHECK(wrong.Get("/v1/status").error().code == ErrorCode::kUnauthorized);
  fixture.session_options.admin = "127.0.0.1:1";
  Session unreachable(fixture.context, fixture.session_options);
  CHECK(unreachable.Patch(0, "x", "{}").error().code ==
        ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace figwell::ctl
