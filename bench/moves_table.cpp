// The sequential test's false-alarm rate and power: simulated moves of the pure logic, as a table
// over how much slower the new pool is and how many answers it gives a second.
//
//   moves_table [MOVES OF EQUAL POOLS] [MOVES OF EACH OTHER CELL] [SEED]
//
// Jobs have log-normal running times; one is in time within 15 ms + 1.2 x its own time, as in
// move-slow-pool.sexp. Now and then (3 % of seconds) a second is bad for both pools, and now and
// then (1 %) for one of them alone: answers hang together, as real ones do.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <pcg_random.hpp>
#include <random>
#include <vector>

#include "moves/move.h"

namespace keelflow::moves {
namespace {

struct Result {
  bool undone = false, first_step = false;
  double seconds = 0;  // to the undo, from the step's begin
};

class Simulation {
 public:
  Simulation(double slow, double rate, std::uint64_t seed)
      : slow_(slow), rate_(rate), random_(seed) {}

  Result play() {
    MoveSpec spec;
    spec.name = "m", spec.route = "r", spec.from = "old", spec.to = "new";
    spec.steps = {10, 25, 50, 100};
    spec.min_duration_ms = 5'000;
    spec.max_duration_ms = 600'000;
    spec.min_answers = 40;
    Move move(spec);
    PoolView fine{.ready = 6, .warm = 6, .draining = 0, .capacity = 6};
    double now = 1e12;
    move.update_pools(fine, fine, now);
    for (double until = now + 60'000; now < until; now += 100)
      arrivals(move, now, false);  // what is usual, learned before
    move.start(now);
    while (move.active()) {
      arrivals(move, now, true);
      now += 100;
      move.tick(now);
    }
    return {move.state() == State::undone, move.step() == 0, (now - move.step_since()) / 1000};
  }

 private:
  void arrivals(Move& move, double now, bool answer) {
    if (std::floor(now / 1000) != second_) {
      second_ = std::floor(now / 1000);
      bool both = chance(0.03);
      bad_[0] = both || chance(0.01);
      bad_[1] = both || chance(0.01);
    }
    // Ten times the new pool's rate in its first step, on the whole route.
    for (int n = std::poisson_distribution<int>(rate_)(random_); n > 0; --n) {
      Arm arm = chance(move.share()) ? Arm::trial : Arm::control;
      move.arrived(arm, true, now);
      if (!answer)
        continue;
      double run = 60 * std::lognormal_distribution<double>(-0.08, 0.4)(random_);
      double took = run * (arm == Arm::trial ? slow_ : 1) +
                    std::exponential_distribution<double>(1 / 3.0)(random_);
      bool in_time = took <= 15 + 1.2 * run && !(bad_[arm == Arm::trial] && chance(0.7));
      double value = chance(0.6) ? 1 : chance(0.75) ? 2 : 4;
      move.answered(arm, value, in_time ? value : 0, now, now);
    }
  }
  bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }

  double slow_, rate_;
  pcg32 random_;
  double second_ = -1;
  bool bad_[2] = {};
};

double middle(std::vector<double> values, double share) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

}  // namespace
}  // namespace keelflow::moves

int main(int argc, char** argv) {
  using namespace keelflow::moves;
  int equal = argc > 1 ? std::atoi(argv[1]) : 10'000, other = argc > 2 ? std::atoi(argv[2]) : 1'000;
  std::uint64_t seed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1;
  std::printf("seed %llu; %d moves of equal pools in each row, %d of each other\n\n",
              static_cast<unsigned long long>(seed), equal, other);
  std::printf(
      "| answers a second in step 1 | times slower | moves | undone %% | in the first step %% | "
      "seconds to it, median | 99th |\n");
  std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
  for (double rate : {2.0, 5.0, 20.0})
    for (double slow : {1.0, 1.1, 1.25, 1.5, 2.0, 4.0}) {
      int moves = slow == 1 ? equal : other, undone = 0, first = 0;
      std::vector<double> seconds;
      for (int i = 0; i < moves; ++i) {
        Result r = Simulation(slow, rate, seed * 1'000'003 + static_cast<std::uint64_t>(i)).play();
        undone += r.undone, first += r.undone && r.first_step;
        if (r.undone)
          seconds.push_back(r.seconds);
      }
      std::printf("| %g | %g | %d | %.2f | %.2f | %.1f | %.1f |\n", rate, slow, moves,
                  100.0 * undone / moves, 100.0 * first / moves, middle(seconds, 0.5),
                  middle(seconds, 0.99));
      std::fflush(stdout);
    }
}
