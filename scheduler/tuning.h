// The constants of the decisions, each with what it stands for. None is fitted to one deployment.
#pragma once

namespace keelflow::scheduler {

constexpr double kAlpha = 0.1;      // EMA step of the calibration factor and of the other averages
constexpr double kSlowAlpha = 0.2;  // EMA step of a endpoint's relative slowness
constexpr double kRatioLimit =
    8;  // one sample counts at most this much, or its inverse: tails are heavy
constexpr int kCandidates = 4;    // sampled endpoints with room that a pick compares
constexpr int kDraws = 16;        // draws at most to find them
constexpr double kCapDown = 0.7;  // multiplicative decrease
constexpr double kRest = 0.1;     // how long a busy endpoint is left alone, in usual runs
constexpr double kCrowdWait =
    4;  // in crowding a job waits up to so many times longer for home endpoints
constexpr double kCrowded = 0.5;  // above this crowding overdue jobs wait
constexpr int kMaxStrikes = 3;    // doublings of that while it looks ill
constexpr int kMaxFaults = 6;     // and while its attempts fail, one after another
constexpr double kSilent = 4;     // after so many usual runs without a start a job is not queueing
constexpr double kComeBack =
    0.25;  // a refused client is asked to come back after so many usual runs
constexpr double kShareSpan = 2000;  // ms of its share that a tenant may save up
constexpr double kTenantLimit = 30;  // S_tenant of a job beyond its tenant's share is at most this
constexpr double kToldLife =
    5000;  // ms for which a peer's slots count unless it tells of them anew
constexpr double kGiveWay =
    40;  // ms within which a slot that a peer has given back may be filled again
constexpr double kOverflow =
    0.1;  // usual runs a job waits for a home endpoint before it goes elsewhere
constexpr int kKeyProbes = 16;  // ring look-ups that order a key's endpoints
constexpr double kKeySpread =
    2.5;  // endpoints a key is given, for each its share of traffic would fill
constexpr double kFetchRuns =
    1.5;  // a job waits so many usual runs before it leaves its key's endpoints
constexpr double kColdMargin =
    0.62;  // share of rule 4's budget used: hints err, and refused work counts too
constexpr double kColdPace = 0.9;  // and a kind counts as faster than its size by so much at most
constexpr double kWindowMargin = 0.9;  // share of a keyed class's window used for further sends

}  // namespace keelflow::scheduler
