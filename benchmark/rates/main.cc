// Compares rate limiters for a fleet in virtual time with one seed: a static
// even split, one central bucket, and figwell.
//
// figwell-bench-rates [rahnuma|karaca|large]...
//     [even|skewed|bursty|"5x team"|dying|"cut off"]...
// (default: all)

#include <fmt/core.h>

#include <cstdio>
#include <string_view>
#include <vector>

#include "runs.h"

namespace figwell::bench {
namespace {

void PrintHeader() {
  fmt::print(
      "{:<10}{:<9}{:<9}{:>9}{:>9}{:>6}{:>12}{:>12}{:>8}{:>7}{:>8}{:>9}"
      "{:>9}{:>8}\n",
      "fleet", "arrivals", "way", "admitted", "refused", "over", "wrongful",
      "wrongful/5x", "worst", "5x", "msg/s", "B/s", "most B/s", "store/s");
}

double PerMille(std::int64_t count, std::int64_t admitted) {
  return 1000.0 * static_cast<double>(count) /
         static_cast<double>(std::max<std::int64_t>(1, count + admitted));
}

void Print(const Size& size, Arrivals arrivals, std::string_view limiter,
           const Outcome& outcome) {
  fmt::print(
      "{:<10}{:<9}{:<9}{:>9}{:>9}{:>6}{:>10.3f}\u2030{:>12}{:>8.3f}"
      "{:>7.2f}{:>8.1f}{:>9.0f}{:>9.0f}{:>8.2f}\n",
      size.name, Name(arrivals), limiter, outcome.admitted, outcome.refused,
      outcome.overspent_teams,
      PerMille(outcome.wrongly_refused, outcome.admitted),
      outcome.wrongly_refused_over_rate, outcome.min_served_ratio,
      outcome.over_rate_served_ratio, outcome.messages, outcome.bytes,
      outcome.max_bytes, outcome.store_calls);
}

/** Whether `name` is an argument, or no argument is one of `all`. */
bool IsSelected(std::string_view name, const std::vector<std::string_view>& all,
                const std::vector<std::string_view>& arguments) {
  bool any = false;
  for (const std::string_view argument : arguments) {
    if (argument == name) {
      return true;
    }
    any = any || std::find(all.begin(), all.end(), argument) != all.end();
  }
  return !any;
}

void RunSize(const Size& size, const std::vector<std::string_view>& arguments) {
  for (const Arrivals arrivals : kAllArrivals) {
    if (!IsSelected(Name(arrivals),
                    {"even", "skewed", "bursty", "5x team", "dying", "cut off"},
                    arguments)) {
      continue;
    }
    Print(size, arrivals, "split", RunStaticSplit(size, arrivals));
    Print(size, arrivals, "central", RunCentral(size, arrivals));
    Print(size, arrivals, "figwell", RunFigwell(size, arrivals));
  }
}

}  // namespace
}  // namespace figwell::bench

int main(int argc, char** argv) {
  using namespace figwell::bench;  // NOLINT(google-build-using-namespace)
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  const std::vector<std::string_view> arguments(argv + 1, argv + argc);
  fmt::print(
      "over: teams that spent more than burst + rate * T in a window of T.\n"
      "wrongful: requests refused although one exact bucket, charged with the\n"
      "same requests, had the tokens; as a share of these and the admitted\n"
      "ones. wrongful/5x: the same count for the team at five times its rate.\n"
      "worst: ratio of the tokens served to those that one exact bucket would\n"
      "serve, least over the other teams. 5x: that ratio for the team at five\n"
      "times its rate.\n");
  PrintHeader();
  for (const auto& [name, size] :
       {std::pair{std::string_view("rahnuma"), Rahnuma()},
        std::pair{std::string_view("karaca"), Karaca()},
        std::pair{std::string_view("large"), Large()}}) {
    if (IsSelected(name, {"rahnuma", "karaca", "large"}, arguments)) {
      RunSize(size, arguments);
    }
  }
  return 0;
}
