#include "request.h"

namespace figwell::edge {
namespace {

// If a check runs more than this after it was due, the entire process was
// delayed, and events may have arrived that it has not read yet.
constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(300);

}  // namespace

void CallerRequest::StartStallTimer() {
  if (route_->kind != serving::RequestKind::kStreaming) {
    return;
  }
  const TimePoint due =
      last_progress_at_ + serving::StreamStallTimeout(*route_);
  stall_timer_.expires_after(std::max(Duration{0}, due - MonotonicNow()));
  stall_timer_.async_wait(
      [weak = weak_from_this(), due](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->done_) {
          self->OnStallTimer(due);
        }
      });
}

void CallerRequest::OnStallTimer(TimePoint planned) {
  if (!call_) {
    return;  // the next attempt sets the timer again
  }
  const TimePoint now = MonotonicNow();
  // While the caller reads slowly, the server's events are not read either.
  if (write_pending_ || now - planned > kMaxTimerDelay) {
    last_progress_at_ = now;
  }
  if (now - last_progress_at_ < serving::StreamStallTimeout(*route_)) {
    StartStallTimer();
    return;
  }
  FailBrokenAttempt(
      "stream stalled: no complete event within the stall timeout");
}

}  // namespace figwell::edge
