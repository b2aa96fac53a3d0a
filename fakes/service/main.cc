// A fake of a service: executes every request and counts the executions by the
// `id` in the body, or by the target without one. `GET /executions` returns the
// counts and all headers and targets received. `POST /fault` makes the next
// requests fail: "die_before" and "die_after" abort the connection before and
// after the execution, "truncate" cuts the response off, "slow" delays it.

#include <map>
#include <set>

#include "fake.h"

namespace figwell::fakes {
namespace {

namespace json = boost::json;

class Service {
 public:
  explicit Service(boost::asio::io_context& context) : context_(context) {}

  void OnRequest(const http::ExchangePtr& exchange) {
    const std::string path(http::PathOf(exchange->request().target));
    if (path == "/fault") {
      fault_ = ReadFault(ParseBody(exchange->request()));
      exchange->Send(JsonAnswer(200, {{"fault", fault_.mode}}));
    } else if (path == "/executions") {
      exchange->Send(JsonAnswer(200, Report()));
    } else if (fault_.Consume("die_before")) {
      exchange->Abort();
    } else {
      Execute(exchange);
    }
  }

 private:
  void Execute(const http::ExchangePtr& exchange) {
    const http::Request& request = exchange->request();
    const std::string id = GetText(ParseBody(request), "id", request.target);
    const int count = ++executions_[id];
    for (const auto& field : request.headers.fields()) {
      headers_.insert(field.name + ": " + field.value);
    }
    targets_.insert(request.target);
    const json::value answer{
        {"id", id}, {"execution", count}, {"method", request.method}};
    http::Response response = JsonAnswer(200, answer);
    response.headers.Add("X-Request-Id",
                         std::string(request.headers.Find("X-Request-Id")));
    if (fault_.Consume("die_after")) {
      exchange->Abort();
    } else if (fault_.Consume("truncate")) {
      exchange->StartStream(200, response.headers);
      exchange->Write(response.body.substr(0, 5),
                      [exchange](bool) { exchange->Abort(); });
    } else if (fault_.Consume("slow")) {
      SendLater(exchange, response);
    } else {
      exchange->Send(response);
    }
  }

  void SendLater(const http::ExchangePtr& exchange,
                 const http::Response& response) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, std::chrono::milliseconds(fault_.delay_ms));
    timer->async_wait(
        [timer, exchange, response](auto) { exchange->Send(response); });
  }

  json::value Report() const {
    json::object counts;
    for (const auto& [id, count] : executions_) {
      counts[id] = count;
    }
    return {{"executions", counts},
            {"headers", json::array(headers_.begin(), headers_.end())},
            {"targets", json::array(targets_.begin(), targets_.end())}};
  }

  boost::asio::io_context& context_;
  std::map<std::string, int> executions_;
  std::set<std::string> headers_;
  std::set<std::string> targets_;
  Fault fault_{};
};

}  // namespace
}  // namespace figwell::fakes

int main(int argc, char** argv) {
  using namespace figwell::fakes;  // NOLINT(google-build-using-namespace)
  const auto values = ReadCommandLine(
      argc, argv,
      boost::program_options::options_description("figwell-fake-service"));
  boost::asio::io_context context;
  Service service(context);
  return Serve(context, values["listen"].as<std::string>(),
               [&](const auto& exchange) { service.OnRequest(exchange); });
}
