#include "log_text.h"
#include "placement_driver.h"
#include "run_after.h"
#include "server_state.h"

namespace figwell::edge {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

// Engines answer an order immediately and execute it afterwards.
constexpr milliseconds kOrderTimeout{300};
// An adapter is loaded this long after its order was accepted.
constexpr milliseconds kAdapterLoadTime{30};
// An unload is announced this long before it is ordered, so that peers have
// stopped sending requests to the replica.
constexpr Duration kReplicaUnloadNotice = milliseconds(300);
// Announcements within this time are sent as one message.
constexpr milliseconds kAnnouncementBatchDelay{10};
// The same for an adapter; shorter, since an evicted adapter has hardly any
// demand.
constexpr Duration kAdapterUnloadNotice = milliseconds(20);

}  // namespace

void PlacementDriver::Execute(TimePoint now, const serving::ReplicaMove& move) {
  if (move.action == serving::OrderAction::kUnload) {
    Announce(move.server, move.target, false);
    const Duration notice = move.target.adapter.empty() ? kReplicaUnloadNotice
                                                        : kAdapterUnloadNotice;
    pending_unloads_[move.server] = {now + notice, move};
    return;
  }
  const serving::EngineView* view = order_tracker_.Find(move.server);
  if (view != nullptr && view->LoadsFromStore(move.target)) {
    load_rate_limiter_.OnLoads(now, 1);
  }
  SendOrder(now, move);
}

void PlacementDriver::SendDueUnloads(TimePoint now) {
  for (auto unload = pending_unloads_.begin();
       unload != pending_unloads_.end();) {
    if (now < unload->second.due) {
      ++unload;
      continue;
    }
    const serving::ReplicaMove move = unload->second.move;
    unload = pending_unloads_.erase(unload);
    if (move.target.adapter.empty() && !move.last_replica &&
        !state_.directory.IsHeldElsewhere(move.server, move.target.model)) {
      // The other replicas have disappeared since the plan was made.
      Announce(move.server, move.target, true);
      continue;
    }
    // Announced again for peers that did not receive the first message.
    Announce(move.server, move.target, false);
    if (!SendOrder(now, move)) {
      Announce(move.server, move.target, true);
    }
  }
}

bool PlacementDriver::SendOrder(TimePoint now,
                                const serving::ReplicaMove& move) {
  const serving::BackendServer* server = state_.directory.Find(move.server);
  if (server == nullptr ||
      order_tracker_.FindOrderable(now, move.server) == nullptr ||
      !permits_.MayCall(now, move.server) || !lease_.Leads(now)) {
    return false;
  }
  permits_.OnInternalCall(now, move.server);
  const serving::Order order =
      order_tracker_.Begin(now, move.server, move.action, move.target);
  telemetry::Log(Event::kOrderSent, serving::Name(move.reason),
                 {{"server", move.server.value()},
                  {"action", std::string(serving::Name(move.action))},
                  {"target", TargetText(move.target)},
                  {"expected", std::to_string(order.expected)},
                  {"fence", std::to_string(lease_.fence())}});
  http::CallLimits limits = InternalCallLimits(kOrderTimeout);
  limits.write_before = now + kOrderTimeout;
  client_.Fetch(
      server->address,
      adapter::MakeOrderRequest(order, state_.settings.instance.value(),
                                lease_.fence()),
      limits,
      [this, order, started_ms = server->started_ms,
       now](const tl::expected<http::Response, http::ClientError>& response) {
        if (response) {
          ApplyServerState(state_, {order.server, started_ms, now, {}},
                           *response);
        }
        OnOrderResponse(order, response);
      },
      adapter::MayAnswerInternalCall);
  return true;
}

Duration PlacementDriver::LoadTime(const serving::Order& order) const {
  if (order.action == serving::OrderAction::kUnload ||
      !order.target.adapter.empty() || !state_.catalog) {
    return kAdapterLoadTime;
  }
  const serving::BackendServer* server = state_.directory.Find(order.server);
  const serving::ModelSpec* model =
      server == nullptr
          ? nullptr
          : state_.catalog->FindModel(server->service, order.target.model);
  if (model == nullptr) {
    return kAdapterLoadTime;
  }
  const serving::EngineView* view = order_tracker_.Find(order.server);
  const bool from_store = view == nullptr || view->LoadsFromStore(order.target);
  return from_store ? model->load_time : model->memory_load_time;
}

void PlacementDriver::OnOrderResponse(
    const serving::Order& order,
    const tl::expected<http::Response, http::ClientError>& response) {
  const TimePoint now = MonotonicNow();
  serving::OrderOutcome outcome = serving::OrderOutcome::kUnknown;
  std::string detail;
  if (response) {
    outcome = adapter::DecodeOrderAnswer(order, *response);
    detail = std::to_string(response->status);
  } else {
    detail = response.error().message;
    if (response.error().NothingWasSent()) {
      outcome = serving::OrderOutcome::kRejected;
    }
  }
  telemetry::Log(Event::kOrderEnded, serving::Name(outcome),
                 {{"server", order.server.value()},
                  {"action", std::string(serving::Name(order.action))},
                  {"target", TargetText(order.target)},
                  {"expected", std::to_string(order.expected)},
                  {"detail", detail}});
  state_.metrics
      .GetCounter("figwell_orders_total",
                  telemetry::Label("action", serving::Name(order.action)) +
                      "," + telemetry::Label("outcome", serving::Name(outcome)))
      .Add();
  const Duration load_time = LoadTime(order);
  order_tracker_.OnOutcome(now, order, outcome, load_time);
  if (outcome == serving::OrderOutcome::kAccepted &&
      order.action == serving::OrderAction::kLoad &&
      !order.target.adapter.empty()) {
    RunAfter(state_.context, kAdapterLoadTime,
             [this, order] { Announce(order.server, order.target, true); });
  } else if (order.action == serving::OrderAction::kUnload &&
             outcome != serving::OrderOutcome::kAccepted) {
    // The unload was announced to peers but not executed, so the replica is
    // announced again. An unknown outcome is left to the next report.
    if (outcome != serving::OrderOutcome::kUnknown) {
      Announce(order.server, order.target, true);
    }
  }
}

void PlacementDriver::Announce(const ServerId& server,
                               const serving::ModelTarget& target,
                               bool present) {
  state_.balancer.OnPlacementAnnounced(MonotonicNow(), server, target, present);
  // Announcements are batched: in a large fleet one datagram for each would
  // saturate the link of a small machine, and datagrams would be lost.
  const bool batch_pending = !pending_announcements_.items.empty();
  pending_announcements_.items.push_back(
      {server.value(), target.model.value(), target.adapter, present});
  if (pending_announcements_.items.size() >= kMaxPlacementItems) {
    SendAnnouncements();
  } else if (!batch_pending) {
    announce_timer_.expires_after(kAnnouncementBatchDelay);
    announce_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        SendAnnouncements();
      }
    });
  }
}

void PlacementDriver::SendAnnouncements() {
  announce_timer_.cancel();
  if (!pending_announcements_.items.empty()) {
    peers_.SendToAll(MessageKind::kPlacement, pending_announcements_);
    pending_announcements_.items.clear();
  }
}

}  // namespace figwell::edge
