#include "check.h"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "figwell/adapter.h"
#include "files.h"
#include "tables.h"

namespace figwell::ctl {
namespace {

namespace json = boost::json;
using serving::CatalogDifference;
using serving::CatalogFinding;
using serving::CatalogPtr;

constexpr std::chrono::milliseconds kStoreTimeout{5'000};

/** What a check found; `errors` are invalid fields. */
struct CheckResult {
  Findings errors;
  std::vector<CatalogFinding> findings;
  std::vector<CatalogDifference> differences;
};

Result<std::string> ReadFromStore(const std::string& address) {
  if (!http::IsServerAddress(address)) {
    return Fail(ErrorCode::kInvalid, "--store must be IP:PORT");
  }
  boost::asio::io_context context;
  http::Client client(context, {});
  telemetry::Registry metrics;
  adapter::StoreClient store(client, address, kStoreTimeout, metrics);
  Result<std::string> text =
      Fail(ErrorCode::kUnavailable, "no answer from the store");
  store.Read(std::string(adapter::kConfigurationKey),
             [&](const Result<std::optional<store::KeyValue>>& item) {
               if (!item) {
                 text = tl::unexpected(item.error());
               } else if (!*item) {
                 text = Fail(ErrorCode::kNotFound,
                             "the store has no configuration");
               } else {
                 text = (*item)->value;
               }
               context.stop();
             });
  context.run();
  return text;
}

Result<CatalogPtr> ReadOther(const CheckOptions& options) {
  const Result<std::string> text = options.store.empty()
                                       ? ReadFile(options.files.at(1))
                                       : ReadFromStore(options.store);
  return text.and_then([](const std::string& read) {
    return adapter::DecodeConfiguration(read);
  });
}

void PrintTables(const CheckResult& result, std::ostream& out) {
  std::vector<std::vector<std::string>> rows{{"finding", "place", "message"}};
  for (const Finding& error : result.errors) {
    rows.push_back({"error", error.place, error.message});
  }
  for (const CatalogFinding& finding : result.findings) {
    rows.push_back({std::string(serving::Name(finding.problem)), finding.place,
                    finding.message});
  }
  out << (rows.size() == 1 ? "no findings\n" : FormatTable(rows));
  if (result.differences.empty()) {
    return;
  }
  rows = {{"changed", "field", "before", "after"}};
  for (const CatalogDifference& difference : result.differences) {
    rows.push_back({difference.place, difference.field, difference.before,
                    difference.after});
  }
  out << '\n' << FormatTable(rows);
}

void PrintJson(const CheckResult& result, std::ostream& out) {
  json::array findings;
  for (const Finding& error : result.errors) {
    findings.push_back({{"finding", "error"},
                        {"place", error.place},
                        {"message", error.message}});
  }
  for (const CatalogFinding& finding : result.findings) {
    findings.push_back(
        {{"finding", std::string(serving::Name(finding.problem))},
         {"place", finding.place},
         {"message", finding.message}});
  }
  json::array differences;
  for (const CatalogDifference& difference : result.differences) {
    differences.push_back({{"place", difference.place},
                           {"field", difference.field},
                           {"before", difference.before},
                           {"after", difference.after}});
  }
  out << json::serialize(json::object{{"findings", std::move(findings)},
                                      {"differences", std::move(differences)}})
      << '\n';
}

bool IsUsable(const CheckOptions& options) {
  const std::size_t others =
      (options.files.size() == 2 ? 1U : 0U) + (options.store.empty() ? 0U : 1U);
  return (options.files.size() == 1 || options.files.size() == 2) &&
         others <= 1;
}

}  // namespace

std::string CheckUsage() {
  return "  check FILE [OTHER]      errors, entries that are never used, "
         "contradictions, and with\n"
         "                          OTHER or --store what differs; exits with "
         "0: sound,\n"
         "                          1: findings, 2: unreadable\n";
}

int RunCheck(const CheckOptions& options, std::ostream& out,
             std::ostream& errors) {
  if (!IsUsable(options)) {
    errors << "usage: figwellctl check FILE [OTHER | --store IP:PORT]\n";
    return kCheckUnreadable;
  }
  const Result<std::string> text = ReadFile(options.files.front());
  if (!text) {
    errors << text.error().message << '\n';
    return kCheckUnreadable;
  }
  CheckResult result;
  const Result<CatalogPtr> catalog = adapter::DecodeConfiguration(*text);
  if (!catalog && catalog.error().findings.empty()) {
    errors << options.files.front() << ": " << catalog.error().message << '\n';
    return kCheckUnreadable;
  }
  if (catalog) {
    result.findings = serving::CheckCatalog(**catalog);
  } else {
    result.errors = catalog.error().findings;
  }
  if (catalog && (options.files.size() == 2 || !options.store.empty())) {
    const Result<CatalogPtr> other = ReadOther(options);
    if (!other) {
      errors << "the other version: " << other.error().message << '\n';
      return kCheckUnreadable;
    }
    result.differences = serving::CompareCatalogs(**other, **catalog);
    const auto opened = serving::FindOpenedRoutes(**other, **catalog);
    result.findings.insert(result.findings.end(), opened.begin(), opened.end());
  }
  if (options.json) {
    PrintJson(result, out);
  } else {
    PrintTables(result, out);
  }
  return result.errors.empty() && result.findings.empty() ? kCheckSound
                                                          : kCheckFindings;
}

}  // namespace figwell::ctl
