// What `keelflow_lab demo` plays.
#pragma once

namespace keelflow::lab {

inline constexpr const char* kDemo = R"(
(experiment demo
  (nodes 2) (load 200) (lasts 15s)
  (class price-check (effect safe) (target 300ms) (stretch 2) (run 30ms) (share 6) (value 1))
  (class hold-copy (effect keyed) (window 7500ms) (target 400ms) (stretch 2) (run 60ms) (share 3) (value 2))
  (class close-sale (effect unsafe) (target 500ms) (stretch 2) (run 120ms) (share 1) (value 4))
  (boxes old (count 4) (cores 4))
  (boxes new (count 4) (cores 4))
  (settings
    (pool new (host "new"))
    (pool old)
    (route all (to (old 100) (new 0)) (rehome yes))
    (move boxes (route all) (from old) (to new) (steps 10 50 100) (control 20) (least-time 2s) (least-answers 20) (worse 0.15) (block 250ms)))
  (at 1s (command "start boxes"))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect undone = 0)
  (expect most-share >= 0.1)))";

}  // namespace keelflow::lab
