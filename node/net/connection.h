// A non-blocking TCP connection as an object with callbacks.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "net/address.h"
#include "net/event_loop.h"

namespace keelflow::net {

class Connection final : public EventLoop::Handler {
 public:
  class Events {
   public:
    virtual ~Events() = default;
    virtual void on_connected() {}
    virtual void on_data(std::string_view bytes) = 0;
    virtual void on_turn() {}     // asked for with `continue_next_turn`
    virtual void on_flushed() {}  // everything queued so far has been handed to the kernel
    // The peer closed, reset, or never answered the connect. The Connection is closed already; last
    // call.
    virtual void on_closed(int error) = 0;
  };

  Connection(EventLoop& loop, Events& events) : loop_(loop), events_(events) {}
  ~Connection() override { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool adopt(int fd);                   // an accepted socket; false (errno set): refused, fd closed
  bool connect(const Address& to);      // false: no descriptor or refused at once (errno)
  void prefer() { preferred_ = true; }  // before `connect`: see EventLoop
  void write(std::string_view bytes);
  void close();  // no callback comes after this
  void reset();  // as close, and the peer sees it broken
  // Sends what is queued, then the end; on_closed comes when the peer has closed too, or has gone
  // on sending for long. What it sends is dropped.
  void close_when_flushed() {
    close_when_flushed_ = true;
    flush();
  }
  void pause_reading(bool pause);
  // Calls `on_turn` after the other connections had their turn: for an owner that has more to do
  // than one turn's share.
  void continue_next_turn();

  bool open() const { return fd_ >= 0; }
  bool quiet()
      const;  // open, and the peer has neither sent nor ended anything that is still unread
  // The kernel may hold bytes, or the end, that were not read yet: reading has not come to its end
  // since the last event.
  bool readable() const { return readable_; }
  bool unread() const;  // open, and bytes of the peer wait to be read
  bool connected() const { return connected_; }
  // Not later than the arrival of any byte that is being read.
  TimePoint readable_since() const { return readable_since_; }
  // By what the kernel knows now, perhaps ahead of bytes that are still to be read: the end may
  // have come after the event whose bytes are being read.
  bool peer_ended() const;
  std::size_t pending() const { return out_.size() - out_at_; }
  std::uint64_t written() const { return written_; }  // bytes that the kernel has taken

 private:
  void on_ready(std::uint32_t events) override;
  EventLoop::Order order(std::uint32_t events) const override;
  void on_turn() override;
  bool start(int fd);
  void read();
  std::optional<int> read_share();
  std::size_t share_left();
  void flush();
  void fail(int error);

  EventLoop& loop_;
  Events& events_;
  int fd_ = -1;
  std::uint64_t registration_ = 0;
  bool connected_ = false, paused_ = false, readable_ = false, close_when_flushed_ = false,
       lingering_ = false, waits_turn_ = false, hung_up_ = false, preferred_ = false,
       adopted_ = false, reading_ = false;
  TimePoint readable_since_{};
  std::string out_;
  std::size_t out_at_ = 0, dropped_ = 0;
  std::uint64_t share_turn_ = 0;  // the turn in which `share_used_` was read
  std::size_t share_used_ = 0;
  std::uint64_t written_ = 0;
};

}  // namespace keelflow::net
