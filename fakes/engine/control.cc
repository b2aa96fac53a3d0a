// The engine's control interface: orders, reports and cache events.

#include "engine.h"

namespace figwell::fakes {

namespace json = boost::json;

Engine::Engine(boost::asio::io_context& context, EngineOptions options)
    : context_(context),
      options_(std::move(options)),
      incarnation_(RandomHex(8)),
      memory_(options_.memory_bytes, options_.checks_fencing),
      report_timer_(context) {}

void Engine::OnRequest(const http::ExchangePtr& exchange) {
  const std::string path(http::PathOf(exchange->request().target));
  const json::value body = ParseBody(exchange->request());
  if (path == "/fault") {
    fault_ = ReadFault(body);
    exchange->Send(JsonAnswer(200, {{"fault", fault_.mode}}));
  } else if (path == "/drain") {
    draining_ = true;
    exchange->Send(JsonAnswer(200, {{"draining", true}}));
  } else if (path == "/orders") {
    OnOrder(exchange);
  } else if (path == "/report") {
    SendReport(exchange);
  } else if (path == "/cache-events") {
    SendCacheEvents(exchange);
  } else if (path == "/v1/resume") {
    OnResume(exchange);
  } else if (path.starts_with("/v1/")) {
    OnGenerate(exchange);
  } else {
    exchange->Send(JsonAnswer(404, {{"error", "no such path"}}));
  }
}

void Engine::OnOrder(const http::ExchangePtr& exchange) {
  if (fault_.Consume("lose_order")) {
    exchange->Abort();
    return;
  }
  const http::Request& request = exchange->request();
  const auto epoch =
      ParseInteger(request.headers.Find("Fencing-Epoch")).value_or(0);
  const auto order =
      ParseInteger(request.headers.Find("Fencing-Order")).value_or(0);
  if (!memory_.AcceptOrder(epoch, order)) {
    exchange->Send(JsonAnswer(409, {{"epoch", epoch}, {"order", order}}));
    return;
  }
  const json::value body = ParseBody(request);
  const ResidentKey key{GetText(body, "model"), GetText(body, "version"),
                        GetText(body, "adapter")};
  if (GetText(body, "action") == "unload") {
    memory_.Unload(key);
  } else {
    memory_.BeginLoad(key, GetNumber(body, "bytes"));
    const auto timer = std::make_shared<boost::asio::steady_timer>(
        context_, options_.load_time);
    timer->async_wait([this, timer, key](auto) { memory_.FinishLoad(key); });
  }
  if (fault_.Consume("lose_order_answer")) {
    exchange->Abort();
    return;
  }
  exchange->Send(JsonAnswer(202, {{"accepted", true}}));
}

json::object Engine::MakeReport() const {
  std::int64_t outstanding = 0;
  for (const RunPtr& run : running_) {
    outstanding += static_cast<std::int64_t>(run->generation->tokens.size() -
                                             run->next_token);
  }
  for (const RunPtr& run : queued_) {
    outstanding += static_cast<std::int64_t>(run->generation->tokens.size());
  }
  json::object report{{"incarnation", incarnation_},
                      {"age_ms", options_.report_lag.count()},
                      {"draining", draining_},
                      {"running", running_.size()},
                      {"queued", queued_.size()},
                      {"outstanding_tokens", outstanding},
                      {"generated", generated_tokens_},
                      {"requests", request_count_},
                      {"stale_orders", memory_.stale_orders()}};
  memory_.AddToReport(report);
  json::array headers;
  for (const std::string& header : received_headers_) {
    headers.emplace_back(header);
  }
  report["headers_seen"] = headers;
  return report;
}

void Engine::SendReport(const http::ExchangePtr& exchange) {
  if (options_.report_lag.count() == 0) {
    exchange->Send(JsonAnswer(200, MakeReport()));
    return;
  }
  // Returns the report that was made report_lag after the previous request.
  if (delayed_report_.empty()) {
    delayed_report_ = MakeReport();
  }
  exchange->Send(JsonAnswer(200, delayed_report_));
  report_timer_.expires_after(options_.report_lag);
  report_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      delayed_report_ = MakeReport();
    }
  });
}

void Engine::SendCacheEvents(const http::ExchangePtr& exchange) {
  const std::string& target = exchange->request().target;
  const std::size_t equals = target.find("after=");
  const auto after =
      equals == std::string::npos
          ? 0
          : ParseInteger(std::string_view{target}.substr(equals + 6))
                .value_or(0);
  json::array events;
  for (const json::value& event : cache_events_) {
    if (event.at("seq").as_int64() > after) {
      events.push_back(event);
    }
  }
  exchange->Send(JsonAnswer(200, {{"events", events}}));
}

}  // namespace figwell::fakes
