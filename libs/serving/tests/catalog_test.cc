#include "figwell/serving/catalog.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

Route MakeRoute(const std::string& id, const std::string& host,
                const std::string& prefix) {
  Route route;
  route.id = RouteId(id);
  route.host = host;
  route.path_prefix = prefix;
  route.shares.push_back({ServiceId("service"), 1});
  return route;
}

TEST_CASE("the longest prefix of the request's host selects the route") {
  CatalogParts parts;
  parts.routes = {MakeRoute("all", "a.example", "/"),
                  MakeRoute("deep", "a.example", "/x/y/"),
                  MakeRoute("shallow", "a.example", "/x/"),
                  MakeRoute("other", "b.example", "/x/y/z/")};
  const Catalog catalog(std::move(parts));
  const auto find = [&](std::string_view host, std::string_view path) {
    const Route* route = catalog.FindRoute(host, path);
    return route == nullptr ? "none" : route->id.value();
  };
  CHECK(find("a.example", "/x/y/z/1") == "deep");
  CHECK(find("a.example", "/x/1") == "shallow");
  CHECK(find("a.example", "/x") == "all");
  CHECK(find("b.example", "/x/y/1") == "none");
  CHECK(find("c.example", "/") == "none");
}

TEST_CASE("an API key selects its team if the configuration has both") {
  CatalogParts parts;
  TeamSpec team;
  team.id = TeamId("drivers");
  parts.teams.emplace(team.id, team);
  parts.team_of_key.emplace("good", TeamId("drivers"));
  parts.team_of_key.emplace("stray", TeamId("nobody"));
  const Catalog catalog(std::move(parts));
  REQUIRE(catalog.FindTeamOfKey("good") != nullptr);
  CHECK(catalog.FindTeamOfKey("good")->id == TeamId("drivers"));
  CHECK(catalog.FindTeamOfKey("bad") == nullptr);
  CHECK(catalog.FindTeamOfKey("stray") == nullptr);
  CHECK(catalog.FindTeamOfKey("") == nullptr);
}

TEST_CASE("traffic is split in proportion to the weights") {
  Route route;
  route.shares = {
      {ServiceId("a"), 90}, {ServiceId("none"), 0}, {ServiceId("b"), 10}};
  int to_b = 0;
  constexpr int kDraws = 1000;
  for (int i = 0; i < kDraws; ++i) {
    const ServiceId* service =
        ChooseService(route, static_cast<double>(i) / kDraws);
    REQUIRE(service != nullptr);
    CHECK(*service != ServiceId("none"));
    to_b += *service == ServiceId("b") ? 1 : 0;
  }
  CHECK(to_b == 100);
  route.shares.clear();
  CHECK(ChooseService(route, 0.5) == nullptr);
}

TEST_CASE("an adapter is named after a slash") {
  CHECK(ParseModelTarget("m") == ModelTarget{ModelId("m"), ""});
  CHECK(ParseModelTarget("m/a3") == ModelTarget{ModelId("m"), "a3"});
  CHECK(ParseModelTarget("") == ModelTarget{});
}

}  // namespace
}  // namespace figwell::serving
