#include "merge_patch.h"

namespace figwell::config {

namespace json = boost::json;

void MergePatch(json::value& target, const json::value& patch) {
  if (!patch.is_object()) {
    target = patch;
    return;
  }
  if (!target.is_object()) {
    target = json::object();
  }
  json::object& members = target.get_object();
  for (const auto& change : patch.get_object()) {
    if (change.value().is_null()) {
      members.erase(change.key());
      continue;
    }
    MergePatch(members[change.key()], change.value());
  }
}

}  // namespace figwell::config
