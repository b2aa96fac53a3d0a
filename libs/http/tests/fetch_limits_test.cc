#include <boost/asio.hpp>

#include "figwell/http.h"
#include "figwell/testing.h"

// Guards against an answer that never ends: neither fast, so that it fills the
// memory, nor slowly, so that the call stays in flight.

namespace figwell::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// Sends an answer whose body consists of equal pieces without end.
class EndlessServer {
 public:
  EndlessServer(asio::io_context& context, std::size_t piece_bytes,
                milliseconds interval)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        socket_(context),
        timer_(context),
        piece_(piece_bytes, 'x'),
        interval_(interval) {
    acceptor_.async_accept(socket_, [this](const auto& error) {
      if (!error) {
        piece_.insert(0,
                      "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n");
        SendPiece();
      }
    });
  }

  std::string address() const {
    return std::string("127.0.0.1:")
        .append(std::to_string(acceptor_.local_endpoint().port()));
  }

 private:
  void SendPiece() {
    asio::async_write(socket_, asio::buffer(piece_),
                      [this](const auto& error, std::size_t) {
                        if (error) {
                          return;
                        }
                        piece_.erase(0, piece_.find('x'));
                        timer_.expires_after(interval_);
                        timer_.async_wait([this](const auto& cancelled) {
                          if (!cancelled) {
                            SendPiece();
                          }
                        });
                      });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string piece_;
  milliseconds interval_;
};

ClientError FetchEndless(std::size_t piece_bytes, milliseconds interval,
                         const CallLimits& limits) {
  asio::io_context context;
  EndlessServer server(context, piece_bytes, interval);
  Client client(context, {});
  std::optional<tl::expected<Response, ClientError>> result;
  client.Fetch(server.address(), Request{}, limits,
               [&](tl::expected<Response, ClientError> response) {
                 result = std::move(response);
               });
  while (!result) {
    context.run_one();
  }
  REQUIRE_FALSE(*result);
  return result->error();
}

TEST_CASE("an answer without end is aborted at its limit of bytes") {
  CallLimits limits;
  limits.body_bytes = 100'000;
  const ClientError error = FetchEndless(65'536, milliseconds(0), limits);
  CHECK(error.stage == Stage::kBody);
  CHECK_FALSE(error.timed_out);
}

TEST_CASE("an answer without end is aborted at its limit of time") {
  CallLimits limits;
  limits.total_timeout = milliseconds(50);
  const ClientError error = FetchEndless(1, milliseconds(5), limits);
  CHECK(error.stage == Stage::kBody);
  CHECK(error.timed_out);
}

}  // namespace
}  // namespace figwell::http
