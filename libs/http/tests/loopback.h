#ifndef FIGWELL_HTTP_TESTS_LOOPBACK_H_
#define FIGWELL_HTTP_TESTS_LOOPBACK_H_

/** A server and a client that the tests of exchanges share. */

#include <boost/asio.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "address.h"
#include "figwell/http.h"

namespace figwell::http {

/** A server and a client on loopback, run by one thread. */
struct Loopback {
  Loopback(ServerLimits limits, std::function<void(ExchangePtr)> on_request)
      : server(context, limits,
               {std::move(on_request),
                [this](RejectReason reason) {
                  refused.push_back(reason);
                  return JsonResponse(400, "{}");
                }}),
        client(context, {}) {
    address = server.Listen("127.0.0.1:0").value();
  }

  tl::expected<Response, ClientError> Fetch(const Request& request,
                                            CallLimits limits = {}) {
    std::optional<tl::expected<Response, ClientError>> outcome;
    client.Fetch(address, request, limits,
                 [&](auto result) { outcome = std::move(result); });
    while (!outcome) {
      context.run_one();
    }
    return *outcome;
  }

  /** Sends raw bytes and reads until the server closes. */
  std::string SendRaw(const std::string& bytes) {
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(ParseEndpoint(address).value());
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string answer;
    bool done = false;
    boost::asio::async_read(
        socket, boost::asio::dynamic_buffer(answer),
        [&](boost::system::error_code, std::size_t) { done = true; });
    while (!done) {
      context.run_one();
    }
    return answer;
  }

  boost::asio::io_context context;
  std::vector<RejectReason> refused;
  Server server;
  Client client;
  std::string address;
};

inline Request Post(std::string body) {
  Request request;
  request.method = "POST";
  request.target = "/echo?x=1";
  request.body = std::move(body);
  return request;
}

}  // namespace figwell::http

#endif  // FIGWELL_HTTP_TESTS_LOOPBACK_H_
