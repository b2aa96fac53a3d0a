#ifndef FIGWELL_APPS_CONTROLLER_ADMIN_ADMIN_FIXTURE_H_
#define FIGWELL_APPS_CONTROLLER_ADMIN_ADMIN_FIXTURE_H_

/** For tests: the administration API with an in-memory store. */

#include <map>
#include <optional>

#include "admin_api.h"
#include "model_store.h"

namespace figwell::admin {

inline const std::string kToken = "token of amina";

/** While `fault` is set, every call to the store fails with that code. */
struct AdminFixture {
  AdminFixture()
      : acceptor(log),
        api({{OperatorId("amina"), Sha256(kToken)}}, log, metrics,
            MakePorts()) {}

  Ports MakePorts() {
    Ports ports;
    ports.execute = [this](const store::Transaction& transaction, auto done) {
      done(Execute(transaction));
    };
    ports.submit = [this](const versions::PatchRequest& request, auto done) {
      Submit(request, std::move(done));
    };
    ports.status = [](const auto& done) { done("{}"); };
    ports.deny = [this](const Digest& digest) -> Result<void> {
      denied.push_back(digest);
      return {};
    };
    ports.ready = [this] { return ready; };
    ports.unix_time = [] { return std::int64_t{1}; };
    return ports;
  }

  void Submit(versions::PatchRequest request,
              std::function<void(versions::PatchOutcome)> done) {
    request.ticket = ++tickets;
    reply_callbacks[request.ticket] = std::move(done);
    versions::Actions actions;
    acceptor.Submit(now, std::move(request), actions);
    ExecuteActions(actions);
  }

  Result<store::TransactionResult> Execute(
      const store::Transaction& transaction) {
    if (fault) {
      return Fail(*fault, "away");
    }
    return store.Execute(transaction);
  }

  void ExecuteActions(versions::Actions& actions) {
    for (const auto& call : std::exchange(actions.calls, {})) {
      acceptor.OnResult(now, call.id, Execute(call.transaction), actions);
    }
    for (const auto& reply : std::exchange(actions.replies, {})) {
      reply_callbacks.at(reply.ticket)(reply.outcome);
    }
    if (!actions.calls.empty()) {
      ExecuteActions(actions);
    }
  }

  /** Advances the clock and runs the acceptor's timer every 100 ms. */
  void AdvanceTime(std::chrono::milliseconds time) {
    for (auto end = now + time; now < end;) {
      now += std::chrono::milliseconds(100);
      versions::Actions actions;
      acceptor.OnTimer(now, actions);
      ExecuteActions(actions);
    }
  }

  versions::ModelStore store;
  std::optional<ErrorCode> fault;
  bool ready = true;
  TimePoint now{};
  std::uint64_t tickets = 0;
  std::map<std::uint64_t, std::function<void(versions::PatchOutcome)>>
      reply_callbacks;
  std::vector<Digest> denied;
  versions::VersionLog log{"/f/"};
  versions::PatchAcceptor acceptor;
  telemetry::Registry metrics;
  AdminApi api;
};

}  // namespace figwell::admin

#endif  // FIGWELL_APPS_CONTROLLER_ADMIN_ADMIN_FIXTURE_H_
