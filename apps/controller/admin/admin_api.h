#ifndef FIGWELL_APPS_CONTROLLER_ADMIN_ADMIN_API_H_
#define FIGWELL_APPS_CONTROLLER_ADMIN_ADMIN_API_H_

/**
 * The administration API over HTTP: authenticates operators, executes their
 * calls and answers them. docs/ADMINISTRATION.md lists the calls.
 */

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"
#include "figwell/http.h"
#include "figwell/store.h"
#include "figwell/telemetry.h"
#include "figwell/versions.h"

namespace figwell::admin {

/** What the API needs from its daemon. All run on the control thread. */
struct Ports {
  /** Executes a transaction in the store. */
  std::function<void(store::Transaction,
                     std::function<void(Result<store::TransactionResult>)>)>
      execute;
  /** Submits a patch to the acceptor. The daemon sets the request's ticket. */
  std::function<void(versions::PatchRequest,
                     std::function<void(versions::PatchOutcome)>)>
      submit;
  /** Collects the status and passes it on as a JSON object. */
  std::function<void(std::function<void(std::string)>)> status;
  /** Denies a key on all instances, without the store. */
  std::function<Result<void>(const Digest&)> deny;
  /** Whether the instance is ready, for `GET /readyz`. */
  std::function<bool()> ready;
  /** Seconds since 1970. */
  std::function<std::int64_t()> unix_time;
};

class AdminApi {
 public:
  /** `log` and `metrics` must outlive the API. */
  AdminApi(std::vector<config::Operator> operators, versions::VersionLog& log,
           telemetry::Registry& metrics, Ports ports);

  /** Answers one request, immediately or once the store has answered. */
  void Handle(const http::ExchangePtr& exchange);

 private:
  /** Answers the calls that need no token; returns false for other calls. */
  bool HandleUnauthenticated(const http::ExchangePtr& exchange);
  const config::Operator* Authenticate(const http::Request& request) const;
  void Route(const http::ExchangePtr& exchange, const config::Operator& caller);
  void GetConfiguration(const http::ExchangePtr& exchange);
  void PatchConfiguration(const http::ExchangePtr& exchange,
                          const config::Operator& caller);
  void GetPatch(const http::ExchangePtr& exchange, std::string_view id);
  void GetHistory(const http::ExchangePtr& exchange);
  void Deny(const http::ExchangePtr& exchange,
            const config::Operator& caller) const;

  std::vector<config::Operator> operators_;
  versions::VersionLog& log_;
  telemetry::Registry& metrics_;
  Ports ports_;
};

}  // namespace figwell::admin

#endif  // FIGWELL_APPS_CONTROLLER_ADMIN_ADMIN_API_H_
