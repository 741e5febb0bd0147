#pragma once

#include <map>
#include <string>
#include <vector>

#include "acaciafork/decisions/jobs/Placer.h"

namespace acaciafork::jobs {

/// The usable workers of one placement round, with the amounts that decide whether a task fits, in
/// one array per pool.
///
/// Answers the load of many waiting steps on many workers: a step that fits nowhere costs one pass
/// over an array, and a step of many tasks is ranked once instead of once per task. The choices are
/// those of Placer::choose().
class PlacementRound
{
public:
    /// @param[in] placer must outlive the round
    explicit PlacementRound(const Placer *placer)
        : m_placer(placer)
    { }

    /// Discards the candidates; the next rank() collects them again.
    void reset() { m_isCollected = false; }

    /// Ranks the workers on which a task of the step fits now.
    /// @param[in] workers must not change until the next reset(), except by placed()
    void rank(Timestamp now, const WorkerTable &workers, const Step &step);

    /// Best worker for a task of the ranked step that has no run, or null when none has enough free
    /// capacity. A chosen worker must be passed on by placed().
    Worker *choose(const Task &task);

    /// Ranks the chosen worker again, after a task was reserved on it.
    void placed();

    /// True when a task of the ranked step fits on a worker that is kept for another step.
    [[nodiscard]] bool wasTurnedAway() const { return m_wasTurnedAway; }

    /// Calls `fn` for each usable worker of a pool; for none before the first rank().
    template <typename Fn>
    void forEachWorker(const std::string &pool, const Fn &fn) const
    {
        const auto it = m_pools.find(pool);
        if (!m_isCollected || it == m_pools.end())
            return;
        for (const Candidate &candidate : it->second)
            fn(*candidate.worker);
    }

private:
    /// A worker and the amounts that a quick look needs.
    struct Candidate
    {
        Worker *worker = nullptr;
        Size free;
        std::int64_t unusedMillicores = 0;

        void update();
        [[nodiscard]] bool mayFit(const Size &reserved, const StepSpec &spec) const;
    };
    /// A candidate and its score for the ranked step.
    struct Ranked
    {
        double score = 0;
        std::size_t candidate = 0;

        /// Orders by score; among equals the earlier worker is the better one.
        bool operator<(const Ranked &other) const
        {
            return score < other.score || (score == other.score && candidate > other.candidate);
        }
    };

    void collect(Timestamp now, const WorkerTable &workers);
    void rankAll();
    void add(std::size_t candidate);
    [[nodiscard]] Ranked takeBest();
    /// Drops the best candidates as long as an exploratory start that was placed in this round
    /// holds the step back from them.
    void dropHeldBack();

    const Placer *m_placer;
    bool m_isCollected = false;
    std::map<std::string, std::vector<Candidate>, std::less<>> m_pools;

    Timestamp m_now;
    const Step *m_step = nullptr;
    std::vector<Candidate> *m_candidates = nullptr;
    /// Heap of the candidates on which the step fits.
    std::vector<Ranked> m_ranked;
    std::size_t m_chosen = 0;
    bool m_wasTurnedAway = false;
};

} // namespace acaciafork::jobs
