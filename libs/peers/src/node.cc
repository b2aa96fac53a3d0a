#include "node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace figwell::peers {
namespace {

namespace asio = boost::asio;
using asio::awaitable;
using asio::use_awaitable;
using boost::system::error_code;

constexpr auto kTickInterval = std::chrono::milliseconds(100);
constexpr auto kAcceptErrorBackoff = std::chrono::milliseconds(10);
/** Time limit for one served connection, from accept to reply. */
constexpr auto kServeTimeout = std::chrono::seconds(2);
constexpr std::size_t kMaxConnections = 64;
/** Requests are small; only replies may be large. */
constexpr std::size_t kMaxRequestBytes = 4'096;
constexpr std::size_t kReceiveBytes = 65'536;
constexpr int kSocketBufferBytes = 1 << 20;

template <typename Protocol>
std::optional<typename Protocol::endpoint> ParseEndpoint(
    const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon), error);
  const auto port = ParseInteger(text.substr(colon + 1));
  if (error || !port || *port < 0 || *port > 65'535) {
    return std::nullopt;
  }
  return
      typename Protocol::endpoint(address, static_cast<std::uint16_t>(*port));
}

template <typename Endpoint>
std::string ToText(const Endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

/** A frame is its length in four bytes, then an envelope. */
awaitable<std::string> ReadFrame(asio::ip::tcp::socket& socket,
                                 std::size_t max_bytes) {
  std::uint32_t length = 0;
  error_code error;
  co_await asio::async_read(socket, asio::buffer(&length, sizeof(length)),
                            asio::redirect_error(use_awaitable, error));
  if (error || length == 0 || length > max_bytes) {
    co_return std::string();
  }
  std::string frame(length, '\0');
  co_await asio::async_read(socket, asio::buffer(frame),
                            asio::redirect_error(use_awaitable, error));
  co_return error ? std::string() : frame;
}

awaitable<void> WriteFrame(asio::ip::tcp::socket& socket,
                           const std::string& frame) {
  const auto length = static_cast<std::uint32_t>(frame.size());
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(&length, sizeof(length)), asio::buffer(frame)};
  error_code error;
  co_await asio::async_write(socket, buffers,
                             asio::redirect_error(use_awaitable, error));
}

}  // namespace

PeerNode::Impl::Impl(asio::io_context& context, PeerSettings settings,
                     PeerCallbacks callbacks)
    : context_(context),
      settings_(std::move(settings)),
      callbacks_(std::move(callbacks)),
      udp_(context),
      acceptor_(context),
      timer_(context) {}

Result<std::string> PeerNode::Impl::Start() {
  if (auto opened = Open(); !opened) {
    return tl::unexpected(opened.error());
  }
  const std::string address = ToText(udp_.local_endpoint());
  MakeAgent(address);
  asio::co_spawn(context_, TickLoop(), asio::detached);
  asio::co_spawn(context_, ReceiveLoop(), asio::detached);
  asio::co_spawn(context_, AcceptLoop(), asio::detached);
  return address;
}

Result<void> PeerNode::Impl::Open() {
  const auto endpoint = ParseEndpoint<Tcp>(settings_.listen);
  const std::string& name = settings_.instance.value();
  if (!endpoint || settings_.secrets.empty() ||
      settings_.secrets.front().empty() || settings_.incarnation == 0 ||
      name.empty() || name.size() > kMaxSenderBytes) {
    return Fail(ErrorCode::kInvalid,
                "peers require an IP:PORT to listen on, an instance id of 1 "
                "to 64 bytes, an incarnation above 0 and a secret");
  }
  try {
    acceptor_.open(endpoint->protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(*endpoint);
    acceptor_.listen();
    // UDP binds the port number that TCP was assigned.
    const Udp::endpoint udp(endpoint->address(),
                            acceptor_.local_endpoint().port());
    udp_.open(udp.protocol());
    udp_.bind(udp);
    udp_.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes));
    udp_.non_blocking(true);
  } catch (const boost::system::system_error& error) {
    return Fail(ErrorCode::kUnavailable,
                settings_.listen + ": " + error.what());
  }
  return {};
}

void PeerNode::Impl::MakeAgent(const std::string& address) {
  AgentSettings settings;
  settings.self.instance = settings_.instance;
  settings.self.domain = settings_.domain;
  settings.self.peers_address = address;
  settings.self.admin_address = settings_.admin_address;
  settings.self.incarnation = settings_.incarnation;
  settings.seeds = settings_.seeds;
  std::erase(settings.seeds, address);
  settings.secrets = settings_.secrets;
  settings.random_seed = settings_.random_seed;
  settings.snapshot = callbacks_.snapshot;
  agent_ = std::make_unique<PeerAgent>(MonotonicNow(), std::move(settings));
}

void PeerNode::Impl::Stop() {
  stopped_ = true;
  error_code ignored;
  udp_.close(ignored);
  acceptor_.close(ignored);
  timer_.cancel();
}

void PeerNode::Impl::SendDatagram(const Datagram& datagram) {
  const auto endpoint = ParseEndpoint<Udp>(datagram.address);
  if (endpoint && udp_.is_open()) {
    // A full socket buffer drops the datagram; the protocol tolerates loss.
    error_code ignored;
    udp_.send_to(asio::buffer(datagram.bytes), *endpoint, 0, ignored);
  }
}

void PeerNode::Impl::Execute(AgentActions& actions) {
  for (const Datagram& datagram : actions.datagrams) {
    SendDatagram(datagram);
  }
  for (Fetch& fetch : actions.fetches) {
    asio::co_spawn(context_, FetchFrame(std::move(fetch)), asio::detached);
  }
  if (stopped_) {
    return;
  }
  for (const ReceivedMessage& message : actions.messages) {
    if (callbacks_.message) {
      callbacks_.message(message.from, message.kind, message.bytes);
    }
  }
  for (const ReceivedPayload& payload : actions.payloads) {
    if (callbacks_.payload) {
      callbacks_.payload(payload.from, payload.bytes);
    }
  }
  if (actions.watch && callbacks_.watch) {
    callbacks_.watch(*actions.watch);
  }
  if (actions.read_store && callbacks_.read_store) {
    callbacks_.read_store();
  }
  if (actions.apply && callbacks_.apply) {
    callbacks_.apply(*actions.apply);
  }
  if (actions.denials_changed && callbacks_.denials) {
    callbacks_.denials(agent_->denials().Digests());
  }
  if (actions.members_changed && callbacks_.members) {
    callbacks_.members();
  }
}

awaitable<void> PeerNode::Impl::TickLoop() {
  const auto self = shared_from_this();
  while (!stopped_) {
    Run([](PeerAgent& agent, AgentActions& actions) {
      agent.Tick(MonotonicNow(), actions);
      return true;
    });
    timer_.expires_after(kTickInterval);
    error_code ignored;
    co_await timer_.async_wait(asio::redirect_error(use_awaitable, ignored));
  }
}

awaitable<void> PeerNode::Impl::ReceiveLoop() {
  const auto self = shared_from_this();
  std::string buffer(kReceiveBytes, '\0');
  while (!stopped_) {
    Udp::endpoint from;
    error_code error;
    const std::size_t size = co_await udp_.async_receive_from(
        asio::buffer(buffer), from, asio::redirect_error(use_awaitable, error));
    if (error) {
      continue;  // other errors are transient; Stop ends the loop
    }
    const std::string_view bytes(buffer.data(), size);
    Run([&](PeerAgent& agent, AgentActions& actions) {
      agent.OnDatagram(MonotonicNow(), ToText(from), bytes, actions);
      return true;
    });
  }
}

awaitable<void> PeerNode::Impl::AcceptLoop() {
  const auto self = shared_from_this();
  while (!stopped_) {
    error_code error;
    Tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(use_awaitable, error));
    if (!error && connections_ < kMaxConnections) {
      asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
    } else if (error && !stopped_) {
      // For example out of descriptors: wait for other connections to close.
      asio::steady_timer backoff(context_, kAcceptErrorBackoff);
      co_await backoff.async_wait(asio::redirect_error(use_awaitable, error));
    }
  }
}

awaitable<void> PeerNode::Impl::Serve(Tcp::socket socket) {
  using namespace asio::experimental::awaitable_operators;  // NOLINT
  const auto self = shared_from_this();
  ++connections_;
  const auto answer = [this, &socket]() -> awaitable<void> {
    const std::string request = co_await ReadFrame(socket, kMaxRequestBytes);
    if (!request.empty() && !stopped_) {
      const std::string reply = agent_->OnFrame(request);
      if (!reply.empty()) {
        co_await WriteFrame(socket, reply);
      }
    }
  };
  asio::steady_timer deadline(context_, kServeTimeout);
  error_code ignored;
  co_await (answer() ||
            deadline.async_wait(asio::redirect_error(use_awaitable, ignored)));
  --connections_;
}

awaitable<std::string> PeerNode::Impl::Exchange(const Fetch& fetch) {
  const auto endpoint = ParseEndpoint<Tcp>(fetch.address);
  if (!endpoint) {
    co_return std::string();
  }
  Tcp::socket socket(context_);
  error_code error;
  co_await socket.async_connect(*endpoint,
                                asio::redirect_error(use_awaitable, error));
  if (error) {
    co_return std::string();
  }
  co_await WriteFrame(socket, fetch.frame);
  co_return co_await ReadFrame(socket, kMaxFrameBytes);
}

awaitable<void> PeerNode::Impl::FetchFrame(Fetch fetch) {
  using namespace asio::experimental::awaitable_operators;  // NOLINT
  const auto self = shared_from_this();
  asio::steady_timer deadline(context_, kFetchTimeout);
  error_code ignored;
  const auto outcome =
      co_await (Exchange(fetch) || deadline.async_wait(asio::redirect_error(
                                       use_awaitable, ignored)));
  const std::string answer =
      outcome.index() == 0 ? std::get<0>(outcome) : std::string();
  if (stopped_) {
    co_return;
  }
  Run([&](PeerAgent& agent, AgentActions& actions) {
    agent.OnFrameAnswer(MonotonicNow(), fetch.id, answer, actions);
    return true;
  });
}

}  // namespace figwell::peers
