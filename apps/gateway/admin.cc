#include "admin.h"

#include <boost/json.hpp>

namespace figwell::gateway {

namespace json = boost::json;

namespace {

constexpr std::string_view kBearer = "Bearer ";

http::Response Text(int status, std::string body) {
  return {
      status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

}  // namespace

Admin::Admin(const GatewayResources& resources, Control& control)
    : resources_(resources),
      control_(control),
      server_(
          resources.context, {},
          {[this](const http::ExchangePtr& exchange) { OnRequest(exchange); },
           [](http::RejectReason reason) {
             return Text(400, std::string(Name(reason)) + "\n");
           }}) {}

Result<std::string> Admin::Listen() {
  return server_.Listen(resources_.settings.listen_admin);
}

void Admin::OnRequest(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  const std::string_view path = http::PathOf(request.target);
  if (path == "/healthz") {
    exchange->Send(Text(200, "ok\n"));
  } else if (path == "/readyz") {
    exchange->Send(Ready());
  } else if (path == "/metrics") {
    exchange->Send(Text(200, resources_.registry.Render()));
  } else if (path == "/v1/status") {
    exchange->Send(Status(request));
  } else if (path == "/v1/deny") {
    exchange->Send(Deny(request));
  } else {
    exchange->Send(Text(404, "not found\n"));
  }
}

http::Response Admin::Ready() const {
  return control_.ready() ? Text(200, "ready\n") : Text(503, "not ready\n");
}

bool Admin::IsOperator(const http::Request& request) const {
  const std::string_view value = request.headers.Find("Authorization");
  return value.starts_with(kBearer) &&
         config::FindOperator(resources_.settings.operators,
                              value.substr(kBearer.size())) != nullptr;
}

http::Response Admin::Deny(const http::Request& request) {
  if (!IsOperator(request)) {
    return http::JsonResponse(401, R"({"error":"an operator's token"})");
  }
  boost::system::error_code error;
  const json::value body = json::parse(request.body, error);
  const auto* object = error ? nullptr : body.if_object();
  const auto* digest =
      object == nullptr ? nullptr : object->if_contains("sha256");
  const auto key = digest != nullptr && digest->is_string()
                       ? DigestFromHex(std::string_view{digest->get_string()})
                       : Result<Digest>(Fail(ErrorCode::kInvalid, ""));
  if (request.method != "POST" || !key) {
    return http::JsonResponse(400, R"({"error":"expected {\"sha256\": HEX}"})");
  }
  const auto denied = control_.Deny(*key);
  if (!denied) {
    return http::JsonResponse(503, R"({"error":"too many denials"})");
  }
  telemetry::Log(telemetry::Event::kKeyDenied,
                 "key denied through the admin API", {{"sha256", ToHex(*key)}});
  return http::JsonResponse(200, R"({"denied":true})");
}

http::Response Admin::Status(const http::Request& request) const {
  if (!IsOperator(request)) {
    return http::JsonResponse(401, R"({"error":"an operator's token"})");
  }
  json::object servers;
  for (const auto& [id, report] : control_.reports().fleet_state().reports) {
    json::array ready;
    for (const config::ModelTarget& target : report.ready) {
      ready.push_back(json::value(
          target.model.value() + ":" + target.version.value() +
          (target.adapter.empty() ? "" : "+") + target.adapter.value()));
    }
    servers[id.value()] = {{"draining", report.draining}, {"ready", ready}};
  }
  json::object members;
  for (const peers::Member& member : control_.peers().Members()) {
    members[member.record.instance.value()] = {
        {"failure_domain", member.record.domain.value()},
        {"state", Name(member.record.state)},
        {"number", member.number_in_force}};
  }
  const json::value status{
      {"instance", resources_.settings.instance.value()},
      {"failure_domain", resources_.settings.failure_domain.value()},
      {"number", control_.log().Number()},
      {"units", control_.budgets().share().units},
      {"reach", Name(control_.peers().GetReachability().reach)},
      {"members", members},
      {"servers", servers}};
  return http::JsonResponse(200, json::serialize(status));
}

}  // namespace figwell::gateway
