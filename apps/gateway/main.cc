// figwell-gateway: accepts callers' requests and relays them to backend
// servers. Runs one control thread (the main thread) and N traffic threads.

#include <iostream>

#include "admin.h"
#include "command_line.h"
#include "control.h"

namespace figwell::gateway {
namespace {

namespace asio = boost::asio;

/** The load balancer may send requests this long after /readyz fails. */
constexpr std::chrono::milliseconds kReadinessGrace{2'000};
constexpr std::chrono::milliseconds kDrainCheckInterval{50};
/** Units not released by then (the store is unreachable) expire instead. */
constexpr std::chrono::seconds kLeaveTimeout{15};

/** The running process: threads, listeners, signals and shutdown. */
class Gateway {
 public:
  explicit Gateway(config::Settings settings)
      : settings_(std::move(settings)),
        metrics_(registry_),
        incarnation_(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count())),
        balancer_(settings_.failure_domain, incarnation_),
        resources_{context_,    settings_,
                   registry_,   metrics_,
                   balancer_,   settings_.instance.value() + "-" + RandomHex(8),
                   incarnation_},
        control_(resources_),
        shared_{balancer_, retries_, metrics_, control_},
        admin_(resources_, control_),
        signals_(context_, SIGTERM, SIGINT),
        drain_timer_(context_) {}

  int Run() {
    if (const auto error = Listen()) {
      telemetry::Log(telemetry::Event::kStartFailed, error->message);
      return 1;
    }
    std::vector<TrafficThread*> threads;
    for (const auto& thread : threads_) {
      thread->Start(control_.MakeSnapshot());
      threads.push_back(thread.get());
    }
    control_.Start(std::move(threads));
    signals_.async_wait([this](auto error, int) {
      if (!error) {
        OnSignal();
      }
    });
    telemetry::Log(telemetry::Event::kStarted, FIGWELL_VERSION);
    context_.run();
    for (const auto& thread : threads_) {
      thread->Stop();
    }
    control_.Stop();
    telemetry::Log(telemetry::Event::kStopped, "all requests have ended");
    return 0;
  }

 private:
  std::optional<Error> Listen() {
    std::string address = settings_.listen_callers;
    for (int i = 0; i < settings_.threads; ++i) {
      threads_.push_back(std::make_unique<TrafficThread>(
          shared_, resources_.process + "-" + std::to_string(i) + "-"));
      const auto bound = threads_.back()->Listen(address);
      if (!bound) {
        return bound.error();
      }
      // Port 0 is resolved by the first thread's bind; all threads share that
      // port.
      address = *bound;
    }
    LogListening("callers", address);
    const auto admin = admin_.Listen();
    if (!admin) {
      return admin.error();
    }
    LogListening("admin", *admin);
    const auto peers = control_.Listen(*admin);
    if (!peers) {
      return peers.error();
    }
    LogListening("peers", *peers);
    return std::nullopt;
  }

  static void LogListening(const std::string& what,
                           const std::string& address) {
    telemetry::Log(telemetry::Event::kListening, "bound",
                   {{"listener", what}, {"address", address}});
  }

  void OnSignal() {
    telemetry::Log(telemetry::Event::kStopping,
                   "finishing the requests in progress");
    signals_.async_wait([](auto error, int) {
      if (!error) {
        telemetry::Log(telemetry::Event::kSecondSignal, "exiting immediately");
        std::_Exit(1);
      }
    });
    control_.StopReadiness();
    drain_timer_.expires_after(kReadinessGrace);
    drain_timer_.async_wait([this](auto) { BeginDrain(); });
  }

  void BeginDrain() {
    drain_began_ = MonotonicNow();
    control_.Drain();
    for (const auto& thread : threads_) {
      thread->StopAccepting();
    }
    WaitForSessions();
  }

  void WaitForSessions() {
    counted_ = 0;
    sessions_ = 0;
    for (const auto& thread : threads_) {
      thread->CountSessions([this](std::size_t sessions) {
        asio::post(context_, [this, sessions] { OnCount(sessions); });
      });
    }
  }

  void OnCount(std::size_t sessions) {
    ++counted_;
    sessions_ += sessions;
    if (counted_ < threads_.size()) {
      return;
    }
    const bool left =
        control_.left() || MonotonicNow() - drain_began_ > kLeaveTimeout;
    if (sessions_ == 0 && left) {
      context_.stop();
      return;
    }
    drain_timer_.expires_after(kDrainCheckInterval);
    drain_timer_.async_wait([this](auto) { WaitForSessions(); });
  }

  config::Settings settings_;
  asio::io_context context_{1};
  telemetry::Registry registry_;
  Metrics metrics_;
  std::uint64_t incarnation_;
  routing::Balancer balancer_;
  routing::RetryBudget retries_;
  GatewayResources resources_;
  Control control_;
  SharedState shared_;
  Admin admin_;
  std::vector<std::unique_ptr<TrafficThread>> threads_;
  asio::signal_set signals_;
  asio::steady_timer drain_timer_;
  TimePoint drain_began_;
  std::size_t counted_ = 0;
  std::size_t sessions_ = 0;
};

int Main(int argc, char** argv) {
  daemon::CommandLine command_line;
  if (const auto status = daemon::ReadCommandLine(argc, argv, "figwell-gateway",
                                                  daemon::SettingsOption::kFile,
                                                  command_line)) {
    return *status;
  }
  const auto settings =
      config::LoadSettings(command_line.settings_file, config::Role::kGateway);
  if (!settings) {
    std::cerr << (settings.error().findings.empty()
                      ? settings.error().message + "\n"
                      : FormatFindings(settings.error().findings));
    return daemon::kUsageStatus;
  }
  if (command_line.check) {
    return 0;
  }
  telemetry::ConfigureLog({static_cast<telemetry::Level>(settings->log_level),
                           static_cast<telemetry::Format>(settings->log_format),
                           settings->instance.value()});
  Gateway gateway(*settings);
  return gateway.Run();
}

}  // namespace
}  // namespace figwell::gateway

int main(int argc, char** argv) { return figwell::gateway::Main(argc, argv); }
