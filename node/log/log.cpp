#include "log/log.h"

#include <fcntl.h>
#include <poll.h>
#include <spdlog/async.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <system_error>
#include <thread>

namespace keelflow::log {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kQueue = 1024;  // records; about 0.4 MB
constexpr std::size_t kMostRetired = 4;
constexpr auto kLastWait = 300ms;  // for what is queued when the program ends
constexpr std::array kSubsystems = {"node",     "inbound", "routes", "moves",    "admin",
                                    "progress", "plugins", "fleet",  "discovery"};
constexpr std::array kLevels = {"debug", "info", "warning", "error"};

spdlog::level::level_enum theirs(Level level) {
  constexpr std::array levels = {spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
                                 spdlog::level::err};
  return levels[static_cast<std::size_t>(level)];
}

// Writes whole records to one descriptor, on spdlog's thread alone. A write that blocks blocks only
// that thread.
class DescriptorSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit DescriptorSink(const std::string& file)
      : file_(file), fd_(file.empty() ? STDERR_FILENO : open_file()) {
    if (fd_ < 0)
      throw std::system_error(errno, std::generic_category(), "log file '" + file + "'");
  }
  ~DescriptorSink() override {
    if (!file_.empty() && fd_ >= 0)
      ::close(fd_);
  }
  void ask_reopen() { reopen_ = true; }
  std::uint64_t written() const { return written_; }
  std::uint64_t lost() const { return lost_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (reopen_.exchange(false) && !file_.empty()) {
      int fresh = open_file();
      if (fresh >= 0)
        ::close(std::exchange(fd_, fresh));
    }
    spdlog::memory_buf_t text;
    formatter_->format(message, text);
    const char* at = text.data();
    for (std::size_t left = text.size(); left > 0;) {
      ssize_t done = ::write(fd_, at, left);
      if (done < 0 && errno == EINTR)
        continue;
      if (done < 0 && errno == EAGAIN) {  // someone made standard error non-blocking
        pollfd ready{fd_, POLLOUT, 0};
        ::poll(&ready, 1, -1);
        continue;
      }
      if (done < 0) {
        ++lost_;
        break;
      }
      at += done;
      left -= static_cast<std::size_t>(done);
    }
    ++written_;
  }
  void flush_() override {}

 private:
  int open_file() const {
    return ::open(file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0640);
  }

  std::string file_;
  int fd_;
  std::atomic<bool> reopen_ = false;
  std::atomic<std::uint64_t> written_ = 0, lost_ = 0;
};

struct Logging {
  Settings settings;
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<DescriptorSink> sink;
  std::array<std::shared_ptr<spdlog::async_logger>, kSubsystems.size()> loggers;
  std::uint64_t posted = 0;
};
std::unique_ptr<Logging> logging;
std::vector<std::unique_ptr<Logging>>
    retired;  // replaced while their reader stalled; they cannot be joined
std::uint64_t dropped_before = 0;

std::unique_ptr<Logging> make(const Settings& settings) {
  auto out = std::make_unique<Logging>();
  out->settings = settings;
  out->sink = std::make_shared<DescriptorSink>(settings.file);
  out->pool = std::make_shared<spdlog::details::thread_pool>(kQueue, 1);
  for (std::size_t i = 0; i < kSubsystems.size(); ++i) {
    auto logger = std::make_shared<spdlog::async_logger>(
        kSubsystems[i], out->sink, out->pool, spdlog::async_overflow_policy::overrun_oldest);
    auto own = settings.levels.find(static_cast<Subsystem>(i));
    logger->set_level(theirs(own == settings.levels.end() ? settings.level : own->second));
    logger->set_pattern(settings.json
                            ? R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","subsystem":"%n",%v})"
                            : "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l subsystem=%n %v",
                        spdlog::pattern_time_type::utc);
    out->loggers[i] = std::move(logger);
  }
  return out;
}

std::uint64_t dropped_by(const Logging& l) {
  return l.pool->overrun_counter() + l.sink->lost();
}

bool drained(const Logging& l) {
  return l.sink->written() + l.pool->overrun_counter() >= l.posted;
}

// False: it is still stuck in a write; it then stays for ever.
bool end(std::unique_ptr<Logging> l) {
  auto until = std::chrono::steady_clock::now() + kLastWait;
  while (!drained(*l) && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(1ms);
  dropped_before += dropped_by(*l);
  if (drained(*l))
    return true;
  l.release();
  return false;
}

std::string text_of(const Value& value) {
  if (const auto* text = std::get_if<std::string_view>(&value))
    return std::string(*text);
  if (const auto* flag = std::get_if<bool>(&value))
    return *flag ? "yes" : "no";
  if (const auto* n = std::get_if<std::int64_t>(&value))
    return std::to_string(*n);
  if (const auto* n = std::get_if<std::uint64_t>(&value))
    return std::to_string(*n);
  char out[32];
  std::snprintf(out, sizeof out, "%.6g", std::get<double>(value));
  return out;
}

// Quoted where it holds anything by which a reader could take its end for another field.
std::string quoted(const std::string& text) {
  bool plain = !text.empty();
  for (unsigned char c : text)
    plain = plain && c > 32 && c < 127 && c != '"' && c != '=' && c != '\\';
  if (plain)
    return text;
  return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string_view word(Subsystem subsystem) {
  return kSubsystems[static_cast<std::size_t>(subsystem)];
}
std::string_view word(Level level) {
  return kLevels[static_cast<std::size_t>(level)];
}

std::optional<Level> level_of(std::string_view text) {
  for (std::size_t i = 0; i < kLevels.size(); ++i)
    if (text == kLevels[i])
      return static_cast<Level>(i);
  return std::nullopt;
}

const std::vector<std::string>& level_words() {
  static const std::vector<std::string> words(kLevels.begin(), kLevels.end());
  return words;
}

const std::vector<Subsystem>& all_subsystems() {
  static const std::vector<Subsystem> all = [] {
    std::vector<Subsystem> out;
    for (std::size_t i = 0; i < kSubsystems.size(); ++i)
      out.push_back(static_cast<Subsystem>(i));
    return out;
  }();
  return all;
}

std::string render(bool json, std::string_view event, const std::vector<Field>& fields) {
  if (json) {
    auto value = [](const Field& f) {
      return std::visit([](const auto& v) { return nlohmann::json(v); }, f.value);
    };
    std::string out = "\"event\":" + nlohmann::json(event).dump();
    for (const Field& f : fields)
      out += "," + nlohmann::json(f.key).dump() + ":" +
             value(f).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    return out;
  }
  std::string out = "event=" + std::string(event);
  for (const Field& f : fields)
    out += " " + std::string(f.key) + "=" + quoted(text_of(f.value));
  return out;
}

void open(const Settings& settings) {
  std::erase_if(retired, [](const auto& old) { return drained(*old); });
  if (retired.size() >= kMostRetired)
    throw std::runtime_error("whoever reads the log has stalled for too long to change it again");
  auto fresh = make(settings);  // throws before anything has changed
  auto old = std::exchange(logging, std::move(fresh));
  if (!old)
    return;
  // Not waited for: this is called from the loop, and the reader of the old one may have stalled.
  dropped_before += dropped_by(*old);
  if (!drained(*old))
    retired.push_back(std::move(old));
}

void reopen() {
  if (logging)
    logging->sink->ask_reopen();
}

bool close() {
  bool all = !logging || end(std::move(logging));
  for (auto& old : retired)
    if (!drained(*old))
      old.release(), all = false;
  retired.clear();
  return all;
}

bool on(Subsystem subsystem, Level level) {
  return logging &&
         logging->loggers[static_cast<std::size_t>(subsystem)]->should_log(theirs(level));
}

void write(Subsystem subsystem, Level level, std::string_view event,
           const std::vector<Field>& fields) {
  if (!on(subsystem, level))
    return;
  ++logging->posted;
  std::string text = render(logging->settings.json, event, fields);
  logging->loggers[static_cast<std::size_t>(subsystem)]->log(
      theirs(level), spdlog::string_view_t(text.data(), text.size()));
}

std::uint64_t dropped() {
  return dropped_before + (logging ? dropped_by(*logging) : 0);
}

}  // namespace keelflow::log
