#include "Soak/OddAnswers.h"

#include <set>

#include <doctest/doctest.h>

#include "Net/HttpMessage.h"

// Guards against a soak that passes because no odd answer was sent.
TEST_CASE("Odd answers are of seven malformed forms, and some answers stay as they are")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nanswer to 1";
    const std::string probeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    Soak::OddAnswers odd(1);
    std::set<std::string> forms;
    constexpr int answers = 200;
    for (int i = 0; i < answers; ++i)
        forms.insert(odd.spoil(answer));
    CHECK(forms.erase(answer) == 1);
    CHECK(forms.size() == 7);
    for (const auto& form : forms) {
        CAPTURE(form);
        CHECK(!Net::parseResponseHead(form.substr(0, *Net::headSize(form)), true).head);
    }
    CHECK(odd.spoiledHeads() > answers / 4);
    for (int i = 0; i < answers; ++i)
        CHECK(odd.spoil(probeAnswer) == probeAnswer);
}

TEST_CASE("Only long uploads are answered early, without a length")
{
    struct Upload {
        const char* what;
        std::string bytes;
        bool isLong;
    };
    const Upload uploads[] = {
        { "long", "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 400000\r\n\r\nxxx", true },
        { "short", "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\nxxx", false },
        { "none", "GET /safe/x HTTP/1.1\r\nHost: h\r\n\r\n", false },
        { "later bytes of a long one", "xxx", false },
    };
    Soak::OddAnswers odd(1);
    for (const auto& upload : uploads) {
        CAPTURE(upload.what);
        auto early = odd.earlyAnswer(upload.bytes);
        CHECK(early.has_value() == upload.isLong);
        if (early) {
            auto head = Net::parseResponseHead(early->substr(0, *Net::headSize(*early)), true).head;
            CHECK((head && head->framing == Net::Framing::UntilClose));
        }
    }
    CHECK(odd.earlyAnswers() == 1);
}
