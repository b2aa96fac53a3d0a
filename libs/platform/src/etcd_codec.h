#ifndef FIGWELL_PLATFORM_ETCD_CODEC_H_
#define FIGWELL_PLATFORM_ETCD_CODEC_H_

/**
 * etcd's v3 JSON: keys and values in base64, 64-bit numbers as texts, fields
 * of value zero left out. Every reader fails with kProtocol.
 */

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "figwell/core.h"
#include "figwell/store.h"

namespace figwell::platform {

std::string EncodeTransaction(const store::Transaction& transaction);
Result<store::TransactionResult> DecodeTransactionResult(std::string_view json);

/** Whether the transaction writes nothing, nested ones included. */
bool IsReadOnly(const store::Transaction& transaction);

std::string EncodeLeaseGrant(std::chrono::seconds ttl);
std::string EncodeLeaseId(store::LeaseId lease);

struct LeaseAnswer {
  store::LeaseId id = 0;
  std::chrono::seconds ttl{0};
};

/** Reads the answer to a grant or, with its `result` wrapper, a keepalive. */
Result<LeaseAnswer> DecodeLease(std::string_view json);

std::string EncodeWatch(std::string_view key, std::string_view range_end,
                        store::Revision from);

/**
 * Reads one message of a watch; none for one that only says that the watch
 * stands. Fails with kConflict if its start was compacted away, and with
 * kUnavailable if the service ended it.
 */
Result<std::optional<store::WatchBatch>> DecodeWatchMessage(
    std::string_view json);

/** The text of an error answer, for logs. */
std::string ErrorMessage(std::string_view body);

}  // namespace figwell::platform

#endif  // FIGWELL_PLATFORM_ETCD_CODEC_H_
