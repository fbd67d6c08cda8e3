#include "outbound/client_connection.h"

#include <utility>

namespace keelflow {
namespace {
constexpr std::size_t kResponseStart = 16;  // bytes, enough for the version and the status
}

void ClientConnection::send_job(operation_guard::SendPermit, const std::string& request,
                                std::size_t held_back) {
  write_request(request, held_back);
}

void ClientConnection::send_rest(operation_guard::SendPermit, std::string_view rest) {
  connection_.write(rest);
}

void ClientConnection::write_request(const std::string& request, std::size_t held_back) {
  from_ = connection_.written() + connection_.pending();
  size_ = request.size();
  response_start_.clear();
  connection_.write(std::string_view(request).substr(0, size_ - held_back));
}

// Our side counts a byte as written when the kernel has taken it: from then on it may arrive.
DeliveryState ClientConnection::delivery() const {
  std::uint64_t written = connection_.written();
  if (size_ == 0 || written <= from_)
    return DeliveryState::never_written;
  return written < from_ + size_ ? DeliveryState::partly_written : DeliveryState::fully_written;
}

void ClientConnection::on_data(std::string_view bytes) {
  while (!bytes.empty() && connection_.open()) {
    // Bytes that nobody asked for: whatever they mean, the connection cannot be trusted with a
    // request.
    if (!user_)
      return connection_.close();
    if (response_start_.size() < kResponseStart)
      response_start_ += bytes.substr(0, kResponseStart - response_start_.size());
    bytes.remove_prefix(parser_.feed(bytes, *this));
    if (parser_.fault() != net::HttpParser::Fault::none)
      return connection_.close(), broken();
  }
}

void ClientConnection::on_head(const net::Head& head) {
  interim_ = head.status < 200;
  keep_alive_ = head.keep_alive;
  if (user_ && !interim_)
    user_->on_head(head);
}

void ClientConnection::on_complete() {
  if (std::exchange(interim_, false)) {
    response_start_.clear();
    return;
  }
  size_ = 0;
  if (user_)
    user_->on_complete(keep_alive_ && connection_.open());
}

void ClientConnection::on_closed(int error) {
  error_ = error;
  if (parser_.finish(*this) && !user_)
    return;
  broken();
}

void ClientConnection::broken() {
  if (User* user = std::exchange(user_, nullptr))
    user->on_broken();
}

}  // namespace keelflow
