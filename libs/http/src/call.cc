#include "call.h"

#include <boost/none.hpp>

#include "address.h"

namespace figwell::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

std::string Serialize(const std::string& address, const Request& request) {
  std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\n";
  if (!request.headers.Contains("Host")) {
    text += "Host: " + address + "\r\n";
  }
  for (const HeaderField& field : request.headers.fields()) {
    text += field.name + ": " + field.value + "\r\n";
  }
  if (!request.body.empty() || request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  text += "\r\n";
  text += request.body;
  return text;
}

// Subtracted from the server's Keep-Alive timeout: the server counts it from
// the time it sent its last byte, the client from when it received that byte.
constexpr std::chrono::milliseconds kKeepAliveTimeoutMargin{700};

// RFC 9110, section 15: a status outside of this range is invalid.
constexpr int kMinStatus = 100;
constexpr int kMaxStatus = 599;

// Limits on what a server may send before the awaited answer: interim (1xx)
// answers, and late copies of answers to earlier requests on the connection.
constexpr int kMaxSkippedHeads = 16;
constexpr std::size_t kMaxSkippedBodyBytes = 1'048'576;

// How long a connection may stay idle according to a Keep-Alive field.
std::optional<std::chrono::milliseconds> KeepAliveLifetime(
    std::string_view field) {
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const std::size_t at = field.find(kTimeoutParameter);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view digits = field.substr(at + kTimeoutParameter.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const auto seconds = ParseInteger(digits);
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(*seconds) - kKeepAliveTimeoutMargin;
}

}  // namespace

Call::Call(asio::io_context& context, std::shared_ptr<IdlePool> pool,
           std::string address, const Request& request, CallLimits limits,
           ResponseHandlers handlers, std::function<void()> on_finished)
    : context_(context),
      pool_(std::move(pool)),
      address_(std::move(address)),
      request_bytes_(Serialize(address_, request)),
      is_head_request_(request.method == "HEAD"),
      limits_(limits),
      handlers_(std::move(handlers)),
      on_finished_(std::move(on_finished)),
      buffer_(pool_->limits().header_bytes) {}

void Call::Start() {
  if (finished_) {
    return;
  }
  if (!limits_.fresh_connection) {
    IdlePool::PooledConnection pooled = pool_->Acquire(address_);
    stream_ = std::move(pooled.stream);
    reused_idle_time_ = pooled.idle_time;
  }
  reused_ = stream_ != nullptr;
  if (reused_) {
    WriteRequest();
  } else {
    Connect();
  }
}

void Call::Connect() {
  const auto endpoint = ParseEndpoint(address_);
  if (!endpoint) {
    Fail(Stage::kResolve, {}, endpoint.error().message);
    return;
  }
  reused_ = false;
  stream_ = std::make_unique<Stream>(context_);
  stream_->expires_after(pool_->limits().connect_timeout);
  stream_->async_connect(*endpoint, [self =
                                         shared_from_this()](ErrorCode error) {
    if (error) {
      const bool no_descriptors =
          error == boost::system::errc::too_many_files_open ||
          error == boost::system::errc::too_many_files_open_in_system;
      if (no_descriptors && !self->finished_ &&
          self->pool_->MakeRoom(error.message())) {
        self->Connect();
        return;
      }
      self->Fail(Stage::kConnect, error, "connect failed");
      return;
    }
    ErrorCode ignored;
    self->stream_->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    SetPeerTimeout(self->stream_->socket(), self->pool_->limits().peer_timeout);
    // Every close is a reset, including the one of an expired timer: bytes that
    // a network partition delays must not arrive after the call was aborted.
    self->stream_->socket().set_option(asio::socket_base::linger(true, 0),
                                       ignored);
    self->WriteRequest();
  });
}

void Call::WriteRequest() {
  if (finished_) {
    return;
  }
  if (limits_.write_before && MonotonicNow() >= *limits_.write_before) {
    Fail(Stage::kFirstByte, {}, "the request expired before it was sent");
    return;
  }
  stream_->expires_after(pool_->limits().write_timeout);
  asio::async_write(
      *stream_, asio::buffer(request_bytes_),
      [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
        self->OnWritten(error, bytes);
      });
}

void Call::OnWritten(ErrorCode error, std::size_t bytes) {
  if (finished_) {
    return;
  }
  if (!error) {
    request_bytes_.clear();
    request_bytes_.shrink_to_fit();
    head_deadline_ = IdlePool::Clock::now() + limits_.head_timeout;
    ReadHead();
    return;
  }
  if (bytes == 0 && reused_) {
    // The server has just closed the idle connection; no byte was sent.
    Connect();
    return;
  }
  Fail(bytes == 0 ? Stage::kFirstByte : Stage::kPartlyWritten, error,
       "write failed");
}

void Call::ReadHead() {
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(pool_->limits().header_bytes));
  parser_->body_limit(boost::none);
  parser_->skip(is_head_request_);
  stream_->expires_at(head_deadline_);
  beast::http::async_read_header(
      *stream_, buffer_, *parser_,
      [self = shared_from_this()](ErrorCode error, std::size_t) {
        self->OnHead(error);
      });
}

void Call::ReadNextHead() {
  if (++skipped_heads_ > kMaxSkippedHeads) {
    Fail(Stage::kHead, {},
         "too many interim answers or answers to other requests");
    return;
  }
  ReadHead();
}

void Call::OnHead(ErrorCode error) {
  if (finished_) {
    return;
  }
  if (error) {
    const bool begun = parser_->got_some() || buffer_.size() > 0;
    Fail(begun ? Stage::kHead : Stage::kWritten, error,
         "no complete answer head received");
    return;
  }
  const auto& message = parser_->get();
  const int status = static_cast<int>(message.result_int());
  if (status < kMinStatus || status > kMaxStatus) {
    Fail(Stage::kHead, {}, "the answer has an invalid status");
    return;
  }
  if (status / 100 == 1) {
    ReadNextHead();
    return;
  }
  if (!parser_->is_done() && parser_->need_eof() && !limits_.allow_unframed) {
    Fail(Stage::kBody, {},
         "the answer has neither Content-Length nor chunked framing");
    return;
  }
  Headers headers;
  for (const auto& field : message) {
    headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  skip_answer_ =
      handlers_.belongs && !handlers_.belongs({status, headers, reused_});
  has_skipped_answer_ = has_skipped_answer_ || skip_answer_;
  if (handlers_.on_head && !skip_answer_) {
    handlers_.on_head(status, headers);
  }
  Continue();
}

void Call::Continue() {
  if (finished_) {
    return;
  }
  if (parser_->is_done() && skip_answer_) {
    ReadNextHead();
  } else if (parser_->is_done()) {
    End();
  } else {
    ReadPiece();
  }
}

void Call::ReadPiece() {
  auto& body = parser_->get().body();
  body.data = piece_.data();
  body.size = piece_.size();
  body.more = true;
  if (skip_answer_) {
    stream_->expires_at(head_deadline_);
  } else {
    stream_->expires_after(limits_.piece_timeout);
  }
  beast::http::async_read_some(
      *stream_, buffer_, *parser_,
      [self = shared_from_this()](ErrorCode error, std::size_t) {
        self->OnPiece(error);
      });
}

void Call::OnPiece(ErrorCode error) {
  if (finished_) {
    return;
  }
  const std::size_t filled = piece_.size() - parser_->get().body().size;
  const bool failed = error && error != beast::http::error::need_buffer;
  if (failed) {
    Fail(Stage::kBody, error, "reading the answer body failed");
    return;
  }
  skipped_body_bytes_ += skip_answer_ ? filled : 0;
  if (skipped_body_bytes_ > kMaxSkippedBodyBytes) {
    Fail(Stage::kHead, {}, "too many body bytes in answers to other requests");
    return;
  }
  if (filled == 0 || skip_answer_) {
    Continue();
    return;
  }
  stream_->expires_never();
  handlers_.on_piece(std::string_view(piece_.data(), filled),
                     [weak = weak_from_this()] {
                       if (const auto self = weak.lock()) {
                         self->Continue();
                       }
                     });
}

void Call::End() {
  const auto self = shared_from_this();
  finished_ = true;
  // Bytes after the end of the answer belong to no request; such a connection
  // is not reused.
  if (parser_->keep_alive() && buffer_.size() == 0 && !has_skipped_answer_) {
    stream_->expires_never();
    pool_->Release(address_, std::move(stream_),
                   KeepAliveLifetime(parser_->get()["Keep-Alive"]));
  }
  on_finished_();
  if (handlers_.on_end) {
    handlers_.on_end();
  }
}

void Call::Fail(Stage stage, ErrorCode error, std::string message) {
  if (finished_) {
    return;
  }
  const auto self = shared_from_this();
  finished_ = true;
  const bool connection_lost = error == asio::error::connection_reset ||
                               error == asio::error::eof ||
                               error == beast::http::error::end_of_stream;
  if (reused_ && connection_lost && stage <= Stage::kWritten) {
    pool_->RecordDropped(reused_idle_time_);
  }
  Reset();
  stream_.reset();
  on_finished_();
  if (error) {
    message += ": " + error.message();
  }
  const ClientError client_error{stage, error == beast::error::timeout,
                                 std::move(message)};
  if (handlers_.on_error) {
    handlers_.on_error(client_error);
  }
}

void Call::Reset() {
  if (!stream_) {
    return;
  }
  ErrorCode ignored;
  stream_->socket().close(ignored);
}

void Call::Cancel() {
  finished_ = true;
  Reset();
  // The handlers live as long as the call: one of them may be running now.
}

}  // namespace figwell::http
