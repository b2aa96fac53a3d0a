#include "permit_client.h"

#include <algorithm>

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;

// Several round trips between failure domains. A datagram may be lost, so the
// arbiter is asked again once.
constexpr milliseconds kReplyTimeout{150};
constexpr int kMaxSends = 2;
// Internal calls to a limited server are at least this many intervals apart.
constexpr int kInternalCallIntervals = 2;

std::uint32_t ToMilliseconds(Duration duration) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(duration / milliseconds(1), 0,
                               std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

InstanceId PermitClient::ArbiterOf(const ServerId& server) const {
  const serving::BackendServer* entry = state_.directory.Find(server);
  auto instances = peers_.Live();
  instances.emplace(state_.settings.instance, state_.settings.failure_domain);
  return serving::SelectArbiter(
      server, entry == nullptr ? DomainId() : entry->domain, instances);
}

double PermitClient::OwnPart(double per_second) const {
  // Instances across a partition have an arbiter of their own, which schedules
  // the rest.
  const auto live = static_cast<double>(peers_.Live().size() + 1);
  return per_second *
         std::min(1.0, live / static_cast<double>(state_.instances));
}

serving::Permit PermitClient::Grant(TimePoint now, const ServerId& server,
                                    double per_second, Duration max_wait) {
  const auto known = state_.balancer.limits().Find(server);
  return scheduler_.Request(
      now, server, OwnPart(std::min(per_second, known.value_or(per_second))),
      max_wait);
}

void PermitClient::Acquire(const ServerId& server, double per_second,
                           Duration max_wait, Callback on_done) {
  if (ArbiterOf(server) == state_.settings.instance) {
    const TimePoint now = MonotonicNow();
    const serving::Permit permit = Grant(now, server, per_second, max_wait);
    state_.balancer.limits().OnPermit(now, server, permit);
    on_done(permit);
    return;
  }
  const std::uint64_t number = ++last_number_;
  pending_.emplace(
      number,
      PendingRequest{server, per_second, max_wait, 0, std::move(on_done),
                     boost::asio::steady_timer(state_.context)});
  SendRequest(number);
}

void PermitClient::SendRequest(std::uint64_t number) {
  PendingRequest& request = pending_.at(number);
  ++request.sends;
  peers_.Send(
      ArbiterOf(request.server), MessageKind::kPermitRequest,
      PermitRequestMessage{number, request.server.value(), request.per_second,
                           ToMilliseconds(request.max_wait)});
  request.timer.expires_after(kReplyTimeout);
  request.timer.async_wait(
      [this, number](const boost::system::error_code& error) {
        const auto found = pending_.find(number);
        if (error || found == pending_.end()) {
          return;
        }
        if (found->second.sends < kMaxSends) {
          SendRequest(number);
          return;
        }
        Complete(number, {false, kReplyTimeout});
      });
}

void PermitClient::Complete(std::uint64_t number,
                            const serving::Permit& permit) {
  auto request = pending_.extract(number);
  if (!request.empty()) {
    request.mapped().timer.cancel();
    state_.balancer.limits().OnPermit(MonotonicNow(), request.mapped().server,
                                      permit);
    request.mapped().on_done(permit);
  }
}

void PermitClient::OnRequest(const InstanceId& from,
                             const PermitRequestMessage& message) {
  const ServerId server(message.server);
  if (state_.directory.Find(server) == nullptr) {
    return;
  }
  const TimePoint now = MonotonicNow();
  if (message.number == PermitRequestMessage::kNoReply) {
    scheduler_.Charge(now, server, OwnPart(message.per_second));
    return;
  }
  const serving::Permit permit =
      Grant(now, server, message.per_second, milliseconds(message.max_wait_ms));
  peers_.Send(from, MessageKind::kPermitReply,
              PermitReplyMessage{message.number, permit.granted,
                                 ToMilliseconds(permit.wait)});
}

void PermitClient::OnReply(const PermitReplyMessage& message) {
  Complete(message.number, {message.granted, milliseconds(message.wait_ms)});
}

bool PermitClient::MayCall(TimePoint now, const ServerId& server) const {
  const serving::BackendServer* entry = state_.directory.Find(server);
  const bool evacuated =
      entry != nullptr && state_.directory.IsEvacuated(entry->domain);
  if (evacuated || state_.balancer.IsPaused(now, server)) {
    return false;
  }
  const auto limit = state_.balancer.limits().Find(server);
  const auto last = last_internal_call_.find(server);
  return !limit || last == last_internal_call_.end() ||
         now - last->second >=
             kInternalCallIntervals * serving::RequestInterval(*limit);
}

void PermitClient::OnInternalCall(TimePoint now, const ServerId& server) {
  const auto limit = state_.balancer.limits().Find(server);
  if (!limit) {
    return;
  }
  last_internal_call_[server] = now;
  const InstanceId arbiter = ArbiterOf(server);
  if (arbiter == state_.settings.instance) {
    scheduler_.Charge(now, server, OwnPart(*limit));
    return;
  }
  peers_.Send(arbiter, MessageKind::kPermitRequest,
              PermitRequestMessage{PermitRequestMessage::kNoReply,
                                   server.value(), *limit, 0});
}

void PermitClient::RemoveServer(const ServerId& server) {
  scheduler_.RemoveServer(server);
  last_internal_call_.erase(server);
}

}  // namespace figwell::edge
