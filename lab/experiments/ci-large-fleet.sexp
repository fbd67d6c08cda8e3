; Twelve processes that are configured for a fleet of 300 and of 900. Eight are killed, executors leave the list or begin to
; drain while they are down, and all eight start again at once with the list of before; half of their calls are answered
; slowly. Nothing goes to those executors from the first moment on.
(experiment ci-large-fleet
  (vary lists ask push)
  (vary fleet 300 900)
  (lists $lists) (configured $fleet) (ask-within 30s)
  (nodes 12) (load 300) (lasts 20s)
  (class price-check (effect safe) (target 400ms) (stretch 2) (run 20ms))
  (boxes a (count 6) (cores 4))
  (boxes b (count 6) (cores 4))
  (at 2s (kill n0) (kill n1) (kill n2) (kill n3) (kill n4) (kill n5) (kill n6) (kill n7))
  (at 3s (drain a 0.5) (remove b 0.34))
  (at 11s (calls n0 slow) (calls n1 slow) (calls n2 slow) (calls n3 slow))
  (at 11.1s (start n0) (start n1) (start n2) (start n3) (start n4) (start n5) (start n6) (start n7))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect in-time >= 0.6))
