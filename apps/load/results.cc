#include "results.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

namespace figwell::load {

namespace json = boost::json;

namespace {

double Milliseconds(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

Duration Quantile(std::vector<Duration> samples, double probability) {
  if (samples.empty()) {
    return Duration(0);
  }
  const auto rank = static_cast<std::size_t>(
      probability * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(),
                   samples.begin() + static_cast<std::ptrdiff_t>(rank),
                   samples.end());
  return samples[rank];
}

}  // namespace

void Results::Add(const Outcome& outcome) {
  ++sent_;
  TeamResult& team = teams_[outcome.team];
  ++team.sent;
  late_ += outcome.lateness > kMaxLateness ? 1 : 0;
  if (!outcome.fault.empty()) {
    ++faults_[outcome.fault];
    return;
  }
  ++answered_;
  tokens_ += outcome.tokens;
  first_tokens_.push_back(outcome.first_token);
  total_times_.push_back(outcome.total_time);
  const bool first_in_time = outcome.first_token <= kFirstTokenTarget;
  const bool gaps_in_time = outcome.max_gap <= kTokenGapTarget;
  first_in_time_ += first_in_time ? 1 : 0;
  streams_ += outcome.streamed ? 1 : 0;
  streams_in_time_ += outcome.streamed && gaps_in_time ? 1 : 0;
  team.attained += first_in_time && gaps_in_time ? 1 : 0;
}

std::int64_t Results::broken() const {
  const auto found = faults_.find("broken");
  return found == faults_.end() ? 0 : found->second;
}

double Results::Share(std::int64_t count) const {
  return sent_ == 0 ? 0
                    : static_cast<double>(count) / static_cast<double>(sent_);
}

std::pair<std::string, TeamResult> Results::WorstTeam() const {
  const auto worst = std::min_element(
      teams_.begin(), teams_.end(), [](const auto& a, const auto& b) {
        return a.second.Attainment() < b.second.Attainment();
      });
  if (worst == teams_.end()) {
    return {};
  }
  return {worst->first, worst->second};
}

std::string Results::Table(Duration elapsed) const {
  std::string text;
  const auto row = [&](std::string_view name, const std::string& value) {
    text += fmt::format("{:<34} {:>14}\n", name, value);
  };
  row("sent", std::to_string(sent_));
  row("answered whole", std::to_string(answered_));
  row("first token within 1 s",
      fmt::format("{:.2f}%", 100 * Share(first_in_time_)));
  row("streams with gaps within 45 ms",
      fmt::format("{} of {}", streams_in_time_, streams_));
  row("first token p50 / p99, ms",
      fmt::format("{:.2f} / {:.2f}", Milliseconds(Quantile(first_tokens_, 0.5)),
                  Milliseconds(Quantile(first_tokens_, 0.99))));
  row("whole answer p50 / p99, ms",
      fmt::format("{:.2f} / {:.2f}", Milliseconds(Quantile(total_times_, 0.5)),
                  Milliseconds(Quantile(total_times_, 0.99))));
  row("answers a second",
      fmt::format("{:.1f}", static_cast<double>(answered_) / Seconds(elapsed)));
  row("tokens a second",
      fmt::format("{:.1f}", static_cast<double>(tokens_) / Seconds(elapsed)));
  for (const auto& [fault, count] : faults_) {
    row("not answered: " + fault, std::to_string(count));
  }
  const auto [team, result] = WorstTeam();
  row("worst-served team",
      fmt::format("{} {:.2f}%", team, 100 * result.Attainment()));
  row("sent late by the generator", std::to_string(late_));
  if (Share(late_) > 0.01) {
    text += "the generator itself was the bottleneck in this run\n";
  }
  return text;
}

std::string Results::Json(Duration elapsed) const {
  json::object faults;
  for (const auto& [fault, count] : faults_) {
    faults[fault] = count;
  }
  json::object teams;
  for (const auto& [team, result] : teams_) {
    teams[team] = {{"sent", result.sent}, {"attained", result.attained}};
  }
  return json::serialize(
      json::value{{"sent", sent_},
                  {"answered", answered_},
                  {"first_token_in_time", first_in_time_},
                  {"streams", streams_},
                  {"streams_in_time", streams_in_time_},
                  {"first_token_ms",
                   {{"p50", Milliseconds(Quantile(first_tokens_, 0.5))},
                    {"p99", Milliseconds(Quantile(first_tokens_, 0.99))}}},
                  {"whole_ms",
                   {{"p50", Milliseconds(Quantile(total_times_, 0.5))},
                    {"p99", Milliseconds(Quantile(total_times_, 0.99))}}},
                  {"elapsed_s", Seconds(elapsed)},
                  {"tokens", tokens_},
                  {"faults", faults},
                  {"teams", teams},
                  {"worst_team", WorstTeam().first},
                  {"late", late_},
                  {"generator_was_bottleneck", Share(late_) > 0.01}});
}

}  // namespace figwell::load
