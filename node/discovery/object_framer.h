/// \file
/// Splits discovery's stream of bytes into JSON objects.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace keelflow {

/// Splits a stream into complete JSON objects. An object may be on one line or indented over many,
/// and the stream may arrive in pieces of any size, with several objects at once. Between objects
/// only white space is permitted; it keeps a watch alive. Does not check the syntax within an
/// object. Not thread-safe.
class ObjectFramer {
 public:
  /// Calls `on_object(const std::string&)` with each complete object until it returns false.
  /// `max_size`: the limit of an object in bytes. False: the bytes cannot be such a stream, or
  /// `on_object` returned false; the framer must not be fed again.
  template <typename OnObject>
  bool feed(std::string_view bytes, std::size_t max_size, OnObject&& on_object) {
    for (char c : bytes) {
      if (depth_ == 0 && is_white_space(c))
        continue;
      if (depth_ == 0 && c != '{')
        return false;
      object_ += c;
      if (object_.size() > max_size)
        return false;
      if (!closes_object(c))
        continue;
      std::string complete;
      complete.swap(object_);
      ++count_;
      if (!on_object(complete))
        return false;
    }
    return true;
  }
  /// An object has begun and is not complete.
  bool is_within_object() const { return depth_ > 0; }
  /// The number of complete objects so far.
  std::size_t count() const { return count_; }

 private:
  static bool is_white_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

  // Whether `c` is the outermost closing brace.
  bool closes_object(char c) {
    if (is_quoted_) {
      skip_quoted(c);
      return false;
    }
    if (c == '"')
      is_quoted_ = true;
    if (c == '{' || c == '[')
      ++depth_;
    if (c != '}' && c != ']')
      return false;
    --depth_;
    return depth_ == 0;
  }

  void skip_quoted(char c) {
    if (is_escaped_)
      is_escaped_ = false;
    else if (c == '\\')
      is_escaped_ = true;
    else if (c == '"')
      is_quoted_ = false;
  }

  std::string object_;
  std::size_t depth_ = 0;
  std::size_t count_ = 0;
  bool is_quoted_ = false;
  bool is_escaped_ = false;
};

}  // namespace keelflow
