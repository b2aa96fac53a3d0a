#ifndef FIGWELL_APPS_EDGE_REQUEST_H_
#define FIGWELL_APPS_EDGE_REQUEST_H_

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>

#include "figwell/adapter.h"
#include "figwell/http.h"
#include "permit_client.h"
#include "placement_driver.h"
#include "quarantine_driver.h"
#include "state.h"
#include "version_driver.h"

namespace figwell::edge {

/**
 * One caller's request, from its arrival to the end of its answer:
 *
 *   Start         finds the route, checks key and rate    request.cc
 *   StartAttempt  chooses a server, sends, retries        request_attempt.cc
 *   OnHead        relays complete answers and streams     request_relay.cc
 *   OnStallTimer  ends stalled streams                    request_stall.cc
 */
class CallerRequest : public std::enable_shared_from_this<CallerRequest> {
 public:
  CallerRequest(State& state, http::Client& client, PlacementDriver& placement,
                PermitClient& permits, QuarantineDriver& quarantine,
                VersionDriver& versions, http::ExchangePtr caller);
  ~CallerRequest();
  CallerRequest(const CallerRequest&) = delete;
  CallerRequest& operator=(const CallerRequest&) = delete;

  void Start();

 private:
  /**
   * A server that crashes on a prompt may do so after the first event of its
   * answer.
   */
  static constexpr std::size_t kEventsOfSoundAnswer = 2;

  // request.cc
  bool Authenticate();
  bool ChargeTeam();
  void BuildNeeds();
  /** Whether the request takes up a stream that broke off earlier. */
  bool TakesUpStream() const;
  /** The request that brought, or is to bring, the stream's first event. */
  const RequestId& FirstRequest() const {
    return TakesUpStream() ? head_.first_request : head_.id;
  }
  /**
   * Restricts a stream that is taken up to the version at which it began, then
   * starts an attempt. Refuses the request if that version is not known.
   */
  void FindStreamVersion();
  void OnStreamVersion(std::optional<serving::VersionHash> version);
  void SetDeadline();
  void OnDeadline();
  void OnCallerDisconnected();
  void Refuse(serving::RefusalReason reason,
              std::optional<Duration> retry_after, std::string_view detail);
  void FailRequest(adapter::FailureReason reason, std::string_view detail);
  void Finish(std::string_view outcome);
  void AbortAttempt(serving::AttemptEnd end);
  void RefundTeam();
  /**
   * Id of the prompt's last part, for the log. It stays the same when the
   * caller sends the request again under a new request id.
   */
  std::string PromptIdText() const;
  Duration Elapsed() const { return MonotonicNow() - arrived_; }
  Duration Remaining() const { return deadline_ - MonotonicNow(); }

  // request_attempt.cc
  void StartAttempt();
  /**
   * Ends the request if its prompt is in quarantine.
   * @return whether it was ended
   */
  bool RefuseIfQuarantined();
  /** Sends once the server's arbiter has granted a permit. */
  void AcquirePermit(const serving::Choice& choice);
  void OnPermit(const serving::Choice& choice, const serving::Permit& permit);
  /** Sends, unless the server can no longer take requests. */
  void SendPermitted(const serving::Choice& choice);
  /**
   * Refuses the request if it has not run and all of its servers are at their
   * limits.
   * @return whether it was refused
   */
  bool RefuseIfAllLimited();
  /** Whether a server holds the model of the adapter that the request needs. */
  bool MayLoadAdapter(serving::LimitedServers limited_servers) const;
  void WaitForAdapter();
  /**
   * Refuses the request if it has not run and all of its servers are paused.
   * @return whether it was refused
   */
  bool RefuseIfAllPaused();
  /**
   * Refuses the request if it has not run and evacuations leave its service no
   * server.
   * @return whether it was refused
   */
  bool RefuseIfEvacuated();
  /**
   * Refuses the request if it has not run and no server has the version at
   * which its stream began.
   * @return whether it was refused
   */
  bool RefuseIfVersionIsGone();
  /** Ends a request that no server can take. */
  void RefuseWithoutServer();
  /** Whether a server holds the model, with or without the adapter. */
  bool AnyServerHoldsModel(serving::LimitedServers limited_servers) const;
  /** The delays until a server can hold the target; they set Retry-After. */
  serving::MissingTarget FindMissingTarget() const;
  void Send(const serving::Choice& choice);
  void OnError(const http::ClientError& error);
  void OnRejected(int status);
  /** Ends a failed attempt, then retries or ends the request. */
  void FailAttempt(serving::Progress progress, serving::AttemptEnd end,
                   std::string_view detail);
  /** The same, for an attempt that the server may have begun to run. */
  void FailBrokenAttempt(std::string_view detail);
  /** Ends a request after its last attempt: refused only if it has not run. */
  void RefuseOrFail(serving::Progress progress, std::string_view detail);

  // request_stall.cc
  void StartStallTimer();
  void OnStallTimer(TimePoint planned);

  // request_relay.cc
  void OnHead(int status, const http::Headers& headers);
  void OnPiece(std::string_view piece, std::function<void()> resume);
  void OnStreamPiece(std::string_view piece, std::function<void()> resume);
  /** The first event for the caller: the stream goes on at this version only.
   */
  void OnStreamBegan();
  /** Records that `count` complete events have just arrived. */
  void RecordEvents(std::size_t count);
  void OnNonStreamPiece(std::string_view piece, std::function<void()> resume);
  /**
   * Reserves buffer space for `bytes` more of the current answer.
   * @return false if that exceeds the limit of one answer or of all
   */
  bool ReserveBuffer(std::size_t bytes);
  void ReleaseBuffer(std::size_t bytes);
  /** Writes a piece to the caller; calls `resume` once it is written. */
  void WriteToCaller(std::string bytes, std::function<void()> resume);
  /**
   * Whether the head has a seal and this request's id, and no Content-Encoding.
   * Only then is the answer accepted as the server's own.
   */
  bool IsAuthentic() const;
  void OnEnd();
  void OnCompleteAnswer();
  void OnStreamEnd();
  void StartRelay();
  void RecordFirstByte();
  bool IsSuccess() const { return status_ / 100 == 2; }

  State& state_;
  http::Client& client_;
  PlacementDriver& placement_;
  PermitClient& permits_;
  QuarantineDriver& quarantine_;
  VersionDriver& versions_;
  http::ExchangePtr caller_;
  /** The configuration that applies to this request until its end. */
  serving::CatalogPtr catalog_;
  /** Identifies the request in State::on_stopping. */
  std::uint64_t number_;
  TimePoint arrived_;
  TimePoint deadline_;
  bool done_ = false;

  adapter::RequestHead head_;
  const serving::Route* route_ = nullptr;
  TeamId team_;
  serving::Tokens charged_tokens_ = 0;
  serving::RequestNeeds needs_;
  /** By what the request is known if servers crash under it. */
  serving::SuspectRequest suspect_;
  /** SuspectRequest::Traits of `suspect_`. */
  serving::TraitSet traits_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer adapter_timer_;
  boost::asio::steady_timer permit_timer_;
  boost::asio::steady_timer stall_timer_;
  TimePoint adapter_wait_end_;
  bool waiting_for_adapter_ = false;

  // All attempts.
  /** The shortest time until a server at its limit can take a request. */
  std::optional<Duration> permit_delay_;
  int sends_ = 0;
  /** Attempts that failed before any byte was sent, typically connecting. */
  int unsent_attempts_ = 0;
  /** Whether some server may have begun to run the request. */
  bool may_have_run_ = false;
  std::optional<serving::AttemptNumber> attempt_;
  std::optional<http::CallId> call_;
  serving::Choice choice_;
  /** When the current attempt was sent. */
  TimePoint sent_at_;

  // The answer to the current attempt.
  int status_ = 0;
  adapter::ResponseHead answer_;
  http::Headers answer_headers_;
  std::string body_;
  /** Bytes of this answer that are reserved in State::answer_buffers. */
  std::size_t reserved_bytes_ = 0;
  /** Bytes of a rejection's body, which is read and discarded. */
  std::size_t discarded_bytes_ = 0;
  bool streaming_ = false;
  /** Whether the head of an answer was sent to the caller, and its status. */
  bool relaying_ = false;
  int relayed_status_ = 0;
  /** Whether the current attempt continues after last_event_number_. */
  bool resumes_ = false;
  /**
   * Whether the current answer is not a stream, but passed through as it
   * arrives because it exceeds the buffer limits.
   */
  bool passthrough_ = false;
  /** Whether a write to the caller is in progress. */
  bool write_pending_ = false;
  /**
   * When the request was sent, the last complete event arrived or the last
   * write to the caller ended, whichever is latest.
   */
  TimePoint last_progress_at_;
  /** When the last complete event of the stream arrived. */
  TimePoint last_event_at_;
  /** The longest time between arrivals of events while relaying. */
  Duration max_event_gap_{0};
  bool first_byte_sent_ = false;
  Duration first_byte_delay_{0};
  std::optional<std::uint64_t> last_event_number_;
  /** Whether an attempt broke off inside an event that has not come since. */
  bool event_was_cut_ = false;
  /** Complete events of the current attempt, and events relayed by all. */
  std::size_t attempt_events_ = 0;
  std::uint64_t relayed_events_ = 0;
  http::EventStreamReader event_reader_;
};

}  // namespace figwell::edge

#endif  // FIGWELL_APPS_EDGE_REQUEST_H_
