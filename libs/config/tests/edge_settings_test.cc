#include "figwell/config/edge_settings.h"

#include "figwell/testing.h"

namespace figwell::config {
namespace {

constexpr std::string_view kSettings = R"(
instance: "edge-1"
failure_domain: "lahore"
listen:
  callers: "10.1.0.25:8221"
  ready: "10.1.0.25:8224"
  metrics: "10.1.0.25:9464"
  peers: "10.1.0.25:7600"
store:
  address: "10.200.1.7:8225"
  history_s: 30
bounds:
  order_separation_ms: 3500
  retry_ratio: 0.25
  drain_notice_ms: 3000
  retry_window_s: 2.5
  registry_lag_s: 5
  held_answer_bytes: 4096
  stop_grace_s:
)";

TEST_CASE("settings of an edge are parsed, with defaults for missing ones") {
  const auto settings = ParseEdgeSettings(kSettings, "edge.yaml");
  REQUIRE(settings);
  CHECK(settings->instance == InstanceId("edge-1"));
  CHECK(settings->listen_peers == "10.1.0.25:7600");
  CHECK(settings->bounds.order_separation == std::chrono::milliseconds(3'500));
  CHECK(settings->bounds.retry_ratio == 0.25);
  CHECK(settings->bounds.drain_notice == std::chrono::milliseconds(3'000));
  CHECK(settings->bounds.retry_window == std::chrono::milliseconds(2'500));
  CHECK(settings->bounds.registry_lag == std::chrono::milliseconds(5'000));
  CHECK(settings->bounds.stop_grace == EdgeBounds().stop_grace);
  CHECK(settings->bounds.held_answer_bytes == 4'096);
  CHECK(settings->bounds.held_answers_bytes == EdgeBounds().held_answers_bytes);
  CHECK(settings->store_prefix == "figwell/");
  CHECK(settings->store_history == std::chrono::seconds(30));
}

TEST_CASE("every invalid setting of an edge is reported with its path") {
  const auto settings = ParseEdgeSettings(
      "instance: a\nlisten:\n  callers: nowhere\nbounds:\n"
      "  retry_ratio: much\n  stop_grace_s: -1\n  held_answer_bytes: 0\n"
      "what: 1\n",
      "edge.yaml");
  REQUIRE_FALSE(settings);
  std::string places;
  for (const Finding& finding : settings.error().findings) {
    places += finding.place + "\n";
  }
  for (const char* place :
       {"failure_domain", "listen.callers", "listen.ready", "store.address",
        "bounds.retry_ratio", "bounds.stop_grace_s", "bounds.held_answer_bytes",
        "what"}) {
    INFO(places);
    CHECK(places.find(place) != std::string::npos);
  }
}

}  // namespace
}  // namespace figwell::config
