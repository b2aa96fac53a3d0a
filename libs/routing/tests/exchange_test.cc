#include <fstream>
#include <set>
#include <sstream>

#include "figwell/routing.h"
#include "figwell/testing.h"

namespace figwell::routing {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{seconds(1000)};
constexpr TimePoint kDeadline = kNow + seconds(30);
const RequestId kRequest("r1");
const ServerId kServer("l1");

RouteTraits TraitsOf(const FaultCell& cell) {
  return {cell.idempotent, cell.streamed, cell.streamed, true};
}

/** An exchange whose first attempt has reached the stage of `cell`. */
Exchange AttemptUpTo(const FaultCell& cell) {
  Exchange exchange(kRequest, TraitsOf(cell), kDeadline);
  exchange.Begin(kServer);
  if (cell.stage >= ExchangeStage::kFirstByteWritten) {
    exchange.OnWriteStarted();
  }
  if (cell.streamed && cell.stage >= ExchangeStage::kMidAnswer) {
    CHECK(exchange.OnEvent(std::nullopt) == EventVerdict::kRelay);
  }
  return exchange;
}

TEST_CASE("the fault table has each cell once, in order") {
  std::size_t index = 0;
  for (std::size_t stage = 0; stage < kExchangeStages; ++stage) {
    for (const bool idempotent : {true, false}) {
      for (const bool streamed : {false, true}) {
        const FaultCell& cell = kFaultTable[index++];
        CHECK(static_cast<std::size_t>(cell.stage) == stage);
        CHECK(&cell == &FindFaultCell(cell.stage, idempotent, streamed));
        CHECK(cell.idempotent == idempotent);
        CHECK(cell.streamed == streamed);
      }
    }
  }
}

TEST_CASE("no row of the fault table breaks the rules for retries") {
  for (const FaultCell& cell : kFaultTable) {
    CAPTURE(Name(cell.stage), cell.idempotent, cell.streamed);
    const bool byte_written = cell.stage >= ExchangeStage::kFirstByteWritten;
    const bool caller_has_bytes =
        cell.streamed && cell.stage == ExchangeStage::kMidAnswer;
    if (byte_written) {
      CHECK(cell.action != ExchangeAction::kRefuseNotRun);
      CHECK(cell.final_action != ExchangeAction::kRefuseNotRun);
    }
    if ((byte_written && !cell.idempotent) || caller_has_bytes) {
      CHECK(cell.action != ExchangeAction::kRetry);
    }
    CHECK(cell.final_action != ExchangeAction::kRetry);
    CHECK(cell.final_action != ExchangeAction::kResume);
  }
}

TEST_CASE("the decisions follow the fault table at every stage") {
  for (const FaultCell& cell : kFaultTable) {
    CAPTURE(Name(cell.stage), cell.idempotent, cell.streamed);
    RetryBudget budget;
    Exchange exchange = AttemptUpTo(cell);
    CHECK(
        exchange.OnBreak(kNow, cell.stage, RetryReason::kConnectionLost, budget)
            .action == cell.action);
    RetryBudget empty(0, 0);
    Exchange late = AttemptUpTo(cell);
    CHECK(late.OnBreak(kDeadline, cell.stage, RetryReason::kConnectionLost,
                       budget)
              .action == cell.final_action);
    Exchange denied = AttemptUpTo(cell);
    CHECK(denied.OnBreak(kNow, cell.stage, RetryReason::kConnectionLost, empty)
              .action == cell.final_action);
    if (cell.action == ExchangeAction::kRetry) {
      CHECK(exchange.OnNoServer().action == cell.final_action);
    }
  }
}

TEST_CASE("docs/FAULTS.md has every row of the fault table") {
  std::ifstream page(std::string(FIGWELL_SOURCE_DIR) + "/docs/FAULTS.md");
  std::set<std::string> lines;
  for (std::string line; std::getline(page, line);) {
    lines.insert(line);
  }
  for (const FaultCell& cell : kFaultTable) {
    std::ostringstream row;
    row << "| " << Name(cell.stage) << " | " << (cell.idempotent ? "yes" : "no")
        << " | " << (cell.streamed ? "yes" : "no") << " | " << Name(cell.action)
        << " | " << Name(cell.final_action) << " |";
    CAPTURE(row.str());
    CHECK(lines.contains(row.str()));
  }
}

TEST_CASE("a request is refused as not run only if no byte was written") {
  RetryBudget budget;
  Exchange exchange(kRequest, {true, false, false, true}, kDeadline);
  exchange.Begin(kServer);
  exchange.OnWriteStarted();
  CHECK(exchange
            .OnBreak(kNow, ExchangeStage::kWritten,
                     RetryReason::kConnectionLost, budget)
            .action == ExchangeAction::kRetry);
  exchange.Begin(ServerId("l2"));
  const ExchangeDecision decision = exchange.OnBreak(
      kDeadline, ExchangeStage::kConnect, RetryReason::kConnectFailed, budget);
  CHECK(decision.action == ExchangeAction::kRefuseUnknown);
  CHECK(decision.denied == DenyReason::kDeadline);
  CHECK(RefusalCode(decision, true) == "deadline");
  CHECK(exchange.TriedServers() == std::vector{kServer, ServerId("l2")});

  // A reported stage before the first write is corrected by OnWriteStarted.
  Exchange early_stage(kRequest, {false, false, false, true}, kDeadline);
  early_stage.Begin(kServer);
  early_stage.OnWriteStarted();
  CHECK(early_stage
            .OnBreak(kNow, ExchangeStage::kConnect, RetryReason::kWriteFailed,
                     budget)
            .action == ExchangeAction::kRefuseUnknown);
}

TEST_CASE("the number of attempts is limited") {
  RetryBudget budget;
  Exchange exchange(kRequest, {false, false, false, true}, kDeadline);
  ExchangeDecision decision;
  int attempts = 0;
  do {
    ++attempts;
    exchange.Begin(ServerId(std::string(attempts, 'l')));
    decision = exchange.OnBreak(kNow, ExchangeStage::kConnect,
                                RetryReason::kConnectFailed, budget);
  } while (decision.action == ExchangeAction::kRetry);
  CHECK(attempts == kMaxAttempts);
  CHECK(decision.action == ExchangeAction::kRefuseNotRun);
  CHECK(decision.denied == DenyReason::kAttempts);
  CHECK(RefusalCode(decision, false) == "no_server");
}

TEST_CASE("a broken stream resumes at its offset, then ends with an error") {
  RetryBudget budget;
  Exchange exchange(kRequest, {true, true, true, true}, kDeadline);
  const AttemptId first = exchange.Begin(kServer);
  exchange.OnWriteStarted();
  CHECK(exchange.OnEvent(0) == EventVerdict::kRelay);
  CHECK(exchange.OnEvent(1) == EventVerdict::kRelay);
  ExchangeDecision decision = exchange.OnBreak(
      kNow, ExchangeStage::kMidAnswer, RetryReason::kConnectionLost, budget);
  CHECK(decision.action == ExchangeAction::kResume);
  CHECK(decision.resume_of == first);
  CHECK(decision.resume_offset == 2);

  exchange.Begin(kServer);
  CHECK(exchange.OnEvent(1) == EventVerdict::kDrop);
  CHECK(exchange.OnEvent(3) == EventVerdict::kGap);
  CHECK(exchange.OnEvent(2) == EventVerdict::kRelay);
  for (int resumes = 1; resumes < kMaxResumes; ++resumes) {
    decision = exchange.OnBreak(kNow, ExchangeStage::kConnect,
                                RetryReason::kConnectTimeout, budget);
    CHECK(decision.action == ExchangeAction::kResume);
    CHECK(decision.resume_of == first);
    CHECK(decision.resume_offset == 3);
    exchange.Begin(kServer);
  }
  decision = exchange.OnBreak(kNow, ExchangeStage::kConnect,
                              RetryReason::kConnectTimeout, budget);
  CHECK(decision.action == ExchangeAction::kEndStream);
  CHECK(decision.denied == DenyReason::kCallerHasBytes);
}

TEST_CASE("a stream is not resumed if the server refuses connections") {
  for (const bool idempotent : {true, false}) {
    RetryBudget budget;
    Exchange exchange(kRequest, {idempotent, true, true, true}, kDeadline);
    exchange.Begin(kServer);
    exchange.OnWriteStarted();
    CHECK(exchange
              .OnBreak(kNow, ExchangeStage::kMidAnswer,
                       RetryReason::kConnectionLost, budget)
              .action == ExchangeAction::kResume);
    exchange.Begin(kServer);
    CHECK(exchange
              .OnBreak(kNow, ExchangeStage::kConnect,
                       RetryReason::kConnectFailed, budget)
              .action == (idempotent ? ExchangeAction::kRetry
                                     : ExchangeAction::kRefuseUnknown));
  }
}

TEST_CASE("a stream that cannot be resumed is retried, ended or refused") {
  RetryBudget budget;
  struct Case {
    bool idempotent;
    bool caller_has_bytes;
    ExchangeAction action;
  };
  for (const Case& c : {Case{true, false, ExchangeAction::kRetry},
                        Case{true, true, ExchangeAction::kEndStream},
                        Case{false, false, ExchangeAction::kRefuseUnknown},
                        Case{false, true, ExchangeAction::kEndStream}}) {
    Exchange exchange(kRequest, {c.idempotent, true, false, true}, kDeadline);
    exchange.Begin(kServer);
    exchange.OnWriteStarted();
    if (c.caller_has_bytes) {
      exchange.OnRelayStarted();
    }
    CHECK(exchange
              .OnBreak(kNow, ExchangeStage::kMidAnswer,
                       RetryReason::kTruncatedAnswer, budget)
              .action == c.action);
  }
}

TEST_CASE("crossed, late and truncated answers are distinguished") {
  RetryBudget budget;
  Exchange exchange(kRequest, {true, true, true, true}, kDeadline);
  CHECK(exchange.CheckHead("") == AnswerFault::kCrossed);
  exchange.Begin(kServer);
  exchange.OnBreak(kNow, ExchangeStage::kConnect, RetryReason::kConnectFailed,
                   budget);
  exchange.Begin(ServerId("l2"));
  CHECK(exchange.CheckHead("r1-2") == AnswerFault::kNone);
  CHECK(exchange.CheckHead("r1-1") == AnswerFault::kLate);
  CHECK(exchange.CheckHead("r2-2") == AnswerFault::kCrossed);
  CHECK(exchange.CheckHead("") == AnswerFault::kCrossed);

  const AnswerEnd complete{std::uint64_t{5}, 5, true, true};
  struct Case {
    AnswerEnd end;
    AnswerFault fault;
    bool reusable;
  };
  for (const Case& c :
       {Case{complete, AnswerFault::kNone, true},
        Case{{std::uint64_t{5}, 4, true, true}, AnswerFault::kTruncated, false},
        Case{{std::nullopt, 4, false, true}, AnswerFault::kTruncated, false},
        Case{{std::nullopt, 4, true, false}, AnswerFault::kTruncated, true}}) {
    CHECK(exchange.CheckEnd(c.end) == c.fault);
    CHECK(Exchange::MayReuseConnection(AnswerFault::kNone, c.end) ==
          c.reusable);
    CHECK_FALSE(Exchange::MayReuseConnection(AnswerFault::kCrossed, c.end));
  }
  CHECK(exchange.OnEvent(std::nullopt) == EventVerdict::kRelay);
  CHECK(exchange.CheckEnd({{}, 0, true, true, 1}) == AnswerFault::kNone);
  CHECK(exchange.CheckEnd({{}, 0, true, true, 2}) == AnswerFault::kTruncated);
  const Exchange service(kRequest, {false, false, false, false}, kDeadline);
  CHECK(service.NeedsFreshConnection());
  CHECK(service.CheckEnd({std::nullopt, 0, true, false}) == AnswerFault::kNone);
}

TEST_CASE("an error status is retried only for idempotent requests") {
  struct Case {
    int status;
    bool idempotent;
    ExchangeAction action;
    RetryReason reason;
  };
  using Action = ExchangeAction;
  const RetryReason none = RetryReason::kConnectionLost;
  for (const Case& c :
       {Case{200, true, Action::kRelay, none},
        Case{400, true, Action::kRelay, none},
        Case{429, true, Action::kRetry, RetryReason::kServerOverloaded},
        Case{503, true, Action::kRetry, RetryReason::kServerOverloaded},
        Case{500, true, Action::kRetry, RetryReason::kServerError},
        Case{503, false, Action::kRelay, none},
        Case{500, false, Action::kRelay, none}}) {
    RetryBudget budget;
    Exchange exchange(kRequest, {c.idempotent, false, false, true}, kDeadline);
    exchange.Begin(kServer);
    exchange.OnWriteStarted();
    const ExchangeDecision decision = exchange.OnStatus(kNow, c.status, budget);
    CAPTURE(c.status, c.idempotent);
    CHECK(decision.action == c.action);
    CHECK(decision.reason == c.reason);
    if (c.action == Action::kRetry) {
      CHECK(exchange.OnNoServer().action == Action::kRelay);
    }
  }
}

TEST_CASE("retries stay within the budget in any order of requests") {
  testing::CheckSequences(500, [](const std::vector<bool>& steps) {
    constexpr std::int64_t kReserve = 3;
    RetryBudget budget(0.2, kReserve);
    std::int64_t fresh = 0;
    std::int64_t retries = 0;
    for (const bool is_fresh : steps) {
      if (is_fresh) {
        ++fresh;
        budget.OnFreshRequest();
      } else {
        retries += budget.TryConsume() ? 1 : 0;
      }
      RC_ASSERT(retries * 5 <= kReserve * 5 + fresh);
    }
  });
}

TEST_CASE("names of reasons are distinct") {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < kRetryReasons; ++i) {
    names.insert(Name(static_cast<RetryReason>(i)));
  }
  CHECK(names.size() == kRetryReasons);
}

}  // namespace
}  // namespace figwell::routing
