#include <deque>
#include <map>

#include "figwell/serving/balancer.h"
#include "figwell/testing.h"

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

}  // namespace
}  // namespace figwell::serving
