; Twenty seconds with a plug-in that loops for ever in each of its calls, in Lua and in a library.
(experiment ci-plugin-spin
  (nodes 1) (load 100) (lasts 20s) (plugins "lab/plugins") (progress 0ms)
  (class price-check (effect safe) (target 100ms) (stretch 2) (run 15ms) (share 6) (value 1))
  (class hold-copy (effect keyed) (window 7500ms) (target 100ms) (stretch 2) (run 20ms) (share 3) (value 2))
  (class close-sale (effect unsafe) (target 100ms) (stretch 2) (run 40ms) (share 1) (value 4))
  (boxes b (count 12) (cores 6))
  (settings (plugins (plugin spin (enabled yes)) (plugin spin-in-c (enabled yes))))
  (expect rules = 0)
  (expect silent = 0)
  (expect bad-ends = 0)
  (expect in-time >= 0.9)
  (expect plugin_faults >= 8)
  (expect plugin_hosts_ended >= 1))
