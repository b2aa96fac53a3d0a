#include "figwell/http.h"
#include "figwell/testing.h"

namespace figwell::http {
namespace {

TEST_CASE("events do not depend on how the stream is split into pieces") {
  const std::string stream =
      "id: 0\ndata: {\"a\":1}\n\nid: 1\r\ndata: one\r\ndata:two\r\n\r\n"
      ": comment\n\ndata: [DONE]\n\n";
  testing::CheckSequences(1000, [&] {
    EventStreamReader reader;
    std::vector<StreamEvent> events;
    std::size_t position = 0;
    while (position < stream.size()) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 12);
      const auto taken = reader.Append(stream.substr(position, length));
      RC_ASSERT(taken.has_value());
      events.insert(events.end(), taken->begin(), taken->end());
      position += length;
    }
    RC_ASSERT(events.size() == 4U);
    RC_ASSERT(events[0].number == 0U);
    RC_ASSERT(events[0].data == "{\"a\":1}");
    RC_ASSERT(events[1].number == 1U);
    RC_ASSERT(events[1].data == "one\ntwo");
    RC_ASSERT(events[2].data.empty());
    RC_ASSERT(events[3].data == "[DONE]");
    RC_ASSERT(!events[3].number.has_value());
    RC_ASSERT(reader.pending() == 0U);
    std::string joined;
    for (const StreamEvent& event : events) {
      joined += event.raw;
    }
    RC_ASSERT(joined == stream);
  });
}

TEST_CASE("an event without an end fails at the size limit") {
  EventStreamReader reader;
  const std::string piece(65'536, 'x');
  bool refused = false;
  for (std::size_t i = 0; i <= kMaxEventBytes / piece.size(); ++i) {
    refused = !reader.Append(piece);
  }
  CHECK(refused);
}

}  // namespace
}  // namespace figwell::http
