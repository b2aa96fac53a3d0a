#ifndef FIGWELL_PEERS_NODE_H_
#define FIGWELL_PEERS_NODE_H_

/** Sockets and timers around a PeerAgent. */

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>

#include "agent.h"

namespace figwell::peers {

class PeerNode::Impl : public std::enable_shared_from_this<PeerNode::Impl> {
 public:
  Impl(boost::asio::io_context& context, PeerSettings settings,
       PeerCallbacks callbacks);

  Result<std::string> Start();
  void Stop();

  /** Calls the agent and executes the resulting actions. */
  template <typename Call>
  auto Run(Call&& call) {
    AgentActions actions;
    auto result = call(*agent_, actions);
    Execute(actions);
    return result;
  }

  bool started() const { return agent_ != nullptr; }
  const PeerAgent& agent() const { return *agent_; }
  const PeerCallbacks& callbacks() const { return callbacks_; }

 private:
  using Udp = boost::asio::ip::udp;
  using Tcp = boost::asio::ip::tcp;
  template <typename T>
  using Awaitable = boost::asio::awaitable<T>;

  Result<void> Open();
  void MakeAgent(const std::string& address);
  void Execute(AgentActions& actions);
  void SendDatagram(const Datagram& datagram);

  Awaitable<void> TickLoop();
  Awaitable<void> ReceiveLoop();
  Awaitable<void> AcceptLoop();
  Awaitable<void> Serve(Tcp::socket socket);
  Awaitable<void> FetchFrame(Fetch fetch);
  /** Runs until done or until kFetchTimeout has passed. */
  Awaitable<std::string> Exchange(const Fetch& fetch);

  boost::asio::io_context& context_;
  PeerSettings settings_;
  PeerCallbacks callbacks_;
  Udp::socket udp_;
  Tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<PeerAgent> agent_;
  std::size_t connections_ = 0;
  bool stopped_ = false;
};

}  // namespace figwell::peers

#endif  // FIGWELL_PEERS_NODE_H_
