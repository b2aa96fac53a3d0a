#include <array>
#include <boost/asio.hpp>
#include <thread>

#include "figwell/http.h"
#include "figwell/testing.h"

// Covers a process that is frozen while it connects: the kernel completes the
// connection meanwhile, and all timers have expired when the process resumes.

namespace figwell::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kRequestValidity{20};
constexpr milliseconds kFreezeTime{60};

struct Outcome {
  std::optional<ClientError> error;
  std::string received;
};

std::string LoopbackAddress(const tcp::acceptor& acceptor) {
  std::string address("127.0.0.1:");
  address.append(std::to_string(acceptor.local_endpoint().port()));
  return address;
}

/** Starts a call and blocks the thread for `freeze_time` while it connects. */
Outcome SendAndFreeze(const CallLimits& limits, milliseconds freeze_time) {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
  Client client(context, {});
  Outcome outcome;
  bool answered = false;
  Request request;
  request.method = "POST";
  request.target = std::string("/order");
  request.body = "order";
  client.Fetch(LoopbackAddress(acceptor), request, limits,
               [&](const tl::expected<Response, ClientError>& response) {
                 answered = true;
                 if (!response) {
                   outcome.error = response.error();
                 }
               });
  context.run_one();  // starts to connect; the kernel continues by itself
  std::this_thread::sleep_for(freeze_time);
  tcp::socket accepted(context);
  acceptor.accept(accepted);
  std::array<char, 1'024> bytes{};
  accepted.async_read_some(
      asio::buffer(bytes),
      [&](const boost::system::error_code& error, std::size_t size) {
        outcome.received.assign(bytes.data(), size);
        if (!error) {
          constexpr std::string_view kAnswer =
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
          asio::write(accepted, asio::buffer(kAnswer));
        }
      });
  while (!answered) {
    context.run_one();
  }
  context.poll();
  return outcome;
}

TEST_CASE("a request is not written if it expires during a freeze") {
  CallLimits limits;
  limits.write_before = MonotonicNow() + kRequestValidity;
  const Outcome outcome = SendAndFreeze(limits, kFreezeTime);
  CHECK(outcome.received.empty());
  REQUIRE(outcome.error);
  CHECK(outcome.error->NothingWasSent());
}

TEST_CASE("a request without write_before is written after a freeze") {
  const Outcome outcome = SendAndFreeze({}, kFreezeTime);
  CHECK_FALSE(outcome.error);
  CHECK(outcome.received.ends_with("order"));
}

}  // namespace
}  // namespace figwell::http
