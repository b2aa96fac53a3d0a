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

/**
 * The idle pool: connections to backends that wait for their next call. Those
 * that cannot be used again are closed also if nothing calls their address.
 */
class IdlePool : public std::enable_shared_from_this<IdlePool> {
 public:
  /** How often the pool looks for connections to close. */
  static constexpr std::chrono::milliseconds kSweepInterval{2'000};

  IdlePool(boost::asio::io_context& context, ClientLimits limits)
      : limits_(limits), sweep_timer_(context) {}

  using Clock = std::chrono::steady_clock;

  /** A connection from the pool, and how long it was idle. */
  struct PooledConnection {
    std::unique_ptr<Stream> stream;
    Clock::duration idle_time{0};
  };

  /**
   * Takes out an idle connection that its server has neither closed nor written
   * to; `stream` is null if there is none.
   */
  PooledConnection Acquire(const std::string& address);
  /**
   * Records that a reused connection, idle for `idle_time` before, failed
   * before any byte of an answer was received. Servers may drop idle
   * connections silently, so this lowers the maximum idle time of all
   * connections; the limit grows again with time.
   */
  void RecordDropped(Clock::duration idle_time);
  /**
   * Adds a connection that has become idle.
   * @param lifetime how long it may stay idle, if the server limits that
   */
  void Release(const std::string& address, std::unique_ptr<Stream> stream,
               std::optional<std::chrono::milliseconds> lifetime);
  std::size_t size() const { return size_; }
  const ClientLimits& limits() const { return limits_; }
  /** Closes the connection that has been idle longest. @return if any */
  bool CloseOldest();
  /** Closes all connections and looks for none any more. */
  void Clear();
  void OnShortage(std::function<void(const std::string&)> on_shortage) {
    on_shortage_ = std::move(on_shortage);
  }
  /**
   * No descriptor was left for a connection.
   * @return whether an idle one was closed, so that it may be tried again
   */
  bool MakeRoom(const std::string& error);

 private:
  struct IdleConnection {
    std::unique_ptr<Stream> stream;
    Clock::time_point idle_since;
    Clock::time_point usable_until;
  };

  Clock::duration MaxIdleTime(Clock::time_point now) const;
  /** Sweeps after the interval if there are connections then. */
  void ScheduleSweep();
  /** Closes connections whose time is over or that their servers closed. */
  void Sweep();

  ClientLimits limits_;
  boost::asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;
  /** By address, those that became idle first at the front. */
  std::map<std::string, std::vector<IdleConnection>> idle_;
  std::size_t size_ = 0;
  std::function<void(const std::string&)> on_shortage_;
  /** The limit that RecordDropped set last, and when it did. */
  std::optional<Clock::duration> max_idle_time_;
  Clock::time_point max_idle_time_set_at_;
};

/** One request to a backend and the reading of its answer. */
class Call : public std::enable_shared_from_this<Call> {
 public:
  Call(boost::asio::io_context& context, std::shared_ptr<IdlePool> pool,
       std::string address, const Request& request, CallLimits limits,
       ResponseHandlers handlers, std::function<void()> on_finished);

  void Start();
  /** Resets the connection; no handler runs afterwards. */
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
  /** Reads the next head, unless too many were skipped. */
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
  IdlePool::Clock::duration reused_idle_time_{0};
  bool finished_ = false;
  /** The current answer belongs to another request and is skipped. */
  bool skip_answer_ = false;
  /** An answer to another request was received on this connection. */
  bool has_skipped_answer_ = false;
  /** Skipped heads: of interim (1xx) answers, and of other requests. */
  int skipped_heads_ = 0;
  /** Body bytes of answers to other requests. */
  std::size_t skipped_body_bytes_ = 0;
  IdlePool::Clock::time_point head_deadline_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::array<char, kPieceBytes> piece_{};
};

}  // namespace figwell::http

#endif  // FIGWELL_HTTP_SRC_CALL_H_
