#include "commands.h"
#include "laburnumctlconstants.h"
#include "options.h"

#include <curl/curl.h>
#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace {

using LaburnumFlow::Ctl::Options;

constexpr const char *commandHelp
    = "COMMAND [ARGUMENT...]\n\n"
      "Commands:\n"
      "  submit                      submit the job in --file (JSON: an object, or an array of tasks)\n"
      "  status [ID]                 state of a job, or of the whole service\n"
      "  cancel ID                   cancel a job\n"
      "  workers                     agents that this entry knows\n"
      "  counters                    counters of this entry\n"
      "  health                      whether this entry answers\n"
      "  drain                       drain this entry; it exits when its work is done\n"
      "  entries confirm-dead NAME   confirm that an entry is gone for good\n"
      "  explain ID FILE...          timeline of a job of laburnumnode from saved logs\n"
      "  nodes ADDRESS:PORT...       what processes of laburnumnode are doing, by their metrics addresses\n"
      "  settings list\n"
      "  settings get|history|check|set|diff TEAM\n"
      "  settings rollback TEAM REVISION\n"
      "  settings explain TEAM [PATH]\n"
      "  settings wait TEAM REVISION\n"
      "TEAM is a team's name or 'root'.\n\n"
      "Exit codes: 0 done, 1 failed, 2 usage, 3 not run, 4 unknown, 5 unreachable, 6 conflict, 7 invalid settings,\n"
      "8 written but not accepted within the time-out\n\n"
      "Options:";

/// popt gives strings that the caller has to free.
class Text
{
public:
    ~Text()
    {
        std::free(value_);
    }

    char **target()
    {
        return &value_;
    }

    void moveTo(std::string &text) const
    {
        if (value_ != nullptr) {
            text = value_;
        }
    }

private:
    char *value_ = nullptr;
};

bool parse(int argc, const char **argv, Options &options)
{
    Text entry;
    Text team;
    Text id;
    Text orderingKey;
    Text file;
    Text author;
    Text changeId;
    int json = 0;
    const poptOption table[] = {
        {"entry", 'e', POPT_ARG_STRING, entry.target(), 0, "HTTP address of an entry (else LABURNUMCTL_ENTRY, else 127.0.0.1:8080)", "ADDRESS:PORT"},
        {"json", 'j', POPT_ARG_NONE, &json, 0, "print the answers' JSON", nullptr},
        {"team", 't', POPT_ARG_STRING, team.target(), 0, "team of the job", "TEAM"},
        {"id", 'i', POPT_ARG_STRING, id.target(), 0, "submission id (UUID version 7); the same id again joins the first submission", "ID"},
        {"ordering-key", 'k', POPT_ARG_STRING, orderingKey.target(), 0, "ordering key of the job", "KEY"},
        {"deadline-ms", 'd', POPT_ARG_INT, &options.deadlineMs, 0, "the job's deadline", "MILLISECONDS"},
        {"timeout-ms", 0, POPT_ARG_INT, &options.timeoutMs, 0, "how long to wait for an answer, 60000 by default", "MILLISECONDS"},
        {"file", 'f', POPT_ARG_STRING, file.target(), 0, "the job or the settings; - or nothing is standard input", "FILE"},
        {"author", 0, POPT_ARG_STRING, author.target(), 0, "author of a settings change (else USER)", "NAME"},
        {"change-id", 0, POPT_ARG_STRING, changeId.target(), 0, "id of a settings change, to repeat one whose answer was lost", "ID"},
        {"revision", 'r', POPT_ARG_LONGLONG, &options.revision, 0, "revision that a settings change is based on", "NUMBER"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(poptGetContext("laburnumctl", argc, argv, table, 0), &poptFreeContext);
    poptSetOtherOptionHelp(context.get(), commandHelp);
    const int code = poptGetNextOpt(context.get());
    if (code < -1) {
        std::cerr << "laburnumctl: " << poptBadOption(context.get(), 0) << ": " << poptStrerror(code) << '\n';
        return false;
    }
    if (const char *fromEnvironment = std::getenv("LABURNUMCTL_ENTRY"); fromEnvironment != nullptr) {
        options.entry = fromEnvironment;
    }
    entry.moveTo(options.entry);
    team.moveTo(options.team);
    id.moveTo(options.id);
    orderingKey.moveTo(options.orderingKey);
    file.moveTo(options.file);
    author.moveTo(options.author);
    changeId.moveTo(options.changeId);
    options.json = json != 0;
    for (const char *argument = poptGetArg(context.get()); argument != nullptr; argument = poptGetArg(context.get())) {
        options.arguments.emplace_back(argument);
    }
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    if (!parse(argc, const_cast<const char **>(argv), options)) {
        return LaburnumFlow::Ctl::exitUsage;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const int code = LaburnumFlow::Ctl::runCommand(options);
    curl_global_cleanup();
    return code;
}
