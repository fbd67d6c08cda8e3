; For experiments only.
(plugin spin-in-c (version "1") (api 1) (entry on_request))
