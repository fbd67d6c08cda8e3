#include "progress/event_stream.h"

#include <utility>

namespace keelflow {
namespace {

// Line ends cannot stand in a field: each line of the data gets a field of its own, other fields
// lose them.
void field(std::string& out, std::string_view name, std::string_view value) {
  out += name;
  out += ": ";
  for (char c : value)
    if (c != '\r' && c != '\n' && c != '\0')
      out += c;
  out += '\n';
}

}  // namespace

std::string write_event(const SseEvent& event) {
  std::string out;
  if (!event.id.empty())
    field(out, "id", event.id);
  if (!event.type.empty())
    field(out, "event", event.type);
  std::string_view rest = event.data;
  while (true) {
    auto end = rest.find_first_of("\r\n");
    out += "data: ";
    out += rest.substr(0, end);
    out += '\n';
    if (end == std::string_view::npos)
      break;
    bool pair = rest.substr(end, 2) == "\r\n";
    rest.remove_prefix(end + (pair ? 2 : 1));
  }
  return out += '\n';
}

std::string write_comment(std::string_view text) {
  std::string out = ": ";
  for (char c : text)
    if (c != '\r' && c != '\n')
      out += c;
  return out += "\n\n";
}

bool SseParser::feed(std::string_view bytes, const std::function<void(const SseEvent&)>& on_event) {
  for (char c : bytes) {
    bool after_cr = std::exchange(after_cr_, c == '\r');
    if (c == '\n' && after_cr)
      continue;  // the second half of a CRLF
    if (c != '\r' && c != '\n') {
      buffer_ += c;
      if (buffer_.size() + event_.data.size() > most_)
        return false;
      continue;
    }
    std::string text = std::exchange(buffer_, {});
    if (std::exchange(at_start_, false) && text.starts_with("\xEF\xBB\xBF"))
      text.erase(0, 3);
    line(text, on_event);
  }
  return true;
}

void SseParser::line(std::string_view text, const std::function<void(const SseEvent&)>& on_event) {
  if (text.empty()) {
    SseEvent event = std::exchange(event_, {});
    if (!std::exchange(has_data_, false))
      return;               // an event without data is none
    event.data.pop_back();  // the last line's end
    if (event.type.empty())
      event.type = "message";
    event.id = last_id_;
    return on_event(event);
  }
  auto colon = text.find(':');
  if (colon == 0)
    return;  // a comment
  std::string_view name = text.substr(0, colon), value;
  if (colon != std::string_view::npos)
    value = text.substr(colon + 1);
  if (value.starts_with(' '))
    value.remove_prefix(1);
  if (name == "data") {
    event_.data += value;
    event_.data += '\n';
    has_data_ = true;
  } else if (name == "event") {
    event_.type = value;
  } else if (name == "id" && value.find('\0') == std::string_view::npos) {
    last_id_ = value;
  }
}

}  // namespace keelflow
