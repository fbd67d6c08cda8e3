; Discovery is down for twelve seconds: its watches end, and each call is answered with 503 after a second, as one that waits too
; long in a crowd is. Processes that may talk learn from one another that nobody has a watch, and serve on by their list. What
; drains right after the return is heard in time.
(experiment ci-outage
  (lists ask) (peers yes) (ask-within 30s)
  (nodes 8) (load 150) (lasts 24s)
  (class price-check (effect safe) (target 400ms) (stretch 2) (run 20ms))
  (boxes a (count 6) (cores 4))
  (boxes b (count 6) (cores 4))
  (at 4s (discovery down))
  (at 16s (discovery up))
  (at 16.5s (drain a 0.5) (remove b 0.34))
  (expect rules = 0)
  (expect bad-ends = 0)
  (expect violations = 0)
  (expect in-time >= 0.85))
