// PeerNode over real sockets on loopback.

#include <boost/asio/io_context.hpp>
#include <map>

#include "figwell/peers.h"
#include "figwell/testing.h"

namespace figwell::peers {
namespace {

/** Fails a test that waits forever; no check depends on its value. */
constexpr auto kTestTimeout = std::chrono::seconds(60);

struct Process {
  std::unique_ptr<PeerNode> node;
  std::string address;
  config::VersionNumber in_force = 0;
  std::vector<std::string> messages;
  std::map<InstanceId, std::string> payloads;
  std::set<Digest> denied;
  std::string patch;
};

class Loopback {
 public:
  Process& Start(const std::string& name, const std::string& domain,
                 std::vector<std::string> secrets = {"secret"}) {
    Process& process = processes_[name];
    process.node =
        std::make_unique<PeerNode>(context_,
                                   PeerSettings{.instance = InstanceId(name),
                                                .domain = DomainId(domain),
                                                .listen = "127.0.0.1:0",
                                                .admin_address = "127.0.0.1:1",
                                                .seeds = seeds_,
                                                .secrets = std::move(secrets),
                                                .incarnation = ++incarnation_,
                                                .random_seed = incarnation_},
                                   Callbacks(process));
    const auto address = process.node->Start();
    REQUIRE(address);
    process.address = *address;
    seeds_.push_back(*address);
    return process;
  }

  template <typename Condition>
  bool RunUntil(Condition&& condition) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context_.run_one_for(std::chrono::milliseconds(50));
    }
    return condition();
  }

 private:
  static PeerCallbacks Callbacks(Process& process) {
    const auto has_key = [](const Digest&) { return true; };
    PeerCallbacks callbacks;
    callbacks.read_store = [&process] {
      process.node->OnStoreAnswer(true, std::nullopt);
    };
    callbacks.apply = [&process, has_key](const ConfigurationUpdate& update) {
      const Patch& last =
          update.patches.empty() ? update.snapshot : update.patches.back();
      process.patch = last.bytes;
      process.in_force = last.number;
      process.node->SetInForce(last.number, has_key);
    };
    callbacks.snapshot = [&process] {
      return Patch{process.in_force, process.patch};
    };
    callbacks.message = [&process](const InstanceId&, std::uint16_t kind,
                                   std::string_view bytes) {
      process.messages.push_back(std::to_string(kind) + std::string(bytes));
    };
    callbacks.payload = [&process](const InstanceId& from,
                                   std::string_view bytes) {
      process.payloads[from] = bytes;
    };
    callbacks.denials = [&process](const std::set<Digest>& denied) {
      process.denied = denied;
    };
    return callbacks;
  }

  boost::asio::io_context context_;
  std::map<std::string, Process> processes_;
  std::vector<std::string> seeds_;
  std::uint64_t incarnation_ = 0;
};

std::size_t LiveMembers(const Process& process) {
  const auto members = process.node->Members();
  return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [](const Member& member) {
        return member.record.state == MemberState::kAlive;
      }));
}

TEST_CASE("nodes discover each other during a rotation of the secret") {
  Loopback loopback;
  const std::vector<std::string> before = {"old secret", "new secret"};
  const std::vector<std::string> after = {"new secret", "old secret"};
  Process& a = loopback.Start("a", "lahore", before);
  Process& b = loopback.Start("b", "lahore", after);
  Process& outsider = loopback.Start("c", "multan", {"another secret"});
  const auto bad_tags = [&a] {
    return a.node->counters()
        .dropped[static_cast<std::size_t>(DropReason::kBadTag)];
  };
  CHECK(loopback.RunUntil([&] {
    return LiveMembers(a) == 1 && LiveMembers(b) == 1 && bad_tags() > 0;
  }));
  CHECK(LiveMembers(outsider) == 0);
}

// A process that starts after the store lost the secret creates another one.
TEST_CASE("members that know a new secret connect those that know only one") {
  Loopback loopback;
  Process& a = loopback.Start("a", "lahore", {"old secret"});
  Process& b = loopback.Start("b", "lahore", {"old secret"});
  REQUIRE(loopback.RunUntil(
      [&] { return LiveMembers(a) == 1 && LiveMembers(b) == 1; }));
  a.node->AddSecret("new secret");
  Process& c = loopback.Start("c", "multan", {"new secret"});
  CHECK(loopback.RunUntil(
      [&] { return LiveMembers(a) == 2 && LiveMembers(c) == 2; }));
  REQUIRE(a.node->Send(InstanceId("b"), 4, "to b"));
  REQUIRE(a.node->Send(InstanceId("c"), 4, "to c"));
  REQUIRE(c.node->Send(InstanceId("a"), 4, "to a"));
  CHECK(loopback.RunUntil([&] {
    return !a.messages.empty() && !b.messages.empty() && !c.messages.empty();
  }));
  b.node->AddSecret("new secret");
  CHECK(loopback.RunUntil([&] {
    return b.node->Send(InstanceId("c"), 4, "from b").has_value() &&
           c.messages.back() == "4from b";
  }));
}

TEST_CASE("a patch, a snapshot, a denial and messages reach the other nodes") {
  Loopback loopback;
  Process& a = loopback.Start("a", "lahore");
  Process& b = loopback.Start("b", "lahore");
  Process& c = loopback.Start("c", "multan");
  REQUIRE(loopback.RunUntil([&] {
    return LiveMembers(a) == 2 && LiveMembers(b) == 2 && LiveMembers(c) == 2;
  }));

  const std::string large(2'000'000, 's');
  ConfigurationUpdate update;
  update.snapshot.number = 7;
  update.snapshot.bytes = large;
  update.patches.resize(1);
  update.patches[0].number = 8;
  update.patches[0].bytes = "patch";
  a.node->OfferUpdate(update);
  CHECK(loopback.RunUntil([&] { return b.in_force == 8 && c.in_force == 8; }));
  CHECK(c.patch == "patch");
  CHECK(loopback.RunUntil([&] { return c.node->IsCaughtUp(); }));

  REQUIRE(b.node->Deny(Sha256("key")));
  CHECK(loopback.RunUntil([&] {
    return a.denied.contains(Sha256("key")) && c.denied.contains(Sha256("key"));
  }));

  REQUIRE(a.node->SetPayload("levels"));
  REQUIRE(a.node->Send(InstanceId("c"), 4, "tokens"));
  CHECK(a.node->BroadcastInDomain(5, "all") == 1);
  CHECK(loopback.RunUntil([&] {
    return !c.messages.empty() && !b.messages.empty() &&
           c.payloads[InstanceId("a")] == "levels";
  }));
  CHECK(c.messages == std::vector<std::string>{"4tokens"});
  CHECK(b.messages == std::vector<std::string>{"5all"});
  CHECK(a.node->Send(InstanceId("x"), 4, "").error().code ==
        ErrorCode::kNotFound);
  CHECK(
      a.node->Send(InstanceId("c"), 4, std::string(2'000, 'x')).error().code ==
      ErrorCode::kTooLarge);

  b.node->Leave();
  b.node->Stop();
  CHECK(loopback.RunUntil(
      [&] { return LiveMembers(a) == 1 && LiveMembers(c) == 1; }));
}

TEST_CASE("invalid settings are refused") {
  boost::asio::io_context context;
  const PeerSettings good{.instance = InstanceId("a"),
                          .domain = DomainId("lahore"),
                          .listen = "127.0.0.1:0",
                          .secrets = {"secret"},
                          .incarnation = 1};
  for (const auto change : {0, 1, 2, 3, 4}) {
    PeerSettings bad = good;
    if (change == 0) {
      bad.listen = "nowhere";
    }
    if (change == 1) {
      bad.secrets.clear();
    }
    if (change == 2) {
      bad.secrets = {""};
    }
    if (change == 3) {
      bad.incarnation = 0;
    }
    if (change == 4) {
      bad.instance = InstanceId(std::string(65, 'a'));
    }
    INFO(change);
    CHECK(PeerNode(context, bad, {}).Start().error().code ==
          ErrorCode::kInvalid);
  }
}

}  // namespace
}  // namespace figwell::peers
