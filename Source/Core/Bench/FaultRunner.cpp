#include "Bench/FaultRunner.h"

#include <algorithm>

namespace Bench {

namespace {

    struct Step {
        Common::Duration at;
        bool begins = true;
        const Fault* fault = nullptr;
    };

    std::vector<Step> stepsOf(const std::vector<Fault>& faults)
    {
        std::vector<Step> steps;
        for (const auto& fault : faults) {
            steps.push_back({ .at = fault.at, .begins = true, .fault = &fault });
            if (fault.length > Common::Duration::zero())
                steps.push_back({ .at = fault.at + fault.length, .begins = false, .fault = &fault });
        }
        std::stable_sort(steps.begin(), steps.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
        return steps;
    }

}

FaultRunner::FaultRunner(std::vector<Fault> faults, FaultHooks hooks)
    : m_faults(std::move(faults))
    , m_hooks(std::move(hooks))
{
}

FaultRunner::~FaultRunner()
{
    stop();
}

void FaultRunner::start(Common::TimePoint start)
{
    m_thread = std::thread([this, start] { run(start); });
}

void FaultRunner::stop()
{
    m_stopping = true;
    if (m_thread.joinable())
        m_thread.join();
    for (auto& thread : m_longOnes)
        thread.join();
    m_longOnes.clear();
}

void FaultRunner::run(Common::TimePoint start)
{
    constexpr auto longestSleep = std::chrono::milliseconds(20);
    for (const auto& step : stepsOf(m_faults)) {
        while (std::chrono::steady_clock::now() < start + step.at) {
            if (m_stopping)
                return;
            std::this_thread::sleep_until(std::min<Common::TimePoint>(start + step.at, Common::TimePoint(std::chrono::steady_clock::now()) + longestSleep));
        }
        const auto& hook = step.begins ? m_hooks.begin : m_hooks.end;
        if (isServerFault(step.fault->kind) || isPlatformFault(step.fault->kind))
            hook(*step.fault);
        else
            m_longOnes.emplace_back([&hook, fault = step.fault] { hook(*fault); });
    }
}

}
