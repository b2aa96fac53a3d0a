#include <sstream>

#include "connection.h"

namespace figwell::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

using CompleteResponse = beast::http::response<beast::http::string_body>;
using StreamHead = beast::http::response<beast::http::empty_body>;

// How long the server waits for the client to close its side after the server
// has half-closed the connection.
constexpr std::chrono::milliseconds kLingerTimeout{500};

template <typename Message>
void SetHeaders(Message& message, const Headers& headers, bool keep_alive) {
  for (const HeaderField& field : headers.fields()) {
    message.insert(field.name, field.value);
  }
  message.keep_alive(keep_alive);
}

std::string HeadText(int status, const Headers& headers, bool keep_alive,
                     bool chunked) {
  StreamHead head;
  head.result(static_cast<unsigned>(status));
  SetHeaders(head, headers, keep_alive);
  head.chunked(chunked);
  std::ostringstream text;
  text << head.base();
  return text.str();
}

template <typename Buffers>
std::string Flatten(const Buffers& buffers) {
  return beast::buffers_to_string(buffers);
}

}  // namespace

bool Connection::EndsWithHead(int status) const {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return is_head_request_ || status == kNoContent || status == kNotModified;
}

bool Connection::KeepAlive() const {
  return request_keeps_alive_ && !shared_->close_after_answers;
}

void Connection::Send(Response response) {
  if (phase_ == Phase::kHandling) {
    WriteResponse(std::move(response), KeepAlive());
  }
}

void Connection::WriteResponse(Response response, bool keep_alive) {
  phase_ = Phase::kFinishing;
  stream_.expires_after(shared_->limits.write_timeout);
  if (EndsWithHead(response.status)) {
    frame_ = HeadText(response.status, response.headers, keep_alive,
                      /*chunked=*/false);
    asio::async_write(
        stream_, asio::buffer(frame_),
        [self = shared_from_this(), keep_alive](ErrorCode error, std::size_t) {
          self->OnAnswerWritten(error, keep_alive);
        });
    return;
  }
  auto message = std::make_shared<CompleteResponse>();
  message->result(static_cast<unsigned>(response.status));
  SetHeaders(*message, response.headers, keep_alive);
  message->body() = std::move(response.body);
  message->prepare_payload();
  beast::http::async_write(stream_, *message,
                           [self = shared_from_this(), message, keep_alive](
                               ErrorCode error, std::size_t) {
                             self->OnAnswerWritten(error, keep_alive);
                           });
}

void Connection::StartStream(int status, Headers headers) {
  if (phase_ != Phase::kHandling) {
    return;
  }
  phase_ = Phase::kStreaming;
  streams_no_body_ = EndsWithHead(status);
  pieces_.push_back({HeadText(status, headers, KeepAlive(), !streams_no_body_),
                     false, nullptr});
  WriteNextPiece();
}

void Connection::Write(std::string piece,
                       std::function<void(bool)> on_written) {
  if (phase_ != Phase::kStreaming) {
    if (on_written) {
      on_written(false);
    }
    return;
  }
  std::string chunk = streams_no_body_
                          ? std::string()
                          : Flatten(beast::http::make_chunk(
                                asio::const_buffer(asio::buffer(piece))));
  pieces_.push_back({std::move(chunk), false, std::move(on_written)});
  WriteNextPiece();
}

void Connection::Finish() {
  if (phase_ != Phase::kStreaming) {
    return;
  }
  phase_ = Phase::kFinishing;
  std::string end = streams_no_body_ ? std::string()
                                     : Flatten(beast::http::make_chunk_last());
  pieces_.push_back({std::move(end), true, nullptr});
  WriteNextPiece();
}

void Connection::WriteNextPiece() {
  if (writing_ || pieces_.empty()) {
    return;
  }
  writing_ = true;
  frame_ = std::move(pieces_.front().bytes);
  stream_.expires_after(shared_->limits.write_timeout);
  asio::async_write(stream_, asio::buffer(frame_),
                    [self = shared_from_this()](ErrorCode error, std::size_t) {
                      self->OnPieceWritten(error);
                    });
}

void Connection::OnPieceWritten(ErrorCode error) {
  writing_ = false;
  if (error || pieces_.empty()) {
    Close();
    return;
  }
  const Piece piece = std::move(pieces_.front());
  pieces_.pop_front();
  if (piece.last) {
    OnAnswerWritten({}, KeepAlive());
    return;
  }
  if (pieces_.empty()) {
    stream_.expires_never();
  }
  WriteNextPiece();
  if (piece.on_written) {
    piece.on_written(true);
  }
}

void Connection::OnAnswerWritten(ErrorCode error, bool keep_alive) {
  if (error) {
    Close();
    return;
  }
  on_closed_ = nullptr;
  ReleaseBodyBytes();
  request_.body = {};
  if (keep_alive) {
    WaitForRequest();
  } else {
    CloseGracefully();
  }
}

void Connection::CloseGracefully() {
  // Closing immediately with unread input would reset the connection, and the
  // client could lose the answer. Remaining input is read and discarded first.
  const bool first = phase_ != Phase::kClosed;
  phase_ = Phase::kClosed;
  if (first) {
    ErrorCode ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.expires_after(kLingerTimeout);
  }
  buffer_.clear();
  stream_.async_read_some(
      buffer_.prepare(buffer_.max_size()),
      [self = shared_from_this()](ErrorCode error, std::size_t) {
        if (error) {
          self->Close();
        } else {
          self->CloseGracefully();
        }
      });
}

void Connection::Abort() { Close(); }

void Connection::OnClosed(std::function<void()> on_closed) {
  on_closed_ = std::move(on_closed);
}

void Connection::Close() {
  phase_ = Phase::kClosed;
  ErrorCode ignored;
  stream_.socket().close(ignored);
  const auto on_closed = std::move(on_closed_);
  on_closed_ = nullptr;
  std::deque<Piece> pieces;
  pieces.swap(pieces_);
  for (const Piece& piece : pieces) {
    if (piece.on_written) {
      piece.on_written(false);
    }
  }
  if (on_closed) {
    on_closed();
  }
}

}  // namespace figwell::http
