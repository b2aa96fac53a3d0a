#include <deque>
#include <map>

#include "figwell/serving/balancer.h"
#include "figwell/testing.h"
#include "one_model.h"

// Plays servers that differ in speed, for a while or for good: who gets the
// requests, and when a change is noticed.

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

const ServiceId kDesk("desk");
const DomainId kDomain("here");

TEST_CASE("what was learned of a slow server loses weight with its age") {
  AnswerTime time;
  const TimePoint start{std::chrono::hours(1)};
  CHECK(time.Expect(start, milliseconds(30)) == milliseconds(30));
  time.OnAnswer(start, milliseconds(120));
  CHECK(time.Expect(start, milliseconds(30)) == milliseconds(120));
  const TimePoint later = start + 3 * AnswerTime::kMemory;
  CHECK(time.Expect(later, milliseconds(30)) < milliseconds(36));
  time.OnAnswer(later, milliseconds(30));
  CHECK(time.Expect(later, milliseconds(30)) < milliseconds(36));
}

TEST_CASE("a fast server is expected to remain fast") {
  AnswerTime time;
  const TimePoint start{std::chrono::hours(1)};
  time.OnAnswer(start, milliseconds(20));
  CHECK(time.Expect(start + 10 * AnswerTime::kMemory, milliseconds(30)) ==
        milliseconds(20));
}

TEST_CASE("single slow answers have little effect while there are others") {
  AnswerTime time;
  TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 50; ++i) {
    time.OnAnswer(now += milliseconds(10), milliseconds(30));
  }
  time.OnAnswer(now += milliseconds(10), milliseconds(300));
  CHECK(time.Expect(now, milliseconds(30)) < milliseconds(60));
}

/** Servers with six slots each, first come first served, behind a balancer. */
class Desks {
 public:
  explicit Desks(int servers) : random_(7) {
    CatalogParts parts;
    parts.services.emplace(kDesk, ServiceSpec{kDesk, "/", 0, std::nullopt});
    catalog_.emplace(std::move(parts));
    for (int i = 0; i < servers; ++i) {
      BackendServer server;
      server.id = ServerId(std::string("s").append(std::to_string(i)));
      server.service = kDesk;
      server.domain = kDomain;
      server.slots = kSlots;
      directory_.Put(server);
    }
  }

  /** @return the share of the requests that the server gets in this time */
  double Share(const ServerId& watched, Duration duration,
               const std::map<ServerId, Duration>& times) {
    int sent = 0;
    int to_watched = 0;
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(1)) {
      Advance(times);
      if (random_.Unit() < kRequestsPerMs) {
        ++sent;
        to_watched += Send() == watched ? 1 : 0;
      }
    }
    return static_cast<double>(to_watched) / sent;
  }

 private:
  static constexpr int kSlots = 6;
  static constexpr double kRequestsPerMs = 0.19;
  static constexpr Duration kUsual = milliseconds(30);

  struct Running {
    AttemptNumber attempt = 0;
    TimePoint ends;
  };
  struct Server {
    std::vector<Running> running;
    std::deque<AttemptNumber> waiting;
  };

  ServerId Send() {
    RequestNeeds needs;
    needs.service = kDesk;
    const auto choice = balancer_.Choose(now_, *catalog_, directory_, needs);
    REQUIRE(choice);
    servers_[choice->server].waiting.push_back(
        balancer_.OnSent(now_, *choice, needs));
    return choice->server;
  }

  void Advance(const std::map<ServerId, Duration>& times) {
    for (auto& [id, server] : servers_) {
      for (const Running& running : server.running) {
        if (running.ends <= now_) {
          balancer_.OnFirstByte(now_, running.attempt);
          balancer_.OnEnd(now_, running.attempt, AttemptEnd::kAnswered);
        }
      }
      std::erase_if(server.running,
                    [&](const Running& r) { return r.ends <= now_; });
      const auto time = times.find(id);
      while (server.running.size() < kSlots && !server.waiting.empty()) {
        server.running.push_back(
            {server.waiting.front(),
             now_ + (time == times.end() ? kUsual : time->second)});
        server.waiting.pop_front();
      }
    }
  }

  Random random_;
  std::optional<Catalog> catalog_;
  Directory directory_;
  Balancer balancer_{kDomain, 1, milliseconds(3'000)};
  std::map<ServerId, Server> servers_;
  TimePoint now_{std::chrono::hours(1)};
};

// Without forgetting, the share stayed at 0.00 for as long as one looked.
TEST_CASE("a plain server that was slow for a while is used again") {
  const ServerId slow("s0");
  Desks desks(3);
  CHECK(desks.Share(slow, std::chrono::seconds(5), {}) > 0.2);
  const std::map<ServerId, Duration> times{{slow, milliseconds(120)}};
  desks.Share(slow, std::chrono::seconds(1), times);
  CHECK(desks.Share(slow, std::chrono::seconds(4), times) < 0.12);
  desks.Share(slow, std::chrono::seconds(6), {});
  CHECK(desks.Share(slow, std::chrono::seconds(5), {}) > 0.2);
}

TEST_CASE("between statements a server is expected at its usual pace") {
  const ServerId server("s");
  ServerPaces paces;
  TimePoint now{std::chrono::hours(1)};
  CHECK_FALSE(paces.IsUneven(kDesk));
  CHECK(paces.Pace(now, server) == 1);
  for (int i = 0; i < 20; ++i) {
    paces.OnStated(now += milliseconds(300), kDesk, server, 1.7);
  }
  CHECK(paces.IsUneven(kDesk));
  paces.OnStated(now, kDesk, server, 4.25);
  CHECK(paces.Pace(now, server) == 4.25);
  CHECK(paces.Pace(now + milliseconds(600), server) < 2.0);
  CHECK(paces.UsualPace(server) < 2.0);
}

TEST_CASE("usual paces are announced when they are new or have changed") {
  const ServerId server("s");
  ServerPaces paces;
  TimePoint now{std::chrono::hours(1)};
  CHECK(paces.OnStated(now, kDesk, server, 0.7) == 0.7);
  int announced = 0;
  for (int i = 0; i < 50; ++i) {
    announced +=
        paces.OnStated(now += milliseconds(100), kDesk, server, 0.7) ? 1 : 0;
  }
  CHECK(announced == 0);
  for (int i = 0; i < 50; ++i) {
    announced +=
        paces.OnStated(now += milliseconds(100), kDesk, server, 2.8) ? 1 : 0;
  }
  CHECK(announced >= 2);
  CHECK(announced <= 5);
}

TEST_CASE("a peer's announcement is used unless the server was heard here") {
  const ServerId server("s");
  ServerPaces paces;
  const TimePoint now{std::chrono::hours(1)};
  paces.OnPeerUsual(now, kDesk, server, 1.7);
  CHECK(paces.IsUneven(kDesk));
  CHECK(paces.Pace(now, server) == 1.7);
  paces.OnStated(now, kDesk, server, 0.7);
  const double own = paces.UsualPace(server);
  paces.OnPeerUsual(now + milliseconds(100), kDesk, server, 5);
  CHECK(paces.UsualPace(server) == own);
  paces.OnPeerUsual(now + std::chrono::seconds(10), kDesk, server, 5);
  CHECK(paces.UsualPace(server) == 5);
}

TEST_CASE("of two engines the one with the better pace is chosen") {
  const Catalog catalog = MakeOneModelCatalog();
  Directory directory;
  directory.Put(MakeModelServer(0));
  directory.Put(MakeModelServer(1));
  RequestNeeds needs;
  needs.service = kOnlyService;
  needs.target = kOnlyModel;
  needs.prompt_tokens = 2'000;
  Balancer balancer(kOnlyDomain, 1, milliseconds(3'000));
  const TimePoint now{std::chrono::hours(1)};
  const auto first = balancer.Choose(now, catalog, directory, needs);
  REQUIRE(first);
  CHECK_FALSE(balancer.paces().IsUneven(kOnlyService));
  balancer.OnReportedLoad(now, kOnlyService, first->server, {1, 0, 64, 2.5});
  const auto second = balancer.Choose(now, catalog, directory, needs);
  REQUIRE(second);
  CHECK(second->server != first->server);
  // The other one is slower still.
  balancer.OnReportedLoad(now, kOnlyService, second->server, {1, 0, 64, 4.0});
  CHECK(balancer.Choose(now, catalog, directory, needs)->server ==
        first->server);
}

}  // namespace
}  // namespace figwell::serving
