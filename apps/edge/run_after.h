#ifndef FIGWELL_APPS_EDGE_RUN_AFTER_H_
#define FIGWELL_APPS_EDGE_RUN_AFTER_H_

#include <boost/asio.hpp>
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

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_RUN_AFTER_H_
