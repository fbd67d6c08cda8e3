; Two of five processes are stopped for eight seconds. What discovery says meanwhile reaches neither: their watches are silent.
; When they go on, requests are waiting, and the drains of six seconds before count as told.
(experiment ci-pause
  (vary lists ask push)
  (lists $lists) (ask-within 30s)
  (nodes 5) (load 200) (lasts 16s)
  (class price-check (effect safe) (target 400ms) (stretch 2) (run 20ms))
  (boxes a (count 4) (cores 4))
  (boxes b (count 4) (cores 4))
  (at 2s (silence n1) (silence n2) (stall n1 8s) (stall n2 9s))
  (at 2.5s (drain a) (remove b 0.25))
  (expect rules = 0)
  (expect bad-ends = 0))
