#include "address.h"
#include "connection.h"

namespace figwell::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t kHeadReadBytes = 1024;

Request ToRequest(
    beast::http::request_parser<beast::http::string_body>& parser) {
  auto message = parser.release();
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.Add(std::string(field.name_string()),
                        std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

RejectReason ReasonFor(const boost::system::error_code& error) {
  if (error == beast::http::error::body_limit) {
    return RejectReason::kBodyTooLarge;
  }
  if (error == beast::http::error::header_limit ||
      error == asio::error::not_found) {
    return RejectReason::kHeaderTooLarge;
  }
  if (error == beast::error::timeout) {
    return RejectReason::kTimeout;
  }
  return RejectReason::kMalformed;
}

bool IsDisconnect(const boost::system::error_code& error) {
  return error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::operation_aborted ||
         error == beast::http::error::end_of_stream ||
         error == beast::http::error::partial_message;
}

}  // namespace

Connection::Connection(asio::ip::tcp::socket socket,
                       std::shared_ptr<ServerShared> shared)
    : stream_(std::move(socket)),
      shared_(std::move(shared)),
      buffer_(shared_->limits.header_bytes) {
  ++shared_->open_connections;
  ErrorCode ignored;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  SetPeerTimeout(stream_.socket(), shared_->limits.peer_timeout);
  address_ = FormatEndpoint(stream_.socket().remote_endpoint(ignored));
}

Connection::~Connection() {
  ReleaseBodyBytes();
  shared_->idle.erase(this);
  --shared_->open_connections;
}

void Connection::Start() { WaitForRequest(); }

void Connection::WaitForRequest() {
  phase_ = Phase::kReading;
  is_head_request_ = false;
  if (buffer_.size() > 0) {
    ReadHead();
    return;
  }
  // A keep-alive connection may be idle for a long time; once a request has
  // begun, its head has to arrive within the shorter header timeout.
  stream_.expires_after(shared_->limits.idle_timeout);
  shared_->idle.insert(this);
  stream_.async_read_some(
      buffer_.prepare(std::min(kHeadReadBytes, buffer_.max_size())),
      [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
        self->shared_->idle.erase(self.get());
        if (error || !self->stream_.socket().is_open()) {
          self->Close();
          return;
        }
        self->buffer_.commit(bytes);
        self->ReadHead();
      });
}

void Connection::CloseIdle() {
  char byte = 0;
  ErrorCode error;
  stream_.socket().non_blocking(true, error);
  stream_.socket().receive(asio::buffer(&byte, 1),
                           asio::socket_base::message_peek, error);
  if (error == asio::error::would_block) {
    // No bytes have arrived. Bytes that arrive from now on are not read, so the
    // client can tell that its request was not handled.
    shared_->idle.erase(this);
    stream_.socket().close(error);
  }
}

void Connection::ReadHead() {
  stream_.expires_after(shared_->limits.header_timeout);
  ReadMoreOfHead(/*searched=*/0);
}

void Connection::ReadMoreOfHead(std::size_t searched) {
  static constexpr std::string_view kEnd = "\r\n\r\n";
  const std::string_view read(static_cast<const char*>(buffer_.data().data()),
                              buffer_.size());
  const std::size_t end = read.find(kEnd, searched);
  if (end != std::string_view::npos) {
    OnHead({}, end + kEnd.size());
    return;
  }
  const std::size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) {
    OnHead(asio::error::not_found, 0);
    return;
  }
  // The end may be split across two reads.
  const std::size_t next =
      read.size() < kEnd.size() ? 0 : read.size() - kEnd.size() + 1;
  stream_.async_read_some(
      buffer_.prepare(std::min(kHeadReadBytes, room)),
      [self = shared_from_this(), next](ErrorCode error, std::size_t bytes) {
        if (error) {
          self->OnHead(error, 0);
          return;
        }
        self->buffer_.commit(bytes);
        self->ReadMoreOfHead(next);
      });
}

void Connection::OnHead(ErrorCode error, std::size_t head_bytes) {
  if (error) {
    OnReadError(error);
    return;
  }
  const std::string_view head(static_cast<const char*>(buffer_.data().data()),
                              head_bytes);
  if (const auto reason = CheckHead(head)) {
    Refuse(*reason);
    return;
  }
  ParseHead(head_bytes);
}

void Connection::ParseHead(std::size_t head_bytes) {
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(shared_->limits.header_bytes));
  parser_->body_limit(shared_->limits.body_bytes);
  ErrorCode error;
  const std::size_t used =
      parser_->put(asio::buffer(buffer_.data().data(), head_bytes), error);
  if (error && error != beast::http::error::need_more) {
    OnReadError(error);
    return;
  }
  buffer_.consume(used);
  is_head_request_ = parser_->get().method() == beast::http::verb::head;
  stream_.expires_after(shared_->limits.body_timeout);
  if (parser_->get().count("Expect") > 0 && !parser_->is_done()) {
    SendContinue();
  } else {
    ReadBody();
  }
}

void Connection::ReadBody() {
  if (parser_->is_done()) {
    OnCompleteRequest();
    return;
  }
  beast::http::async_read_some(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](ErrorCode error, std::size_t) {
        if (error) {
          self->OnReadError(error);
        } else if (!self->CountBodyBytes()) {
          self->Refuse(RejectReason::kTooManyBytes);
        } else {
          self->ReadBody();
        }
      });
}

bool Connection::CountBodyBytes() {
  const std::size_t size = parser_->get().body().size();
  shared_->body_bytes += size - counted_body_bytes_;
  counted_body_bytes_ = size;
  return shared_->body_bytes <= shared_->limits.total_body_bytes;
}

void Connection::ReleaseBodyBytes() {
  shared_->body_bytes -= counted_body_bytes_;
  counted_body_bytes_ = 0;
}

void Connection::SendContinue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  stream_.expires_after(shared_->limits.write_timeout);
  asio::async_write(
      stream_, asio::buffer(kContinue),
      [self = shared_from_this()](ErrorCode error, std::size_t) {
        if (error) {
          self->Close();
        } else {
          self->stream_.expires_after(self->shared_->limits.body_timeout);
          self->ReadBody();
        }
      });
}

void Connection::OnReadError(ErrorCode error) {
  if (IsDisconnect(error)) {
    Close();
  } else {
    Refuse(ReasonFor(error));
  }
}

void Connection::OnCompleteRequest() {
  request_keeps_alive_ = parser_->get().keep_alive();
  request_ = ToRequest(*parser_);
  parser_.reset();
  phase_ = Phase::kHandling;
  on_closed_ = nullptr;
  stream_.expires_never();
  WatchForClose();
  shared_->handlers.on_request(shared_from_this());
}

void Connection::Refuse(RejectReason reason) {
  phase_ = Phase::kHandling;
  ReleaseBodyBytes();
  // The bytes after a request that could not be read cannot be parsed as a
  // request, so the connection is not kept alive.
  WriteResponse(shared_->handlers.on_refuse(reason), /*keep_alive=*/false);
}

void Connection::RefuseOverLimit() {
  Refuse(RejectReason::kTooManyConnections);
}

void Connection::WatchForClose() {
  if (watching_for_close_) {
    return;
  }
  watching_for_close_ = true;
  stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                              [weak = weak_from_this()](ErrorCode error) {
                                if (const auto self = weak.lock()) {
                                  self->OnReadable(error);
                                }
                              });
}

void Connection::OnReadable(ErrorCode error) {
  watching_for_close_ = false;
  const bool answering =
      phase_ == Phase::kHandling || phase_ == Phase::kStreaming;
  if (error || !answering) {
    return;
  }
  char byte = 0;
  ErrorCode peek_error;
  stream_.socket().non_blocking(true, peek_error);
  stream_.socket().receive(asio::buffer(&byte, 1),
                           asio::socket_base::message_peek, peek_error);
  // Bytes are the next request, which is read after this answer. The end of the
  // input, also by a half-close, means that the client has abandoned the
  // request.
  if (peek_error && peek_error != asio::error::would_block) {
    Close();
  }
}

}  // namespace figwell::http
