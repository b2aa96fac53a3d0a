#include <algorithm>

#include "record_json.h"

namespace figwell::versions {
namespace {

// Bounds of the patches kept for peers; enough for one that missed a few
// minutes.
constexpr std::size_t kMaxRecentPatches = 256;
constexpr std::size_t kMaxRecentBytes = 4'000'000;

// Indexes of the ranges in a read's result.
constexpr std::size_t kHeadRange = 0;
constexpr std::size_t kSnapshotRange = 1;
constexpr std::size_t kPatchesRange = 2;
constexpr std::size_t kChunksRange = 3;

}  // namespace

std::string_view Name(Step step) {
  switch (step) {
    case Step::kAdvanced:
      return "advanced";
    case Step::kUnchanged:
      return "nothing_new";
    case Step::kGap:
      return "gap";
    case Step::kBehind:
      return "behind";
    case Step::kForked:
      return "forked";
    case Step::kInvalid:
      return "invalid";
  }
  return "invalid";
}

VersionLog::VersionLog(std::string prefix)
    : layout_(std::move(prefix)),
      in_force_(std::make_shared<const config::Configuration>()),
      head_revision_(0) {}

VersionLog::Read VersionLog::NextRead() const {
  Read read{Number(), needs_snapshot_ && !snapshot_writer_.empty(), {}};
  auto& steps = read.transaction.success;
  steps.emplace_back(store::Range{layout_.HeadKey(), ""});
  steps.emplace_back(store::Range{layout_.SnapshotKey(), ""});
  const VersionNumber after =
      read.with_snapshot ? std::max(Number(), snapshot_number_) : Number();
  steps.emplace_back(
      store::Range{layout_.PatchKey(after + 1), layout_.PatchesEnd()});
  if (read.with_snapshot) {
    const std::string chunks =
        layout_.ChunkPrefix(snapshot_number_, snapshot_writer_);
    steps.emplace_back(store::Range{chunks, store::PrefixEnd(chunks)});
  }
  return read;
}

Step VersionLog::ApplyRead(const Read& read,
                           const store::TransactionResult& result) {
  const std::size_t expected =
      read.with_snapshot ? kChunksRange + 1 : kChunksRange;
  if (result.ranges.size() < expected) {
    return Step::kInvalid;
  }
  const VersionNumber before = Number();
  store_revision_ = std::max(store_revision_, result.revision);
  const Step snapshot = ApplySnapshot(result);
  if (snapshot == Step::kInvalid || snapshot == Step::kForked) {
    return snapshot;
  }
  const Step patches = ApplyPatches(result.ranges[kPatchesRange]);
  if (patches == Step::kInvalid || patches == Step::kForked) {
    return patches;
  }
  const Step step = CompareWithHead(read, result.ranges[kHeadRange]);
  if (step == Step::kUnchanged && Number() > before) {
    return Step::kAdvanced;
  }
  return step;
}

Step VersionLog::ApplySnapshot(const store::TransactionResult& result) {
  if (result.ranges[kSnapshotRange].empty()) {
    return Step::kUnchanged;
  }
  const store::KeyValue& entry = result.ranges[kSnapshotRange].front();
  const auto record = DecodeSnapshotRecord(entry.value);
  if (!record) {
    return Step::kInvalid;
  }
  if (record->number >= snapshot_number_) {
    snapshot_number_ = record->number;
    snapshot_writer_ = record->writer;
    snapshot_revision_ = entry.mod_revision;
  }
  if (result.ranges.size() <= kChunksRange || record->number <= Number()) {
    return Step::kUnchanged;
  }
  std::string text;
  for (const store::KeyValue& chunk : result.ranges[kChunksRange]) {
    text += chunk.value;
  }
  // Ignores chunks of a snapshot other than the one in the snapshot key.
  return Sha256(text) == record->sha256 ? ApplyFullVersion(text)
                                        : Step::kUnchanged;
}

Step VersionLog::ApplyPatches(const std::vector<store::KeyValue>& entries) {
  Step step = Step::kUnchanged;
  for (const store::KeyValue& entry : entries) {
    const Step taken = ApplyPatchRecord(entry.value, entry.mod_revision);
    if (taken == Step::kAdvanced) {
      step = taken;
    } else if (taken != Step::kUnchanged) {
      return taken;
    }
  }
  return step;
}

Step VersionLog::CompareWithHead(const Read& read,
                                 const std::vector<store::KeyValue>& head) {
  VersionHeader header;
  if (!head.empty()) {
    const auto decoded = DecodeVersionHeader(head.front().value);
    if (!decoded) {
      return Step::kInvalid;
    }
    header = *decoded;
  }
  // The version in force when the read was sent had been in the store: an
  // older head means a restore.
  if (header.number < read.from) {
    return Step::kBehind;
  }
  if (header.number > Number()) {
    needs_snapshot_ = true;
    return Step::kGap;
  }
  if (header.number == Number()) {
    if (header.lineage != lineage_) {
      return Step::kForked;
    }
    head_revision_ = head.empty() ? 0 : head.front().mod_revision;
  }
  needs_snapshot_ = false;
  return Step::kUnchanged;
}

Step VersionLog::ApplyWatch(const store::WatchBatch& batch) {
  std::vector<store::KeyValue> entries;
  for (const store::WatchEvent& event : batch.events) {
    // Compaction deletes patches; the versions they created stay in force.
    if (event.type == store::WatchEvent::Type::kPut) {
      entries.push_back(event.entry);
    }
  }
  const Step step = ApplyPatches(entries);
  store_revision_ = std::max(store_revision_, batch.revision);
  return step;
}

Step VersionLog::ApplyPatchRecord(std::string_view bytes,
                                  store::Revision revision) {
  const Result<PatchRecord> record = DecodePatchRecord(bytes);
  if (!record) {
    return Step::kInvalid;
  }
  const Digest lineage = Sha256(bytes);
  if (record->number <= Number()) {
    const bool forked = record->number == Number() && lineage != lineage_;
    return forked ? Step::kForked : Step::kUnchanged;
  }
  if (record->number > Number() + 1) {
    needs_snapshot_ = true;
    return Step::kGap;
  }
  if (record->parent != lineage_) {
    return Step::kForked;
  }
  auto next = config::ApplyPatch(*in_force_, record->merge_patch);
  if (!next) {
    return Step::kInvalid;
  }
  PutInForce(std::move(*next), lineage,
             revision == 0 ? std::nullopt : std::optional(revision));
  AddRecentPatch(record->number, bytes);
  return Step::kAdvanced;
}

void VersionLog::PutInForce(config::Configuration configuration,
                            const Digest& lineage,
                            std::optional<store::Revision> head_revision) {
  in_force_ =
      std::make_shared<const config::Configuration>(std::move(configuration));
  lineage_ = lineage;
  ancestors_.push_back(lineage);
  if (ancestors_.size() > kMaxAncestors) {
    ancestors_.pop_front();
  }
  head_revision_ = head_revision;
}

void VersionLog::AddRecentPatch(VersionNumber number, std::string_view bytes) {
  recent_patches_.emplace(number, bytes);
  recent_bytes_ += bytes.size();
  while (recent_patches_.size() > kMaxRecentPatches ||
         (recent_bytes_ > kMaxRecentBytes && recent_patches_.size() > 1)) {
    recent_bytes_ -= recent_patches_.begin()->second.size();
    recent_patches_.erase(recent_patches_.begin());
  }
}

std::vector<EncodedPatch> VersionLog::PatchesAfter(
    VersionNumber number, std::size_t max_bytes) const {
  std::vector<EncodedPatch> patches;
  std::size_t bytes = 0;
  for (auto next = recent_patches_.find(number + 1);
       next != recent_patches_.end(); ++next) {
    bytes += next->second.size();
    if (bytes > max_bytes && !patches.empty()) {
      break;
    }
    patches.push_back({next->first, next->second});
  }
  return patches;
}

std::string VersionLog::EncodeFullVersion() const {
  const std::vector<Digest> ancestors(ancestors_.begin(), ancestors_.end());
  return Encode(VersionHeader{Number(), lineage_, ancestors}) + "\n" +
         config::ToJson(*in_force_);
}

// Whether a version with these ancestors, its own lineage last, descends from
// the version in force. Returns true if it is too far ahead to determine.
bool VersionLog::MayDescend(VersionNumber number,
                            const std::vector<Digest>& ancestors) const {
  const VersionNumber distance = number - this->Number();
  if (this->Number() == 0 || distance >= ancestors.size()) {
    return true;
  }
  return ancestors[ancestors.size() - 1 - distance] == lineage_;
}

Step VersionLog::ApplyFullVersion(std::string_view bytes) {
  const auto header = DecodeVersionHeader(bytes);
  const std::size_t header_end = bytes.find('\n');
  if (!header || header_end == std::string_view::npos) {
    return Step::kInvalid;
  }
  if (header->number <= Number()) {
    const bool forked =
        header->number == Number() && header->lineage != lineage_;
    return forked ? Step::kForked : Step::kUnchanged;
  }
  if (!MayDescend(header->number, header->ancestors)) {
    return Step::kForked;
  }
  auto whole =
      config::ParseConfiguration(bytes.substr(header_end + 1), header->number);
  if (!whole) {
    return Step::kInvalid;
  }
  recent_patches_.clear();
  recent_bytes_ = 0;
  ancestors_.assign(header->ancestors.begin(), header->ancestors.end());
  if (!ancestors_.empty()) {
    ancestors_.pop_back();  // the version itself, which PutInForce appends
  }
  PutInForce(std::move(*whole), header->lineage, std::nullopt);
  return Step::kAdvanced;
}

}  // namespace figwell::versions
