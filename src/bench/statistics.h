#pragma once

#include <chrono>
#include <cstddef>
#include <random>
#include <vector>

namespace clementinebeam {

/// Percentiles of a sample of durations.
struct latency_summary {
    std::size_t count = 0;
    std::chrono::microseconds p50{0};
    std::chrono::microseconds p99{0};
    std::chrono::microseconds p999{0};
    std::chrono::microseconds most{0};
};

/// @param sample durations in any order; is sorted.
/// @return its percentiles.
latency_summary summarize(std::vector<std::chrono::microseconds> &sample);

/// Evenness of a load over targets.
struct imbalance_summary {
    double maxOverMean = 0.0;
    double variation = 0.0; ///< Coefficient of variation.
};

/// @param loads load of each target.
/// @return its evenness; zeros if there is no load.
imbalance_summary measureImbalance(const std::vector<double> &loads);

/// Zipf distribution over ranks, with a mapping from ranks to keys that can be changed.
class zipf_keys
{
public:
    /// @param keys number of keys.
    /// @param exponent steepness; 0 is uniform.
    zipf_keys(std::size_t keys, double exponent);

    /// @param random source of randomness.
    /// @return a key's number.
    std::size_t draw(std::mt19937_64 &random) const;

    /// Gives the hottest ranks to other keys.
    /// @param count number of ranks.
    void moveHottest(std::size_t count) { m_shift += count; }

    /// @param rank a rank; 0 is the hottest.
    /// @return its share of all requests.
    double share(std::size_t rank) const;

    /// @param rank a rank.
    /// @return the key that has this rank now.
    std::size_t keyAt(std::size_t rank) const { return (rank + m_shift) % m_cumulative.size(); }

private:
    std::vector<double> m_cumulative;
    std::size_t m_shift = 0;
};

} // namespace clementinebeam
