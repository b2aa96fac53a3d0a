#include "etcd_codec.h"

#include "figwell/platform.h"
#include "figwell/testing.h"

namespace figwell::platform {
namespace {

static_assert(store::Store<EtcdStore>);

TEST_CASE("base64 decoding restores any bytes") {
  CHECK(ToBase64("foo") == "Zm9v");
  CHECK(ToBase64("a") == "YQ==");
  testing::CheckSequences(300, [](const std::string& bytes) {
    RC_ASSERT(FromBase64(ToBase64(bytes)) == bytes);
  });
  for (const char* bad : {"Zm9", "Zm9*", "===="}) {
    INFO(bad);
    CHECK_FALSE(FromBase64(bad));
  }
}

TEST_CASE("a transaction is encoded in the form that etcd expects") {
  store::Transaction nested;
  nested.success.emplace_back(store::Delete{"k", ""});
  store::Transaction transaction;
  transaction.compares = {{"foo", 5}};
  transaction.success.emplace_back(store::Put{"foo", "bar", 7});
  transaction.success.emplace_back(nested);
  transaction.failure.emplace_back(store::Range{"a", "b"});
  CHECK(EncodeTransaction(transaction) ==
        R"({"compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL",)"
        R"("mod_revision":"5"}],"success":[{"request_put":{"key":"Zm9v",)"
        R"("value":"YmFy","lease":"7"}},{"request_txn":{"compare":[],)"
        R"("success":[{"request_delete_range":{"key":"aw=="}}],)"
        R"("failure":[]}}],"failure":[{"request_range":{"key":"YQ==",)"
        R"("range_end":"Yg=="}}]})");
  CHECK_FALSE(IsReadOnly(transaction));
  CHECK_FALSE(IsReadOnly(nested));
  transaction.success.clear();
  CHECK(IsReadOnly(transaction));
}

TEST_CASE("the complete result of a transaction is decoded") {
  const auto result = DecodeTransactionResult(
      R"({"header":{"revision":"12"},"succeeded":true,"responses":[
        {"response_put":{"header":{"revision":"12"}}},
        {"response_range":{"kvs":[{"key":"Zm9v","value":"YmFy",
          "create_revision":"3","mod_revision":"9","lease":"7"}],"count":"1"}},
        {"response_range":{}},
        {"response_txn":{"responses":[{"response_range":{}}]}}]})");
  REQUIRE(result);
  CHECK(result->succeeded);
  CHECK(result->revision == 12);
  REQUIRE(result->ranges.size() == 2);
  CHECK(result->ranges[0] ==
        std::vector<store::KeyValue>{{"foo", "bar", 3, 9, 7}});
  CHECK(result->ranges[1].empty());
  REQUIRE(result->nested.size() == 1);
  CHECK_FALSE(result->nested[0].succeeded);
  for (const char* bad :
       {"", "[]", R"({"responses":[1]})",
        R"({"responses":[{"response_range":{"kvs":[{"key":"*"}]}}]})"}) {
    INFO(bad);
    REQUIRE_FALSE(DecodeTransactionResult(bad));
    CHECK(DecodeTransactionResult(bad).error().code == ErrorCode::kProtocol);
  }
}

TEST_CASE("leases and watch messages are decoded") {
  CHECK(DecodeLease(R"({"ID":"77","TTL":"10"})")->id == 77);
  CHECK(DecodeLease(R"({"result":{"ID":"77","TTL":"9"}})")->ttl ==
        std::chrono::seconds(9));
  const auto created = DecodeWatchMessage(R"({"result":{"created":true}})");
  CHECK((created && !created->has_value()));
  const auto batch = DecodeWatchMessage(
      R"({"result":{"header":{"revision":"4"},"events":[
        {"kv":{"key":"Zm9v","value":"YmFy","mod_revision":"4"}},
        {"type":"DELETE","kv":{"key":"Zm9v","mod_revision":"4"}}]}})");
  REQUIRE((batch && batch->has_value()));
  CHECK((*batch)->revision == 4);
  REQUIRE((*batch)->events.size() == 2);
  CHECK((*batch)->events[0].type == store::WatchEvent::Type::kPut);
  CHECK((*batch)->events[1].type == store::WatchEvent::Type::kDelete);
  const auto code_of = [](std::string_view message) {
    return DecodeWatchMessage(message).error().code;
  };
  CHECK(code_of(R"({"result":{"canceled":true,"compact_revision":"9"}})") ==
        ErrorCode::kConflict);
  CHECK(code_of(R"({"result":{"canceled":true}})") == ErrorCode::kUnavailable);
  CHECK(code_of(R"({"error":{"message":"gone"}})") == ErrorCode::kUnavailable);
  CHECK(code_of(R"({"result":{"events":[{}]}})") == ErrorCode::kProtocol);
}

TEST_CASE("the instance list skips entries that it cannot decode") {
  const Instance instance{InstanceId("lahore-1"), DomainId("lahore"),
                          RegionId("punjab"),     "127.0.0.1:7070",
                          "127.0.0.1:9090",       true};
  const auto update = InstanceUpdate("/f/", instance, 5);
  const auto& put = std::get<store::Put>(update.success.at(0));
  CHECK(put.lease == 5);
  store::TransactionResult result;
  result.ranges = {{{put.key, put.value, 1, 1, 5},
                    {"/f/instances/bad", "not JSON", 1, 1, 0}}};
  CHECK(ReadInstances("/f/", result) == std::vector<Instance>{instance});
}

}  // namespace
}  // namespace figwell::platform
