#ifndef FIGWELL_SERVING_TESTS_PLAYED_ORDERS_H_
#define FIGWELL_SERVING_TESTS_PLAYED_ORDERS_H_

/**
 * Orders to simulated servers, in virtual time: a fraction gets no response and
 * is executed seconds later. An engine has `bool Accept(TimePoint, const
 * Order&)` and `std::vector<LateOrder> late_orders`.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "figwell/core.h"
#include "figwell/serving/order_tracker.h"

namespace figwell::serving {

inline constexpr std::chrono::milliseconds kTick{40};
inline constexpr std::chrono::milliseconds kSimulatedTime{120'000};
inline constexpr std::chrono::milliseconds kResponseTime{10};
inline constexpr std::chrono::milliseconds kResponseTimeout{300};

inline ModelId Model(int number) {
  return ModelId(std::string("m").append(std::to_string(number)));
}

inline ServerId Server(int number) {
  return ServerId(std::string("s").append(std::to_string(number)));
}

/** `count` models of equal size and load time. */
inline EngineSpec MakeEngineSpec(int count, double model_mb, int model_slots,
                                 Duration load_time) {
  EngineSpec engine;
  engine.weights_mb = model_slots * model_mb;
  for (int i = 0; i < count; ++i) {
    ModelSpec spec;
    spec.id = Model(i);
    spec.weights_mb = model_mb;
    spec.load_time = load_time;
    engine.models.emplace(spec.id, spec);
  }
  return engine;
}

/** An order without a response, and when it is executed. */
struct LateOrder {
  TimePoint at;
  Order order;
};

/** How a simulated server executes orders: one at a time. */
class OrderExecution {
 public:
  explicit OrderExecution(Duration load_time) : load_time_(load_time) {}

  /** @return whether the order was accepted */
  bool Begin(TimePoint now, const Order& order) {
    if (order_ || order.expected != accepted_) {
      return false;
    }
    ++accepted_;
    order_ = order;
    const bool loads = order.action == OrderAction::kLoad;
    end_ = now + (loads ? load_time_ : Duration(kResponseTime));
    return true;
  }
  /** Ends an order that is due. @return the model that it loaded, if any */
  std::optional<ModelId> End(TimePoint now) {
    if (!order_ || now < end_) {
      return std::nullopt;
    }
    const Order order = *std::exchange(order_, std::nullopt);
    return order.action == OrderAction::kLoad
               ? std::optional(order.target.model)
               : std::nullopt;
  }

  bool busy() const { return order_.has_value(); }
  std::int64_t accepted() const { return accepted_; }

 private:
  Duration load_time_;
  std::optional<Order> order_;
  TimePoint end_;
  std::int64_t accepted_ = 0;
};

template <typename Engine>
void ExecuteLateOrders(TimePoint now, Engine& engine) {
  for (const LateOrder& late_order : engine.late_orders) {
    if (now >= late_order.at) {
      engine.Accept(now, late_order.order);
    }
  }
  std::erase_if(engine.late_orders, [&](const LateOrder& late_order) {
    return now >= late_order.at;
  });
}

class PlayedOrders {
 public:
  explicit PlayedOrders(Duration load_time) : load_time_(load_time) {}

  template <typename Engine>
  void Send(TimePoint now, const Order& order, Random& random, Engine& engine) {
    if (random.Unit() < kLostFraction) {
      const std::chrono::milliseconds delay(
          2'000 + static_cast<std::int64_t>(random.Below(10'000)));
      engine.late_orders.push_back({now + delay, order});
      responses_.push_back(
          {now + kResponseTimeout, order, OrderOutcome::kUnknown});
      return;
    }
    const bool accepted = engine.Accept(now, order);
    responses_.push_back(
        {now + kResponseTime, order,
         accepted ? OrderOutcome::kAccepted : OrderOutcome::kConflict});
  }

  void DeliverResponses(TimePoint now, OrderTracker& tracker) {
    for (const Response& response : responses_) {
      if (now >= response.at) {
        const bool loads = response.order.action == OrderAction::kLoad;
        tracker.OnOutcome(now, response.order, response.outcome,
                          loads ? load_time_ : Duration(kResponseTime));
      }
    }
    std::erase_if(responses_,
                  [&](const Response& response) { return now >= response.at; });
  }
  /** The process that sent the orders no longer receives responses. */
  void DropResponses() { responses_.clear(); }

 private:
  static constexpr double kLostFraction = 0.3;

  struct Response {
    TimePoint at;
    Order order;
    OrderOutcome outcome;
  };

  Duration load_time_;
  std::vector<Response> responses_;
};

}  // namespace figwell::serving

#endif  // FIGWELL_SERVING_TESTS_PLAYED_ORDERS_H_
