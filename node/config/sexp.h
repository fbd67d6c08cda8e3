// S-expressions with positions: the form of our settings. sfsexp, the registry's reader, keeps no
// positions in what it returns (docs/design/configuration.md), and an error without a line is of
// little use to an operator.
//
//   (pool old (site "east" "west"))    ; a comment lasts until the end of its line
//
// An atom is a word or a "string" (escapes \" \\ \n \t). Sizes: a text of at most 1 MiB, lists 32
// deep at most.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace keelflow::config {

struct Place {
  int line = 1, column = 1;  // of the first character, counted from 1; a column is a byte
};

struct Node {
  Place place;
  bool is_list = false;
  bool quoted = false;  // an atom that was written as a string
  std::string atom;
  std::vector<Node> items;

  // The word at the head of a list; empty for atoms, empty lists and lists of lists.
  std::string_view head() const;
  std::string shown() const;  // short, for messages: what was found
};

// One fault of a file: where, what was found there and what was wanted instead.
struct Fault {
  std::string file;
  Place place;
  std::string found, wanted;
  std::string text() const;  // FILE:LINE:COLUMN: found ..., wanted ...
};
using Faults = std::vector<Fault>;

// Reads as far as the text makes sense and adds to `faults` what does not.
std::vector<Node> read_sexps(std::string_view text, const std::string& file, Faults& faults);

}  // namespace keelflow::config
