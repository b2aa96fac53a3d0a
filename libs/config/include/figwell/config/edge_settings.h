#ifndef FIGWELL_CONFIG_EDGE_SETTINGS_H_
#define FIGWELL_CONFIG_EDGE_SETTINGS_H_

/** Settings of figwell-edge; see config.h. */

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "figwell/core.h"

namespace figwell::config {

/** Limits that the deployment guarantees or requires. */
struct EdgeBounds {
  /** Minimum time between orders of two instances to the same server. */
  std::chrono::milliseconds order_separation{3'000};
  /** How long after a machine or link recovers delayed orders may arrive. */
  std::chrono::milliseconds order_thaw{300};
  /** The minimum lease that the store grants. */
  std::chrono::milliseconds shortest_lease{1'000};
  /** Maximum ratio of retries to first sends within `retry_window`. */
  double retry_ratio = 0.2;
  std::chrono::milliseconds retry_window{10'000};
  /** Retries that are allowed beyond the ratio, over all instances. */
  double retry_allowance = 0;
  /** How long a server may get new work after it announced that it leaves. */
  std::chrono::milliseconds drain_notice{2'000};
  /** Maximum age of the registry's information about a server. */
  std::chrono::milliseconds registry_lag{3'000};
  /** How long a process may take to stop after SIGTERM. */
  std::chrono::milliseconds stop_grace{8'000};

  /**
   * Bytes that are buffered of one answer, and of all answers together, before
   * they are passed on. The total is a twentieth of the smallest machine's
   * 160 MB.
   */
  std::size_t held_answer_bytes = 262'144;
  std::size_t held_answers_bytes = 8'388'608;

  friend bool operator==(const EdgeBounds&, const EdgeBounds&) = default;
};

struct EdgeSettings {
  InstanceId instance;
  DomainId failure_domain;
  std::string listen_callers;
  std::string listen_ready;
  std::string listen_metrics;
  std::string listen_peers;
  std::string store_address;
  /** Prefix of every key that figwell writes to the store. */
  std::string store_prefix = "figwell/";
  /** How long the store keeps past changes for watches. */
  std::chrono::milliseconds store_history{20'000};
  EdgeBounds bounds;
  /** Average limit; 0: unlimited. */
  double log_lines_per_second = 300;

  friend bool operator==(const EdgeSettings&, const EdgeSettings&) = default;
};

/** Parses settings from YAML text; kInvalid with all findings. */
Result<EdgeSettings> ParseEdgeSettings(std::string_view yaml,
                                       const std::string& file);

/** Reads a settings file; kNotFound if it cannot be read. */
Result<EdgeSettings> LoadEdgeSettings(const std::string& file);

}  // namespace figwell::config

#endif  // FIGWELL_CONFIG_EDGE_SETTINGS_H_
