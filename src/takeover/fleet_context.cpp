#include "takeover/fleet_context.h"

namespace pistachiowood {

void FleetContext::putRecord(const std::string &name, std::optional<ResourceVersion> expected,
                             const std::string &text,
                             std::function<void(const StoreOutcome<ResourceVersion> &)> callback)
{
    store.putRecord(name, expected, text, recordTimeout,
                    [this, alive = alive, name, text,
                     callback = std::move(callback)](const StoreOutcome<ResourceVersion> &outcome) {
                        if (!*alive)
                            return;
                        if (const auto *version = std::get_if<ResourceVersion>(&outcome))
                            records().takeOwnChange({name, *version, text});
                        callback(outcome);
                    });
}

} // namespace pistachiowood
