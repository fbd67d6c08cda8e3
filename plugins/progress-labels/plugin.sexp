; What customers' screens show: a label for each class, and shares in steps, without the noise before the first.
(plugin progress-labels
  (version "1.0")
  (api 1)
  (entry on_request on_progress)
  (budget (time 1ms) (memory 256))
  (fallback allow)
  (setting labels words "close-sale=Selling" "hold-copy=Putting it aside" "price-check=Looking it up")
  (setting steps number 10))
