#ifndef FIGWELL_HTTP_H_
#define FIGWELL_HTTP_H_

/**
 * HTTP/1.1 for all daemons, over Boost.Beast. In this order:
 *
 *   messages   Headers, Request, Response
 *   framing    what makes a request's framing ambiguous
 *   events     EventStreamReader cuts a stream into server-sent events
 *   server     Server hands each request to a handler as an Exchange
 *   client     Client sends requests over kept-alive connections
 *
 * A Server and a Client belong to one io_context that one thread runs; none
 * of their functions may be called from another thread. No header of Asio or
 * Beast is included here.
 */

#include <chrono>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figwell/core.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace figwell::http {

// ----------------------------------------------------------------- messages

struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

/** Header fields in their order; names compare without regard to case. */
class Headers {
 public:
  Headers() = default;
  Headers(std::initializer_list<HeaderField> fields) : fields_(fields) {}

  /** The value of the first field of that name; empty if there is none. */
  std::string_view Find(std::string_view name) const;
  bool Contains(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  void Add(std::string name, std::string value);

  const std::vector<HeaderField>& fields() const { return fields_; }

  friend bool operator==(const Headers&, const Headers&) = default;

 private:
  std::vector<HeaderField> fields_;
};

struct Request {
  std::string method = "GET";
  std::string target = "/";
  Headers headers;
  std::string body;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

/** The path of a request target, without its query. */
std::string_view PathOf(std::string_view target);

/** A JSON response. */
Response JsonResponse(int status, std::string body);

// ------------------------------------------------------------------ framing

/** Why a request was refused before any handler saw it. */
enum class RejectReason {
  kMalformed,         ///< not HTTP/1.1
  kAmbiguousFraming,  ///< two readers could disagree where it ends
  kHeaderTooLarge,
  kBodyTooLarge,
  kTimeout,             ///< the request did not arrive in time
  kTooManyConnections,  ///< over ServerLimits::connections
  kTooManyBytes,        ///< over ServerLimits::all_body_bytes
};

/** The stable name of a reason, for counters. */
std::string_view Name(RejectReason reason);

/**
 * Checks the raw bytes of a request's head, up to and with the empty line.
 * Refuses Content-Length beside Transfer-Encoding, either of them twice, a
 * Transfer-Encoding other than `chunked`, obsolete folding, white space
 * before a colon, bare line feeds and control characters.
 */
std::optional<RejectReason> CheckHead(std::string_view head);

// ------------------------------------------------------------ event streams

/** One server-sent event. */
struct StreamEvent {
  /** The server's number of the event, if it gives one. */
  std::optional<std::uint64_t> number;
  /** The joined `data:` lines. */
  std::string data;
  /** The event as it came, with the empty line that ends it. */
  std::string raw;
};

/** The largest event that is read, in bytes. */
inline constexpr std::size_t kMaxEventBytes = 1'048'576;

/** Cuts the pieces of a `text/event-stream` into events. */
class EventStreamReader {
 public:
  /**
   * Takes the next piece and returns the events that it completes. Fails
   * with kTooLarge once an event is over kMaxEventBytes.
   */
  Result<std::vector<StreamEvent>> Take(std::string_view piece);

  /** Bytes of an event that is not complete. */
  std::size_t pending() const { return pending_.size(); }

 private:
  std::string pending_;
  std::size_t searched_ = 0;
};

// ------------------------------------------------------------------- server

/** Bounds of a server; none can be switched off. */
struct ServerLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  /** Of the bodies of all requests that have no answer yet. */
  std::size_t all_body_bytes = 33'554'432;
  std::size_t connections = 4096;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds idle_timeout{75'000};
  std::chrono::milliseconds write_timeout{30'000};
  /** How long sent bytes may stay without an acknowledgement; 0: no bound. */
  std::chrono::milliseconds peer_timeout{0};
};

/**
 * One request and the way to answer it. Answer once: with Send, or with
 * StartStream, any number of Write, then Finish or Abort.
 */
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const Request& request() const = 0;
  /** `IP:PORT` of the client. */
  virtual const std::string& client_address() const = 0;

  /** Sends a whole answer. */
  virtual void Send(Response response) = 0;
  /** Sends the head of an answer whose length is not known yet. */
  virtual void StartStream(int status, Headers headers) = 0;
  /**
   * Sends one piece of a stream. `on_written` runs with true when the next
   * piece may follow, and with false when the client is gone; it is how a
   * slow reader holds up its source.
   */
  virtual void Write(std::string piece,
                     std::function<void(bool)> on_written) = 0;
  /** Ends a stream as complete. */
  virtual void Finish() = 0;
  /** Closes the connection, so that no client takes the answer for whole. */
  virtual void Abort() = 0;
  /** `on_closed` runs if the client goes before the answer's end. */
  virtual void OnClosed(std::function<void()> on_closed) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct ServerHandlers {
  std::function<void(ExchangePtr)> on_request;
  /** Makes the answer to a request that was refused; may count it. */
  std::function<Response(RejectReason)> on_reject;
};

class Server {
 public:
  Server(boost::asio::io_context& context, ServerLimits limits,
         ServerHandlers handlers);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /**
   * Listens on `IP:PORT`; port 0 takes a free one. Several servers may
   * listen on one address, and the kernel spreads connections over them.
   * @return the bound address
   */
  Result<std::string> Listen(const std::string& address);

  /** Bounds from now on; open connections keep their bound on heads. */
  void SetLimits(const ServerLimits& limits);

  /** Takes no more connections. Those that clients have made stay. */
  void StopAccepting();

  /** Makes every answer from now on the last one of its connection. */
  void CloseAfterAnswers();

  /** Closes the connections on which no request is under way. */
  void CloseIdleConnections();

  std::size_t open_connections() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// ------------------------------------------------------------------- client

/** How far an exchange with a backend had come when it broke. */
enum class Stage {
  kResolve,        ///< the address could not be read
  kConnect,        ///< no connection was made
  kFirstByte,      ///< connected, and no byte was handed over
  kPartlyWritten,  ///< a part of the request was handed over
  kWritten,        ///< all was handed over, no answer has begun
  kHead,           ///< within the head of the answer
  kBody,           ///< within the body of the answer
};

std::string_view Name(Stage stage);

struct ClientError {
  Stage stage = Stage::kConnect;
  bool timed_out = false;
  std::string message;

  /** Whether no byte of the request can have reached the server. */
  bool NothingWasSent() const { return stage <= Stage::kFirstByte; }
};

struct ClientLimits {
  std::size_t header_bytes = 16'384;
  std::size_t idle_connections_per_address = 64;
  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::milliseconds write_timeout{10'000};
  std::chrono::milliseconds idle_timeout{30'000};
  /**
   * How long sent bytes may stay without an acknowledgement, and how long a
   * connection may be without any sign of life, before it counts as broken;
   * 0: no bound.
   */
  std::chrono::milliseconds peer_timeout{0};
};

/** Bounds of one call. */
struct CallLimits {
  /** From the last byte written to the end of the answer's head. */
  std::chrono::milliseconds head_timeout{60'000};
  /** Between two pieces of the body. */
  std::chrono::milliseconds piece_timeout{30'000};
  /** Of the whole body; only for Fetch. */
  std::size_t body_bytes = 8'388'608;
  /**
   * Makes a connection for this call alone to begin with: on a kept one a
   * write may seem to succeed although the server has just closed it.
   */
  bool fresh_connection = false;
  /**
   * Takes an answer that only the end of its connection delimits. One that is
   * reset is an error all the same.
   */
  bool allow_unframed = false;
  /**
   * When the request stops being true, by MonotonicNow(): a process that was
   * frozen while it connected must not hand it over afterwards. Timers do not
   * guard against that: the connection is found to be made first.
   */
  std::optional<TimePoint> write_before;
};

/** Where the parts of an answer go. Exactly one of on_end, on_error is last. */
struct ResponseHandlers {
  /**
   * Whether an answer belongs to this request; those that do not are read and
   * dropped, and the next one is waited for. Null: all belong.
   */
  std::function<bool(const Headers&)> belongs;
  std::function<void(int status, const Headers&)> on_head;
  /** The next piece is read only after `resume` was called. */
  std::function<void(std::string_view piece, std::function<void()> resume)>
      on_piece;
  std::function<void()> on_end;
  std::function<void(const ClientError&)> on_error;
};

using CallId = std::uint64_t;

class Client {
 public:
  Client(boost::asio::io_context& context, ClientLimits limits);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /**
   * Sends a request to `IP:PORT` and hands over the answer as it comes. The
   * library adds Content-Length, and Host unless the request has one. An
   * answer that only the end of the connection would delimit is an error
   * unless the limits allow it. A connection is used again only if an answer
   * ended where it should, for as long as its Keep-Alive field says. A call
   * that fails or is cancelled resets its connection, so that bytes that are
   * still under way do not arrive. No handler runs before Send has returned.
   */
  CallId Send(const std::string& address, const Request& request,
              CallLimits limits, ResponseHandlers handlers);

  /**
   * Sends a request and collects the whole answer.
   * @param belongs see ResponseHandlers
   */
  CallId Fetch(
      const std::string& address, const Request& request, CallLimits limits,
      const std::function<void(tl::expected<Response, ClientError>)>& on_done,
      std::function<bool(const Headers&)> belongs = nullptr);

  /** Drops a call and closes its connection; none of its handlers run. */
  void Cancel(CallId call);

  std::size_t idle_connections() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace figwell::http

#endif  // FIGWELL_HTTP_H_
