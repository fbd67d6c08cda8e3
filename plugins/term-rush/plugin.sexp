; In the weeks of the term rush, work on textbooks waits a little before it goes to the boxes, so that what customers at
; the counter wait for goes first.
(plugin term-rush
  (version "1.0")
  (api 1)
  (entry on_request)
  (budget (time 1ms) (memory 256))
  (fallback allow)
  (setting season words "08-15..09-10" "01-05..01-25")   ; days, UTC, both ends included
  (setting paths words "/hold-copy/textbook" "/price-check/textbook")
  (setting hold span 300ms)
  (setting weigh number 2))
