#include "store/store.h"

#include <hiredis/async.h>
#include <hiredis/hiredis.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <memory>
#include <utility>

namespace keelflow {
namespace {

using namespace std::chrono_literals;
constexpr int kMostPieces = 4;  // of 16 KiB, read in one turn of the loop
constexpr Duration kLeastBackOff = 100ms, kMostBackOff = 5s;

// Redis answers so if the stream's last entry has this or a later ID.
constexpr std::string_view kIdRefused = "equal or smaller";

// Answers come as [[id, [field, value, ...]], ...]; what has another shape is passed over.
Store::Entries decode(const redisReply& reply) {
  Store::Entries out;
  for (std::size_t i = 0; i < reply.elements; ++i) {
    const redisReply* item = reply.element[i];
    if (item->type != REDIS_REPLY_ARRAY || item->elements != 2)
      continue;
    const redisReply *id = item->element[0], *fields = item->element[1];
    if (id->type != REDIS_REPLY_STRING || fields->type != REDIS_REPLY_ARRAY)
      continue;
    Store::Entry entry;
    if (std::from_chars(id->str, id->str + id->len, entry.sequence).ec != std::errc())
      continue;
    for (std::size_t f = 0; f + 1 < fields->elements; f += 2) {
      const redisReply *name = fields->element[f], *value = fields->element[f + 1];
      if (name->type != REDIS_REPLY_STRING || value->type != REDIS_REPLY_STRING)
        continue;
      std::string_view key(name->str, name->len);
      if (key == "type")
        entry.type.assign(value->str, value->len);
      if (key == "data")
        entry.data.assign(value->str, value->len);
      if (key == "run")
        entry.run.assign(value->str, value->len);
    }
    out.push_back(std::move(entry));
  }
  return out;
}

}  // namespace

// Joins hiredis, which expects level-triggered events, to the edge-triggered loop.
class Store::Socket final : public net::EventLoop::Handler {
 public:
  Socket(net::EventLoop& loop, redisAsyncContext* context) : loop_(loop), context_(context) {
    context->ev.data = this;
    context->ev.addRead = [](void*) {
    };
    context->ev.delRead = [](void*) {
    };
    context->ev.addWrite = [](void* self) {
      static_cast<Socket*>(self)->add_write();
    };
    context->ev.delWrite = [](void* self) {
      static_cast<Socket*>(self)->wants_write_ = false;
    };
    context->ev.cleanup = [](void* self) {
      static_cast<Socket*>(self)->detach();
    };
    registration_ = loop.watch(context->c.fd, *this);
  }
  ~Socket() override { detach(); }
  bool watched() const { return registration_ != 0; }

  void detach() {
    if (context_)
      context_->ev = {};
    context_ = nullptr;
    loop_.forget(registration_);
  }

 private:
  void on_ready(std::uint32_t events) override {
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))
      read();
    if (context_ && wants_write_ && (events & EPOLLOUT))
      write();
  }
  void on_turn() override { read(); }
  // One call reads one piece; the edge says only that there is something, so go on until there is
  // not. A store that sends at full speed must not hold the loop.
  void read() {
    for (int pieces = 0; context_ && pieces < kMostPieces; ++pieces) {
      redisAsyncHandleRead(context_);
      if (!context_ || !more())
        return;
    }
    if (context_)
      loop_.next_turn(registration_);
  }
  bool more() const {
    char one;
    ssize_t got = ::recv(context_->c.fd, &one, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EINTR);
  }
  void write() {
    wants_write_ = false;
    writing_ = true;
    redisAsyncHandleWrite(context_);
    writing_ = false;
  }
  void add_write() {
    // Asked for inside a write, it means that the kernel took a part: the next edge will tell.
    // Otherwise the socket may be writable without a further edge, so try.
    if (std::exchange(wants_write_, true) || writing_)
      return;
    loop_.defer([this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired() && context_ && wants_write_)
        write();
    });
  }

  net::EventLoop& loop_;
  redisAsyncContext* context_;
  std::uint64_t registration_ = 0;
  bool wants_write_ = false, writing_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

struct StoreHooks {
  static void on_connect(const redisAsyncContext* context, int status) {
    auto* store = static_cast<Store*>(context->data);
    if (status != REDIS_OK)
      return store->lost();
    store->up_ = true;
    store->back_off_ = {};
  }
  static void on_disconnect(const redisAsyncContext* context, int) {
    static_cast<Store*>(context->data)->lost();
  }
  static void on_written(redisAsyncContext* context, void* reply, void*) {
    auto* store = static_cast<Store*>(context->data);
    store->answered();
    const auto* r = static_cast<const redisReply*>(reply);
    if (!r || r->type == REDIS_REPLY_ERROR)
      ++store->counters_.store_faults;
    else
      ++store->counters_.store_writes;
  }
  static void on_appended(redisAsyncContext* context, void* reply, void* argument) {
    std::unique_ptr<Store::AppendCallback> on_result(static_cast<Store::AppendCallback*>(argument));
    auto* store = static_cast<Store*>(context->data);
    const auto* r = static_cast<const redisReply*>(reply);
    bool is_error = r && r->type == REDIS_REPLY_ERROR;
    if (is_error && std::string_view(r->str, r->len).find(kIdRefused) != std::string_view::npos) {
      store->answered();
      ++store->counters_.store_ids_taken;
      return (*on_result)(Store::AppendResult::refused);
    }
    on_written(context, reply, nullptr);
    (*on_result)(r && !is_error ? Store::AppendResult::stored : Store::AppendResult::unknown);
  }
  static void on_read(redisAsyncContext* context, void* reply, void* argument) {
    std::unique_ptr<Store::Reader> reader(static_cast<Store::Reader*>(argument));
    auto* store = static_cast<Store*>(context->data);
    store->answered();
    const auto* r = static_cast<const redisReply*>(reply);
    if (r && r->type == REDIS_REPLY_ARRAY) {
      Store::Entries entries = decode(*r);
      return (*reader)(&entries);
    }
    ++store->counters_.store_faults;
    (*reader)(nullptr);
  }
};

Store::Store(net::EventLoop& loop, Settings settings, Counters& counters)
    : loop_(loop), settings_(settings), counters_(counters) {}

Store::~Store() {
  closing_ = true;
  loop_.cancel(retry_);
  loop_.cancel(guard_);
  if (context_)
    redisAsyncFree(context_);
}

void Store::open() {
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &settings_.address.in.sin_addr, host, sizeof host);
  context_ = redisAsyncConnect(host, ntohs(settings_.address.in.sin_port));
  if (!context_ || context_->err) {
    if (context_)
      redisAsyncFree(context_);
    context_ = nullptr;
    return lost();
  }
  context_->data = this;
  socket_ = std::make_unique<Socket>(loop_, context_);
  redisAsyncSetConnectCallback(context_, StoreHooks::on_connect);
  redisAsyncSetDisconnectCallback(context_, StoreHooks::on_disconnect);
  out_ = 0;
  heard_ = loop_.now();
  watch_over();
  if (!socket_->watched())
    redisAsyncFree(context_), lost();
}

// hiredis frees its context after telling that it ended; here only what refers to it goes.
void Store::lost() {
  if (closing_)
    return;
  ++counters_.store_faults;
  up_ = false;
  context_ = nullptr;
  loop_.cancel(guard_);
  loop_.dispose(std::move(socket_));
  back_off_ = std::clamp(2 * back_off_, kLeastBackOff, kMostBackOff);
  loop_.cancel(retry_);
  retry_ = loop_.at(loop_.now() + back_off_, [this] { open(); });
}

// A store that is cut off keeps its connection open and says nothing.
void Store::watch_over() {
  guard_ = loop_.at(loop_.now() + settings_.patience / 4, [this] {
    bool waiting = out_ > 0 || !up_;
    if (!waiting)
      heard_ = loop_.now();
    if (loop_.now() - heard_ <= settings_.patience)
      return watch_over();
    redisAsyncContext* old = context_;
    lost();
    old->onDisconnect = nullptr;
    old->onConnect = nullptr;
    redisAsyncFree(old);  // calls the readers that still wait, with nothing
  });
}

void Store::sent() {
  if (out_++ == 0)
    heard_ = loop_.now();
}

void Store::answered() {
  if (out_ > 0)
    --out_;
  heard_ = loop_.now();
}

bool Store::append(const std::string& stream, const Entry& entry, AppendCallback on_result) {
  if (!up_ || out_ >= settings_.most_out)
    return false;
  std::string id = std::to_string(entry.sequence) + "-0",
              most = std::to_string(settings_.most_entries);
  std::vector<std::string_view> add = {"XADD", stream, "MAXLEN",   "~",    most,
                                       id,     "type", entry.type, "data", entry.data};
  if (!entry.run.empty())
    add.insert(add.end(), {"run", entry.run});
  auto span = std::chrono::duration_cast<std::chrono::milliseconds>(settings_.expiry).count();
  std::string expiry = std::to_string(span);
  if (on_result) {
    auto later = std::make_unique<AppendCallback>(std::move(on_result));
    if (!command(StoreHooks::on_appended, later.get(), add))
      return false;
    later.release();
  } else if (!command(StoreHooks::on_written, nullptr, add)) {
    return false;
  }
  command(StoreHooks::on_written, nullptr, {"PEXPIRE", stream, expiry});
  return true;
}

void Store::read(const std::string& stream, std::uint64_t from, std::size_t count, Reader reader) {
  auto later = std::make_unique<Reader>(std::move(reader));
  std::string id = std::to_string(from) + "-0", most = std::to_string(count);
  if (up_ && out_ < settings_.most_out &&
      command(StoreHooks::on_read, later.get(), {"XRANGE", stream, id, "+", "COUNT", most})) {
    later.release();
    return;
  }
  ++counters_.store_skipped;
  loop_.defer([later = std::shared_ptr<Reader>(std::move(later))] { (*later)(nullptr); });
}

bool Store::command(ReplyHandler* handler, void* argument,
                    const std::vector<std::string_view>& words) {
  std::vector<const char*> texts;
  std::vector<std::size_t> sizes;
  for (std::string_view word : words) {
    texts.push_back(word.data());
    sizes.push_back(word.size());
  }
  if (redisAsyncCommandArgv(context_, handler, argument, static_cast<int>(words.size()),
                            texts.data(), sizes.data()) != REDIS_OK)
    return false;
  sent();
  return true;
}

}  // namespace keelflow
