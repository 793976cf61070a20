// Runs every registered CppUnit test of one executable, or only those whose names contain the first argument.
// Tests listed in the file named by LABURNUMFLOW_KNOWN_RED ("test: Suite::case") are printed and passed over.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace {

std::set<std::string> readKnownRed()
{
    std::set<std::string> names;
    const char *path = std::getenv("LABURNUMFLOW_KNOWN_RED");
    if (path == nullptr) {
        return names;
    }
    constexpr std::string_view prefix = "test: ";
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(prefix)) {
            names.insert(line.substr(prefix.size()));
        }
    }
    return names;
}

void runTests(CppUnit::Test &test, const std::set<std::string> &knownRed, std::string_view filter, CppUnit::TestResult &result)
{
    if (test.getChildTestCount() > 0) {
        for (int i = 0; i < test.getChildTestCount(); ++i) {
            runTests(*test.getChildTestAt(i), knownRed, filter, result);
        }
        return;
    }
    const std::string name = test.getName();
    const bool requested = !filter.empty() && name.find(filter) != std::string::npos;
    if (!filter.empty() && !requested) {
        return;
    }
    if (!requested && knownRed.contains(name)) {
        std::cout << "known red, passed over: " << name << '\n';
        return;
    }
    test.run(&result);
}

} // namespace

int main(int argc, char **argv)
{
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);

    const std::unique_ptr<CppUnit::Test> suite(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runTests(*suite, readKnownRed(), argc > 1 ? argv[1] : "", result);

    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const int failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
