; A cold executor's budget, shared by twelve nodes while the network and the nodes fail: datagrams are lost and doubled, one
; node is heard by nobody, one is stalled with what it was granted, a third are killed and start again at once. Half of the
; executors are cold for most of the run; none is pushed over.
(experiment ci-turns
  (load 240) (lasts 20s) (peers yes) (nodes 12) (cold 20s) (cold-from 0.14)
  (class price-check (effect safe) (target 600ms) (stretch 3) (run 60ms))
  (boxes b (count 6) (cores 4) (queue 8) (cold no))
  (boxes fresh (count 6) (cores 4) (queue 8) (cold yes))
  (at 0s (loss all all 0.3) (double all all 0.2) (delay all all 2ms 10ms))
  (at 4s (cut n3 all))
  (at 6s (stall n5 3s))
  (at 10s (kill n0) (kill n1) (kill n2) (kill n6))
  (at 10.2s (start n0) (start n1) (start n2) (start n6))
  (at 14s (heal all))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect fallen = 0)
  (expect cold-fullest <= 0.7)
  (expect cold-fullest >= 0.1))
