; Who lives: eight nodes lose three in ten of their datagrams; one is killed, one hears nobody, one is stalled and wakes,
; two are cut off together, one is started again at once. All that can hear each other must hold the same members.
(experiment ci-members
  (load 80) (lasts 32s) (peers yes) (nodes 8)
  (class price-check (effect safe) (target 400ms) (stretch 2) (run 30ms))
  (boxes b (count 6) (cores 6))
  (settings (fleet (members yes)))
  (at 0s (loss all all 0.3) (double all all 0.2) (delay all all 2ms 4ms))
  (at 4s (kill n2))
  (at 8s (cut all n4))
  (at 13s (heal all) (start n2))
  (at 16s (stall n5 3s))
  (at 21s (split n0 n1) (split n0 n3) (split n0 n4) (split n0 n5) (split n0 n6) (split n0 n7)
          (split n2 n1) (split n2 n3) (split n2 n4) (split n2 n5) (split n2 n6) (split n2 n7))
  (at 27s (heal all))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect false-deaths = 0)
  (expect agree-s <= 5.5))
