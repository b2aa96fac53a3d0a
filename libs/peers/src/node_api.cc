// PeerNode's calls, forwarded to the agent.

#include "node.h"

namespace figwell::peers {

PeerNode::PeerNode(boost::asio::io_context& context, PeerSettings settings,
                   PeerCallbacks callbacks)
    : impl_(std::make_shared<Impl>(context, std::move(settings),
                                   std::move(callbacks))) {}

PeerNode::~PeerNode() { Stop(); }

Result<std::string> PeerNode::Start() { return impl_->Start(); }

void PeerNode::Stop() { impl_->Stop(); }

void PeerNode::Drain() {
  impl_->Run([](PeerAgent& agent, AgentActions& actions) {
    agent.Drain(MonotonicNow(), actions);
    return true;
  });
}

void PeerNode::Leave() {
  impl_->Run([](PeerAgent& agent, AgentActions& actions) {
    agent.Leave(MonotonicNow(), actions);
    return true;
  });
}

Result<void> PeerNode::SetPayload(std::string payload) {
  return impl_->Run([&](PeerAgent& agent, AgentActions& /*actions*/) {
    return agent.SetPayload(std::move(payload));
  });
}

Result<void> PeerNode::Send(const InstanceId& to, std::uint16_t kind,
                            std::string_view bytes) {
  return impl_->Run([&](PeerAgent& agent, AgentActions& actions) {
    return agent.Send(MonotonicNow(), to, kind, bytes, actions);
  });
}

std::size_t PeerNode::BroadcastInDomain(std::uint16_t kind,
                                        std::string_view bytes) {
  return impl_->Run([&](PeerAgent& agent, AgentActions& actions) {
    return agent.BroadcastInDomain(MonotonicNow(), kind, bytes, actions);
  });
}

void PeerNode::SetInstanceHints(std::vector<std::string> addresses) {
  impl_->Run([&](PeerAgent& agent, AgentActions& /*actions*/) {
    agent.SetHints(std::move(addresses));
    return true;
  });
}

void PeerNode::AddSecret(std::string secret) {
  impl_->Run([&](PeerAgent& agent, AgentActions& /*actions*/) {
    agent.AddSecret(std::move(secret));
    return true;
  });
}

void PeerNode::RefreshMembers() {
  impl_->Run([](PeerAgent& agent, AgentActions& actions) {
    agent.RefreshMembers(MonotonicNow(), actions);
    return true;
  });
}

std::vector<Member> PeerNode::Members() const {
  return impl_->agent().membership().Members();
}

ReachabilityStatus PeerNode::GetReachability() const {
  return impl_->agent().reachability_status();
}

void PeerNode::OfferUpdate(const ConfigurationUpdate& update) {
  impl_->Run([&](PeerAgent& agent, AgentActions& actions) {
    agent.OnOffer(update, actions);
    return true;
  });
}

void PeerNode::OnStoreAnswer(bool reached,
                             std::optional<config::VersionNumber> head) {
  impl_->Run([&](PeerAgent& agent, AgentActions& /*actions*/) {
    agent.OnStoreAnswered(MonotonicNow(), reached, head);
    return true;
  });
}

void PeerNode::SetInForce(config::VersionNumber number,
                          const std::function<bool(const Digest&)>& has_key) {
  impl_->Run([&](PeerAgent& agent, AgentActions& actions) {
    agent.OnInForce(MonotonicNow(), number, has_key, actions);
    return true;
  });
}

void PeerNode::OnUpdateFailed() {
  impl_->Run([](PeerAgent& agent, AgentActions& /*actions*/) {
    agent.OnUpdateFailed();
    return true;
  });
}

bool PeerNode::IsCaughtUp() const {
  return impl_->started() && impl_->agent().caught_up();
}

Result<void> PeerNode::Deny(const Digest& digest) {
  return impl_->Run([&](PeerAgent& agent, AgentActions& actions) {
    return agent.Deny(MonotonicNow(), digest, actions);
  });
}

const Counters& PeerNode::counters() const { return impl_->agent().counters(); }

}  // namespace figwell::peers
