#include "engine_model.h"

#include <algorithm>
#include <utility>

namespace figwell::bench {

void EngineModel::Admit() {
  const int slots =
      parameters_.slots_per_accelerator * parameters_.accelerators;
  while (std::ssize(running_) < slots && !queue_.empty()) {
    Job job = queue_.front();
    queue_.pop_front();
    if (job.prefix != 0) {
      ++lookups_;
      const auto cached = std::find(cache_.begin(), cache_.end(), job.prefix);
      if (cached != cache_.end()) {
        ++hits_;
        cache_.splice(cache_.begin(), cache_, cached);
        job.prompt_tokens_left -= job.prefix_tokens;
      }
    }
    running_.push_back(job);
  }
}

std::optional<TimePoint> EngineModel::StartStep(TimePoint now) {
  if (stepping_) {
    return std::nullopt;
  }
  Admit();
  if (running_.empty()) {
    return std::nullopt;
  }
  const int chunk = parameters_.prefill_chunk * parameters_.accelerators;
  int chunk_left = chunk;
  int generating = 0;
  prefill_tokens_.assign(running_.size(), 0);
  for (std::size_t i = 0; i < running_.size(); ++i) {
    prefill_tokens_[i] = std::min(chunk_left, running_[i].prompt_tokens_left);
    chunk_left -= prefill_tokens_[i];
    generating += running_[i].prompt_tokens_left == 0 ? 1 : 0;
  }
  stepping_ = true;
  return now + parameters_.step_base +
         (parameters_.step_per_sequence * generating +
          parameters_.prefill_per_token * (chunk - chunk_left)) /
             parameters_.accelerators;
}

std::vector<JobEvent> EngineModel::EndStep() {
  std::vector<JobEvent> events;
  stepping_ = false;
  for (std::size_t i = 0; i < running_.size(); ++i) {
    Job& job = running_[i];
    const bool was_in_prefill = job.prompt_tokens_left > 0;
    job.prompt_tokens_left -= prefill_tokens_[i];
    if (job.prompt_tokens_left > 0) {
      continue;
    }
    --job.output_tokens_left;
    --job.allowed_tokens_left;
    if (was_in_prefill) {
      Store(job.prefix);
      events.push_back({job.request, JobEvent::Type::kFirstToken});
    }
    if (job.output_tokens_left <= 0) {
      events.push_back({job.request, JobEvent::Type::kFinished});
    }
  }
  std::erase_if(running_,
                [](const Job& job) { return job.output_tokens_left <= 0; });
  return events;
}

std::vector<std::uint32_t> EngineModel::DropAll() {
  std::vector<std::uint32_t> lost;
  for (const Job& job : running_) {
    lost.push_back(job.request);
  }
  for (const Job& job : queue_) {
    lost.push_back(job.request);
  }
  running_.clear();
  queue_.clear();
  prefill_tokens_.clear();
  cache_.clear();
  return lost;
}

std::int64_t EngineModel::OutstandingTokens() const {
  std::int64_t tokens = 0;
  for (const Job& job : running_) {
    tokens += job.prompt_tokens_left + job.allowed_tokens_left;
  }
  for (const Job& job : queue_) {
    tokens += job.prompt_tokens_left + job.allowed_tokens_left;
  }
  return tokens;
}

void EngineModel::Store(routing::PrefixKey prefix) {
  if (prefix == 0 ||
      std::find(cache_.begin(), cache_.end(), prefix) != cache_.end()) {
    return;
  }
  cache_.push_front(prefix);
  RecordCacheEvent(routing::CacheEvent::Type::kStored, prefix);
  if (cache_.size() > parameters_.max_cached_prefixes) {
    RecordCacheEvent(routing::CacheEvent::Type::kEvicted, cache_.back());
    cache_.pop_back();
  }
}

void EngineModel::RecordCacheEvent(routing::CacheEvent::Type type,
                                   routing::PrefixKey prefix) {
  events_.push_back({++sequence_, type, prefix});
}

std::vector<routing::CacheEvent> EngineModel::TakeCacheEvents() {
  return std::exchange(events_, {});
}

}  // namespace figwell::bench
