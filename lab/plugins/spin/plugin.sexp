; For experiments only.
(plugin spin (version "1") (api 1) (entry on_request))
