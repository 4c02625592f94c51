#pragma once

/** @file JSON values that know their place in the document, for errors that name it. */

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrassnotch::version
{

/**
 * @brief A JSON value with its JSON pointer.
 * @remarks Every accessor throws ConfigurationError with the pointer, the
 * value found and what is allowed. The document must outlive this value.
 */
class CheckedJson
{
public:
    explicit CheckedJson(const nlohmann::json &value, std::string pointer = "");

    [[noreturn]] void fail(const std::string &problem) const;
    /** @brief Refuses members that are not in the list. */
    void allowOnly(std::initializer_list<std::string_view> keys) const;
    bool has(const char *key) const;
    /** @returns a member that must be there. */
    CheckedJson member(const char *key) const;
    /** @returns the elements of an array member; none when it is absent. */
    std::vector<CheckedJson> array(const char *key) const;

    std::string text() const;
    /** @returns a name: 1 to 128 characters of letters, digits, '-', '_' and '.'. */
    std::string name() const;
    /** @returns an IPv4 or IPv6 number. */
    std::string ipNumber() const;
    std::int64_t integer(std::int64_t smallest, std::int64_t largest) const;

    /** @returns a number member within bounds, or the fallback when it is absent. */
    double number(const char *key, double fallback, double smallest, double largest) const;
    bool boolean(const char *key, bool fallback) const;

private:
    std::string shown() const;

    const nlohmann::json *value;
    std::string pointer;
};

}
