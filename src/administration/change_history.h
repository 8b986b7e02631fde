#ifndef PISTACHIOWOOD_ADMINISTRATION_CHANGE_HISTORY_H
#define PISTACHIOWOOD_ADMINISTRATION_CHANGE_HISTORY_H

#include "configuration/configuration_store.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pistachiowood {

/// Limit for all objects together; the oldest entries are dropped first. Entries of about 1 KB each
/// take 4 MB.
inline constexpr std::size_t maxHistoryEntries = 4096;

/// One version of an object that this daemon has applied.
struct HistoryEntry
{
    ObjectKind kind = ObjectKind::DatabaseService;
    std::string name;
    ResourceVersion version; ///< of a deletion: the configuration version that lacked the object
    std::string operationId;
    bool deleted = false;
    std::vector<std::string> diff;
};

/// Records how the applied configuration has changed since this daemon started. Several
/// versions of an object that were applied in one step appear as one entry.
class ChangeHistory
{
public:
    using ObjectLookup = std::function<const StoredObject *(ObjectKind, const std::string &)>;

    /// Adds entries for the differences from the previous view. The first view is the baseline and
    /// adds none.
    void observe(const std::shared_ptr<const ConfigurationView> &view, const ObjectLookup &find);

    /// Newest first.
    std::vector<HistoryEntry> find(ObjectKind kind, const std::string &name) const;
    ResourceVersion baselineVersion() const { return baselineVersion_; }

private:
    std::shared_ptr<const ConfigurationView> lastView_;
    ResourceVersion baselineVersion_;
    std::deque<HistoryEntry> entries_;
};

} // namespace pistachiowood

#endif
