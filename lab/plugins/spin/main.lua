function on_request(request) while true do end end
