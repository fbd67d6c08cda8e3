/// Reads batches from standard input and writes replies to standard output until the input ends.
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/instance_table.h"

namespace keelflow::simulator_adapter {
namespace {

constexpr int kFailed = 2;  // the exit code

// The bytes are read in pieces, so that a header with an absurd length costs no memory before they
// are there. False: the input ended before; `into` has what came.
bool read_bytes(std::string& into, std::size_t wanted) {
  constexpr std::size_t kChunkBytes = 1 << 20;
  into.clear();
  while (into.size() < wanted) {
    std::size_t had = into.size();
    into.resize(std::min(wanted, had + kChunkBytes));
    std::size_t got = std::fread(into.data() + had, 1, into.size() - had, stdin);
    if (had + got < into.size()) {
      into.resize(had + got);
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
  std::string head;
  std::string body;
  std::string log;
  while (true) {
    bool has_header = read_bytes(head, kBatchHeader);
    if (!has_header && head.empty())
      return;
    if (!has_header)
      throw WireError("input ends within a batch header, after " + std::to_string(head.size()) +
                      " bytes");
    BatchHeader header = read_header(head);
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
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "simulator_adapter: %s\n", fault.what());
    return keelflow::simulator_adapter::kFailed;
  }
}
