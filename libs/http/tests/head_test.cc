#include <functional>
#include <string>

#include "figwell/testing.h"
#include "loopback.h"

namespace figwell::http {
namespace {

// What a connection gets that sends `request`, then a GET after which the
// server closes.
std::string AnswersTo(const std::string& request,
                      const std::function<void(const ExchangePtr&)>& answer) {
  Loopback loopback({}, [&](const ExchangePtr& exchange) {
    if (exchange->request().target == "/last") {
      exchange->Send({200, {}, "last"});
    } else {
      answer(exchange);
    }
  });
  return loopback.SendRaw(
      request + "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
}

// Whether nothing is between the first answer's head and the second one.
bool EndsWithHead(const std::string& answers) {
  const std::size_t end = answers.find("\r\n\r\n") + 4;
  return answers.substr(end).starts_with("HTTP/1.1 200 OK\r\n") &&
         answers.ends_with("\r\n\r\nlast");
}

TEST_CASE("an answer that may have no body ends with its head") {
  struct Case {
    std::string method;
    int status;
  };
  for (const Case& each : {Case{"HEAD", 200}, Case{"HEAD", 503},
                           Case{"GET", 204}, Case{"GET", 304}}) {
    CAPTURE(each.method, each.status);
    const std::string request = each.method + " / HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK(EndsWithHead(AnswersTo(request, [&](const ExchangePtr& exchange) {
      exchange->Send(JsonResponse(each.status, "{\"a\":1}"));
    })));
    int written = 0;
    CHECK(EndsWithHead(AnswersTo(request, [&](const ExchangePtr& exchange) {
      exchange->StartStream(each.status, {});
      exchange->Write("piece", [&written, exchange](bool sent) {
        written += sent ? 1 : 0;
        exchange->Finish();
      });
    })));
    CHECK(written == 1);
  }
  // The method of one request says nothing about the next.
  const std::string both = AnswersTo(
      "HEAD / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
      [](const ExchangePtr& exchange) {
        exchange->Send({200, {}, "body"});
      });
  CHECK(both.find("\r\n\r\nbodyHTTP/1.1 200 OK") != std::string::npos);
}

}  // namespace
}  // namespace figwell::http
