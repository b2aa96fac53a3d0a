#include <boost/asio/post.hpp>

#include "call.h"

namespace figwell::http {

namespace asio = boost::asio;

struct Client::State : std::enable_shared_from_this<Client::State> {
  State(asio::io_context& io_context, ClientLimits limits)
      : context(io_context),
        pool(std::make_shared<IdlePool>(io_context, limits)) {}

  asio::io_context& context;
  std::shared_ptr<IdlePool> pool;
  std::map<CallId, std::shared_ptr<Call>> calls;
  CallId next_id = 1;
};

Client::Client(asio::io_context& context, ClientLimits limits)
    : state_(std::make_shared<State>(context, limits)) {}

Client::~Client() {
  for (const auto& [id, call] : state_->calls) {
    call->Cancel();
  }
  state_->calls.clear();
  state_->pool->Clear();
}

CallId Client::Send(const std::string& address, const Request& request,
                    CallLimits limits, ResponseHandlers handlers) {
  const CallId id = state_->next_id++;
  auto remove_call = [weak = std::weak_ptr<State>(state_), id] {
    if (const auto state = weak.lock()) {
      state->calls.erase(id);
    }
  };
  const auto call = std::make_shared<Call>(
      state_->context, state_->pool, address, request, limits,
      std::move(handlers), std::move(remove_call));
  state_->calls.emplace(id, call);
  asio::post(state_->context, [call] { call->Start(); });
  return id;
}

namespace {

// The answer that Fetch collects.
struct FetchedAnswer {
  Response response;
  TimePoint called_at = MonotonicNow();

  /** Why no more pieces are accepted; nullopt if they are. */
  std::optional<ClientError> Excess(const CallLimits& limits) const {
    if (response.body.size() > limits.body_bytes) {
      return ClientError{Stage::kBody, false, "the answer body is too large"};
    }
    if (limits.total_timeout.count() > 0 &&
        MonotonicNow() - called_at > limits.total_timeout) {
      return ClientError{Stage::kBody, true, "the answer body takes too long"};
    }
    return std::nullopt;
  }
};

}  // namespace

CallId Client::Fetch(
    const std::string& address, const Request& request, CallLimits limits,
    const std::function<void(tl::expected<Response, ClientError>)>& on_done,
    std::function<bool(const AnswerHead&)> belongs) {
  const auto fetched = std::make_shared<FetchedAnswer>();
  const auto id = std::make_shared<CallId>(0);
  ResponseHandlers handlers;
  handlers.belongs = std::move(belongs);
  handlers.on_head = [fetched](int status, const Headers& headers) {
    fetched->response.status = status;
    fetched->response.headers = headers;
  };
  handlers.on_piece =
      [this, weak = std::weak_ptr<State>(state_), fetched, limits, on_done, id](
          std::string_view piece, const std::function<void()>& resume) {
        fetched->response.body += piece;
        const auto excess = fetched->Excess(limits);
        if (!excess) {
          resume();
          return;
        }
        if (weak.lock() != nullptr) {
          const auto done = on_done;
          Cancel(*id);
          done(tl::unexpected(*excess));
        }
      };
  handlers.on_end = [fetched, on_done] {
    on_done(std::move(fetched->response));
  };
  handlers.on_error = [on_done](const ClientError& error) {
    on_done(tl::unexpected(error));
  };
  *id = Send(address, request, limits, std::move(handlers));
  return *id;
}

void Client::Cancel(CallId call) {
  const auto found = state_->calls.find(call);
  if (found == state_->calls.end()) {
    return;
  }
  const auto cancelled = found->second;
  state_->calls.erase(found);
  cancelled->Cancel();
}

std::size_t Client::idle_connections() const { return state_->pool->size(); }

bool Client::CloseOldestIdle() { return state_->pool->CloseOldest(); }

void Client::OnShortage(std::function<void(const std::string&)> on_shortage) {
  state_->pool->OnShortage(std::move(on_shortage));
}

}  // namespace figwell::http
