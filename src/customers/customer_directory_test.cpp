#include "customers/customer_directory.h"

#include <CppUTest/TestHarness.h>

using namespace pistachiowood;

namespace {

Customer makeCustomer(const std::string &name, std::vector<std::string> keys)
{
    return {CustomerName(name), std::move(keys), 1, std::nullopt};
}

std::shared_ptr<const CustomerDirectory> buildDirectory(std::vector<Customer> customers)
{
    return std::get<std::shared_ptr<const CustomerDirectory>>(
        capture([&] { return CustomerDirectory::build(std::move(customers)); }));
}

std::string errorOf(std::vector<Customer> customers)
{
    const auto built = capture([&] { return CustomerDirectory::build(std::move(customers)); });
    const auto *error = std::get_if<Error>(&built);
    return error ? error->message : "";
}

} // namespace

TEST_GROUP(CustomerDirectory){};

// Guards against a caller that is served under the key of nobody or of another customer.
TEST(CustomerDirectory, onlyWholeKeysFindTheirCustomer)
{
    const auto directory = buildDirectory(
        {makeCustomer("miny", {"k1aaa", "k2bbb", "k1aaa"}), makeCustomer("ores", {"k3ccc"})});
    CHECK_TRUE(directory->findByKey("k2bbb") == CustomerName("miny"));
    CHECK_TRUE(directory->findByKey("k3ccc") == CustomerName("ores"));
    for (const std::string key : {"", "k", "k2bb", "k2bbbb", "K2BBB", "k1aaak2bbb", "miny"})
        CHECK_FALSE(directory->findByKey(key).has_value());
    LONGS_EQUAL(3, directory->keyCount());
}

// Guards against an empty key, which every caller without a key presents.
TEST(CustomerDirectory, emptyKeyIsNoKey)
{
    CHECK_FALSE(buildDirectory({makeCustomer("miny", {""})})->findByKey("").has_value());
}

// Guards against a key that decides by the order of the configuration whose caller it is, and
// against an error that holds it.
TEST(CustomerDirectory, ambiguousCustomersAreRefused)
{
    const std::string shared =
        errorOf({makeCustomer("miny", {"k1aaa"}), makeCustomer("ores", {"k1aaa"})});
    STRCMP_EQUAL("a key of ores is also one of miny", shared.c_str());
    const std::string named =
        errorOf({makeCustomer("miny", {"k1aaa"}), makeCustomer("miny", {"k2bbb"})});
    STRCMP_EQUAL("two customers are named miny", named.c_str());
}

// Guards against a look-up that fails once the table has grown.
TEST(CustomerDirectory, holdsHundredThousandKeys)
{
    std::vector<Customer> customers(100);
    for (std::size_t i = 0; i < 100'000; ++i)
        customers.at(i % 100).keys.push_back("bkf83fgfwrz56a" + std::to_string(100'000 + i));
    for (std::size_t i = 0; i < 100; ++i)
        customers.at(i).name = CustomerName("c" + std::to_string(i));
    const auto directory = buildDirectory(std::move(customers));
    LONGS_EQUAL(100'000, directory->keyCount());
    for (std::size_t i = 0; i < 100'000; ++i)
        CHECK_TRUE(directory->findByKey("bkf83fgfwrz56a" + std::to_string(100'000 + i))
                   == CustomerName("c" + std::to_string(i % 100)));
}
