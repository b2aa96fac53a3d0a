#ifndef FIGWELL_ROUTING_HEADERS_H_
#define FIGWELL_ROUTING_HEADERS_H_

/**
 * Part of figwell/routing.h: which parts of a caller's request a backend server
 * may see, and whether queued work may still run. No caller's key is passed on,
 * in whichever field it is.
 */

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/config.h"
#include "figwell/core.h"
#include "figwell/routing/exchange.h"

namespace figwell::routing {

/** One header field, as received or as sent. */
struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

/** Whether the SHA-256 is that of some caller's key. */
using IsKnownKey = std::function<bool(const Digest&)>;

/** A caller's request without its body. */
struct CallerHead {
  std::vector<HeaderField> headers;
  /** Fields after the body; none of them is passed on. */
  std::vector<HeaderField> trailers;
  /** Path and query, as in the request line. */
  std::string target;
  /** The key that the caller presented; empty on a route without keys. */
  std::string presented_key;
};

enum class BackendKind { kEngine, kService };

/** The head that is sent to the backend server. */
struct BackendHead {
  std::vector<HeaderField> headers;
  std::string target;

  friend bool operator==(const BackendHead&, const BackendHead&) = default;
};

/**
 * The head for a backend server. Only names on an allow-list are passed on,
 * once each and in lower case, and only values of printable ASCII and tabs that
 * contain no key. Engines get no query. A service gets the query parameters
 * except those that are named like a credential or contain a key. X-Request-Id
 * is the attempt's id.
 *
 * @return none if the path contains a key; the request has to be refused then
 */
std::optional<BackendHead> HeadForBackend(const CallerHead& caller,
                                          BackendKind kind,
                                          const AttemptId& attempt,
                                          const IsKnownKey& is_known_key);

/**
 * Whether queued work may still be dispatched: its key is in force and still
 * belongs to the team. Call immediately before the dispatch.
 */
bool KeyBelongsToTeam(const config::KeyIndex& keys, const Digest& key,
                      const TeamId& team);

}  // namespace figwell::routing

#endif  // FIGWELL_ROUTING_HEADERS_H_
