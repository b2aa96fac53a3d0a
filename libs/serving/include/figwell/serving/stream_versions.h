#ifndef FIGWELL_SERVING_STREAM_VERSIONS_H_
#define FIGWELL_SERVING_STREAM_VERSIONS_H_

/** At which software version a stream may go on; see serving.h. */

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/directory.h"

namespace figwell::serving {

/** Hash of the id of the request that brought a stream's first event. */
using StreamHash = std::uint64_t;

StreamHash HashOfStream(const RequestId& first_request);

/**
 * Remembers which software versions a service's servers have, and at which of
 * them streams began. A stream may go on only at the version that began it. If
 * a service has had a single version for kRetention, each of its streams began
 * at it; otherwise the version of a stream has to be known.
 */
class StreamVersions {
 public:
  /**
   * How long versions and streams are remembered. It exceeds the time from a
   * stream's first event until its caller no longer takes it up.
   */
  static constexpr Duration kRetention = std::chrono::minutes(2);
  /** Of more streams than this, the oldest are forgotten. */
  static constexpr std::size_t kMaxStreams = 20'000;

  /**
   * A server of the service with this version is in the registry.
   * @return whether the version is new
   */
  bool OnServer(TimePoint now, const ServiceId& service, VersionHash version);
  /** Another process has seen these versions, at most kRetention ago. */
  void OnRecord(TimePoint now, const ServiceId& service,
                const std::set<VersionHash>& versions);
  /** The versions of the service within kRetention. */
  std::set<VersionHash> Versions(TimePoint now, const ServiceId& service) const;
  /** Whether the service had several versions within kRetention. */
  bool IsMixed(TimePoint now, const ServiceId& service) const {
    return Versions(now, service).size() > 1;
  }

  /** A stream of the service began at a version, at this instance. */
  void OnBegan(TimePoint now, const ServiceId& service, StreamHash stream,
               VersionHash version);
  /** The caller of a stream that began here has all of it. */
  void OnCompleted(StreamHash stream);
  /** A stream began at a version, at another instance. */
  void OnBeganElsewhere(TimePoint now, StreamHash stream, VersionHash version);
  /** The version at which the stream is known to have begun, if it is. */
  std::optional<VersionHash> FindBegun(TimePoint now, StreamHash stream) const;
  /**
   * The version at which the service's stream may go on; nullopt if it is not
   * known.
   */
  std::optional<VersionHash> Find(TimePoint now, const ServiceId& service,
                                  StreamHash stream) const;
  /** Incomplete streams of the service that began here, by their version. */
  std::map<VersionHash, std::vector<StreamHash>> OwnIncomplete(
      TimePoint now, const ServiceId& service) const;

  std::size_t size() const { return streams_.size(); }

 private:
  struct Stream {
    VersionHash version = 0;
    TimePoint began_at;
    /** The service of a stream that began here and is incomplete. */
    ServiceId own_service;
  };

  void Insert(StreamHash hash, const Stream& stream);

  std::map<ServiceId, std::map<VersionHash, TimePoint>> last_seen_;
  std::unordered_map<StreamHash, Stream> streams_;
  /** In the order in which they began. */
  std::deque<StreamHash> order_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_STREAM_VERSIONS_H_
