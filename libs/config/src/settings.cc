#include <filesystem>

#include "address.h"
#include "figwell/config.h"
#include "yaml_reader.h"

namespace figwell::config {
namespace {

constexpr std::int64_t kMaxThreads = 256;

void ReadAddress(MappingReader& reader, const std::string& name,
                 std::string& out) {
  out = reader.RequiredText(name);
  if (!out.empty() && !IsIpAndPort(out, /*allow_port_zero=*/true)) {
    reader.Report(name, "must be IP:PORT");
  }
}

void ReadAddresses(MappingReader& reader, const std::string& name,
                   std::vector<std::string>& out) {
  out = reader.Texts(name);
  for (const std::string& address : out) {
    if (!IsIpAndPort(address)) {
      reader.Report(name, address + " is not IP:PORT");
    }
  }
}

void ReadPlatform(MappingReader reader, Settings& settings) {
  ReadAddresses(reader, "endpoints", settings.platform_endpoints);
  if (settings.platform_endpoints.empty()) {
    reader.Report("endpoints", "must name at least one endpoint");
  }
  settings.platform_prefix = reader.Text("prefix", settings.platform_prefix);
  if (settings.platform_prefix.size() < 2 ||
      !settings.platform_prefix.ends_with('/')) {
    reader.Report("prefix", "must end with '/' and hold a name");
  }
  reader.ReportUnknownFields();
}

void ReadListen(MappingReader reader, Role role, Settings& settings) {
  if (role == Role::kGateway || reader.Field("callers").IsDefined()) {
    ReadAddress(reader, "callers", settings.listen_callers);
  }
  ReadAddress(reader, "admin", settings.listen_admin);
  ReadAddress(reader, "peers", settings.listen_peers);
  reader.ReportUnknownFields();
}

void ReadPeers(MappingReader reader, Settings& settings) {
  ReadAddresses(reader, "seeds", settings.peer_seeds);
  settings.peer_secret_file = reader.RequiredText("secret_file");
  settings.peer_other_secret_file = reader.Text("other_secret_file");
  reader.ReportUnknownFields();
}

void ReadOperators(const YAML::Node& node, FindingSink& sink,
                   Settings& settings) {
  if (!node.IsDefined() || node.IsNull()) {
    return;
  }
  if (!node.IsSequence()) {
    sink.Report(node.Mark(), "operators", "must be a list");
    return;
  }
  std::set<OperatorId> names;
  for (std::size_t i = 0; i < node.size(); ++i) {
    MappingReader reader(node[i], "operators." + std::to_string(i), sink);
    Operator entry;
    entry.name = OperatorId(reader.RequiredText("name"));
    const Result<Digest> digest =
        DigestFromHex(reader.RequiredText("token_sha256"));
    if (!digest) {
      reader.Report("token_sha256",
                    "must be a SHA-256 digest of 64 hexadecimal digits");
    }
    if (!names.insert(entry.name).second) {
      reader.Report("name", "is used twice: audit lines would be ambiguous");
    }
    entry.token_sha256 = digest.value_or(Digest());
    reader.ReportUnknownFields();
    settings.operators.push_back(std::move(entry));
  }
}

void ReadLog(MappingReader reader, Settings& settings) {
  const std::map<std::string, LogLevel> levels = {
      {"debug", LogLevel::kDebug},
      {"info", LogLevel::kInfo},
      {"warning", LogLevel::kWarning},
      {"error", LogLevel::kError}};
  const auto level = levels.find(reader.Text("level", "info"));
  if (level == levels.end()) {
    reader.Report("level", "must be debug, info, warning or error");
  } else {
    settings.log_level = level->second;
  }
  const std::string format = reader.Text("format", "text");
  if (format != "text" && format != "json") {
    reader.Report("format", "must be text or json");
  }
  settings.log_format = format == "json" ? LogFormat::kJson : LogFormat::kText;
  reader.ReportUnknownFields();
}

Settings ReadSettings(const YAML::Node& document, Role role,
                      FindingSink& sink) {
  Settings settings;
  MappingReader reader(document, "", sink);
  settings.instance = InstanceId(reader.RequiredText("instance"));
  settings.failure_domain = DomainId(reader.RequiredText("failure_domain"));
  settings.region = RegionId(reader.Text("region"));
  ReadPlatform(reader.Mapping("platform"), settings);
  ReadListen(reader.Mapping("listen"), role, settings);
  ReadPeers(reader.Mapping("peers"), settings);
  ReadOperators(reader.Field("operators"), sink, settings);
  const std::int64_t threads = reader.Integer("threads", settings.threads);
  if (threads < 1 || threads > kMaxThreads) {
    reader.Report("threads", "must be from 1 to 256");
  } else {
    settings.threads = static_cast<int>(threads);
  }
  ReadLog(reader.Mapping("log"), settings);
  reader.ReportUnknownFields();
  return settings;
}

std::string RelativeTo(const std::string& file, const std::string& path) {
  return path.empty()
             ? path
             : (std::filesystem::path(file).parent_path() / path).string();
}

}  // namespace

Result<Settings> ParseSettings(std::string_view yaml, const std::string& file,
                               Role role) {
  return ParseYaml<Settings>(
      yaml, file, [role](const YAML::Node& document, FindingSink& sink) {
        return ReadSettings(document, role, sink);
      });
}

Result<Settings> LoadSettings(const std::string& file, Role role) {
  const Result<std::string> text = ReadSettingsFile(file);
  if (!text) {
    return tl::unexpected(text.error());
  }
  Result<Settings> settings = ParseSettings(*text, file, role);
  if (settings) {
    settings->peer_secret_file = RelativeTo(file, settings->peer_secret_file);
    settings->peer_other_secret_file =
        RelativeTo(file, settings->peer_other_secret_file);
  }
  return settings;
}

const Operator* FindOperator(const std::vector<Operator>& operators,
                             std::string_view token) {
  const Digest digest = Sha256(token);
  const Operator* found = nullptr;
  for (const Operator& candidate : operators) {
    if (ConstantTimeEqual(candidate.token_sha256, digest)) {
      found = &candidate;
    }
  }
  return found;
}

}  // namespace figwell::config
