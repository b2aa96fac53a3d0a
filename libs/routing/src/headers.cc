#include <algorithm>
#include <array>

#include "figwell/routing.h"

namespace figwell::routing {
namespace {

constexpr std::array<std::string_view, 6> kEngineFields = {
    "accept",     "accept-language", "content-type",
    "tracestate", "traceparent",     "user-agent"};

constexpr std::array<std::string_view, 4> kServiceFields = {
    "idempotency-key", "if-match", "if-none-match", "prefer"};

constexpr std::array<std::string_view, 12> kCredentialWords = {
    "key",  "token",  "secret",    "password", "passwd", "auth",
    "cred", "bearer", "signature", "session",  "jwt",    "cookie"};

constexpr std::size_t kMaxHeaderValueBytes = 4096;

std::string ToLower(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return lower;
}

template <std::size_t kSize>
bool Contains(const std::array<std::string_view, kSize>& names,
              std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool IsAllowed(std::string_view lower_name, BackendKind kind) {
  return Contains(kEngineFields, lower_name) ||
         (kind == BackendKind::kService &&
          Contains(kServiceFields, lower_name));
}

/** Only printable ASCII and tabs: no folded lines, no other control bytes. */
bool IsPrintable(std::string_view value) {
  return value.size() <= kMaxHeaderValueBytes &&
         std::all_of(value.begin(), value.end(), [](char c) {
           return c == '\t' || (c >= ' ' && c <= '~');
         });
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/** Decodes percent-encoding and `+`, also if text was encoded repeatedly. */
std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() &&
                        HexDigit(text[i + 1]) >= 0 &&
                        HexDigit(text[i + 2]) >= 0;
    if (escape) {
      decoded.push_back(static_cast<char>(HexDigit(text[i + 1]) * 16 +
                                          HexDigit(text[i + 2])));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded != text && decoded.size() < text.size()
             ? PercentDecode(decoded)
             : decoded;
}

bool IsSeparator(char c) {
  return std::string_view(" \t,;:=\"'()<>&?/").find(c) !=
         std::string_view::npos;
}

/**
 * Finds keys in a text: the presented key as any substring, other keys as a
 * word or the full text.
 */
class KeyFinder {
 public:
  KeyFinder(std::string_view presented, const IsKnownKey& is_known)
      : presented_(presented), is_known_(is_known) {}

  bool FindsIn(std::string_view text) const {
    const std::string decoded = PercentDecode(text);
    return ContainsKey(text) || (decoded != text && ContainsKey(decoded));
  }

 private:
  bool ContainsKey(std::string_view text) const {
    if (!presented_.empty() &&
        text.find(presented_) != std::string_view::npos) {
      return true;
    }
    if (is_known_(Sha256(text))) {
      return true;
    }
    std::size_t start = 0;
    for (std::size_t i = 0; i <= text.size(); ++i) {
      if (i < text.size() && !IsSeparator(text[i])) {
        continue;
      }
      if (i > start && is_known_(Sha256(text.substr(start, i - start)))) {
        return true;
      }
      start = i + 1;
    }
    return false;
  }

  std::string_view presented_;
  const IsKnownKey& is_known_;
};

bool IsNamedLikeCredential(std::string_view name) {
  const std::string lower = ToLower(PercentDecode(name));
  return std::any_of(kCredentialWords.begin(), kCredentialWords.end(),
                     [&](std::string_view word) {
                       return lower.find(word) != std::string::npos;
                     });
}

std::string FilterQuery(std::string_view query, const KeyFinder& keys) {
  std::string kept;
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view parameter = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::string_view name = parameter.substr(0, parameter.find('='));
    if (parameter.empty() || IsNamedLikeCredential(name) ||
        keys.FindsIn(parameter)) {
      continue;
    }
    kept.append(kept.empty() ? "" : "&").append(parameter);
  }
  return kept;
}

}  // namespace

std::optional<BackendHead> HeadForBackend(const CallerHead& caller,
                                          BackendKind kind,
                                          const AttemptId& attempt,
                                          const IsKnownKey& is_known_key) {
  const KeyFinder keys(caller.presented_key, is_known_key);
  const std::string_view target = caller.target;
  const std::size_t fragment = std::min(target.find('#'), target.size());
  const std::size_t path_end = std::min(target.find('?'), fragment);
  BackendHead head;
  head.target = std::string(target.substr(0, path_end));
  if (keys.FindsIn(head.target)) {
    return std::nullopt;
  }
  if (kind == BackendKind::kService && path_end < fragment) {
    const std::string query =
        FilterQuery(target.substr(path_end + 1, fragment - path_end - 1), keys);
    if (!query.empty()) {
      head.target.append("?").append(query);
    }
  }
  head.headers.push_back({"x-request-id", attempt.value()});
  for (const HeaderField& field : caller.headers) {
    const std::string name = ToLower(field.name);
    const bool repeated =
        std::any_of(head.headers.begin(), head.headers.end(),
                    [&](const HeaderField& sent) { return sent.name == name; });
    if (!repeated && IsAllowed(name, kind) && IsPrintable(field.value) &&
        !keys.FindsIn(field.value)) {
      head.headers.push_back({name, field.value});
    }
  }
  return head;
}

bool KeyBelongsToTeam(const config::KeyIndex& keys, const Digest& key,
                      const TeamId& team) {
  const config::KeyOwner* owner = keys.Find(key);
  return owner != nullptr && owner->team == team;
}

}  // namespace figwell::routing
