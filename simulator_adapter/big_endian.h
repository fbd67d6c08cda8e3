/// Encoding and decoding of big-endian numbers, the byte order of the simulator's wire format.
#pragma once

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace keelflow::simulator_adapter {

/// Reads an unsigned number of type T at `offset`; the caller must have checked the size.
template <typename T>
T get(std::string_view bytes, std::size_t offset) {
  T value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i)
    value = static_cast<T>((value << 8) | static_cast<unsigned char>(bytes[offset + i]));
  return value;
}

inline std::uint8_t get_u8(std::string_view bytes, std::size_t offset) {
  return static_cast<std::uint8_t>(bytes[offset]);
}
inline double get_f64(std::string_view bytes, std::size_t offset) {
  return std::bit_cast<double>(get<std::uint64_t>(bytes, offset));
}
inline float get_f32(std::string_view bytes, std::size_t offset) {
  return std::bit_cast<float>(get<std::uint32_t>(bytes, offset));
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
