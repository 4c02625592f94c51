#include "version/checked_json.h"

#include "version/configuration.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>

namespace eelgrassnotch::version
{

namespace
{

constexpr std::size_t maxNameLength = 128;
constexpr std::size_t maxShownLength = 60;

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.';
}

std::string formatNumber(double number)
{
    return nlohmann::json(number).dump();
}

}

CheckedJson::CheckedJson(const nlohmann::json &value, std::string pointer)
    : value(&value)
    , pointer(std::move(pointer))
{
}

void CheckedJson::fail(const std::string &problem) const
{
    throw ConfigurationError(this->pointer, problem + ", found " + this->shown());
}

void CheckedJson::allowOnly(std::initializer_list<std::string_view> keys) const
{
    if (!this->value->is_object()) {
        this->fail("must be an object");
    }
    for (const auto &[key, member] : this->value->items()) {
        if (std::find(keys.begin(), keys.end(), key) != keys.end()) {
            continue;
        }
        std::string allowed;
        for (const std::string_view name : keys) {
            allowed += (allowed.empty() ? "" : ", ") + std::string(name);
        }
        CheckedJson(member, this->pointer + "/" + key).fail("is not a known key, allowed are: " + allowed);
    }
}

bool CheckedJson::has(const char *key) const
{
    return this->value->is_object() && this->value->contains(key);
}

CheckedJson CheckedJson::member(const char *key) const
{
    if (!this->has(key)) {
        throw ConfigurationError(this->pointer + "/" + key, "must be given");
    }
    return CheckedJson((*this->value)[key], this->pointer + "/" + key);
}

std::vector<CheckedJson> CheckedJson::array(const char *key) const
{
    std::vector<CheckedJson> elements;
    if (!this->has(key)) {
        return elements;
    }
    const CheckedJson list = this->member(key);
    if (!list.value->is_array()) {
        list.fail("must be an array");
    }
    for (std::size_t index = 0; index < list.value->size(); ++index) {
        elements.emplace_back((*list.value)[index], list.pointer + "/" + std::to_string(index));
    }
    return elements;
}

std::string CheckedJson::text() const
{
    if (!this->value->is_string()) {
        this->fail("must be a string");
    }
    return this->value->get<std::string>();
}

std::string CheckedJson::name() const
{
    std::string name = this->text();
    const bool wellFormed = !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), isNameCharacter);
    if (!wellFormed) {
        this->fail("must be 1 to 128 letters, digits, '-', '_' or '.'");
    }
    return name;
}

std::string CheckedJson::ipNumber() const
{
    std::string address = this->text();
    unsigned char parsed[sizeof(in6_addr)] = {};
    if (inet_pton(AF_INET, address.c_str(), parsed) != 1 && inet_pton(AF_INET6, address.c_str(), parsed) != 1) {
        this->fail("must be an IP number");
    }
    return address;
}

std::int64_t CheckedJson::integer(std::int64_t smallest, std::int64_t largest) const
{
    const bool inRange
        = this->value->is_number_integer() && this->value->get<std::int64_t>() >= smallest && this->value->get<std::int64_t>() <= largest;
    if (!inRange) {
        this->fail("must be an integer from " + std::to_string(smallest) + " to " + std::to_string(largest));
    }
    return this->value->get<std::int64_t>();
}

double CheckedJson::number(const char *key, double fallback, double smallest, double largest) const
{
    if (!this->has(key)) {
        return fallback;
    }
    const CheckedJson found = this->member(key);
    const bool inRange = found.value->is_number() && found.value->get<double>() >= smallest && found.value->get<double>() <= largest;
    if (!inRange) {
        found.fail("must be a number from " + formatNumber(smallest) + " to " + formatNumber(largest));
    }
    return found.value->get<double>();
}

bool CheckedJson::boolean(const char *key, bool fallback) const
{
    if (!this->has(key)) {
        return fallback;
    }
    const CheckedJson found = this->member(key);
    if (!found.value->is_boolean()) {
        found.fail("must be true or false");
    }
    return found.value->get<bool>();
}

std::string CheckedJson::shown() const
{
    const std::string dumped = this->value->dump();
    return dumped.size() <= maxShownLength ? dumped : dumped.substr(0, maxShownLength) + "...";
}

}
