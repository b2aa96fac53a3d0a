#ifndef FIGWELL_BENCHMARK_ROUTING_ENGINE_MODEL_H_
#define FIGWELL_BENCHMARK_ROUTING_ENGINE_MODEL_H_

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <vector>

#include "figwell/routing.h"

namespace figwell::bench {

/** The assumed performance of an engine and its accelerators. */
struct EngineParameters {
  int accelerators = 2;
  int slots_per_accelerator = 16;
  /**
   * A step takes step_base + (step_per_sequence x generating sequences +
   * prefill_per_token x prompt tokens) / accelerators.
   */
  Duration step_base = std::chrono::microseconds(12'000);
  Duration step_per_sequence = std::chrono::microseconds(350);
  Duration prefill_per_token = std::chrono::microseconds(40);
  /** Maximum prompt tokens that one step prefills, per accelerator. */
  int prefill_chunk = 512;
  std::size_t max_cached_prefixes = 24;
};

/** One request at an engine. */
struct Job {
  std::uint32_t request = 0;
  routing::PrefixKey prefix = 0;
  int prefix_tokens = 0;
  int prompt_tokens_left = 0;
  int output_tokens_left = 0;
  /** Tokens that the caller's limit still allows to generate. */
  int allowed_tokens_left = 0;
};

struct JobEvent {
  enum class Type { kFirstToken, kFinished };
  std::uint32_t request = 0;
  Type type = Type::kFinished;
};

/** An engine with continuous batching, chunked prefill and a prefix cache. */
class EngineModel {
 public:
  explicit EngineModel(const EngineParameters& parameters)
      : parameters_(parameters) {}

  void Add(const Job& job) { queue_.push_back(job); }

  /** Starts a step if there is work and no step runs; returns its end. */
  std::optional<TimePoint> StartStep(TimePoint now);

  /** Ends the running step. */
  std::vector<JobEvent> EndStep();

  /** Drops all work, as when the server dies; returns its requests. */
  std::vector<std::uint32_t> DropAll();

  std::int64_t OutstandingTokens() const;
  std::uint64_t Lookups() const { return lookups_; }
  std::uint64_t Hits() const { return hits_; }

  /** Returns the cache events since the last call. */
  std::vector<routing::CacheEvent> TakeCacheEvents();

 private:
  void Admit();
  void Store(routing::PrefixKey prefix);
  void RecordCacheEvent(routing::CacheEvent::Type type,
                        routing::PrefixKey prefix);

  EngineParameters parameters_;
  std::deque<Job> queue_;
  std::vector<Job> running_;
  /** Prompt tokens of each running job that the present step prefills. */
  std::vector<int> prefill_tokens_;
  bool stepping_ = false;
  std::list<routing::PrefixKey> cache_;  // most recently used first
  std::vector<routing::CacheEvent> events_;
  std::uint64_t sequence_ = 0;
  std::uint64_t lookups_ = 0;
  std::uint64_t hits_ = 0;
};

}  // namespace figwell::bench

#endif  // FIGWELL_BENCHMARK_ROUTING_ENGINE_MODEL_H_
