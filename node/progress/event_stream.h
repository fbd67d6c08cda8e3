// The WHATWG event-stream format: writing and reading server-sent events.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace keelflow {

struct SseEvent {
  std::string id, type, data;
};

std::string write_event(const SseEvent& event);
std::string write_comment(std::string_view text);

class SseParser {
 public:
  explicit SseParser(std::size_t most = 256 * 1024) : most_(most) {}
  // Takes any piece of the stream. False: an event is larger than allowed, or the stream is no
  // UTF-8 text.
  bool feed(std::string_view bytes, const std::function<void(const SseEvent&)>& on_event);

 private:
  void line(std::string_view text, const std::function<void(const SseEvent&)>& on_event);

  std::size_t most_;
  std::string buffer_;
  SseEvent event_;
  std::string last_id_;
  bool has_data_ = false, after_cr_ = false, at_start_ = true;
};

}  // namespace keelflow
