// The engine's handling of generation requests.

#include <fmt/format.h>

#include "engine.h"

namespace figwell::fakes {

namespace json = boost::json;

namespace {

constexpr std::size_t kDefaultTokens = 8;
constexpr std::size_t kMaxKeptGenerations = 1000;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kMaxKeptCacheEvents = 1000;

std::string PromptOf(const json::value& body) {
  const auto* map = body.if_object();
  if (map == nullptr) {
    return {};
  }
  if (const auto* messages = map->if_contains("messages")) {
    return json::serialize(*messages);
  }
  const auto* prompt = map->if_contains("prompt");
  return prompt != nullptr ? json::serialize(*prompt) : std::string();
}

ResidentKey KeyOf(const json::value& body) {
  const std::string name = GetText(body, "model");
  const std::size_t colon = name.rfind(':');
  return {name.substr(0, colon),
          colon == std::string::npos ? "" : name.substr(colon + 1),
          GetText(body, "adapter")};
}

}  // namespace

Engine::GenerationPtr Engine::MakeGeneration(const http::Request& request,
                                             const json::value& body) const {
  auto generation = std::make_shared<Generation>();
  generation->request_id = std::string(request.headers.Find("X-Request-Id"));
  generation->model = GetText(body, "model");
  const auto* map = body.if_object();
  const auto* stream = map->if_contains("stream");
  generation->streamed =
      stream != nullptr && stream->is_bool() && stream->get_bool();
  const std::string prompt = PromptOf(body);
  generation->prompt_tokens =
      static_cast<std::int64_t>(prompt.size() / kBytesPerToken + 1);
  const auto count =
      static_cast<std::size_t>(GetNumber(body, "max_tokens", kDefaultTokens));
  const std::string digest = ToHex(Sha256(prompt));
  generation->tokens.push_back(digest);
  for (std::size_t i = 1; i < count; ++i) {
    generation->tokens.push_back(
        fmt::format(" {}{}", digest.substr(i % 50, 4), i));
  }
  return generation;
}

void Engine::OnGenerate(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  for (const auto& field : request.headers.fields()) {
    received_headers_.insert(field.name + ": " + field.value);
  }
  ++request_count_;
  if (fault_.Consume("refuse")) {
    exchange->Send(JsonAnswer(503, {{"error", "overloaded"}}));
    return;
  }
  if (fault_.Consume("drop")) {
    exchange->Abort();
    return;
  }
  const json::value body = ParseBody(request);
  if (!body.is_object()) {
    exchange->Send(JsonAnswer(400, {{"error", "not JSON"}}));
    return;
  }
  const ResidentKey key = KeyOf(body);
  const ResidentKey base{key.model, key.version, ""};
  if (!memory_.IsReady(base) ||
      (!key.adapter.empty() && !memory_.IsReady(key))) {
    exchange->Send(JsonAnswer(404, {{"error", "not resident"}}));
    return;
  }
  const GenerationPtr generation = MakeGeneration(request, body);
  recent_generations_[generation->request_id] = generation;
  recent_ids_.push_back(generation->request_id);
  if (recent_ids_.size() > kMaxKeptGenerations) {
    recent_generations_.erase(recent_ids_.front());
    recent_ids_.pop_front();
  }
  cache_events_.push_back(
      {{"seq", ++cache_sequence_},
       {"model", generation->model},
       {"prefix",
        ToHex(Sha256(PromptOf(body).substr(0, kPrefixBytes))).substr(0, 16)},
       {"type", "stored"}});
  if (cache_events_.size() > kMaxKeptCacheEvents) {
    cache_events_.erase(cache_events_.begin());
  }
  Enqueue(exchange, generation, 0);
}

void Engine::OnResume(const http::ExchangePtr& exchange) {
  const json::value body = ParseBody(exchange->request());
  const auto found = recent_generations_.find(GetText(body, "request_id"));
  const auto offset = static_cast<std::size_t>(GetNumber(body, "offset"));
  if (found == recent_generations_.end() ||
      offset > found->second->tokens.size()) {
    exchange->Send(JsonAnswer(404, {{"error", "no such stream"}}));
    return;
  }
  Enqueue(exchange, found->second, offset);
}

void Engine::Enqueue(const http::ExchangePtr& exchange,
                     GenerationPtr generation, std::size_t offset) {
  const auto run = std::make_shared<Run>();
  run->exchange = exchange;
  run->attempt_id =
      std::string(exchange->request().headers.Find("X-Request-Id"));
  run->generation = std::move(generation);
  run->next_token = offset;
  run->timer = std::make_unique<boost::asio::steady_timer>(context_);
  exchange->OnClosed([this, weak = std::weak_ptr<Run>(run)] {
    if (const auto closed = weak.lock()) {
      EndRun(closed);
    }
  });
  queued_.push_back(run);
  StartQueuedRuns();
}

void Engine::StartQueuedRuns() {
  while (!queued_.empty() &&
         running_.size() < static_cast<std::size_t>(options_.slots)) {
    const RunPtr run = queued_.front();
    queued_.pop_front();
    if (!run->ended) {
      running_.insert(run);
      BeginRun(run);
    }
  }
}

std::string Engine::EchoedId(const Run& run) {
  return fault_.Consume("cross") ? "somebody-else" : run.attempt_id;
}

void Engine::BeginRun(const RunPtr& run) {
  if (run->generation->streamed) {
    run->exchange->StartStream(200, {{"Content-Type", "text/event-stream"},
                                     {"X-Request-Id", EchoedId(*run)}});
  }
  ScheduleNextToken(run);
}

void Engine::ScheduleNextToken(const RunPtr& run) {
  if (run->ended) {
    return;
  }
  const auto delay = fault_.Consume("slow")
                         ? std::chrono::milliseconds(fault_.delay_ms)
                         : options_.token_time;
  run->timer->expires_after(delay);
  run->timer->async_wait([this, run](const boost::system::error_code& error) {
    if (!error && !run->ended) {
      SendToken(run);
    }
  });
}

json::object Engine::Usage(const Generation& generation) const {
  const auto completion = static_cast<std::int64_t>(generation.tokens.size());
  return {{"prompt_tokens", generation.prompt_tokens},
          {"completion_tokens", completion},
          {"total_tokens", generation.prompt_tokens + completion}};
}

std::string Engine::EventFor(const Run& run) const {
  const json::value choice{
      {"index", 0},
      {"delta", {{"content", run.generation->tokens[run.next_token]}}}};
  json::object event{{"id", run.generation->request_id},
                     {"object", "chat.completion.chunk"},
                     {"model", run.generation->model},
                     {"choices", json::array{choice}}};
  return fmt::format("id: {}\ndata: {}\n\n", run.next_token,
                     json::serialize(event));
}

void Engine::SendToken(const RunPtr& run) {
  if (run->next_token == run->generation->tokens.size()) {
    FinishRun(run);
    return;
  }
  ++generated_tokens_;
  const std::string event = EventFor(*run);
  ++run->next_token;
  if (!run->generation->streamed) {
    ScheduleNextToken(run);
    return;
  }
  if (run->next_token > 2 && fault_.Consume("truncate")) {
    run->exchange->Abort();
    EndRun(run);
    return;
  }
  run->exchange->Write(event, [this, run](bool ok) {
    if (ok) {
      ScheduleNextToken(run);
    }
  });
}

void Engine::FinishRun(const RunPtr& run) {
  const Generation& generation = *run->generation;
  if (generation.streamed) {
    const json::value last{{"id", generation.request_id},
                           {"choices", json::array()},
                           {"usage", Usage(generation)}};
    run->exchange->Write(
        fmt::format("id: {}\ndata: {}\n\nid: {}\ndata: [DONE]\n\n",
                    run->next_token, json::serialize(last),
                    run->next_token + 1),
        nullptr);
    run->exchange->Finish();
    EndRun(run);
    return;
  }
  std::string content;
  for (const std::string& token : generation.tokens) {
    content += token;
  }
  const json::value choice{
      {"index", 0},
      {"message", {{"role", "assistant"}, {"content", content}}},
      {"finish_reason", "stop"}};
  http::Response response = JsonAnswer(200, {{"id", generation.request_id},
                                             {"object", "chat.completion"},
                                             {"model", generation.model},
                                             {"choices", json::array{choice}},
                                             {"usage", Usage(generation)}});
  response.headers.Add("X-Request-Id", EchoedId(*run));
  if (fault_.Consume("truncate")) {
    run->exchange->StartStream(200, response.headers);
    run->exchange->Write(
        response.body.substr(0, response.body.size() / 2),
        [exchange = run->exchange](bool) { exchange->Abort(); });
  } else {
    run->exchange->Send(std::move(response));
  }
  EndRun(run);
}

void Engine::EndRun(const RunPtr& run) {
  run->ended = true;
  run->timer->cancel();
  running_.erase(run);
  StartQueuedRuns();
}

}  // namespace figwell::fakes
