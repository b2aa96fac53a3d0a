#ifndef FIGWELL_HTTP_SRC_CONNECTION_H_
#define FIGWELL_HTTP_SRC_CONNECTION_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "figwell/http.h"

namespace figwell::http {

class Connection;

/** State that all connections of a server share. */
struct ServerShared {
  ServerLimits limits;
  ServerHandlers handlers;
  std::size_t open_connections = 0;
  /** Body bytes of requests that are not answered yet. */
  std::size_t body_bytes = 0;
  bool close_after_answers = false;
  /** Connections that wait for the first byte of a request. */
  std::set<Connection*> idle;
};

/**
 * One client connection of a Server: reads a request, passes itself to the
 * handler as the request's Exchange, writes the answer, and repeats.
 */
class Connection : public Exchange,
                   public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket,
             std::shared_ptr<ServerShared> shared);
  ~Connection() override;

  void Start();
  /** Closes the connection if it waits for a request and has no input. */
  void CloseIdle();
  /** Refuses the connection with kTooManyConnections and closes it. */
  void RefuseOverLimit();

  const Request& request() const override { return request_; }
  const std::string& client_address() const override { return address_; }
  void Send(Response response) override;
  void StartStream(int status, Headers headers) override;
  void Write(std::string piece, std::function<void(bool)> on_written) override;
  void Finish() override;
  void Abort() override;
  void OnClosed(std::function<void()> on_closed) override;

 private:
  using ErrorCode = boost::system::error_code;

  enum class Phase { kReading, kHandling, kStreaming, kFinishing, kClosed };

  struct Piece {
    std::string bytes;
    bool last = false;
    std::function<void(bool)> on_written;
  };

  void WaitForRequest();
  void ReadHead();
  void ReadMoreOfHead(std::size_t searched);
  void OnHead(ErrorCode error, std::size_t head_bytes);
  void ParseHead(std::size_t head_bytes);
  void ReadBody();
  /** Counts the body bytes read so far; false if over the total limit. */
  bool CountBodyBytes();
  void ReleaseBodyBytes();
  void SendContinue();
  void OnReadError(ErrorCode error);
  void OnCompleteRequest();
  void Refuse(RejectReason reason);

  void WatchForClose();
  void OnReadable(ErrorCode error);

  void WriteResponse(Response response, bool keep_alive);
  /** Whether an answer with this status ends with its head; RFC 9112, 6.3. */
  bool EndsWithHead(int status) const;
  void WriteNextPiece();
  void OnPieceWritten(ErrorCode error);
  void OnAnswerWritten(ErrorCode error, bool keep_alive);
  bool KeepAlive() const;
  void CloseGracefully();
  void Close();

  boost::beast::tcp_stream stream_;
  std::shared_ptr<ServerShared> shared_;
  std::string address_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser_;
  Request request_;
  std::size_t counted_body_bytes_ = 0;
  bool request_keeps_alive_ = false;
  bool is_head_request_ = false;
  /** The answer that is being streamed ends with its head. */
  bool streams_no_body_ = false;
  Phase phase_ = Phase::kReading;
  bool watching_for_close_ = false;
  bool writing_ = false;
  std::deque<Piece> pieces_;
  std::string frame_;  // the piece being written, with its chunk framing
  std::function<void()> on_closed_;
};

}  // namespace figwell::http

#endif  // FIGWELL_HTTP_SRC_CONNECTION_H_
