#include "tables.h"

#include <fmt/chrono.h>
#include <fmt/core.h>

#include <algorithm>
#include <boost/json.hpp>
#include <ctime>

namespace figwell::ctl {
namespace {

namespace json = boost::json;
using Rows = std::vector<std::vector<std::string>>;

constexpr std::size_t kColumnGap = 2;
constexpr std::size_t kMaxPatchWidth = 60;

template <typename Ids>
std::string Join(const Ids& ids) {
  std::string text;
  for (const auto& id : ids) {
    text += (text.empty() ? "" : ",") + id.value();
  }
  return text;
}

// A field of an object as the text of a cell; "" if it is missing.
std::string Cell(const json::value& value, std::string_view name) {
  const json::object* object = value.if_object();
  const json::value* field =
      object == nullptr ? nullptr : object->if_contains(name);
  if (field == nullptr) {
    return "";
  }
  const json::string* text = field->if_string();
  return text == nullptr ? json::serialize(*field)
                         : std::string(text->data(), text->size());
}

// A field of an object; null if it is missing.
const json::value& Field(const json::value& value, std::string_view name) {
  static const json::value empty;
  const json::object* object = value.if_object();
  const json::value* field =
      object == nullptr ? nullptr : object->if_contains(name);
  return field == nullptr ? empty : *field;
}

json::value Parse(std::string_view text) {
  json::error_code error;
  return json::parse(text, error);
}

// The number of elements of an array or members of an object; 0 otherwise.
std::size_t ElementCount(const json::value& value) {
  const json::array* array = value.if_array();
  const json::object* object = value.if_object();
  return array != nullptr    ? array->size()
         : object != nullptr ? object->size()
                             : 0;
}

// The sum of the integers among an object's values.
std::int64_t SumOfValues(const json::value& value) {
  std::int64_t sum = 0;
  const json::object* object = value.if_object();
  for (const auto& member : object == nullptr ? json::object() : *object) {
    sum += member.value().is_int64() ? member.value().get_int64() : 0;
  }
  return sum;
}

Rows TeamRows(const config::Configuration& configuration) {
  Rows rows = {
      {"TEAM", "RATE", "BURST", "WEIGHT", "KEYS", "MODELS", "SERVICES"}};
  for (const auto& [id, team] : configuration.teams) {
    std::string keys;
    for (const auto& [key_id, key] : team.keys) {
      keys += (keys.empty() ? "" : ",") + key_id.value();
    }
    rows.push_back({id.value(), std::to_string(team.rate),
                    std::to_string(team.burst), std::to_string(team.weight),
                    keys, Join(team.models), Join(team.services)});
  }
  return rows;
}

Rows ModelRows(const config::Configuration& configuration) {
  Rows rows = {{"MODEL", "DEFAULT", "VERSIONS", "ADAPTERS", "POOL"}};
  for (const auto& [id, model] : configuration.models) {
    rows.push_back({id.value(), model.default_version.value(),
                    std::to_string(model.versions.size()),
                    std::to_string(model.adapters.size()), model.pool.value()});
  }
  return rows;
}

Rows DomainRows(const config::Configuration& configuration) {
  Rows rows = {{"DOMAIN", "REGION", "UNITS"}};
  for (const auto& [id, domain] : configuration.domains) {
    rows.push_back(
        {id.value(), domain.region.value(), std::to_string(domain.units)});
  }
  return rows;
}

}  // namespace

std::string FormatTable(const Rows& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

std::string ConfigurationTables(const config::Configuration& configuration) {
  return fmt::format("version {}\n\n{}\n{}\n{}", configuration.number,
                     FormatTable(TeamRows(configuration)),
                     FormatTable(ModelRows(configuration)),
                     FormatTable(DomainRows(configuration)));
}

std::string HistoryTable(std::string_view text) {
  Rows rows = {{"NUMBER", "TIME (UTC)", "OPERATOR", "ID", "PATCH"}};
  const json::value history = Parse(text);
  const json::array* patches = Field(history, "patches").if_array();
  for (const json::value& patch :
       patches == nullptr ? json::array() : *patches) {
    const auto seconds = static_cast<std::time_t>(
        ParseInteger(Cell(patch, "accepted_at")).value_or(0));
    rows.push_back({Cell(patch, "number"),
                    fmt::format("{:%F %T}", fmt::gmtime(seconds)),
                    Cell(patch, "author"), Cell(patch, "id"),
                    Cell(patch, "patch").substr(0, kMaxPatchWidth)});
  }
  return FormatTable(rows);
}

std::string StatusTables(std::string_view text) {
  const json::value status = Parse(text);
  std::string out = fmt::format("version {}  store {}\n\n",
                                Cell(status, "number"), Cell(status, "store"));
  Rows domains = {{"DOMAIN", "UNITS", "HELD", "SERVERS", "READY MODELS",
                   "INSTANCES", "PLACEMENT LEASE"}};
  Rows instances = {{"INSTANCE", "DOMAIN", "STATE", "IN FORCE", "ADMIN"}};
  const json::object* all = Field(status, "domains").if_object();
  for (const auto& domain : all == nullptr ? json::object() : *all) {
    const json::value& members = Field(domain.value(), "instances");
    domains.push_back(
        {std::string(domain.key()), Cell(domain.value(), "units"),
         std::to_string(SumOfValues(Field(domain.value(), "unit_holders"))),
         std::to_string(ElementCount(Field(domain.value(), "servers"))),
         std::to_string(ElementCount(Field(domain.value(), "ready"))),
         std::to_string(ElementCount(members)),
         Cell(domain.value(), "placement_lease")});
    const json::array* list = members.if_array();
    for (const json::value& member : list == nullptr ? json::array() : *list) {
      instances.push_back({Cell(member, "instance"), std::string(domain.key()),
                           Cell(member, "state"), Cell(member, "number"),
                           Cell(member, "admin")});
    }
  }
  return out + FormatTable(domains) + "\n" + FormatTable(instances);
}

}  // namespace figwell::ctl
