#include "call.h"

namespace figwell::http {

namespace asio = boost::asio;

namespace {

// Whether nothing has happened on the connection since its last answer. Bytes
// would belong to no request of ours; an end means that the server closed it.
bool IsQuiet(Stream& stream) {
  char byte = 0;
  boost::system::error_code error;
  stream.socket().non_blocking(true, error);
  stream.socket().receive(asio::buffer(&byte, 1),
                          asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

}  // namespace

std::unique_ptr<Stream> IdlePool::Take(const std::string& address) {
  auto& connections = idle_[address];
  const auto now = std::chrono::steady_clock::now();
  while (!connections.empty()) {
    Idle idle = std::move(connections.back());
    connections.pop_back();
    if (now < idle.until && IsQuiet(*idle.stream)) {
      return std::move(idle.stream);
    }
  }
  return nullptr;
}

void IdlePool::Give(const std::string& address, std::unique_ptr<Stream> stream,
                    std::optional<std::chrono::milliseconds> lifetime) {
  const auto kept =
      std::min(lifetime.value_or(limits_.idle_timeout), limits_.idle_timeout);
  if (kept.count() <= 0) {
    return;
  }
  auto& connections = idle_[address];
  if (connections.size() < limits_.idle_connections_per_address) {
    connections.push_back(
        {std::move(stream), std::chrono::steady_clock::now() + kept});
  }
}

std::size_t IdlePool::size() const {
  std::size_t total = 0;
  for (const auto& [address, connections] : idle_) {
    total += connections.size();
  }
  return total;
}

}  // namespace figwell::http
