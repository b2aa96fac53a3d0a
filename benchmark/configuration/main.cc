// Measures the cost of the configuration: the time to parse, check and patch
// it, its size in the store, and the store calls for each accepted patch. The
// baseline of the store table writes the full configuration for each patch.

#include <fmt/core.h>

#include <chrono>
#include <fstream>
#include <iterator>

#include "figwell/versions.h"
#include "fleet_configuration.h"
#include "model_store.h"

namespace figwell::bench {
namespace {

using config::Configuration;
using Clock = std::chrono::steady_clock;

constexpr int kRuns = 20;
constexpr int kPatchesPerDay = 6'000;
constexpr double kSecondsPerDay = 86'400;
constexpr double kBytesPerMegabyte = 1e6;

// Returns the median time of kRuns runs, in milliseconds.
template <typename Function>
double MedianMilliseconds(Function&& function) {
  std::vector<double> times;
  for (int i = 0; i < kRuns; ++i) {
    const auto start = Clock::now();
    function();
    times.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - start)
            .count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

std::string RatePatch(const Configuration& configuration, int rate) {
  return fmt::format(R"({{"teams":{{"{}":{{"rate":{}}}}}}})",
                     configuration.teams.begin()->first.value(), rate);
}

Configuration LoadExample(const std::string& name) {
  std::ifstream file(std::string(FIGWELL_SOURCE_DIR) + "/examples/" + name +
                     "/configuration.json");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return config::ParseConfiguration(text, 1).value();
}

void PrintCost(const std::string& name, const Configuration& configuration) {
  const std::string text = config::ToJson(configuration);
  const std::string patch = RatePatch(configuration, 7);
  const double parse_ms =
      MedianMilliseconds([&] { config::ParseConfiguration(text, 1).value(); });
  const double check_ms =
      MedianMilliseconds([&] { config::CheckConfiguration(configuration); });
  const double apply_ms = MedianMilliseconds(
      [&] { config::ApplyPatch(configuration, patch).value(); });
  const double index_ms =
      MedianMilliseconds([&] { config::KeyIndex index(configuration); });
  fmt::print("{:<22} {:>10} {:>9} {:>10.2f} {:>10.2f} {:>10.2f} {:>10.3f}\n",
             name, text.size(),
             (text.size() + versions::kChunkBytes - 1) / versions::kChunkBytes,
             parse_ms, check_ms, apply_ms, index_ms);
}

/** A controller with a store that answers immediately. */
struct Controller {
  versions::VersionLog log{"/f/"};
  versions::PatchAcceptor acceptor{log};
  versions::SnapshotWriter writer{log, "bench"};
  versions::ModelStore store;
  TimePoint now{};
  std::size_t put_bytes = 0;

  store::TransactionResult Execute(const store::Transaction& transaction) {
    for (const store::Operation& step : transaction.success) {
      if (const auto* put = std::get_if<store::Put>(&step)) {
        put_bytes += put->value.size();
      }
    }
    return store.Execute(transaction);
  }

  void ExecuteCalls(const versions::Actions& actions) {
    for (const versions::StoreCall& call : actions.calls) {
      versions::Actions next;
      acceptor.OnResult(now, call.id, Execute(call.transaction), next);
      ExecuteCalls(next);
    }
  }

  void Submit(const std::string& patch) {
    versions::Actions actions;
    acceptor.Submit(now,
                    {1, PatchId(std::to_string(log.Number())), OperatorId("a"),
                     log.Number(), patch, 0},
                    actions);
    ExecuteCalls(actions);
  }

  void WriteSnapshotIfDue() {
    versions::Actions actions;
    writer.OnTimer(now, actions);
    while (!actions.calls.empty()) {
      const versions::StoreCall call = actions.calls.back();
      actions.calls.clear();
      writer.OnResult(now, call.id, Execute(call.transaction), actions);
    }
  }
};

std::int64_t CallsToCatchUp(versions::ModelStore& store, double* elapsed_ms) {
  const auto calls_at_start = store.Calls();
  const auto start = Clock::now();
  versions::VersionLog reader("/f/");
  versions::Step step = versions::Step::kGap;
  while (step == versions::Step::kGap) {
    const auto read = reader.NextRead();
    step = reader.ApplyRead(read, store.Execute(read.transaction));
  }
  *elapsed_ms =
      std::chrono::duration<double, std::milli>(Clock::now() - start).count();
  return store.Calls() - calls_at_start;
}

void PrintStoreCost(const std::string& name, const Configuration& configuration,
                    int patches) {
  Controller controller;
  controller.Submit(config::ToJson(configuration));
  controller.WriteSnapshotIfDue();
  const auto calls_at_start = controller.store.Calls();
  controller.put_bytes = 0;
  for (int i = 0; i < patches; ++i) {
    controller.Submit(RatePatch(configuration, 1 + i % 1'000));
    controller.WriteSnapshotIfDue();
  }
  const auto calls = controller.store.Calls() - calls_at_start;
  std::size_t stored_bytes = 0;
  for (const auto& [key, entry] : controller.store.Entries()) {
    stored_bytes += key.size() + entry.value.size();
  }
  double catch_up_ms = 0;
  const auto restart_calls = CallsToCatchUp(controller.store, &catch_up_ms);
  const std::size_t full_bytes = config::ToJson(configuration).size();
  fmt::print(
      "{:<22} {:>8} {:>10.3f} {:>12.0f} {:>12} {:>10.2f} {:>8} "
      "{:>10.1f}\n",
      name, patches, static_cast<double>(calls) / patches,
      static_cast<double>(controller.put_bytes) / patches, full_bytes,
      static_cast<double>(stored_bytes) / kBytesPerMegabyte, restart_calls,
      catch_up_ms);
}

void Run() {
  const Configuration large = MakeConfiguration({});
  fmt::print("Reading and changing the configuration (ms, median of {} runs)\n",
             kRuns);
  fmt::print("{:<22} {:>10} {:>9} {:>10} {:>10} {:>10} {:>10}\n", "size",
             "bytes", "chunks", "parse", "check", "apply", "key index");
  PrintCost("rahnuma", LoadExample("rahnuma"));
  PrintCost("karaca", LoadExample("karaca"));
  PrintCost("two years on", large);
  const double apply_ms = MedianMilliseconds(
      [&] { config::ApplyPatch(large, RatePatch(large, 9)).value(); });
  fmt::print("applying a day's {} patches takes {:.3f}% of a core\n\n",
             kPatchesPerDay,
             apply_ms * kPatchesPerDay / 1'000 / kSecondsPerDay * 100);

  fmt::print(
      "Store, one controller (baseline: the full configuration per patch)\n");
  fmt::print("{:<22} {:>8} {:>10} {:>12} {:>12} {:>10} {:>8} {:>10}\n", "size",
             "patches", "calls/p.", "bytes/p.", "baseline", "stored MB",
             "restart", "ms");
  PrintStoreCost("rahnuma", LoadExample("rahnuma"), kPatchesPerDay);
  PrintStoreCost("two years on", large, 512);
}

}  // namespace
}  // namespace figwell::bench

int main() {
  figwell::bench::Run();
  return 0;
}
