#pragma once

#include <functional>
#include <vector>

#include "Requests/Call.h"

namespace Requests {

class Next;

// One step for each request: it may answer the call itself, or go on and look at the answer afterwards.
using Filter = std::function<void(Call&, const Next&)>;

// The rest of the chain behind a filter.
class Next {
public:
    Next(const std::vector<Filter>& filters, std::size_t index)
        : m_filters(filters)
        , m_index(index)
    {
    }

    void operator()(Call&) const;

private:
    const std::vector<Filter>& m_filters;
    std::size_t m_index;
};

// The ordered filters that every request passes. Immutable once built, so safe to run from many threads.
class FilterChain {
public:
    explicit FilterChain(std::vector<Filter> filters)
        : m_filters(std::move(filters))
    {
    }

    void run(Call&) const;

private:
    std::vector<Filter> m_filters;
};

}
