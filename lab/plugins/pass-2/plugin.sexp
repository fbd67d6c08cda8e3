; For experiments only.
(plugin pass-2 (version "1") (api 1) (entry on_request))
