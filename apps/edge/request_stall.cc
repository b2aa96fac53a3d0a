#include "request.h"

namespace figwell::edge {
namespace {

// If a check runs this much later than it was due, the whole process was
// delayed, and events may have arrived that it has not read yet.
constexpr Duration kHeldUp = std::chrono::milliseconds(300);

}  // namespace

void CallerRequest::WatchForStall() {
  if (route_->kind != serving::RequestKind::kStreaming) {
    return;
  }
  const TimePoint at = progress_at_ + serving::StreamStallTimeout(*route_);
  stall_timer_.expires_after(std::max(Duration{0}, at - MonotonicNow()));
  stall_timer_.async_wait(
      [weak = weak_from_this(), at](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (self && !error && !self->done_) {
          self->OnStallCheck(at);
        }
      });
}

void CallerRequest::OnStallCheck(TimePoint planned) {
  if (!call_) {
    return;  // the next attempt sets the timer again
  }
  const TimePoint now = MonotonicNow();
  // While the caller reads slowly, the server's events are not read either.
  if (caller_reads_ || now - planned > kHeldUp) {
    progress_at_ = now;
  }
  if (now - progress_at_ < serving::StreamStallTimeout(*route_)) {
    WatchForStall();
    return;
  }
  EndBroken("stream stalled: no complete event within the stall timeout");
}

}  // namespace figwell::edge
