// The only worker of its kind fails all that it starts for some seconds. The tasks that failed there never start again, although it is sound and idle.

#include "standins/casemain.h"

using namespace Review;

int main(int argc, char **argv)
{
    return runCase(argc, argv, [](CaseSite &site, JobClient &client, Record &record, bool trouble) {
        site.putConfig(1, 4);
        site.startEntries(3);
        addWorkers(site);
        if (!site.waitUntilReady()) {
            return couldNotRun;
        }
        const StepShape anyKind;
        const StepShape kindB{.requires_ = "b"};
        std::thread others([&] { client.submitFor("any", anyKind, 20s, 50ms); });
        client.submitFor("kind b", kindB, 4s, 400ms);
        if (trouble) {
            record.write("disruption: worker i-11, the only one of kind b, fails all that it starts, for 6.5 s");
            site.workers().back()->failAll(true);
        }
        client.submitFor("kind b", kindB, 6500ms, 400ms);
        site.workers().back()->failAll(false);
        record.write("worker i-11 is sound");
        client.submitFor("kind b", kindB, 9s, 400ms);
        others.join();
        return judgeLost(client, record);
    });
}
