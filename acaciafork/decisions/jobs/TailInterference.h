#pragma once

#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "acaciafork/core/Core.h"
#include "acaciafork/decisions/batch/Batch.h"

namespace acaciafork::jobs {

/// Backfill task that runs on the same worker as a serving task.
struct BackfillNeighbour
{
    std::string_view image;
    /// Processor time that it uses, as a share of the worker's capacity.
    double share = 0;
};

/// Estimated interference of a backfill image with a serving image.
struct InterferenceEstimate
{
    std::string serving;
    std::string filling;
    /// Increase of the tail latency, as a share of its target, if the backfill image used the whole
    /// worker; and the variance of the estimate.
    float mean = 0;
    float variance = 0;
};

/// What is known of a pair of a serving and a backfill image.
enum class PairState : std::uint8_t {
    Unknown,
    Harmless,
    Harmful,
};

/// Learns which backfill images slow down which serving images, from the tail latencies of serving
/// tasks and the backfill tasks beside them. Most pairs do not interfere at all.
class TailInterference
{
public:
    TailInterference();

    /// Updates the estimates from one reading.
    /// @param[in] tailRatio tail latency divided by its target
    void observe(std::string_view serving, double tailRatio,
                 std::span<const BackfillNeighbour> neighbours);

    /// The same, by the increase over a ratio without interference that is known.
    void observe(batch::Index serving, double growth, std::span<const batch::CoRunner> neighbours);
    /// Updates the estimate of one pair from an increase that it explains alone.
    /// @param[in] share processor time that tasks of `filling` use, as a share of the worker
    /// @param[in] growth increase of the tail latency, as a share of its target
    /// @param[in] deviation standard deviation of the increase
    void learn(batch::Index serving, batch::Index filling, double share, double growth,
               double deviation);
    /// Raises the estimate of a pair to an increase that a reading has shown at least.
    void learnAtLeast(batch::Index serving, batch::Index filling, double share, double growth);
    /// Discards the estimate of a pair that may explain an increase no better than others.
    void doubt(batch::Index serving, batch::Index filling);
    /// Makes the estimates of harmful pairs less certain, so that such a pair is explored again
    /// some minutes after its last reading: its images may have changed.
    void fade(Duration elapsed);
    [[nodiscard]] PairState stateOf(batch::Index serving, batch::Index filling) const;

    /// Index of an image, for the overloads that avoid the lookup by name.
    batch::Index intern(std::string_view image) { return indexOf(image); }
    [[nodiscard]] double expected(batch::Index serving, batch::Index filling, double share) const
    {
        return m_model.expected(serving, filling, 0) * share;
    }
    [[nodiscard]] bool isHarmless(batch::Index serving, batch::Index filling, double share) const;
    /// True when the pair has been observed.
    [[nodiscard]] bool isObserved(batch::Index serving, batch::Index filling) const;

    /// Expected increase of the tail latency of `serving`, as a share of its target, if a task of
    /// `filling` uses `share` of the same worker; never negative.
    [[nodiscard]] double expected(std::string_view serving, std::string_view filling,
                                  double share) const;

    /// True when the pair has been observed often enough to conclude that a task of `filling` with
    /// that share does not slow down `serving`.
    [[nodiscard]] bool isHarmless(std::string_view serving, std::string_view filling,
                                  double share) const;

    /// Number of observed pairs, and of those expected to increase the tail latency by more than
    /// `growth` for use of a tenth of the worker, about that of one task.
    [[nodiscard]] std::pair<std::size_t, std::size_t> countPairs(double growth) const;
    /// Estimates of all observed pairs.
    [[nodiscard]] std::vector<InterferenceEstimate> estimates() const;
    /// Restores estimates made by another instance.
    void restore(std::span<const InterferenceEstimate> pairs);

private:
    [[nodiscard]] batch::Index indexOf(std::string_view image);
    [[nodiscard]] batch::Index findIndex(std::string_view image) const;

    batch::InterferenceModel m_model;
    std::unordered_map<std::string, batch::Index> m_indexes;
    std::vector<batch::CoRunner> m_coRunners;
    /// Observed pairs, as indices of the serving and the backfill image.
    std::set<std::pair<batch::Index, batch::Index>> m_observedPairs;
};

} // namespace acaciafork::jobs
