#include <cereal/archives/portable_binary.hpp>
#include <sstream>

#include "figwell/routing.h"

namespace figwell::routing {
namespace {

constexpr std::uint8_t kFormat = 1;

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

void WriteText(Writer& writer, const std::string& text) {
  const auto length = static_cast<std::uint32_t>(text.size());
  writer(length, cereal::binary_data(text.data(), text.size()));
}

/** Reads a text; `max_bytes` (the record's size) bounds the allocation. */
std::string ReadText(Reader& reader, std::size_t max_bytes) {
  std::uint32_t length = 0;
  reader(length);
  if (length > max_bytes) {
    throw cereal::Exception("text length exceeds the claim record");
  }
  std::string text(length, '\0');
  reader(cereal::binary_data(text.data(), text.size()));
  return text;
}

ClaimRecord ReadRecord(Reader& reader, std::size_t max_bytes) {
  ClaimRecord record;
  std::uint8_t format = 0;
  std::uint8_t state = 0;
  reader(format, state, record.request);
  if (format != kFormat ||
      state > static_cast<std::uint8_t>(ClaimRecord::State::kFinished)) {
    throw cereal::Exception("claim record has an unknown format or state");
  }
  record.state = static_cast<ClaimRecord::State>(state);
  record.owner = ReadText(reader, max_bytes);
  std::int32_t status = 0;
  reader(status, record.answer.kept);
  record.answer.status = status;
  record.answer.content_type = ReadText(reader, max_bytes);
  record.answer.body = ReadText(reader, max_bytes);
  return record;
}

}  // namespace

std::string EncodeClaim(const ClaimRecord& record) {
  std::ostringstream out;
  Writer writer(out);
  writer(kFormat, static_cast<std::uint8_t>(record.state), record.request);
  WriteText(writer, record.owner);
  writer(static_cast<std::int32_t>(record.answer.status), record.answer.kept);
  WriteText(writer, record.answer.content_type);
  WriteText(writer, record.answer.body);
  return std::move(out).str();
}

Result<ClaimRecord> DecodeClaim(std::string_view text) {
  // cereal throws on short input; the exception becomes an error here.
  try {
    std::istringstream in{std::string(text)};
    Reader reader(in);
    ClaimRecord record = ReadRecord(reader, text.size());
    if (in.peek() != std::istringstream::traits_type::eof()) {
      return Fail(ErrorCode::kProtocol, "claim record has trailing bytes");
    }
    return record;
  } catch (const cereal::Exception& error) {
    return Fail(ErrorCode::kProtocol, error.what());
  }
}

Digest RequestDigest(std::string_view method, std::string_view target,
                     std::string_view content_type, std::string_view body) {
  // Length prefixes, so that no two requests concatenate to the same text.
  std::string text;
  for (const std::string_view part : {method, target, content_type, body}) {
    text.append(std::to_string(part.size())).append(":").append(part);
  }
  return Sha256(text);
}

std::string ClaimKey(std::string_view prefix, const TeamId& team,
                     std::string_view idempotency_key) {
  std::string scope = std::to_string(team.value().size());
  scope.append(":").append(team.value()).append(idempotency_key);
  return std::string(prefix).append(ToHex(Sha256(scope)));
}

std::string_view Name(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kDispatch:
      return "dispatch";
    case ClaimVerdict::kReplay:
      return "replay";
    case ClaimVerdict::kUnknown:
      return "unknown";
    case ClaimVerdict::kConflict:
      return "conflict";
    case ClaimVerdict::kNotRun:
      return "not_run";
  }
  return "unknown";
}

}  // namespace figwell::routing
