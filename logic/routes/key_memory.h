/// Remembers for a limited time which pool a request with an idempotency key was sent to. A
/// client's retry is sent to the same pool, because the endpoints that drop duplicates of the
/// request are in that pool. The size is fixed; a full bucket evicts the entry that would expire
/// first.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace keelflow::routes {

/// A set-associative cache from request keys to pool numbers.
class PoolByKeyCache {
 public:
  explicit PoolByKeyCache(std::size_t entries) {  // rounded up to a power of two
    std::size_t buckets = 1;
    while (buckets * kWays < entries)
      buckets *= 2;
    buckets_.resize(buckets);
  }

  int find(std::uint64_t key, double now_ms) const {  // -1: unknown
    for (const Entry& e : buckets_[key & (buckets_.size() - 1)])
      if (e.pool >= 0 && e.key == key && e.until > now_ms)
        return e.pool;
    return -1;
  }

  void put(std::uint64_t key, int pool, double until_ms, double now_ms) {
    Entry* victim = nullptr;
    for (Entry& e : buckets_[key & (buckets_.size() - 1)]) {
      if (e.pool >= 0 && e.key == key) {
        victim = &e;
        break;
      }
      if (!victim || e.until < victim->until)
        victim = &e;
    }
    if (victim->pool >= 0 && victim->key != key && victim->until > now_ms)
      ++evicted_before_expiry_;
    *victim = {key, until_ms, pool};
  }

  std::uint64_t evicted_before_expiry() const { return evicted_before_expiry_; }  // keys
  std::size_t capacity() const { return buckets_.size() * kWays; }

 private:
  static constexpr std::size_t kWays = 4;
  struct Entry {
    std::uint64_t key = 0;
    double until = 0;
    int pool = -1;
  };
  std::vector<std::array<Entry, kWays>> buckets_;
  std::uint64_t evicted_before_expiry_ = 0;
};

}  // namespace keelflow::routes
