#ifndef FIGWELL_HTTP_H_
#define FIGWELL_HTTP_H_

/**
 * HTTP/1.1 for all daemons, over Boost.Beast. In this order:
 *
 *   messages   Headers, Request, Response
 *   framing    checks that a request's framing is unambiguous
 *   events     EventStreamReader splits a stream into server-sent events
 *   server     Server passes each request to a handler as an Exchange
 *   client     Client sends requests over keep-alive connections
 *
 * A Server or Client belongs to one io_context that one thread runs; its
 * functions must not be called from another thread. This header includes no
 * header of Asio or Beast.
 *
 * The head of a message is its request line or status line together with its
 * header section.
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

/** Header fields in order; names are compared without regard to case. */
class Headers {
 public:
  Headers() = default;
  Headers(std::initializer_list<HeaderField> fields) : fields_(fields) {}

  /** The value of the first field with that name; empty if there is none. */
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

/** Whether a client can connect to an address: IP:PORT, the port not 0. */
bool IsServerAddress(const std::string& address);

/** A JSON response. */
Response JsonResponse(int status, std::string body);

// ------------------------------------------------------------------ framing

/** Why a request was refused before it reached the handler. */
enum class RejectReason {
  kMalformed,         ///< not HTTP/1.1
  kAmbiguousFraming,  ///< parsers could disagree on where it ends
  kHeaderTooLarge,
  kBodyTooLarge,
  kTimeout,             ///< the request was not received in time
  kTooManyConnections,  ///< over ServerLimits::connections
  kTooManyBytes,        ///< over ServerLimits::total_body_bytes
};

/** The stable name of a reason, for metric labels and error bodies. */
std::string_view Name(RejectReason reason);

/**
 * Checks the raw bytes of a request's head, up to and including the empty
 * line. Refuses Content-Length together with Transfer-Encoding, either of them
 * twice, a Content-Length that is not a decimal number, a Transfer-Encoding
 * other than `chunked`, obsolete line folding, white space before a colon,
 * bare line feeds and control characters.
 * @return why the request must be refused, or nothing if it may be read
 */
std::optional<RejectReason> CheckHead(std::string_view head);

// ------------------------------------------------------------ event streams

/** One server-sent event. */
struct StreamEvent {
  /** The `id:` field, if it is a non-negative integer. */
  std::optional<std::uint64_t> number;
  /** The values of the `data:` lines, joined with line feeds. */
  std::string data;
  /** The event as received, including the empty line that ends it. */
  std::string raw;
};

/** The maximum size of an event, in bytes. */
inline constexpr std::size_t kMaxEventBytes = 1'048'576;

/** Splits a `text/event-stream`, received in pieces, into events. */
class EventStreamReader {
 public:
  /**
   * Adds the next piece and returns the events that it completes. Fails with
   * kTooLarge once an incomplete event is over kMaxEventBytes.
   */
  Result<std::vector<StreamEvent>> Append(std::string_view piece);

  /** Bytes received so far of the event that is not complete. */
  std::size_t pending() const { return pending_.size(); }

 private:
  std::string pending_;
  std::size_t searched_ = 0;
};

// ------------------------------------------------------------------- server

/** Limits of a server. Only peer_timeout can be disabled. */
struct ServerLimits {
  std::size_t header_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  /** For the bodies of all requests that are not answered yet, together. */
  std::size_t total_body_bytes = 33'554'432;
  std::size_t connections = 4096;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  std::chrono::milliseconds idle_timeout{75'000};
  std::chrono::milliseconds write_timeout{30'000};
  /**
   * How long sent bytes, or TCP keep-alive probes on an idle connection, may
   * stay unacknowledged before the connection fails; 0: no limit.
   */
  std::chrono::milliseconds peer_timeout{0};
};

/**
 * One request and the means to answer it. It is answered once: with Send, or
 * with StartStream, any number of Write calls, then Finish or Abort.
 */
class Exchange {
 public:
  virtual ~Exchange() = default;

  virtual const Request& request() const = 0;
  /** `IP:PORT` of the client. */
  virtual const std::string& client_address() const = 0;

  /** Sends a complete answer. */
  virtual void Send(Response response) = 0;
  /** Sends the head of a chunked answer, whose length is not known yet. */
  virtual void StartStream(int status, Headers headers) = 0;
  /**
   * Sends one piece of a stream as one chunk. `on_written` runs with true when
   * the next piece may be written, and with false when the client has
   * disconnected. Waiting for it applies back pressure to the source when the
   * client reads slowly.
   */
  virtual void Write(std::string piece,
                     std::function<void(bool)> on_written) = 0;
  /** Ends a stream as complete. */
  virtual void Finish() = 0;
  /** Closes the connection, so that the client sees an incomplete answer. */
  virtual void Abort() = 0;
  /** `on_closed` runs if the connection closes before the answer's end. */
  virtual void OnClosed(std::function<void()> on_closed) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct ServerHandlers {
  std::function<void(ExchangePtr)> on_request;
  /**
   * Makes the answer to a refused request; may also count it. Of connections
   * far over their limit the answer is not sent.
   */
  std::function<Response(RejectReason)> on_refuse;
  /**
   * A connection could not be accepted, for lack of descriptors; it waits and
   * is tried again. May be null.
   */
  std::function<void(const std::string& error)> on_accept_failed = nullptr;
};

class Server {
 public:
  Server(boost::asio::io_context& context, ServerLimits limits,
         ServerHandlers handlers);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /**
   * Listens on `IP:PORT`; port 0 picks a free one. Several servers may listen
   * on one address (SO_REUSEPORT); the kernel distributes connections among
   * them.
   * @return the bound address
   */
  Result<std::string> Listen(const std::string& address);

  /**
   * Replaces the limits. Open connections keep their `header_bytes` and
   * `peer_timeout`.
   */
  void SetLimits(const ServerLimits& limits);

  /**
   * Stops listening. Established connections are kept, including those that
   * the kernel has accepted and this server has not.
   */
  void StopAccepting();

  /** From now on, closes each connection after its current or next answer. */
  void CloseAfterAnswers();

  /** Closes the connections on which no byte of a request has arrived. */
  void CloseIdleConnections();

  std::size_t open_connections() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// ------------------------------------------------------------------- client

/** How far a call to a backend had progressed when it failed. */
enum class Stage {
  kResolve,        ///< the address could not be parsed
  kConnect,        ///< no connection was established
  kFirstByte,      ///< connected, but no byte was written
  kPartlyWritten,  ///< a part of the request was written
  kWritten,        ///< the request was written, no answer has begun
  kHead,           ///< while reading the head of the answer
  kBody,           ///< while reading the body of the answer
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
  /** Over all addresses; the one that has been idle longest is closed first. */
  std::size_t idle_connections = 4'096;
  std::chrono::milliseconds connect_timeout{1'000};
  std::chrono::milliseconds write_timeout{10'000};
  std::chrono::milliseconds idle_timeout{30'000};
  /**
   * How long sent bytes, or TCP keep-alive probes on an idle connection, may
   * stay unacknowledged before the connection fails; 0: no limit.
   */
  std::chrono::milliseconds peer_timeout{0};
};

/** Limits of one call. */
struct CallLimits {
  /** From writing the request's last byte to the end of the answer's head. */
  std::chrono::milliseconds head_timeout{60'000};
  /** For the wait for each piece of the body. */
  std::chrono::milliseconds piece_timeout{30'000};
  /** For the complete body; applies to Fetch only. */
  std::size_t body_bytes = 8'388'608;
  /**
   * From the call to the last piece of the body; 0: no limit. Applies to Fetch
   * only, when a piece arrives.
   */
  std::chrono::milliseconds total_timeout{0};
  /**
   * Opens a new connection rather than reuse an idle one: on an idle one, a
   * write may seem to succeed although the server has just closed it.
   */
  bool fresh_connection = false;
  /**
   * Accepts an answer whose body ends only when the server closes the
   * connection. A reset is still an error.
   */
  bool allow_unframed = false;
  /**
   * When the request becomes invalid, by MonotonicNow(); it is not written
   * afterwards. This matters when the process was frozen while it connected:
   * timers do not help then, since after the freeze the event loop handles the
   * established connection before the expired timer.
   */
  std::optional<TimePoint> write_before;
};

/** The head of an answer, and what is known of its connection. */
struct AnswerHead {
  int status = 0;
  const Headers& headers;
  /** Whether earlier requests were sent on the connection. */
  bool connection_reused = false;
};

/**
 * Callbacks of a call. Exactly one of on_end and on_error runs, as the last,
 * unless the call is cancelled.
 */
struct ResponseHandlers {
  /**
   * Whether an answer with this head belongs to this request. One that does not
   * is read and skipped, and the next one is awaited. Null: all answers belong.
   */
  std::function<bool(const AnswerHead&)> belongs;
  std::function<void(int status, const Headers&)> on_head;
  /** The next piece is read only after `resume` is called. */
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
   * Sends a request to `IP:PORT` and passes on the answer as it arrives. The
   * library adds Content-Length, and Host unless the request has one. An
   * answer with neither Content-Length nor chunked framing is an error unless
   * the limits allow it. A connection is reused only if the answer allows it
   * and ended at its framed end, and no answer was skipped; it is idle no
   * longer than the answer's Keep-Alive field allows. A call that fails or is
   * cancelled resets its connection, so that bytes still in flight are not
   * delivered. No handler runs before Send has returned.
   */
  CallId Send(const std::string& address, const Request& request,
              CallLimits limits, ResponseHandlers handlers);

  /**
   * Sends a request and collects the complete answer.
   * @param belongs see ResponseHandlers
   */
  CallId Fetch(
      const std::string& address, const Request& request, CallLimits limits,
      const std::function<void(tl::expected<Response, ClientError>)>& on_done,
      std::function<bool(const AnswerHead&)> belongs = nullptr);

  /** Aborts a call and resets its connection; no handler runs afterwards. */
  void Cancel(CallId call);

  std::size_t idle_connections() const;
  /** Closes the connection that has been idle longest. @return if any */
  bool CloseOldestIdle();
  /**
   * `on_shortage` runs when no connection could be made for lack of
   * descriptors, although no idle one was left to close instead.
   */
  void OnShortage(std::function<void(const std::string& error)> on_shortage);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace figwell::http

#endif  // FIGWELL_HTTP_H_
