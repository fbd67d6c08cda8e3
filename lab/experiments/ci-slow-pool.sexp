; A short move-slow-pool: the new pool is four times slower.
(experiment ci-slow-pool
  (nodes 1) (load 60) (lasts 12s)
  (class price-check (effect safe) (target 100ms) (stretch 1.5) (run 60ms) (share 6) (value 1))
  (class close-sale (effect unsafe) (target 100ms) (stretch 1.5) (run 120ms) (share 1) (value 4))
  (boxes old (count 4) (cores 6))
  (boxes new (count 4) (cores 6) (speed 0.25))
  (settings
    (pool new (host "new"))
    (pool old)
    (route all (to (old 100) (new 0)))
    (move boxes (route all) (from old) (to new) (steps 50 100) (least-time 30s)))
  (at 1s (command "start boxes"))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect undone = 1)
  (expect undo-step = 1))
