#include <map>

#include "etcd_codec.h"
#include "figwell/http.h"
#include "figwell/platform.h"

namespace figwell::platform {
namespace {

// A transaction reads at most a few values of 1 MB each, in base64.
constexpr std::size_t kMaxAnswerBytes = 64'000'000;
constexpr std::size_t kMaxWatchMessageBytes = 8'000'000;
constexpr int kFirstErrorStatus = 300;
constexpr int kFirstClientErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;

using OnAnswer = std::function<void(Result<std::string>)>;

/** A call with the state of its attempts. */
struct Call {
  std::string target;
  std::string body;
  /** Executing it twice, or without receiving the response, does no harm. */
  bool safe_to_retry = false;
  std::size_t attempts = 0;
  std::size_t endpoint = 0;
  OnAnswer on_answer;
};

http::Request MakeRequest(std::string target, std::string body) {
  http::Request request;
  request.method = "POST";
  request.target = std::move(target);
  request.headers.Add("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

http::ClientLimits MakeClientLimits(const EtcdOptions& options) {
  http::ClientLimits limits;
  limits.connect_timeout = options.connect_timeout;
  limits.write_timeout = options.answer_timeout;
  return limits;
}

// Whether an error status proves that nothing was executed. A server error
// does not: the write may have been proposed before the call failed.
bool ProvesNotExecuted(int status) {
  return status >= kFirstClientErrorStatus && status < kFirstServerErrorStatus;
}

Error ErrorOf(const http::ClientError& error, bool safe_to_retry) {
  const bool no_effect = error.NothingWasSent() || safe_to_retry;
  return {
      no_effect ? ErrorCode::kUnavailable : ErrorCode::kUnknownOutcome,
      "store: " + std::string(http::Name(error.stage)) + ": " + error.message,
      {}};
}

Error ErrorOf(const http::Response& response, bool safe_to_retry) {
  const bool no_effect = ProvesNotExecuted(response.status) || safe_to_retry;
  return {no_effect ? ErrorCode::kUnavailable : ErrorCode::kUnknownOutcome,
          "store: status " + std::to_string(response.status) + ": " +
              ErrorMessage(response.body),
          {}};
}

/** A watch and the bytes of an incomplete message. */
struct WatchState {
  http::CallId call = 0;
  std::string buffer;
  int status = 0;
  std::function<void(Result<store::WatchBatch>)> on_watch;
};

}  // namespace

struct EtcdStore::State : std::enable_shared_from_this<EtcdStore::State> {
  State(boost::asio::io_context& context, EtcdOptions initial_options)
      : options(std::move(initial_options)),
        client(context, MakeClientLimits(options)) {}

  void Post(std::string target, std::string body, bool safe_to_retry,
            OnAnswer on_answer) {
    auto call = std::make_shared<Call>();
    call->target = std::move(target);
    call->body = std::move(body);
    call->safe_to_retry = safe_to_retry;
    call->endpoint = preferred_endpoint;
    call->on_answer = std::move(on_answer);
    Attempt(call);
  }

  void Attempt(const std::shared_ptr<Call>& call) {
    ++call->attempts;
    ++sent_calls;
    http::CallLimits limits;
    limits.head_timeout = options.answer_timeout;
    limits.piece_timeout = options.answer_timeout;
    limits.body_bytes = kMaxAnswerBytes;
    client.Fetch(options.endpoints[call->endpoint],
                 MakeRequest(call->target, call->body), limits,
                 [weak = weak_from_this(), call](auto response) {
                   if (const auto self = weak.lock()) {
                     self->OnResponse(call, std::move(response));
                   }
                 });
  }

  void OnResponse(const std::shared_ptr<Call>& call,
                  tl::expected<http::Response, http::ClientError> response) {
    if (response && response->status < kFirstErrorStatus) {
      preferred_endpoint = call->endpoint;
      call->on_answer(std::move(response->body));
      return;
    }
    Error error = response ? ErrorOf(*response, call->safe_to_retry)
                           : ErrorOf(response.error(), call->safe_to_retry);
    const bool rejected = response && ProvesNotExecuted(response->status);
    if (error.code == ErrorCode::kUnavailable && !rejected &&
        call->attempts < options.endpoints.size()) {
      call->endpoint = (call->endpoint + 1) % options.endpoints.size();
      Attempt(call);
      return;
    }
    call->on_answer(tl::unexpected<Error>(std::move(error)));
  }

  std::uint64_t StartWatch(
      std::string body,
      std::function<void(Result<store::WatchBatch>)> on_watch) {
    const std::uint64_t id = ++last_watch_id;
    WatchState& watch = watches[id];
    watch.on_watch = std::move(on_watch);
    ++sent_calls;
    http::CallLimits limits;
    limits.head_timeout = options.answer_timeout;
    limits.piece_timeout = options.watch_idle_timeout;
    http::ResponseHandlers handlers;
    const auto weak = weak_from_this();
    const auto with_self = [weak](auto&& function) {
      if (const auto self = weak.lock()) {
        function(*self);
      }
    };
    handlers.on_head = [=](int status, const http::Headers&) {
      with_self([&](State& self) { self.OnWatchHead(id, status); });
    };
    handlers.on_piece = [=](std::string_view piece,
                            const std::function<void()>& resume) {
      with_self([&](State& self) { self.OnWatchPiece(id, piece, resume); });
    };
    handlers.on_end = [=] {
      with_self([&](State& self) {
        self.EndWatch(id, {ErrorCode::kUnavailable,
                           "the store ended the watch's response",
                           {}});
      });
    };
    handlers.on_error = [=](const http::ClientError& error) {
      with_self([&](State& self) { self.OnWatchError(id, error); });
    };
    watch.call = client.Send(options.endpoints[preferred_endpoint],
                             MakeRequest("/v3/watch", std::move(body)), limits,
                             std::move(handlers));
    return id;
  }

  void OnWatchHead(std::uint64_t id, int status) {
    const auto watch = watches.find(id);
    if (watch != watches.end()) {
      watch->second.status = status;
    }
  }

  // A message is a line. Its callback may cancel the watch.
  void OnWatchPiece(std::uint64_t id, std::string_view piece,
                    const std::function<void()>& resume) {
    auto watch = watches.find(id);
    if (watch == watches.end()) {
      return;
    }
    watch->second.buffer += piece;
    std::size_t end = watch->second.buffer.find('\n');
    while (end != std::string::npos) {
      const std::string line = watch->second.buffer.substr(0, end);
      watch->second.buffer.erase(0, end + 1);
      ProcessWatchMessage(id, line);
      watch = watches.find(id);
      if (watch == watches.end()) {
        return;
      }
      end = watch->second.buffer.find('\n');
    }
    if (watch->second.buffer.size() > kMaxWatchMessageBytes) {
      client.Cancel(watch->second.call);
      EndWatch(
          id,
          {ErrorCode::kProtocol, "a watch message exceeds the size limit", {}});
      return;
    }
    resume();
  }

  void ProcessWatchMessage(std::uint64_t id, const std::string& line) {
    if (line.empty()) {
      return;
    }
    auto message = DecodeWatchMessage(line);
    WatchState& watch = watches.at(id);
    if (!message) {
      client.Cancel(watch.call);
      EndWatch(id, message.error());
      return;
    }
    if (message->has_value()) {
      // A copy, since the callback may cancel the watch that owns it.
      const auto on_watch = watch.on_watch;
      on_watch(std::move(**message));
    }
  }

  void OnWatchError(std::uint64_t id, const http::ClientError& error) {
    const bool idle_timed_out =
        error.timed_out && error.stage == http::Stage::kBody;
    if (!idle_timed_out) {
      preferred_endpoint = (preferred_endpoint + 1) % options.endpoints.size();
    }
    EndWatch(id,
             {idle_timed_out ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
              "watch: " + error.message,
              {}});
  }

  void EndWatch(std::uint64_t id, const Error& error) {
    const auto watch = watches.find(id);
    if (watch == watches.end()) {
      return;
    }
    const auto on_watch = std::move(watch->second.on_watch);
    watches.erase(watch);
    on_watch(tl::unexpected<Error>(error));
  }

  void CancelWatch(std::uint64_t id) {
    const auto watch = watches.find(id);
    if (watch != watches.end()) {
      client.Cancel(watch->second.call);
      watches.erase(watch);
    }
  }

  EtcdOptions options;
  http::Client client;
  std::size_t preferred_endpoint = 0;
  std::uint64_t sent_calls = 0;
  std::uint64_t last_watch_id = 0;
  std::map<std::uint64_t, WatchState> watches;
};

EtcdStore::EtcdStore(boost::asio::io_context& context, EtcdOptions options)
    : state_(std::make_shared<State>(context, std::move(options))) {}

EtcdStore::~EtcdStore() = default;

void EtcdStore::Execute(
    const store::Transaction& transaction,
    std::function<void(Result<store::TransactionResult>)> on_result) {
  const bool read_only = IsReadOnly(transaction);
  state_->Post("/v3/kv/txn", EncodeTransaction(transaction), read_only,
               [read_only, on_result = std::move(on_result)](
                   const Result<std::string>& body) {
                 if (!body) {
                   on_result(tl::unexpected<Error>(body.error()));
                   return;
                 }
                 auto result = DecodeTransactionResult(*body);
                 if (!result && !read_only) {
                   // It was executed, but its result is unknown.
                   result.error().code = ErrorCode::kUnknownOutcome;
                 }
                 on_result(std::move(result));
               });
}

void EtcdStore::GrantLease(
    std::chrono::seconds ttl,
    std::function<void(Result<store::LeaseId>)> on_lease) {
  // Safe to retry: a lease whose id was lost with the response expires.
  state_->Post(
      "/v3/lease/grant", EncodeLeaseGrant(ttl), /*safe_to_retry=*/true,
      [on_lease = std::move(on_lease)](const auto& body) {
        on_lease(body.and_then(DecodeLease).map([](const LeaseAnswer& lease) {
          return lease.id;
        }));
      });
}

void EtcdStore::KeepLeaseAlive(
    store::LeaseId lease,
    std::function<void(Result<std::chrono::seconds>)> on_ttl) {
  state_->Post(
      "/v3/lease/keepalive", EncodeLeaseId(lease), /*safe_to_retry=*/true,
      [on_ttl = std::move(on_ttl)](const auto& body) {
        const auto answer = body.and_then(DecodeLease);
        if (answer && answer->ttl <= std::chrono::seconds(0)) {
          on_ttl(Fail(ErrorCode::kNotFound, "the lease has ended"));
          return;
        }
        on_ttl(
            answer.map([](const LeaseAnswer& renewed) { return renewed.ttl; }));
      });
}

void EtcdStore::RevokeLease(
    store::LeaseId lease,
    std::function<void(Result<store::LeaseId>)> on_lease) {
  state_->Post(
      "/v3/lease/revoke", EncodeLeaseId(lease), /*safe_to_retry=*/true,
      [lease, on_lease = std::move(on_lease)](const auto& body) {
        on_lease(body.map([lease](const std::string&) { return lease; }));
      });
}

std::uint64_t EtcdStore::Watch(
    const std::string& key, const std::string& range_end, store::Revision from,
    std::function<void(Result<store::WatchBatch>)> on_watch) {
  return state_->StartWatch(EncodeWatch(key, range_end, from),
                            std::move(on_watch));
}

void EtcdStore::CancelWatch(std::uint64_t watch) { state_->CancelWatch(watch); }

std::uint64_t EtcdStore::SentCalls() const { return state_->sent_calls; }

}  // namespace figwell::platform
