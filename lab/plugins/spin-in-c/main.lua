function on_request(request) return { label = string.find(('a'):rep(60), ('a*'):rep(20) .. 'b') } end
