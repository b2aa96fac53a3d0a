#ifndef FIGWELL_CONFIG_EDGE_SETTINGS_H_
#define FIGWELL_CONFIG_EDGE_SETTINGS_H_

/** Settings of figwell-edge; see config.h. */

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "figwell/core.h"

namespace figwell::config {

/** Figures that the deployment promises or demands. */
struct EdgeBounds {
  /** Orders of two instances to one server are at least this far apart. */
  std::chrono::milliseconds order_separation{3'000};
  /** How long orders may be under way after a machine or link comes back. */
  std::chrono::milliseconds order_thaw{300};
  /** The shortest lease that the store grants. */
  std::chrono::milliseconds shortest_lease{1'000};
  /** Sends beyond the first, as a part of first sends, in a window. */
  double retry_ratio = 0.2;
  std::chrono::milliseconds retry_window{10'000};
  /** Sends that are allowed beyond the ratio, over all instances. */
  double retry_allowance = 0;
  /** How long after it was told a server that leaves may get new work. */
  std::chrono::milliseconds drain_notice{2'000};
  /** How old what the registry says of a server may be. */
  std::chrono::milliseconds registry_lag{3'000};
  /** How long a process may go on after SIGTERM. */
  std::chrono::milliseconds stop_grace{8'000};

  /**
   * Bytes that are held of one answer, and of all, before they are passed on.
   * All together are a twentieth of the smallest machine's 160 MB.
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
  /** Every key that this system writes to the store starts with it. */
  std::string store_prefix = "figwell/";
  /** How long the store keeps changes for those who watch. */
  std::chrono::milliseconds store_history{20'000};
  EdgeBounds bounds;
  /** Log lines a second on average; 0: no bound. */
  double log_lines_per_second = 300;

  friend bool operator==(const EdgeSettings&, const EdgeSettings&) = default;
};

/** Reads settings from YAML text; kInvalid with every finding at once. */
Result<EdgeSettings> ParseEdgeSettings(std::string_view yaml,
                                       const std::string& file);

/** Reads a settings file; kNotFound if it cannot be read. */
Result<EdgeSettings> LoadEdgeSettings(const std::string& file);

}  // namespace figwell::config

#endif  // FIGWELL_CONFIG_EDGE_SETTINGS_H_
