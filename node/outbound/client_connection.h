// A connection that the node opened: carries one HTTP exchange at a time.
#pragma once

#include <string>

#include "core/endpoint_port.h"
#include "core/timer_port.h"
#include "net/connection.h"
#include "net/http.h"
#include "operation_guard/operation_guard.h"

namespace keelflow {

class ClientConnection final : net::Connection::Events, net::HttpParser::Sink {
 public:
  class User {
   public:
    virtual ~User() = default;
    virtual void on_connected() {}
    virtual void on_flushed() {}  // all that was sent so far has been handed to the kernel
    virtual void on_head(const net::Head& head) = 0;
    virtual void on_body(std::string_view) {}
    virtual void on_complete(bool reusable) = 0;
    // The connection is over: closed, reset, never came up, or spoke no HTTP. Last call.
    virtual void on_broken() = 0;
  };

  explicit ClientConnection(net::EventLoop& loop)
      : connection_(loop, *this), parser_(net::HttpParser::Kind::response, {}) {}

  bool connect(const net::Address& to) { return dial_ = to, connection_.connect(to); }
  void prefer() { connection_.prefer(); }  // before `connect`
  void attach(User* user) { user_ = user; }
  // A request to run something, which the operation guard has permitted at this moment. Its last
  // `held_back` bytes go out with `send_rest`.
  void send_job(operation_guard::SendPermit permit, const std::string& request,
                std::size_t held_back);
  void send_rest(operation_guard::SendPermit permit, std::string_view rest);
  // One that runs nothing: a probe, the end of a job, a call to discovery.
  void send(const std::string& request) { write_request(request, 0); }
  void allow_stream() { parser_.allow_stream(); }
  void close() { user_ = nullptr, connection_.close(); }

  bool open() const { return connection_.open(); }
  bool quiet() const { return connection_.quiet(); }
  bool connected() const { return connection_.connected(); }
  const net::Address& dial() const { return dial_; }
  int error() const {
    return error_;
  }  // of a connection that is over, as errno; 0: it was closed in order
  TimePoint readable_since() const { return connection_.readable_since(); }
  DeliveryState delivery() const;  // of the exchange in hand
  // The first bytes of the response to the request in hand, as far as they have arrived. Those of
  // interim responses do not count.
  std::string_view response_start() const { return response_start_; }
  // How long it had stood idle before it was taken for this one; zero: it is new.
  Duration stood() const { return stood_; }
  void stood(Duration span) { stood_ = span; }

 private:
  void on_connected() override {
    if (user_)
      user_->on_connected();
  }
  void on_flushed() override {
    if (user_)
      user_->on_flushed();
  }
  void on_data(std::string_view bytes) override;
  void on_closed(int error) override;
  void on_head(const net::Head& head) override;
  void on_body(std::string_view bytes) override {
    if (user_)
      user_->on_body(bytes);
  }
  void on_complete() override;
  void broken();
  void write_request(const std::string& request, std::size_t held_back);

  net::Connection connection_;
  net::HttpParser parser_;
  User* user_ = nullptr;
  net::Address dial_;
  Duration stood_{};
  std::uint64_t from_ = 0, size_ = 0;  // the request in hand, in bytes of the connection
  bool keep_alive_ = true, interim_ = false;
  std::string response_start_;
  int error_ = 0;
};

}  // namespace keelflow
