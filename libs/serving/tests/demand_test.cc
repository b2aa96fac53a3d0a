#include "figwell/serving/demand.h"

#include "figwell/testing.h"

namespace figwell::serving {
namespace {

using std::chrono::milliseconds;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

ModelId Model(int number) {
  return ModelId(std::string("m").append(std::to_string(number)));
}

TEST_CASE("rates follow recent requests, for models and adapters") {
  DemandMeter meter;
  const ModelTarget target{Model(0), "a1"};
  // 20 requests per second of 30 ms each.
  for (int ms = 0; ms < 10'000; ms += 50) {
    meter.OnRequest(At(ms), target, milliseconds(30));
  }
  const Demand demand = meter.Rates(At(10'000));
  CHECK(demand.work.at(Model(0)) == Approx(600).epsilon(0.1));
  CHECK(demand.requests.at(target) == Approx(20).epsilon(0.1));
  CHECK(meter.Rates(At(60'000)) == Demand{});
}

TEST_CASE("a forecast predicts a shift of demand") {
  DemandForecast forecast;
  // Model 0 falls by 200 per second while model 1 rises by as much.
  for (int ms = 0; ms <= 4'000; ms += 250) {
    Demand demand;
    demand.work[Model(0)] = 2'000 - ms * 0.2;
    demand.work[Model(1)] = ms * 0.2;
    forecast.Update(At(ms), demand);
  }
  const Demand predicted = forecast.Predict(milliseconds(4'000));
  CHECK(predicted.work.at(Model(1)) > 1'200);
  // It has 1,200 now and keeps replicas for most of that.
  CHECK(predicted.work.at(Model(0)) < 1'200);
  CHECK(predicted.work.at(Model(0)) > 600);
}

TEST_CASE("a forecast does not exceed the total demand of all models") {
  DemandForecast forecast;
  for (int ms = 0; ms <= 2'000; ms += 250) {
    Demand demand;
    demand.work[Model(0)] = ms;
    forecast.Update(At(ms), demand);
  }
  CHECK(forecast.Predict(std::chrono::seconds(60)).work.at(Model(0)) <= 2'000);
  CHECK(DemandForecast().Predict(milliseconds(1)).work.empty());
}

}  // namespace
}  // namespace figwell::serving
