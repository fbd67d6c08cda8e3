; keelflow's own settings. Everything is off, as on the platform. docs/operators/configuration.md has every setting.
;
; (pool new (host "s-new"))              ; endpoints by site, class, block or the beginning of their name
; (pool old)                             ; all others
; (route all (to (old 100) (new 0)))
; (move new-boxes (route all) (from old) (to new) (steps 1 5 10 25 50 100))
; (admin (socket "/run/keelflow/admin"))
; (log (format json) (level info))
; (fleet (members yes))                 ; docs/operators/fleet.md
; (plugins (plugin bulk-holds (set (at-once 50))) (plugin term-rush))   ; docs/operators/plugins.md
; (progress (listen "127.0.0.1:3100"))
