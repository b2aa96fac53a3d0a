#ifndef FIGWELL_VERSIONS_RECORD_JSON_H_
#define FIGWELL_VERSIONS_RECORD_JSON_H_

/**
 * Encodes and decodes the store's records: JSON objects, some of them as a
 * header line before a text body. Decoding fails if a field is missing or of
 * the wrong type.
 */

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "figwell/core.h"
#include "figwell/versions.h"

namespace figwell::versions {

/** The fields of a record; `Ok` is false once a read field was invalid. */
class RecordFields {
 public:
  explicit RecordFields(std::string_view json);

  std::string Text(std::string_view name);
  std::int64_t Integer(std::string_view name);
  VersionNumber Number(std::string_view name);
  Digest HexDigest(std::string_view name);
  std::vector<Digest> OptionalDigests(std::string_view name);
  bool Ok() const { return ok_; }

 private:
  const boost::json::value* Find(std::string_view name);

  boost::json::value document_;
  bool ok_ = true;
};

/** A version's number and lineage: in the head and before a full version. */
struct VersionHeader {
  VersionNumber number = 0;
  Digest lineage;
  /** Lineages of the versions up to this one, oldest first; may be empty. */
  std::vector<Digest> ancestors;
};

std::string Encode(const VersionHeader& header);
Result<VersionHeader> DecodeVersionHeader(std::string_view json);

/** The value of the key that identifies the newest snapshot. */
struct SnapshotRecord {
  VersionNumber number = 0;
  std::string writer;
  std::int64_t chunks = 0;
  Digest sha256;
};

std::string Encode(const SnapshotRecord& record);
Result<SnapshotRecord> DecodeSnapshotRecord(std::string_view json);

std::string Encode(const PatchReceipt& receipt);
Result<PatchReceipt> DecodePatchReceipt(std::string_view json);

/** A digest that distinguishes a repeat from another patch with its id. */
Digest RequestDigest(VersionNumber base, std::string_view merge_patch);

}  // namespace figwell::versions

#endif  // FIGWELL_VERSIONS_RECORD_JSON_H_
