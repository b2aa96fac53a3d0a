#include "denials.h"

namespace figwell::peers {
namespace {

std::uint64_t HashOf(const Digest& digest, config::VersionNumber as_of) {
  return MixBits(std::hash<Digest>()(digest) + MixBits(as_of + 1));
}

}  // namespace

DenialSet::Outcome DenialSet::Deny(const Digest& digest) {
  if (as_of_.contains(digest)) {
    return Outcome::kUnchanged;
  }
  const bool known = has_key_ && has_key_(digest);
  return Add({digest, known ? in_force_ : in_force_ + kUnknownKeyVersions});
}

std::vector<Denial> DenialSet::Merge(const std::vector<Denial>& denials) {
  std::vector<Denial> added;
  for (const Denial& denial : denials) {
    if (!IsObsolete(denial) && Add(denial) == Outcome::kAdded) {
      added.push_back(denial);
    }
  }
  return added;
}

DenialSet::Outcome DenialSet::Add(const Denial& denial) {
  const auto it = as_of_.find(denial.digest);
  if (it != as_of_.end()) {
    if (it->second >= denial.as_of) {
      return Outcome::kUnchanged;
    }
    hash_ ^= HashOf(denial.digest, it->second);
    it->second = denial.as_of;
  } else if (as_of_.size() >= kMaxDenials) {
    ++refused_;
    return Outcome::kFull;
  } else {
    as_of_.emplace(denial.digest, denial.as_of);
  }
  hash_ ^= HashOf(denial.digest, denial.as_of);
  return Outcome::kAdded;
}

bool DenialSet::IsObsolete(const Denial& denial) const {
  return has_key_ && in_force_ >= denial.as_of && !has_key_(denial.digest);
}

bool DenialSet::OnInForce(config::VersionNumber number,
                          std::function<bool(const Digest&)> has_key) {
  in_force_ = number;
  has_key_ = std::move(has_key);
  return std::erase_if(as_of_, [this](const auto& item) {
           const Denial denial{item.first, item.second};
           if (!IsObsolete(denial)) {
             return false;
           }
           hash_ ^= HashOf(denial.digest, denial.as_of);
           return true;
         }) > 0;
}

std::vector<Denial> DenialSet::List() const {
  std::vector<Denial> list;
  list.reserve(as_of_.size());
  for (const auto& [digest, as_of] : as_of_) {
    list.push_back({digest, as_of});
  }
  return list;
}

std::set<Digest> DenialSet::Digests() const {
  std::set<Digest> digests;
  for (const auto& [digest, as_of] : as_of_) {
    digests.insert(digest);
  }
  return digests;
}

}  // namespace figwell::peers
