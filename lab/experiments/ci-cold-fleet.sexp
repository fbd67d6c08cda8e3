; Twenty-four nodes and executors that come back cold together under a burst, while some nodes are killed and started
; again: what all of them send to one cold executor pushes none over, whether they may talk or not.
(experiment ci-cold-fleet
  (vary peers yes no)
  (peers $peers) (relays no)
  (nodes 24) (load 260) (lasts 20s) (cold 15s) (cold-from 0.14)
  (class price-check (effect safe) (target 600ms) (stretch 3) (run 60ms))
  (boxes b (count 6) (cores 4) (queue 8))
  (boxes fresh (count 6) (cores 4) (queue 8) (cold yes))
  (at 3s (load 1.5))
  (at 5s (crash b 0.5))
  (at 6s (revive b) (load 1))
  (at 8s (kill n0) (kill n1) (kill n2) (kill n3) (kill n4) (kill n5))
  (at 8.3s (start n0) (start n1) (start n2) (start n3) (start n4) (start n5))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect fallen = 0))
