#ifndef FIGWELL_APPS_GATEWAY_SESSION_H_
#define FIGWELL_APPS_GATEWAY_SESSION_H_

#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>

#include "figwell/http.h"
#include "figwell/routing.h"
#include "model_request.h"
#include "refusal.h"
#include "shared.h"
#include "thread_admission.h"

namespace figwell::gateway {

/** State that one traffic thread's sessions share; used on that thread only. */
struct ThreadState {
  boost::asio::io_context& context;
  http::Client& client;
  SharedState& shared;
  ThreadAdmission& admission;
  SnapshotPtr snapshot;
  routing::FleetViewPtr fleet;
  std::uint64_t next_request = 1;
  /** Prefix that makes request ids unique across processes and threads. */
  std::string request_prefix;
  std::size_t active_sessions = 0;
};

/**
 * One caller's request from its arrival to the end of its answer:
 *
 *   session.cc          authenticates, parses, refuses invalid requests
 *   session_admit.cc    charges the team, claims the idempotency key
 *   session_attempt.cc  chooses a server, sends, retries, resumes
 *   session_relay.cc    relays complete answers and streams
 */
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ThreadState& thread, http::ExchangePtr exchange);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start();

 private:
  // session.cc
  void Route();
  bool Authenticate();
  bool KeyIsValid() const;
  void ListModels();
  void StartModel();
  void FallBackToReadyVersion();
  void StartService(const ServiceId& id, const config::Service& service);
  void BeginExchange(routing::RouteTraits traits);
  void CancelCall();
  void OnDeadline();
  void OnCallerGone();
  void Refuse(Refusal refusal, std::string_view message,
              std::optional<std::int64_t> retry_after_s = {});
  void Finish();
  const config::Team* FindTeam() const;
  TimePoint Now() const { return MonotonicNow(); }

  // session_admit.cc
  void Admit();
  void OnRate(const admission::RateDecision& decision);
  void AttemptOrQueue();
  void OnDequeued(std::optional<admission::RefusalReason> reason);
  void StopWaiting();
  void SettleCharge();
  void Claim();
  void OnClaim(const routing::ClaimAnswer& answer);
  void EndClaim(const http::Response* answer);

  // session_attempt.cc
  void Attempt();
  void SendAttempt(const routing::AttemptId& attempt);
  std::optional<http::Request> MakeBackendRequest(
      const routing::AttemptId& attempt) const;
  http::Request MakeResumeRequest(const routing::AttemptId& attempt) const;
  void EndChoice(routing::AttemptOutcome outcome);
  void OnBackendError(const http::ClientError& error);
  void FailAttempt(routing::ExchangeStage stage, routing::RetryReason reason);
  void ExecuteDecision(const routing::ExchangeDecision& decision);
  void RetryAfter(Duration delay);

  // session_relay.cc
  void OnHead(int status, const http::Headers& headers);
  void OnPiece(std::string_view piece, std::function<void()> resume);
  void OnStreamPiece(std::string_view piece, std::function<void()> resume);
  void ProcessEvent(const http::StreamEvent& event, std::string& relayed);
  void OnEnd();
  void OnCompleteAnswer();
  void OnStreamEnd();
  void RelayAnswer();
  void StartRelay();
  void EndStreamWithError(Refusal refusal);
  void RecordUsage(std::string_view json);

  ThreadState& thread_;
  http::ExchangePtr caller_;
  TimePoint arrived_;
  bool done_ = false;

  // The caller.
  Digest key_digest_;
  std::string presented_key_;
  TeamId team_;
  bool open_route_ = false;
  CallerOptions options_;

  // The request.
  std::optional<ModelRequest> model_;
  std::optional<ServiceId> service_;
  routing::RouteTraits traits_;
  routing::RequestFacts facts_;
  boost::asio::steady_timer deadline_timer_;
  boost::asio::steady_timer wait_timer_;

  // Set while the request waits for tokens, or in a queue.
  std::optional<admission::WaitId> wait_;
  std::optional<admission::Ticket> ticket_;

  // The charge and the claim.
  budget::Tokens charged_ = 0;
  std::optional<budget::Tokens> used_;
  TimePoint charged_at_;
  std::optional<routing::ClaimId> claim_;

  // The attempts.
  std::optional<routing::Exchange> exchange_;
  std::optional<routing::Choice> choice_;
  std::optional<http::CallId> call_;
  routing::AttemptId resume_of_;
  std::uint64_t resume_offset_ = 0;

  // The current attempt's answer.
  int status_ = 0;
  http::Headers answer_headers_;
  std::string answer_body_;
  bool relaying_ = false;
  bool last_event_seen_ = false;
  std::string last_event_;
  std::optional<std::uint64_t> last_event_number_;
  http::EventStreamReader events_;
};

}  // namespace figwell::gateway

#endif  // FIGWELL_APPS_GATEWAY_SESSION_H_
