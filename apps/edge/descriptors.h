#ifndef FIGWELL_APPS_EDGE_DESCRIPTORS_H_
#define FIGWELL_APPS_EDGE_DESCRIPTORS_H_

#include <cstddef>

namespace figwell::edge {

/**
 * How the process's descriptors are shared out. Each request in progress has a
 * caller's connection and one to a server at most; what is left is for the
 * store, peers, listeners and files. Idle connections to servers are closed
 * early if others need their descriptors.
 */
struct DescriptorShares {
  std::size_t caller_connections = 0;
  std::size_t idle_server_connections = 0;
  /** Of the readiness listener, and of the metrics listener. */
  std::size_t probe_connections = 0;

  friend bool operator==(const DescriptorShares&,
                         const DescriptorShares&) = default;
};

/** @param limit descriptors that the process may have */
DescriptorShares ShareDescriptors(std::size_t limit);

/** The limit of this process's descriptors. */
std::size_t DescriptorLimit();

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_DESCRIPTORS_H_
