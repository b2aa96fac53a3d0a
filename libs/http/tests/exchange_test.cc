#include <boost/asio.hpp>

#include "address.h"
#include "figwell/http.h"
#include "figwell/testing.h"
#include "loopback.h"

namespace figwell::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

void Echo(const ExchangePtr& exchange) {
  exchange->Send({200, {}, exchange->request().body});
}

TEST_CASE(
    "requests share a keep-alive connection and each gets its own answer") {
  std::string last_client;
  int connections = 0;
  Loopback loopback({}, [&](const ExchangePtr& exchange) {
    connections += exchange->client_address() == last_client ? 0 : 1;
    last_client = exchange->client_address();
    Echo(exchange);
  });
  for (int i = 0; i < 20; ++i) {
    const std::string body(static_cast<std::size_t>(i) * 5000,
                           static_cast<char>('a' + i % 26));
    const auto answer = loopback.Fetch(Post(body));
    REQUIRE(answer);
    CHECK(answer->body == body);
  }
  CHECK(connections == 1);
  CHECK(loopback.client.idle_connections() == 1);
}

TEST_CASE("a body over the limit is refused with its reason") {
  ServerLimits limits;
  limits.body_bytes = 1000;
  Loopback loopback(limits, Echo);
  const auto answer = loopback.Fetch(Post(std::string(1001, 'x')));
  REQUIRE(answer);
  CHECK(answer->status == 400);
  CHECK(loopback.refused ==
        std::vector<RejectReason>{RejectReason::kBodyTooLarge});
  CHECK(loopback.Fetch(Post(std::string(1000, 'x')))->status == 200);
}

TEST_CASE("the total body bytes of unanswered requests are limited") {
  ServerLimits limits;
  limits.total_body_bytes = 1'000;
  std::vector<ExchangePtr> held;
  Loopback loopback(
      limits, [&](const ExchangePtr& exchange) { held.push_back(exchange); });
  std::vector<int> statuses;
  const auto post = [&] {
    loopback.client.Fetch(loopback.address, Post(std::string(700, 'a')), {},
                          [&](const auto& result) {
                            statuses.push_back(result ? result->status : -1);
                          });
  };
  const auto run_until = [&](std::size_t min_held, std::size_t min_answers) {
    while (held.size() < min_held || statuses.size() < min_answers) {
      loopback.context.run_one();
    }
  };
  post();
  run_until(1, 0);
  post();
  run_until(1, 1);
  CHECK(statuses == std::vector{400});  // from on_refuse of Loopback
  REQUIRE(loopback.refused.size() == 1);
  CHECK(loopback.refused[0] == RejectReason::kTooManyBytes);
  held[0]->Send({200, {}, "done"});
  held.clear();
  run_until(0, 2);
  // The body bytes of the first request are no longer counted.
  post();
  run_until(1, 2);
  held[0]->Send({200, {}, "done"});
  held.clear();
  run_until(0, 3);
  CHECK(statuses == std::vector{400, 200, 200});
}

TEST_CASE("a request that cannot be read is refused with an answer") {
  Loopback loopback({}, Echo);
  const std::string long_header(20'000, 'h');
  const std::pair<std::string, RejectReason> cases[] = {
      {"\x16\x03\x01\r\n\r\n", RejectReason::kMalformed},
      {"GET / HTTP/1.1\r\nX: " + long_header + "\r\n\r\n",
       RejectReason::kHeaderTooLarge},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       RejectReason::kAmbiguousFraming},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
       RejectReason::kMalformed},
  };
  for (const auto& [bytes, reason] : cases) {
    loopback.refused.clear();
    CHECK(loopback.SendRaw(bytes).starts_with("HTTP/1.1 400"));
    CHECK(loopback.refused == std::vector<RejectReason>{reason});
  }
}

// A client that sends raw bytes in pieces given by the test.
class RawClient {
 public:
  RawClient(asio::io_context& context, const std::string& address)
      : context_(context), socket_(context) {
    socket_.connect(ParseEndpoint(address).value());
  }

  // Sends a piece and runs the server so that it reads it.
  void Send(std::string_view piece) {
    asio::write(socket_, asio::buffer(piece));
    for (int i = 0; i < 20; ++i) {
      context_.run_one_for(std::chrono::milliseconds(1));
    }
  }

  // Reads up to the end of an answer that ends with `end`.
  std::string Read(const std::string& end) {
    bool done = false;
    asio::async_read_until(
        socket_, asio::dynamic_buffer(answer_), end,
        [&](boost::system::error_code, std::size_t) { done = true; });
    while (!done) {
      context_.run_one();
    }
    return std::exchange(answer_, {});
  }

 private:
  asio::io_context& context_;
  tcp::socket socket_;
  std::string answer_;
};

TEST_CASE("a head that arrives in pieces is read exactly to its end") {
  const std::string first =
      "GET /first HTTP/1.1\r\nHost: h\r\nRequest-Id: 155870503af96d5e\r\n\r\n";
  const std::string second =
      "POST /second HTTP/1.1\r\nHost: h\r\nRequest-Id: 0ccd4ad6db3e0b2f\r\n"
      "Content-Length: 5\r\n\r\nbody.";
  for (std::size_t cut = 1; cut < second.size(); cut += 7) {
    std::vector<Request> seen;
    Loopback loopback({}, [&](const ExchangePtr& exchange) {
      seen.push_back(exchange->request());
      exchange->Send({200, {}, "done!"});
    });
    RawClient client(loopback.context, loopback.address);
    client.Send(first);
    client.Read("done!");
    client.Send(second.substr(0, cut));
    client.Send(second.substr(cut));
    client.Read("done!");
    INFO("cut at " << cut);
    REQUIRE(seen.size() == 2);
    CHECK(seen[1].target == "/second");
    CHECK(seen[1].headers.Find("Request-Id") == "0ccd4ad6db3e0b2f");
    CHECK(seen[1].body == "body.");
  }
}

TEST_CASE("closing idle connections keeps those with a request in progress") {
  ExchangePtr held;
  Loopback loopback({}, [&](const ExchangePtr& exchange) { held = exchange; });
  RawClient idle(loopback.context, loopback.address);
  RawClient busy(loopback.context, loopback.address);
  busy.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(held);
  // A new connection that has not sent a request yet.
  RawClient new_client(loopback.context, loopback.address);
  new_client.Send("");
  CHECK(loopback.server.open_connections() == 3);
  loopback.server.CloseIdleConnections();
  CHECK(idle.Read("never").empty());
  held->Send({200, {}, "done!"});
  // The connection must be destroyed before its io_context.
  held.reset();
  CHECK(busy.Read("done!").ends_with("done!"));
}

TEST_CASE("connections made just before a server stops listening are served") {
  Loopback loopback({}, Echo);
  const tcp::endpoint endpoint = ParseEndpoint(loopback.address).value();
  std::vector<tcp::socket> sockets;
  for (int i = 0; i < 5; ++i) {
    sockets.emplace_back(loopback.context).connect(endpoint);
    asio::write(
        sockets.back(),
        asio::buffer(std::string(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")));
  }
  loopback.server.StopAccepting();
  loopback.server.CloseAfterAnswers();
  int answered = 0;
  std::vector<std::string> answers(sockets.size());
  for (std::size_t i = 0; i < sockets.size(); ++i) {
    asio::async_read(
        sockets[i], asio::dynamic_buffer(answers[i]),
        [&](boost::system::error_code, std::size_t) { ++answered; });
  }
  while (answered < 5) {
    loopback.context.run_one();
  }
  for (const std::string& answer : answers) {
    CHECK(answer.ends_with("\r\n\r\nhi"));
  }
}

// How a call ends whose server sends these bytes.
struct RawOutcome {
  tl::expected<Response, ClientError> answer;
  std::size_t idle_connections = 0;
};

RawOutcome FetchFrom(const std::string& bytes) {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  const std::string address = FormatEndpoint(acceptor.local_endpoint());
  std::shared_ptr<tcp::socket> served;
  acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) {
    served = std::make_shared<tcp::socket>(std::move(socket));
    asio::write(*served, asio::buffer(bytes));
  });
  Client client(context, {});
  std::optional<tl::expected<Response, ClientError>> outcome;
  client.Fetch(address, Post("x"), {},
               [&](auto result) { outcome = std::move(result); });
  while (!outcome) {
    context.run_one();
  }
  return {std::move(*outcome), client.idle_connections()};
}

TEST_CASE("interim answers are limited in number") {
  std::string interim;
  for (int i = 0; i < 1'000; ++i) {
    interim += "HTTP/1.1 102 Wait\r\n\r\n";
  }
  const RawOutcome outcome = FetchFrom(interim);
  REQUIRE_FALSE(outcome.answer);
  CHECK(outcome.answer.error().stage == Stage::kHead);
}

TEST_CASE("a message with an invalid status is no answer") {
  for (const std::string status : {"000", "099", "600", "999"}) {
    CAPTURE(status);
    const RawOutcome outcome =
        FetchFrom("HTTP/1.1 " + status + " No\r\nContent-Length: 2\r\n\r\nhi");
    REQUIRE_FALSE(outcome.answer);
    CHECK(outcome.answer.error().stage == Stage::kHead);
    CHECK(outcome.idle_connections == 0);
  }
}

TEST_CASE("an aborted stream reaches the client as an error") {
  Loopback loopback({}, [](const ExchangePtr& exchange) {
    exchange->StartStream(200, {});
    exchange->Write("half", [exchange](bool) { exchange->Abort(); });
  });
  const auto answer = loopback.Fetch(Post("x"));
  REQUIRE_FALSE(answer);
  CHECK(answer.error().stage == Stage::kBody);
  CHECK(loopback.client.idle_connections() == 0);
}

TEST_CASE("a finished stream reaches the client complete") {
  Loopback loopback({}, [](const ExchangePtr& exchange) {
    exchange->StartStream(200, {{"X-Request-Id", "7"}});
    exchange->Write("one ", nullptr);
    exchange->Write("two", [exchange](bool) { exchange->Finish(); });
  });
  const auto answer = loopback.Fetch(Post("x"));
  REQUIRE(answer);
  CHECK(answer->body == "one two");
  CHECK(answer->headers.Find("x-request-id") == "7");
}

TEST_CASE("a client that disconnects before the answer is reported") {
  bool closed = false;
  ExchangePtr kept;
  Loopback loopback({}, [&](const ExchangePtr& exchange) {
    kept = exchange;
    exchange->OnClosed([&] { closed = true; });
  });
  const CallId call = loopback.client.Send(loopback.address, Post("x"), {}, {});
  while (!kept) {
    loopback.context.run_one();
  }
  loopback.client.Cancel(call);
  while (!closed) {
    loopback.context.run_one();
  }
  CHECK(closed);
  // An exchange must not outlive its io_context.
  kept.reset();
}

TEST_CASE("a piece is read only after the one before it was consumed") {
  constexpr int kPieces = 100;
  constexpr std::size_t kPieceBytes = 65'536;
  int written = 0;
  std::function<void(const ExchangePtr&)> write_next;
  write_next = [&](const ExchangePtr& exchange) {
    if (written == kPieces) {
      exchange->Finish();
      return;
    }
    ++written;
    exchange->Write(std::string(kPieceBytes, 'p'), [&, exchange](bool ok) {
      if (ok) {
        write_next(exchange);
      }
    });
  };
  Loopback loopback({}, [&](const ExchangePtr& exchange) {
    exchange->StartStream(200, {});
    write_next(exchange);
  });
  std::size_t received = 0;
  bool ended = false;
  std::function<void()> resume;
  ResponseHandlers handlers;
  handlers.on_piece = [&](std::string_view piece, std::function<void()> next) {
    received += piece.size();
    resume = std::move(next);
  };
  handlers.on_end = [&] { ended = true; };
  loopback.client.Send(loopback.address, Post("x"), {}, std::move(handlers));
  while (!resume) {
    loopback.context.run_one();
  }
  // The piece is not consumed: the source has to stall once the kernel's socket
  // buffers are full, far below the size of the complete stream.
  for (int i = 0; i < 10'000 && loopback.context.poll_one() > 0; ++i) {
  }
  CHECK(written < kPieces);
  while (!ended) {
    auto next = std::move(resume);
    resume = nullptr;
    if (next) {
      next();
    }
    loopback.context.run_one();
  }
  CHECK(received == kPieces * kPieceBytes);
}

// Accepts one connection, reads one request and writes raw bytes in answer.
void AnswerOnce(tcp::acceptor& acceptor, const std::string& bytes) {
  acceptor.async_accept([bytes](boost::system::error_code, tcp::socket peer) {
    const auto socket = std::make_shared<tcp::socket>(std::move(peer));
    const auto head = std::make_shared<std::string>();
    asio::async_read_until(
        *socket, asio::dynamic_buffer(*head), "\r\n\r\nx",
        [socket, head, bytes](boost::system::error_code, std::size_t) {
          asio::write(*socket, asio::buffer(bytes));
        });
  });
}

TEST_CASE("a call that is cancelled or times out resets its connection") {
  for (const bool cancelled : {true, false}) {
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket accepted(context);
    std::string received;
    boost::system::error_code end;
    bool ended = false;
    acceptor.async_accept(accepted, [&](boost::system::error_code) {
      asio::async_read(accepted, asio::dynamic_buffer(received),
                       [&](boost::system::error_code error, std::size_t) {
                         end = error;
                         ended = true;
                       });
    });
    Client client(context, {});
    CallLimits limits;
    limits.head_timeout = std::chrono::milliseconds(cancelled ? 60'000 : 50);
    const CallId call = client.Send(
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
        Post("an order"), limits, {});
    while (!ended) {
      context.run_one_for(std::chrono::milliseconds(20));
      if (cancelled && !received.empty()) {
        client.Cancel(call);
      }
    }
    CHECK(received.ends_with("an order"));
    CHECK(end == asio::error::connection_reset);
  }
}

TEST_CASE("a dropped idle connection lowers the maximum idle time") {
  // The server closes a connection without an answer if a request arrives on it
  // after more than 600 ms of idle time.
  constexpr std::chrono::milliseconds kServerIdleTimeout{600};
  std::map<std::string, std::chrono::steady_clock::time_point> last_used;
  Loopback loopback({}, [&](const ExchangePtr& exchange) {
    const auto now = std::chrono::steady_clock::now();
    const auto before = last_used.find(exchange->client_address());
    if (before != last_used.end() &&
        now - before->second > kServerIdleTimeout) {
      exchange->Abort();
      return;
    }
    last_used[exchange->client_address()] = now;
    Echo(exchange);
  });
  const auto wait = [&](std::chrono::milliseconds time) {
    asio::steady_timer timer(loopback.context, time);
    bool done = false;
    timer.async_wait([&](boost::system::error_code) { done = true; });
    while (!done) {
      loopback.context.run_one();
    }
  };
  REQUIRE(loopback.Fetch(Post("1")));
  wait(std::chrono::milliseconds(700));
  const auto dropped = loopback.Fetch(Post("2"));
  REQUIRE_FALSE(dropped);
  CHECK(dropped.error().stage == Stage::kWritten);
  // From now on, a connection that was idle for that long is not reused.
  REQUIRE(loopback.Fetch(Post("3")));
  wait(std::chrono::milliseconds(700));
  CHECK(loopback.Fetch(Post("4")));
}

TEST_CASE("each kind of backend failure is reported with its stage") {
  asio::io_context context;
  // Without it, the context would stop whenever it has no pending work.
  const auto guard = asio::make_work_guard(context);
  Client client(context, {});
  const auto fetch = [&](const std::string& address) {
    std::optional<tl::expected<Response, ClientError>> outcome;
    client.Fetch(address, Post("x"), {},
                 [&](auto result) { outcome = std::move(result); });
    while (!outcome) {
      context.run_one();
    }
    return *outcome;
  };
  CHECK(fetch("no address").error().stage == Stage::kResolve);

  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  const std::pair<std::string, Stage> cases[] = {
      {"", Stage::kWritten},
      {"HTTP/1.1 20", Stage::kHead},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", Stage::kBody},
      {"HTTP/1.1 200 OK\r\n\r\nno length", Stage::kBody},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
       Stage::kBody},
      {"not http at all\r\n\r\n", Stage::kHead},
  };
  for (const auto& [bytes, stage] : cases) {
    INFO(bytes);
    AnswerOnce(acceptor, bytes);
    const auto answer = fetch(address);
    REQUIRE_FALSE(answer);
    CHECK(answer.error().stage == stage);
    CHECK_FALSE(answer.error().NothingWasSent());
  }
  acceptor.close();
  CHECK(fetch(address).error().stage == Stage::kConnect);
}

}  // namespace
}  // namespace figwell::http
