/// Reads batches from standard input and writes replies to standard output until the input ends.
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/instance_table.h"

namespace keelflow::simulator_adapter {
namespace {

constexpr int kExitFailure = 2;

// Reads in chunks, so that a header with an excessive length allocates no memory for data that has
// not arrived. Returns false if the input ends early; `into` then holds the bytes received.
bool read_bytes(std::string& into, std::size_t size) {
  constexpr std::size_t kChunkBytes = 1 << 20;
  into.clear();
  while (into.size() < size) {
    std::size_t previous_size = into.size();
    into.resize(std::min(size, previous_size + kChunkBytes));
    std::size_t bytes_read =
        std::fread(into.data() + previous_size, 1, into.size() - previous_size, stdin);
    if (previous_size + bytes_read < into.size()) {
      into.resize(previous_size + bytes_read);
      return false;
    }
  }
  return true;
}

void write_reply(const std::string& reply) {
  bool is_written = std::fwrite(reply.data(), 1, reply.size(), stdout) == reply.size();
  if (!is_written || std::fflush(stdout) != 0)
    throw WireError("standard output is closed");
}

void write_log(std::string& log) {
  std::fputs(log.c_str(), stderr);
  log.clear();
}

void run() {
  InstanceTable instances;
  std::string header_bytes;
  std::string body;
  std::string log;
  while (true) {
    bool has_header = read_bytes(header_bytes, kBatchHeader);
    if (!has_header && header_bytes.empty())
      return;
    if (!has_header)
      throw WireError("input ends within a batch header, after " +
                      std::to_string(header_bytes.size()) + " bytes");
    BatchHeader header = read_header(header_bytes);
    if (!read_bytes(body, header.body_bytes))
      throw WireError("input ends within a batch body, after " + std::to_string(body.size()) +
                      " of " + std::to_string(header.body_bytes) + " bytes");
    std::string reply = instances.process_batch(header, body, log);
    write_log(log);
    write_reply(reply);
  }
}

}  // namespace
}  // namespace keelflow::simulator_adapter

int main() {
  try {
    keelflow::simulator_adapter::run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "simulator_adapter: %s\n", error.what());
    return keelflow::simulator_adapter::kExitFailure;
  }
}
