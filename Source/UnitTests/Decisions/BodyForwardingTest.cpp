#include "Decisions/BodyForwarding.h"

#include <doctest/doctest.h>

using Decisions::BodyForwarding;

TEST_CASE("What may be done with a request depends on how much of its body is still held")
{
    BodyForwarding whole(true);
    CHECK(whole.maySendAgain());
    CHECK(whole.mayHedge());
    CHECK(whole.isResponseTimed());

    BodyForwarding started(false);
    CHECK(started.maySendAgain());
    CHECK(!started.mayHedge());
    CHECK(!started.isResponseTimed());
    started.onPartForwarded();
    CHECK(!started.maySendAgain());

    whole.onPartForwarded();
    CHECK(whole.maySendAgain());
}
