; A storefront that places holds by the dozen is told to come back, before its bulk takes the boxes from the others.
(plugin bulk-holds
  (version "1.0")
  (api 1)
  (entry on_request on_tick)
  (sees (class hold-copy))
  (budget (time 1ms) (memory 512))
  (fallback allow)
  (tick 10s)
  (setting at-once number 20)      ; holds that a storefront may place in one go
  (setting a-second number 5)      ; and how many a second beyond that
  (setting storefronts words))     ; only these; none: all
