#include "statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace clementinebeam {

latency_summary summarize(std::vector<std::chrono::microseconds> &sample)
{
    latency_summary summary;
    summary.count = sample.size();
    if (sample.empty())
        return summary;
    std::sort(sample.begin(), sample.end());
    const auto percentile = [&](double quantile) {
        const auto index =
                static_cast<std::size_t>(quantile * static_cast<double>(sample.size() - 1));
        return sample[index];
    };
    summary.p50 = percentile(0.5);
    summary.p99 = percentile(0.99);
    summary.p999 = percentile(0.999);
    summary.maximum = sample.back();
    return summary;
}

imbalance_summary measureImbalance(const std::vector<double> &loads)
{
    const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
    if (sum <= 0.0)
        return {};
    const double mean = sum / static_cast<double>(loads.size());
    double squaredDeviations = 0.0;
    for (const double load : loads)
        squaredDeviations += (load - mean) * (load - mean);
    imbalance_summary summary;
    summary.maxOverMean = *std::max_element(loads.begin(), loads.end()) / mean;
    summary.variation = std::sqrt(squaredDeviations / static_cast<double>(loads.size())) / mean;
    return summary;
}

zipf_keys::zipf_keys(std::size_t keys, double exponent)
    : m_cumulative(keys)
{
    double sum = 0.0;
    for (std::size_t rank = 0; rank < keys; ++rank) {
        sum += 1.0 / std::pow(static_cast<double>(rank + 1), exponent);
        m_cumulative[rank] = sum;
    }
    for (auto &value : m_cumulative)
        value /= sum;
}

std::size_t zipf_keys::draw(std::mt19937_64 &random) const
{
    const double uniform = std::uniform_real_distribution<double>(0.0, 1.0)(random);
    const auto found = std::lower_bound(m_cumulative.begin(), m_cumulative.end(), uniform);
    const auto rank = static_cast<std::size_t>(found - m_cumulative.begin());
    return keyAt(std::min(rank, m_cumulative.size() - 1));
}

double zipf_keys::share(std::size_t rank) const
{
    return rank == 0 ? m_cumulative[0] : m_cumulative[rank] - m_cumulative[rank - 1];
}

} // namespace clementinebeam
