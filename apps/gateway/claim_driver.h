#ifndef FIGWELL_APPS_GATEWAY_CLAIM_DRIVER_H_
#define FIGWELL_APPS_GATEWAY_CLAIM_DRIVER_H_

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <string>

#include "figwell/platform.h"
#include "figwell/routing.h"
#include "shared.h"

namespace figwell::gateway {

/** Executes a ClaimBook's actions on the store. Runs on the control thread. */
class ClaimDriver {
 public:
  using OnAnswer = std::function<void(const routing::ClaimAnswer&)>;

  ClaimDriver(boost::asio::io_context& context, platform::EtcdStore& store,
              const std::string& process, const std::string& store_prefix);

  void Claim(const ClaimRequest& request, OnAnswer on_answer);
  void Finish(routing::ClaimId claim, routing::FinishedAnswer answer);
  void Release(routing::ClaimId claim);
  void Abandon(routing::ClaimId claim);

  /** Whether no write is pending. */
  bool idle() const { return book_.size() == 0; }

 private:
  void Step();
  void Answer(const routing::ClaimAnswer& answer);
  void GrantLease();

  platform::EtcdStore& store_;
  boost::asio::steady_timer timer_;
  routing::ClaimBook book_;
  std::map<routing::ClaimId, OnAnswer> waiting_;
  bool lease_request_pending_ = false;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_CLAIM_DRIVER_H_
