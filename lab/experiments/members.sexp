; A death, with none, a tenth and three tenths of all datagrams lost, at 4 to 40 nodes: how long until all know.
(experiment members
  (vary nodes 4 16 40)
  (vary loss 0 0.1 0.3)
  (load 60) (lasts 9s) (peers yes) (nodes $nodes)
  (class price-check (effect safe) (target 600ms) (stretch 2) (run 30ms))
  (boxes b (count 4) (cores 6))
  (settings (fleet (members yes)))
  (at 0s (loss all all $loss))
  (at 5s (kill n1))
  (expect rules = 0)
  (expect false-deaths = 0)
  (expect agree-s <= 2))
