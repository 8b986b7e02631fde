#ifndef PISTACHIOWOOD_CUSTOMERS_CUSTOMER_DIRECTORY_H
#define PISTACHIOWOOD_CUSTOMERS_CUSTOMER_DIRECTORY_H

#include <pistachiowood/error.h>
#include <pistachiowood/ids.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachiowood {

/// Operations that a customer may start, counted over all daemons.
struct OperationLimit
{
    double ratePerSecond = 0;
    double burst = 0; ///< operations above the rate after a pause

    friend bool operator==(const OperationLimit &, const OperationLimit &) = default;
};

/// One customer of the configuration.
struct Customer
{
    CustomerName name;
    std::vector<std::string> keys; ///< secrets; must not be logged
    unsigned priority = 0; ///< 0 is the highest
    std::optional<OperationLimit> limit; ///< nullopt: not limited
};

/// Customers of one version of the configuration, by name and by key. Immutable, so that threads
/// can share it.
class CustomerDirectory
{
public:
    /// What is kept of a customer besides its keys.
    struct Entry
    {
        unsigned priority = 0;
        std::optional<OperationLimit> limit;
    };

    /// Fails if two customers have the same name or key. The error never holds a key.
    static Result<std::shared_ptr<const CustomerDirectory>> build(std::vector<Customer> customers);
    ~CustomerDirectory();

    /// The customer that holds the key; nullopt if none does. The time does not depend on the
    /// number of keys, nor on how much of a wrong key is right.
    std::optional<CustomerName> findByKey(std::string_view key) const;
    /// Null if there is no such customer.
    const Entry *find(const CustomerName &name) const;
    const std::map<CustomerName, Entry> &customers() const;
    /// Number of different keys.
    std::size_t keyCount() const;

private:
    CustomerDirectory();

    struct Private;
    std::unique_ptr<Private> private_;
};

} // namespace pistachiowood

#endif
