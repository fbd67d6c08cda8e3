; As move-equal-pools, but the jump to 2.4 times is more than the pools can take: each is made for the whole usual load
; and no more. In whichever step it begins, the move must wait it out and go on to its end.
(experiment move-overload
  (vary jump 12s 18s 24s)
  (nodes 2) (load 200) (lasts 75s)
  (class price-check (effect safe) (target 100ms) (stretch 2) (run 40ms) (share 6) (value 1))
  (class hold-copy (effect keyed) (window 7500ms) (target 150ms) (stretch 2) (run 60ms) (share 3) (value 2))
  (class close-sale (effect unsafe) (target 200ms) (stretch 2) (run 120ms) (share 1) (value 4))
  (boxes old (count 4) (cores 4))
  (boxes new (count 4) (cores 4))
  (settings
    (pool new (host "new"))
    (pool old)
    (route all (to (old 100) (new 0)) (rehome yes))
    (move boxes (route all) (from old) (to new) (steps 25 50 100) (least-time 4s) (least-answers 40) (control 20) (worse 0.1)))
  (at 10s (command "start boxes"))
  (at $jump (load 2.4))
  (at 36s (load 1))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect undone = 0)
  (expect done = 2))
