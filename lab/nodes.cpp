#include "nodes.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "client.h"
#include "config/config.h"

namespace keelflow::lab {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
constexpr auto kStartLimit = 10s;

const char* word(scheduler::Idempotency idempotency) {
  return idempotency == scheduler::Idempotency::idempotent            ? "safe"
         : idempotency == scheduler::Idempotency::idempotent_with_key ? "keyed"
                                                                      : "unsafe";
}

// The platform's JSON for one node.
json platform_settings(const Plan& plan, int number) {
  json classes = json::array(), objective_runtime_factor = json::array(), tenants = json::array(),
       sites = json::array();
  for (const ClassPlan& c : plan.classes) {
    classes.push_back({{"name", c.name},
                       {"effect", word(c.idempotency)},
                       {"key_scope", "zone"},
                       {"dedup_window_ms", to_ms(c.window)},
                       {"target_ms", to_ms(c.target)},
                       {"value", c.value}});
    objective_runtime_factor.push_back(c.objective_runtime_factor);
  }
  for (int i = 0; i < static_cast<int>(plan.tenants); ++i)
    tenants.push_back({{"name", "t" + std::to_string(i)}, {"quota_per_s", 10 * plan.load}});
  int zone = 0;
  for (std::size_t i = 0, first = 0; i < plan.zones.size(); ++i) {
    sites.push_back(plan.zones[i].name);
    auto size = static_cast<std::size_t>(plan.zones[i].nodes);
    if (static_cast<std::size_t>(number) >= first &&
        static_cast<std::size_t>(number) < first + size)
      zone = static_cast<int>(i);
    first += size;
  }
  for (const BoxPlan& b : plan.boxes)
    if (std::find(sites.begin(), sites.end(), json(b.site)) == sites.end())
      sites.push_back(b.site);
  return {{"balancers", static_cast<int>(std::max(plan.nodes, plan.configured))},
          {"rank", number},
          {"locality", zone},
          {"dcs", sites},
          {"kinds", {"std"}},
          {"classes", classes},
          {"tenants", tenants},
          {"granularity_ms", 4.0},
          {"registry_mode", plan.pushed ? "push" : "ask"},
          {"family_info",
           {{"tells_start", true},
            {"class_stretch", objective_runtime_factor},
            {"report_x0", "free_slots"}}},
          {"limits",
           {{"cancel", true},
            {"peer_messages", plan.peers},
            {"probes", false},
            {"parallel_tries", false},
            {"retry_after", true},
            {"try_limit", 3},
            {"max_retry_after_ms", 2000.0},
            {"conn_idle_ms", 5000.0},
            {"connect_timeout_ms", 200.0},
            {"most_held", 20000}}},
          {"report", {{"names", json::array({"x0"})}, {"via", "probe"}}},
          {"safety",
           {{"ask_within_ms", to_ms(plan.ask_within)},
            {"cold_from", plan.slow_start_initial_fraction},
            {"cold_ms", to_ms(plan.cold)},
            {"drain_grace_ms", 500.0},
            {"fall_ms", 2000.0},
            {"fall_multiple", 4.0},
            {"grace_to_answer_ms", 16.0}}}};
}

bool answers(const net::Address& address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  bool up = connect(fd, reinterpret_cast<const sockaddr*>(&address.in), sizeof address.in) == 0;
  ::close(fd);
  return up;
}

}  // namespace

net::Address free_address(int type) {
  // Under those that the kernel gives to whoever asks for any: a node that is started again must
  // find its own free.
  static std::mt19937 random{std::random_device{}()};
  // Its owner binds it later; until then the kernel would give it out again.
  static std::set<std::pair<int, in_port_t>> given_out;
  net::Address address = *net::parse_address("127.0.0.1:0");
  int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  for (int tries = 0; tries < 1000; ++tries) {
    address.in.sin_port = htons(static_cast<std::uint16_t>(12'000 + random() % 20'000));
    if (given_out.contains({type, address.in.sin_port}))
      continue;
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address.in), sizeof address.in) == 0)
      break;
  }
  ::close(fd);
  given_out.emplace(type, address.in.sin_port);
  return address;
}

NodeProcess::NodeProcess(const Plan& plan, std::string folder, int number, std::string program)
    : plan_(plan),
      folder_(std::move(folder)),
      program_(std::move(program)),
      number_(number),
      address_(free_address(SOCK_STREAM)) {
  std::filesystem::create_directories(folder_ + "/deploy");
  if (!plan.plugins.empty())
    std::filesystem::create_directory_symlink(std::filesystem::absolute(plan.plugins),
                                              folder_ + "/plugins");
  map_shim();
  std::ofstream(folder_ + "/deploy/keelflow.sexp") << "(admin (socket \"admin\"))\n"
                                                   << plan.settings;
}

void NodeProcess::map_shim() {
  int fd = ::open((folder_ + "/faults").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  bool sized = fd >= 0 && ftruncate(fd, sizeof(ShimControl)) == 0;
  void* at = sized ? mmap(nullptr, sizeof(ShimControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0)
                   : MAP_FAILED;
  if (fd >= 0)
    ::close(fd);
  if (at == MAP_FAILED)
    throw std::runtime_error("no file for faults could be mapped");
  shim_ = static_cast<ShimControl*>(at);
  shim_->failing_per_million = static_cast<std::uint32_t>(1e6 * plan_.failing_calls);
  shim_->short_per_million = static_cast<std::uint32_t>(1e6 * plan_.short_calls);
}

void NodeProcess::reload() {
  if (pid_ > 0)
    ::kill(pid_, SIGHUP);
}

void NodeProcess::step_clock(double seconds) {
  shim_->wall_clock_offset_ns += static_cast<std::int64_t>(seconds * 1e9);
}

void NodeProcess::start(const Neighbours& neighbours, std::uint64_t seed) {
  neighbours_ = neighbours;
  start_again(seed, nullptr);
}

void NodeProcess::start_again(std::uint64_t seed, const json& known) {
  std::ostringstream hex;
  hex << std::hex << seed;
  json config = {{"name", "n" + std::to_string(number_)},
                 {"listen", address_.text()},
                 {"seed", hex.str()},
                 {"discovery", neighbours_.discovery.text()},
                 {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
                 {"settings", platform_settings(plan_, number_)}};
  if (!known.is_null())
    config["known"] = known;
  if (neighbours_.peer_listen) {
    config["peer_listen"] = neighbours_.peer_listen->text();
    for (const net::Address& peer : neighbours_.peers)
      config["peers"].push_back(peer.text());
  }
  std::ofstream(folder_ + "/config.json") << config.dump(1);
  killed_ = false;
  code_ = -1;
  shim_->wall_clock_offset_ns = 0;  // a machine that starts has the right time
  spawn();
}

// Its address must be free for its next life.
void NodeProcess::bury() {
  if (dying_ > 0)
    waitpid(std::exchange(dying_, -1), nullptr, 0);
}

void NodeProcess::spawn() {
  bury();
  pid_ = fork();
  if (pid_ != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // a run that breaks off leaves no node behind
  int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
  dup2(log, 1);
  dup2(log, 2);
  setenv("EDGE_CONFIG", (folder_ + "/config.json").c_str(), 1);
  if (plan_.needs_shim) {
    setenv("LD_PRELOAD",
           (std::filesystem::path(program_).parent_path() / "libkeelflow_faults.so").c_str(), 1);
    setenv(kShimFile, (folder_ + "/faults").c_str(), 1);
    setenv("ASAN_OPTIONS", "verify_asan_link_order=0",
           1);  // the shim stands before its library, which is meant
  }
  if (chdir(folder_.c_str()) == 0)
    execl(program_.c_str(), program_.c_str(), nullptr);
  _exit(127);
}

NodeProcess::~NodeProcess() {
  bury();
  munmap(shim_, sizeof(ShimControl));
  if (pid_ <= 0 || ended())
    return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

std::string NodeProcess::log() const {
  return read_file(folder_ + "/log");
}

bool NodeProcess::up() const {
  return answers(address_);
}

void NodeProcess::wait_until_up() {
  // By its socket alone, so that other builds can be played too, those without an admin socket
  // included.
  for (auto until = Clock::now() + kStartLimit; Clock::now() < until && !ended();
       std::this_thread::sleep_for(5ms))
    if (up())
      return;
  throw std::runtime_error("a node did not come up:\n" + log());
}

void NodeProcess::kill() {
  killed_ = true;
  if (pid_ <= 0)
    return;
  bury();
  ::kill(pid_, SIGKILL);
  dying_ = std::exchange(
      pid_,
      -1);  // not waited for here: while the kernel takes its memory down, clients get no answers
}

void NodeProcess::stall(bool on) {
  if (pid_ > 0)
    ::kill(pid_, on ? SIGSTOP : SIGCONT);
}

json NodeProcess::page(const std::string& target) const {
  cli::Reply reply = cli::call(socket(), "GET", target, 1s);
  return reply.status == 200 ? json::parse(reply.body, nullptr, false) : json();
}

bool NodeProcess::command(const std::string& move, const std::string& verb) const {
  return cli::call(socket(), "POST", "/moves/" + move + "/" + verb, 1s).status == 200;
}

bool NodeProcess::reload_plugins() const {
  return cli::call(socket(), "POST", "/plugins/reload", 1s).status == 200;
}

void NodeProcess::settings(const std::string& text) {
  std::ofstream(folder_ + "/deploy/new") << "(admin (socket \"admin\"))\n" << text;
  std::filesystem::rename(folder_ + "/deploy/new", folder_ + "/deploy/keelflow.sexp");
  ::kill(pid_, SIGHUP);
}

void NodeProcess::terminate() {
  if (std::exchange(told_, true) || pid_ <= 0)
    return;
  ::kill(pid_, SIGTERM);
}

bool NodeProcess::ended() {
  int status = 0;
  if (pid_ <= 0)
    return true;
  if (waitpid(pid_, &status, WNOHANG) != pid_)
    return false;
  pid_ = -1;
  code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return true;
}

double NodeProcess::cpu_seconds() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  auto after = text.rfind(')');
  if (after == std::string::npos)
    return 0;
  std::istringstream in(text.substr(after + 2));
  std::string skipped;
  long user = 0, system = 0;
  for (int i = 0; i < 11; ++i)
    in >> skipped;
  in >> user >> system;
  return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

long NodeProcess::memory_kb() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("VmHWM:"))
      return std::atol(line.c_str() + 6);
  return 0;
}

}  // namespace keelflow::lab
