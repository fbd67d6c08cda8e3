-- Month and day of a Unix time, after the Gregorian calendar (days are counted from the first of March, year 0).
local function month_day(unix)
  local days = unix // 86400 + 719468
  local era_day = days % 146097
  local year = (era_day - era_day // 1460 + era_day // 36524 - era_day // 146096) // 365
  local day_of_year = era_day - (365 * year + year // 4 - year // 100)
  local month = (5 * day_of_year + 2) // 153
  return (month + 2) % 12 + 1, day_of_year - (153 * month + 2) // 5 + 1
end

local seasons = {}
for _, season in ipairs(settings.season) do
  local from_month, from_day, to_month, to_day = season:match("^(%d%d)%-(%d%d)%.%.(%d%d)%-(%d%d)$")
  assert(from_month, "a season is written MM-DD..MM-DD, not " .. season)
  seasons[#seasons + 1] = { from = from_month * 100 + from_day, to = to_month * 100 + to_day }
end

local function in_season()
  local month, day = month_day(now())
  local today = month * 100 + day
  for _, s in ipairs(seasons) do
    if s.from <= s.to then
      if today >= s.from and today <= s.to then return true end
    elseif today >= s.from or today <= s.to then  -- over the turn of the year
      return true
    end
  end
  return false
end

function on_request(request)
  if not in_season() then return end
  for _, path in ipairs(settings.paths) do
    if request.path:sub(1, #path) == path then
      count("textbooks")
      return { hold = settings.hold, weigh = settings.weigh, label = "term rush" }
    end
  end
end

function self_test()
  local month, day = month_day(1798675200)  -- 2026-12-31
  return month == 12 and day == 31
end
