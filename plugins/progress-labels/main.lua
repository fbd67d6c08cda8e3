local labels = {}
for _, pair in ipairs(settings.labels) do
  local class, label = pair:match("^([^=]+)=(.*)$")
  assert(class, "a label is written CLASS=TEXT, not " .. pair)
  labels[class] = label
end
local steps = settings.steps
assert(steps >= 1, "steps must be 1 or more")

function on_request(request)
  if labels[request.class] then return { label = labels[request.class] } end
end

function on_progress(event)
  if event.type == "started" then return end
  local step = math.floor(event.share * steps + 1e-9)
  if step == 0 then return false end
  return { share = step / steps }
end
