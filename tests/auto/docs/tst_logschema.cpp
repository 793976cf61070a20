#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

using EventFields = std::map<std::string, std::set<std::string>>;

std::string contentOf(const std::filesystem::path &file)
{
    std::ifstream in(file);
    CPPUNIT_ASSERT_MESSAGE(file.string(), in.good());
    return {std::istreambuf_iterator<char>(in), {}};
}

std::set<std::string> matchesOf(const std::string &text, const char *pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator match(text.begin(), text.end(), expression), end; match != end; ++match) {
        found.insert((*match)[1]);
    }
    return found;
}

/// The rows of the table of events in the page: names in the first column, fields in the third.
EventFields documentedEvents()
{
    const std::string page = contentOf(std::filesystem::path(SOURCE_FOLDER) / "docs/OPERATIONS.md");
    std::istringstream lines(page.substr(page.find("| Event | Process | Fields |")));
    EventFields events;
    for (std::string line; std::getline(lines, line) && line.rfind('|', 0) == 0;) {
        const std::size_t process = line.find('|', 1);
        const std::size_t fields = line.find('|', process + 1);
        for (const std::string &event : matchesOf(line.substr(0, process), "`([a-z]+\\.[a-z-]+)`")) {
            events[event] = matchesOf(line.substr(fields), "`([a-z_]+)`");
        }
    }
    return events;
}

/// Statements that name an event, with the fields that they name.
EventFields writtenEvents()
{
    EventFields events;
    const std::regex statement(R"re("([a-z]+\.(?!h")[a-z-]+)"([^;]*);)re");
    for (const char *folder : {"src/libs/jobs", "src/libs/taskagent", "src/libs/entrynode", "src/app/laburnumnode"}) {
        for (const auto &file : std::filesystem::directory_iterator(std::filesystem::path(SOURCE_FOLDER) / folder)) {
            if (file.path().extension() != ".cpp") {
                continue;
            }
            const std::string text = std::regex_replace(contentOf(file.path()), std::regex("#include[^\n]*"), "");
            for (std::sregex_iterator match(text.begin(), text.end(), statement), end; match != end; ++match) {
                const std::string rest = (*match)[2];
                std::set<std::string> &fields = events[(*match)[1]];
                fields.merge(matchesOf(rest, R"re(\{"([a-z_]+)",)re"));
                // One of two events by a condition.
                for (const std::string &other : matchesOf(rest, R"re("([a-z]+\.[a-z-]+)")re")) {
                    events[other].insert(fields.begin(), fields.end());
                }
            }
        }
    }
    return events;
}

} // namespace

class TestLogSchema : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLogSchema);
    CPPUNIT_TEST(pageNamesWhatIsWritten);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against log lines that the operations page does not explain, and against explained ones that no longer exist.
    void pageNamesWhatIsWritten()
    {
        const EventFields documented = documentedEvents();
        const EventFields written = writtenEvents();
        CPPUNIT_ASSERT(written.size() > 30);
        std::string faults;
        for (const auto &[event, fields] : written) {
            const auto row = documented.find(event);
            if (row == documented.end()) {
                faults += "no row: " + event + '\n';
                continue;
            }
            for (const std::string &field : fields) {
                if (row->second.count(field) == 0) {
                    faults.append("no field: ").append(event).append(" ").append(field).append("\n");
                }
            }
        }
        for (const auto &[event, fields] : documented) {
            faults += written.count(event) > 0 ? "" : "not written: " + event + '\n';
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), faults);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestLogSchema);
