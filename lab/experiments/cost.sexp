; What a request costs a node without pools. With --program the same for another build.
(experiment cost
  (nodes 1) (load 400) (lasts 15s)
  (class price-check (effect safe) (target 300ms) (stretch 2) (run 15ms) (share 6) (value 1))
  (class hold-copy (effect keyed) (window 7500ms) (target 300ms) (stretch 2) (run 20ms) (share 3) (value 2))
  (class close-sale (effect unsafe) (target 300ms) (stretch 2) (run 40ms) (share 1) (value 4))
  (boxes b (count 8) (cores 4))
  (expect rules = 0)
  (expect bad-ends = 0))
