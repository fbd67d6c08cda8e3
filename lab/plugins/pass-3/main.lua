function on_request(request) end
