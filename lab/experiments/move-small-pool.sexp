; The new pool is good, and too small for what the later steps bring: undone there, by what it serves.
(experiment move-small-pool
  (nodes 2) (load 150) (lasts 40s)
  (class price-check (effect safe) (target 60ms) (stretch 1.5) (run 40ms) (share 6) (value 1))
  (class close-sale (effect unsafe) (target 100ms) (stretch 1.5) (run 120ms) (share 1) (value 4))
  (boxes old (count 4) (cores 4))
  (boxes new (count 1) (cores 4))
  (settings
    (pool new (host "new"))
    (pool old)
    (route all (to (old 100) (new 0)) (rehome yes))
    (move boxes (route all) (from old) (to new) (steps 10 25 60 100) (least-time 4s) (least-answers 30) (worse 0.1)))
  (at 2s (command "start boxes"))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect undone = 2)
  (expect undo-step >= 2))
