// The operators' second address: one call of one line to a connection, one answer, and the
// connection ends. It has descriptors of its own and a time limit for each caller, so that callers
// who hold it without a whole call, and clients that crowd the first address, cannot keep an
// operator out.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/counters.h"
#include "net/address.h"
#include "net/connection.h"

namespace keelflow {

class LineServer final : net::EventLoop::Handler {
 public:
  using Answer =
      std::function<std::string(std::string_view line)>;  // what to send, line ends included

  LineServer(net::EventLoop& loop, Answer answer, std::size_t most_callers, Counters& counters);
  ~LineServer() override;
  void listen(const net::Address& address);  // throws std::system_error
  net::Address address() const;              // the one bound

 private:
  class Caller;
  void on_ready(std::uint32_t) override { accept(); }
  void accept();
  bool make_room();  // by the oldest caller; false: all have only just come
  void remove(Caller& caller);
  void retry();

  net::EventLoop& loop_;
  Answer answer_;
  std::size_t most_;
  Counters& counters_;
  int fd_ = -1,
      spare_ =
          -1;  // the spare one is given up for a caller when the process has no other descriptor
  std::uint64_t registration_ = 0, next_ = 0;
  TimerId retry_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;  // in the order in which they came
};

}  // namespace keelflow
