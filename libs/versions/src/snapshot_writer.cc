#include <algorithm>
#include <array>
#include <cstdio>

#include "record_json.h"

namespace figwell::versions {
namespace {

// The store may limit a transaction to 128 operations.
constexpr std::size_t kMaxRemovalsPerTransaction = 120;

std::string ChunkKey(const std::string& prefix, std::size_t index) {
  std::array<char, 16> digits{};
  std::snprintf(digits.data(), digits.size(), "%08zu", index);
  return prefix + digits.data();
}

// Removes the patches and their ids; an id only if it was not rewritten since.
store::Transaction RemovalTransaction(
    const Layout& layout, const std::vector<store::KeyValue>& patches) {
  store::Transaction removals;
  const std::size_t count =
      std::min(patches.size(), kMaxRemovalsPerTransaction);
  for (std::size_t i = 0; i < count; ++i) {
    const Result<PatchRecord> record = DecodePatchRecord(patches[i].value);
    if (!record) {
      continue;
    }
    const std::string id_key = layout.IdKey(record->id);
    store::Transaction remove_id;
    remove_id.compares = {{id_key, patches[i].mod_revision}};
    remove_id.success.emplace_back(store::Delete{id_key, ""});
    removals.success.emplace_back(std::move(remove_id));
  }
  if (count > 0) {
    const std::string end = patches[count - 1].key + '\0';
    removals.success.emplace_back(store::Delete{layout.PatchKey(0), end});
  }
  return removals;
}

}  // namespace

bool SnapshotWriter::IsDue() const {
  return log_.Number() >=
         log_.SnapshotNumber() + retention_.patches_per_snapshot;
}

void SnapshotWriter::OnTimer(TimePoint now, Actions& actions) {
  if (phase_ != Phase::kIdle) {
    if (now >= call_deadline_) {
      Abandon(now, "the store did not answer in time", actions);
    }
    return;
  }
  if (!IsDue() || now < next_attempt_at_) {
    return;
  }
  // Another process may have written a snapshot since the log's last read.
  phase_ = Phase::kReading;
  read_ = log_.NextRead();
  Send(now, read_.transaction, actions);
}

void SnapshotWriter::Send(TimePoint now, store::Transaction transaction,
                          Actions& actions) {
  call_ = ++last_call_;
  call_deadline_ = now + kCallTimeout;
  actions.calls.push_back({call_, std::move(transaction)});
}

void SnapshotWriter::Abandon(TimePoint now, std::string message,
                             Actions& actions) {
  phase_ = Phase::kIdle;
  call_ = 0;
  snapshot_.clear();
  next_attempt_at_ = now + kRetryDelay;
  actions.notices.push_back(
      {Notice::Kind::kSnapshotFailed, log_.Number(), std::move(message)});
}

void SnapshotWriter::OnResult(TimePoint now, CallId call,
                              const Result<store::TransactionResult>& result,
                              Actions& actions) {
  if (phase_ == Phase::kIdle || call != call_) {
    return;
  }
  if (!result) {
    Abandon(now, result.error().message, actions);
    return;
  }
  switch (phase_) {
    case Phase::kReading:
      OnRead(now, *result, actions);
      break;
    case Phase::kWriting:
      WriteNextChunk(now, actions);
      break;
    case Phase::kPublishing:
      OnPublished(now, *result, actions);
      break;
    case Phase::kRemoving:
    case Phase::kIdle:
      phase_ = Phase::kIdle;
      break;
  }
}

void SnapshotWriter::OnRead(TimePoint now,
                            const store::TransactionResult& result,
                            Actions& actions) {
  const Step step = log_.ApplyRead(read_, result);
  if (step != Step::kAdvanced && step != Step::kUnchanged) {
    Abandon(now,
            "the log could not apply the store's versions: " +
                std::string(Name(step)),
            actions);
    return;
  }
  if (!IsDue() || !log_.HeadRevision()) {
    phase_ = Phase::kIdle;
    return;
  }
  phase_ = Phase::kWriting;
  number_ = log_.Number();
  lineage_ = log_.Lineage();
  head_revision_ = *log_.HeadRevision();
  snapshot_ = log_.EncodeFullVersion();
  written_bytes_ = 0;
  WriteNextChunk(now, actions);
}

void SnapshotWriter::WriteNextChunk(TimePoint now, Actions& actions) {
  if (written_bytes_ >= snapshot_.size()) {
    PublishSnapshot(now, actions);
    return;
  }
  store::Transaction transaction;
  transaction.success.emplace_back(
      store::Put{ChunkKey(log_.Keys().ChunkPrefix(number_, writer_),
                          written_bytes_ / kChunkBytes),
                 snapshot_.substr(written_bytes_, kChunkBytes), 0});
  written_bytes_ += kChunkBytes;
  Send(now, std::move(transaction), actions);
}

void SnapshotWriter::PublishSnapshot(TimePoint now, Actions& actions) {
  const Layout& layout = log_.Keys();
  const auto chunks = static_cast<std::int64_t>(
      (snapshot_.size() + kChunkBytes - 1) / kChunkBytes);
  store::Transaction transaction;
  transaction.compares = {{layout.SnapshotKey(), log_.SnapshotRevision()},
                          {layout.PatchKey(number_, lineage_), head_revision_}};
  transaction.success.emplace_back(store::Put{
      layout.SnapshotKey(),
      Encode(SnapshotRecord{number_, writer_, chunks, Sha256(snapshot_)}), 0});
  transaction.success.emplace_back(
      store::Delete{layout.ChunksStart(0), layout.ChunksStart(number_)});
  const VersionNumber keep_from =
      number_ > retention_.history ? number_ - retention_.history : 0;
  transaction.success.emplace_back(
      store::Range{layout.PatchKey(0), layout.PatchKey(keep_from)});
  phase_ = Phase::kPublishing;
  Send(now, std::move(transaction), actions);
}

void SnapshotWriter::OnPublished(TimePoint now,
                                 const store::TransactionResult& result,
                                 Actions& actions) {
  snapshot_.clear();
  if (!result.succeeded) {
    Abandon(now,
            "the snapshot key changed meanwhile, or the store was restored",
            actions);
    return;
  }
  actions.notices.push_back({Notice::Kind::kSnapshotWritten, number_, ""});
  store::Transaction removals;
  if (!result.ranges.empty()) {
    removals = RemovalTransaction(log_.Keys(), result.ranges.front());
  }
  if (removals.success.empty()) {
    phase_ = Phase::kIdle;
    return;
  }
  phase_ = Phase::kRemoving;
  Send(now, std::move(removals), actions);
}

}  // namespace figwell::versions
