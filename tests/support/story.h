#pragma once

#include <functional>
#include <string>
#include <vector>

#include <criterion/criterion.h>
#include <rapidcheck.h>

namespace figpulley::tests
{
/// Structures a test as nested sections. A failed check reports the titles of the sections that enclose it.
class Story
{
public:
    void section(const std::string &title, const std::function<void()> &body)
    {
        this->titles.push_back(title);
        body();
        this->titles.pop_back();
    }

    /// Checks a condition; a failure is printed as "expected <expectation>" and the test goes on.
    void check(bool condition, const std::string &expectation) const
    {
        cr_expect(condition, "%s: expected %s", this->path().c_str(), expectation.c_str());
    }

    /// Checks that two values are equal; a failure is printed as "expected <what>", without the values.
    template<class Left, class Right>
    void equal(const Left &actual, const Right &expected, const std::string &what) const
    {
        this->check(actual == expected, what);
    }

private:
    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const auto &title : this->titles) {
            text += (text.empty() ? "" : " / ") + title;
        }
        return text;
    }

    std::vector<std::string> titles;
};

/// Checks a property with generated inputs. RapidCheck takes its seed from RC_PARAMS, which `make check` sets.
template<class Property>
void holds(const std::string &description, Property &&property)
{
    cr_expect(rc::check(description, std::forward<Property>(property)), "property failed: %s", description.c_str());
}
} // namespace figpulley::tests
