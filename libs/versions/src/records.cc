#include <algorithm>

#include "record_json.h"

namespace figwell::versions {
namespace {

namespace json = boost::json;

constexpr std::size_t kNumberDigits = 20;

// Pads numbers to a fixed width, so that keys sort in order of numbers.
std::string PadNumber(VersionNumber number) {
  std::string digits = std::to_string(number);
  return std::string(kNumberDigits - digits.size(), '0') + digits;
}

tl::unexpected<Error> DecodeFailure(std::string_view what) {
  return Fail(ErrorCode::kProtocol, std::string(what) + " cannot be decoded");
}

// A patch record and a full version are a JSON header line followed by a body,
// so that the body needs no escapes.
std::string_view HeaderLine(std::string_view bytes) {
  return bytes.substr(0, bytes.find('\n'));
}

std::string_view Body(std::string_view bytes) {
  const std::size_t end = bytes.find('\n');
  return end == std::string_view::npos ? std::string_view()
                                       : bytes.substr(end + 1);
}

}  // namespace

// ------------------------------------------------------------------- fields

RecordFields::RecordFields(std::string_view text) {
  json::error_code error;
  document_ = json::parse(text, error);
  ok_ = !error && document_.is_object();
}

const json::value* RecordFields::Find(std::string_view name) {
  const json::object* object = document_.if_object();
  const json::value* value =
      object == nullptr ? nullptr : object->if_contains(name);
  ok_ = ok_ && value != nullptr;
  return value;
}

std::string RecordFields::Text(std::string_view name) {
  const json::value* value = Find(name);
  if (value == nullptr || !value->is_string()) {
    ok_ = false;
    return "";
  }
  return std::string(value->get_string());
}

std::int64_t RecordFields::Integer(std::string_view name) {
  const json::value* value = Find(name);
  if (value == nullptr || !value->is_int64()) {
    ok_ = false;
    return 0;
  }
  return value->get_int64();
}

VersionNumber RecordFields::Number(std::string_view name) {
  const std::int64_t number = Integer(name);
  ok_ = ok_ && number >= 0;
  return static_cast<VersionNumber>(std::max<std::int64_t>(number, 0));
}

Digest RecordFields::HexDigest(std::string_view name) {
  const Result<Digest> digest = DigestFromHex(Text(name));
  ok_ = ok_ && digest.has_value();
  return digest.value_or(Digest());
}

std::vector<Digest> RecordFields::OptionalDigests(std::string_view name) {
  std::vector<Digest> digests;
  const json::object* object = document_.if_object();
  const json::value* value =
      object == nullptr ? nullptr : object->if_contains(name);
  if (value == nullptr || !value->is_array()) {
    ok_ = ok_ && value == nullptr;
    return digests;
  }
  for (const json::value& element : value->get_array()) {
    const json::string* text = element.if_string();
    const Result<Digest> digest =
        DigestFromHex(text == nullptr ? "" : text->c_str());
    ok_ = ok_ && digest.has_value();
    digests.push_back(digest.value_or(Digest()));
  }
  return digests;
}

// ------------------------------------------------------------------- layout

std::string Layout::PatchKey(VersionNumber number) const {
  return root_ + "patch/" + PadNumber(number);
}

std::string Layout::PatchKey(VersionNumber number,
                             const Digest& lineage) const {
  return PatchKey(number) + "-" + ToHex(lineage);
}

std::string Layout::IdKey(const PatchId& id) const {
  return root_ + "id/" + id.value();
}

std::string Layout::ChunkPrefix(VersionNumber number,
                                std::string_view writer) const {
  return ChunksStart(number) + std::string(writer) + "/";
}

std::string Layout::ChunksStart(VersionNumber number) const {
  return root_ + "chunk/" + PadNumber(number) + "/";
}

// ------------------------------------------------------------------ records

std::string Encode(const PatchRecord& record) {
  const json::object header = {{"number", record.number},
                               {"id", record.id.value()},
                               {"author", record.author.value()},
                               {"accepted_at", record.accepted_at},
                               {"parent", ToHex(record.parent)}};
  return json::serialize(header) + "\n" + record.merge_patch;
}

Result<PatchRecord> DecodePatchRecord(std::string_view bytes) {
  RecordFields fields(HeaderLine(bytes));
  PatchRecord record;
  record.number = fields.Number("number");
  record.id = PatchId(fields.Text("id"));
  record.author = OperatorId(fields.Text("author"));
  record.accepted_at = fields.Integer("accepted_at");
  record.parent = fields.HexDigest("parent");
  record.merge_patch = std::string(Body(bytes));
  if (!fields.Ok() || record.number == 0) {
    return DecodeFailure("a patch record");
  }
  return record;
}

std::string Encode(const VersionHeader& header) {
  json::object fields = {{"number", header.number},
                         {"lineage", ToHex(header.lineage)}};
  if (!header.ancestors.empty()) {
    json::array ancestors;
    for (const Digest& lineage : header.ancestors) {
      ancestors.emplace_back(ToHex(lineage));
    }
    fields.emplace("ancestors", std::move(ancestors));
  }
  return json::serialize(fields);
}

Result<VersionHeader> DecodeVersionHeader(std::string_view text) {
  RecordFields fields(HeaderLine(text));
  VersionHeader header{
      fields.Number("number"), fields.HexDigest("lineage"), {}};
  header.ancestors = fields.OptionalDigests("ancestors");
  if (!fields.Ok()) {
    return DecodeFailure("the header of a version");
  }
  return header;
}

std::string Encode(const SnapshotRecord& record) {
  return json::serialize(json::object{{"number", record.number},
                                      {"writer", record.writer},
                                      {"chunks", record.chunks},
                                      {"sha256", ToHex(record.sha256)}});
}

Result<SnapshotRecord> DecodeSnapshotRecord(std::string_view text) {
  RecordFields fields(text);
  SnapshotRecord record{fields.Number("number"), fields.Text("writer"),
                        fields.Integer("chunks"), fields.HexDigest("sha256")};
  if (!fields.Ok()) {
    return DecodeFailure("the record of the newest snapshot");
  }
  return record;
}

std::string Encode(const PatchReceipt& receipt) {
  return json::serialize(json::object{{"number", receipt.number},
                                      {"request", ToHex(receipt.request)}});
}

Result<PatchReceipt> DecodePatchReceipt(std::string_view text) {
  RecordFields fields(text);
  PatchReceipt receipt{fields.Number("number"), fields.HexDigest("request")};
  if (!fields.Ok()) {
    return DecodeFailure("the receipt of a patch id");
  }
  return receipt;
}

Digest RequestDigest(VersionNumber base, std::string_view merge_patch) {
  return Sha256(std::to_string(base) + "\n" + std::string(merge_patch));
}

// ------------------------------------------------------------------ queries

store::Transaction PatchStatusQuery(const Layout& layout, const PatchId& id) {
  store::Transaction transaction;
  transaction.success.emplace_back(store::Range{layout.IdKey(id), ""});
  transaction.success.emplace_back(store::Range{layout.HeadKey(), ""});
  return transaction;
}

Result<PatchStatus> ReadPatchStatus(const store::TransactionResult& result) {
  if (result.ranges.size() != 2) {
    return DecodeFailure("the result of a patch status query");
  }
  PatchStatus status;
  if (!result.ranges[1].empty()) {
    const auto head = DecodeVersionHeader(result.ranges[1].front().value);
    if (!head) {
      return tl::unexpected<Error>(head.error());
    }
    status.head = head->number;
  }
  if (!result.ranges[0].empty()) {
    const auto receipt = DecodePatchReceipt(result.ranges[0].front().value);
    if (!receipt) {
      return tl::unexpected<Error>(receipt.error());
    }
    status.receipt = *receipt;
  }
  return status;
}

store::Transaction HistoryQuery(const Layout& layout, VersionNumber head,
                                VersionNumber count) {
  const VersionNumber before = head > count ? head - count : 0;
  store::Transaction transaction;
  transaction.success.emplace_back(
      store::Range{layout.PatchKey(before + 1), layout.PatchesEnd()});
  return transaction;
}

Result<std::vector<PatchRecord>> ReadHistory(
    const store::TransactionResult& result) {
  std::vector<PatchRecord> history;
  for (const auto& range : result.ranges) {
    for (const store::KeyValue& entry : range) {
      Result<PatchRecord> record = DecodePatchRecord(entry.value);
      if (!record) {
        return tl::unexpected<Error>(record.error());
      }
      history.push_back(std::move(*record));
    }
  }
  return history;
}

}  // namespace figwell::versions
