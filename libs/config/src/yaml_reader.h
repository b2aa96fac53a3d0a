#ifndef FIGWELL_CONFIG_YAML_READER_H_
#define FIGWELL_CONFIG_YAML_READER_H_

/** Reads the fields of a YAML mapping; each finding has its position. */

#include <yaml-cpp/yaml.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/core.h"

namespace figwell::config {

/** Collects the findings of one file. */
struct FindingSink {
  std::string file;
  Findings findings;

  void Report(const YAML::Mark& mark, const std::string& path,
              std::string message);
};

/**
 * Reads a YAML document with `read(node, sink)`. Fails with kInvalid and all
 * findings, including those of the parser.
 */
template <typename T, typename Read>
Result<T> ParseYaml(std::string_view yaml, const std::string& file,
                    Read&& read) {
  FindingSink sink{file, {}};
  T value;
  try {
    value = read(YAML::Load(std::string(yaml)), sink);
  } catch (const YAML::ParserException& error) {
    sink.Report(error.mark, "", "not YAML: " + error.msg);
  } catch (const YAML::Exception& error) {
    sink.Report(error.mark, "", error.msg);
  }
  if (!sink.findings.empty()) {
    return Fail(std::move(sink.findings));
  }
  return value;
}

/** A file's bytes; kNotFound if it cannot be read. */
Result<std::string> ReadSettingsFile(const std::string& file);

class MappingReader {
 public:
  /** Reports a node that is not a mapping, and repeated fields. */
  MappingReader(const YAML::Node& node, std::string path, FindingSink& sink);

  /** The text of a scalar field; `fallback` if it is absent. */
  std::string Text(const std::string& name, std::string fallback = "");

  /** Like Text, but reports an absent field. */
  std::string RequiredText(const std::string& name);

  std::vector<std::string> Texts(const std::string& name);
  std::int64_t Integer(const std::string& name, std::int64_t fallback);

  /** The field's node; undefined if absent. */
  YAML::Node Field(const std::string& name);

  /** A reader for a mapping field; an empty one if it is absent. */
  MappingReader Mapping(const std::string& name);

  /** Reports a finding at the field's position, or the mapping's if absent. */
  void Report(const std::string& name, std::string message);
  void ReportUnknownFields();

  std::string PathOf(const std::string& name) const;

 private:
  YAML::Node node_;
  std::string path_;
  FindingSink* sink_;
  std::set<std::string> read_fields_;
};

}  // namespace figwell::config

#endif  // FIGWELL_CONFIG_YAML_READER_H_
