// Takes the settings out of one S-expression, by key, and reports what is unknown, wrong or out of
// range, each with its place. Nothing is thrown: all faults of a file are told in one go.
#pragma once

#include <limits>
#include <set>

#include "config/sexp.h"
#include "core/time.h"

namespace keelflow::config {

class Form {
 public:
  // `list` is (KEY POSITIONAL... (key value...)...); its first `positional` items after the head
  // are not keys.
  Form(const Node& list, std::size_t positional, const std::string& file, Faults& faults);

  void text(const char* key, std::string& into);
  void words(const char* key, std::vector<std::string>& into);  // one or more
  void number(const char* key, double& into, double least, double most, const char* what);
  // One or more, in place of what `into` had.
  void numbers(const char* key, std::vector<double>& into, double least, double most,
               const char* what, bool whole = false);
  void span(const char* key, Duration& into, Duration least, Duration most);  // 250ms, 30s, 5m, 2h
  void flag(const char* key, bool& into);                                     // yes, no
  void choice(const char* key, std::string& into, const std::vector<std::string>& of);
  const Node* list(const char* key);                // the whole (key ...), once; null: absent
  std::vector<const Node*> lists(const char* key);  // any number of them
  void fault(const Node& at, std::string wanted);
  void end();  // what was not asked for is a fault

 private:
  const Node* one(const char* key);  // the single value of (key value)

  const Node& node_;
  std::size_t first_;
  const std::string& file_;
  Faults& faults_;
  std::set<std::string> known_;
};

bool read_number(const Node& node, double& into);
bool read_span(const Node& node, Duration& into);

}  // namespace keelflow::config
