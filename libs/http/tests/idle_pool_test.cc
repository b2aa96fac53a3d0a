#include <boost/asio.hpp>
#include <deque>

#include "figwell/http.h"
#include "figwell/testing.h"
#include "loopback.h"

namespace figwell::http {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// A client and servers at addresses of their own, run by one thread.
struct Fleet {
  Fleet(ClientLimits limits, std::size_t count) : client(context, limits) {
    for (std::size_t i = 0; i < count; ++i) {
      AddServer();
    }
  }

  void AddServer() {
    servers.emplace_back(
        context, ServerLimits{},
        ServerHandlers{[this](const ExchangePtr& exchange) {
                         callers.insert(exchange->client_address());
                         exchange->Send({200, {}, "x"});
                       },
                       [](RejectReason) { return JsonResponse(400, "{}"); }});
    addresses.push_back(servers.back().Listen("127.0.0.1:0").value());
  }

  void Fetch(std::size_t server) {
    bool done = false;
    client.Fetch(addresses.at(server), Post("body"), {},
                 [&](const auto& result) {
                   CHECK(result);
                   done = true;
                 });
    RunUntil([&] { return done; });
  }

  void RunUntil(const std::function<bool()>& done) {
    while (!done()) {
      context.run_one();
    }
  }

  asio::io_context context;
  std::set<std::string> callers;
  std::deque<Server> servers;
  std::vector<std::string> addresses;
  Client client;
};

// Servers that are replaced leave addresses that nothing calls again.
TEST_CASE("idle connections that servers closed are closed without a call") {
  Fleet fleet({}, 3);
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.Fetch(i);
  }
  CHECK(fleet.client.idle_connections() == 3);
  fleet.servers[0].CloseIdleConnections();
  fleet.servers[1].CloseIdleConnections();
  fleet.RunUntil([&] { return fleet.client.idle_connections() == 1; });
  fleet.Fetch(2);
  CHECK(fleet.callers.size() == 3);
}

TEST_CASE("idle connections whose time is over are closed without a call") {
  ClientLimits limits;
  limits.idle_timeout = milliseconds(100);
  Fleet fleet(limits, 2);
  fleet.Fetch(0);
  fleet.Fetch(1);
  CHECK(fleet.client.idle_connections() == 2);
  fleet.RunUntil([&] { return fleet.client.idle_connections() == 0; });
}

TEST_CASE("over the limit of all idle connections the oldest one is closed") {
  ClientLimits limits;
  limits.idle_connections = 2;
  Fleet fleet(limits, 3);
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.Fetch(i);
    CHECK(fleet.client.idle_connections() == std::min<std::size_t>(i + 1, 2));
  }
  fleet.Fetch(1);
  fleet.Fetch(2);
  CHECK(fleet.callers.size() == 3);
  fleet.Fetch(0);
  CHECK(fleet.callers.size() == 4);
}

TEST_CASE("a thousand servers that come and go leave few connections") {
  constexpr std::size_t kServers = 1'000;
  ClientLimits limits;
  limits.idle_connections = 25;
  Fleet fleet(limits, 0);
  for (std::size_t i = 0; i < kServers; ++i) {
    fleet.AddServer();
    fleet.Fetch(i);
    CHECK(fleet.client.idle_connections() <= limits.idle_connections);
    if (i % 2 == 0) {
      fleet.servers.back().StopAccepting();  // its connections stay open
    } else {
      fleet.servers.back().CloseIdleConnections();
    }
  }
}

TEST_CASE("idle connections can be closed for others, the oldest first") {
  Fleet fleet({}, 2);
  CHECK_FALSE(fleet.client.CloseOldestIdle());
  fleet.Fetch(0);
  fleet.Fetch(1);
  CHECK(fleet.client.CloseOldestIdle());
  fleet.Fetch(1);
  CHECK(fleet.callers.size() == 2);
  fleet.Fetch(0);
  CHECK(fleet.callers.size() == 3);
}

}  // namespace
}  // namespace figwell::http
