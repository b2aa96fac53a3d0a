#include "etcd_codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

namespace figwell::platform {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxNestedTransactions = 16;
constexpr std::size_t kMaxErrorTextBytes = 200;

tl::unexpected<Error> DecodeError(std::string_view what) {
  return Fail(ErrorCode::kProtocol,
              "the store's " + std::string(what) + " cannot be decoded");
}

// ------------------------------------------------------------------- writing

json::object WriteTransaction(const store::Transaction& transaction);

json::object WriteRange(const std::string& key, const std::string& range_end) {
  json::object object = {{"key", ToBase64(key)}};
  if (!range_end.empty()) {
    object.emplace("range_end", ToBase64(range_end));
  }
  return object;
}

json::object WriteStep(const store::Put& put) {
  json::object object = {{"key", ToBase64(put.key)},
                         {"value", ToBase64(put.value)}};
  if (put.lease != 0) {
    object.emplace("lease", std::to_string(put.lease));
  }
  return {{"request_put", std::move(object)}};
}

json::object WriteStep(const store::Delete& remove) {
  return {{"request_delete_range", WriteRange(remove.key, remove.range_end)}};
}

json::object WriteStep(const store::Range& range) {
  return {{"request_range", WriteRange(range.key, range.range_end)}};
}

json::object WriteStep(const store::Transaction& nested) {
  return {{"request_txn", WriteTransaction(nested)}};
}

json::array WriteSteps(const std::vector<store::Operation>& steps) {
  json::array array;
  for (const store::Operation& step : steps) {
    array.push_back(
        std::visit([](const auto& one) { return WriteStep(one); }, step));
  }
  return array;
}

json::object WriteTransaction(const store::Transaction& transaction) {
  json::array compares;
  for (const store::Compare& compare : transaction.compares) {
    compares.push_back(
        json::object{{"key", ToBase64(compare.key)},
                     {"target", "MOD"},
                     {"result", "EQUAL"},
                     {"mod_revision", std::to_string(compare.mod_revision)}});
  }
  return {{"compare", std::move(compares)},
          {"success", WriteSteps(transaction.success)},
          {"failure", WriteSteps(transaction.failure)}};
}

// ------------------------------------------------------------------- reading

const json::value* Find(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr || value->is_null() ? nullptr : value;
}

const json::object* FindObject(const json::object& object,
                               std::string_view name) {
  const json::value* value = Find(object, name);
  return value == nullptr ? nullptr : value->if_object();
}

const json::array& FindArray(const json::object& object,
                             std::string_view name) {
  static const json::array empty;
  const json::value* value = Find(object, name);
  return value == nullptr || !value->is_array() ? empty : value->get_array();
}

// A number, or a string that holds one; 0 if absent, as etcd omits zeros.
std::int64_t FindNumber(const json::object& object, std::string_view name) {
  const json::value* value = Find(object, name);
  if (value == nullptr) {
    return 0;
  }
  if (const json::string* text = value->if_string()) {
    return ParseInteger({text->data(), text->size()}).value_or(0);
  }
  return value->is_int64() ? value->get_int64() : 0;
}

bool FindFlag(const json::object& object, std::string_view name) {
  const json::value* value = Find(object, name);
  return value != nullptr && value->is_bool() && value->get_bool();
}

std::string FindText(const json::object& object, std::string_view name) {
  const json::value* value = Find(object, name);
  const json::string* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr ? "" : std::string(text->data(), text->size());
}

Result<json::object> ParseObject(std::string_view text, std::string_view what) {
  json::error_code error;
  json::value document = json::parse(text, error);
  if (error || !document.is_object()) {
    return DecodeError(what);
  }
  return std::move(document.get_object());
}

store::Revision RevisionOf(const json::object& answer) {
  const json::object* header = FindObject(answer, "header");
  return header == nullptr ? 0 : FindNumber(*header, "revision");
}

Result<store::KeyValue> ReadKeyValue(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return DecodeError("entry");
  }
  const Result<std::string> key = FromBase64(FindText(*object, "key"));
  const Result<std::string> bytes = FromBase64(FindText(*object, "value"));
  if (!key || !bytes) {
    return DecodeError("entry");
  }
  return store::KeyValue{*key, *bytes, FindNumber(*object, "create_revision"),
                         FindNumber(*object, "mod_revision"),
                         FindNumber(*object, "lease")};
}

Result<std::vector<store::KeyValue>> ReadRange(const json::object& answer) {
  std::vector<store::KeyValue> entries;
  for (const json::value& value : FindArray(answer, "kvs")) {
    Result<store::KeyValue> entry = ReadKeyValue(value);
    if (!entry) {
      return tl::unexpected<Error>(entry.error());
    }
    entries.push_back(std::move(*entry));
  }
  return entries;
}

Result<store::TransactionResult> ReadTransaction(const json::object& answer,
                                                 std::size_t depth) {
  if (depth > kMaxNestedTransactions) {
    return DecodeError("answer");
  }
  store::TransactionResult result;
  result.succeeded = FindFlag(answer, "succeeded");
  result.revision = RevisionOf(answer);
  for (const json::value& value : FindArray(answer, "responses")) {
    const json::object* step = value.if_object();
    if (step == nullptr) {
      return DecodeError("answer");
    }
    if (const json::object* range = FindObject(*step, "response_range")) {
      auto entries = ReadRange(*range);
      if (!entries) {
        return tl::unexpected<Error>(entries.error());
      }
      result.ranges.push_back(std::move(*entries));
    } else if (const json::object* one = FindObject(*step, "response_txn")) {
      auto nested = ReadTransaction(*one, depth + 1);
      if (!nested) {
        return tl::unexpected<Error>(nested.error());
      }
      result.nested.push_back(std::move(*nested));
    }
  }
  return result;
}

Result<store::WatchEvent> ReadWatchEvent(const json::value& value) {
  const json::object* object = value.if_object();
  const json::value* entry = object == nullptr ? nullptr : Find(*object, "kv");
  if (entry == nullptr) {
    return DecodeError("event");
  }
  Result<store::KeyValue> read = ReadKeyValue(*entry);
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  const bool is_delete = FindText(*object, "type") == "DELETE";
  return store::WatchEvent{is_delete ? store::WatchEvent::Type::kDelete
                                     : store::WatchEvent::Type::kPut,
                           std::move(*read)};
}

}  // namespace

// -------------------------------------------------------------- transactions

std::string EncodeTransaction(const store::Transaction& transaction) {
  return json::serialize(WriteTransaction(transaction));
}

Result<store::TransactionResult> DecodeTransactionResult(
    std::string_view text) {
  const auto answer = ParseObject(text, "answer");
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return ReadTransaction(*answer, 0);
}

bool IsReadOnly(const store::Transaction& transaction) {
  const auto only_reads = [](const std::vector<store::Operation>& steps) {
    for (const store::Operation& step : steps) {
      const auto* nested = std::get_if<store::Transaction>(&step);
      if (!std::holds_alternative<store::Range>(step) &&
          (nested == nullptr || !IsReadOnly(*nested))) {
        return false;
      }
    }
    return true;
  };
  return only_reads(transaction.success) && only_reads(transaction.failure);
}

// -------------------------------------------------------------------- leases

std::string EncodeLeaseGrant(std::chrono::seconds ttl) {
  return json::serialize(json::object{{"TTL", std::to_string(ttl.count())}});
}

std::string EncodeLeaseId(store::LeaseId lease) {
  return json::serialize(json::object{{"ID", std::to_string(lease)}});
}

Result<LeaseAnswer> DecodeLease(std::string_view text) {
  const auto answer = ParseObject(text, "lease");
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  const json::object* wrapper = FindObject(*answer, "result");
  const json::object& lease = wrapper == nullptr ? *answer : *wrapper;
  return LeaseAnswer{FindNumber(lease, "ID"),
                     std::chrono::seconds(FindNumber(lease, "TTL"))};
}

// ------------------------------------------------------------------- watches

std::string EncodeWatch(std::string_view key, std::string_view range_end,
                        store::Revision from) {
  json::object request = {{"key", ToBase64(key)},
                          {"range_end", ToBase64(range_end)}};
  if (from > 0) {
    request.emplace("start_revision", std::to_string(from));
  }
  return json::serialize(json::object{{"create_request", std::move(request)}});
}

Result<std::optional<store::WatchBatch>> DecodeWatchMessage(
    std::string_view text) {
  const auto message = ParseObject(text, "watch");
  if (!message) {
    return tl::unexpected<Error>(message.error());
  }
  const json::object* result = FindObject(*message, "result");
  if (result == nullptr) {
    return Fail(ErrorCode::kUnavailable, ErrorMessage(text));
  }
  if (FindNumber(*result, "compact_revision") > 0) {
    return Fail(ErrorCode::kConflict,
                "the watch's start revision has been compacted");
  }
  if (FindFlag(*result, "canceled")) {
    return Fail(ErrorCode::kUnavailable, "the store canceled the watch");
  }
  if (FindFlag(*result, "created")) {
    return std::optional<store::WatchBatch>();
  }
  store::WatchBatch batch;
  batch.revision = RevisionOf(*result);
  for (const json::value& value : FindArray(*result, "events")) {
    Result<store::WatchEvent> event = ReadWatchEvent(value);
    if (!event) {
      return tl::unexpected<Error>(event.error());
    }
    batch.events.push_back(std::move(*event));
  }
  return std::optional<store::WatchBatch>(std::move(batch));
}

std::string ErrorMessage(std::string_view body) {
  const auto answer = ParseObject(body, "error");
  if (!answer) {
    return std::string(body.substr(0, kMaxErrorTextBytes));
  }
  const json::object* wrapper = FindObject(*answer, "error");
  const json::object& error = wrapper == nullptr ? *answer : *wrapper;
  const std::string message = FindText(error, "message");
  return message.empty() ? FindText(*answer, "error") : message;
}

}  // namespace figwell::platform
