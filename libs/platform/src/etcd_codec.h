#ifndef FIGWELL_PLATFORM_ETCD_CODEC_H_
#define FIGWELL_PLATFORM_ETCD_CODEC_H_

/**
 * The JSON of etcd's v3 API: keys and values in base64, 64-bit numbers as
 * strings, fields of value zero omitted. Every decoder fails with kProtocol.
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

/** Whether the transaction and all nested ones only read. */
bool IsReadOnly(const store::Transaction& transaction);

std::string EncodeLeaseGrant(std::chrono::seconds ttl);
std::string EncodeLeaseId(store::LeaseId lease);

struct LeaseAnswer {
  store::LeaseId id = 0;
  std::chrono::seconds ttl{0};
};

/** Decodes the response to a grant or to a keepalive (in a `result` object). */
Result<LeaseAnswer> DecodeLease(std::string_view json);

std::string EncodeWatch(std::string_view key, std::string_view range_end,
                        store::Revision from);

/**
 * Decodes one message of a watch; none for the message that only confirms the
 * watch's creation. Fails with kConflict if the watch's start revision was
 * compacted, and with kUnavailable if etcd ended the watch.
 */
Result<std::optional<store::WatchBatch>> DecodeWatchMessage(
    std::string_view json);

/** The error text of a response, for logs. */
std::string ErrorMessage(std::string_view body);

}  // namespace figwell::platform

#endif  // FIGWELL_PLATFORM_ETCD_CODEC_H_
