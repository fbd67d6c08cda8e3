; Only a class that the new pool has already jumps, to three times, which is more than that pool can take. That says
; nothing of the move of the others, which must wait and go on.
(experiment move-class-jump
  (nodes 2) (load 160) (lasts 60s)
  (class search (effect safe) (target 100ms) (stretch 2) (run 60ms) (share 4) (value 1))
  (class price-check (effect safe) (target 100ms) (stretch 2) (run 40ms) (share 4) (value 1))
  (class close-sale (effect unsafe) (target 200ms) (stretch 2) (run 120ms) (share 1) (value 4))
  (boxes old (count 4) (cores 4))
  (boxes new (count 4) (cores 4))
  (settings
    (pool new (host "new"))
    (pool old)
    (route searches (match (class search)) (to (new 1)))
    (route all (to (old 100) (new 0)) (rehome yes))
    (move boxes (route all) (from old) (to new) (steps 25 50 100) (least-time 4s) (least-answers 40) (control 20) (worse 0.1)))
  (at 4s (command "start boxes"))
  (at 10s (load 4 search))
  (at 25s (load 1 search))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect undone = 0)
  (expect done = 2))
