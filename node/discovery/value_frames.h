// Cuts what discovery says into whole JSON objects, however they are laid out: on one line,
// indented over many, several at once, in pieces of any size. What stands between them is white
// space, which keeps a watch alive.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace keelflow {

class ValueFrames {
 public:
  // Calls `whole` with each object that is complete, until it returns false. False: the bytes
  // cannot be such a stream, or `whole` said so.
  template <typename Whole>
  bool feed(std::string_view bytes, std::size_t most, Whole&& whole) {
    for (char c : bytes) {
      if (depth_ == 0 && (c == ' ' || c == '\t' || c == '\r' || c == '\n'))
        continue;
      if (depth_ == 0 && c != '{')
        return false;
      value_ += c;
      if (value_.size() > most)
        return false;
      if (!closes(c))
        continue;
      std::string done;
      done.swap(value_);
      ++count_;
      if (!whole(done))
        return false;
    }
    return true;
  }
  void clear() { value_.clear(), depth_ = 0, quoted_ = escaped_ = false; }
  bool within() const { return depth_ > 0; }    // an object has begun and is not complete
  std::size_t count() const { return count_; }  // of whole ones so far

 private:
  bool closes(char c) {  // the outermost brace
    if (quoted_) {
      if (escaped_)
        escaped_ = false;
      else if (c == '\\')
        escaped_ = true;
      else if (c == '"')
        quoted_ = false;
      return false;
    }
    if (c == '"')
      quoted_ = true;
    if (c == '{' || c == '[')
      ++depth_;
    return (c == '}' || c == ']') && --depth_ == 0;
  }

  std::string value_;
  std::size_t depth_ = 0, count_ = 0;
  bool quoted_ = false, escaped_ = false;
};

}  // namespace keelflow
