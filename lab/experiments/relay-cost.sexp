; What the lab's relays cost where they do nothing: the same load with and without them.
(experiment relay-cost
  (vary relays no yes)
  (relays $relays) (nodes 4) (load 200) (lasts 10s)
  (class price-check (effect safe) (target 300ms) (stretch 2) (run 30ms) (spread 0))
  (boxes b (count 4) (cores 6))
  (expect rules = 0))
