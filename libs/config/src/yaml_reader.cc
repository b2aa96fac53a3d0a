#include "yaml_reader.h"

#include <fstream>
#include <iterator>

namespace figwell::config {

Result<std::string> ReadSettingsFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) {
    return Fail(ErrorCode::kNotFound, "cannot read " + file);
  }
  return std::string(std::istreambuf_iterator<char>(stream), {});
}

void FindingSink::Report(const YAML::Mark& mark, const std::string& path,
                         std::string message) {
  // yaml-cpp counts from 0, editors count from 1; a node without a position
  // has a mark of -1.
  std::string place = file + ":" + std::to_string(mark.line + 1) + ":" +
                      std::to_string(mark.column + 1);
  if (!path.empty()) {
    place += ": " + path;
  }
  findings.push_back({std::move(place), std::move(message)});
}

MappingReader::MappingReader(const YAML::Node& node, std::string path,
                             FindingSink& sink)
    : node_(node), path_(std::move(path)), sink_(&sink) {
  if (!node_.IsDefined() || node_.IsNull()) {
    return;
  }
  if (!node_.IsMap()) {
    sink_->Report(node_.Mark(), path_, "must be a mapping");
    return;
  }
  std::set<std::string> seen;
  for (const auto& field : node_) {
    if (!field.first.IsScalar()) {
      sink_->Report(field.first.Mark(), path_,
                    "has a field whose name is not a scalar");
    } else if (!seen.insert(field.first.Scalar()).second) {
      sink_->Report(field.first.Mark(), PathOf(field.first.Scalar()),
                    "stands twice");
    }
  }
}

std::string MappingReader::PathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

YAML::Node MappingReader::Field(const std::string& name) {
  read_fields_.insert(name);
  if (node_.IsDefined() && node_.IsMap()) {
    for (const auto& field : node_) {
      if (field.first.IsScalar() && field.first.Scalar() == name) {
        return field.second;
      }
    }
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

MappingReader MappingReader::Mapping(const std::string& name) {
  return {Field(name), PathOf(name), *sink_};
}

void MappingReader::Report(const std::string& name, std::string message) {
  const YAML::Node field = Field(name);
  const YAML::Mark mark = field.IsDefined()   ? field.Mark()
                          : node_.IsDefined() ? node_.Mark()
                                              : YAML::Mark();
  sink_->Report(mark, PathOf(name), std::move(message));
}

std::string MappingReader::Text(const std::string& name, std::string fallback) {
  const YAML::Node field = Field(name);
  if (!field.IsDefined() || field.IsNull()) {
    return fallback;
  }
  if (!field.IsScalar()) {
    Report(name, "must be a string");
    return fallback;
  }
  return field.Scalar();
}

std::string MappingReader::RequiredText(const std::string& name) {
  const YAML::Node field = Field(name);
  if (!field.IsDefined() || field.IsNull()) {
    Report(name, "is missing");
    return "";
  }
  return Text(name);
}

std::vector<std::string> MappingReader::Texts(const std::string& name) {
  std::vector<std::string> texts;
  const YAML::Node field = Field(name);
  if (!field.IsDefined() || field.IsNull()) {
    return texts;
  }
  if (!field.IsSequence()) {
    Report(name, "must be a list");
    return texts;
  }
  for (const auto& element : field) {
    if (!element.IsScalar()) {
      sink_->Report(element.Mark(), PathOf(name), "must be a list of strings");
      continue;
    }
    texts.push_back(element.Scalar());
  }
  return texts;
}

std::int64_t MappingReader::Integer(const std::string& name,
                                    std::int64_t fallback) {
  const std::string text = Text(name);
  if (text.empty()) {
    return fallback;
  }
  const Result<std::int64_t> number = ParseInteger(text);
  if (!number) {
    Report(name, "must be a whole number");
    return fallback;
  }
  return *number;
}

void MappingReader::ReportUnknownFields() {
  if (!node_.IsDefined() || !node_.IsMap()) {
    return;
  }
  for (const auto& field : node_) {
    if (field.first.IsScalar() &&
        !read_fields_.contains(field.first.Scalar())) {
      sink_->Report(field.first.Mark(), PathOf(field.first.Scalar()),
                    "is not a known field");
    }
  }
}

}  // namespace figwell::config
