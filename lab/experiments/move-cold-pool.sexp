; All boxes of the new pool have just started. Rule 4 holds back what they get; that is waited out, not taken for
; slowness, and no box may be pushed over.
(experiment move-cold-pool
  (nodes 2) (load 120) (lasts 45s) (cold 12s)
  (class price-check (effect safe) (target 100ms) (stretch 2) (run 40ms) (share 6) (value 1))
  (class close-sale (effect unsafe) (target 200ms) (stretch 2) (run 120ms) (share 1) (value 4))
  (boxes old (count 4) (cores 4))
  (boxes new (count 4) (cores 4) (cold yes))
  (settings
    (pool new (host "new"))
    (pool old)
    (route all (to (old 100) (new 0)) (rehome yes))
    (move boxes (route all) (from old) (to new) (steps 25 50 100) (least-time 4s) (least-answers 40) (control 20) (worse 0.1)))
  (at 2s (command "start boxes"))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect undone = 0)
  (expect done = 2))
