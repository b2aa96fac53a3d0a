#ifndef FIGWELL_APPS_FIGWELLCTL_CTL_SESSION_H_
#define FIGWELL_APPS_FIGWELLCTL_CTL_SESSION_H_

/** Blocking calls to the administration API. */

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "figwell/config.h"
#include "figwell/core.h"
#include "figwell/http.h"

namespace figwell::ctl {

struct SessionOptions {
  std::string admin;  ///< `IP:PORT`
  std::string token;
  std::chrono::milliseconds answer_timeout{10'000};
  /**
   * How often and how many times the outcome of a patch is queried after its
   * answer was lost.
   */
  std::chrono::milliseconds outcome_query_interval{500};
  int max_outcome_queries = 20;
};

/** Makes the merge patch of a change for one version of the configuration. */
using Change =
    std::function<Result<std::string>(const config::Configuration& base)>;

class Session {
 public:
  Session(boost::asio::io_context& context, SessionOptions options);

  /** The newest version; if the controller cannot read the store, its own. */
  Result<config::Configuration> Configuration();

  /**
   * Sends a patch. If the answer is lost, queries the outcome by the patch's
   * id. Fails with kConflict, kInvalid or kUnavailable if the patch certainly
   * did not take effect, with kUnknownOutcome if the outcome could not be
   * determined.
   *
   * @return the number of the version that the patch made
   */
  Result<config::VersionNumber> Patch(config::VersionNumber base,
                                      const std::string& id,
                                      const std::string& merge_patch);

  /**
   * Makes a change against the present version and sends it. Repeats both if
   * another operator's patch was accepted first.
   */
  Result<config::VersionNumber> Apply(const Change& change);

  /** The body of a successful GET. */
  Result<std::string> Get(const std::string& target);
  Result<void> Deny(const Digest& digest);

  /** Blocks for `time`. */
  static void Sleep(std::chrono::milliseconds time);

 private:
  /**
   * Makes one call. If it fails, the error is kUnavailable if the call had no
   * effect and kUnknownOutcome if it may have had one; a call that `modifies`
   * nothing never has one.
   */
  Result<http::Response> Call(http::Request request, bool modifies);
  /** Queries the outcome of a patch whose answer was lost. */
  Result<config::VersionNumber> QueryOutcome(config::VersionNumber base,
                                             const std::string& id);

  boost::asio::io_context& context_;
  SessionOptions options_;
  http::Client client_;
};

/** A new patch id, random so that no other patch has it. */
std::string NewPatchId();

}  // namespace figwell::ctl

#endif  // FIGWELL_APPS_FIGWELLCTL_CTL_SESSION_H_
