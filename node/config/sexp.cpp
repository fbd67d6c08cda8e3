#include "config/sexp.h"

namespace keelflow::config {
namespace {

constexpr std::size_t kMostText = 1024 * 1024;
constexpr int kMostDepth = 32;
constexpr std::size_t kMostShown = 40;

class Reader {
 public:
  Reader(std::string_view text, const std::string& file, Faults& faults)
      : text_(text), file_(file), faults_(faults) {}

  std::vector<Node> all() {
    std::vector<Node> out;
    while (skip()) {
      if (peek() == ')') {
        fault(place_, "')'", "a '(' before it");
        take();
        continue;
      }
      out.push_back(one(0));
    }
    return out;
  }

 private:
  char peek() const { return text_[at_]; }
  bool ended() const { return at_ >= text_.size(); }

  char take() {
    char c = text_[at_++];
    if (c == '\n')
      ++place_.line, place_.column = 1;
    else
      ++place_.column;
    return c;
  }

  // To the next thing that counts; false at the end of the text.
  bool skip() {
    while (!ended()) {
      char c = peek();
      if (c == ';') {
        while (!ended() && peek() != '\n')
          take();
      } else if (c == ' ' || c == '\t' || c == '\r' || c == '\n') {
        take();
      } else {
        return true;
      }
    }
    return false;
  }

  Node one(int depth) {
    Node node;
    node.place = place_;
    if (peek() == '(')
      return list(std::move(node), depth);
    if (peek() == '"')
      return string(std::move(node));
    while (!ended() && std::string_view(" \t\r\n();\"").find(peek()) == std::string_view::npos)
      node.atom += take();
    return node;
  }

  Node list(Node node, int depth) {
    node.is_list = true;
    take();
    if (depth >= kMostDepth) {
      fault(node.place, "lists more than 32 deep", "fewer");
      at_ = text_.size();
      return node;
    }
    while (skip()) {
      if (peek() == ')') {
        take();
        return node;
      }
      node.items.push_back(one(depth + 1));
    }
    if (!cut_)
      fault(node.place, "a '(' that is never closed", "a ')'");
    cut_ = true;  // said once, for the innermost
    return node;
  }

  Node string(Node node) {
    node.quoted = true;
    take();
    while (!ended()) {
      char c = take();
      if (c == '"')
        return node;
      if (c == '\\' && !ended()) {
        char escaped = take();
        c = escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped;
      }
      node.atom += c;
    }
    fault(node.place, "a string that never ends", "a closing '\"'");
    cut_ = true;
    return node;
  }

  void fault(Place place, std::string found, std::string wanted) {
    faults_.push_back({file_, place, std::move(found), std::move(wanted)});
  }

  std::string_view text_;
  const std::string& file_;
  Faults& faults_;
  std::size_t at_ = 0;
  Place place_;
  bool cut_ = false;
};

}  // namespace

std::string_view Node::head() const {
  return is_list && !items.empty() && !items.front().is_list ? std::string_view(items.front().atom)
                                                             : std::string_view();
}

std::string Node::shown() const {
  if (is_list)
    return items.empty() ? "()" : "(" + items.front().shown() + (items.size() > 1 ? " ...)" : ")");
  std::string text = atom.size() > kMostShown ? atom.substr(0, kMostShown) + "..." : atom;
  return quoted ? '"' + text + '"' : "'" + text + "'";
}

std::string Fault::text() const {
  return file + ":" + std::to_string(place.line) + ":" + std::to_string(place.column) + ": found " +
         found + ", wanted " + wanted;
}

std::vector<Node> read_sexps(std::string_view text, const std::string& file, Faults& faults) {
  if (text.size() > kMostText) {
    faults.push_back({file, {}, std::to_string(text.size()) + " bytes", "1 MiB at most"});
    return {};
  }
  return Reader(text, file, faults).all();
}

}  // namespace keelflow::config
