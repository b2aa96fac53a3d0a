#include <algorithm>

#include "request_world.h"

namespace figwell::routing {
namespace {

const config::ModelTarget kModel{ModelId("review"), VersionId("3"), {}};
const TeamId kTeam("drivers");
constexpr std::uint64_t kStreamEvents = 6;

}  // namespace

void RequestWorld::Execute(Request& request) {
  ++request.executions;
  Expect(!request.refused_not_run, "a request refused as not run never runs");
  Expect(request.traits.idempotent || request.executions <= 1,
         "a request that is not idempotent runs at most once");
  if (!request.key.empty()) {
    const std::string key =
        ClaimKey(ClaimPolicy().key_prefix, kTeam, request.key);
    Expect(++executions_of_key_[key] <= 1,
           "requests of one Idempotency-Key run at most once");
    CountEvent("executed under a claim");
  }
}

std::optional<RetryReason> RequestWorld::Stream(Request& request,
                                                Exchange& exchange,
                                                std::uint64_t from,
                                                bool complete) {
  // A faulty server resumes one event too early, or loses one.
  std::uint64_t number = from;
  if (from > 0 && Chance(20)) {
    --number;
  } else if (from > 0 && Chance(40)) {
    ++number;
  }
  const std::uint64_t end =
      complete ? kStreamEvents : from + random_.Below(kStreamEvents - from + 1);
  for (; number < end; ++number) {
    const EventVerdict verdict = exchange.OnEvent(number);
    if (verdict == EventVerdict::kGap) {
      CountEvent("event missing");
      return RetryReason::kTruncatedAnswer;
    }
    if (verdict == EventVerdict::kRelay) {
      request.events.push_back(number);
    }
  }
  const AnswerEnd last{std::nullopt, end, true, complete,
                       std::max(number, end)};
  return exchange.CheckEnd(last) == AnswerFault::kNone
             ? std::nullopt
             : std::optional(RetryReason::kTruncatedAnswer);
}

std::optional<std::pair<ExchangeStage, RetryReason>> RequestWorld::Attempt(
    Request& request, Exchange& exchange, const Server& server,
    const AttemptId& id, std::optional<std::uint64_t> resume_at) {
  using Break = std::pair<ExchangeStage, RetryReason>;
  if (!server.up) {
    return Break{ExchangeStage::kConnect, RetryReason::kConnectFailed};
  }
  // Rolls at or beyond kBeforeRelay mean that nothing fails.
  const auto stage = static_cast<ExchangeStage>(
      std::min<std::uint64_t>(random_.Below(14), kExchangeStages - 1));
  CountEvent(std::string("stage ").append(Name(stage)));
  if (stage < ExchangeStage::kFirstByteWritten) {
    return Break{stage, RetryReason::kConnectTimeout};
  }
  exchange.OnWriteStarted();
  const bool runs = stage >= ExchangeStage::kWritten || Chance(30);
  if (runs && !resume_at) {
    Execute(request);
  }
  if (stage < ExchangeStage::kAnswerHead) {
    return Break{stage, RetryReason::kConnectionLost};
  }
  const std::string echoed = Chance(90)   ? id.value()
                             : Chance(50) ? "other-1"
                                          : "";
  if (exchange.CheckHead(echoed) != AnswerFault::kNone) {
    CountEvent("answer crossed");
    return Break{ExchangeStage::kAnswerHead, RetryReason::kCrossedAnswer};
  }
  Expect(echoed == id.value(),
         "only the answer to the current attempt is relayed");
  if (stage == ExchangeStage::kAnswerHead) {
    return Break{stage, RetryReason::kConnectionLost};
  }
  const bool complete = stage == ExchangeStage::kBeforeRelay;
  if (request.traits.streamed) {
    const auto broken =
        Stream(request, exchange, resume_at.value_or(0), complete);
    return broken ? std::optional(Break{ExchangeStage::kMidAnswer, *broken})
                  : std::nullopt;
  }
  const AnswerEnd end{std::uint64_t{9}, complete ? 9U : random_.Below(9), true,
                      false};
  if (exchange.CheckEnd(end) != AnswerFault::kNone) {
    return Break{ExchangeStage::kMidAnswer, RetryReason::kTruncatedAnswer};
  }
  return std::nullopt;
}

void RequestWorld::CheckNoServer(const Gateway& gateway,
                                 const Exchange& exchange) {
  const std::vector<ServerId>& tried = exchange.TriedServers();
  const bool has_untried_server = std::any_of(
      gateway.view->Servers().begin(), gateway.view->Servers().end(),
      [&](const FleetServer& server) {
        return !server.leaving &&
               std::find(tried.begin(), tried.end(), server.id) == tried.end();
      });
  Expect(!has_untried_server,
         "a server that is not leaving and untried can be selected");
}

std::optional<Choice> RequestWorld::ChooseServer(
    Gateway& gateway, const Exchange& exchange,
    const std::optional<Choice>& resumed) {
  if (resumed) {
    return resumed;
  }
  const auto choice = gateway.balancer.Choose(
      now_, {kModel, 100, random_.Below(3)}, exchange.TriedServers());
  if (!choice) {
    CheckNoServer(gateway, exchange);
    return std::nullopt;
  }
  const Server& server = servers_.at(choice->Server().id);
  Expect(!server.leaving_at || now_ <= *server.leaving_at + kMaxLeavingDelay,
         "a leaving server gets no new work after the bound");
  return *choice;
}

bool RequestWorld::Run(std::size_t index, std::size_t number,
                       std::optional<ClaimId> claim) {
  Gateway& gateway = *gateways_[index];
  Request& request = requests_[number];
  gateway.budget.OnFreshRequest();
  Exchange exchange(RequestId(std::string("r").append(std::to_string(number))),
                    request.traits, request.deadline);
  ExchangeDecision next;
  next.action = ExchangeAction::kRetry;
  std::optional<Choice> choice;
  while (next.action == ExchangeAction::kRetry ||
         next.action == ExchangeAction::kResume) {
    const bool resumes = next.action == ExchangeAction::kResume;
    choice = ChooseServer(gateway, exchange, resumes ? choice : std::nullopt);
    if (!choice) {
      next = exchange.OnNoServer();
      break;
    }
    Expect(!resumes || next.resume_offset == request.events.size(),
           "a stream is resumed at the exact offset");
    const AttemptId id = exchange.Begin(choice->Server().id);
    const auto broken =
        Attempt(request, exchange, servers_.at(choice->Server().id), id,
                resumes ? std::optional(next.resume_offset) : std::nullopt);
    if (!resumes) {
      gateway.balancer.End(
          now_, *choice,
          broken ? OutcomeOf(broken->second) : AttemptOutcome::kSuccess);
    }
    if (Chance(4)) {
      CountEvent("crashed between dispatch and answer");
      Restart(index);
      return false;
    }
    next = broken
               ? exchange.OnBreak(now_, broken->first, broken->second,
                                  gateway.budget)
               : exchange.OnBreak(now_, ExchangeStage::kBeforeRelay,
                                  RetryReason::kConnectionLost, gateway.budget);
    CountEvent(std::string("then ").append(Name(next.action)));
  }
  EndRequest(gateway, request, claim, next.action, exchange);
  return true;
}

void RequestWorld::EndRequest(Gateway& gateway, Request& request,
                              std::optional<ClaimId> claim,
                              ExchangeAction action, const Exchange& exchange) {
  for (std::uint64_t i = 0; i < request.events.size(); ++i) {
    Expect(request.events[i] == i, "no event is lost or relayed twice");
  }
  if (action == ExchangeAction::kRelay) {
    request.answered = true;
    Expect(request.executions > 0, "an answer comes from an execution");
    Expect(!request.traits.streamed || request.events.size() == kStreamEvents,
           "a complete stream has every event");
    if (claim) {
      gateway.book.Finish(
          *claim, {200, "text/plain",
                   request.key + "/" + std::to_string(request.body), true});
    }
    return;
  }
  if (action == ExchangeAction::kRefuseNotRun) {
    request.refused_not_run = true;
    Expect(request.executions == 0, "a request refused as not run did not run");
  }
  if (claim) {
    if (exchange.CertainlyNotRun()) {
      gateway.book.Release(*claim);
    } else {
      gateway.book.Abandon(*claim);
    }
  }
}

}  // namespace figwell::routing
