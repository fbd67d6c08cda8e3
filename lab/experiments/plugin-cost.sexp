; What plug-ins that let all pass cost: none, one, three.
(experiment plugin-cost
  (vary one no yes) (vary more no yes)
  (nodes 1) (load 400) (lasts 15s) (plugins "lab/plugins") (progress 0ms)
  (class price-check (effect safe) (target 300ms) (stretch 2) (run 15ms) (spread 0) (share 1) (value 1))
  (boxes b (count 8) (cores 4))
  (settings (plugins (plugin pass (enabled $one)) (plugin pass-2 (enabled $more)) (plugin pass-3 (enabled $more))))
  (expect rules = 0)
  (expect bad-ends = 0))
