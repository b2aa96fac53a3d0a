#include <boost/asio.hpp>

#include "call.h"
#include "figwell/testing.h"

namespace figwell::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kIdle{800};
constexpr milliseconds kAtOnce{1};
constexpr milliseconds kAfterWork{60};

/** Connections to a listener on loopback, kept for made-up addresses. */
class Pool {
 public:
  Pool() : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}) {}

  void Keep(const std::string& address) {
    auto stream = std::make_unique<Stream>(context_);
    stream->socket().connect(acceptor_.local_endpoint());
    accepted_.push_back(acceptor_.accept());
    pool.Give(address, std::move(stream), std::nullopt);
  }

  /** Whether a connection that has been idle for kIdle would be used. */
  bool UsesIdle(const std::string& address) {
    Keep(address);
    asio::steady_timer(context_, kIdle).wait();
    return pool.Take(address).stream != nullptr;
  }

  IdlePool pool{ClientLimits{}};

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> accepted_;
};

TEST_CASE("a server that drops a connection is not taken for all") {
  Pool pool;
  pool.pool.NoteDropped("a:1", kIdle, kAtOnce);
  CHECK_FALSE(pool.UsesIdle("a:1"));
  CHECK(pool.UsesIdle("b:1"));
}

TEST_CASE("servers that fail while they work are not taken for all") {
  Pool pool;
  for (const char* address : {"a:1", "b:1", "c:1", "d:1"}) {
    pool.pool.NoteDropped(address, kIdle, kAfterWork);
  }
  CHECK(pool.UsesIdle("e:1"));
}

TEST_CASE("what several servers drop at once has a cause that all share") {
  Pool pool;
  for (const char* address : {"a:1", "b:1", "c:1"}) {
    pool.pool.NoteDropped(address, kIdle, kAtOnce);
  }
  CHECK_FALSE(pool.UsesIdle("d:1"));
}

}  // namespace
}  // namespace figwell::http
