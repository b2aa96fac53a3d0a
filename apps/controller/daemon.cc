#include "daemon.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <map>

#include "admin_api.h"
#include "figwell/peers.h"
#include "figwell/platform.h"
#include "figwell/telemetry.h"
#include "figwell/versions.h"
#include "peer_link.h"
#include "placement_loop.h"
#include "status.h"

namespace figwell::controller {
namespace {

using std::chrono::milliseconds;
using telemetry::Event;

constexpr milliseconds kTickInterval{100};
// The status waits this long for the members' answers to RefreshMembers().
// Later answers are not in it.
constexpr milliseconds kMemberRefreshTimeout{300};
// How long a stopping process waits for the outcomes of pending patches; more
// than PatchAcceptor::kDeadline.
constexpr milliseconds kShutdownGrace{8'000};
constexpr std::size_t kWriterNameBytes = 8;

std::int64_t UnixSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Increases with each start of the process: its start time in microseconds.
std::uint64_t Incarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

platform::EtcdOptions StoreOptions(const config::Settings& settings) {
  platform::EtcdOptions options;
  options.endpoints = settings.platform_endpoints;
  return options;
}

Event EventOf(versions::Notice::Kind kind) {
  using Kind = versions::Notice::Kind;
  switch (kind) {
    case Kind::kStoreBehind:
      return Event::kStoreBehind;
    case Kind::kStoreForked:
      return Event::kStoreForked;
    case Kind::kRecordInvalid:
      return Event::kConfigRejected;
    case Kind::kSnapshotWritten:
      return Event::kSnapshotWritten;
    case Kind::kSnapshotFailed:
      return Event::kSnapshotFailed;
  }
  return Event::kConfigRejected;
}

}  // namespace

struct Daemon::State {
  explicit State(config::Settings daemon_settings)
      : settings(std::move(daemon_settings)),
        store(context, StoreOptions(settings)),
        log(settings.platform_prefix),
        peers(context, settings, config::Role::kController, Incarnation(),
              store, log, metrics, MakePeerCallbacks()),
        placement(
            context, store,
            {peers.self(), settings.failure_domain, settings.platform_prefix}),
        acceptor(log),
        writer(log,
               settings.instance.value() + "-" + RandomHex(kWriterNameBytes)),
        api(settings.operators, log, metrics, MakePorts()),
        server(context, {},
               {[this](const http::ExchangePtr& exchange) {
                  api.Handle(exchange);
                },
                [](http::RejectReason reason) {
                  return http::JsonResponse(
                      400, R"({"error":{"code":"bad_request","message":")" +
                               std::string(http::Name(reason)) + "\"}}");
                }}),
        timer(context),
        signals(context, SIGTERM, SIGINT) {}

  daemon::PeerLinkCallbacks MakePeerCallbacks() {
    daemon::PeerLinkCallbacks callbacks;
    callbacks.on_advanced = [this] { OnAdvanced(); };
    callbacks.on_members = [this] { OnMembers(); };
    callbacks.on_denials = [](const std::set<Digest>&) {};
    callbacks.on_message = [this](const InstanceId&, daemon::MessageKind kind,
                                  std::string_view bytes) {
      if (kind != daemon::MessageKind::kDemand) {
        return;  // for gateways only
      }
      if (const auto report = peers::Unpack<placement::DemandReport>(bytes)) {
        placement.AddDemand(*report);
      }
    };
    callbacks.on_payload = [](const InstanceId&, std::string_view) {};
    return callbacks;
  }

  void OnAdvanced() {
    metrics.GetGauge("figwell_config_number")
        .Set(static_cast<std::int64_t>(log.Number()));
    placement.SetConfiguration(log.InForce());
  }

  // A peer that has a newer version in force than the store shows that the
  // store was restored to an older state; the acceptor then refuses patches.
  void OnMembers() {
    for (const peers::Member& member : peers.Members()) {
      acceptor.RecordPeerNumber(member.number_in_force);
    }
  }

  // Announces in the heartbeat whether this controller holds the placement
  // lease. Gateways send their demand to the one that does.
  void AnnounceLease() {
    const bool holds = placement.Status().holds_lease;
    if (holds == announced_lease) {
      return;
    }
    announced_lease = holds;
    peers.SetPayload(holds ? std::string(daemon::kPlacementLeaderPayload) : "");
    telemetry::Log(holds ? Event::kLeaseAcquired : Event::kLeaseLost,
                   "placement lease of the domain",
                   {{"domain", settings.failure_domain.value()}});
  }

  admin::Ports MakePorts() {
    admin::Ports ports;
    ports.execute = [this](const store::Transaction& transaction, auto done) {
      store.Execute(transaction, std::move(done));
    };
    ports.submit = [this](versions::PatchRequest request, auto done) {
      request.ticket = ++last_ticket;
      replies.emplace(request.ticket, std::move(done));
      versions::Actions actions;
      acceptor.Submit(MonotonicNow(), std::move(request), actions);
      ExecuteActions(actions);
    };
    ports.status = [this](auto done) { SendStatus(std::move(done)); };
    ports.deny = [this](const Digest& key) { return peers.Deny(key); };
    ports.ready = [this] { return peers.IsCaughtUp() && !stopping; };
    ports.unix_time = UnixSeconds;
    return ports;
  }

  // Asks the members for their state first, so that the status shows their
  // present versions in force.
  void SendStatus(std::function<void(std::string)> done) {
    peers.RefreshMembers();
    const auto wait = std::make_shared<boost::asio::steady_timer>(
        context, kMemberRefreshTimeout);
    wait->async_wait(
        [this, wait, done = std::move(done)](const boost::system::error_code&) {
          SendStatusFromStore(done);
        });
  }

  // The settings with the member id and the bound administration address, as
  // peers know this process.
  config::Settings PeerSettings() const {
    config::Settings self = settings;
    self.instance = peers.self();
    self.listen_admin = admin_address;
    return self;
  }

  // Reads the store's part of the status and answers.
  void SendStatusFromStore(const std::function<void(std::string)>& done) {
    store.Execute(StatusQuery(settings.platform_prefix),
                  [this, done](const auto& result) {
                    done(StatusJson(
                        PeerSettings(), log, result, peers.Members(),
                        peers.GetReachability().reach, placement.StatusJson()));
                  });
  }

  // Executes the acceptor's actions. Their results may have advanced the log,
  // so the peer link is notified afterwards.
  void ExecuteActions(const versions::Actions& actions) {
    for (const versions::StoreCall& call : actions.calls) {
      store.Execute(call.transaction, [this, id = call.id](const auto& result) {
        versions::Actions next;
        acceptor.OnResult(MonotonicNow(), id, result, next);
        ExecuteActions(next);
      });
    }
    LogNotices(actions);
    for (const versions::PatchReply& reply : actions.replies) {
      const auto callback = replies.extract(reply.ticket);
      callback.mapped()(reply.outcome);
    }
    peers.OnLogAdvanced();
  }

  // The same for the snapshot writer, whose actions hold no replies.
  void ExecuteWriterActions(const versions::Actions& actions) {
    for (const versions::StoreCall& call : actions.calls) {
      store.Execute(call.transaction, [this, id = call.id](const auto& result) {
        versions::Actions next;
        writer.OnResult(MonotonicNow(), id, result, next);
        ExecuteWriterActions(next);
      });
    }
    LogNotices(actions);
    peers.OnLogAdvanced();
  }

  static void LogNotices(const versions::Actions& actions) {
    for (const versions::Notice& notice : actions.notices) {
      telemetry::Log(EventOf(notice.kind), notice.message,
                     {{"number", std::to_string(notice.number)}});
    }
  }

  void Tick() {
    const TimePoint now = MonotonicNow();
    versions::Actions actions;
    acceptor.OnTimer(now, actions);
    ExecuteActions(actions);
    versions::Actions writer_actions;
    writer.OnTimer(now, writer_actions);
    ExecuteWriterActions(writer_actions);
    AnnounceLease();
    if (stopping && (replies.empty() || now >= stop_deadline)) {
      context.stop();
      return;
    }
    timer.expires_after(kTickInterval);
    timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        Tick();
      }
    });
  }

  void OnSignal() {
    telemetry::Log(Event::kStopping, "received SIGTERM or SIGINT; draining");
    stopping = true;
    stop_deadline = MonotonicNow() + kShutdownGrace;
    server.StopAccepting();
    server.CloseAfterAnswers();
    placement.Stop();
    peers.Drain();
  }

  config::Settings settings;
  boost::asio::io_context context;
  platform::EtcdStore store;
  versions::VersionLog log;
  telemetry::Registry metrics;
  daemon::PeerLink peers;
  PlacementLoop<platform::EtcdStore> placement;
  versions::PatchAcceptor acceptor;
  versions::SnapshotWriter writer;
  admin::AdminApi api;
  http::Server server;
  boost::asio::steady_timer timer;
  boost::asio::signal_set signals;
  std::uint64_t last_ticket = 0;
  std::map<std::uint64_t, std::function<void(versions::PatchOutcome)>> replies;
  std::string admin_address;
  bool announced_lease = false;
  bool stopping = false;
  TimePoint stop_deadline;
};

Daemon::Daemon(config::Settings settings)
    : state_(std::make_unique<State>(std::move(settings))) {}

Daemon::~Daemon() = default;

Result<void> Daemon::Run() {
  const Result<std::string> address =
      state_->server.Listen(state_->settings.listen_admin);
  if (!address) {
    return tl::unexpected<Error>(address.error());
  }
  telemetry::Log(Event::kListening, "administration",
                 {{"listener", "admin"}, {"address", *address}});
  state_->signals.async_wait(
      [this](const boost::system::error_code& error, int) {
        if (!error) {
          state_->OnSignal();
        }
      });
  state_->admin_address = *address;
  const Result<std::string> peers = state_->peers.Start(*address);
  if (!peers) {
    return tl::unexpected<Error>(peers.error());
  }
  telemetry::Log(Event::kListening, "peers",
                 {{"listener", "peers"}, {"address", *peers}});
  state_->placement.Start();
  state_->Tick();
  telemetry::Log(Event::kStarted, FIGWELL_VERSION);
  state_->context.run();
  state_->peers.Stop();
  telemetry::Log(Event::kStopped, "ended");
  return {};
}

}  // namespace figwell::controller
