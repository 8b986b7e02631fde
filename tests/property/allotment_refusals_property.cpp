// Guards against refusals of operations that are below the limit of their customer.
#include "allotment_simulation.h"

int main()
{
    CalmCounts start;
    CalmCounts calm;
    bool passed = checkProperty("nothing below the limit is refused in calm", [&] {
        Simulation simulation(*rc::gen::arbitrary<std::uint64_t>(), false);
        const CalmCounts first = runCalm(simulation, 2s);
        start.arrivals += first.arrivals;
        start.refused += first.refused;
        const CalmCounts later = runCalm(simulation, 28s);
        calm.arrivals += later.arrivals;
        calm.refused += later.refused;
        RC_ASSERT(first.refused + later.refused == 0U);
    });
    std::cout << "refused in calm: " << calm.refused << " of " << calm.arrivals
              << "; in the first 2 s: " << start.refused << " of " << start.arrivals << '\n';
    passed = checkProperty("nothing below the limit is refused after faults have ended",
                           [] {
                               Simulation simulation(*rc::gen::arbitrary<std::uint64_t>(), true);
                               simulation.startFaults();
                               simulation.run(45s);
                               simulation.endFaults();
                               simulation.run(25s);
                               RC_ASSERT(runCalm(simulation, 5s).refused == 0U);
                           })
             && passed;
    passed = checkProperty("a customer at its limit keeps half of its rate while the coordinator "
                           "is replaced",
                           [] {
                               Simulation simulation(*rc::gen::arbitrary<std::uint64_t>(), false);
                               std::fill(simulation.demand.begin(), simulation.demand.end(), 7.5);
                               simulation.run(10s);
                               simulation.loseCoordinator();
                               const std::size_t before = simulation.admitted[0].size();
                               simulation.run(20s);
                               const auto served =
                                   static_cast<double>(simulation.admitted[0].size() - before);
                               RC_ASSERT(served > 20 * simulation.limits[0].ratePerSecond / 2);
                           })
             && passed;
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
