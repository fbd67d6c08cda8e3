/// \file
/// HTTP/1.1 as the platform uses it: an incremental parser for both directions, with limits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace keelflow::net {

bool same_word(std::string_view a, std::string_view b);  // without regard to case

/// The head of a message. Holds the header fields as they were received, so that it takes about as
/// much memory as the bytes of the head, however many fields they make.
struct Head {
  std::string method, target;  // of a request
  int status = 0;              // of a response
  std::string fields;          // well-formed lines "NAME:VALUE\r\n"
  bool keep_alive = true;

  void add(std::string_view name, std::string_view value);
  std::size_t held() const { return method.capacity() + target.capacity() + fields.capacity(); }
  std::string_view find(std::string_view name) const;  // empty where it is absent
  bool has(std::string_view name) const { return count(name) > 0; }
  std::size_t count(std::string_view name) const;
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

class HttpParser {
 public:
  enum class Kind : std::uint8_t { request, response };
  enum class Fault : std::uint8_t { none, malformed, head_too_large, body_too_large };
  struct Limits {
    std::size_t head = 16 * 1024, body = 64 * 1024;  // a streamed body is not limited
  };
  class Sink {
   public:
    virtual ~Sink() = default;
    virtual void on_head(const Head& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_complete() = 0;
  };

  HttpParser(Kind kind, Limits limits) : kind_(kind), limits_(limits) {}

  // Consumes bytes up to the end of one message; returns how many. After on_complete the parser is
  // ready for the next message. A fault is final.
  std::size_t feed(std::string_view bytes, Sink& sink);
  // The connection has ended: completes a message whose body lasts until then. False: it was cut
  // off.
  bool finish(Sink& sink);
  Fault fault() const { return fault_; }
  bool idle() const { return state_ == State::head && buffer_.empty(); }
  // Bytes of memory that an unfinished line or head takes.
  std::size_t held() const { return buffer_.capacity(); }
  void allow_stream() { limits_.body = SIZE_MAX; }  // for a body that is consumed as it comes

 private:
  enum class State : std::uint8_t {
    head,
    sized,
    until_close,
    chunk_size,
    chunk,
    chunk_end,
    trailer
  };
  void fail(Fault fault) { fault_ = fault; }
  bool parse_head();
  bool frame_body();
  std::optional<std::string> line(std::string_view& bytes);
  void complete(Sink& sink);

  Kind kind_;
  Limits limits_;
  State state_ = State::head;
  Fault fault_ = Fault::none;
  Head head_;
  std::string buffer_;
  bool old_ = false;  // HTTP/1.0, which knows no codings
  std::size_t left_ = 0, body_seen_ = 0;
};

}  // namespace keelflow::net
