; Long searches report their progress each half second and are saved each half second; two of four boxes die, and what
; they had begun goes on elsewhere from its last saved state.
(experiment ci-checkpoints
  (nodes 1) (load 6) (lasts 5s) (progress 500ms)
  (class search (effect safe) (target 8s) (run 2s) (spread 0.1) (patience 9s) (checkpoint 500ms) (retries 3))
  (boxes b (count 4) (cores 6))
  (at 3s (crash b 0.5))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect silent = 0)
  (expect reports >= 20)
  (expect resumed >= 1))
