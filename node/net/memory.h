/// \file
/// Gives memory back that a string no longer needs.
#pragma once

#include <string>

namespace keelflow::net {

/// Empties the text and frees its memory, which an assignment of an empty string keeps.
inline void release(std::string& text) {
  std::string().swap(text);
}

}  // namespace keelflow::net
