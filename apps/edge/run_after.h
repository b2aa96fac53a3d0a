#ifndef FIGWELL_APPS_EDGE_RUN_AFTER_H_
#define FIGWELL_APPS_EDGE_RUN_AFTER_H_

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

#include "figwell/core.h"

namespace figwell::edge {

/** Runs `handler` once after a delay, on the thread that runs `context`. */
template <typename Handler>
void RunAfter(boost::asio::io_context& context, Duration delay,
              Handler handler) {
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context, delay);
  timer->async_wait([timer, handler = std::move(handler)](
                        const boost::system::error_code& error) {
    if (!error) {
      handler();
    }
  });
}

/** Runs `handler` once after a random delay of at most `max_delay`. */
template <typename Handler>
void RunWithin(boost::asio::io_context& context, Random& random,
               Duration max_delay, Handler handler) {
  RunAfter(context,
           Duration(static_cast<std::int64_t>(
               random.Unit() * static_cast<double>(max_delay.count()))),
           std::move(handler));
}

/**
 * Maximum delay before an instance writes to the store what all instances have
 * found. All but one of them see it there before they write it themselves.
 */
inline constexpr Duration kMaxSaveDelay = std::chrono::milliseconds(2'000);

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_RUN_AFTER_H_
