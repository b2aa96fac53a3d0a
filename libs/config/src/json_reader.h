#ifndef FIGWELL_CONFIG_JSON_READER_H_
#define FIGWELL_CONFIG_JSON_READER_H_

/**
 * Reads the fields of a JSON object into values and collects all findings,
 * each with its path. An absent field leaves its value unchanged.
 */

#include <boost/json.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/core.h"

namespace figwell::config {

class ObjectReader {
 public:
  ObjectReader(const boost::json::value& value, std::string path,
               Findings& findings);

  void Read(std::string_view name, std::int64_t& out);
  void Read(std::string_view name, int& out);
  void Read(std::string_view name, double& out);
  void Read(std::string_view name, bool& out);
  void Read(std::string_view name, std::string& out);
  void Read(std::string_view name, Digest& out);

  template <typename Tag>
  void Read(std::string_view name, Id<Tag>& out) {
    std::string text = out.value();
    Read(name, text);
    out = Id<Tag>(std::move(text));
  }

  /** Reads an array of ids; a repeated id is a finding. */
  template <typename Tag>
  void Read(std::string_view name, std::vector<Id<Tag>>& out) {
    out.clear();
    for (std::string& text : Texts(name)) {
      out.emplace_back(std::move(text));
    }
  }

  template <typename Tag>
  void Read(std::string_view name, std::set<Id<Tag>>& out) {
    out.clear();
    for (std::string& text : Texts(name)) {
      out.emplace(std::move(text));
    }
  }

  /** Calls `visit(key, value, path)` for each member of an object field. */
  template <typename Visit>
  void ForEach(std::string_view name, Visit&& visit) {
    const boost::json::object* members = Object(name);
    if (members == nullptr) {
      return;
    }
    for (const auto& member : *members) {
      const std::string key(member.key());
      visit(key, member.value(), PathOf(name) + "." + key);
    }
  }

  /** The field's value, for use with another reader; null if absent. */
  const boost::json::value* Field(std::string_view name);

  /** Reports the fields of the object that were not read. */
  void ReportUnknownFields();

  std::string PathOf(std::string_view name) const;

 private:
  const boost::json::object* Object(std::string_view name);
  std::vector<std::string> Texts(std::string_view name);
  void Report(std::string_view name, std::string message);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  Findings* findings_;
  std::set<std::string, std::less<>> read_fields_;
};

}  // namespace figwell::config

#endif  // FIGWELL_CONFIG_JSON_READER_H_
