/** @file Backend servers that announce in answers how many requests a second they accept from all daemons together. */

#include "proxy/daemon_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <mutex>

using namespace standin;

namespace
{

using Clock = std::chrono::steady_clock;

/** Window in which operators hold requests against an announced rate, and what they allow beyond it. */
constexpr double windowSeconds = 4.0;
constexpr double allowedOvershoot = 1.5;
constexpr double allowedSlack = 5.0;

double allowedInWindow(double rate)
{
    return allowedOvershoot * rate * windowSeconds + allowedSlack;
}

/** Answers with these header fields, and records when requests arrive. */
class AnnouncingBackend
{
public:
    explicit AnnouncingBackend(std::string announcedFields, std::chrono::milliseconds answerDelay = {})
        : fields(std::move(announcedFields))
        , delay(answerDelay)
    {
    }

    void setFields(std::string newFields)
    {
        const std::lock_guard lock(this->mutex);
        this->fields = std::move(newFields);
    }
    /** @returns the most requests that arrived within one window. */
    std::size_t mostInWindow() const
    {
        const std::lock_guard lock(this->mutex);
        std::size_t most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
            const auto end = std::find_if(first, this->arrivals.end(), [first](Clock::time_point at) {
                return std::chrono::duration<double>(at - *first).count() >= windowSeconds;
            });
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
    std::size_t received() const
    {
        const std::lock_guard lock(this->mutex);
        return this->arrivals.size();
    }

private:
    bool answer(Socket &socket, const Request &request)
    {
        std::string announced;
        {
            const std::lock_guard lock(this->mutex);
            this->arrivals.push_back(Clock::now());
            announced = this->fields;
        }
        std::this_thread::sleep_for(this->delay);
        const std::string whole = signedAnswer(request, "fine");
        const std::size_t firstLine = whole.find("\r\n") + 2;
        sendBytes(socket, whole.substr(0, firstLine) + announced + whole.substr(firstLine));
        return true;
    }

    mutable std::mutex mutex;
    std::string fields;
    std::chrono::milliseconds delay;
    std::vector<Clock::time_point> arrivals;

public:
    RawServer server {[this](Socket &socket, const Request &request) { return this->answer(socket, request); }};
};

/** Sends requests one after the other. @returns the answers' statuses. */
std::vector<unsigned> callFor(const DaemonFixture &fixture, std::chrono::milliseconds time)
{
    std::vector<unsigned> statuses;
    for (const auto until = Clock::now() + time; Clock::now() < until;) {
        statuses.push_back(fixture.call("/order/x", "q" + std::to_string(statuses.size())).result_int());
    }
    return statuses;
}

bool areAllServed(const std::vector<unsigned> &statuses)
{
    return std::all_of(statuses.begin(), statuses.end(), [](unsigned status) { return status == 200; });
}

/** Slow enough for placement to prefer a backend server that answers at once. */
constexpr auto lateAnswer = 60ms;

}

TEST_CASE("a backend server gets more requests than the rate limit that it announces")
{
    constexpr double rate = 4.0;
    AnnouncingBackend limited("Server-Limit: 4\r\n");
    AnnouncingBackend open("", lateAnswer);
    DaemonFixture fixture;
    fixture.startWith({&limited.server, &open.server});
    CHECK(areAllServed(callFor(fixture, 6s)));
    CHECK(static_cast<double>(limited.mostInWindow()) <= allowedInWindow(rate));
    // It still takes what it accepts.
    CHECK(static_cast<double>(limited.received()) >= 0.5 * rate * 6);
}

TEST_CASE("callers wait, or come back too late, when every backend server is at its announced limit")
{
    AnnouncingBackend first("Server-Limit: 1\r\n");
    AnnouncingBackend second("Server-Limit: 0.5\r\n");
    DaemonFixture fixture;
    fixture.startWith({&first.server, &second.server});
    callFor(fixture, 1500ms);
    unsigned refused = 0;
    for (const auto until = Clock::now() + 3s; Clock::now() < until;) {
        const auto before = Clock::now();
        const auto answer = fixture.call("/order/x", "w" + std::to_string(refused));
        if (answer.result_int() == 503) {
            ++refused;
            const double retryAfter = std::stod(std::string(answer["Retry-After"]));
            CHECK(retryAfter > 0.1);
            CHECK(retryAfter <= 2.0);
            // This route's requests may wait 500 ms; longer pauses are told at once.
            CHECK(Clock::now() - before < 700ms);
        }
    }
    CHECK(refused > 0);
    CHECK(static_cast<double>(first.mostInWindow()) <= allowedInWindow(1));
    CHECK(static_cast<double>(second.mostInWindow()) <= allowedInWindow(0.5));
}

TEST_CASE("a value that is no limit closes a backend server, or ends its limit")
{
    for (const std::string value : {"0", "-3", "1e999", "nan", "inf", "many", "", "5 per second"}) {
        CAPTURE(value);
        AnnouncingBackend odd("Server-Limit: " + value + "\r\n");
        DaemonFixture fixture;
        fixture.startWith({&odd.server});
        const auto statuses = callFor(fixture, 300ms);
        CHECK(areAllServed(statuses));
        CHECK(statuses.size() > 20);
    }
    // A limit that is known stays in force, and the lower one of two holds.
    AnnouncingBackend limited("Server-Limit: 90\r\nServer-Limit: 4\r\n");
    AnnouncingBackend open("", lateAnswer);
    DaemonFixture fixture;
    fixture.startWith({&limited.server, &open.server});
    callFor(fixture, 1s);
    limited.setFields("Server-Limit: 1e999\r\n");
    callFor(fixture, 5s);
    CHECK(static_cast<double>(limited.mostInWindow()) <= allowedInWindow(4));
}

TEST_CASE("a limit outlives its announcement, its incarnation, or an answer of another instance")
{
    AnnouncingBackend limited("Server-Limit: 2\r\n");
    AnnouncingBackend open("", lateAnswer);
    DaemonFixture fixture;
    fixture.startWith({&limited.server, &open.server});
    callFor(fixture, 2s);
    const std::size_t whileLimited = limited.received();
    CHECK(static_cast<double>(whileLimited) <= allowedInWindow(2));
    SUBCASE("its answers no longer name it")
    {
        limited.setFields("");
        callFor(fixture, 6s);
        CHECK(limited.received() > 10 * whileLimited);
    }
    SUBCASE("it has restarted under its id")
    {
        limited.setFields("");
        fixture.addBackend("i-1", limited.server, "ready", "a", 2000);
        callFor(fixture, 2s);
        CHECK(limited.received() > 10 * whileLimited);
    }
    SUBCASE("another instance has its address")
    {
        RawServer other([](Socket &socket, const Request &request) {
            sendBytes(socket,
                      "HTTP/1.1 421 Misdirected\r\nServer-Limit: 0.1\r\nX-Eelgrassnotch-Attempt-Id: " + idOf(request)
                          + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
        RawServer successor(answerOk);
        fixture.addBackend("i-9", other);
        callFor(fixture, 500ms);
        fixture.addBackend("i-9", successor, "ready", "a", 2000);
        callFor(fixture, 1s);
        CHECK(successor.requests().size() > 50);
    }
}
