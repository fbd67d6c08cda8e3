#include "client.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "net/http.h"

namespace keelflow::cli {
namespace {

class Answer final : public net::HttpParser::Sink {
 public:
  void on_head(const net::Head& head) override { reply.status = head.status; }
  void on_body(std::string_view bytes) override { reply.body += bytes; }
  void on_complete() override { complete = true; }
  Reply reply;
  bool complete = false;
};

struct Socket {
  int fd = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ~Socket() {
    if (fd >= 0)
      ::close(fd);
  }
};

}  // namespace

Reply call(const std::string& socket, std::string_view method, std::string_view target,
           std::chrono::milliseconds limit) {
  auto failed = [&](const std::string& what) {
    return Reply{0, "", "'" + socket + "': " + what};
  };
  Socket own;
  sockaddr_un to{};
  to.sun_family = AF_UNIX;
  if (socket.size() >= sizeof to.sun_path)
    return failed("the path is too long");
  socket.copy(to.sun_path, sizeof to.sun_path - 1);
  timeval span{limit.count() / 1000, static_cast<suseconds_t>(limit.count() % 1000 * 1000)};
  setsockopt(own.fd, SOL_SOCKET, SO_RCVTIMEO, &span, sizeof span);
  setsockopt(own.fd, SOL_SOCKET, SO_SNDTIMEO, &span, sizeof span);
  if (::connect(own.fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
    return failed(std::strerror(errno));
  std::string request =
      std::string(method) + " " + std::string(target) +
      " HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  if (::send(own.fd, request.data(), request.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(request.size()))
    return failed("the call could not be sent");
  Answer answer;
  net::HttpParser parser(net::HttpParser::Kind::response, {.body = 16 * 1024 * 1024});
  char piece[16 * 1024];
  while (!answer.complete) {
    ssize_t got = ::recv(own.fd, piece, sizeof piece, 0);
    if (got <= 0)
      return failed(got == 0 ? "the node ended the connection" : "no answer in time");
    parser.feed(std::string_view(piece, static_cast<std::size_t>(got)), answer);
    if (parser.fault() != net::HttpParser::Fault::none)
      return failed("what answers is no node");
  }
  return answer.reply;
}

}  // namespace keelflow::cli
