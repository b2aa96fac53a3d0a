#include "request.h"

namespace figwell::edge {
namespace {

// A check that comes so much later than planned was held up with this process;
// events may be waiting to be read.
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
    return;  // the next attempt watches anew
  }
  const TimePoint now = MonotonicNow();
  // A caller that reads slowly holds up its server's events.
  if (caller_reads_ || now - planned > kHeldUp) {
    progress_at_ = now;
  }
  if (now - progress_at_ < serving::StreamStallTimeout(*route_)) {
    WatchForStall();
    return;
  }
  EndBroken("no whole event for too long");
}

}  // namespace figwell::edge
