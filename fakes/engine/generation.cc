// The engine's handling of generation requests.

#include <fmt/format.h>

#include "engine.h"

namespace figwell::fakes {

namespace json = boost::json;

namespace {

constexpr std::size_t kDefaultTokens = 8;
constexpr std::size_t kKeptGenerations = 1000;
constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kKeptCacheEvents = 1000;

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
    headers_seen_.insert(field.name + ": " + field.value);
  }
  ++requests_;
  if (fault_.Hit("refuse")) {
    exchange->Send(JsonAnswer(503, {{"error", "overloaded"}}));
    return;
  }
  if (fault_.Hit("drop")) {
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
  recent_[generation->request_id] = generation;
  recent_order_.push_back(generation->request_id);
  if (recent_order_.size() > kKeptGenerations) {
    recent_.erase(recent_order_.front());
    recent_order_.pop_front();
  }
  cache_events_.push_back(
      {{"seq", ++cache_sequence_},
       {"model", generation->model},
       {"prefix",
        ToHex(Sha256(PromptOf(body).substr(0, kPrefixBytes))).substr(0, 16)},
       {"type", "stored"}});
  if (cache_events_.size() > kKeptCacheEvents) {
    cache_events_.erase(cache_events_.begin());
  }
  Enqueue(exchange, generation, 0);
}

void Engine::OnResume(const http::ExchangePtr& exchange) {
  const json::value body = ParseBody(exchange->request());
  const auto found = recent_.find(GetText(body, "request_id"));
  const auto offset = static_cast<std::size_t>(GetNumber(body, "offset"));
  if (found == recent_.end() || offset > found->second->tokens.size()) {
    exchange->Send(JsonAnswer(404, {{"error", "no such stream"}}));
    return;
  }
  Enqueue(exchange, found->second, offset);
}

void Engine::Enqueue(const http::ExchangePtr& exchange,
                     GenerationPtr generation, std::size_t offset) {
  const auto run = std::make_shared<Run>();
  run->exchange = exchange;
  run->attempt = std::string(exchange->request().headers.Find("X-Request-Id"));
  run->generation = std::move(generation);
  run->next = offset;
  run->timer = std::make_unique<boost::asio::steady_timer>(context_);
  exchange->OnClosed([this, weak = std::weak_ptr<Run>(run)] {
    if (const auto closed = weak.lock()) {
      Leave(closed);
    }
  });
  waiting_.push_back(run);
  StartWaiting();
}

void Engine::StartWaiting() {
  while (!waiting_.empty() &&
         running_.size() < static_cast<std::size_t>(options_.slots)) {
    const RunPtr run = waiting_.front();
    waiting_.pop_front();
    if (!run->gone) {
      running_.insert(run);
      Begin(run);
    }
  }
}

std::string Engine::EchoedId(const Run& run) {
  return fault_.Hit("cross") ? "somebody-else" : run.attempt;
}

void Engine::Begin(const RunPtr& run) {
  if (run->generation->streamed) {
    run->exchange->StartStream(200, {{"Content-Type", "text/event-stream"},
                                     {"X-Request-Id", EchoedId(*run)}});
  }
  NextToken(run);
}

void Engine::NextToken(const RunPtr& run) {
  if (run->gone) {
    return;
  }
  const auto pause = fault_.Hit("slow")
                         ? std::chrono::milliseconds(fault_.delay_ms)
                         : options_.token_time;
  run->timer->expires_after(pause);
  run->timer->async_wait([this, run](const boost::system::error_code& error) {
    if (!error && !run->gone) {
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
      {"index", 0}, {"delta", {{"content", run.generation->tokens[run.next]}}}};
  json::object event{{"id", run.generation->request_id},
                     {"object", "chat.completion.chunk"},
                     {"model", run.generation->model},
                     {"choices", json::array{choice}}};
  return fmt::format("id: {}\ndata: {}\n\n", run.next, json::serialize(event));
}

void Engine::SendToken(const RunPtr& run) {
  if (run->next == run->generation->tokens.size()) {
    Finish(run);
    return;
  }
  ++generated_;
  const std::string event = EventFor(*run);
  ++run->next;
  if (!run->generation->streamed) {
    NextToken(run);
    return;
  }
  if (run->next > 2 && fault_.Hit("truncate")) {
    run->exchange->Abort();
    Leave(run);
    return;
  }
  run->exchange->Write(event, [this, run](bool ok) {
    if (ok) {
      NextToken(run);
    }
  });
}

void Engine::Finish(const RunPtr& run) {
  const Generation& generation = *run->generation;
  if (generation.streamed) {
    const json::value last{{"id", generation.request_id},
                           {"choices", json::array()},
                           {"usage", Usage(generation)}};
    run->exchange->Write(
        fmt::format("id: {}\ndata: {}\n\nid: {}\ndata: [DONE]\n\n", run->next,
                    json::serialize(last), run->next + 1),
        nullptr);
    run->exchange->Finish();
    Leave(run);
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
  if (fault_.Hit("truncate")) {
    run->exchange->StartStream(200, response.headers);
    run->exchange->Write(
        response.body.substr(0, response.body.size() / 2),
        [exchange = run->exchange](bool) { exchange->Abort(); });
  } else {
    run->exchange->Send(std::move(response));
  }
  Leave(run);
}

void Engine::Leave(const RunPtr& run) {
  run->gone = true;
  run->timer->cancel();
  running_.erase(run);
  StartWaiting();
}

}  // namespace figwell::fakes
