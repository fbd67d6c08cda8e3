-- A bucket for each storefront, kept over reloads: "LEFT WHEN", LEFT as of WHEN.
local only = {}
for _, name in ipairs(settings.storefronts) do only[name] = true end
local burst, rate = settings["at-once"], settings["a-second"]
assert(burst >= 1 and rate > 0, "at-once must be 1 or more, a-second above 0")

local function bucket(tenant)
  local text = keep.get("left:" .. tenant:sub(1, 50))
  if not text then return burst end
  local left, when = text:match("^(%S+) (%S+)$")
  return math.min(burst, tonumber(left) + rate * math.max(0, now() - tonumber(when)))
end

function on_request(request)
  if next(only) and not only[request.tenant] then return end
  local left = bucket(request.tenant)
  if left < 1 then
    count("refused")
    return { refuse = true, come_back = (1 - left) / rate, label = "bulk" }
  end
  -- Full again after so long: then there is nothing to remember.
  keep.set("left:" .. request.tenant:sub(1, 50), string.format("%.3f %.3f", left - 1, now()), burst / rate + 1)
end

function on_tick(unix)
  count("ticks")
end
