#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace Soak {

// What a server in trouble sends. Must be called on one thread.
class OddAnswers {
public:
    explicit OddAnswers(std::uint64_t seed);

    // The answer to a long upload of which these are the first bytes: a head without a length and a part of a body, after which the
    // connection is to be reset. nullopt: they begin no long upload.
    std::optional<std::string> earlyAnswer(std::string_view requestBytes);
    // Some answers get a status that is none, a field name that is none, or two framings; answers to load probes stay as they are.
    std::string spoil(std::string answerBytes);

    int earlyAnswers() const { return m_earlyAnswers; }
    int spoiledHeads() const { return m_spoiledHeads; }

private:
    std::size_t below(std::size_t bound) { return static_cast<std::size_t>(m_random() % bound); }

    std::mt19937_64 m_random;
    int m_earlyAnswers = 0;
    int m_spoiledHeads = 0;
};

}
