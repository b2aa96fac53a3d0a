#ifndef FIGWELL_APPS_GATEWAY_ADMIN_H_
#define FIGWELL_APPS_GATEWAY_ADMIN_H_

#include "control.h"
#include "figwell/http.h"

namespace figwell::gateway {

/** The gateway's admin server: health, metrics, status, denials. */
class Admin {
 public:
  Admin(const GatewayResources& resources, Control& control);

  Result<std::string> Listen();

 private:
  void OnRequest(const http::ExchangePtr& exchange);
  http::Response Ready() const;
  http::Response Deny(const http::Request& request);
  http::Response Status(const http::Request& request) const;
  bool IsOperator(const http::Request& request) const;

  const GatewayResources& resources_;
  Control& control_;
  http::Server server_;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_ADMIN_H_
