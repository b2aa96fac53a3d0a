#ifndef FIGWELL_SERVING_SERVER_LIMITS_H_
#define FIGWELL_SERVING_SERVER_LIMITS_H_

/** The request rates to which servers limit the fleet; see serving.h. */

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/permits.h"

namespace figwell::serving {

/** Effect of a statement on what is known of a server's limit. */
enum class LimitChange {
  kNone,
  kBegan,
  kChanged,    ///< differs clearly from the rate at the last change
  kConfirmed,  ///< unchanged, and to be announced again
  kEnded,
};

std::string_view Name(LimitChange change);

/**
 * Limits on the requests per second from all instances together: those that
 * servers state in their answers, and those of cold servers. A stated limit
 * holds until an answer states none. A server that has just started, or that
 * became cold again, bears only a low rate until it is warm.
 */
class ServerLimits {
 public:
  /**
   * Applies the statement in a server's answer.
   * @param sent when the request was sent that was answered
   * @param per_second nullopt if the answer states no limit
   */
  LimitChange OnAnswer(TimePoint now, TimePoint sent, const ServerId& server,
                       std::optional<double> per_second);
  /** A peer has announced a limit, or its end. */
  LimitChange OnPeerStatement(TimePoint now, const ServerId& server,
                              std::optional<double> per_second);
  /** The server's arbiter has replied to a request for a permit. */
  void OnPermit(TimePoint now, const ServerId& server, const Permit& permit);
  /** Drops the limit of a server that restarted or is gone. */
  void RemoveServer(const ServerId& server);

  /**
   * The server is cold for `remaining` from now, or warm if that is 0.
   * @param per_second the rate that it bears while cold; 0: not limited
   * @return whether it became cold; an extension is no change
   */
  bool OnCold(TimePoint now, const ServerId& server, Duration remaining,
              double per_second);
  /**
   * The server may be cold: it is treated so until it states otherwise, but for
   * `remaining` at most.
   */
  bool SuspectCold(TimePoint now, const ServerId& server, Duration remaining,
                   double per_second);
  /** Ends the limits of servers that are warm now. @return these servers */
  std::vector<ServerId> Tick(TimePoint now);
  bool IsCold(const ServerId& server) const { return cold_.contains(server); }

  /** Requests per second; nullopt if the server is not limited. */
  std::optional<double> Find(const ServerId& server) const;
  /** The limit that the server has stated; nullopt if none is in force. */
  std::optional<double> FindStated(const ServerId& server) const;
  /**
   * Whether the limit was stated recently. One that was not may have ended: no
   * request has been sent to the server since.
   */
  bool IsCurrent(TimePoint now, const ServerId& server) const;
  /** Time until a permit may be free; 0 if unknown or without a limit. */
  Duration PermitDelay(TimePoint now, const ServerId& server) const;
  /** Number of stated limits, and of cold servers. */
  std::size_t size() const { return limits_.size(); }
  std::size_t cold_servers() const { return cold_.size(); }

 private:
  struct Limit {
    double per_second = 0;
    /** The rate when it last began or changed. */
    double per_second_at_change = 0;
    /** When it was last stated, as far as this instance knows. */
    TimePoint stated_at;
    /** When this instance or a peer last announced it. */
    TimePoint announced_at;
    TimePoint permit_free_at;
  };

  struct ColdServer {
    TimePoint until;
    double per_second = 0;
    TimePoint permit_free_at;
  };

  /** Applies a statement. @return kNone, kBegan or kChanged */
  LimitChange Set(TimePoint now, const ServerId& server, double per_second);

  std::map<ServerId, Limit> limits_;
  std::map<ServerId, ColdServer> cold_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_SERVER_LIMITS_H_
