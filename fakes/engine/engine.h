#ifndef FIGWELL_FAKES_ENGINE_ENGINE_H_
#define FIGWELL_FAKES_ENGINE_ENGINE_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake.h"
#include "memory.h"

namespace figwell::fakes {

struct EngineOptions {
  std::string name;
  std::int64_t memory_bytes = 0;
  bool checks_fencing = false;
  int slots = 8;
  std::chrono::milliseconds token_time{1};
  std::chrono::milliseconds load_time{20};
  std::chrono::milliseconds report_lag{0};
};

/**
 * An engine without a model: each response consists of the digest of its
 * prompt, so that a test can check that it received the response to its own
 * prompt, and all of it.
 */
class Engine {
 public:
  Engine(boost::asio::io_context& context, EngineOptions options);

  void OnRequest(const http::ExchangePtr& exchange);

 private:
  // A generated response, kept so that a broken stream can be resumed.
  struct Generation {
    std::string request_id;
    std::string model;
    std::vector<std::string> tokens;
    std::int64_t prompt_tokens = 0;
    bool streamed = false;
  };
  using GenerationPtr = std::shared_ptr<const Generation>;

  // The transmission of a generation on one connection.
  struct Run {
    http::ExchangePtr exchange;
    GenerationPtr generation;
    /** The id of the attempt that receives the response. */
    std::string attempt_id;
    std::size_t next_token = 0;
    bool ended = false;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };
  using RunPtr = std::shared_ptr<Run>;

  void OnOrder(const http::ExchangePtr& exchange);
  void OnGenerate(const http::ExchangePtr& exchange);
  void OnResume(const http::ExchangePtr& exchange);
  void SendReport(const http::ExchangePtr& exchange);
  void SendCacheEvents(const http::ExchangePtr& exchange);
  boost::json::object MakeReport() const;

  GenerationPtr MakeGeneration(const http::Request& request,
                               const boost::json::value& body) const;
  void Enqueue(const http::ExchangePtr& exchange, GenerationPtr generation,
               std::size_t offset);
  void StartQueuedRuns();
  void BeginRun(const RunPtr& run);
  void ScheduleNextToken(const RunPtr& run);
  void SendToken(const RunPtr& run);
  void FinishRun(const RunPtr& run);
  void EndRun(const RunPtr& run);
  std::string EventFor(const Run& run) const;
  boost::json::object Usage(const Generation& generation) const;
  std::string EchoedId(const Run& run);

  boost::asio::io_context& context_;
  EngineOptions options_;
  std::string incarnation_;
  EngineMemory memory_;
  Fault fault_{};
  bool draining_ = false;
  std::deque<RunPtr> queued_;
  std::set<RunPtr> running_;
  std::map<std::string, GenerationPtr> recent_generations_;
  std::deque<std::string> recent_ids_;
  boost::json::array cache_events_;
  std::int64_t cache_sequence_ = 0;
  boost::asio::steady_timer report_timer_;
  boost::json::object delayed_report_;
  std::int64_t generated_tokens_ = 0;
  std::int64_t request_count_ = 0;
  std::set<std::string> received_headers_;
};

}  // namespace figwell::fakes

#endif  // FIGWELL_FAKES_ENGINE_ENGINE_H_
