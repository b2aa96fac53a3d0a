#ifndef FIGWELL_PLATFORM_H_
#define FIGWELL_PLATFORM_H_

/**
 * Clients of the platform's services. In this order:
 *
 *   EtcdStore       figwell::store::Store over etcd's v3 HTTP/JSON gateway
 *   instance list   the instances that the platform lists as live
 *
 * This header includes no header of Asio.
 */

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "figwell/core.h"
#include "figwell/store.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace figwell::platform {

// ---------------------------------------------------------------- EtcdStore

struct EtcdOptions {
  /** `IP:PORT` each; tried in turn, starting with the last that answered. */
  std::vector<std::string> endpoints;
  std::chrono::milliseconds connect_timeout{300};
  /** From the last byte of a call to the end of its response's head. */
  std::chrono::milliseconds answer_timeout{1'000};
  /** A watch that receives no data for this long ends with kTimeout. */
  std::chrono::milliseconds watch_idle_timeout{60'000};
};

/**
 * A client of etcd. It belongs to the thread that runs its io_context;
 * callbacks run there, never from within the call that they were passed to.
 *
 * A call that fails at one endpoint is retried at the next one only if none of
 * it was sent, or if executing it twice does no harm. Errors: kUnavailable if
 * the call was certainly not executed, or if executing it does no harm;
 * kUnknownOutcome if a write may have been executed; kProtocol for a response
 * that cannot be decoded. A read never fails with kUnknownOutcome.
 */
class EtcdStore {
 public:
  EtcdStore(boost::asio::io_context& context, EtcdOptions options);
  ~EtcdStore();
  EtcdStore(const EtcdStore&) = delete;
  EtcdStore& operator=(const EtcdStore&) = delete;

  void Execute(const store::Transaction& transaction,
               std::function<void(Result<store::TransactionResult>)> on_result);

  void GrantLease(std::chrono::seconds ttl,
                  std::function<void(Result<store::LeaseId>)> on_lease);

  /** Renews a lease; reports the time left, kNotFound if it has ended. */
  void KeepLeaseAlive(store::LeaseId lease,
                      std::function<void(Result<std::chrono::seconds>)> on_ttl);

  void RevokeLease(store::LeaseId lease,
                   std::function<void(Result<store::LeaseId>)> on_lease);

  /**
   * Watches the keys in [key, range_end) from a revision on (0: from now).
   * Ends with one error: kConflict if that revision has been compacted.
   *
   * @return an id for CancelWatch, after which `on_watch` is not called again
   */
  std::uint64_t Watch(const std::string& key, const std::string& range_end,
                      store::Revision from,
                      std::function<void(Result<store::WatchBatch>)> on_watch);
  void CancelWatch(std::uint64_t watch);

  /** Number of calls sent; each attempt and each watch counts as one. */
  std::uint64_t SentCalls() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// ------------------------------------------------------------ instance list

/** An instance's entry in the list, which may be out of date. */
struct Instance {
  InstanceId instance;
  DomainId failure_domain;
  RegionId region;
  /** `IP:PORT` of the peer protocol. */
  std::string peers_address;
  /** `IP:PORT` of the administration API. */
  std::string admin_address;
  bool leaving = false;

  friend bool operator==(const Instance&, const Instance&) = default;
};

/** Writes the instance's entry, which is removed when the lease ends. */
store::Transaction InstanceUpdate(const std::string& prefix,
                                  const Instance& instance,
                                  store::LeaseId lease);

/** Reads the list. ReadInstances skips entries that it cannot decode. */
store::Transaction InstanceQuery(const std::string& prefix);
std::vector<Instance> ReadInstances(const std::string& prefix,
                                    const store::TransactionResult& result);

}  // namespace figwell::platform

#endif  // FIGWELL_PLATFORM_H_
