; Ten minutes with a plug-in that loops for ever in each of its calls, in Lua and in a library, beside the same without.
(experiment plugin-spin
  (vary spin no yes)
  (nodes 1) (load 800) (lasts 10m) (plugins "lab/plugins") (progress 0ms)
  (class price-check (effect safe) (target 100ms) (stretch 2) (run 15ms) (share 6) (value 1))
  (class hold-copy (effect keyed) (window 7500ms) (target 100ms) (stretch 2) (run 20ms) (share 3) (value 2))
  (class close-sale (effect unsafe) (target 100ms) (stretch 2) (run 40ms) (share 1) (value 4))
  (boxes b (count 12) (cores 6))
  (settings (plugins (plugin spin (enabled $spin)) (plugin spin-in-c (enabled $spin))))
  (expect rules = 0)
  (expect silent = 0)
  (expect bad-ends = 0))
