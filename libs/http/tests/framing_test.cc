#include "figwell/http.h"
#include "figwell/testing.h"

namespace figwell::http {
namespace {

struct HeadCase {
  const char* fields;
  std::optional<RejectReason> expected;
};

TEST_CASE("a head with ambiguous framing or malformed fields is refused") {
  constexpr auto kAmbiguous = RejectReason::kAmbiguousFraming;
  constexpr auto kMalformed = RejectReason::kMalformed;
  const HeadCase cases[] = {
      {"Host: a\r\n", std::nullopt},
      {"Content-Length: 3\r\n", std::nullopt},
      {"Transfer-Encoding: chunked\r\n", std::nullopt},
      {"Content-Length: 3\r\nContent-Length: 3\r\n", kAmbiguous},
      {"Content-Length: 3\r\ncontent-length: 4\r\n", kAmbiguous},
      {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", kAmbiguous},
      {"Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n", kAmbiguous},
      {"Transfer-Encoding: gzip, chunked\r\n", kAmbiguous},
      {"Transfer-Encoding: identity\r\n", kAmbiguous},
      {"Content-Length: +3\r\n", kAmbiguous},
      {"Content-Length: 3, 3\r\n", kAmbiguous},
      {"Content-Length: \r\n", kAmbiguous},
      {"Content-Length : 3\r\n", kAmbiguous},
      {"X: 1\r\n folded\r\n", kAmbiguous},
      {"X: 1\r\n\tfolded\r\n", kAmbiguous},
      {"X: a\nContent-Length: 3\r\n", kMalformed},
      {"X: a\rb\r\n", kMalformed},
      {": no name\r\n", kMalformed},
      {"no colon\r\n", kMalformed},
  };
  for (const HeadCase& head : cases) {
    INFO(head.fields);
    const std::string text =
        std::string("POST /v1/x HTTP/1.1\r\n") + head.fields + "\r\n";
    CHECK(CheckHead(text) == head.expected);
  }
  CHECK(CheckHead("GET / HTTP/1.0\r\n\r\n") == kMalformed);
  CHECK(CheckHead("GET / HTTP/2\r\n\r\n") == kMalformed);
}

TEST_CASE("no accepted head has two framing fields") {
  testing::CheckSequences(3000, [] {
    const std::vector<std::string> parts = {"Content-Length: 5",
                                            "Transfer-Encoding: chunked",
                                            "transfer-encoding:chunked",
                                            "CONTENT-LENGTH:5",
                                            "Content-Length:\t5",
                                            "X: y",
                                            "Host: h",
                                            "Transfer-Encoding: chunked "};
    const auto chosen = *rc::gen::container<std::vector<std::string>>(
        rc::gen::elementOf(parts));
    std::string head = "POST / HTTP/1.1\r\n";
    int framing_fields = 0;
    for (const std::string& part : chosen) {
      head += part + "\r\n";
      const char first = part.front();
      framing_fields += first == 'X' || first == 'H' ? 0 : 1;
    }
    RC_ASSERT(CheckHead(head + "\r\n").has_value() == (framing_fields > 1));
  });
}

}  // namespace
}  // namespace figwell::http
