// `keelflow plugin ...`: what needs no node (check, test, bench). They return the program's exit
// code.
#pragma once

#include <string>

namespace keelflow::cli {

int plugin_check(const std::string& folder, bool json);
// Plays the requests and events of a file against the plug-in, in its own settings' defaults or
// those that the file's (set ...) names, and compares what it says with what the file expects.
int plugin_test(const std::string& folder, const std::string& requests);
// Calls a second inside one process, and through a host: one at a time, and many in flight.
int plugin_bench(const std::string& folder, double seconds, bool json);

}  // namespace keelflow::cli
