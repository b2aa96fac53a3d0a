#include <boost/asio/io_context.hpp>

#include "figwell/http.h"
#include "figwell/platform.h"
#include "figwell/testing.h"

namespace figwell::platform {
namespace {

using std::chrono::milliseconds;

const std::string kAnswer =
    R"({"header":{"revision":"3"},"succeeded":true,"responses":[]})";

/** How an endpoint handles its calls. */
enum class Behaviour {
  kAnswer,
  kAbort,
  kNoResponse,
  kBadRequest,
  kServerError,
  kGarbage
};

/** An endpoint that handles every call the same way and counts the calls. */
struct Endpoint {
  Endpoint(boost::asio::io_context& context, Behaviour behaviour)
      : server(
            context, {},
            {[this, behaviour](const http::ExchangePtr& call) {
               ++calls;
               HandleCall(call, behaviour);
             },
             [](http::RejectReason) { return http::JsonResponse(400, "{}"); }}),
        address(server.Listen("127.0.0.1:0").value()) {}

  void HandleCall(const http::ExchangePtr& call, Behaviour behaviour) {
    switch (behaviour) {
      case Behaviour::kAnswer:
        call->Send(http::JsonResponse(200, kAnswer));
        break;
      case Behaviour::kAbort:
        call->Abort();
        break;
      case Behaviour::kNoResponse:
        held_call = call;
        break;
      case Behaviour::kBadRequest:
        call->Send(http::JsonResponse(400, R"({"message":"too large"})"));
        break;
      case Behaviour::kServerError:
        call->Send(http::JsonResponse(503, R"({"message":"no leader"})"));
        break;
      case Behaviour::kGarbage:
        call->Send(http::JsonResponse(200, "?"));
        break;
    }
  }

  int calls = 0;
  http::ExchangePtr held_call;
  http::Server server;
  std::string address;
};

store::Transaction Write() {
  store::Transaction transaction;
  transaction.success.emplace_back(store::Put{"k", "v", 0});
  return transaction;
}

store::Transaction Read() {
  store::Transaction transaction;
  transaction.success.emplace_back(store::Range{"k", ""});
  return transaction;
}

EtcdOptions Options(std::vector<std::string> endpoints) {
  EtcdOptions options;
  options.endpoints = std::move(endpoints);
  options.answer_timeout = milliseconds(100);
  options.watch_idle_timeout = milliseconds(100);
  return options;
}

template <typename T>
Result<T> RunUntil(boost::asio::io_context& context,
                   std::optional<Result<T>>& result) {
  while (!result) {
    context.run_one();
  }
  return *result;
}

Result<store::TransactionResult> Execute(
    boost::asio::io_context& context, EtcdStore& etcd,
    const store::Transaction& transaction) {
  std::optional<Result<store::TransactionResult>> result;
  etcd.Execute(transaction, [&](auto outcome) { result = outcome; });
  return RunUntil(context, result);
}

TEST_CASE(
    "a failed call reports its outcome and is retried only if that is safe") {
  struct Case {
    Behaviour behaviour;
    std::optional<ErrorCode> write_error;
    int second_endpoint_calls;  // attempts of the write at the next endpoint
  };
  const std::vector<Case> cases = {
      {Behaviour::kAnswer, std::nullopt, 0},
      {Behaviour::kAbort, ErrorCode::kUnknownOutcome, 0},
      {Behaviour::kNoResponse, ErrorCode::kUnknownOutcome, 0},
      {Behaviour::kServerError, ErrorCode::kUnknownOutcome, 0},
      {Behaviour::kBadRequest, ErrorCode::kUnavailable, 0},
      {Behaviour::kGarbage, ErrorCode::kUnknownOutcome, 0},
  };
  for (const Case& test_case : cases) {
    INFO(static_cast<int>(test_case.behaviour));
    boost::asio::io_context context;
    Endpoint first(context, test_case.behaviour);
    Endpoint second(context, Behaviour::kAnswer);
    EtcdStore etcd(context, Options({first.address, second.address}));
    const auto write = Execute(context, etcd, Write());
    CHECK(write.has_value() == !test_case.write_error.has_value());
    if (test_case.write_error) {
      CHECK(write.error().code == *test_case.write_error);
    }
    CHECK(first.calls == 1);
    CHECK(second.calls == test_case.second_endpoint_calls);
    const auto read = Execute(context, etcd, Read());
    if (!read) {
      CHECK(read.error().code != ErrorCode::kUnknownOutcome);
    }
  }
}

TEST_CASE(
    "an unreachable endpoint is skipped and the next one is used from then "
    "on") {
  boost::asio::io_context context;
  std::string stopped_address;
  {
    Endpoint stopped(context, Behaviour::kAnswer);
    stopped_address = stopped.address;
  }
  Endpoint live(context, Behaviour::kAnswer);
  EtcdStore etcd(context, Options({stopped_address, live.address}));
  CHECK(Execute(context, etcd, Write())->revision == 3);
  CHECK(Execute(context, etcd, Write())->succeeded);
  CHECK(live.calls == 2);
  CHECK(etcd.SentCalls() == 3);
  EtcdStore single_endpoint(context, Options({stopped_address}));
  CHECK(Execute(context, single_endpoint, Write()).error().code ==
        ErrorCode::kUnavailable);
}

TEST_CASE("a watch joins pieces of messages, can be canceled and ends once") {
  boost::asio::io_context context;
  Endpoint endpoint(context, Behaviour::kNoResponse);
  EtcdStore etcd(context, Options({endpoint.address}));
  std::vector<Result<store::WatchBatch>> batches;
  const auto on_watch = [&](Result<store::WatchBatch> batch) {
    batches.push_back(std::move(batch));
  };
  etcd.Watch("a", "b", 2, on_watch);
  while (!endpoint.held_call) {
    context.run_one();
  }
  CHECK(endpoint.held_call->request().body.find("start_revision") !=
        std::string::npos);
  endpoint.held_call->StartStream(200, {});
  endpoint.held_call->Write(R"({"result":{"created":true}})"
                            "\n"
                            R"({"result":{"header":{"rev)",
                            [](bool) {});
  endpoint.held_call->Write("ision\":\"4\"},\"events\":[]}}\n", [](bool) {});
  while (batches.size() < 2) {
    context.run_one();
  }
  REQUIRE(batches[0]);
  CHECK(batches[0]->revision == 4);
  CHECK(batches[1].error().code == ErrorCode::kTimeout);

  endpoint.held_call = nullptr;
  const auto cancelled = etcd.Watch("a", "b", 0, on_watch);
  while (!endpoint.held_call) {
    context.run_one();
  }
  etcd.CancelWatch(cancelled);
  context.run_for(milliseconds(200));
  CHECK(batches.size() == 2);
}

TEST_CASE("renewing a lease that has ended fails with kNotFound") {
  boost::asio::io_context context;
  Endpoint endpoint(context, Behaviour::kAnswer);
  EtcdStore etcd(context, Options({endpoint.address}));
  std::optional<Result<std::chrono::seconds>> ttl;
  etcd.KeepLeaseAlive(5, [&](auto outcome) { ttl = outcome; });
  CHECK(RunUntil(context, ttl).error().code == ErrorCode::kNotFound);
  std::optional<Result<store::LeaseId>> revoked;
  etcd.RevokeLease(5, [&](auto outcome) { revoked = outcome; });
  CHECK(RunUntil(context, revoked).value() == 5);
}

}  // namespace
}  // namespace figwell::platform
