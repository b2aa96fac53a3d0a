#include "relay.h"

#include <algorithm>

namespace figwell::peers {
namespace {

constexpr std::size_t kMaxLogPatches = 256;
constexpr std::size_t kMaxLogBytes = 1'000'000;
constexpr std::size_t kMaxSources = 8;
constexpr Duration kMinStoreBackoff = std::chrono::seconds(1);
/** Peers that suffice to start from when the store does not answer. */
constexpr std::size_t kMinPeersWithoutStore = 3;

}  // namespace

std::vector<InstanceId> ChooseWatchers(const DomainId& domain,
                                       std::vector<InstanceId> candidates) {
  const std::string key = "watch/" + domain.value();
  const std::size_t count = std::min(kWatchersPerDomain, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [&key](const InstanceId& a, const InstanceId& b) {
                      return std::pair(RendezvousWeight(key, a.value()), a) >
                             std::pair(RendezvousWeight(key, b.value()), b);
                    });
  candidates.resize(count);
  return candidates;
}

ConfigurationRelay::ConfigurationRelay(TimePoint now, std::uint64_t random_seed)
    : random_(random_seed),
      start_(now),
      next_store_read_(now),
      backoff_(kMinStoreBackoff) {}

void ConfigurationRelay::Tick(TimePoint now, const RelayView& view,
                              RelayActions& actions) {
  if (view.watcher != watching_) {
    watching_ = view.watcher;
    actions.watch = watching_;
    if (watching_) {
      next_store_read_ = std::min(next_store_read_, now);
    }
  }
  if (fetching_ && now >= fetch_deadline_) {
    OnFetched(now, *fetching_, nullptr, actions);
  }
  ReadStoreIfDue(now, view, actions);
  CheckCaughtUp(now);
}

void ConfigurationRelay::ReadStoreIfDue(TimePoint now, const RelayView& view,
                                        RelayActions& actions) {
  // During an outage the non-watchers of a domain together make about one read
  // per kWatcherReadInterval, whatever their number.
  const bool probing = !view.store_reached_recently;
  const Duration probe_interval =
      kWatcherReadInterval * static_cast<Duration::rep>(view.domain_members);
  if (view.store_reached_recently != store_reached_recently_) {
    store_reached_recently_ = view.store_reached_recently;
    const Duration jitter_range =
        probing && !view.watcher ? probe_interval : kNoProgressTimeout;
    next_store_read_ = now + Jitter(jitter_range);
  }
  // After a failed call, keep reading to detect that the store is reachable
  // again.
  const bool due =
      view.watcher || behind() || probing || !store_read_ || store_failed_;
  if (!due || now < next_store_read_) {
    return;
  }
  actions.read_store = true;
  Duration wait = kWatcherReadInterval + Jitter(kMinStoreBackoff);
  if (!view.watcher && probing) {
    wait = probe_interval + Jitter(kWatcherReadInterval);
  } else if (store_failed_) {
    backoff_ = std::min<Duration>(backoff_ * 2, kMaxStoreBackoff);
    wait = backoff_ + Jitter(backoff_);
  }
  next_store_read_ = now + wait;
}

void ConfigurationRelay::OnPeerVersions(TimePoint now, const InstanceId& peer,
                                        config::VersionNumber in_force,
                                        config::VersionNumber highest_known,
                                        RelayActions& actions) {
  if (!caught_up_) {
    reporting_peers_.insert(peer);
  }
  RaiseHighestKnown(now, std::max(in_force, highest_known));
  if (in_force <= in_force_) {
    return;
  }
  std::erase_if(sources_, [&](const UpdateSource& source) {
    return source.peer == peer;
  });
  if (sources_.size() >= kMaxSources) {
    sources_.erase(sources_.begin());
  }
  sources_.push_back({peer, in_force});
  TryFetch(now, actions);
}

void ConfigurationRelay::RaiseHighestKnown(TimePoint now,
                                           config::VersionNumber number) {
  if (number <= highest_known_) {
    return;
  }
  if (!behind() && !watching_ && store_read_) {
    next_store_read_ = now + kNoProgressTimeout + Jitter(kNoProgressTimeout);
  }
  highest_known_ = number;
}

void ConfigurationRelay::TryFetch(TimePoint now, RelayActions& actions) {
  std::erase_if(sources_, [this](const UpdateSource& source) {
    return source.number <= in_force_;
  });
  if (fetching_ || sources_.empty()) {
    return;
  }
  const auto best =
      std::max_element(sources_.begin(), sources_.end(),
                       [](const UpdateSource& a, const UpdateSource& b) {
                         return a.number < b.number;
                       });
  fetching_ = best->peer;
  fetch_deadline_ = now + kFetchTimeout;
  actions.fetch = {best->peer, FetchRequest{.after = in_force_,
                                            .want_snapshot = want_snapshot_}};
}

void ConfigurationRelay::OnFetched(TimePoint now, const InstanceId& peer,
                                   const ConfigurationUpdate* update,
                                   RelayActions& actions) {
  if (fetching_ != peer) {
    return;  // the reply came after its deadline
  }
  fetching_.reset();
  // Its next heartbeat adds it again if it still has a newer number.
  std::erase_if(sources_, [&](const UpdateSource& source) {
    return source.peer == peer;
  });
  if (update != nullptr) {
    OnOffer(*update, actions);
  }
  if (!actions.apply) {
    TryFetch(now, actions);
  }
}

void ConfigurationRelay::OnOffer(const ConfigurationUpdate& update,
                                 RelayActions& actions) {
  ConfigurationUpdate useful;
  config::VersionNumber reached = in_force_;
  if (update.snapshot.number > reached) {
    useful.snapshot = update.snapshot;
    reached = update.snapshot.number;
  }
  for (const Patch& patch : update.patches) {
    if (patch.number == reached + 1) {
      useful.patches.push_back(patch);
      ++reached;
    }
  }
  if (reached == in_force_) {
    return;
  }
  highest_known_ = std::max(highest_known_, reached);
  pending_ = useful.patches;
  actions.apply = std::move(useful);
}

void ConfigurationRelay::OnInForce(TimePoint now, config::VersionNumber number,
                                   RelayActions& actions) {
  if (number <= in_force_) {
    return;
  }
  for (Patch& patch : pending_) {
    if (patch.number > number) {
      break;
    }
    if (!log_.empty() && log_.back().number + 1 != patch.number) {
      log_.clear();
      log_bytes_ = 0;
    }
    log_bytes_ += patch.bytes.size();
    log_.push_back(std::move(patch));
  }
  pending_.clear();
  while (log_.size() > kMaxLogPatches || log_bytes_ > kMaxLogBytes) {
    log_bytes_ -= log_.front().bytes.size();
    log_.pop_front();
  }
  in_force_ = number;
  highest_known_ = std::max(highest_known_, number);
  want_snapshot_ = false;
  backoff_ = kMinStoreBackoff;
  actions.announce = true;
  CheckCaughtUp(now);
  TryFetch(now, actions);
}

void ConfigurationRelay::OnUpdateFailed() {
  pending_.clear();
  want_snapshot_ = true;
}

void ConfigurationRelay::OnStoreAnswered(
    TimePoint now, bool reached, std::optional<config::VersionNumber> head) {
  store_failed_ = !reached;
  if (reached) {
    backoff_ = kMinStoreBackoff;
  }
  if (!head) {
    return;
  }
  store_read_ = true;
  if (*head < in_force_) {
    ++store_regressions_;
  }
  highest_known_ = std::max(highest_known_, *head);
  CheckCaughtUp(now);
}

ConfigurationUpdate ConfigurationRelay::AnswerFetch(
    const FetchRequest& request) const {
  ConfigurationUpdate update;
  const bool available = !log_.empty() && log_.back().number == in_force_ &&
                         log_.front().number <= request.after + 1;
  if (request.want_snapshot || !available) {
    return update;
  }
  for (const Patch& patch : log_) {
    if (patch.number > request.after) {
      update.patches.push_back(patch);
    }
  }
  return update;
}

void ConfigurationRelay::CheckCaughtUp(TimePoint now) {
  const bool nothing_known = in_force_ == 0 && !store_read_;
  if (caught_up_ || behind() || nothing_known) {
    return;
  }
  // The previous process may have had a newer number in force than a single
  // stale peer knows. Without the store, several peers or kStartTimeout are
  // required.
  const bool start_timed_out = now - start_ >= kStartTimeout;
  const bool enough_peers = reporting_peers_.size() >= kMinPeersWithoutStore &&
                            now - start_ >= kNoProgressTimeout;
  caught_up_ = store_read_ ||
               (store_failed_ && (enough_peers || start_timed_out)) ||
               (start_timed_out && !reporting_peers_.empty());
  if (caught_up_) {
    reporting_peers_.clear();
  }
}

Duration ConfigurationRelay::Jitter(Duration max_jitter) {
  return Duration(static_cast<Duration::rep>(
      random_.Below(static_cast<std::uint64_t>(max_jitter.count()) + 1)));
}

}  // namespace figwell::peers
