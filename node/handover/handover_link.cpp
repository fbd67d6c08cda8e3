#include "handover/handover_link.h"

#include <exception>

#include "log/log.h"

namespace keelflow {
namespace {

// More than a status callback's body of 64 KiB with each byte escaped as six bytes.
constexpr std::size_t kMaxLineBytes = 1024 * 1024;
// The limit of the bytes queued for a process that does not read.
constexpr std::size_t kMaxQueuedBytes = 1024 * 1024;

}  // namespace

bool HandoverLink::send(const HandoverMessage& message) {
  if (connection_.pending() > kMaxQueuedBytes) {
    ++counters_.handover_dropped;
    return false;
  }
  connection_.write(encode(message));
  return true;
}

void HandoverLink::on_data(std::string_view bytes) {
  received_ += bytes;
  std::size_t begin = 0;
  while (connection_.open()) {
    std::size_t end = received_.find('\n', begin);
    if (end == std::string::npos)
      break;
    try {
      on_line(std::string_view(received_).substr(begin, end - begin));
    } catch (const std::exception& fault) {
      return fail(fault.what());
    }
    begin = end + 1;
  }
  received_.erase(0, begin);
  if (received_.size() > kMaxLineBytes)
    fail("a message exceeds 1 MiB");
}

void HandoverLink::on_line(std::string_view line) {
  if (auto message = decode_handover_message(line))
    events_.on_message(*this, *message);
}

void HandoverLink::on_closed(int) {
  events_.on_link_closed(*this);
}

void HandoverLink::fail(const char* fault) {
  log::warning(log::Subsystem::node, "handover-broken", {{"fault", fault}});
  connection_.close();
  events_.on_link_closed(*this);
}

}  // namespace keelflow
