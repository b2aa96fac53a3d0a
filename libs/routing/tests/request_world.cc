#include "request_world.h"

#include <algorithm>

namespace figwell::routing {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const config::ModelTarget kModel{ModelId("review"), VersionId("3"), {}};
const TeamId kTeam("drivers");
constexpr std::size_t kGateways = 3;
constexpr Duration kReportLag = milliseconds(1500);
const std::vector<std::string> kServers = {"l1", "l2", "m1", "m2"};

}  // namespace

RequestWorld::Gateway::Gateway(std::string name, std::uint64_t seed)
    : process(std::move(name)),
      balancer(DomainId("l"), seed),
      book(process, {}) {}

RequestWorld::RequestWorld(std::uint64_t seed) : random_(seed) {
  for (const std::string& name : kServers) {
    servers_[ServerId(name)];
  }
  gateways_.resize(kGateways);
  for (std::size_t i = 0; i < kGateways; ++i) {
    Restart(i);
  }
}

void RequestWorld::Expect(bool holds, const std::string& invariant) {
  if (!holds) {
    violations_.push_back(invariant);
  }
}

void RequestWorld::Restart(std::size_t index) {
  // The old process's calls may still reach the store; its requests are lost.
  ++started_;
  gateways_[index] = std::make_unique<Gateway>(
      std::string("process-").append(std::to_string(started_)), random_());
  Refresh(index);
}

void RequestWorld::Refresh(std::size_t index) {
  Gateway& gateway = *gateways_[index];
  config::Configuration configuration;
  FleetStatus news;
  const TimePoint measured_at =
      now_ - Duration(random_.Below(kReportLag.count()));
  for (const auto& [id, server] : servers_) {
    configuration.servers[id].failure_domain =
        DomainId(id.value().substr(0, 1));
    ServerReport& report = news.reports[id];
    report.incarnation = std::to_string(server.incarnation);
    report.measured_at = measured_at;
    report.ready = {kModel};
    report.outstanding_tokens = static_cast<std::int64_t>(random_.Below(9000));
    // The report shows the state at measured_at; the instance list may show the
    // current state.
    report.draining = server.leaving_at && *server.leaving_at <= measured_at;
    if (server.leaving_at && Chance(50)) {
      news.leaving.insert(id);
    }
  }
  gateway.view = std::make_shared<const FleetView>(configuration, news);
  gateway.balancer.SetFleet(now_, gateway.view);
  gateway.refreshed_at = now_;
}

void RequestWorld::Advance(Duration time) {
  now_ += time;
  for (const std::string& key : store_.Expire(now_)) {
    executions_of_key_.erase(key);
    CountEvent("claim expired");
  }
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    if (now_ - gateways_[i]->refreshed_at >= kFleetViewInterval) {
      Refresh(i);
    }
  }
}

void RequestWorld::ChangeServer() {
  auto server = servers_.begin();
  std::advance(server, random_.Below(servers_.size()));
  switch (random_.Below(3)) {
    case 0:
      server->second.up = !server->second.up;
      return;
    case 1:
      server->second.leaving_at = now_;
      return;
    default:
      server->second = {true, std::nullopt, server->second.incarnation + 1};
  }
}

void RequestWorld::NewRequest() {
  Request request;
  request.body = Chance(85) ? 0 : 1;
  request.traits.streamed = Chance(40);
  request.traits.resumable = request.traits.streamed && Chance(80);
  request.traits.idempotent = Chance(40);
  if (!request.traits.idempotent && Chance(80)) {
    request.key = std::to_string(random_.Below(4));
  }
  request.deadline = now_ + seconds(1 + random_.Below(60));
  requests_.push_back(request);
  const std::size_t number = requests_.size() - 1;
  const std::size_t index = random_.Below(kGateways);
  if (request.key.empty()) {
    Run(index, number, std::nullopt);
    return;
  }
  const std::string key =
      ClaimKey(ClaimPolicy().key_prefix, kTeam, request.key);
  bodies_of_key_[key].insert(request.body);
  Gateway& gateway = *gateways_[index];
  const ClaimId claim = gateway.book.Claim(now_, kTeam, request.key,
                                           Sha256(std::to_string(request.body)),
                                           request.deadline);
  gateway.claiming.emplace(claim, number);
}

void RequestWorld::StepBook(std::size_t index) {
  Gateway& gateway = *gateways_[index];
  ClaimActions actions = gateway.book.Step(now_);
  for (const ClaimAnswer& answer : actions.answers) {
    ApplyAnswer(gateway, answer);
  }
  if (actions.needs_lease && !store_down_) {
    gateway.book.SetLease(store_.Grant(now_ + kClaimLeaseTtl), now_);
  }
  if (actions.store_call) {
    calls_.push_back({index, gateway.process, *actions.store_call});
  }
}

void RequestWorld::ApplyAnswer(Gateway& gateway, const ClaimAnswer& answer) {
  const auto waiting = gateway.claiming.find(answer.claim);
  Expect(waiting != gateway.claiming.end(), "each claim gets one answer");
  if (waiting == gateway.claiming.end()) {
    return;
  }
  const std::size_t number = waiting->second;
  gateway.claiming.erase(waiting);
  Request& request = requests_[number];
  CountEvent(std::string("claim ").append(Name(answer.verdict)));
  switch (answer.verdict) {
    case ClaimVerdict::kDispatch:
      gateway.granted.emplace_back(answer.claim, number);
      return;
    case ClaimVerdict::kReplay:
      CheckReplay(request, answer);
      return;
    case ClaimVerdict::kConflict: {
      const std::string key =
          ClaimKey(ClaimPolicy().key_prefix, kTeam, request.key);
      Expect(bodies_of_key_[key].size() > 1,
             "a conflict needs two bodies with one key");
      request.refused_not_run = true;
      return;
    }
    case ClaimVerdict::kNotRun:
      request.refused_not_run = true;
      return;
    case ClaimVerdict::kUnknown:
      return;
  }
}

void RequestWorld::CheckReplay(const Request& request,
                               const ClaimAnswer& answer) {
  Expect(answer.answer.body == request.key + "/" + std::to_string(request.body),
         "a repeat gets the answer to its own key and body");
}

void RequestWorld::CompleteStoreCall() {
  if (calls_.empty()) {
    return;
  }
  const std::size_t picked = random_.Below(calls_.size());
  const Call call = calls_[picked];
  calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(picked));
  const std::uint64_t outcome_percent =
      store_down_ ? 60 + random_.Below(40) : random_.Below(100);
  Result<store::TransactionResult> result =
      Fail(ErrorCode::kUnknownOutcome, "lost");
  if (outcome_percent < 70) {
    result = store_.Execute(call.call.transaction);
    if (outcome_percent >= 60) {
      result = Fail(ErrorCode::kUnknownOutcome, "answer lost");
      CountEvent("store answer lost");
    }
  } else if (outcome_percent < 80) {
    result = Fail(ErrorCode::kUnavailable, "refused");
  } else if (outcome_percent < 90) {
    delayed_writes_.push_back(call.call.transaction);
  }
  Gateway& gateway = *gateways_[call.gateway];
  if (gateway.process == call.process) {
    gateway.book.OnStoreResult(now_, call.call.call, result);
    StepBook(call.gateway);
  }
}

void RequestWorld::DispatchGranted(std::size_t index) {
  Gateway& gateway = *gateways_[index];
  if (gateway.granted.empty()) {
    return;
  }
  const auto [claim, number] = gateway.granted.front();
  gateway.granted.pop_front();
  if (Chance(5)) {
    CountEvent("crashed between claim and dispatch");
    Restart(index);
    return;
  }
  if (!gateway.book.TryDispatch(now_, claim)) {
    requests_[number].refused_not_run = true;
    CountEvent("claim dispatched too late");
    return;
  }
  if (Run(index, number, claim)) {
    StepBook(index);
  }
}

void RequestWorld::Step() {
  switch (random_.Below(16)) {
    case 0:
      ChangeServer();
      break;
    case 1:
      Restart(random_.Below(kGateways));
      break;
    case 2:
      store_down_ = Chance(30);
      break;
    case 3:
      if (!delayed_writes_.empty()) {
        static_cast<void>(store_.Execute(delayed_writes_.back()));
        delayed_writes_.pop_back();
        CountEvent("delayed store write");
      }
      break;
    case 4:
      Advance(Chance(4) ? Duration(hours(1 + random_.Below(30)))
                        : Duration(seconds(random_.Below(40))));
      break;
    case 5:
    case 6:
    case 7:
      NewRequest();
      break;
    case 8:
    case 9:
    case 10:
      CompleteStoreCall();
      break;
    case 11:
    case 12:
      DispatchGranted(random_.Below(kGateways));
      break;
    default:
      Advance(milliseconds(random_.Below(400)));
      StepBook(random_.Below(kGateways));
  }
}

void RequestWorld::Settle() {
  store_down_ = false;
  for (int round = 0; round < 60; ++round) {
    for (std::size_t i = 0; i < kGateways; ++i) {
      DispatchGranted(i);
      StepBook(i);
    }
    while (!calls_.empty()) {
      CompleteStoreCall();
    }
    Advance(seconds(10));
  }
  for (const auto& gateway : gateways_) {
    Expect(gateway->claiming.empty(), "each claim is answered in the end");
    Expect(gateway->book.size() == gateway->granted.size(),
           "only undispatched claims remain in the book");
  }
}

}  // namespace figwell::routing
