#pragma once

#include <chrono>
#include <cstddef>
#include <random>
#include <vector>

namespace clementinebeam {

/// Size, percentiles and maximum of a sample of durations.
struct latency_summary {
    std::size_t count = 0;
    std::chrono::microseconds p50{0};
    std::chrono::microseconds p99{0};
    std::chrono::microseconds p999{0};
    std::chrono::microseconds maximum{0};
};

/// Summarizes a sample of durations.
/// @param sample durations in any order; sorted in place.
/// @return its percentiles; all zero if the sample is empty.
latency_summary summarize(std::vector<std::chrono::microseconds> &sample);

/// Imbalance of a load over targets.
struct imbalance_summary {
    double maxOverMean = 0.0; ///< Highest load of a target over the mean; 1 is balanced.
    double variation = 0.0;   ///< Coefficient of variation.
};

/// Measures how unevenly a load is distributed.
/// @param loads load of each target.
/// @return its imbalance; zeros if there is no load.
imbalance_summary measureImbalance(const std::vector<double> &loads);

/// Zipf distribution of keys. The mapping of popularity ranks to keys can be changed.
class zipf_keys
{
public:
    /// @param keys number of keys.
    /// @param exponent exponent of the distribution; 0 is uniform.
    zipf_keys(std::size_t keys, double exponent);

    /// Draws a key at random.
    /// @param random random number generator.
    /// @return the index of the key.
    std::size_t draw(std::mt19937_64 &random) const;

    /// Assigns the hottest ranks to other keys, by shifting the mapping of ranks to keys.
    /// @param count number of ranks to shift by.
    void moveHottest(std::size_t count) { m_rankShift += count; }

    /// @param rank popularity rank; 0 is the hottest.
    /// @return share of the requests that the rank gets, from 0 to 1.
    double share(std::size_t rank) const;

    /// @param rank popularity rank; 0 is the hottest.
    /// @return the index of the key that has this rank now.
    std::size_t keyAt(std::size_t rank) const { return (rank + m_rankShift) % m_cumulative.size(); }

private:
    std::vector<double> m_cumulative;
    std::size_t m_rankShift = 0;
};

} // namespace clementinebeam
