// Guards against more operations of a customer than its limit and the tolerance allow, under faults
// and when the coordinator is lost.
#include "allotment_simulation.h"

int main()
{
    bool passed = checkProperty("no window exceeds the limit by more than the tolerance", [] {
        Simulation simulation(*rc::gen::arbitrary<std::uint64_t>(), true);
        simulation.startFaults();
        simulation.run(45s);
        simulation.endFaults();
        simulation.run(30s);
        checkWindows(simulation);
    });
    passed = checkProperty("the loss of a coordinator does not raise the limit",
                           [] {
                               Simulation simulation(*rc::gen::arbitrary<std::uint64_t>(), false);
                               std::fill(simulation.demand.begin(), simulation.demand.end(), 7.5);
                               simulation.run(10s);
                               simulation.loseCoordinator();
                               simulation.run(27s);
                               checkWindows(simulation);
                           })
             && passed;
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
