/// \file
/// The inbound side: a listener, its connections, and the fronts that answer requests on them.
#pragma once

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "inbound/input_budget.h"
#include "invariants/monitor.h"
#include "net/connection.h"
#include "net/http.h"
#include "operation_guard/operation_guard.h"

namespace keelflow {

struct HttpRequest {
  net::Head head;
  std::string body;
};

class InboundConnection;

// A request that a front has not finished answering. Kept by its connection, and told when the
// client has gone.
class Exchange {
 public:
  virtual ~Exchange() = default;
  virtual void on_client_gone() {}
};

class Front {
 public:
  virtual ~Front() = default;
  // Answers at once and returns null, or returns what will answer later.
  virtual std::unique_ptr<Exchange> on_request(InboundConnection& connection,
                                               HttpRequest request) = 0;
  virtual void on_malformed() {}
};

using ExtraHeaders = std::vector<std::pair<std::string, std::string>>;

class Server;

class InboundConnection final : net::Connection::Events, net::HttpParser::Sink {
 public:
  InboundConnection(Server& server, net::EventLoop& loop, Front& front);
  ~InboundConnection() override;
  bool adopt(int fd) { return connection_.adopt(fd); }

  void respond(int status, std::string_view body, const ExtraHeaders& headers = {});
  void begin_stream(int status, const ExtraHeaders& headers);  // then pieces, then end_stream
  void stream(std::string_view piece);
  void end_stream();
  std::size_t pending() const { return connection_.pending(); }
  bool crowded();  // the server has more connections than it wants and none to spare: new jobs are
                   // refused
  // How readily this one is closed when others need its descriptor; zero: not at all. Those that
  // are only waiting for their client to see the end go first, then those that never asked or do
  // not get on with asking, then idle ones. A connection that has just come is spared: a client
  // whose first request is cut off counts as failed.
  int spare(TimePoint now) const;
  static constexpr int kOnlyLingers = 3;  // waits only for its client to see the end
  // Nothing begun, nothing owed, and nothing unread: a connection that is closed must not take a
  // request with it.
  bool idle() const {
    return !busy_ && !has_unparsed() && parser_.idle() && connection_.pending() == 0 &&
           connection_.quiet();
  }
  // By this process' own choice, while its client may still want something of it.
  operation_guard::Verdict may_close() const;
  bool quiet() const { return connection_.quiet(); }
  bool client_left() const {
    return connection_.peer_ended();
  }  // it sent no more than what has been read so far
  TimePoint since() const { return since_; }
  /// Whether the client may have left without this process knowing: it has sent more ahead than is
  /// read, so its end may stand behind unread bytes.
  bool may_have_left();
  /// Whether it holds input of a request that is not complete.
  bool has_unfinished_input() const { return !busy_ && keep_alive_ && !parser_.idle(); }
  /// When the request that is being read began.
  TimePoint begun() const { return begun_; }
  /// Rejects the request that is being read and frees what was received of it.
  void drop_unfinished_input();
  void abandon();  // closes; an exchange in hand hears that its client has gone

 private:
  friend class Server;
  void on_data(std::string_view bytes) override;
  void on_flushed() override;
  void on_turn() override;
  void on_closed(int error) override;
  void on_head(const net::Head& head) override;
  void on_body(std::string_view bytes) override { request_.body += bytes; }
  void on_complete() override;
  void parse();
  // What is parsed in a later turn; after the last answer nothing is.
  bool has_unparsed() const { return keep_alive_ && !waiting_.empty(); }
  bool may_parse() const;
  void limit_reading();
  std::size_t held() const;
  void account();
  void parse_later();
  void go_on();
  void reject();
  void finished();
  void guard(Duration patience);
  void over();

  Server& server_;
  net::EventLoop& loop_;
  Front& front_;
  net::Connection connection_;
  net::HttpParser parser_;
  HttpRequest request_;
  std::string waiting_;  // bytes of the next request, held until this one is answered
  std::unique_ptr<Exchange> exchange_;
  bool busy_ = false, parsing_ = false, waits_turn_ = false, keep_alive_ = true, over_ = false,
       asked_ = false;
  bool is_behind_ = false;     // reading was paused, and what the kernel holds is not read since
  std::size_t accounted_ = 0;  // of the server's input budget
  TimePoint since_, begun_;  // of the last answer, or the start; of the request that is being read
  TimerId timer_ = 0;
};

class Server final : net::EventLoop::Handler {
 public:
  static constexpr std::size_t kDefaultInputLimit = std::size_t{64} << 20;

  /// `input_limit`: bytes that the unfinished input of all connections may hold.
  Server(net::EventLoop& loop, Front& front, std::size_t most_connections, Counters& counters,
         std::size_t input_limit = kDefaultInputLimit);
  ~Server() override;

  void listen(const net::Address& address);  // throws std::system_error
  void inherit(int fd);                      // a listening socket that others hold too
  // A Unix socket of mode 0600. A leftover of a program that has ended is replaced; one that
  // answers is an error.
  void listen(const std::string& path);
  net::Address address() const;  // the one bound
  void accepting(bool on);  // off: connections are left to others who hold the listening socket
  void limit(std::size_t most) { most_ = most; }
  void observe(invariants::Monitor* monitor) { monitor_ = monitor; }
  // Hears of each close that the guard forbids.
  std::function<void(operation_guard::Reason)> on_close_forbidden;
  // From here on answers end their connection. Accepting goes on until `close`.
  void drain();
  void close_idle();
  // Accepts what the kernel has accepted, all of it, and listens no more: whoever connects later is
  // told so at once.
  void take_the_last();
  void close();
  std::size_t connections() const { return connections_.size(); }
  std::size_t busy() const;
  std::size_t input_held() const { return input_.held(); }
  // Called when descriptors are short; true if it freed one.
  std::function<bool()> on_pressure;

 private:
  friend class InboundConnection;
  void on_ready(std::uint32_t events) override;
  void on_turn() override { accept(); }
  void accept(bool all = false);
  void serve(int fd);
  void pause();
  bool free_one(const InboundConnection* except = nullptr);
  InboundConnection* most_spare(TimePoint now,
                                const std::vector<const InboundConnection*>& but) const;
  void remove(InboundConnection& connection);
  void shed_input();

  net::EventLoop& loop_;
  Front& front_;
  std::size_t most_;  // beyond it jobs are refused; a reserve above it keeps call-backs coming in
  Counters& counters_;
  InputBudget input_;
  invariants::Monitor* monitor_ = nullptr;
  int fd_ = -1;
  std::string path_;  // of a Unix socket: removed at the end
  std::uint64_t registration_ = 0;
  TimerId pause_ = 0;
  bool draining_ = false, accepting_ = true;
  std::unordered_map<InboundConnection*, std::unique_ptr<InboundConnection>> connections_;
};

}  // namespace keelflow
