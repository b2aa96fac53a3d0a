#ifndef FIGWELL_APPS_EDGE_REQUEST_H_
#define FIGWELL_APPS_EDGE_REQUEST_H_

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>

#include "figwell/adapter.h"
#include "figwell/http.h"
#include "placement_driver.h"
#include "state.h"

namespace figwell::edge {

/**
 * One caller's request from its arrival to the end of its answer:
 *
 *   Start     route, team, rate                      request.cc
 *   Attempt   chooses a server, sends, tries again   request_attempt.cc
 *   OnHead..  relays whole answers and streams       request_relay.cc
 *   OnStall.. ends streams that stall                request_stall.cc
 */
class CallerRequest : public std::enable_shared_from_this<CallerRequest> {
 public:
  CallerRequest(State& state, http::Client& client, PlacementDriver& placement,
                http::ExchangePtr caller);
  ~CallerRequest();
  CallerRequest(const CallerRequest&) = delete;
  CallerRequest& operator=(const CallerRequest&) = delete;

  void Start();

 private:
  // request.cc
  bool Authenticate();
  bool ChargeTeam();
  void ReadNeeds();
  void SetDeadline();
  void OnDeadline();
  void OnCallerGone();
  void Refuse(serving::RefusalReason reason,
              std::optional<Duration> retry_after, std::string_view detail);
  void FailRequest(adapter::FailureReason reason, std::string_view detail);
  void Finish(std::string_view outcome);
  void StopAttempt(serving::AttemptEnd end);
  void RefundTeam();
  /** Its own part of the prompt, which stays when its caller comes back. */
  std::string PromptText() const;
  Duration Elapsed() const { return MonotonicNow() - arrived_; }
  Duration Remaining() const { return deadline_ - MonotonicNow(); }

  // request_attempt.cc
  void Attempt();
  void WaitForTarget();
  /** Refuses a request whose servers have all asked for a pause. */
  bool RefuseWhilePaused();
  void RefuseWithoutServer();
  /** Whether a server holds the model, with the adapter or without. */
  bool ModelIsHeld() const;
  serving::MissingTarget Missing() const;
  void Send(const serving::Choice& choice);
  void OnError(const http::ClientError& error);
  void OnRejected(int status);
  void EndAttempt(serving::Progress progress, serving::AttemptEnd end,
                  std::string_view detail);
  /** Ends an attempt whose server may have begun to work on it. */
  void EndBroken(std::string_view detail);
  void GiveUp(serving::Progress progress, std::string_view detail);

  // request_stall.cc
  void WatchForStall();
  void OnStallCheck(TimePoint planned);

  // request_relay.cc
  void OnHead(int status, const http::Headers& headers);
  void OnPiece(std::string_view piece, std::function<void()> resume);
  void OnStreamPiece(std::string_view piece, std::function<void()> resume);
  void NoteEvents();
  void OnWholePiece(std::string_view piece, std::function<void()> resume);
  /** Whether so many bytes more may be kept of the present answer. */
  bool Hold(std::size_t bytes);
  void ReleaseHeld(std::size_t bytes);
  /** Writes a piece to the caller; `resume` follows once it is written. */
  void PassOn(std::string bytes, std::function<void()> resume);
  /** Whether the server vouches for the answer, as far as its head says. */
  bool IsVouchedFor() const;
  void OnEnd();
  void OnWholeAnswer();
  void OnStreamEnd();
  void StartRelay();
  void NoteFirstByte();
  bool IsSuccess() const { return status_ / 100 == 2; }

  State& state_;
  http::Client& client_;
  PlacementDriver& placement_;
  http::ExchangePtr caller_;
  /** The version that decides about this request. */
  serving::CatalogPtr catalog_;
  TimePoint arrived_;
  TimePoint deadline_;
  bool done_ = false;

  adapter::RequestHead head_;
  const serving::Route* route_ = nullptr;
  TeamId team_;
  serving::Tokens charged_ = 0;
  serving::RequestNeeds needs_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer wait_timer_;
  boost::asio::steady_timer stall_timer_;
  TimePoint wait_until_;
  bool waiting_ = false;

  // The attempts.
  int sends_ = 0;
  /** Servers to which no connection could be made. */
  int unreached_ = 0;
  /** Some server may have begun to work on the request. */
  bool may_have_run_ = false;
  std::optional<serving::AttemptNumber> attempt_;
  std::optional<http::CallId> call_;
  serving::Choice choice_;

  // The present answer.
  int status_ = 0;
  adapter::ResponseHead answer_;
  http::Headers answer_headers_;
  std::string body_;
  /** Bytes that count in State::answer_buffers. */
  std::size_t held_ = 0;
  /** Bytes of a rejection that were not kept. */
  std::size_t dropped_ = 0;
  bool streaming_ = false;
  /** A part of some answer has gone to the caller. */
  bool relaying_ = false;
  /** The present answer is no stream, and too large to be held whole. */
  bool passing_on_ = false;
  /** A piece is being written to the caller. */
  bool caller_reads_ = false;
  /** When the last whole event was passed on, or the request was sent. */
  TimePoint progress_at_;
  /** When the last whole event of the stream came. */
  TimePoint last_event_at_;
  /** Between two events of the stream that the caller got. */
  Duration longest_pause_{0};
  bool first_byte_ = false;
  Duration first_byte_after_{0};
  std::optional<std::uint64_t> last_event_;
  std::uint64_t events_ = 0;
  http::EventStreamReader reader_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_REQUEST_H_
