// Reads batches from standard input and writes replies to standard output until the input ends.
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/instances.h"

namespace {

// The body is read in pieces, so that a header with an absurd length costs no memory before the
// bytes are there.
bool read_bytes(std::string& into, std::size_t want) {
  constexpr std::size_t kPiece = 1 << 20;
  into.clear();
  while (into.size() < want) {
    std::size_t had = into.size();
    into.resize(std::min(want, had + kPiece));
    std::size_t got = std::fread(into.data() + had, 1, into.size() - had, stdin);
    if (had + got < into.size()) {
      into.resize(had + got);
      return false;
    }
  }
  return true;
}

int run() {
  using namespace keelflow::simulator_adapter;
  Instances instances;
  std::string head, body, log;
  while (true) {
    if (!read_bytes(head, kBatchHeader)) {
      if (head.empty())
        return 0;
      throw WireError("input ends within a batch header, after " + std::to_string(head.size()) +
                      " bytes");
    }
    Header header = read_header(head);
    if (!read_bytes(body, header.body_bytes))
      throw WireError("input ends within a batch body, after " + std::to_string(body.size()) +
                      " of " + std::to_string(header.body_bytes) + " bytes");
    std::string reply = instances.play(header, body, log);
    if (!log.empty())
      std::fputs(log.c_str(), stderr), log.clear();
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() ||
        std::fflush(stdout) != 0)
      throw WireError("standard output is closed");
  }
}

}  // namespace

int main() {
  try {
    return run();
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "simulator_adapter: %s\n", fault.what());
    return 2;
  }
}
