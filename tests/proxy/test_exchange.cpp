/** @file Guards the sums of load over daemons against lost or unlisted aggregators and against corrupt datagrams. */

#include "process/exchange/load_codec.h"
#include "process/exchange/load_exchange.h"
#include "process/exchange/load_socket.h"
#include "process/exchange/wire/generated/load_generated.h"
#include "standin/raw_server.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <random>

using namespace eelgrassnotch;
using namespace eelgrassnotch::process::exchange;
using namespace std::chrono_literals;

namespace
{

constexpr Time start = 100s;
constexpr Duration period = 200ms;

/** Daemons whose messages are delivered immediately. */
class Fleet
{
public:
    Fleet(std::size_t dataCentres, std::size_t daemonsEach)
    {
        for (std::size_t centre = 0; centre < dataCentres; ++centre) {
            for (std::size_t index = 0; index < daemonsEach; ++index) {
                const std::string name = "d-" + std::to_string(centre) + "-" + std::to_string(index);
                this->peers.push_back({handleOf<DaemonHandle>(name), handleOf<DataCentreHandle>("c" + std::to_string(centre)), name});
            }
        }
        for (const Peer &peer : this->peers) {
            this->daemons[peer.daemon] = std::make_unique<LoadExchange>(peer, [this, from = peer](const Peer &to, const Message &message) {
                ++this->sent[from.daemon];
                if (!this->dead.contains(to.daemon)) {
                    const auto decoded = decode(encode(message));
                    REQUIRE(decoded);
                    this->daemons.at(to.daemon)->receive(*decoded, from.address, this->now);
                }
            });
            this->daemons[peer.daemon]->setPeers(this->peers);
        }
    }

    void run(int periods)
    {
        for (int step = 0; step < periods; ++step) {
            this->now += period;
            for (const Peer &peer : this->peers) {
                if (!this->dead.contains(peer.daemon)) {
                    this->daemons.at(peer.daemon)->tick({{{7, 10, 5}}, {{3, 100, 2}}, 1}, this->now);
                }
            }
        }
    }

    /** Service of workspace 7 by all other daemons, as the daemon knows it. */
    double servedElsewhere(const Peer &peer) const
    {
        const auto others = this->daemons.at(peer.daemon)->loadOfOthers(this->now);
        return others && !others->workspaces.empty() ? others->workspaces.front().served : 0;
    }

    std::uint32_t daemonsElsewhere(const Peer &peer) const
    {
        const auto others = this->daemons.at(peer.daemon)->loadOfOthers(this->now);
        return others ? others->daemons : 0;
    }

    std::vector<Peer> peers;
    std::map<DaemonHandle, std::unique_ptr<LoadExchange>> daemons;
    std::map<DaemonHandle, int> sent;
    std::map<DaemonHandle, bool> dead;
    Time now = start;
};

}

TEST_CASE("every daemon learns the sum of all others")
{
    Fleet fleet(3, 3);
    fleet.run(6);
    for (const Peer &peer : fleet.peers) {
        CHECK(fleet.servedElsewhere(peer) == doctest::Approx(8 * 5));
        CHECK(fleet.daemonsElsewhere(peer) == 8);
    }
}

TEST_CASE("the age of a sum covers the time that its oldest load was held on the way")
{
    Fleet fleet(2, 3);
    fleet.run(6);
    for (const Peer &peer : fleet.peers) {
        const auto others = fleet.daemons.at(peer.daemon)->loadOfOthers(fleet.now + period);
        REQUIRE(others);
        // Held for at most one period at each of the two aggregators, and for one at this daemon.
        CHECK(others->age >= period);
        CHECK(others->age <= 3 * period);
    }
}

TEST_CASE("the loss of a daemon removes only its own load from the sum")
{
    const Fleet names(3, 3);
    for (const Peer &lost : names.peers) {
        Fleet fleet(3, 3);
        fleet.run(6);
        fleet.dead[lost.daemon] = true;
        fleet.run(12);
        for (const Peer &peer : fleet.peers) {
            if (peer.daemon != lost.daemon) {
                CHECK(fleet.servedElsewhere(peer) == doctest::Approx(7 * 5));
                CHECK(fleet.daemonsElsewhere(peer) == 7);
            }
        }
    }
}

TEST_CASE("a daemon that the others don't list yet receives the sum, also if it considers itself an aggregator")
{
    const Fleet names(3, 3);
    for (const Peer &unlisted : names.peers) {
        Fleet fleet(3, 3);
        for (const Peer &peer : fleet.peers) {
            if (peer.daemon != unlisted.daemon) {
                std::vector<Peer> known = fleet.peers;
                std::erase(known, unlisted);
                fleet.daemons.at(peer.daemon)->setPeers(known);
            }
        }
        fleet.run(6);
        CHECK(fleet.servedElsewhere(unlisted) == doctest::Approx(8 * 5));
        CHECK(fleet.daemonsElsewhere(unlisted) == 8);
    }
}

TEST_CASE("own load that the sum does not include yet is not counted as load of others")
{
    Fleet fleet(1, 3);
    fleet.run(6);
    const Peer self = fleet.peers.front();
    LoadExchange &daemon = *fleet.daemons.at(self.daemon);
    daemon.receive({MessageKind::Fleet, fleet.peers.back().daemon, self.dataCentre, {}}, "d", fleet.now);
    daemon.tick({{{9, 50, 50}}, {}}, fleet.now);
    const auto others = daemon.loadOfOthers(fleet.now);
    REQUIRE(others);
    for (const WorkspaceLoad &load : others->workspaces) {
        CHECK((load.workspace != 9 || load.served == 0));
    }
}

TEST_CASE("a daemon that receives no messages reports no load of others")
{
    Fleet fleet(2, 3);
    fleet.run(6);
    const Peer isolated = fleet.peers.front();
    fleet.now += 10s;
    CHECK_FALSE(fleet.daemons.at(isolated.daemon)->loadOfOthers(fleet.now));
}

TEST_CASE("the number of messages per daemon depends on its data centre and the number of data centres, not on the size of the fleet")
{
    Fleet fleet(7, 50);
    constexpr int periods = 5;
    fleet.run(periods);
    for (const Peer &peer : fleet.peers) {
        CHECK(fleet.sent[peer.daemon] <= periods * (2 + 49 + 2 * 6));
    }
}

TEST_CASE("corrupt datagrams are rejected")
{
    const auto bytes
        = encode({MessageKind::Fleet, handleOf<DaemonHandle>("a"), handleOf<DataCentreHandle>("b"), {{{1, 2, 3}}, {{4, 5, 6}}}});
    CHECK(decode(bytes));
    CHECK_FALSE(decode({}));
    std::mt19937 random(1);
    for (int round = 0; round < 20000; ++round) {
        auto corrupted = bytes;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t change = 0; change < changes; ++change) {
            corrupted[random() % corrupted.size()] = static_cast<std::uint8_t>(random());
        }
        corrupted.resize(random() % (corrupted.size() + 1));
        const auto message = decode(corrupted);
        if (message) {
            for (const WorkspaceLoad &load : message->load.workspaces) {
                CHECK(load.demand >= 0);
            }
        }
    }
}

// Guards against memory of engines that looks free although other daemons have committed it, or own tokens that count twice.
TEST_CASE("committed tokens reach the other daemons as sums without their own")
{
    const Peer first {DaemonHandle {1}, DataCentreHandle {9}, "a"};
    const Peer second {DaemonHandle {2}, DataCentreHandle {9}, "b"};
    LoadExchange one(first, [](const Peer &, const Message &) {});
    LoadExchange other(second, [&one](const Peer &, const Message &message) {
        const auto decoded = decode(encode(message));
        REQUIRE(decoded);
        CHECK(decoded->load == message.load);
        one.receive(*decoded, "b", start);
    });
    one.setPeers({second});
    other.setPeers({first});
    other.tick({{}, {{3, 100, 2, 18000}, {4, 0, 1, 0}, {5, 0, 1, 9000}}, 1}, start);
    one.tick({{}, {{3, 50, 1, 7000}}, 1}, start);
    const auto others = one.loadOfOthers(start);
    REQUIRE(others);
    REQUIRE(others->backends.size() == 3);
    CHECK(others->backends[0].committedTokens == 18000);
    CHECK(others->backends[1].committedTokens == 0);
    CHECK(others->backends[2].committedTokens == 9000);
}

// Guards against daemons that lose the load of daemons from before committed tokens, while the fleet is being replaced.
TEST_CASE("a message without committed tokens is understood, and an invalid number rejects the message")
{
    const auto makeMessage = [](const std::optional<float> &tokens) {
        flatbuffers::FlatBufferBuilder builder;
        const std::vector<wire::BackendLoad> loads {{3, 100, 2}};
        const std::vector<wire::CommittedTokens> list {{3, tokens.value_or(0)}, {8, 5000}};
        const auto backends = builder.CreateVectorOfStructs(loads);
        const auto committed = tokens ? builder.CreateVectorOfStructs(list) : 0;
        wire::MessageBuilder message(builder);
        message.add_kind(wire::Kind::Member);
        message.add_backends(backends);
        message.add_daemons(1);
        if (tokens) {
            message.add_committed(committed);
        }
        builder.Finish(message.Finish());
        return std::vector<std::uint8_t>(builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize());
    };
    const auto older = decode(makeMessage(std::nullopt));
    REQUIRE(older);
    CHECK(older->load.backends == std::vector<BackendLoad> {{3, 100, 2, 0}});
    // The entry of a backend server without requests is ignored.
    const auto newer = decode(makeMessage(7000.0F));
    REQUIRE(newer);
    CHECK(newer->load.backends == std::vector<BackendLoad> {{3, 100, 2, 7000}});
    CHECK_FALSE(decode(makeMessage(-1.0F)));
}

// Guards against a busy daemon, whose event loop turns slowly, that reads ever older loads.
TEST_CASE("load messages that have arrived are read in one turn of the event loop")
{
    constexpr std::uint32_t messages = 50;
    boost::asio::io_context context;
    const std::uint16_t port = standin::findFreePort();
    std::uint32_t received = 0;
    std::uint32_t newest = 0;
    const LoadSocket receiver(context, "127.0.0.1", port, [&received, &newest](const Message &message, const std::string &) {
        ++received;
        newest = message.load.daemons;
    });
    boost::asio::ip::udp::socket sender(context, boost::asio::ip::udp::v4());
    const boost::asio::ip::udp::endpoint address(boost::asio::ip::make_address("127.0.0.1"), port);
    for (std::uint32_t number = 1; number <= messages; ++number) {
        const auto bytes = encode({MessageKind::Fleet, DaemonHandle {1}, DataCentreHandle {2}, {{}, {}, number}});
        sender.send_to(boost::asio::buffer(bytes), address);
    }
    while (received == 0) {
        context.run_one_for(1s);
    }
    CHECK(received == messages);
    CHECK(newest == messages);
}
