#include "traffic_thread.h"

namespace figwell::gateway {

namespace {

thread_local TrafficThread* current_thread = nullptr;

Refusal RefusalFor(http::RejectReason reason) {
  switch (reason) {
    case http::RejectReason::kBodyTooLarge:
    case http::RejectReason::kHeaderTooLarge:
      return Refusal::kRequestTooLarge;
    case http::RejectReason::kTooManyConnections:
    case http::RejectReason::kTooManyBytes:
      return Refusal::kOverloaded;
    default:
      return Refusal::kBadRequest;
  }
}

}  // namespace

TrafficThread::TrafficThread(SharedState& shared, std::string request_prefix)
    : work_(boost::asio::make_work_guard(context_)),
      shared_(shared),
      client_(context_, {}),
      admission_(context_, shared),
      state_{context_,
             client_,
             shared,
             admission_,
             /*snapshot=*/nullptr,
             /*fleet=*/nullptr,
             /*next_request=*/1,
             std::move(request_prefix),
             0},
      server_(context_, {},
              {[this](const http::ExchangePtr& exchange) {
                 std::make_shared<Session>(state_, exchange)->Start();
               },
               [this](http::RejectReason reason) { return Reject(reason); }}) {}

TrafficThread::~TrafficThread() { Stop(); }

http::Response TrafficThread::Reject(http::RejectReason reason) {
  shared_.metrics.registry
      .GetCounter("figwell_rejected_messages_total",
                  telemetry::Label("reason", Name(reason)))
      .Add();
  const Refusal refusal = RefusalFor(reason);
  shared_.metrics.Refused(refusal).Add();
  return MakeRefusal(refusal, NotRun::kCertain, Name(reason));
}

TrafficThread* TrafficThread::Current() { return current_thread; }

Result<std::string> TrafficThread::Listen(const std::string& address) {
  return server_.Listen(address);
}

void TrafficThread::Start(SnapshotPtr snapshot) {
  admission_.SetSnapshot(snapshot);
  state_.snapshot = std::move(snapshot);
  thread_ = std::thread([this] {
    current_thread = this;
    context_.run();
  });
}

void TrafficThread::Publish(SnapshotPtr snapshot) {
  Post([this, snapshot = std::move(snapshot)]() mutable {
    admission_.SetSnapshot(snapshot);
    state_.snapshot = std::move(snapshot);
  });
}

void TrafficThread::PublishFleet(routing::FleetViewPtr fleet) {
  Post([this, fleet = std::move(fleet)]() mutable {
    state_.fleet = std::move(fleet);
  });
}

void TrafficThread::Post(std::function<void()> work) {
  boost::asio::post(context_, std::move(work));
}

void TrafficThread::StopAccepting() {
  Post([this] {
    server_.StopAccepting();
    server_.CloseAfterAnswers();
  });
}

void TrafficThread::CountSessions(std::function<void(std::size_t)> on_count) {
  Post([this, on_count = std::move(on_count)] {
    on_count(state_.active_sessions);
  });
}

void TrafficThread::Stop() {
  if (thread_.joinable()) {
    context_.stop();
    thread_.join();
  }
}

}  // namespace figwell::gateway
