#include "figwell/testing.h"
#include "world.h"

namespace figwell::placement {
namespace {

const Item kModel = BaseItem("m", "1");
const Item kOther = BaseItem("o", "1");
const TimePoint kNow{seconds(100)};

Move Load(const Item& item, std::int64_t bytes) {
  return {ServerId("s"), Action::kLoad, item, bytes, Reason::kDemand};
}

Move Unload(const Item& item) {
  return {ServerId("s"), Action::kUnload, item, 0, Reason::kMakeRoom};
}

/** The ledger after all moves; each must be accepted. */
ServerLedger WithMoves(ServerLedger ledger, const std::vector<Move>& moves) {
  for (const Move& move : moves) {
    ledger = WithOrder(ledger, 7, 100, move).value();
  }
  return ledger;
}

ServerReport Report(std::map<Item, Resident> resident, Fencing last = {}) {
  ServerReport report;
  report.incarnation = std::string("i");
  report.memory_bytes = 100;
  report.last_order = last;
  for (const auto& [item, value] : resident) {
    report.memory_used += value.bytes;
  }
  report.resident = std::move(resident);
  return report;
}

const std::map<Item, Resident> kReadyModel = {
    {kModel, {60, ItemState::kReady}}};

ServerLedger LedgerFromReport(const std::map<Item, Resident>& resident) {
  return ApplyReport({}, Report(resident), kNow, false, {});
}

}  // namespace

TEST_CASE("An order is accepted only if all unsettled loads fit with it") {
  const ServerLedger empty = LedgerFromReport({});
  const ServerLedger loading = WithMoves(empty, {Load(kModel, 60)});
  CHECK(ReservedBytes(loading) == 60);
  CHECK(WithOrder(loading, 7, 100, Load(kOther, 41)).error().code ==
        ErrorCode::kTooLarge);
  CHECK(WithOrder(loading, 7, 100, Load(kOther, 40)));
  // Repeated loads of an item count once, up to the limit of repeats.
  const ServerLedger repeated =
      WithMoves(loading, {Load(kModel, 60), Load(kModel, 60)});
  CHECK(ReservedBytes(repeated) == 60);
  CHECK_FALSE(repeated.unsettled[0].sole);
  CHECK(WithOrder(repeated, 7, 100, Load(kModel, 60)).error().code ==
        ErrorCode::kConflict);
  CHECK(WithOrder(LedgerFromReport(kReadyModel), 7, 100, Load(kModel, 60))
            .error()
            .code == ErrorCode::kConflict);
  CHECK(WithOrder(empty, 7, 100, Unload(kModel)).error().code ==
        ErrorCode::kConflict);
  CHECK(WithOrder(loading, 7, 100, Unload(kModel)));
}

TEST_CASE("Reports settle orders") {
  const ServerLedger load = WithMoves(LedgerFromReport({}), {Load(kModel, 60)});
  const ServerLedger twice = WithMoves(load, {Load(kModel, 60)});
  const ServerLedger unload =
      WithMoves(LedgerFromReport(kReadyModel), {Unload(kModel)});
  const ServerLedger load_then_unload = WithMoves(load, {Unload(kModel)});
  const Fencing first{7, 1};
  const Fencing second{7, 2};
  const std::map<Fencing, OrderTimes> written_now = {{first, {kNow, {}}}};
  const std::map<Fencing, OrderTimes> accepted = {
      {first, {kNow - seconds(9), kNow - seconds(1)}}};
  const std::map<Fencing, OrderTimes> accepted_later = {{first, {kNow, kNow}}};

  struct Case {
    std::string_view what;
    ServerLedger ledger;
    ServerReport report;
    bool checks;
    std::map<Fencing, OrderTimes> times;
    std::size_t unsettled;
    std::int64_t reserved;
  };
  const std::vector<Case> cases = {
      {"absence does not settle a load", load, Report({}), false, {}, 1, 60},
      {"absence, checked", load, Report({}), true, {}, 1, 60},
      {"presence settles a sole load",
       load,
       Report(kReadyModel),
       false,
       {},
       0,
       60},
      {"presence in an older report does not", load, Report(kReadyModel), false,
       written_now, 1, 60},
      {"presence does not settle where numbers are checked",
       load,
       Report(kReadyModel),
       true,
       {},
       1,
       60},
      {"presence is ambiguous after a repeat",
       twice,
       Report(kReadyModel),
       false,
       {},
       2,
       60},
      {"an equal number settles one of two",
       twice,
       Report(kReadyModel, second),
       false,
       {},
       1,
       60},
      {"a newer number settles all where checked",
       twice,
       Report(kReadyModel, second),
       true,
       {},
       0,
       60},
      {"an older number settles the older",
       twice,
       Report({}, first),
       true,
       {},
       1,
       60},
      {"a newer number does not settle where numbers are ignored",
       load,
       Report({}, second),
       false,
       {},
       1,
       60},
      {"a newer number settles a rejected load",
       load,
       Report({}, second),
       true,
       {},
       0,
       0},
      {"accepted before the report", load, Report({}), false, accepted, 0, 0},
      {"accepted after the report", load, Report({}), false, accepted_later, 1,
       60},
      {"absence settles a sole unload", unload, Report({}), false, {}, 0, 0},
      {"absence in an older report does not", unload, Report({}), false,
       written_now, 1, 0},
      {"an unload does not free what an earlier load may still use",
       load_then_unload,
       Report({}),
       false,
       {},
       2,
       60},
      {"nor where the load is known to be executed first",
       load_then_unload,
       Report(kReadyModel, first),
       false,
       {},
       1,
       60},
      {"the unload's number settles both where checked",
       load_then_unload,
       Report({}, second),
       true,
       {},
       0,
       0},
  };
  for (const Case& test : cases) {
    INFO(std::string(test.what));
    const ServerLedger after =
        ApplyReport(test.ledger, test.report, kNow, test.checks, test.times);
    CHECK(after.unsettled.size() == test.unsettled);
    CHECK(ReservedBytes(after) == test.reserved);
  }
}

TEST_CASE("A new incarnation settles orders only where numbers are ignored") {
  const ServerLedger load = WithMoves(LedgerFromReport({}), {Load(kModel, 60)});
  ServerReport restarted = Report({});
  restarted.incarnation = std::string("j");
  CHECK(ReservedBytes(ApplyReport(load, restarted, kNow, false, {})) == 0);
  CHECK(ReservedBytes(ApplyReport(load, restarted, kNow, true, {})) == 60);
}

TEST_CASE("Memory that no item accounts for is counted") {
  ServerReport report = Report(kReadyModel);
  report.memory_used = 75;
  const ServerLedger ledger = ApplyReport({}, report, kNow, true, {});
  CHECK(ReservedBytes(ledger) == 75);
}

TEST_CASE("Ledgers and reports are parsed from text") {
  const ServerLedger ledger =
      WithMoves(LedgerFromReport(kReadyModel),
                {Unload(kModel), Load(kOther, 30), Unload(kOther)});
  CHECK(LedgerFromText(ToText(ledger)).value() == ledger);
  for (
      const std::string text :
      {"", "[]", "{}", R"({"resident":[],"unsettled":[1]})",
       R"({"incarnation":"i","next_order":-1,"other_bytes":0,"resident":[],"unsettled":[]})"}) {
    INFO(std::string(text));
    CHECK(LedgerFromText(text).error().code == ErrorCode::kInvalid);
    CHECK(ReportFromJson(text).error().code == ErrorCode::kProtocol);
  }
  const auto report = ReportFromJson(
      R"({"incarnation":"9f","age_ms":400,"draining":true,"memory_bytes":80,)"
      R"("memory_used":14,"last_order":{"epoch":4,"order":17},"resident":[)"
      R"({"model":"m","version":"1","adapter":"","state":"ready","bytes":14}]})");
  REQUIRE(report);
  CHECK(report->age == std::chrono::milliseconds(400));
  CHECK(report->draining);
  CHECK(report->last_order == Fencing{4, 17});
  CHECK(report->resident.at(kModel) == Resident{14, ItemState::kReady});
}

}  // namespace figwell::placement
