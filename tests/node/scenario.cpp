#include "scenario.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace keelflow::test {
namespace {

constexpr auto kLimit = std::chrono::seconds(20);

constexpr const char* kSettings = R"({
  "balancers": 1, "rank": 0, "locality": 0, "dcs": ["east", "west"], "kinds": ["fast"],
  "classes": [
    {"name": "price", "effect": "safe", "target_ms": 500.0, "value": 1.0},
    {"name": "hold", "effect": "keyed", "key_scope": "zone", "dedup_window_ms": 5000.0, "target_ms": 500.0},
    {"name": "sale", "effect": "unsafe", "target_ms": 500.0}],
  "tenants": [{"name": "river street", "quota_per_s": 10.0}],
  "granularity_ms": 4.0, "registry_mode": "ask",
  "family_info": {"tells_start": true, "class_stretch": [2.0, 2.0, 2.0], "report_x0": "free_slots"},
  "limits": {"cancel": true, "probes": true, "parallel_tries": false, "retry_after": true, "try_limit": 3,
             "max_retry_after_ms": 2000.0, "conn_idle_ms": 5000.0, "connect_timeout_ms": 200.0, "most_held": 20000},
  "report": {"names": ["err_rps", "cpu", "x0"], "via": "probe"},
  "safety": {"ask_within_ms": 10000.0, "cold_from": 0.14, "cold_ms": 23000.0, "drain_grace_ms": 500.0,
             "fall_ms": 2000.0, "fall_multiple": 4.0, "grace_to_answer_ms": 16.0}})";

sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 == text.size()) {
      out += text[i];
      continue;
    }
    char c = text[++i];
    out += c == 'n' ? '\n' : c == 'r' ? '\r' : c == 's' ? ' ' : c;
  }
  return out;
}

std::string rest_of(std::istringstream& in) {
  std::string rest;
  std::getline(in >> std::ws, rest);
  return rest;
}

}  // namespace

Scenario::Scenario(const Options& options) : options_(options) {
  char name[] = "/tmp/keelflow-test-XXXXXX";
  folder_ = mkdtemp(name);
  for (const char* place : {"disco", "disco2", "disco3", "box", "box2", "redis"}) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);  // for one that listens again
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 64) != 0)
      throw std::runtime_error(place);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    listeners_[place] = fd;
    ports_[place] = ntohs(address.sin_port);
  }
  auto settings = nlohmann::json::parse(kSettings);
  if (!options.settings.empty())
    settings.merge_patch(nlohmann::json::parse(options.settings));
  nlohmann::json config = {
      {"name", "n1"},
      {"listen", "127.0.0.1:0"},
      {"seed", "8c1f30d27a5be964"},
      {"discovery", "127.0.0.1:" + std::to_string(ports_["disco"])},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", options.sockets}}},
      {"settings", settings}};
  if (options.operators)
    config["admin"] = "127.0.0.1:0";
  if (std::string known = options.known; !known.empty()) {
    put_addresses(known);
    config["known"] = nlohmann::json::parse(known);
  }
  if (!options.admin.empty())
    config["admin"] = options.admin;
  if (!options.config.empty())
    config.merge_patch(nlohmann::json::parse(options.config));
  std::ofstream(folder_ + "/config.json") << (config_ = config.dump());
  std::filesystem::create_directory(folder_ + "/deploy");
  std::string own = options.own;
  if (!options.progress.empty()) {
    own += "(progress (listen \"127.0.0.1:0\") " + options.progress;
    if (options.store)
      own += " (store \"127.0.0.1:" + std::to_string(ports_["redis"]) + "\")";
    own += ")\n";
  }
  if (!options.plugins.empty()) {
    own += "(admin (socket \"admin\")) (plugins " + options.plugin_settings;
    for (const auto& [plugin, source] : options.plugins) {
      write_plugin(plugin, source);
      if (options.plugin_settings.find("(plugin " + plugin) == std::string::npos)
        own += " (plugin " + plugin + " (answer-within 1s))";
    }
    own += ")\n";
  }
  if (!own.empty())
    std::ofstream(folder_ + "/deploy/keelflow.sexp") << own;
  if (options.inherit) {
    listening_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    if (bind(listening_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(listening_, 64) != 0)
      throw std::runtime_error("listen");
  }
  start(options);
}

void Scenario::start(const Options& options) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0)
    throw std::runtime_error("pipe");
  log_ = ends[0];
  program_ = fork();
  if (program_ == 0) {
    dup2(ends[1], 2);
    rlimit limit{static_cast<rlim_t>(options.sockets), static_cast<rlim_t>(options.sockets)};
    setrlimit(RLIMIT_NOFILE, &limit);
    if (listening_ >= 0) {
      dup2(listening_, 5);
      fcntl(5, F_SETFD, 0);
      setenv("EDGE_LISTEN_FD", "5", 1);
      setenv("TMPDIR", folder_.c_str(), 1);
    }
    setenv("EDGE_CONFIG", (folder_ + "/config.json").c_str(), 1);
    if (chdir(folder_.c_str()) == 0)
      execl(KEELFLOW_PROGRAM, KEELFLOW_PROGRAM, nullptr);
    _exit(127);
  }
  close(ends[1]);
  auto port_after = [&](const std::string& words) {
    auto until = Clock::now() + kLimit;
    while (Clock::now() < until) {
      auto at = log_text_.find(words);
      auto end = at == std::string::npos ? at : log_text_.find('\n', at);
      if (end != std::string::npos)
        return std::stoi(log_text_.substr(log_text_.rfind(':', end) + 1));
      if (log_ended_)
        break;
      read_log(std::min(until, Clock::now() + std::chrono::milliseconds(500)));
      keep_watches();
    }
    throw std::runtime_error("the program did not start: " + log_text_);
  };
  if (options.operators)
    operator_port_ = port_after("subsystem=admin event=operators-listen");
  node_port_ = port_after("subsystem=node event=listens");
  if (!options.progress.empty())
    progress_port_ = port_after("subsystem=progress event=listens");
}

// Discovery says an empty line now and then on each watch, or the process that has it would take it
// for dead.
void Scenario::keep_watches() {
  for (int fd : watches_)
    ::send(fd, "1\r\n\n\r\n", 6, MSG_NOSIGNAL | MSG_DONTWAIT);
}

Scenario::~Scenario() {
  for (auto& [name, line] : lines_)
    if (line.fd >= 0)
      close(line.fd);
  for (auto& [place, fd] : listeners_)
    if (fd >= 0)
      close(fd);
  ancestors_.insert(ancestors_.end(), {program_, elder_});
  for (pid_t program : ancestors_)
    if (program > 0) {
      kill(program, SIGKILL);
      waitpid(program, nullptr, 0);
    }
  if (listening_ >= 0)
    close(listening_);
  if (elder_log_ >= 0)
    close(elder_log_);
  if (testing::Test::HasFailure()) {  // the sanitizers' word is in the log
    char piece[65536];
    for (ssize_t got; (got = read(log_, piece, sizeof piece)) > 0;)
      log_text_.append(piece, static_cast<std::size_t>(got));
    std::fprintf(stderr, "--- the program's log\n%s\n", log_text_.c_str());
  }
  close(log_);
  std::filesystem::remove_all(folder_);
}

int Scenario::port(const std::string& place) const {
  return ports_.at(place);
}

void Scenario::play(const std::string& text) {
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    auto start = line.find_first_not_of(" \t");
    if (start == std::string::npos || line[start] == '#')
      continue;
    SCOPED_TRACE(line);
    act(line.substr(start));
    if (testing::Test::HasFatalFailure() || testing::Test::HasNonfatalFailure())
      return;
  }
}

// False: the time is up, or the program has ended.
bool Scenario::read_log(Clock::time_point until) {
  char piece[4096];
  pollfd ready{log_, POLLIN, 0};
  auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()).count();
  if (poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, left))) <= 0)
    return false;
  ssize_t got = read(log_, piece, sizeof piece);
  log_ended_ = got == 0;
  if (got > 0)
    log_text_.append(piece, static_cast<std::size_t>(got));
  return got > 0;
}

void Scenario::command(int code, const std::string& arguments) {
  std::string call = "cd " + folder_ + " && " KEELFLOW_PROGRAM " " + arguments + " 2>&1";
  FILE* pipe = popen(call.c_str(), "r");
  Line& out = lines_["cli"];
  out = {};
  out.ended = true;
  char piece[4096];
  for (std::size_t got; (got = fread(piece, 1, sizeof piece, pipe)) > 0;)
    out.unread.append(piece, got);
  int status = pclose(pipe);
  ASSERT_TRUE(WIFEXITED(status)) << out.unread;
  ASSERT_EQ(WEXITSTATUS(status), code) << out.unread;
}

// Its manifest stands in the comments that the source begins with: "-- (fallback refuse)".
void Scenario::write_plugin(const std::string& name, const std::string& source) {
  std::string folder = folder_ + "/plugins/" + name,
              manifest = "(plugin " + name + " (version \"1\") (api 1) (entry";
  std::filesystem::create_directories(folder);
  for (const char* entry : {"on_request", "on_progress", "on_answer", "on_tick"})
    if (source.find(std::string("function ") + entry) != std::string::npos)
      manifest += std::string(" ") + entry;
  manifest += ")";
  std::istringstream in(source);
  for (std::string line; std::getline(in, line);)
    if (auto at = line.find("-- ("); at != std::string::npos)
      manifest += line.substr(at + 3);
  std::ofstream(folder + "/plugin.sexp") << manifest + ")";
  std::ofstream(folder + "/main.lua") << source;
}

std::string Scenario::of_plugin(const std::string& name, const std::string& key) {
  command(0, "plugin list --json");
  auto body = nlohmann::json::parse(lines_["cli"].unread, nullptr, false);
  if (!body.is_object())
    return "none";
  for (const auto& plugin : body["plugins"])
    if (plugin["plugin"] == name && plugin.contains(key))
      return plugin[key].is_string() ? plugin[key].get<std::string>() : plugin[key].dump();
  return "none";
}

Scenario::Line& Scenario::line(const std::string& name) {
  auto it = lines_.find(name);
  if (it == lines_.end())
    throw std::runtime_error("no connection '" + name + "'");
  return it->second;
}

bool Scenario::receive(Line& from, Clock::time_point until) {
  pollfd ready{from.fd, POLLIN, 0};
  auto left = std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now()).count();
  if (poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, left))) <= 0)
    return false;
  char piece[65536];
  ssize_t got = recv(from.fd, piece, sizeof piece, 0);
  if (got > 0)
    from.unread.append(piece, static_cast<std::size_t>(got));
  else
    from.ended = true;
  return true;
}

std::string Scenario::message(std::string text) const {
  std::istringstream in(text);
  std::string word, id, class_index, patience;
  in >> word;
  if (word == "job" || word == "stream") {
    in >> id >> class_index >> patience;
    std::string extra = unescape(rest_of(in));
    if (word == "stream")
      extra += "Accept: text/event-stream\r\n";
    return "POST /" + class_index + "/x?y=1 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id +
           "\r\nX-Customer: river street\r\n" + "X-Expires-In-Ms: " + patience +
           "\r\nX-Size-Hint: 100000\r\nIdempotency-Key: k-" + id + "\r\n" + extra +
           "Content-Length: 4\r\n\r\nbody";
  }
  if (word == "ok") {
    in >> class_index;
    return "HTTP/1.1 " + class_index + " Status\r\n" + unescape(rest_of(in)) +
           "Content-Length: 0\r\n\r\n";
  }
  if (word == "chunk") {
    std::string body = unescape(rest_of(in));
    put_addresses(body);
    std::ostringstream out;
    out << std::hex << body.size() << "\r\n" << body << "\r\n";
    return out.str();
  }
  return unescape(text);
}

void Scenario::put_addresses(std::string& text) const {
  for (const auto& [place, port] : ports_)
    for (std::size_t at; (at = text.find("@" + place + "\"")) != std::string::npos;)
      text.replace(at, place.size() + 1, "127.0.0.1:" + std::to_string(port));
}

void Scenario::send(Line& to, std::string text) {
  for (std::size_t at = 0; at < text.size();) {
    ssize_t sent = ::send(to.fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (sent <= 0)
      return;  // the node has ended the connection; what it says of that comes with the next lines
    at += static_cast<std::size_t>(sent);
  }
}

std::string Scenario::counter(const std::string& name) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = loopback(node_port_);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    return close(fd), "none";
  Line own{fd, "", false};
  send(own, "GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n");
  while (!own.ended && receive(own, Clock::now() + kLimit))
    continue;
  close(fd);
  auto at = own.unread.find("keelflow_" + name + " ");
  if (at == std::string::npos)
    return "none";
  at = own.unread.find(' ', at) + 1;
  return own.unread.substr(at, own.unread.find('\n', at) - at);
}

std::string Scenario::ask(const std::string& call, bool elder) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to = loopback(elder ? elder_port_ : operator_port_);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0)
    return close(fd), "none";
  Line own{fd, "", false};
  send(own, call + "\n");
  while (!own.ended && receive(own, Clock::now() + kLimit))
    continue;
  close(fd);
  return own.unread;
}

void Scenario::list(const std::string& words) {
  std::istringstream in(words);
  nlohmann::json hosts = nlohmann::json::array();
  bool whole = false;
  for (std::string word; in >> word;) {
    if (word == "whole") {
      whole = true;
      continue;
    }
    std::vector<std::string> parts;
    std::istringstream fields(word);
    for (std::string part; std::getline(fields, part, ':');)
      parts.push_back(part);
    std::string host = parts.at(0), state = parts.at(1), place = parts.size() > 2 ? parts[2] : host;
    auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::int64_t started_at = parts.size() > 3 ? unix_ms.count() - std::stoll(parts[3]) : 0;
    hosts.push_back({{"host", host},
                     {"dial", "127.0.0.1:" + std::to_string(port(place))},
                     {"site", "east"},
                     {"class", "fast"},
                     {"block", 1},
                     {"health", state},
                     {"share", 1.0},
                     {"born_ms", started_at}});
  }
  nlohmann::json told = {{"seq", ++version_}, {"whole", whole}, {"hosts", hosts}};
  send(line("disco"), message("chunk " + told.dump() + "\\n"));
}

void Scenario::act(const std::string& text) {
  std::istringstream in(text);
  std::string verb, name;
  in >> verb >> name;
  auto until = Clock::now() + kLimit;
  if (verb == "open") {
    std::string where;
    in >> where;
    if (where == "admin") {
      sockaddr_un path{};
      path.sun_family = AF_UNIX;
      (folder_ + "/admin").copy(path.sun_path, sizeof path.sun_path - 1);
      int own = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
      ASSERT_EQ(connect(own, reinterpret_cast<sockaddr*>(&path), sizeof path), 0)
          << strerror(errno);
      lines_[name] = {own, "", false};
      return;
    }
    sockaddr_in to = loopback(where == "progress"    ? progress_port_
                              : where == "operators" ? operator_port_
                                                     : node_port_);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to), 0) << strerror(errno);
    lines_[name] = {fd, "", false};
  } else if (verb == "accept") {
    std::string place;
    in >> place;
    bool discovery = place.starts_with("disco"), given_up = true;
    while (given_up) {
      pollfd ready{listeners_.at(place), POLLIN, 0};
      ASSERT_EQ(poll(&ready, 1, static_cast<int>(std::chrono::milliseconds(kLimit).count())), 1)
          << "nobody connects";
      lines_[name] = {accept4(listeners_.at(place), nullptr, nullptr, SOCK_CLOEXEC), "", false};
      pollfd ended{lines_[name].fd, POLLRDHUP, 0};
      given_up = discovery && poll(&ended, 1, 0) == 1;
      if (given_up)
        close(lines_[name].fd);
    }
    if (discovery)
      watches_.push_back(lines_[name].fd);
  } else if (verb == "send") {
    send(line(name), message(rest_of(in)));
  } else if (verb == "fill") {
    int count = 0;
    in >> count;
    std::string piece = message(rest_of(in));
    for (int i = 0; i < count; ++i)
      send(line(name), piece);
  } else if (verb == "expect" || verb == "absent") {
    std::string want = unescape(rest_of(in));
    Line& from = line(name);
    if (verb == "absent") {
      while (!from.ended && receive(from, Clock::now())) {
      }
      ASSERT_EQ(from.unread.find(want), std::string::npos) << from.unread;
      return;
    }
    std::size_t at;
    while ((at = from.unread.find(want)) == std::string::npos) {
      ASSERT_FALSE(from.ended) << "ended; had: " << from.unread;
      ASSERT_TRUE(receive(from, until)) << "did not come; had: " << from.unread;
    }
    from.unread.erase(0, at + want.size());
  } else if (verb == "closed") {
    double most = 0;
    if (in >> most)
      until = Clock::now() +
              std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(most));
    while (!line(name).ended)
      ASSERT_TRUE(receive(line(name), until)) << "still open";
  } else if (verb == "close" || verb == "reset") {
    linger now{verb == "reset", 0};
    setsockopt(line(name).fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    std::erase(watches_, line(name).fd);
    close(line(name).fd);
    lines_.erase(name);
  } else if (verb == "news") {
    std::string from, state;
    in >> from >> state;
    std::string extra = rest_of(in);
    nlohmann::json body = extra.empty() ? nlohmann::json::object() : nlohmann::json::parse(extra);
    body.update({{"id", name}, {"from", from}, {"state", state}});
    std::string out = body.dump();
    act("open news");
    send(line("news"), "POST /_jobs/news HTTP/1.1\r\nContent-Length: " +
                           std::to_string(out.size()) + "\r\n\r\n" + out);
    act("expect news HTTP/1.1 200");
    act("close news");
  } else if (verb == "report") {
    std::string from;
    in >> from;
    for (std::string share; in >> share; sleep(1))
      act("news " + name + " " + from + " running {\"share\":" + share + "}");
  } else if (verb == "list") {
    list(name + " " + rest_of(in));
  } else if (verb == "wait") {
    std::string want, have;
    in >> want;
    bool least = want.back() == '+';
    if (least)
      want.pop_back();
    while ((have = counter(name)) != want &&
           !(least && have != "none" && std::stoll(have) >= std::stoll(want))) {
      ASSERT_LT(Clock::now(), until) << name << " is " << have;
      usleep(5000);
    }
  } else if (verb == "clock") {
    clock_ = Clock::now();
  } else if (verb == "under") {
    ASSERT_LT(std::chrono::duration<double>(Clock::now() - clock_).count(), std::stod(name));
  } else if (verb == "alive") {
    while (!line(name).ended) {
      ASSERT_LT(Clock::now(), until) << "still open";
      ::send(line(name).fd, "1\r\n\n\r\n", 6, MSG_NOSIGNAL);
      receive(line(name), Clock::now() + std::chrono::milliseconds(100));
    }
  } else if (verb == "nobody") {
    pollfd waiting{listeners_.at(name), POLLIN, 0};
    ASSERT_EQ(poll(&waiting, 1, 0), 0) << "somebody connects";
  } else if (verb == "listen") {
    sockaddr_in address = loopback(ports_.at(name));
    int on = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ASSERT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address), 0)
        << strerror(errno);
    ASSERT_EQ(::listen(fd, 64), 0);
    listeners_[name] = fd;
  } else if (verb == "full") {
    ASSERT_EQ(::listen(listeners_.at(name), 0), 0);
    sockaddr_in address = loopback(ports_.at(name));
    for (bool up = true; up;) {
      int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
      pollfd ready{fd, POLLOUT, 0};
      up = poll(&ready, 1, 200) == 1;
      if (up)
        fillers_.push_back(fd);
      else
        close(fd);
    }
  } else if (verb == "free") {
    for (int fd : fillers_) {
      close(accept4(listeners_.at(name), nullptr, nullptr, SOCK_CLOEXEC));
      close(fd);
    }
    fillers_.clear();
    ASSERT_EQ(::listen(listeners_.at(name), 64), 0);
  } else if (verb == "crowd") {
    int count = 0;
    std::string word;
    in >> count;
    std::getline(in >> std::ws, word);
    for (int i = 0; i < count; ++i) {
      act("open " + name + std::to_string(i));
      act("send " + name + std::to_string(i) + " job " + name + std::to_string(i) + " " + word);
    }
  } else if (verb == "leave") {
    int count = 0;
    std::string how;
    in >> count >> how;
    for (int i = 0; i < count; ++i)
      act(how + " " + name + std::to_string(i));
  } else if (verb == "upgrade" || verb == "failed-upgrade") {
    if (elder_log_ >= 0)
      close(elder_log_);
    ancestors_.push_back(elder_);
    elder_ = std::exchange(program_, -1), elder_log_ = std::exchange(log_, -1),
    elder_port_ = operator_port_;
    log_text_.clear(), log_at_ = 0, log_ended_ = false;
    Options next = options_;
    if (verb == "upgrade")
      return start(next);
    auto config = nlohmann::json::parse(config_);
    config["admin"] = "127.0.0.1:" + std::to_string(elder_port_);
    std::ofstream(folder_ + "/config.json") << config.dump();
    EXPECT_THROW(start(next), std::runtime_error);
    waitpid(program_, nullptr, 0);
    close(log_);
    program_ = std::exchange(elder_, -1), log_ = std::exchange(elder_log_, -1),
    operator_port_ = elder_port_;
    std::ofstream(folder_ + "/config.json") << config_;
  } else if (verb == "elder" && name == "exit") {
    int status = 0;
    while (waitpid(elder_, &status, WNOHANG) == 0) {
      ASSERT_LT(Clock::now(), until) << "still running";
      usleep(5000);
    }
    elder_ = -1;
    ASSERT_TRUE(WIFEXITED(status)) << "signal " << WTERMSIG(status);
    ASSERT_EQ(WEXITSTATUS(status), 0);
  } else if (verb == "elder") {
    int number = name == "STOP"   ? SIGSTOP
                 : name == "CONT" ? SIGCONT
                 : name == "TERM" ? SIGTERM
                                  : SIGKILL;
    ASSERT_GT(elder_, 0) << "there is no elder";  // to the kernel such a number means everybody
    ASSERT_EQ(kill(elder_, number), 0);
    int status = 0;
    if (number == SIGSTOP)
      waitpid(elder_, &status, WUNTRACED);
    if (number == SIGKILL)
      waitpid(std::exchange(elder_, -1), &status, 0);
  } else if (verb == "stale") {
    for (const auto& file : std::filesystem::directory_iterator(folder_)) {
      if (!file.is_socket())
        continue;
      sockaddr_un path{};
      path.sun_family = AF_UNIX;
      file.path().string().copy(path.sun_path, sizeof path.sun_path - 1);
      std::filesystem::remove(file.path());
      int fd = socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0);
      ASSERT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&path), sizeof path), 0);
      close(fd);
      return;
    }
    FAIL() << "no socket";
  } else if (verb == "ask" || verb == "elder-ask") {
    std::string call = name + " " + rest_of(in), want = call.substr(call.find(" => ") + 4);
    std::string answer = ask(call.substr(0, call.find(" => ")), verb == "elder-ask");
    ASSERT_NE(answer.find(want), std::string::npos) << answer;
  } else if (verb == "figure") {
    std::string want, have;
    in >> want;
    bool least = want.back() == '+';
    if (least)
      want.pop_back();
    for (;;) {
      std::string all = ask("STATS"), line = "node." + name + ":";
      auto found = all.find(line);
      have = found == std::string::npos
                 ? "none"
                 : all.substr(found + line.size(), all.find('|', found) - found - line.size());
      if (have == want || (least && have != "none" && std::stoll(have) >= std::stoll(want)))
        break;
      ASSERT_LT(Clock::now(), until) << name << " is " << have;
      usleep(5000);
    }
  } else if (verb == "settings") {
    auto config = nlohmann::json::parse(config_);
    config["settings"].merge_patch(nlohmann::json::parse(name + " " + rest_of(in)));
    std::ofstream(folder_ + "/config.new") << (config_ = config.dump());
    std::filesystem::rename(folder_ + "/config.new", folder_ + "/config.json");
  } else if (verb == "changed") {
    auto config = nlohmann::json::parse(config_);
    config.merge_patch(nlohmann::json::parse(name + " " + rest_of(in)));
    std::ofstream(folder_ + "/config.new") << config.dump();
    std::filesystem::rename(folder_ + "/config.new", folder_ + "/config.json");
  } else if (verb == "stop") {
    close(std::exchange(listeners_.at(name), -1));
  } else if (verb == "signal") {
    const std::map<std::string, int> numbers = {{"TERM", SIGTERM},
                                                {"HUP", SIGHUP},
                                                {"USR1", SIGUSR1},
                                                {"STOP", SIGSTOP},
                                                {"CONT", SIGCONT}};
    ASSERT_GT(program_, 0) << "it has ended";
    ASSERT_EQ(kill(program_, numbers.at(name)), 0);
    if (int status = 0; name == "STOP")
      waitpid(program_, &status, WUNTRACED);
  } else if (verb == "config") {
    auto config = nlohmann::json::parse(config_);
    if (ports_.contains(name))
      config["discovery"] = "127.0.0.1:" + std::to_string(port(name));
    std::ofstream(folder_ + "/config.new") << (ports_.contains(name) ? config.dump() : name);
    std::filesystem::rename(folder_ + "/config.new", folder_ + "/config.json");
  } else if (verb == "own") {
    std::ofstream(folder_ + "/own.new") << name + " " + rest_of(in);
    std::filesystem::rename(folder_ + "/own.new", folder_ + "/deploy/keelflow.sexp");
  } else if (verb == "cli") {
    command(std::stoi(name), rest_of(in));
  } else if (verb == "log") {
    std::string want = name + (in.eof() ? "" : " " + rest_of(in));
    std::size_t at;
    while ((at = log_text_.find(want, log_at_)) == std::string::npos)
      ASSERT_TRUE(read_log(until)) << "not logged:\n" << log_text_;
    log_at_ = at + want.size();
  } else if (verb == "plugin") {
    write_plugin(name, unescape(rest_of(in)));
  } else if (verb == "until") {
    std::string key, want, have;
    in >> key >> want;
    bool least = want.back() == '+';
    if (least)
      want.pop_back();
    while ((have = of_plugin(name, key)) != want &&
           !(least && have != "none" && std::stod(have) >= std::stod(want))) {
      ASSERT_LT(Clock::now(), until) << key << " of " << name << " is " << have;
      usleep(5000);
    }
  } else if (verb == "host") {
    std::string number;
    in >> number;
    int pid = std::stoi(of_plugin(name, "pid"));
    ASSERT_GT(pid, 1);
    ASSERT_EQ(kill(pid, number == "STOP" ? SIGSTOP : number == "ABRT" ? SIGABRT : SIGKILL), 0);
  } else if (verb == "exit") {
    int status = 0;
    while (waitpid(program_, &status, WNOHANG) == 0) {
      ASSERT_LT(Clock::now(), until) << "still running";
      usleep(5000);
    }
    program_ = -1;
    ASSERT_TRUE(WIFEXITED(status)) << "signal " << WTERMSIG(status);
    ASSERT_EQ(WEXITSTATUS(status), std::stoi(name));
  } else {
    FAIL() << "no such verb";
  }
}

}  // namespace keelflow::test
