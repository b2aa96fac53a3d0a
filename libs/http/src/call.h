#ifndef FIGWELL_HTTP_SRC_CALL_H_
#define FIGWELL_HTTP_SRC_CALL_H_

#include <array>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "figwell/http.h"

namespace figwell::http {

using Stream = boost::beast::tcp_stream;

/** Connections to backends that wait for their next call. */
class IdlePool {
 public:
  explicit IdlePool(ClientLimits limits) : limits_(limits) {}

  using Clock = std::chrono::steady_clock;

  /** A kept connection, and how long it has been idle. */
  struct Kept {
    std::unique_ptr<Stream> stream;
    Clock::duration idle{0};
  };

  /** A connection that its server has neither closed nor written to. */
  Kept Take(const std::string& address);
  /**
   * A connection that had been idle for so long broke before anything was
   * answered. Servers may drop idle connections without a word, so all are
   * used for a shorter time from now on; the bound grows again with time.
   */
  void NoteDropped(Clock::duration idle);
  /** @param lifetime how long the server keeps the connection, if it said so
   */
  void Give(const std::string& address, std::unique_ptr<Stream> stream,
            std::optional<std::chrono::milliseconds> lifetime);
  std::size_t size() const;
  const ClientLimits& limits() const { return limits_; }

 private:
  struct Idle {
    std::unique_ptr<Stream> stream;
    Clock::time_point since;
    Clock::time_point until;
  };

  Clock::duration LongestIdle(Clock::time_point now) const;

  ClientLimits limits_;
  std::map<std::string, std::vector<Idle>> idle_;
  /** What NoteDropped asked for last, and when. */
  std::optional<Clock::duration> dropped_bound_;
  Clock::time_point dropped_at_;
};

/** One request on its way to a backend, and its answer on the way back. */
class Call : public std::enable_shared_from_this<Call> {
 public:
  Call(boost::asio::io_context& context, std::shared_ptr<IdlePool> pool,
       std::string address, const Request& request, CallLimits limits,
       ResponseHandlers handlers, std::function<void()> on_finished);

  void Start();
  /** Closes the connection; no handler runs afterwards. */
  void Cancel();

 private:
  using ErrorCode = boost::system::error_code;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  static constexpr std::size_t kPieceBytes = 16'384;

  void Connect();
  void WriteRequest();
  void OnWritten(ErrorCode error, std::size_t bytes);
  void ReadHead();
  /** Reads the next head, if not too many came that answer nothing. */
  void ReadNextHead();
  void OnHead(ErrorCode error);
  void ReadPiece();
  void OnPiece(ErrorCode error);
  void Continue();
  void End();
  void Reset();
  void Fail(Stage stage, ErrorCode error, std::string message);

  boost::asio::io_context& context_;
  std::shared_ptr<IdlePool> pool_;
  std::string address_;
  std::string request_bytes_;
  bool is_head_request_;
  CallLimits limits_;
  ResponseHandlers handlers_;
  std::function<void()> on_finished_;

  std::unique_ptr<Stream> stream_;
  bool reused_ = false;
  IdlePool::Clock::duration idle_before_{0};
  bool finished_ = false;
  /** The present answer belongs to another request. */
  bool foreign_ = false;
  /** An answer to another request came on this connection. */
  bool saw_foreign_ = false;
  /** Heads that answer nothing: interim ones, and those of other requests. */
  int idle_heads_ = 0;
  /** Bytes of bodies that belong to other requests. */
  std::size_t foreign_bytes_ = 0;
  IdlePool::Clock::time_point head_deadline_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::array<char, kPieceBytes> piece_{};
};

}  // namespace figwell::http

#endif  // FIGWELL_HTTP_SRC_CALL_H_
