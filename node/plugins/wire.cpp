#include "plugins/wire.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstring>

namespace keelflow::plugins::wire {
namespace {

static_assert(std::endian::native == std::endian::little, "numbers are copied as they stand");

class Writer {
 public:
  template <typename T>
  void put(T number) {
    char bytes[sizeof number];
    std::memcpy(bytes, &number, sizeof number);
    out_.append(bytes, sizeof number);
  }
  void text(std::string_view text) {
    put(static_cast<std::uint32_t>(text.size()));
    out_ += text;
  }
  std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

class Reader {
 public:
  explicit Reader(std::string_view in) : in_(in) {}
  template <typename T>
  T get() {
    T number{};
    if (in_.size() < sizeof number)
      return fail(), number;
    std::memcpy(&number, in_.data(), sizeof number);
    in_.remove_prefix(sizeof number);
    return number;
  }
  double real() {  // finite
    double number = get<double>();
    if (!std::isfinite(number))
      fail();
    return number;
  }
  bool flag() {
    auto byte = get<std::uint8_t>();
    if (byte > 1)
      fail();
    return byte == 1;
  }
  std::string text(std::size_t most) {
    auto size = get<std::uint32_t>();
    if (size > most || size > in_.size())
      return fail(), "";
    std::string out(in_.substr(0, size));
    in_.remove_prefix(size);
    return out;
  }
  void fail() { fine_ = false, in_ = {}; }
  bool whole() const { return fine_ && in_.empty(); }
  bool more() const { return fine_ && !in_.empty(); }

 private:
  std::string_view in_;
  bool fine_ = true;
};

// Each message's fields are stated once: `f` puts them into a Writer or gets them from a Reader.
struct Put {
  Writer& out;
  void operator()(const std::string& text, std::size_t) { out.text(text); }
  void operator()(bool flag) { out.put(static_cast<std::uint8_t>(flag)); }
  template <typename T>
  void operator()(T number) {
    out.put(number);
  }
};
struct Get {
  Reader& in;
  void operator()(std::string& text, std::size_t most) { text = in.text(most); }
  void operator()(bool& flag) { flag = in.flag(); }
  void operator()(double& number) { number = in.real(); }
  template <typename T>
  void operator()(T& number) {
    number = in.get<T>();
  }
};

void fields(auto& f, auto& m, const Kept&) {
  f(m.key, kMostKey), f(m.value, kMostKept), f(m.until);
}
void fields(auto& f, auto& m, const Begin&) {
  f(m.now);
}
void fields(auto& f, auto& m, const Tick&) {
  f(m.now);
}
void fields(auto& f, auto& m, const Request&) {
  f(m.call), f(m.now), f(m.remaining_timeout_ms), f(m.hint_ms), f(m.repeat);
  f(m.id, kMostText), f(m.class_index, kMostText), f(m.tenant, kMostText), f(m.path, 2 * kMostText),
      f(m.object, kMostText);
}
void fields(auto& f, auto& m, const Event&) {
  f(m.call), f(m.now), f(m.share), f(m.started), f(m.attempt);
  f(m.request, kMostText), f(m.class_index, kMostText), f(m.tenant, kMostText),
      f(m.label, kMostLabel);
}
void fields(auto& f, auto& m, const Answer&) {
  f(m.now), f(m.elapsed_ms), f(m.id, kMostText), f(m.class_index, kMostText),
      f(m.tenant, kMostText), f(m.how, kMostName);
}
void fields(auto&, auto&, const Leave&) {}
void fields(auto&, auto&, const Ready&) {}
void fields(auto& f, auto& m, const Broken&) {
  f(m.why, kMostText);
}
void fields(auto& f, auto& m, const Judged&) {
  f(m.call), f(m.verdict.refuse), f(m.verdict.come_back_ms), f(m.verdict.hold_ms),
      f(m.verdict.queue_weight), f(m.verdict.label, kMostLabel);
}
void fields(auto& f, auto& m, const Shaped&) {
  f(m.call), f(m.shape.drop), f(m.shape.has_label), f(m.shape.has_share),
      f(m.shape.label, kMostLabel), f(m.shape.share);
}
void fields(auto& f, auto& m, const Faulted&) {
  f(m.call), f(m.why, kMostText);
}
void fields(auto& f, auto& m, const Count&) {
  f(m.name, kMostName), f(m.by);
}
void fields(auto& f, auto& m, const Line&) {
  f(m.text, kMostLine), f(m.dropped);
}

void fields(Put& f, const Hello& m, const Hello&) {
  f(m.name, 0), f(m.source, 0), f(m.entries), f(m.nice), f(m.time_ms), f(m.memory);
  f(static_cast<std::uint32_t>(m.values.size()));
  for (const auto& [name, value] : m.values) {
    f(name, 0);
    f(static_cast<std::uint8_t>(value.index()));
    if (const auto* flag = std::get_if<bool>(&value))
      f(*flag);
    if (const auto* number = std::get_if<double>(&value))
      f(*number);
    if (const auto* text = std::get_if<std::string>(&value))
      f(*text, 0);
    if (const auto* words = std::get_if<std::vector<std::string>>(&value)) {
      f(static_cast<std::uint32_t>(words->size()));
      for (const std::string& word : *words)
        f(word, 0);
    }
  }
}

void fields(Get& f, Hello& m, const Hello&) {
  f(m.name, kMostText), f(m.source, kMostSource), f(m.entries), f(m.nice), f(m.time_ms),
      f(m.memory);
  std::uint32_t count = 0;
  f(count);
  for (; count > 0 && f.in.more(); --count) {
    std::string name, text;
    std::uint8_t kind = 0;
    bool flag = false;
    double number = 0;
    f(name, kMostText), f(kind);
    if (kind == 0)
      f(flag), m.values[name] = flag;
    else if (kind == 1)
      f(number), m.values[name] = number;
    else if (kind == 2)
      f(text, kMostSource), m.values[name] = text;
    else if (kind == 3) {
      std::vector<std::string> words;
      std::uint32_t many = 0;
      f(many);
      for (; many > 0 && f.in.more(); --many)
        f(text, kMostSource), words.push_back(text);
      m.values[name] = words;
    } else
      f.in.fail();
  }
}

template <typename Variant>
std::string write(const Variant& message) {
  Writer out;
  out.put(static_cast<std::uint8_t>(message.index()));
  Put put{out};
  std::visit([&](const auto& m) { fields(put, m, m); }, message);
  return out.take();
}

template <typename Variant, std::size_t I = 0>
std::optional<Variant> read(std::size_t kind, Reader& in) {
  if constexpr (I == std::variant_size_v<Variant>) {
    return std::nullopt;
  } else {
    if (kind != I)
      return read<Variant, I + 1>(kind, in);
    std::variant_alternative_t<I, Variant> m{};
    Get get{in};
    fields(get, m, m);
    if (!in.whole())
      return std::nullopt;
    return Variant(std::in_place_index<I>, std::move(m));
  }
}

template <typename Variant>
std::optional<Variant> decode(std::string_view packet) {
  Reader in(packet);
  auto kind = in.get<std::uint8_t>();
  return read<Variant>(kind, in);
}

}  // namespace

Hello hello(const Package& package, std::uint8_t nice) {
  const Manifest& m = package.manifest;
  Hello out{m.name, package.source, 0, nice, to_ms(m.time), m.memory, package.values};
  for (std::size_t i = 0; i < m.entries.size(); ++i)
    out.entries |= static_cast<std::uint8_t>(m.entries[i] << i);
  return out;
}

std::string encode(const ToHost& message) {
  return write(message);
}
std::string encode(const ToNode& message) {
  return write(message);
}
std::optional<ToHost> decode_to_host(std::string_view packet) {
  return decode<ToHost>(packet);
}
std::optional<ToNode> decode_to_node(std::string_view packet) {
  return decode<ToNode>(packet);
}

}  // namespace keelflow::plugins::wire
