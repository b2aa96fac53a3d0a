#ifndef FIGWELL_HTTP_SRC_ADDRESS_H_
#define FIGWELL_HTTP_SRC_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>

#include "figwell/core.h"

namespace figwell::http {

/** Reads `IP:PORT` or `[IPv6]:PORT`; names are not resolved. */
Result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    const std::string& address);

/** Writes an endpoint in the form that ParseEndpoint reads. */
std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint);

/**
 * Makes a connection fail once sent bytes, or probes on an idle connection,
 * stay without an acknowledgement for `timeout`. 0 sets nothing.
 */
void BoundSilence(boost::asio::ip::tcp::socket& socket,
                  std::chrono::milliseconds timeout);

}  // namespace figwell::http

#endif  // FIGWELL_HTTP_SRC_ADDRESS_H_
