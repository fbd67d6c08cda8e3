; For experiments only.
(plugin pass (version "1") (api 1) (entry on_request))
