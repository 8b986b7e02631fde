#include "customers/customer_directory.h"

#include "base/random.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <openssl/crypto.h>
#include <xxhash.h>

#include <utility>

namespace pistachiowood {

namespace {

// Callers choose what is looked up, but not what is in the table. A seed that they don't know keeps
// them from learning by timing which slot a key takes.
struct KeyHash
{
    using is_avalanching = void;

    std::size_t operator()(std::string_view key) const
    {
        static const std::uint64_t seed = drawSeed();
        return XXH3_64bits_withSeed(key.data(), key.size(), seed);
    }
};

// Takes the same time wherever two keys of equal length differ.
struct KeyEqual
{
    bool operator()(std::string_view left, std::string_view right) const
    {
        return left.size() == right.size()
               && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
    }
};

} // namespace

struct CustomerDirectory::Private
{
    std::map<CustomerName, Entry> customers;
    std::string keyText; ///< all keys, one after the other
    /// Views of keyText, and the names in `customers`.
    boost::unordered_flat_map<std::string_view, const CustomerName *, KeyHash, KeyEqual> keys;
};

CustomerDirectory::CustomerDirectory()
    : private_(std::make_unique<Private>())
{
}

CustomerDirectory::~CustomerDirectory()
{
    OPENSSL_cleanse(private_->keyText.data(), private_->keyText.size());
}

Result<std::shared_ptr<const CustomerDirectory>>
CustomerDirectory::build(std::vector<Customer> customers)
{
    std::shared_ptr<CustomerDirectory> directory(new CustomerDirectory);
    Private &built = *directory->private_;
    std::size_t count = 0;
    std::size_t bytes = 0;
    for (const Customer &customer : customers) {
        count += customer.keys.size();
        for (const std::string &key : customer.keys)
            bytes += key.size();
    }
    built.keyText.reserve(bytes); // keeps the views valid
    built.keys.reserve(count);
    for (const Customer &customer : customers) {
        const Entry entry{customer.priority, customer.limit};
        const auto [found, isNew] = built.customers.emplace(customer.name, entry);
        if (!isNew)
            return makeError(ErrorCode::InvalidArgument,
                             "two customers are named " + customer.name.value());
        for (const std::string &key : customer.keys) {
            if (const auto known = built.keys.find(key); known != built.keys.end()) {
                if (known->second != &found->first)
                    return makeError(ErrorCode::InvalidArgument, "a key of " + customer.name.value()
                                                                     + " is also one of "
                                                                     + known->second->value());
                continue;
            }
            const std::size_t begin = built.keyText.size();
            built.keyText += key;
            built.keys.emplace(std::string_view(built.keyText).substr(begin), &found->first);
        }
    }
    return std::shared_ptr<const CustomerDirectory>(std::move(directory));
}

std::optional<CustomerName> CustomerDirectory::findByKey(std::string_view key) const
{
    const auto found = private_->keys.find(key);
    if (key.empty() || found == private_->keys.end())
        return std::nullopt;
    return *found->second;
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

std::size_t CustomerDirectory::keyCount() const
{
    return private_->keys.size();
}

} // namespace pistachiowood
