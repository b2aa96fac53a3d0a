#include "address.h"
#include "connection.h"

namespace figwell::http {

namespace asio = boost::asio;

namespace {

// When accept fails because file descriptors are exhausted, an immediate retry
// would spin.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr int kListenBacklog = 1024;
// This fraction of the limit of connections may be refused with an answer at a
// time; callers may keep such connections open for a while. Others are closed.
constexpr std::size_t kRefusedConnectionsDivisor = 8;

using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

}  // namespace

struct Server::State : std::enable_shared_from_this<Server::State> {
  explicit State(asio::io_context& context)
      : acceptor(context), retry_timer(context) {}

  void Accept();
  void ScheduleAcceptRetry();
  void AcceptPending();
  void Close() {
    boost::system::error_code ignored;
    acceptor.close(ignored);
    retry_timer.cancel();
  }
  void StartConnection(asio::ip::tcp::socket socket);
  void OnAccepted(const boost::system::error_code& error,
                  asio::ip::tcp::socket socket);

  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  std::shared_ptr<ServerShared> shared = std::make_shared<ServerShared>();
};

void Server::State::Accept() {
  acceptor.async_accept(
      [weak = weak_from_this()](const boost::system::error_code& error,
                                asio::ip::tcp::socket socket) {
        if (const auto self = weak.lock()) {
          self->OnAccepted(error, std::move(socket));
        }
      });
}

void Server::State::ScheduleAcceptRetry() {
  retry_timer.expires_after(kAcceptRetryDelay);
  retry_timer.async_wait(
      [weak = weak_from_this()](const boost::system::error_code&) {
        const auto self = weak.lock();
        if (self && self->acceptor.is_open()) {
          self->Accept();
        }
      });
}

void Server::State::OnAccepted(const boost::system::error_code& error,
                               asio::ip::tcp::socket socket) {
  if (!acceptor.is_open()) {
    return;
  }
  if (error) {
    if (shared->handlers.on_accept_failed) {
      shared->handlers.on_accept_failed(error.message());
    }
    ScheduleAcceptRetry();
    return;
  }
  StartConnection(std::move(socket));
  Accept();
}

void Server::State::StartConnection(asio::ip::tcp::socket socket) {
  const std::size_t limit = shared->limits.connections;
  if (shared->open_connections >= limit + limit / kRefusedConnectionsDivisor) {
    shared->handlers.on_refuse(RejectReason::kTooManyConnections);  // counts it
    return;
  }
  const auto connection =
      std::make_shared<Connection>(std::move(socket), shared);
  if (shared->open_connections > limit) {
    connection->RefuseOverLimit();
  } else {
    connection->Start();
  }
}

void Server::State::AcceptPending() {
  boost::system::error_code error;
  acceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(acceptor.get_executor());
    acceptor.accept(socket, error);
    if (!error) {
      StartConnection(std::move(socket));
    }
  }
}

Server::Server(asio::io_context& context, ServerLimits limits,
               ServerHandlers handlers)
    : state_(std::make_shared<State>(context)) {
  state_->shared->limits = limits;
  state_->shared->handlers = std::move(handlers);
}

Server::~Server() { state_->Close(); }

Result<std::string> Server::Listen(const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    return tl::unexpected(endpoint.error());
  }
  boost::system::error_code error;
  auto& acceptor = state_->acceptor;
  acceptor.open(endpoint->protocol(), error);
  acceptor.set_option(asio::socket_base::reuse_address(true), error);
  acceptor.set_option(ReusePort(true), error);
  acceptor.bind(*endpoint, error);
  if (!error) {
    acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return Fail(ErrorCode::kUnavailable,
                "cannot listen on " + address + ": " + error.message());
  }
  const auto bound = acceptor.local_endpoint(error);
  state_->Accept();
  return FormatEndpoint(bound);
}

void Server::SetLimits(const ServerLimits& limits) {
  state_->shared->limits = limits;
}

void Server::StopAccepting() {
  if (state_->acceptor.is_open()) {
    // Closing the acceptor would reset the connections that the kernel has
    // already accepted.
    state_->AcceptPending();
  }
  state_->Close();
}

void Server::CloseAfterAnswers() { state_->shared->close_after_answers = true; }

void Server::CloseIdleConnections() {
  const std::set<Connection*> idle = state_->shared->idle;
  for (Connection* connection : idle) {
    connection->CloseIdle();
  }
}

std::size_t Server::open_connections() const {
  return state_->shared->open_connections;
}

}  // namespace figwell::http
