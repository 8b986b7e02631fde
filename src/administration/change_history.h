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

/// All objects together; the oldest entries are dropped first. At about 1 KB each this takes 4 MB.
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

/// Records how the applied configuration changed since this daemon started. Versions of an object
/// that arrived together appear as one entry.
class ChangeHistory
{
public:
    using Finder = std::function<const StoredObject *(ObjectKind, const std::string &)>;

    /// The first view is the baseline and adds no entries.
    void observe(const std::shared_ptr<const ConfigurationView> &view, const Finder &find);

    /// Newest first.
    std::vector<HistoryEntry> find(ObjectKind kind, const std::string &name) const;
    /// Version of the baseline.
    ResourceVersion since() const { return since_; }

private:
    std::shared_ptr<const ConfigurationView> last_;
    ResourceVersion since_;
    std::deque<HistoryEntry> entries_;
};

} // namespace pistachiowood

#endif
