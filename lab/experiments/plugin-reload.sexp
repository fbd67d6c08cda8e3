; Three plug-ins are reloaded a hundred times under full traffic.
(experiment plugin-reload
  (vary times 0 100)
  (nodes 1) (load 800) (lasts 30s) (plugins "lab/plugins") (progress 0ms)
  (class price-check (effect safe) (target 100ms) (stretch 2) (run 15ms) (share 6) (value 1))
  (class close-sale (effect unsafe) (target 100ms) (stretch 2) (run 40ms) (share 1) (value 4))
  (boxes b (count 12) (cores 6))
  (settings (plugins (plugin pass) (plugin pass-2) (plugin pass-3)))
  (at 3s (reload $times 200))
  (expect rules = 0)
  (expect silent = 0)
  (expect failed = 0)
  (expect bad-ends = 0))
