#include "Bench/PausedPlatform.h"

#include <thread>

namespace Bench {

Platform::Services PausedPlatform::services()
{
    auto self = shared_from_this();
    return {
        .table = {
            .get = [self](const std::string& key) {
                auto answer = self->m_services.table.get(key);
                self->hold();
                return answer; },
            .scan = [self](const Platform::Range& range) {
                auto answer = self->m_services.table.scan(range);
                self->hold();
                return answer; },
            .commit = [self](const Platform::Transaction& transaction) {
                // Held before the write: the process wakes up and writes what it decided long ago.
                self->hold();
                return self->m_services.table.commit(transaction); },
        },
        .objects = {
            .get = [self](const std::string& key) {
                auto answer = self->m_services.objects.get(key);
                self->hold();
                return answer; },
            .put = [self](const std::string& key, const std::string& bytes, const std::string& etag) {
                self->hold();
                return self->m_services.objects.put(key, bytes, etag); },
        },
        .instances = [self] {
            auto answer = self->m_services.instances();
            self->hold();
            return answer; },
    };
}

void PausedPlatform::hold() const
{
    constexpr auto interval = std::chrono::milliseconds(5);
    while (m_paused)
        std::this_thread::sleep_for(interval);
}

}
