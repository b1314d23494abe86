// memory_budget: the bytes that a daemon holds for callers, targets and other
// daemons together, and who gives way when they don't fit.
//
// Pure logic.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>

#include "include/base/enum_table.h"
#include "include/base/time.h"

namespace pistachioweir {

// What bytes are held for.
enum class memory_use : std::uint8_t {
  kRequests,  // Bodies of requests, while they are read and until they end.
  kRuns,      // Bodies of answers that are read from the target.
  kAnswers,   // Bodies of answers until they are delivered.
  kFrames,    // Frames of other daemons that have come in part.
};

inline constexpr enum_table<memory_use, 4> kMemoryUseNames({"requests", "runs",
                                                            "answers",
                                                            "frames"});

// Small reservations have room of their own, so that a crowd of large ones
// can't take that of ordinary callers.
enum class memory_pool : std::uint8_t { kSmall, kLarge };

inline constexpr enum_table<memory_pool, 2> kMemoryPoolNames({"small",
                                                              "large"});

inline constexpr std::size_t kMaxSmallReservation = 64 << 10;

[[nodiscard]] constexpr memory_pool PoolOf(std::size_t bytes) {
  return bytes <= kMaxSmallReservation ? memory_pool::kSmall
                                       : memory_pool::kLarge;
}

struct memory_budget_options {
  std::size_t max_small_bytes = SIZE_MAX;  // Of all reservations of this pool.
  std::size_t max_large_bytes = SIZE_MAX;  // Likewise.
};

// Bounds for a process that may use `memory_bytes`.
[[nodiscard]] memory_budget_options BudgetOptions(std::size_t memory_bytes);

class memory_reservation;

// Used on one thread.
class memory_budget : public std::enable_shared_from_this<memory_budget> {
 public:
  // Hears that a reservation didn't fit, and how many bytes should be given
  // back for the next ones. Must not change any reservation before it returns.
  using shortage_listener =
      std::function<void(memory_pool pool, std::size_t missing)>;

  explicit memory_budget(const memory_budget_options& options)
      : options_(options) {}

  // Empty; it can grow.
  [[nodiscard]] memory_reservation Open(memory_use use);
  void OnShortage(shortage_listener listener) {
    on_shortage_ = std::move(listener);
  }

  using bytes_by_use = std::array<std::size_t, kMemoryUseNames.size()>;
  using counts_by_use = std::array<std::uint64_t, kMemoryUseNames.size()>;

  [[nodiscard]] const bytes_by_use& held_by_use() const { return held_; }
  [[nodiscard]] std::size_t held(memory_use use) const {
    return held_[static_cast<std::size_t>(use)];
  }
  [[nodiscard]] std::size_t held() const { return pools_[0] + pools_[1]; }
  // Reservations that didn't fit, since the start.
  [[nodiscard]] const counts_by_use& refused() const { return refused_; }

 private:
  friend class memory_reservation;

  // False if the larger size doesn't fit; nothing is changed then.
  [[nodiscard]] bool Change(memory_use use, std::size_t from, std::size_t to);

  const memory_budget_options options_;
  shortage_listener on_shortage_;
  std::array<std::size_t, kMemoryPoolNames.size()> pools_{};  // Held in each.
  // By use; their sum is that of the pools.
  bytes_by_use held_{};
  counts_by_use refused_{};
};

// Gives its bytes back when it ends. One without a budget always fits.
class memory_reservation {
 public:
  memory_reservation() = default;
  ~memory_reservation() { Release(); }
  memory_reservation(memory_reservation&& other) noexcept;
  memory_reservation& operator=(memory_reservation&& other) noexcept;

  // Changes it to this many bytes. False if they don't fit; it is unchanged
  // then.
  [[nodiscard]] bool Resize(std::size_t bytes);
  void Release();

  [[nodiscard]] std::size_t bytes() const { return bytes_; }

 private:
  friend class memory_budget;

  memory_reservation(std::shared_ptr<memory_budget> budget, memory_use use)
      : budget_(std::move(budget)), use_(use) {}

  std::shared_ptr<memory_budget> budget_;
  memory_use use_ = memory_use::kRequests;
  std::size_t bytes_ = 0;
};

// One who could give bytes back before its work has ended.
struct memory_holder {
  std::array<std::size_t, kMemoryPoolNames.size()> bytes{};  // By pool.
  time_point last_progress;

  void Add(const memory_reservation& reservation) {
    bytes[static_cast<std::size_t>(PoolOf(reservation.bytes()))] +=
        reservation.bytes();
  }
  [[nodiscard]] std::size_t In(memory_pool pool) const {
    return bytes[static_cast<std::size_t>(pool)];
  }
};

// Whoever makes no progress for this long may have to give way.
inline constexpr milliseconds kStalledHolder{1000};

// Index of the one that gives way: of those that make no progress, the one that
// holds most of the pool. Nothing if there is none; then newcomers are refused.
[[nodiscard]] std::optional<std::size_t> ChooseToGiveWay(
    std::span<const memory_holder> holders,
    memory_pool pool,
    time_point now);

}  // namespace pistachioweir
