#include "figwell/serving/stream_versions.h"

namespace figwell::serving {

StreamHash HashOfStream(const RequestId& first_request) {
  return StableHash(first_request.value());
}

bool StreamVersions::OnServer(TimePoint now, const ServiceId& service,
                              VersionHash version) {
  auto& seen = last_seen_[service];
  std::erase_if(
      seen, [&](const auto& item) { return now - item.second >= kRetention; });
  return seen.insert_or_assign(version, now).second;
}

void StreamVersions::OnRecord(TimePoint now, const ServiceId& service,
                              const std::set<VersionHash>& versions) {
  for (const VersionHash version : versions) {
    last_seen_[service].try_emplace(version, now);
  }
}

std::set<VersionHash> StreamVersions::Versions(TimePoint now,
                                               const ServiceId& service) const {
  std::set<VersionHash> versions;
  const auto seen = last_seen_.find(service);
  if (seen != last_seen_.end()) {
    for (const auto& [version, at] : seen->second) {
      if (now - at < kRetention) {
        versions.insert(version);
      }
    }
  }
  return versions;
}

void StreamVersions::Insert(StreamHash hash, const Stream& stream) {
  const TimePoint now = stream.began_at;
  while (!order_.empty() &&
         (order_.size() >= kMaxStreams ||
          now - streams_.at(order_.front()).began_at >= kRetention)) {
    streams_.erase(order_.front());
    order_.pop_front();
  }
  if (streams_.try_emplace(hash, stream).second) {
    order_.push_back(hash);
  }
}

void StreamVersions::OnBegan(TimePoint now, const ServiceId& service,
                             StreamHash stream, VersionHash version) {
  Insert(stream, {version, now, service});
}

void StreamVersions::OnBeganElsewhere(TimePoint now, StreamHash stream,
                                      VersionHash version) {
  Insert(stream, {version, now, {}});
}

void StreamVersions::OnCompleted(StreamHash stream) {
  if (const auto found = streams_.find(stream); found != streams_.end()) {
    found->second.own_service = {};
  }
}

std::optional<VersionHash> StreamVersions::FindBegun(TimePoint now,
                                                     StreamHash stream) const {
  const auto found = streams_.find(stream);
  return found != streams_.end() && now - found->second.began_at < kRetention
             ? std::optional(found->second.version)
             : std::nullopt;
}

std::optional<VersionHash> StreamVersions::Find(TimePoint now,
                                                const ServiceId& service,
                                                StreamHash stream) const {
  if (const auto version = FindBegun(now, stream)) {
    return version;
  }
  const std::set<VersionHash> versions = Versions(now, service);
  return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

std::map<VersionHash, std::vector<StreamHash>> StreamVersions::OwnIncomplete(
    TimePoint now, const ServiceId& service) const {
  std::map<VersionHash, std::vector<StreamHash>> own;
  for (const StreamHash hash : order_) {
    const Stream& stream = streams_.at(hash);
    if (stream.own_service == service && now - stream.began_at < kRetention) {
      own[stream.version].push_back(hash);
    }
  }
  return own;
}

}  // namespace figwell::serving
