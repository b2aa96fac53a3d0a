#include "load_history.h"

#include <algorithm>

namespace figwell::routing {

void LoadHistory::Add(TimePoint now, std::int64_t tokens) {
  const std::int64_t bucket = std::max(last_bucket_, BucketOf(now));
  const std::int64_t from = std::max(last_bucket_, bucket - kBucketCount);
  for (std::int64_t passed = from; passed < bucket; ++passed) {
    at_bucket_end_[passed % kBucketCount] = current_;
  }
  last_bucket_ = bucket;
  current_ += tokens;
}

std::int64_t LoadHistory::At(TimePoint when) const {
  const std::int64_t bucket = BucketOf(when);
  if (bucket >= last_bucket_) {
    return current_;
  }
  const std::int64_t oldest =
      std::max<std::int64_t>(0, last_bucket_ - kBucketCount);
  return at_bucket_end_[std::max(bucket, oldest) % kBucketCount];
}

}  // namespace figwell::routing
