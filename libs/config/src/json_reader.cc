#include "json_reader.h"

#include <cmath>
#include <limits>

namespace figwell::config {
namespace {

namespace json = boost::json;

// 2^53: below it a double represents every integer exactly.
constexpr double kMaxExactInteger = 9007199254740992.0;

bool ToInteger(const json::value& value, std::int64_t& out) {
  if (value.is_int64()) {
    out = value.get_int64();
    return true;
  }
  // JSON writers may write an integer as 1e9.
  if (value.is_double() && std::abs(value.get_double()) < kMaxExactInteger &&
      std::trunc(value.get_double()) == value.get_double()) {
    out = static_cast<std::int64_t>(value.get_double());
    return true;
  }
  return false;
}

}  // namespace

ObjectReader::ObjectReader(const json::value& value, std::string path,
                           Findings& findings)
    : object_(value.if_object()), path_(std::move(path)), findings_(&findings) {
  if (object_ == nullptr) {
    findings.push_back({path_, "must be an object"});
  }
}

std::string ObjectReader::PathOf(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

void ObjectReader::Report(std::string_view name, std::string message) {
  findings_->push_back({PathOf(name), std::move(message)});
}

const json::value* ObjectReader::Field(std::string_view name) {
  read_fields_.emplace(name);
  if (object_ == nullptr) {
    return nullptr;
  }
  const json::value* value = object_->if_contains(name);
  return value == nullptr || value->is_null() ? nullptr : value;
}

void ObjectReader::Read(std::string_view name, std::int64_t& out) {
  const json::value* value = Field(name);
  if (value != nullptr && !ToInteger(*value, out)) {
    Report(name, "must be a whole number");
  }
}

void ObjectReader::Read(std::string_view name, int& out) {
  std::int64_t wide = out;
  Read(name, wide);
  if (wide < std::numeric_limits<int>::min() ||
      wide > std::numeric_limits<int>::max()) {
    Report(name, "is out of range");
    return;
  }
  out = static_cast<int>(wide);
}

void ObjectReader::Read(std::string_view name, double& out) {
  const json::value* value = Field(name);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number()) {
    Report(name, "must be a number");
    return;
  }
  out = value->to_number<double>();
}

void ObjectReader::Read(std::string_view name, bool& out) {
  const json::value* value = Field(name);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    Report(name, "must be true or false");
    return;
  }
  out = value->get_bool();
}

void ObjectReader::Read(std::string_view name, std::string& out) {
  const json::value* value = Field(name);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    Report(name, "must be a string");
    return;
  }
  out = std::string(value->get_string());
}

void ObjectReader::Read(std::string_view name, Digest& out) {
  std::string hex;
  Read(name, hex);
  const Result<Digest> digest = DigestFromHex(hex);
  if (!digest) {
    Report(name, "must be a SHA-256 digest of 64 hexadecimal digits");
    return;
  }
  out = *digest;
}

const json::object* ObjectReader::Object(std::string_view name) {
  const json::value* value = Field(name);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_object()) {
    Report(name, "must be an object");
  }
  return value->if_object();
}

std::vector<std::string> ObjectReader::Texts(std::string_view name) {
  std::vector<std::string> texts;
  const json::value* value = Field(name);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    Report(name, "must be an array of strings");
    return texts;
  }
  std::set<std::string_view> seen;
  for (const json::value& element : value->get_array()) {
    if (!element.is_string()) {
      Report(name, "must be an array of strings");
      continue;
    }
    const std::string_view text = element.get_string();
    if (!seen.insert(text).second) {
      Report(name, "names " + std::string(text) + " twice");
      continue;
    }
    texts.emplace_back(text);
  }
  return texts;
}

void ObjectReader::ReportUnknownFields() {
  if (object_ == nullptr) {
    return;
  }
  for (const auto& member : *object_) {
    if (!read_fields_.contains(member.key_c_str())) {
      Report(member.key(), "is not a known field");
    }
  }
}

}  // namespace figwell::config
