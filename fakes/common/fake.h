#ifndef FIGWELL_FAKES_COMMON_FAKE_H_
#define FIGWELL_FAKES_COMMON_FAKE_H_

/** Shared by all fakes: the command line, JSON responses and faults. */

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <functional>
#include <string>

#include "figwell/http.h"

namespace figwell::fakes {

/** A fault injected into the next requests; set with `POST /fault`. */
struct Fault {
  std::string mode;    ///< empty: none
  std::int64_t count;  ///< remaining requests it affects; -1: all
  std::int64_t delay_ms = 0;

  /**
   * Whether the fault has this mode and still affects a request; if so, uses up
   * one of `count`.
   */
  bool Consume(const std::string& requested_mode);
};

/** Decodes `{"mode", "count", "delay_ms"}`. */
Fault ReadFault(const boost::json::value& body);

http::Response JsonAnswer(int status, const boost::json::value& body);

/** The body as JSON; null if it is not JSON. */
boost::json::value ParseBody(const http::Request& request);

/** A string member, or `fallback`. */
std::string GetText(const boost::json::value& object, const char* name,
                    const std::string& fallback = {});
/** A number, or a string that holds a number, or `fallback`. */
std::int64_t GetNumber(const boost::json::value& object, const char* name,
                       std::int64_t fallback = 0);

/**
 * Adds `--listen` and parses the command line; exits if it is invalid or asks
 * for help.
 */
boost::program_options::variables_map ReadCommandLine(
    int argc, char** argv, boost::program_options::options_description options);

/**
 * Listens, prints `listening ADDRESS` to standard output and serves until
 * SIGTERM or SIGINT.
 */
int Serve(boost::asio::io_context& context, const std::string& address,
          std::function<void(http::ExchangePtr)> on_request);

}  // namespace figwell::fakes

#endif  // FIGWELL_FAKES_COMMON_FAKE_H_
