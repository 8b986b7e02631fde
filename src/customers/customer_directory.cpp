#include "customers/customer_directory.h"

#include <unordered_map>
#include <utility>

namespace pistachiowood {

struct CustomerDirectory::Private
{
    std::map<CustomerName, Entry> customers;
    std::unordered_map<std::string, CustomerName> keys;
};

CustomerDirectory::CustomerDirectory()
    : private_(std::make_unique<Private>())
{
}

CustomerDirectory::~CustomerDirectory() = default;

Result<std::shared_ptr<const CustomerDirectory>>
CustomerDirectory::build(std::vector<Customer> customers)
{
    std::shared_ptr<CustomerDirectory> directory(new CustomerDirectory);
    for (Customer &customer : customers) {
        const Entry entry{customer.priority, customer.limit};
        if (!directory->private_->customers.emplace(customer.name, entry).second)
            return makeError(ErrorCode::InvalidArgument,
                             "two customers are named " + customer.name.value());
        for (std::string &key : customer.keys) {
            if (!directory->private_->keys.emplace(std::move(key), customer.name).second)
                return makeError(ErrorCode::InvalidArgument,
                                 "a key of " + customer.name.value() + " is not unique");
        }
    }
    return std::shared_ptr<const CustomerDirectory>(std::move(directory));
}

std::optional<CustomerName> CustomerDirectory::findByKey(std::string_view key) const
{
    const auto found = private_->keys.find(std::string(key));
    if (found == private_->keys.end())
        return std::nullopt;
    return found->second;
}

const CustomerDirectory::Entry *CustomerDirectory::find(const CustomerName &name) const
{
    const auto found = private_->customers.find(name);
    return found == private_->customers.end() ? nullptr : &found->second;
}

const std::map<CustomerName, CustomerDirectory::Entry> &CustomerDirectory::customers() const
{
    return private_->customers;
}

} // namespace pistachiowood
