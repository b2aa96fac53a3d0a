#include "figwell/http.h"

namespace figwell::http {
namespace {

std::string_view NextLine(std::string_view& rest) {
  const std::size_t end = rest.find('\n');
  std::string_view line = rest.substr(0, end);
  rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

std::string_view ValueOf(std::string_view line, std::size_t name_size) {
  line.remove_prefix(name_size);
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

void ApplyLine(std::string_view line, StreamEvent& event) {
  if (line.starts_with("data:")) {
    event.data += event.data.empty() ? "" : "\n";
    event.data += ValueOf(line, 5);
  } else if (line.starts_with("id:")) {
    const auto number = ParseInteger(ValueOf(line, 3));
    if (number && *number >= 0) {
      event.number = static_cast<std::uint64_t>(*number);
    }
  }
}

StreamEvent ParseEvent(std::string_view raw) {
  StreamEvent event;
  event.raw = std::string(raw);
  while (!raw.empty()) {
    ApplyLine(NextLine(raw), event);
  }
  return event;
}

// The position after the empty line that ends the first event; npos if the
// event is not complete.
std::size_t FindEventEnd(std::string_view text, std::size_t from) {
  for (std::size_t i = text.find('\n', from); i != std::string_view::npos;
       i = text.find('\n', i + 1)) {
    const std::string_view rest = text.substr(i + 1);
    if (rest.starts_with('\n')) {
      return i + 2;
    }
    if (rest.starts_with("\r\n")) {
      return i + 3;
    }
  }
  return std::string_view::npos;
}

// Bytes of a line feed and the empty line after it. They may be split across
// pieces, so the search resumes this far before the end.
constexpr std::size_t kMaxEventEndBytes = 3;

}  // namespace

Result<std::vector<StreamEvent>> EventStreamReader::Append(
    std::string_view piece) {
  pending_ += piece;
  std::vector<StreamEvent> events;
  std::size_t begin = 0;
  std::size_t from = searched_;
  while (true) {
    const std::size_t end = FindEventEnd(pending_, from);
    if (end == std::string_view::npos) {
      break;
    }
    events.push_back(
        ParseEvent(std::string_view{pending_}.substr(begin, end - begin)));
    begin = end;
    from = end;
  }
  pending_.erase(0, begin);
  searched_ = pending_.size() > kMaxEventEndBytes
                  ? pending_.size() - kMaxEventEndBytes
                  : 0;
  if (pending_.size() > kMaxEventBytes) {
    return Fail(ErrorCode::kTooLarge, "an event of the stream is too large");
  }
  return events;
}

}  // namespace figwell::http
