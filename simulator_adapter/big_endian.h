/// Numbers in big-endian bytes, as the simulator's wire has them.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace keelflow::simulator_adapter {

/// The unsigned number of that type at that place; the caller has checked the size.
template <typename T>
T get(std::string_view bytes, std::size_t place) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value = static_cast<T>((value << 8) | static_cast<unsigned char>(bytes[place + i]));
  return value;
}

inline std::uint8_t get_u8(std::string_view bytes, std::size_t place) {
  return static_cast<std::uint8_t>(bytes[place]);
}
inline double get_f64(std::string_view bytes, std::size_t place) {
  return std::bit_cast<double>(get<std::uint64_t>(bytes, place));
}
inline float get_f32(std::string_view bytes, std::size_t place) {
  return std::bit_cast<float>(get<std::uint32_t>(bytes, place));
}

template <typename T>
void put(char* to, T value) {
  for (std::size_t i = sizeof(T); i-- > 0; value = static_cast<T>(value >> 8))
    to[i] = static_cast<char>(value & 0xff);
}
inline void put_f64(char* to, double value) {
  put(to, std::bit_cast<std::uint64_t>(value));
}

}  // namespace keelflow::simulator_adapter
