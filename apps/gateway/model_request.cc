#include "model_request.h"

#include <algorithm>
#include <boost/json.hpp>

namespace figwell::gateway {

namespace json = boost::json;

namespace {

constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kPrefixHexDigits = 16;
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr int kMaxPriority = 9;

tl::unexpected<Refused> Refuse(Refusal refusal, std::string message) {
  return tl::unexpected(Refused{refusal, std::move(message)});
}

tl::unexpected<Refused> BadRequest(std::string message) {
  return Refuse(Refusal::kBadRequest, std::move(message));
}

tl::expected<json::object, Refused> ParseObject(std::string_view body) {
  boost::system::error_code error;
  // The parser validates UTF-8 and rejects nesting deeper than 32 levels.
  json::value value =
      json::parse(json::string_view(body.data(), body.size()), error);
  if (error) {
    return BadRequest("the body is not JSON: " + error.message());
  }
  if (!value.is_object()) {
    return BadRequest("the body is not a JSON object");
  }
  return std::move(value.get_object());
}

tl::expected<config::ModelTarget, Refused> ReadTarget(
    const json::object& body, const config::Configuration& configuration,
    const config::Team& team) {
  const json::value* model = body.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return BadRequest("`model` is missing or not text");
  }
  const auto name = model->get_string();
  const auto target =
      config::ResolveModel(configuration, std::string_view{name});
  if (!target) {
    return Refuse(Refusal::kModelNotFound, "no such model is offered");
  }
  if (!team.models.contains(target->model)) {
    return Refuse(Refusal::kNotAllowed, "the team may not use this model");
  }
  return *target;
}

tl::expected<std::int64_t, Refused> ReadMaxTokens(const json::object& body,
                                                  std::int64_t model_limit) {
  const json::value* requested = body.if_contains("max_tokens");
  if (requested == nullptr) {
    requested = body.if_contains("max_completion_tokens");
  }
  if (requested == nullptr || requested->is_null()) {
    return model_limit;
  }
  if (!requested->is_int64() || requested->get_int64() < 1) {
    return BadRequest("`max_tokens` has to be a whole number above 0");
  }
  if (requested->get_int64() > model_limit) {
    return BadRequest("`max_tokens` is above the model's " +
                      std::to_string(model_limit));
  }
  return requested->get_int64();
}

tl::expected<bool, Refused> ReadStream(const json::object& body) {
  const json::value* stream = body.if_contains("stream");
  if (stream == nullptr) {
    return false;
  }
  if (!stream->is_bool()) {
    return BadRequest("`stream` has to be true or false");
  }
  return stream->get_bool();
}

// Several answers to one prompt would each need a charge of their own.
bool RequestsSingleAnswer(const json::object& body) {
  const json::value* count = body.if_contains("n");
  return count == nullptr || (count->is_int64() && count->get_int64() == 1);
}

std::string PromptOf(const json::object& body) {
  for (const char* name : {"messages", "prompt", "input"}) {
    if (const json::value* prompt = body.if_contains(name)) {
      return json::serialize(*prompt);
    }
  }
  return {};
}

std::string MakeEngineBody(json::object body, const ModelRequest& request) {
  const config::ModelTarget& target = request.target;
  body["model"] = target.model.value() + ":" + target.version.value();
  body.erase("adapter");
  if (!target.adapter.empty()) {
    body["adapter"] = target.adapter.value();
  }
  body.erase("max_completion_tokens");
  body["max_tokens"] = request.max_tokens;
  if (request.streamed) {
    // The charge is settled by the usage that the engine reports.
    body["stream_options"] = {{"include_usage", true}};
  }
  return json::serialize(body);
}

bool NamesVersion(const json::object& body, const config::ModelTarget& target) {
  return target.adapter.empty() &&
         std::string_view(body.at("model").get_string()) !=
             target.model.value();
}

bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

tl::expected<ModelRequest, Refused> ParseModelRequest(
    std::string_view body, const config::Configuration& configuration,
    const config::Team& team) {
  auto object = ParseObject(body);
  if (!object) {
    return tl::unexpected(object.error());
  }
  const auto target = ReadTarget(*object, configuration, team);
  if (!target) {
    return tl::unexpected(target.error());
  }
  const config::Model& model = configuration.models.at(target->model);
  const auto max_tokens = ReadMaxTokens(*object, model.max_tokens);
  if (!max_tokens) {
    return tl::unexpected(max_tokens.error());
  }
  const auto streamed = ReadStream(*object);
  if (!streamed) {
    return tl::unexpected(streamed.error());
  }
  if (!RequestsSingleAnswer(*object)) {
    return BadRequest("`n` other than 1 is not offered");
  }
  ModelRequest request;
  request.target = *target;
  request.version_named = NamesVersion(*object, *target);
  request.streamed = *streamed;
  request.max_tokens = *max_tokens;
  const std::string prompt = PromptOf(*object);
  request.prompt_bytes = static_cast<std::int64_t>(prompt.size());
  request.prefix =
      ToHex(Sha256(prompt.substr(0, kPrefixBytes))).substr(0, kPrefixHexDigits);
  request.engine_body = MakeEngineBody(std::move(*object), request);
  return request;
}

void UseVersion(ModelRequest& request, const VersionId& version) {
  request.target.version = version;
  json::object body = json::parse(request.engine_body).as_object();
  request.engine_body = MakeEngineBody(std::move(body), request);
}

tl::expected<CallerOptions, Refused> ReadCallerOptions(
    const http::Headers& headers, int max_priority) {
  CallerOptions options;
  if (headers.Contains("Figwell-Deadline-Ms")) {
    const auto deadline = ParseInteger(headers.Find("Figwell-Deadline-Ms"));
    if (!deadline || *deadline < 1 || *deadline > kMaxDeadline.count()) {
      return BadRequest("`Figwell-Deadline-Ms` has to be from 1 to 3600000");
    }
    options.deadline = std::chrono::milliseconds(*deadline);
  }
  if (headers.Contains("Figwell-Priority")) {
    const auto priority = ParseInteger(headers.Find("Figwell-Priority"));
    if (!priority || *priority < 0 || *priority > kMaxPriority) {
      return BadRequest("`Figwell-Priority` has to be from 0 to 9");
    }
    if (*priority > max_priority) {
      return Refuse(Refusal::kNotAllowed,
                    "the team may not ask for this priority");
    }
    options.priority = static_cast<int>(*priority);
  }
  options.idempotency_key = std::string(headers.Find("Idempotency-Key"));
  options.request_id = std::string(headers.Find("X-Request-Id"));
  if (headers.Count("Idempotency-Key") > 1 ||
      options.idempotency_key.size() > kMaxIdempotencyKeyBytes ||
      !IsVisibleAscii(options.idempotency_key)) {
    return BadRequest(
        "`Idempotency-Key` has to be up to 255 visible characters");
  }
  if (options.request_id.size() > kMaxRequestIdBytes ||
      !IsVisibleAscii(options.request_id)) {
    return BadRequest("`X-Request-Id` has to be up to 128 visible characters");
  }
  return options;
}

}  // namespace figwell::gateway
