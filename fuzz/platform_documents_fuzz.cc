// Feeds arbitrary bytes to all decoders of what the platform's store, its
// operator, backend servers and callers send. No decoder may throw.

#include <cstdint>
#include <string>
#include <string_view>

#include "figwell/adapter.h"

namespace {

using figwell::RequestId;
using figwell::ServerId;
namespace adapter = figwell::adapter;
namespace http = figwell::http;

/** Parses lines of the form `Name: value`. */
http::Headers ParseHeaders(std::string_view text) {
  http::Headers headers;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::string_view line = text.substr(0, end);
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
      headers.Add(std::string(line.substr(0, colon)),
                  std::string(line.substr(colon + 1)));
    }
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  }
  return headers;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string input(reinterpret_cast<const char*>(data), size);
  static_cast<void>(adapter::DecodeConfiguration(input));
  static_cast<void>(adapter::DecodeServer(ServerId("s"), input));
  static_cast<void>(adapter::ServerIdFromKey(input));
  static_cast<void>(adapter::DecodeReport({200, {}, input}));

  http::Request request;
  request.headers = ParseHeaders(input);
  request.target = input;
  const adapter::RequestHead head = adapter::DecodeRequestHead(request);
  adapter::ServerRequestFields added;
  added.server = ServerId("s");
  added.remaining = head.caller_timeout;
  static_cast<void>(adapter::MakeServerRequest(request, added));
  for (const int status : {200, 421, 503}) {
    static_cast<void>(
        adapter::DecodeResponseHead(RequestId("r"), status, request.headers));
  }
  static_cast<void>(adapter::HeadersForCaller(request.headers));
  return 0;
}
