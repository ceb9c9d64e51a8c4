#include "Operator/RecordCommands.h"

#include <fmt/format.h>

#include "Operator/ExitCode.h"
#include "Operator/RecordText.h"
#include "Operator/TextDiff.h"

namespace Operator {

namespace {

    using Records::WriteAnswer;
    using Records::WriteRequest;
    using Records::WriteState;

    int applied(const RecordContext& context, const WriteRequest& request, const WriteAnswer& answer)
    {
        auto kind = std::string(Common::nameOf(Records::changeKindNames, request.kind));
        Json::Value json;
        json["service"] = request.service;
        json["kind"] = kind;
        json["revision"] = Json::UInt64(answer.revision);
        context.out(context.json ? lineOf(json) : fmt::format("{}: {} is revision {}", request.service, kind, answer.revision));
        return toInt(ExitCode::Ok);
    }

    // What others changed since the revision the operator expected, when the store still has it.
    void showChangeSince(const RecordContext& context, const WriteRequest& request, const Records::RecordChange& found)
    {
        if (request.expect == 0)
            return;
        auto expected = Records::readChange(context.platform.table, request.expect);
        if (expected && expected.value() && expected.value()->service == request.service)
            context.err(textDiff(formsText(*expected.value()), formsText(found)));
    }

    int conflict(const RecordContext& context, const WriteRequest& request, const WriteAnswer& answer)
    {
        if (!answer.found) {
            context.err(fmt::format("{}: there is no record of this service", request.service));
            return toInt(ExitCode::Conflict);
        }
        if (request.kind == Records::ChangeKind::Put)
            context.err(fmt::format("{}: exists already as {}; use replace --expect {}", request.service, changeText(*answer.found), answer.found->revision));
        else
            context.err(fmt::format("{}: expected revision {}, found {}; nothing was changed", request.service, request.expect, changeText(*answer.found)));
        showChangeSince(context, request, *answer.found);
        return toInt(ExitCode::Conflict);
    }

    int unsettled(const RecordContext& context, const WriteRequest& request, const WriteAnswer& answer)
    {
        context.err(fmt::format("{}: unsettled: the change may have been or may still be applied as revision {} ({}); "
                                "look with `record history {}` before trying again",
            request.service, answer.revision, answer.text, request.service));
        return toInt(ExitCode::Unsettled);
    }

    int write(const RecordContext& context, const WriteRequest& request)
    {
        auto answer = Records::writeRecord(context.write, context.platform.table, request);
        switch (answer.state) {
        case WriteState::Applied:
            return applied(context, request, answer);
        case WriteState::Conflict:
        case WriteState::NotFound:
            return conflict(context, request, answer);
        case WriteState::Unsettled:
            return unsettled(context, request, answer);
        case WriteState::Unavailable:
            break;
        }
        context.err(fmt::format("{}: nothing was changed, the store did not take it in time: {}", request.service, answer.text));
        return toInt(ExitCode::Unreachable);
    }

    // The request for files that pass the check; nothing when they do not.
    std::optional<WriteRequest> requestOf(const RecordContext& context, const std::vector<Records::RecordFile>& files)
    {
        std::vector<Common::FileError> errors;
        auto service = Records::checkForms(files, errors);
        for (const auto& error : errors)
            context.err(Common::describe(error));
        if (!service)
            return std::nullopt;
        WriteRequest request { .service = *service, .by = context.by, .forms = {} };
        for (const auto& file : files)
            request.forms.push_back(file.text);
        return request;
    }

    int showDryRun(const RecordContext& context, const WriteRequest& request)
    {
        auto row = Records::readRecord(context.platform.table, request.service);
        if (!row) {
            context.err(fmt::format("{}: the store does not answer: {}", request.service, row.error().text));
            return toInt(ExitCode::Unreachable);
        }
        const auto& found = row.value().change;
        if (!found || found->retired() || found->revision != request.expect)
            return conflict(context, request, { .state = WriteState::Conflict, .nonce = {}, .found = found, .text = {} });
        auto diff = textDiff(formsText(*found), formsText({ .service = {}, .by = {}, .nonce = {}, .forms = request.forms }));
        context.out(diff.empty() ? fmt::format("{}: no difference", request.service) : diff);
        return toInt(ExitCode::Ok);
    }

}

int putRecord(const RecordContext& context, const std::vector<Records::RecordFile>& files)
{
    auto request = requestOf(context, files);
    return request ? write(context, *request) : toInt(ExitCode::InvalidFile);
}

int replaceRecord(const RecordContext& context, const std::vector<Records::RecordFile>& files, std::uint64_t expect, bool dryRun)
{
    auto request = requestOf(context, files);
    if (!request)
        return toInt(ExitCode::InvalidFile);
    request->kind = Records::ChangeKind::Replace;
    request->expect = expect;
    return dryRun ? showDryRun(context, *request) : write(context, *request);
}

int retireRecord(const RecordContext& context, const std::string& service, std::uint64_t expect)
{
    return write(context, { .kind = Records::ChangeKind::Retire, .service = service, .expect = expect, .by = context.by, .forms = {} });
}

}
