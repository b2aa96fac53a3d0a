#include "figwell/serving/admission.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

Route StreamingRoute(Duration target) {
  Route route;
  route.kind = RequestKind::kStreaming;
  route.latency_target = target;
  return route;
}

Choice MakeChoice(Duration wait, Duration work) {
  Choice choice;
  choice.wait = wait;
  choice.work = work;
  choice.expected = wait + work;
  return choice;
}

TEST_CASE("a request that cannot meet the caller's deadline is refused") {
  const Choice choice = MakeChoice(milliseconds(900), milliseconds(200));
  CHECK(Admit(StreamingRoute(milliseconds(5'000)), choice, {},
              milliseconds(1'000)) == Admission::kRefuseHopeless);
}

TEST_CASE("a stream that would be late behind a queue is refused") {
  const Route route = StreamingRoute(milliseconds(800));
  const Duration deadline = milliseconds(5'000);
  CHECK(Admit(route, MakeChoice(milliseconds(300), milliseconds(100)), {},
              deadline) == Admission::kSend);
  CHECK(Admit(route, MakeChoice(milliseconds(900), milliseconds(100)), {},
              deadline) == Admission::kRefuseLate);
  // A large prompt on an idle server delays nobody by being late.
  CHECK(Admit(route, MakeChoice(milliseconds(10), milliseconds(900)), {},
              deadline) == Admission::kSend);
}

TEST_CASE("a long latency target admits a request behind a long queue") {
  CHECK(Admit(StreamingRoute(milliseconds(6'000)),
              MakeChoice(milliseconds(3'000), milliseconds(100)), {},
              milliseconds(15'000)) == Admission::kSend);
}

TEST_CASE("short targets go first, and among them lower ranks") {
  Route short_target = StreamingRoute(milliseconds(800));
  const Route long_target = StreamingRoute(milliseconds(6'000));
  const int urgent = ServerPriority(short_target);
  CHECK(urgent < ServerPriority(long_target));
  short_target.rank = 1;
  CHECK(urgent < ServerPriority(short_target));
  CHECK(ServerPriority(short_target) < ServerPriority(long_target));
}

TEST_CASE(
    "Retry-After for load lasts until the queue is shorter, within bounds") {
  CHECK(RetryAfterForLoad(milliseconds(400), milliseconds(3'000)) ==
        Duration(milliseconds(400)));
  CHECK(RetryAfterForLoad(milliseconds(4'000), milliseconds(3'000)) ==
        Duration(milliseconds(1'000)));
  CHECK(RetryAfterForLoad({}, milliseconds(3'000)) == kMinRetryAfter);
}

TEST_CASE("Retry-After for a missing model lasts until it can be loaded") {
  const MissingTarget model{milliseconds(2'300), {}};
  const Duration retry_after = RetryAfterForMissing(model, milliseconds(8'000));
  CHECK(retry_after >= milliseconds(2'300));
  CHECK(retry_after <= milliseconds(2'600));
  // At most a third of the caller's remaining time.
  CHECK(RetryAfterForMissing(model, milliseconds(3'000)) ==
        Duration(milliseconds(1'000)));
  // An adapter loads quickly, unless no leader sends orders.
  CHECK(RetryAfterForMissing({}, milliseconds(8'000)) <= milliseconds(300));
  CHECK(RetryAfterForMissing({{}, milliseconds(2'000)}, milliseconds(8'000)) >=
        milliseconds(2'000));
}

TEST_CASE("a request waits for a permit until it would miss its target") {
  Route route;
  Choice choice;
  choice.expected = milliseconds(100);
  const auto wait = [&](int elapsed_ms, int remaining_ms) {
    return MaxPermitWait(route, choice, milliseconds(elapsed_ms),
                         milliseconds(remaining_ms));
  };
  CHECK(wait(50, 1'000) == milliseconds(900));
  route.latency_target = milliseconds(800);
  CHECK(wait(50, 5'000) == milliseconds(650));
  CHECK(wait(50, 300) == milliseconds(200));
  CHECK(wait(900, 5'000) == Duration{0});
  choice.unlimited_excess = milliseconds(30);
  CHECK(wait(50, 5'000) == milliseconds(30));
}

}  // namespace
}  // namespace figwell::serving
