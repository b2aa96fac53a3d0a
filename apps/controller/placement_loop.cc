#include "placement_loop.h"

#include <boost/json.hpp>

namespace figwell::controller {
namespace {

constexpr std::chrono::milliseconds kReportTimeout{2'000};
constexpr std::chrono::milliseconds kOrderTimeout{5'000};
constexpr std::size_t kMaxReportBytes = 1'000'000;
constexpr std::size_t kMaxAnswerBytes = 4'096;
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusConflict = 409;

using FetchResult = tl::expected<http::Response, http::ClientError>;

Result<placement::ServerReport> DecodeReport(const FetchResult& result) {
  if (!result) {
    return Fail(ErrorCode::kUnavailable, result.error().message);
  }
  if (result->status != kStatusOk) {
    return Fail(ErrorCode::kProtocol,
                "the engine answered the report request with an error");
  }
  return placement::ReportFromJson(result->body);
}

http::Request MakeOrderRequest(const placement::Order& order) {
  boost::json::object body;
  body["action"] = placement::Name(order.action);
  body["model"] = order.item.model.value();
  body["version"] = order.item.version.value();
  body["adapter"] = order.item.adapter.value();
  body["bytes"] = order.bytes;
  http::Request request;
  request.method = "POST";
  request.target = "/orders";
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add("Fencing-Epoch", std::to_string(order.fencing.epoch));
  request.headers.Add("Fencing-Order", std::to_string(order.fencing.order));
  request.body = boost::json::serialize(body);
  return request;
}

placement::OrderAnswer DecodeOrderAnswer(const FetchResult& result) {
  if (!result) {
    return result.error().NothingWasSent() ? placement::OrderAnswer::kNotSent
                                           : placement::OrderAnswer::kUnknown;
  }
  switch (result->status) {
    case kStatusAccepted:
      return placement::OrderAnswer::kAccepted;
    case kStatusConflict:
      return placement::OrderAnswer::kStale;
    default:
      return placement::OrderAnswer::kUnknown;
  }
}

}  // namespace

EngineClient::EngineClient(boost::asio::io_context& context)
    : client_(context, http::ClientLimits{}) {}

void EngineClient::FetchReport(const std::string& address, OnReport on_report) {
  http::Request request;
  request.target = "/report";
  http::CallLimits limits;
  limits.head_timeout = kReportTimeout;
  limits.piece_timeout = kReportTimeout;
  limits.body_bytes = kMaxReportBytes;
  client_.Fetch(address, request, limits,
                [on_report = std::move(on_report)](const FetchResult& result) {
                  on_report(DecodeReport(result));
                });
}

void EngineClient::SendOrder(const placement::SendOrder& order,
                             std::function<bool()> may_send,
                             OnAnswer on_answer) {
  if (!order.confirm_incarnation) {
    Post(order, may_send, std::move(on_answer));
    return;
  }
  FetchReport(order.address,
              [this, order, may_send = std::move(may_send),
               on_answer = std::move(on_answer)](
                  const Result<placement::ServerReport>& report) {
                if (!report || report->incarnation != order.incarnation) {
                  on_answer(placement::OrderAnswer::kNotSent);
                  return;
                }
                Post(order, may_send, on_answer);
              });
}

void EngineClient::Post(const placement::SendOrder& order,
                        const std::function<bool()>& may_send,
                        OnAnswer on_answer) {
  if (!may_send()) {
    on_answer(placement::OrderAnswer::kNotSent);
    return;
  }
  http::CallLimits limits;
  limits.head_timeout = kOrderTimeout;
  limits.piece_timeout = kOrderTimeout;
  limits.body_bytes = kMaxAnswerBytes;
  client_.Fetch(order.address, MakeOrderRequest(order.order), limits,
                [on_answer = std::move(on_answer)](const FetchResult& result) {
                  on_answer(DecodeOrderAnswer(result));
                });
}

}  // namespace figwell::controller
