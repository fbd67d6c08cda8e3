#include "net/http.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <utility>

#include "net/memory.h"

namespace keelflow::net {
namespace {

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t'))
    s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t'))
    s.remove_suffix(1);
  return s;
}

bool token(std::string_view s) {
  return !s.empty() && std::all_of(s.begin(), s.end(), [](unsigned char c) {
    return std::isalnum(c) ||
           std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
  });
}

bool clean(
    std::string_view s) {  // no control characters, which could smuggle a line into what we send on
  return std::none_of(s.begin(), s.end(),
                      [](unsigned char c) { return (c < 32 && c != '\t') || c == 127; });
}

// A target goes into what we send on as it is, so it must be readable there: no spaces, nothing
// beyond ASCII.
bool visible(std::string_view s) {
  return std::all_of(s.begin(), s.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

// The size in a chunk's first line; an extension after it is passed over.
std::optional<std::size_t> chunk_size(std::string_view line) {
  std::size_t size = 0;
  auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), size, 16);
  if (error == std::errc::result_out_of_range)
    return SIZE_MAX;
  std::string_view rest = trim(line.substr(static_cast<std::size_t>(end - line.data())));
  if (error != std::errc() || !clean(rest) || !(rest.empty() || rest.front() == ';'))
    return std::nullopt;
  return size;
}

struct Field {
  std::string_view name, value;
};

// Takes the first field off well-formed lines.
Field next_field(std::string_view& lines) {
  auto end = lines.find("\r\n");
  std::string_view line = lines.substr(0, end);
  lines.remove_prefix(end + 2);
  auto colon = line.find(':');
  return {.name = line.substr(0, colon), .value = trim(line.substr(colon + 1))};
}

bool has_word(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    auto comma = list.find(',');
    if (same_word(trim(list.substr(0, comma)), word))
      return true;
    if (comma == std::string_view::npos)
      return false;
    list.remove_prefix(comma + 1);
  }
  return false;
}

}  // namespace

bool same_word(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

void Head::add(std::string_view name, std::string_view value) {
  fields.append(name).append(":").append(value).append("\r\n");
}

std::string_view Head::find(std::string_view name) const {
  for (std::string_view lines = fields; !lines.empty();) {
    Field field = next_field(lines);
    if (same_word(field.name, name))
      return field.value;
  }
  return {};
}

std::size_t Head::count(std::string_view name) const {
  std::size_t count = 0;
  for (std::string_view lines = fields; !lines.empty();)
    count += same_word(next_field(lines).name, name);
  return count;
}

// Takes bytes up to a line's end. Nothing while the line is incomplete.
std::optional<std::string> HttpParser::line(std::string_view& bytes) {
  auto end = bytes.find('\n');
  buffer_.append(bytes.substr(0, end));
  bool whole = end != std::string_view::npos;
  bytes.remove_prefix(whole ? end + 1 : bytes.size());
  if (buffer_.size() > limits_.head)
    fail(Fault::head_too_large);
  if (!whole || fault_ != Fault::none)
    return std::nullopt;
  if (buffer_.empty() || buffer_.back() != '\r')
    return fail(Fault::malformed), std::nullopt;
  buffer_.pop_back();
  return std::exchange(buffer_, {});
}

std::size_t HttpParser::feed(std::string_view bytes, Sink& sink) {
  std::string_view rest = bytes;
  auto consumed = [&] {
    return bytes.size() - rest.size();
  };
  auto body = [&] {
    std::string_view piece = rest.substr(0, left_);
    rest.remove_prefix(piece.size());
    left_ -= piece.size();
    if (!piece.empty())
      sink.on_body(piece);
  };
  while (fault_ == Fault::none && !rest.empty()) {
    switch (state_) {
      case State::head: {
        if (buffer_.empty() && kind_ == Kind::request)  // stray line ends between requests
          while (!rest.empty() && (rest.front() == '\r' || rest.front() == '\n'))
            rest.remove_prefix(1);
        std::size_t had = buffer_.size();
        std::size_t take = std::min(rest.size(), limits_.head + 1 - std::min(limits_.head, had));
        buffer_.append(rest.substr(0, take));
        auto end = buffer_.find("\r\n\r\n", had < 3 ? 0 : had - 3);
        if (end == std::string::npos) {
          rest.remove_prefix(take);
          if (buffer_.size() > limits_.head)
            fail(Fault::head_too_large);
          break;
        }
        rest.remove_prefix(end + 4 - had);
        buffer_.resize(end + 2);
        head_ = {};
        if (!parse_head() || !frame_body())
          break;
        release(buffer_);  // an unfinished body must not hold the head's memory as well
        sink.on_head(std::exchange(head_, {}));
        if (state_ == State::sized && left_ == 0)
          return complete(sink), consumed();
        break;
      }
      case State::sized:
        body();
        if (left_ == 0)
          return complete(sink), consumed();
        break;
      case State::until_close:
        left_ = rest.size();
        if ((body_seen_ += left_) > limits_.body)
          fail(Fault::body_too_large);
        else
          body();
        break;
      case State::chunk_size:
        if (auto text = line(rest)) {
          auto size = chunk_size(*text);
          if (!size)
            return fail(Fault::malformed), consumed();
          left_ = *size;
          if (left_ > limits_.body || (body_seen_ += left_) > limits_.body)
            return fail(Fault::body_too_large), consumed();
          state_ = left_ == 0 ? State::trailer : State::chunk;
        }
        break;
      case State::chunk:
        body();
        if (left_ == 0)
          state_ = State::chunk_end;
        break;
      case State::chunk_end:
        if (auto text = line(rest)) {
          if (!text->empty())
            return fail(Fault::malformed), consumed();
          state_ = State::chunk_size;
        }
        break;
      case State::trailer:
        if (auto text = line(rest)) {
          if (text->empty())
            return complete(sink), consumed();
          if ((left_ += text->size()) > limits_.head)
            fail(Fault::head_too_large);
        }
        break;
    }
  }
  return consumed();
}

void HttpParser::complete(Sink& sink) {
  state_ = State::head;
  body_seen_ = left_ = 0;
  sink.on_complete();
}

bool HttpParser::finish(Sink& sink) {
  if (fault_ != Fault::none || state_ != State::until_close)
    return idle();
  complete(sink);
  return true;
}

bool HttpParser::parse_head() {
  std::string_view text = buffer_;
  auto next = [&] {
    auto end = text.find("\r\n");
    std::string_view one = text.substr(0, end);
    text.remove_prefix(end + 2);
    return one;
  };
  auto bad = [&] {
    return fail(Fault::malformed), false;
  };
  std::string_view first = next();
  if (!clean(first))
    return bad();
  auto space = first.find(' ');
  if (space == std::string_view::npos)
    return bad();
  std::string_view version;
  if (kind_ == Kind::request) {
    auto second = first.find(' ', space + 1);
    if (second == std::string_view::npos)
      return bad();
    head_.method = first.substr(0, space);
    head_.target = first.substr(space + 1, second - space - 1);
    version = first.substr(second + 1);
    if (!token(head_.method) || !head_.target.starts_with('/') || !visible(head_.target))
      return bad();
  } else {
    version = first.substr(0, space);
    std::string_view code = first.substr(space + 1, 3);
    auto [end, error] = std::from_chars(code.data(), code.data() + code.size(), head_.status);
    if (error != std::errc() || end != code.data() + 3 || head_.status < 100)
      return bad();
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return bad();
  head_.fields = text;
  while (!text.empty()) {
    std::string_view field = next();
    auto colon = field.find(':');
    if (colon == std::string_view::npos || !token(field.substr(0, colon)) || !clean(field))
      return bad();
  }
  old_ = version == "HTTP/1.0";
  std::string_view connection = head_.find("Connection");
  head_.keep_alive =
      version == "HTTP/1.1" ? !has_word(connection, "close") : has_word(connection, "keep-alive");
  return true;
}

// Decides how the body is framed. Two lengths, or a length beside a coding, is how requests are
// smuggled past a front; both are refused. It is the header's presence that counts: an empty
// coding, or a second one, is no licence to go by the length.
bool HttpParser::frame_body() {
  bool sized = head_.has("Content-Length");
  body_seen_ = left_ = 0;
  if (auto codings = head_.count("Transfer-Encoding"); codings > 0) {
    if (codings > 1 || sized || old_ || !same_word(head_.find("Transfer-Encoding"), "chunked"))
      return fail(Fault::malformed), false;
    state_ = State::chunk_size;
    return true;
  }
  state_ = State::sized;
  if (sized) {
    std::string_view digits = head_.find("Content-Length");
    if (head_.count("Content-Length") > 1)
      return fail(Fault::malformed), false;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), left_);
    if (digits.empty() || end != digits.data() + digits.size())
      return fail(Fault::malformed), false;
    if (error != std::errc() || left_ > limits_.body)
      return fail(Fault::body_too_large), false;
    return true;
  }
  bool bodiless =
      kind_ == Kind::request || head_.status < 200 || head_.status == 204 || head_.status == 304;
  if (!bodiless)
    state_ = State::until_close;
  return true;
}

}  // namespace keelflow::net
