#include <algorithm>
#include <charconv>
#include <map>

#include "figwell/budget.h"

namespace figwell::budget {
namespace {

/** No valid configuration has more units. */
constexpr std::int64_t kMaxUnits = 1'000'000'000;

/** The first word of the text; identifies the version of the format. */
constexpr std::string_view kFormat = "units1";

std::string_view NextWord(std::string_view& text) {
  const std::size_t start =
      std::min(text.find_first_not_of(" \n"), text.size());
  text.remove_prefix(start);
  const std::size_t length = std::min(text.find_first_of(" \n"), text.size());
  const std::string_view word = text.substr(0, length);
  text.remove_prefix(length);
  return word;
}

template <typename Number>
bool ReadNumber(std::string_view& text, Number& number) {
  const std::string_view word = NextWord(text);
  const auto [end, error] =
      std::from_chars(word.data(), word.data() + word.size(), number);
  return error == std::errc() && end == word.data() + word.size();
}

bool ReadEntry(std::string_view& text, UnitEntry& entry) {
  entry.holder = InstanceId(std::string(NextWord(text)));
  return !entry.holder.empty() && ReadNumber(text, entry.incarnation) &&
         ReadNumber(text, entry.units) && ReadNumber(text, entry.total) &&
         ReadNumber(text, entry.renewed_heartbeat) &&
         ReadNumber(text, entry.known_change) && entry.units >= 0 &&
         entry.units <= kMaxUnits && entry.total > 0 &&
         entry.total <= kMaxUnits;
}

}  // namespace

const UnitEntry* UnitTable::Find(const InstanceId& holder,
                                 std::uint64_t incarnation) const {
  const auto found =
      std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
        return entry.holder == holder && entry.incarnation == incarnation;
      });
  return found == entries.end() ? nullptr : &*found;
}

UnitEntry* UnitTable::Find(const InstanceId& holder,
                           std::uint64_t incarnation) {
  return const_cast<UnitEntry*>(std::as_const(*this).Find(holder, incarnation));
}

std::int64_t UnitTable::HeldUnits() const {
  std::int64_t held = 0;
  for (const UnitEntry& entry : entries) {
    held += entry.units;
  }
  return held;
}

std::string FormatUnitTable(const UnitTable& table) {
  std::string text(kFormat);
  text += ' ' + std::to_string(table.change) + '\n';
  for (const UnitEntry& entry : table.entries) {
    text += entry.holder.value();
    text += ' ' + std::to_string(entry.incarnation);
    text += ' ' + std::to_string(entry.units);
    text += ' ' + std::to_string(entry.total);
    text += ' ' + std::to_string(entry.renewed_heartbeat);
    text += ' ' + std::to_string(entry.known_change) + '\n';
  }
  return text;
}

Result<UnitTable> ParseUnitTable(std::string_view text) {
  UnitTable table;
  if (NextWord(text) != kFormat || !ReadNumber(text, table.change)) {
    return Fail(ErrorCode::kInvalid, "not a table of units");
  }
  while (text.find_first_not_of(" \n") != std::string_view::npos) {
    UnitEntry entry;
    if (!ReadEntry(text, entry)) {
      return Fail(ErrorCode::kInvalid, "malformed entry in a table of units");
    }
    table.entries.push_back(std::move(entry));
  }
  return table;
}

bool WithinFullLimit(const std::vector<const UnitTable*>& tables) {
  // Shares of one total add up exactly; sums of different totals are rounded up
  // to kParts.
  constexpr std::int64_t kParts = 1'000'000'000;
  std::map<std::int64_t, std::int64_t> units_by_total;
  for (const UnitTable* table : tables) {
    for (const UnitEntry& entry : table->entries) {
      units_by_total[entry.total] += entry.units;
    }
  }
  std::int64_t sum = 0;
  for (const auto& [total, units] : units_by_total) {
    if (units > total) {
      return false;
    }
    sum += (units * kParts + total - 1) / total;
  }
  return sum <= kParts;
}

}  // namespace figwell::budget
