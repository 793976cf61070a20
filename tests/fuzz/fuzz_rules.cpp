#include "platform/rulesdocument.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace LaburnumFlow;

/// Guards against an operator's configuration that ends the entry's process.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char *>(data), size);
    if (const auto rules = Platform::parseRules(text)) {
        rules->table.find("h:80", "/p/5c0e7a21d94b36f8");
    }
    return 0;
}
