#include "figwell/serving/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace figwell::serving {
namespace {

bool Includes(const TraitSet& traits, const TraitSet& subset) {
  return std::includes(traits.begin(), traits.end(), subset.begin(),
                       subset.end());
}

bool AnyHasAll(const std::vector<SuspectRequest>& requests,
               const TraitSet& traits) {
  return std::any_of(
      requests.begin(), requests.end(),
      [&](const SuspectRequest& request) { return request.HasAll(traits); });
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
  const std::string_view team_name = team.value();
  for (const std::string_view field : {team_name, method, host, target, body}) {
    hash = StableHash(field, MixBits(hash + field.size()));
  }
  return std::max<std::uint64_t>(hash, 1);
}

TraitSet SuspectRequest::Traits() const {
  TraitSet traits = parts;
  traits.insert(fingerprint);
  return traits;
}

bool SuspectRequest::HasAll(const TraitSet& traits) const {
  return std::all_of(traits.begin(), traits.end(), [&](std::uint64_t trait) {
    return trait == fingerprint || parts.contains(trait);
  });
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
  crashes_.push_back({report.server,
                      report.started_ms,
                      report.service,
                      now,
                      answers_[report.service],
                      {}});
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
    return item.second > now && AnyHasAll(crash.requests, item.first);
  });
}

RequestQuarantine::Crashes RequestQuarantine::UnexplainedCrashes(
    TimePoint now, Duration min_age) const {
  Crashes unexplained;
  for (const Crash& crash : crashes_) {
    if (now - crash.at >= min_age && !IsExplained(now, crash)) {
      unexplained.push_back(&crash);
    }
  }
  return unexplained;
}

std::uint64_t RequestQuarantine::AnswersSince(const Crashes& crashes) const {
  const Crash& first = *crashes.front();
  const auto answers = answers_.find(first.service);
  return answers == answers_.end() ? 0 : answers->second - first.answers_before;
}

bool RequestQuarantine::IsEvidenceOfRepeat(const Crashes& crashes,
                                           const Crashes& all) const {
  return crashes.size() >= kMinRepeatCrashes &&
         crashes.back()->at - crashes.front()->at >= kMinRepeatSpan &&
         (AnswersSince(crashes) >= kMinRepeatAnswers ||
          ShareOfSpan(crashes, all) >= kMinSoleSuspectShare);
}

std::optional<TraitSet> RequestQuarantine::EvaluateRequest(
    TimePoint now, std::uint64_t fingerprint) {
  if (fingerprint == 0) {
    return std::nullopt;
  }
  const TraitSet entry{fingerprint};
  const Crashes all = UnexplainedCrashes(now, Duration{0});
  Crashes crashes;
  for (const Crash* crash : all) {
    if (AnyHasAll(crash->requests, entry)) {
      crashes.push_back(crash);
    }
  }
  return IsEvidenceOfRepeat(crashes, all) && Add(now, entry)
             ? std::optional(entry)
             : std::nullopt;
}

bool RequestQuarantine::IsEvidenceOfPart(TimePoint now, const Crashes& crashes,
                                         const Crashes& all) const {
  const Crash& last = *crashes.back();
  return crashes.size() >= kMinCrashes && now - last.at <= kMaxEvidenceAge &&
         last.at - crashes.front()->at >= kMinCrashSpan &&
         AnswersSince(crashes) >= kMinAnswers &&
         ShareOfSpan(crashes, all) >= kMinCrashShare;
}

std::size_t RequestQuarantine::CountRequests(const Crashes& crashes,
                                             const TraitSet& traits) {
  std::set<std::uint64_t> fingerprints;
  std::size_t without_fingerprint = 0;
  for (const Crash* crash : crashes) {
    for (const SuspectRequest& request : crash->requests) {
      if (!request.HasAll(traits)) {
        continue;
      }
      if (request.fingerprint == 0) {
        ++without_fingerprint;
      } else {
        fingerprints.insert(request.fingerprint);
      }
    }
  }
  return fingerprints.size() + without_fingerprint;
}

std::optional<TraitSet> RequestQuarantine::FindLethalParts(
    TimePoint now) const {
  const Crashes all = UnexplainedCrashes(now, kReportTime);
  std::map<std::uint64_t, Crashes> crashes_of;
  for (const Crash* crash : all) {
    TraitSet suspects;
    for (const SuspectRequest& request : crash->requests) {
      suspects.insert(request.parts.begin(), request.parts.end());
    }
    for (const std::uint64_t part : suspects) {
      crashes_of[part].push_back(crash);
    }
  }
  const auto worst = std::max_element(
      crashes_of.begin(), crashes_of.end(), [](const auto& a, const auto& b) {
        return a.second.size() < b.second.size();
      });
  if (worst == crashes_of.end() || !IsEvidenceOfPart(now, worst->second, all)) {
    return std::nullopt;
  }
  const Crashes& crashes = worst->second;
  TraitSet culprits;
  for (const auto& [part, others] : crashes_of) {
    if (others == crashes) {
      culprits.insert(part);
    } else if (others.size() == crashes.size()) {
      return std::nullopt;  // the next crash will tell them apart
    }
  }
  const bool occur_together = std::all_of(
      crashes.begin(), crashes.end(),
      [&](const Crash* crash) { return AnyHasAll(crash->requests, culprits); });
  return occur_together &&
                 CountRequests(crashes, culprits) >= kMinRequestsOfPart
             ? std::optional(FirstOf(culprits, kMaxEntryTraits))
             : std::nullopt;
}

void RequestQuarantine::OnCrash(TimePoint now, const CrashReport& report) {
  DropOutdated(now);
  if (report.request == SuspectRequest{}) {
    return;
  }
  Crash& crash = FindOrAddCrash(now, report);
  if (crash.requests.size() < kMaxRequestsPerCrash) {
    crash.requests.push_back({report.request.fingerprint,
                              FirstOf(report.request.parts, kMaxSharedParts)});
  }
}

std::optional<TraitSet> RequestQuarantine::EvaluateParts(TimePoint now) {
  const auto parts = FindLethalParts(now);
  return parts && Add(now, *parts) ? parts : std::nullopt;
}

TraitSet RequestQuarantine::Clear(const TraitSet& traits) {
  TraitSet cleared;
  for (Crash& crash : crashes_) {
    for (SuspectRequest& request : crash.requests) {
      if (traits.contains(request.fingerprint)) {
        cleared.insert(std::exchange(request.fingerprint, 0));
      }
      std::erase_if(request.parts, [&](std::uint64_t part) {
        const bool clears = traits.contains(part);
        if (clears) {
          cleared.insert(part);
        }
        return clears;
      });
    }
    std::erase(crash.requests, SuspectRequest{});
  }
  return cleared;
}

RequestQuarantine::Refuted RequestQuarantine::OnAnswer(TimePoint now,
                                                       const ServiceId& service,
                                                       const TraitSet& traits) {
  ++answers_[service];
  Refuted refuted;
  refuted.suspects = Clear(traits);
  for (const auto& [entry, end] : entries_) {
    if (end > now && Includes(traits, entry)) {
      refuted.entries.push_back(entry);
    }
  }
  for (const TraitSet& entry : refuted.entries) {
    entries_.erase(entry);
  }
  return refuted;
}

bool RequestQuarantine::Add(TimePoint now, const TraitSet& traits) {
  DropOutdated(now);
  if (traits.empty() || traits.size() > kMaxEntryTraits ||
      entries_.size() >= kMaxEntries) {
    return false;
  }
  return entries_.emplace(traits, now + kQuarantineTime).second;
}

bool RequestQuarantine::Remove(const TraitSet& traits) {
  Clear(traits);
  return entries_.erase(traits) > 0;
}

bool RequestQuarantine::Contains(TimePoint now, const TraitSet& traits) const {
  const auto found = entries_.find(traits);
  return found != entries_.end() && found->second > now;
}

std::optional<TimePoint> RequestQuarantine::FindEnd(
    TimePoint now, const TraitSet& traits) const {
  std::optional<TimePoint> last;
  for (const auto& [entry, end] : entries_) {
    if (end > now && Includes(traits, entry)) {
      last = std::max(last.value_or(end), end);
    }
  }
  return last;
}

double RequestQuarantine::ShareOfSpan(const Crashes& crashes,
                                      const Crashes& all) {
  const TimePoint first = crashes.front()->at;
  const TimePoint last = crashes.back()->at;
  const auto between =
      std::count_if(all.begin(), all.end(), [&](const Crash* crash) {
        return crash->at >= first && crash->at <= last;
      });
  return static_cast<double>(crashes.size()) / static_cast<double>(between);
}

}  // namespace figwell::serving
