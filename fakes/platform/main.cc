// A fake of the platform: the etcd v3 JSON gateway over HTTP, in memory.
// `POST /fault` makes it "down", "slow", or "lose_answers" (a transaction is
// executed, but its response is lost).

#include <list>

#include "fake.h"
#include "key_value.h"

namespace figwell::fakes {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kTickInterval{100};

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             MonotonicNow().time_since_epoch())
      .count();
}

// One open watch.
struct Watch {
  http::ExchangePtr exchange;
  std::string key;
  std::string end;
  std::int64_t next_revision = 0;
  bool open = true;

  bool Covers(const std::string& changed) const {
    return end.empty() ? changed == key
                       : changed >= key && (end[0] == '\0' || changed < end);
  }
};

class Platform {
 public:
  explicit Platform(boost::asio::io_context& context)
      : context_(context), timer_(context) {
    Tick();
  }

  void OnRequest(const http::ExchangePtr& exchange) {
    const std::string path(http::PathOf(exchange->request().target));
    const json::value body = ParseBody(exchange->request());
    if (path == "/fault") {
      fault_ = ReadFault(body);
      AbortWatchesIfDown();
      exchange->Send(JsonAnswer(200, {{"fault", fault_.mode}}));
      return;
    }
    if (path == "/calls") {
      exchange->Send(JsonAnswer(200, {{"calls", calls_}}));
      return;
    }
    if (fault_.Consume("down")) {
      exchange->Abort();
      return;
    }
    if (fault_.Consume("slow")) {
      const auto timer = std::make_shared<boost::asio::steady_timer>(
          context_, std::chrono::milliseconds(fault_.delay_ms));
      timer->async_wait([this, timer, exchange, path, body](auto) {
        HandleCall(exchange, path, body);
      });
      return;
    }
    HandleCall(exchange, path, body);
  }

 private:
  void HandleCall(const http::ExchangePtr& exchange, const std::string& path,
                  const json::value& body) {
    ++calls_;
    if (path == "/v3/watch") {
      StartWatch(exchange, body.at("create_request"));
      return;
    }
    const auto result = Execute(path, body);
    if (!result) {
      exchange->Send(JsonAnswer(404, {{"error", "no such call"}}));
    } else if (path == "/v3/kv/txn" && fault_.Consume("lose_answers")) {
      exchange->Abort();
    } else {
      exchange->Send(JsonAnswer(200, *result));
    }
    NotifyWatches();
  }

  std::optional<json::value> Execute(const std::string& path,
                                     const json::value& body) {
    if (path == "/v3/kv/range") {
      return service_.Range(body);
    }
    if (path == "/v3/kv/put") {
      return service_.Put(body);
    }
    if (path == "/v3/kv/deleterange") {
      return service_.DeleteRange(body);
    }
    if (path == "/v3/kv/txn") {
      return service_.Transact(body);
    }
    if (path == "/v3/kv/compaction") {
      return service_.Compact(body);
    }
    if (path == "/v3/lease/grant") {
      return service_.Grant(body, NowMs());
    }
    if (path == "/v3/lease/keepalive") {
      return service_.KeepAlive(body, NowMs());
    }
    if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
      return service_.Revoke(body);
    }
    return std::nullopt;
  }

  void StartWatch(const http::ExchangePtr& exchange, const json::value& body) {
    const std::int64_t start =
        GetNumber(body, "start_revision", service_.revision() + 1);
    exchange->StartStream(200, {{"Content-Type", "application/json"}});
    if (start <= service_.compacted()) {
      SendResult(exchange,
                 {{"canceled", true},
                  {"compact_revision", std::to_string(service_.compacted())}});
      exchange->Finish();
      return;
    }
    SendResult(exchange, {{"created", true}});
    watches_.push_back({exchange, Base64Decode(GetText(body, "key")),
                        Base64Decode(GetText(body, "range_end")), start});
    const auto watch = std::prev(watches_.end());
    exchange->OnClosed([watch] { watch->open = false; });
    NotifyWatches();
  }

  void SendResult(const http::ExchangePtr& exchange, json::object result) {
    result["header"] = {{"revision", std::to_string(service_.revision())}};
    exchange->Write(json::serialize(json::value{{"result", result}}) + "\n",
                    nullptr);
  }

  void NotifyWatches() {
    std::erase_if(watches_, [](const Watch& watch) { return !watch.open; });
    for (Watch& watch : watches_) {
      json::array events;
      for (const Change& change : service_.history()) {
        if (change.revision >= watch.next_revision &&
            watch.Covers(change.key)) {
          json::object event{
              {"kv", KeyValueService::ToJson(change.key, change.entry)}};
          if (change.deleted) {
            event["type"] = "DELETE";
          }
          events.push_back(event);
        }
      }
      watch.next_revision = service_.revision() + 1;
      if (!events.empty()) {
        SendResult(watch.exchange, {{"events", events}});
      }
    }
  }

  void AbortWatchesIfDown() {
    if (fault_.mode != "down") {
      return;
    }
    auto watches = std::move(watches_);
    for (const Watch& watch : watches) {
      watch.exchange->OnClosed(nullptr);
      watch.exchange->Abort();
    }
  }

  void Tick() {
    timer_.expires_after(kTickInterval);
    timer_.async_wait([this](const boost::system::error_code&) {
      service_.Expire(NowMs());
      NotifyWatches();
      Tick();
    });
  }

  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  KeyValueService service_;
  std::list<Watch> watches_;
  Fault fault_{};
  std::int64_t calls_ = 0;
};

}  // namespace
}  // namespace figwell::fakes

int main(int argc, char** argv) {
  using namespace figwell::fakes;  // NOLINT(google-build-using-namespace)
  const auto values = ReadCommandLine(
      argc, argv,
      boost::program_options::options_description("figwell-fake-platform"));
  boost::asio::io_context context;
  Platform platform(context);
  return Serve(context, values["listen"].as<std::string>(),
               [&](const auto& exchange) { platform.OnRequest(exchange); });
}
