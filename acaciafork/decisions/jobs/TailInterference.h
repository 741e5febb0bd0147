#pragma once

#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "acaciafork/core/Core.h"
#include "acaciafork/decisions/batch/Batch.h"

namespace acaciafork::jobs {

/// A task that fills, beside a serving one.
struct BackfillNeighbour
{
    std::string_view image;
    /// Processor time that it uses, as a share of the worker's.
    double share = 0;
};

/// What has been learnt of two images.
struct InterferenceEstimate
{
    std::string serving;
    std::string filling;
    /// Growth of the tail, as a share of its target, for a whole worker's use; and its variance.
    float mean = 0;
    float variance = 0;
};

/// Learns which images that fill disturb which images that serve, from the response times of
/// serving tasks and what ran beside them. Most pairs do not disturb each other at all.
class TailInterference
{
public:
    TailInterference();

    /// Takes in one reading.
    /// @param[in] tailRatio tail over target
    void observe(std::string_view serving, double tailRatio,
                 std::span<const BackfillNeighbour> neighbours);

    /// Number of an image, for the calls that are made often.
    batch::Index intern(std::string_view image) { return indexOf(image); }
    [[nodiscard]] double expected(batch::Index serving, batch::Index filling, double share) const
    {
        return m_model.expected(serving, filling, 0) * share;
    }
    [[nodiscard]] bool isHarmless(batch::Index serving, batch::Index filling, double share) const;

    /// By how much of its target the tail of `serving` is expected to grow if a task of `filling`
    /// uses `share` of the worker beside it; never negative.
    [[nodiscard]] double expected(std::string_view serving, std::string_view filling,
                                  double share) const;

    /// True when enough has been seen of the pair to say that a task of `filling` with that share
    /// does not disturb `serving`.
    [[nodiscard]] bool isHarmless(std::string_view serving, std::string_view filling,
                                  double share) const;

    /// Every pair that readings have said something of.
    [[nodiscard]] std::vector<InterferenceEstimate> estimates() const;
    /// Takes over what another one has learnt.
    void restore(std::span<const InterferenceEstimate> pairs);

private:
    [[nodiscard]] batch::Index indexOf(std::string_view image);
    [[nodiscard]] batch::Index findIndex(std::string_view image) const;

    batch::InterferenceModel m_model;
    std::unordered_map<std::string, batch::Index> m_indexes;
    std::vector<batch::CoRunner> m_coRunners;
    /// Pairs that have been read, serving first.
    std::set<std::pair<batch::Index, batch::Index>> m_observedPairs;
};

} // namespace acaciafork::jobs
