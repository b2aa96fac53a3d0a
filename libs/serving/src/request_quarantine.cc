#include "figwell/serving/request_quarantine.h"

#include <algorithm>
#include <iterator>

namespace figwell::serving {
namespace {

bool Includes(const TraitSet& parts, const TraitSet& subset) {
  return std::includes(parts.begin(), parts.end(), subset.begin(),
                       subset.end());
}

bool AnyIncludes(const std::vector<TraitSet>& requests,
                 const TraitSet& subset) {
  return std::any_of(
      requests.begin(), requests.end(),
      [&](const TraitSet& parts) { return Includes(parts, subset); });
}

TraitSet FirstOf(const TraitSet& parts, std::size_t count) {
  return {parts.begin(),
          std::next(parts.begin(), static_cast<std::ptrdiff_t>(
                                       std::min(count, parts.size())))};
}

}  // namespace

TraitSet SharedParts(const std::vector<PromptPart>& parts) {
  TraitSet shared;
  for (std::size_t i = 0;
       i + 1 < parts.size() && shared.size() < kMaxSharedParts; ++i) {
    if (parts[i].id != 0) {
      shared.insert(parts[i].id);
    }
  }
  return shared;
}

std::uint64_t RequestFingerprint(const TeamId& team, std::string_view method,
                                 std::string_view host, std::string_view target,
                                 std::string_view body) {
  std::uint64_t hash = 0;
  for (const std::string_view field :
       {std::string_view(team.value()), method, host, target, body}) {
    hash = StableHash(field, MixBits(hash + field.size()));
  }
  return std::max<std::uint64_t>(hash, 1);
}

RequestQuarantine::Crash& RequestQuarantine::FindOrAddCrash(
    TimePoint now, const CrashReport& report) {
  const auto found =
      std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
        return crash.server == report.server &&
               crash.started_ms == report.started_ms;
      });
  if (found != crashes_.end()) {
    return *found;
  }
  if (crashes_.size() >= kMaxCrashes) {
    crashes_.erase(crashes_.begin());
  }
  crashes_.push_back({report.server, report.started_ms, now, answers_, {}});
  return crashes_.back();
}

void RequestQuarantine::DropOutdated(TimePoint now) {
  std::erase_if(crashes_, [&](const Crash& crash) {
    return now - crash.at >= kCrashRetention;
  });
  std::erase_if(entries_, [&](const auto& item) { return item.second <= now; });
}

bool RequestQuarantine::IsExplained(TimePoint now, const Crash& crash) const {
  return std::any_of(entries_.begin(), entries_.end(), [&](const auto& item) {
    return item.second > now && AnyIncludes(crash.requests, item.first);
  });
}

std::vector<const RequestQuarantine::Crash*>
RequestQuarantine::UnexplainedCrashes(TimePoint now) const {
  std::vector<const Crash*> unexplained;
  for (const Crash& crash : crashes_) {
    if (now - crash.at >= kReportTime && !IsExplained(now, crash)) {
      unexplained.push_back(&crash);
    }
  }
  return unexplained;
}

RequestQuarantine::CrashesOfParts RequestQuarantine::GroupByPart(
    const std::vector<const Crash*>& crashes) {
  CrashesOfParts crashes_of;
  for (const Crash* crash : crashes) {
    TraitSet suspects;
    for (const TraitSet& request : crash->requests) {
      suspects.insert(request.begin(), request.end());
    }
    for (const std::uint64_t part : suspects) {
      crashes_of[part].push_back(crash);
    }
  }
  return crashes_of;
}

bool RequestQuarantine::IsEvidence(TimePoint now,
                                   const std::vector<const Crash*>& crashes,
                                   const std::vector<const Crash*>& all) const {
  const Crash& first = *crashes.front();
  const Crash& last = *crashes.back();
  const auto between =
      std::count_if(all.begin(), all.end(), [&](const Crash* crash) {
        return crash->at >= first.at && crash->at <= last.at;
      });
  return crashes.size() >= kMinCrashes && now - last.at <= kMaxEvidenceAge &&
         last.at - first.at >= kMinCrashSpan &&
         answers_ - first.answers_before >= kMinAnswers &&
         static_cast<double>(crashes.size()) >=
             kMinCrashShare * static_cast<double>(between);
}

std::optional<TraitSet> RequestQuarantine::FindCulprits(TimePoint now) const {
  const std::vector<const Crash*> all = UnexplainedCrashes(now);
  const CrashesOfParts crashes_of = GroupByPart(all);
  const auto worst = std::max_element(
      crashes_of.begin(), crashes_of.end(), [](const auto& a, const auto& b) {
        return a.second.size() < b.second.size();
      });
  if (worst == crashes_of.end() || !IsEvidence(now, worst->second, all)) {
    return std::nullopt;
  }
  const std::vector<const Crash*>& crashes = worst->second;
  TraitSet culprits;
  for (const auto& [part, others] : crashes_of) {
    if (others == crashes) {
      culprits.insert(part);
    } else if (others.size() == crashes.size()) {
      return std::nullopt;  // the next crash will tell them apart
    }
  }
  const bool occur_together =
      std::all_of(crashes.begin(), crashes.end(), [&](const Crash* crash) {
        return AnyIncludes(crash->requests, culprits);
      });
  return occur_together ? std::optional(FirstOf(culprits, kMaxEntryParts))
                        : std::nullopt;
}

void RequestQuarantine::OnCrash(TimePoint now, const CrashReport& report) {
  DropOutdated(now);
  if (report.parts.empty()) {
    return;
  }
  Crash& crash = FindOrAddCrash(now, report);
  if (crash.requests.size() < kMaxRequestsPerCrash) {
    crash.requests.push_back(FirstOf(report.parts, kMaxSharedParts));
  }
}

std::optional<TraitSet> RequestQuarantine::Evaluate(TimePoint now) {
  const auto culprits = FindCulprits(now);
  return culprits && Add(now, *culprits) ? culprits : std::nullopt;
}

void RequestQuarantine::Clear(const TraitSet& parts) {
  for (Crash& crash : crashes_) {
    for (TraitSet& request : crash.requests) {
      std::erase_if(request,
                    [&](std::uint64_t part) { return parts.contains(part); });
    }
    std::erase_if(crash.requests,
                  [](const TraitSet& request) { return request.empty(); });
  }
}

std::vector<TraitSet> RequestQuarantine::OnAnswer(TimePoint now,
                                                  const TraitSet& parts) {
  if (parts.empty()) {
    return {};
  }
  ++answers_;
  Clear(parts);
  std::vector<TraitSet> removed;
  for (const auto& [entry, end] : entries_) {
    if (end > now && Includes(parts, entry)) {
      removed.push_back(entry);
    }
  }
  for (const TraitSet& entry : removed) {
    entries_.erase(entry);
  }
  return removed;
}

bool RequestQuarantine::Add(TimePoint now, const TraitSet& parts) {
  DropOutdated(now);
  if (parts.empty() || parts.size() > kMaxEntryParts ||
      entries_.size() >= kMaxEntries) {
    return false;
  }
  return entries_.emplace(parts, now + kQuarantineTime).second;
}

bool RequestQuarantine::Remove(const TraitSet& parts) {
  Clear(parts);
  return entries_.erase(parts) > 0;
}

bool RequestQuarantine::Contains(TimePoint now, const TraitSet& parts) const {
  const auto found = entries_.find(parts);
  return found != entries_.end() && found->second > now;
}

std::optional<TimePoint> RequestQuarantine::FindEnd(
    TimePoint now, const TraitSet& parts) const {
  std::optional<TimePoint> last;
  for (const auto& [entry, end] : entries_) {
    if (end > now && Includes(parts, entry)) {
      last = std::max(last.value_or(end), end);
    }
  }
  return last;
}

}  // namespace figwell::serving
