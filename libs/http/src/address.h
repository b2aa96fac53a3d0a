#ifndef FIGWELL_HTTP_SRC_ADDRESS_H_
#define FIGWELL_HTTP_SRC_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>

#include "figwell/core.h"

namespace figwell::http {

/** Parses `IP:PORT` or `[IPv6]:PORT`; host names are not resolved. */
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

/** Formats an endpoint in the form that ParseEndpoint parses. */
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

/**
 * Makes a connection fail once sent bytes, or TCP keep-alive probes on an idle
 * connection, have stayed unacknowledged for `timeout`. Probe intervals are
 * whole seconds, at least 1 s. With a timeout of 0, no socket option is set.
 */
void SetPeerTimeout(boost::asio::ip::tcp::socket& socket,
                    std::chrono::milliseconds timeout);

}  // namespace figwell::http

#endif  // FIGWELL_HTTP_SRC_ADDRESS_H_
