// A small language for tests of the node: each line says what a client, an endpoint or discovery
// does or must see.
//
//   open NAME [progress|admin|operators]  connect to the node (or its progress front, admin socket,
//   operators' address) accept NAME PLACE           wait until the node connects to a stand-in:
//   disco, box, box2 or redis
//                               (of calls to disco, one that the node has not given up by then)
//   send NAME TEXT              \r \n \\ as in C; at the start of TEXT, "job ID CLASS PATIENCE" and
//   "stream ..."
//                               stand for a whole request, "ok 202" for a whole answer, "chunk ..."
//                               for one chunk, in which "@PLACE" in quotes is that place's address
//   fill NAME COUNT TEXT        sends TEXT so many times
//   expect NAME TEXT            wait until TEXT has come; what stands before it is dropped
//   absent NAME TEXT            TEXT is not in what has come and was not dropped
//   close NAME | reset NAME     end the connection, with FIN or with RST
//   closed NAME [SECONDS]       wait until the node ends it, so long at most
//   news ID FROM STATE [JSON]   a call-back on a connection of its own, which must be answered 200
//   list HOST:STATE[:PLACE[:AGE]] ...  discovery tells these entries, started AGE ms ago; "whole"
//   before them: all there is wait COUNTER VALUE          wait until the counter has that value (or
//   more, with VALUE+) clock | under SECONDS       time is taken | no more than that has passed
//   since alive NAME                  discovery says empty lines there until the node ends it
//   nobody PLACE                no connection waits there to be accepted
//   listen PLACE                the stand-in listens again, after `stop`
//   full PLACE | free PLACE     connections to it no longer come up | those that were waiting come
//   up, as late as they are crowd NAME COUNT CLASS PATIENCE   so many clients, NAME0 and so on,
//   each with a job of its name leave NAME COUNT close|reset      they go report ID FROM SHARE ...
//   a box at its usual pace: a progress call-back, a second, the next, ... stop PLACE the stand-in
//   no longer listens upgrade                     with `inherit`: one more process of the node;
//   what follows speaks to its operators' address failed-upgrade              the same, and it ends
//   at once, as its operators' address is taken elder SIGNAL | elder exit   a signal to the process
//   before it (STOP, CONT, TERM, KILL); wait until it has ended, with 0 elder-ask LINE => TEXT a
//   call on the elder's operators' address stale                       a socket that nobody listens
//   on stands where the elder's would signal NAME                 TERM, HUP, USR1, STOP or CONT to
//   the program config PLACE | config TEXT  the configuration file is replaced: discovery is at
//   that place; or the file is TEXT settings JSON               the same, with its settings changed
//   so (RFC 7396); from then on this is the usual one changed JSON                the whole file,
//   changed so for once ask LINE => TEXT            a call on the operators' address, whose whole
//   answer has TEXT in it figure NAME VALUE           wait until STATS says so of it; VALUE+ for
//   that or more own TEXT                    deploy/keelflow.sexp is replaced cli CODE ARGUMENTS
//   the command line is run beside the node and ends with that code; what it prints comes
//                               on the connection "cli"
//   log TEXT                    wait until the program has logged that
//   plugin NAME TEXT            plugins/NAME/main.lua is replaced
//   until NAME KEY VALUE        wait until `plugin list` says so of that plug-in; VALUE+ for that
//   or more host NAME SIGNAL            a signal to the host of that plug-in: KILL, ABRT, STOP exit
//   CODE                   wait until the program has ended with that code
//
// Every wait has one long limit and ends as soon as its condition holds, so that a verdict does not
// depend on speed.
#pragma once

#include <gtest/gtest.h>
#include <sys/types.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace keelflow::test {

struct Options {
  std::string progress;  // settings of (progress ...); "listen" is set where this is not empty
  std::string own;       // more of deploy/keelflow.sexp
  std::map<std::string, std::string>
      plugins;                  // by name: the source, whose manifest names the entries it defines
  std::string plugin_settings;  // more of (plugins ...)
  std::string settings;         // JSON merged over the usual settings
  std::string known;            // JSON: the list that the platform keeps; "@PLACE" as in chunks
  std::string config;           // JSON merged over the whole configuration file
  int sockets = 1024;           // the descriptor limit of the process too
  bool operators = false;       // the configuration has an `admin` address
  std::string admin;            // which, if not any that is free
  bool inherit = false;         // the platform holds the listening socket
  bool store = false;           // the progress front uses the stand-in `redis`
};

class Scenario {
  using Clock = std::chrono::steady_clock;

 public:
  explicit Scenario(const Options& options = {});
  ~Scenario();
  void play(const std::string& text);  // stops at the first line that fails
  int port(const std::string& place) const;

 private:
  struct Line {
    int fd = -1;
    std::string unread;
    bool ended = false;
  };
  void act(const std::string& line);
  Line& line(const std::string& name);
  bool receive(Line& from, Clock::time_point until);  // one piece; false when the time is up
  void send(Line& to, std::string text);
  std::string counter(const std::string& name);
  std::string ask(const std::string& call, bool elder = false);
  void start(const Options& options);
  std::string message(std::string text) const;
  void put_addresses(std::string& text) const;
  void list(const std::string& words);
  void command(int code, const std::string& arguments);
  void write_plugin(const std::string& name, const std::string& source);
  std::string of_plugin(const std::string& name, const std::string& key);
  void keep_watches();
  bool read_log(Clock::time_point until);  // one piece

  Options options_;
  std::string folder_, config_;
  pid_t program_ = -1, elder_ = -1;
  std::vector<pid_t> ancestors_;  // before the elder
  int listening_ = -1, elder_log_ = -1, elder_port_ = 0;
  int log_ = -1;
  std::string log_text_;
  std::size_t log_at_ = 0;  // what `log` has not yet seen
  int node_port_ = 0, progress_port_ = 0, operator_port_ = 0;
  std::map<std::string, int> listeners_, ports_;
  std::map<std::string, Line> lines_;
  int version_ = 1;
  std::vector<int> watches_, fillers_;
  Clock::time_point clock_{};
  bool log_ended_ = false;
};

}  // namespace keelflow::test
