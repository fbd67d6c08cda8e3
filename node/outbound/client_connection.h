// A connection that the node opened: carries one HTTP exchange at a time.
#pragma once

#include <string>

#include "core/ports.h"
#include "net/connection.h"
#include "net/http.h"

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
  // The last `held_back` bytes of the request go out with `send_rest`.
  void send(const std::string& request, std::size_t held_back = 0);
  void send_rest(std::string_view rest) { connection_.write(rest); }
  void allow_stream() { parser_.allow_stream(); }
  void close() { user_ = nullptr, connection_.close(); }

  bool open() const { return connection_.open(); }
  bool quiet() const { return connection_.quiet(); }
  bool connected() const { return connection_.connected(); }
  const net::Address& dial() const { return dial_; }
  Reach reach() const;  // of the exchange in hand
  // How long it had stood idle before it was taken for this one; zero: it is new.
  Duration stood() const { return stood_; }
  void stood(Duration span) { stood_ = span; }

 private:
  void on_connected() override {
    if (user_) user_->on_connected();
  }
  void on_flushed() override {
    if (user_) user_->on_flushed();
  }
  void on_data(std::string_view bytes) override;
  void on_closed(int error) override;
  void on_head(const net::Head& head) override;
  void on_body(std::string_view bytes) override {
    if (user_) user_->on_body(bytes);
  }
  void on_complete() override;
  void broken();

  net::Connection connection_;
  net::HttpParser parser_;
  User* user_ = nullptr;
  net::Address dial_;
  Duration stood_{};
  std::uint64_t from_ = 0, size_ = 0;  // the request in hand, in bytes of the connection
  bool keep_alive_ = true, interim_ = false;
};

}  // namespace keelflow
