// The only worker of its kind is lost for good. Jobs that need this kind wait from then on; after some seconds no other job starts either.

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
        client.submitFor("any", anyKind, 4s, 50ms);
        if (trouble) {
            record.write("disruption: worker i-11, the only one of kind b, is lost for good");
            site.workers().back()->crash();
        }
        std::thread others([&] { client.submitFor("any", anyKind, 24s, 50ms); });
        client.submitFor("kind b", kindB, 24s, 80ms);
        others.join();
        return judgeLost(client, record);
    });
}
