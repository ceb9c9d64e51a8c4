#include "Soak/Soak.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>

#include <fmt/format.h>
#include <sys/wait.h>

#include "Soak/FaultProxy.h"
#include "Soak/GatewayProcess.h"
#include "Soak/OrganisationChecks.h"
#include "Soak/OrganisationHistory.h"
#include "Soak/SoakCallers.h"
#include "platform/Names.h"
#include "platform/StandIn/LoopThread.h"
#include "platform/StandIn/Server.h"
#include "platform/StandIn/Store.h"

namespace Soak {

namespace {

    namespace Names = PlatformAdapter::Names;
    using Clock = std::chrono::steady_clock;
    using PlatformStandIn::ServerMode;
    using PlatformStandIn::StoreMode;
    using std::chrono::milliseconds;

    // After its deadline a request may take this much longer, beside an undisturbed gateway.
    constexpr auto answerSlack = milliseconds(700);
    // A disturbance of a gateway excuses what ended so soon after it.
    constexpr auto disturbanceMemory = milliseconds(3000);
    // After all faults have ended, everything works again within this time.
    constexpr auto recoveryLimit = std::chrono::seconds(8);
    constexpr int callerDeadlineMs = 1000;
    constexpr int restartDelayMs = 300;
    // For loading some twenty shared libraries on a busy machine.
    constexpr auto loadTime = milliseconds(50);
    // Ports a gateway: callers, ready, directory, control, forwarding.
    constexpr int portsEach = 5;
    // From here on after a gateway was cut off from all servers, its callers must be served nearly as well as those of the others.
    constexpr auto cutStabilityTime = std::chrono::seconds(3);
    constexpr double minServedShare = 2.0 / 3;
    // Failures of callers of cut-off gateways that are allowed in any case.
    constexpr int allowedFailures = 10;
    constexpr double allowedFailureShare = 0.02;

    constexpr int longBodyPeriod = 16;
    constexpr int longBodyPeriodWithOddAnswers = 3;

    // How the paths from gateways to servers fail.
    enum class CutKind {
        Silent,
        Reset,
        NewRefused, // open connections live on
    };

    constexpr std::array cutKindNames {
        Common::EnumName<CutKind> { CutKind::Silent, "silent" },
        Common::EnumName<CutKind> { CutKind::Reset, "reset" },
        Common::EnumName<CutKind> { CutKind::NewRefused, "new connections refused" },
    };

    enum class CutScope {
        Some, // of any failure domain
        PartOfDomain,
        MostOfDomain, // all but one
        Domain,
        All,
    };

    constexpr std::array cutScopeNames {
        Common::EnumName<CutScope> { CutScope::Some, "some" },
        Common::EnumName<CutScope> { CutScope::PartOfDomain, "part of a domain" },
        Common::EnumName<CutScope> { CutScope::MostOfDomain, "most of a domain" },
        Common::EnumName<CutScope> { CutScope::Domain, "a domain" },
        Common::EnumName<CutScope> { CutScope::All, "all" },
    };

    using enum Net::HttpStatus;

    bool promisesNotRun(int status)
    {
        return status == Unavailable || status == TooManyRequests || status == RequestTimeout || status == Misdirected;
    }

    enum class OrganisationFault {
        RevokeKey,
        AddKey,
        ChangeLimit,
        Surge, // of the callers of one organisation
        Evacuate,
        ColdServer,
        ColdDomain,
        RevokeWhileFrozen, // of gateways that are cut off from the store
        RevokeInOutage, // no gateway reaches the store
    };

    constexpr std::array organisationFaultNames {
        Common::EnumName<OrganisationFault> { OrganisationFault::RevokeKey, "revoke-key" },
        Common::EnumName<OrganisationFault> { OrganisationFault::AddKey, "add-key" },
        Common::EnumName<OrganisationFault> { OrganisationFault::ChangeLimit, "change-limit" },
        Common::EnumName<OrganisationFault> { OrganisationFault::Surge, "surge" },
        Common::EnumName<OrganisationFault> { OrganisationFault::Evacuate, "evacuate" },
        Common::EnumName<OrganisationFault> { OrganisationFault::ColdServer, "cold-server" },
        Common::EnumName<OrganisationFault> { OrganisationFault::ColdDomain, "cold-domain" },
        Common::EnumName<OrganisationFault> { OrganisationFault::RevokeWhileFrozen, "revoke-while-frozen" },
        Common::EnumName<OrganisationFault> { OrganisationFault::RevokeInOutage, "revoke-in-outage" },
    };

    // How often each is drawn: changes of limits and unheard revocations leave little to judge of what else happens.
    constexpr std::array organisationFaultWeights { 5, 5, 1, 3, 2, 2, 1, 1, 1 };
    static_assert(organisationFaultWeights.size() == organisationFaultNames.size());
    constexpr auto isolationPause = std::chrono::seconds(10);
    constexpr auto coldAfterEvacuation = milliseconds(3000);
    // Faults that show something only when they last for seconds. A run begins with one of them.
    constexpr std::array longOrganisationFaults { OrganisationFault::Evacuate, OrganisationFault::RevokeWhileFrozen, OrganisationFault::ChangeLimit, OrganisationFault::RevokeInOutage };
    // One step in so many begins with a fault, and with one of the organisations'. Beside these the others are rarer, so that something is served.
    constexpr int faultPeriod = 3;
    constexpr int faultPeriodBesideOrganisations = 8;
    constexpr int organisationFaultPeriod = 8;

    class Run {
    public:
        explicit Run(const SoakOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_odd(options.seed)
        {
            m_thread.call([&] { openStandIns(); });
            startGateways();
        }

        ~Run()
        {
            m_gateways.clear();
            m_thread.call([&] {
                m_storeProxies.clear();
                m_serverProxies.clear();
                m_servers.clear();
                m_store.reset();
            });
        }

        Run(const Run&) = delete;
        Run& operator=(const Run&) = delete;

        bool run()
        {
            waitAllReady("at the start");
            std::vector<std::string> addresses;
            for (const auto& gateway : m_gateways)
                addresses.push_back(gateway->callers());
            CallersOptions callersOptions { .gateways = addresses, .threads = m_options.callers, .deadlineMs = callerDeadlineMs, .longBodyPeriod = m_options.oddAnswers ? longBodyPeriodWithOddAnswers : longBodyPeriod, .seed = m_options.seed };
            if (m_options.organisations)
                callersOptions.vary = [this](auto& random, auto& outcome) { return m_organisations.vary(random, outcome); };
            SoakCallers callers(callersOptions);
            auto end = Clock::now() + std::chrono::seconds(m_options.seconds);
            if (m_options.organisations) {
                startOrganisationFault(longOrganisationFaults[m_options.seed % longOrganisationFaults.size()]);
                m_isolatedUntil = std::max(m_isolatedUntil, Clock::now() + isolationPause);
            }
            while (Clock::now() < end) {
                if (m_options.organisations && below(organisationFaultPeriod) == 0)
                    startOrganisationFault(drawOrganisationFault());
                if (below(m_options.organisations ? faultPeriodBesideOrganisations : faultPeriod) == 0 && Clock::now() >= m_quietUntil)
                    startFault();
                step(milliseconds(50));
            }
            endAllFaults();
            waitAllReady("after all faults");
            checkNewestConfiguration();
            callers.stop();
            m_outcomes = callers.outcomes();
            checkOutcomes();
            checkCuts();
            if (m_options.organisations)
                checkOrganisations();
            report();
            return m_broken.empty();
        }

    private:
        using Undo = std::function<void()>;
        struct ActiveFault {
            Clock::time_point until;
            Undo undo;
            bool isBeside = false; // does not keep others from beginning
        };

        int below(int bound) { return static_cast<int>(m_random() % static_cast<std::uint64_t>(bound)); }

        std::string domainOf(int index) const { return std::string(1, static_cast<char>('a' + index % m_options.domains)); }

        void openStandIns()
        {
            m_store = std::make_unique<PlatformStandIn::Store>(m_thread.loop());
            for (int i = 0; i < m_options.servers; ++i) {
                PlatformStandIn::ServerOptions options { .id = "server-" + std::to_string(i), .failureDomain = domainOf(i), .work = milliseconds(20) };
                if (m_options.organisations)
                    options.observe = [this, i](auto event, const auto& request) { m_evidence.sightings.push_back(sightingOf(static_cast<std::size_t>(i), event, request)); };
                m_evidence.domains.push_back(options.failureDomain);
                m_servers.push_back(std::make_unique<PlatformStandIn::Server>(m_thread.loop(), m_runs, options));
                m_serverProxies.push_back(std::make_unique<FaultProxy>(m_thread.loop(), m_servers.back()->address()));
                putServer(static_cast<std::size_t>(i), false);
            }
            for (int i = 0; i < m_options.gateways; ++i)
                m_storeProxies.push_back(std::make_unique<FaultProxy>(m_thread.loop(), m_store->address()));
            putConfiguration();
        }

        void putServer(std::size_t index, bool draining)
        {
            // Registered at its proxy's address.
            auto value = m_servers[index]->registryValue(draining, m_startedMs[index]);
            auto own = m_servers[index]->address();
            value.replace(value.find(own), own.size(), m_serverProxies[index]->address());
            m_store->put(Names::registryTable, m_servers[index]->options().id, value);
            m_draining[index] = draining;
        }

        // Each version moves one route, so that a gateway can be asked which is in force.
        void putConfiguration()
        {
            ++m_version;
            writeConfiguration();
        }

        void writeConfiguration()
        {
            auto route = [this](const std::string& name, const std::string& prefix) {
                return fmt::format(R"(,"{}":{{"host":"host.example","prefix":"{}","route_type":"safe","timeout_ms":1000,"target_latency_ms":300,"priority":1,"service":"service","max_attempts":2{}}})", name, prefix, m_options.organisations ? R"(,"public":true)" : "");
            };
            auto probe = route("probe", fmt::format("/v{}/", m_version));
            if (!m_options.organisations) {
                m_store->put(Names::operatorTable, Names::configurationKey, PlatformStandIn::configurationValue(m_version, "service", probe));
                return;
            }
            auto value = PlatformStandIn::withOrganisations(PlatformStandIn::configurationValue(m_version, "service", probe + route("public", "/public/")), m_organisations.entries(), Bounds::warmupPerSecond);
            m_organisations.record(written([&] { m_store->put(Names::operatorTable, Names::configurationKey, value); }));
        }

        static Change written(const std::function<void()>& write)
        {
            Change change { .asked = Clock::now(), .acknowledged = {} };
            write();
            change.acknowledged = Clock::now();
            return change;
        }

        void startGateways()
        {
            std::filesystem::create_directories(m_options.folder);
            constexpr int firstPort = 21000;
            constexpr int endOfPorts = 32000; // below the ports that the kernel hands out
            auto portRange = static_cast<std::uint64_t>(endOfPorts - firstPort - m_options.gateways * portsEach);
            auto port = firstPort + static_cast<int>((m_options.seed * 131 + static_cast<std::uint64_t>(::getpid())) % portRange);
            auto beginsOld = !m_options.oldProgram.empty() && m_options.seed % 2 == 0;
            std::vector<std::string> seeds;
            for (int i = 0; i < std::min(2, m_options.gateways); ++i)
                seeds.push_back("127.0.0.1:" + std::to_string(port + i * portsEach + 3));
            for (int i = 0; i < m_options.gateways; ++i) {
                auto store = m_thread.call([&] { return m_storeProxies[static_cast<std::size_t>(i)]->address(); });
                m_gateways.push_back(std::make_unique<GatewayProcess>(GatewayProcessOptions { .program = beginsOld ? m_options.oldProgram : m_options.program, .folder = m_options.folder, .name = "gateway-" + std::to_string(i), .store = store, .failureDomain = domainOf(i), .port = port + i * portsEach, .backendSource = sourceHost(static_cast<std::size_t>(i)), .seeds = seeds, .bounds = m_options.organisations ? boundsOfSettings() : "" }));
                m_gateways.back()->start();
            }
            m_expected.resize(m_gateways.size());
            m_frozen.resize(m_gateways.size());
            m_storeCuts.resize(m_gateways.size());
        }

        static std::string boundsOfSettings()
        {
            return fmt::format("revoke_ms = {}\nallowance_window_ms = {}\nallowance_overage = {}\nallowance_slack = {}\n", Bounds::revoke.count(), Bounds::allowanceWindow.count(), Bounds::allowanceOverage, Bounds::allowanceSlack);
        }

        void disturb(const std::string& gateway, milliseconds length)
        {
            auto now = Common::TimePoint(Clock::now());
            m_disturbed[gateway].push_back({ .from = now, .to = now + length + disturbanceMemory });
        }

        void disturbAll(milliseconds length)
        {
            for (const auto& gateway : m_gateways)
                disturb(gateway->callers(), length);
        }

        bool isDisturbed(const Outcome& outcome) const
        {
            auto it = m_disturbed.find(outcome.gateway);
            return it != m_disturbed.end() && std::any_of(it->second.begin(), it->second.end(), [&](const auto& interval) { return interval.from <= outcome.ended && outcome.sent <= interval.to; });
        }

        void startFault()
        {
            if (std::count_if(m_active.begin(), m_active.end(), [](const auto& it) { return !it.isBeside; }) >= 3)
                return;
            auto length = milliseconds(300 + below(2500));
            auto until = Clock::now() + length;
            auto gateway = static_cast<std::size_t>(below(m_options.gateways));
            auto server = static_cast<std::size_t>(below(m_options.servers));
            constexpr int faults = 9;
            constexpr int faultsOfDrills = 3;
            constexpr int cuts = 5;
            constexpr int faultsOfOddAnswers = 5;
            // Drawn on its own, so that runs without odd answers keep the faults of their seeds.
            if (m_options.oddAnswers && below(faults + faultsOfOddAnswers) < faultsOfOddAnswers)
                return startOddAnswers(server, length);
            // Of a store that is restored, when its rows are in force is not known.
            auto drills = m_options.drills ? faultsOfDrills - (m_options.organisations ? 1 : 0) : 0;
            auto fault = below(faults + drills + (m_options.cuts ? cuts : 0));
            constexpr int chanceOfUpgrade = 3; // one in so many
            if (!m_options.oldProgram.empty() && below(chanceOfUpgrade) == 0)
                return replaceGateway(gateway);
            if (fault >= faults && fault < faults + drills)
                return startDrill(fault - faults, server, until);
            if (fault >= faults)
                return startCut();
            switch (fault) {
            case 0:
            case 1:
                return signalGateway(gateway, length);
            case 2: {
                auto mode = proxyModeNames[1 + static_cast<std::size_t>(below(4))].value;
                note(fmt::format("server proxy {} {}", server, Common::nameOf(proxyModeNames, mode)));
                disturbAll(length);
                m_thread.call([&] { m_serverProxies[server]->setMode(mode); });
                m_active.push_back({ until, [this, server] { m_thread.call([&] { m_serverProxies[server]->setMode(ProxyMode::Pass); }); } });
                return;
            }
            case 3: {
                auto mode = proxyModeNames[1 + static_cast<std::size_t>(below(4))].value;
                note(fmt::format("store proxy {} {}", gateway, Common::nameOf(proxyModeNames, mode)));
                m_thread.call([&] { m_storeProxies[gateway]->setMode(mode); });
                addBlindness(m_storeCuts[gateway], 1);
                m_active.push_back({ until, [this, gateway] {
                                        m_thread.call([&] { m_storeProxies[gateway]->setMode(ProxyMode::Pass); });
                                        addBlindness(m_storeCuts[gateway], -1);
                                    } });
                return;
            }
            case 4: {
                auto mode = static_cast<StoreMode>(1 + below(3));
                note(fmt::format("store mode {}", static_cast<int>(mode)));
                m_thread.call([&] { m_store->setMode(mode); });
                // Reads are answered while writes lose their responses.
                auto outages = mode == StoreMode::LosesResponses ? 0 : 1;
                addBlindness(m_storeOutages, outages);
                m_active.push_back({ until, [this, outages] {
                                        m_thread.call([&] { m_store->setMode(StoreMode::Serving); });
                                        addBlindness(m_storeOutages, -outages);
                                    } });
                return;
            }
            case 5: {
                auto mode = static_cast<ServerMode>(1 + below(3));
                note(fmt::format("server {} mode {}", server, static_cast<int>(mode)));
                m_thread.call([&] { m_servers[server]->setMode(mode); });
                m_active.push_back({ until, [this, server] { m_thread.call([&] { m_servers[server]->setMode(ServerMode::Serving); }); } });
                return;
            }
            case 6:
                note(fmt::format("server {} drains", server));
                m_thread.call([&] { putServer(server, true); });
                m_active.push_back({ until, [this, server] { m_thread.call([&] { putServer(server, false); }); } });
                return;
            case 7:
                note("history forgotten, connections of a server reset");
                disturbAll(milliseconds(0));
                return m_thread.call([&] {
                    m_store->expireHistory();
                    m_serverProxies[server]->resetAll();
                });
            default:
                note(fmt::format("configuration {}", m_version + 1));
                return m_thread.call([&] { putConfiguration(); });
            }
        }

        // One server, or all of them.
        void startOddAnswers(std::size_t server, milliseconds length)
        {
            auto isAll = below(2) == 0;
            note(isAll ? "odd answers of all servers" : fmt::format("odd answers of server {}", server));
            disturbAll(length);
            auto set = [this, server, isAll](OddAnswers* odd) {
                m_thread.call([&] {
                    for (std::size_t i = 0; i < m_serverProxies.size(); ++i) {
                        if (isAll || i == server)
                            m_serverProxies[i]->setOddAnswers(odd);
                    }
                });
            };
            set(&m_odd);
            m_active.push_back({ Clock::now() + length, [set] { set(nullptr); } });
        }

        static std::string sourceHost(std::size_t gateway) { return "127.0.1." + std::to_string(gateway + 1); }

        std::vector<std::size_t> gatewaysToCut(CutScope scope)
        {
            auto count = m_options.gateways;
            auto first = below(count);
            auto isOfDomain = scope == CutScope::PartOfDomain || scope == CutScope::MostOfDomain || scope == CutScope::Domain;
            std::vector<std::size_t> chosen;
            for (int i = 0; i < count; ++i) {
                auto index = (first + i) % count;
                if (!isOfDomain || domainOf(index) == domainOf(first))
                    chosen.push_back(static_cast<std::size_t>(index));
            }
            if (scope == CutScope::Some || scope == CutScope::PartOfDomain)
                chosen.resize(1 + static_cast<std::size_t>(below(static_cast<int>(chosen.size()))));
            else if (scope == CutScope::MostOfDomain)
                chosen.resize(std::max<std::size_t>(1, chosen.size() - 1));
            return chosen;
        }

        // Cuts gateways off from all servers. In half of the cuts no other fault begins, so that nothing else explains what callers get.
        void startCut()
        {
            if (std::any_of(m_cuts.begin(), m_cuts.end(), [](const auto& it) { return !it.hasEnded; }))
                return;
            auto kind = cutKindNames[static_cast<std::size_t>(below(cutKindNames.size()))].value;
            auto scope = cutScopeNames[static_cast<std::size_t>(below(cutScopeNames.size()))].value;
            auto length = milliseconds(4000 + below(2000));
            auto chosen = gatewaysToCut(scope);
            Cut cut { .gateways = { chosen.begin(), chosen.end() }, .during = { .from = Clock::now(), .to = {} } };
            if (below(2) == 0)
                m_quietUntil = Clock::now() + length;
            note(fmt::format("{} gateways ({}) from {} on are cut off from all servers: {}", chosen.size(), Common::nameOf(cutScopeNames, scope), chosen.front(), Common::nameOf(cutKindNames, kind)));
            m_thread.call([&] {
                for (auto& proxy : m_serverProxies) {
                    for (auto gateway : cut.gateways) {
                        proxy->setModeFor(sourceHost(gateway), kind == CutKind::Silent ? ProxyMode::Silence : ProxyMode::Refuse);
                        if (kind == CutKind::Reset)
                            proxy->resetAllOf(sourceHost(gateway));
                    }
                }
            });
            m_cuts.push_back(cut);
            m_active.push_back({ Clock::now() + length, [this, index = m_cuts.size() - 1] { endCut(m_cuts[index]); } });
        }

        struct Cut {
            std::set<std::size_t> gateways;
            Interval during;
            bool hasEnded = false;
        };

        void endCut(Cut& cut)
        {
            note("the cut ends");
            cut.hasEnded = true;
            cut.during.to = Clock::now();
            m_thread.call([&] {
                for (auto& proxy : m_serverProxies) {
                    for (auto gateway : cut.gateways)
                        proxy->clearModeFor(sourceHost(gateway));
                }
            });
        }

        struct Served {
            int sent = 0;
            int ok = 0;
            double share() const { return sent == 0 ? 0 : static_cast<double>(ok) / sent; }
            void add(const Served& other)
            {
                sent += other.sent;
                ok += other.ok;
            }
        };

        void checkCuts()
        {
            for (const auto& cut : m_cuts) {
                Served cutOff;
                Served others;
                for (const auto& outcome : m_outcomes) {
                    if (outcome.sent < cut.during.from + cutStabilityTime || outcome.ended > cut.during.to || isDisturbed(outcome))
                        continue;
                    auto gateway = std::find_if(m_gateways.begin(), m_gateways.end(), [&](const auto& it) { return it->callers() == outcome.gateway; });
                    auto isCutOff = cut.gateways.contains(static_cast<std::size_t>(gateway - m_gateways.begin()));
                    auto& served = isCutOff ? cutOff : others;
                    ++served.sent;
                    served.ok += outcome.status == Ok ? 1 : 0;
                }
                auto allowed = allowedFailures + allowedFailureShare * (cutOff.sent + others.sent);
                if (others.sent > 0 && cutOff.sent - cutOff.ok > allowed && cutOff.share() < minServedShare * others.share())
                    m_broken.push_back(fmt::format("gateways without servers served {} of {} requests, the others {} of {}, in the cut from {:.3f} s on", cutOff.ok, cutOff.sent, others.ok, others.sent, std::chrono::duration<double>(cut.during.from - Common::TimePoint(m_begun)).count()));
                m_inCuts.add(cutOff);
                m_besideCuts.add(others);
            }
        }

        void startDrill(int kind, std::size_t server, Clock::time_point until)
        {
            if (kind == 0) {
                note(fmt::format("server {} asks for a pause", server));
                m_thread.call([&] { m_servers[server]->setMode(ServerMode::Pauses); });
                m_active.push_back({ until, [this, server] { m_thread.call([&] { m_servers[server]->setMode(ServerMode::Serving); }); } });
                return;
            }
            if (kind == 1) {
                note(fmt::format("server {} says that it is leaving", server));
                m_thread.call([&] { m_servers[server]->setLeaving(true); });
                // What follows is a new incarnation.
                m_active.push_back({ until, [this, server] { m_thread.call([&] {
                                                                 m_servers[server]->setLeaving(false);
                                                                 ++m_startedMs[server];
                                                                 putServer(server, m_draining[server]);
                                                             }); } });
                return;
            }
            note(fmt::format("the store will be restored from a copy that lacks configuration {}", m_version + 1));
            m_thread.call([&] {
                m_store->saveCopy();
                putConfiguration();
            });
            m_active.push_back({ until, [this] {
                                    note("the store is restored");
                                    m_thread.call([&] { restoreStore(); });
                                } });
        }

        // What the operators and the servers wrote is written again some time after the store has come back.
        void restoreStore()
        {
            m_store->restoreCopy();
            constexpr auto rewriteDelay = milliseconds(700);
            m_thread.loop().after(rewriteDelay, [this] {
                if (!m_store)
                    return; // the run is over
                writeConfiguration();
                for (std::size_t i = 0; i < m_servers.size(); ++i)
                    putServer(i, m_draining[i]);
            });
        }

        void signalGateway(std::size_t index, milliseconds length)
        {
            auto& gateway = *m_gateways[index];
            constexpr std::array signals { SIGTERM, SIGTERM, SIGKILL, SIGSTOP, SIGHUP };
            auto number = signals[static_cast<std::size_t>(below(signals.size()))];
            note(fmt::format("{} gets signal {}", gateway.options().name, number));
            // A second SIGTERM forces the stop.
            auto isForced = number == SIGTERM && m_expected[index];
            if (number == SIGKILL || number == SIGSTOP || isForced)
                disturb(gateway.callers(), length + milliseconds(restartDelayMs));
            // Until the loader has handed over to main(), no program can keep a hang-up from ending it.
            auto endsByHangUp = number == SIGHUP && gateway.age() < loadTime;
            if (number == SIGTERM || number == SIGKILL || endsByHangUp)
                m_expected[index] = true;
            if (number == SIGSTOP)
                freeze(index, length, false);
            else
                gateway.signal(number);
        }

        void freeze(std::size_t index, milliseconds length, bool isBeside)
        {
            m_gateways[index]->signal(SIGSTOP);
            addBlindness(m_frozen[index], 1);
            m_active.push_back({ Clock::now() + length,
                [this, index] {
                    m_gateways[index]->signal(SIGCONT);
                    addBlindness(m_frozen[index], -1);
                },
                isBeside });
        }

        // Changes one of the counts of causes, and notes which gateways can't hear of changes now.
        void addBlindness(int& causes, int n)
        {
            causes += n;
            auto isStoreReached = false;
            for (std::size_t i = 0; i < m_gateways.size(); ++i)
                isStoreReached = isStoreReached || (m_storeOutages == 0 && m_storeCuts[i] == 0 && m_frozen[i] == 0);
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                auto& intervals = m_evidence.blind[m_gateways[i]->callers()];
                auto wasBlind = !intervals.empty() && intervals.back().to == Common::TimePoint::max();
                auto isBlind = !isStoreReached || m_frozen[i] > 0;
                if (isBlind && !wasBlind)
                    intervals.push_back({ .from = Clock::now() });
                else if (!isBlind && wasBlind)
                    intervals.back().to = Clock::now();
            }
        }

        OrganisationFault drawOrganisationFault()
        {
            auto left = below(std::accumulate(organisationFaultWeights.begin(), organisationFaultWeights.end(), 0));
            std::size_t index = 0;
            for (; left >= organisationFaultWeights[index]; ++index)
                left -= organisationFaultWeights[index];
            return organisationFaultNames[index].value;
        }

        void startOrganisationFault(OrganisationFault fault)
        {
            auto length = milliseconds(1000 + below(2000));
            switch (fault) {
            case OrganisationFault::RevokeKey:
            case OrganisationFault::AddKey:
                return changeKeys(fault == OrganisationFault::AddKey, 1);
            case OrganisationFault::ChangeLimit:
                return changeLimit();
            case OrganisationFault::Surge: {
                auto organisation = below(static_cast<int>(m_organisations.limits().size()));
                // Organisations are expected to send 3 to 5.5 times their usual rate; one whose limit was lowered does without a surge.
                const auto& limits = m_organisations.limits()[static_cast<std::size_t>(organisation)];
                if (limits.back().ratePerSecond > 0 && limits.back().ratePerSecond < limits.front().ratePerSecond)
                    return;
                noteOf(fault, fmt::format("of {}", OrganisationHistory::organisationOf(organisation)));
                m_organisations.setFavourite(organisation);
                m_active.push_back({ Clock::now() + length, [this] { m_organisations.setFavourite(std::nullopt); }, true });
                return;
            }
            case OrganisationFault::Evacuate:
                return evacuate(domainOf(below(m_options.domains)));
            case OrganisationFault::ColdServer: {
                auto server = static_cast<std::size_t>(below(m_options.servers));
                return makeCold(
                    fault, std::to_string(server), [server](auto index) { return index == server; }, length);
            }
            case OrganisationFault::ColdDomain: {
                // Gateways prefer warm servers, so that one domain of several is seldom asked while it is cold.
                constexpr int chanceOfAll = 3; // one in so many
                if (below(chanceOfAll) == 0)
                    return makeCold(
                        fault, "all", [](auto) { return true; }, length);
                return makeDomainCold(domainOf(below(m_options.domains)), length);
            }
            case OrganisationFault::RevokeWhileFrozen:
            case OrganisationFault::RevokeInOutage:
                return revokeUnheard(fault);
            }
        }

        void noteOf(OrganisationFault fault, const std::string& what)
        {
            note(fmt::format("{} {}", Common::nameOf(organisationFaultNames, fault), what));
        }

        // A new key, or one that was revoked comes back. The first keys of all stay, so that some request is always valid.
        void changeKeys(bool isAdded, int count)
        {
            auto firstKeys = static_cast<int>(m_organisations.limits().size());
            std::string keys;
            for (int i = 0; i < count; ++i) {
                auto key = firstKeys + below(m_organisations.keyCount() - firstKeys);
                if (isAdded && m_organisations.isValid(key))
                    key = m_organisations.addKey();
                m_organisations.setValid(key, isAdded);
                keys += fmt::format(" {}", key);
            }
            m_thread.call([&] { putConfiguration(); });
            noteOf(isAdded ? OrganisationFault::AddKey : OrganisationFault::RevokeKey, fmt::format("{} in configuration {}", keys.substr(1), m_version));
        }

        // Mostly lowers one, since a raised limit hides what the lower one was to show.
        void changeLimit()
        {
            constexpr double low = 8;
            constexpr double high = 40;
            constexpr int raisePeriod = 4;
            auto organisation = OrganisationHistory::firstLimited + below(static_cast<int>(m_organisations.limits().size()) - OrganisationHistory::firstLimited);
            auto present = m_organisations.limits()[static_cast<std::size_t>(organisation)].back().ratePerSecond;
            auto rate = present > low && below(raisePeriod) != 0 ? low : high;
            m_organisations.setLimit(static_cast<std::size_t>(organisation), rate, rate);
            m_thread.call([&] { putConfiguration(); });
            noteOf(OrganisationFault::ChangeLimit, fmt::format("of {} to {} a second in configuration {}", OrganisationHistory::organisationOf(organisation), rate, m_version));
        }

        void evacuate(const std::string& domain)
        {
            auto& periods = m_evidence.evacuations[domain];
            auto isEvacuated = [](const auto& it) { return !it.second.empty() && it.second.back().end.asked == Common::TimePoint::max(); };
            auto evacuated = std::count_if(m_evidence.evacuations.begin(), m_evidence.evacuations.end(), isEvacuated);
            constexpr int chanceOfLast = 12; // one in so many
            if (isEvacuated(std::pair(domain, periods)) || (evacuated == m_options.domains - 1 && below(chanceOfLast) != 0))
                return;
            auto key = Names::evacuationPrefix + domain;
            m_thread.call([&] { periods.push_back({ .begin = written([&] { m_store->put(Names::operatorTable, key, "{}"); }) }); });
            noteOf(OrganisationFault::Evacuate, domain);
            auto length = Bounds::evacuate + milliseconds(1000 + below(3000));
            auto isColdAfterwards = below(2) == 0;
            m_active.push_back({ Clock::now() + length,
                [this, domain, key, isColdAfterwards] {
                    if (isColdAfterwards)
                        makeDomainCold(domain, coldAfterEvacuation);
                    m_thread.call([&] { m_evidence.evacuations[domain].back().end = written([&] { m_store->remove(Names::operatorTable, key); }); });
                    note(fmt::format("{} is used again", domain));
                },
                true });
        }

        void makeDomainCold(const std::string& domain, milliseconds length)
        {
            makeCold(
                OrganisationFault::ColdDomain, domain, [this, domain](auto index) { return m_evidence.domains[index] == domain; }, length);
        }

        // Those that are cold already stay so.
        void makeCold(OrganisationFault fault, const std::string& what, const std::function<bool(std::size_t)>& isChosen, milliseconds length)
        {
            m_evidence.cold.resize(m_servers.size());
            auto isRestarted = below(2) == 0;
            noteOf(fault, fmt::format("{} for {} ms{}", what, length.count(), isRestarted ? ", restarted" : ""));
            m_thread.call([&] {
                for (std::size_t i = 0; i < m_servers.size(); ++i) {
                    auto now = Common::TimePoint(Clock::now());
                    if (!isChosen(i) || (!m_evidence.cold[i].empty() && m_evidence.cold[i].back().to > now))
                        continue;
                    m_servers[i]->setColdUntil(now + length);
                    if (isRestarted) {
                        ++m_startedMs[i];
                        m_serverProxies[i]->resetAll();
                    }
                    putServer(i, m_draining[i]);
                    m_evidence.cold[i].push_back({ .from = Clock::now(), .to = now + length });
                }
            });
            if (isRestarted)
                disturbAll(milliseconds(0));
        }

        // Gateways that are frozen, one or all, or run without the store, until after the API keys' time has ended.
        void revokeUnheard(OrganisationFault fault)
        {
            if (Clock::now() < m_isolatedUntil)
                return;
            auto isFrozen = fault == OrganisationFault::RevokeWhileFrozen;
            auto isAll = !isFrozen || below(2) == 0;
            auto chosen = static_cast<std::size_t>(below(m_options.gateways));
            auto length = Bounds::revoke + milliseconds(500 + below(1000));
            constexpr auto afterwards = milliseconds(1200);
            m_isolatedUntil = Clock::now() + length + isolationPause;
            noteOf(fault, isAll ? "of all gateways" : m_gateways[chosen]->options().name);
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                if (!isAll && i != chosen)
                    continue;
                // Goes before the mode that another fault sets or ends.
                m_thread.call([&] { m_storeProxies[i]->setModeFor("127.0.0.1", ProxyMode::Silence); });
                addBlindness(m_storeCuts[i], 1);
                m_active.push_back({ Clock::now() + length + afterwards,
                    [this, i] {
                        m_thread.call([&] { m_storeProxies[i]->clearModeFor("127.0.0.1"); });
                        addBlindness(m_storeCuts[i], -1);
                    },
                    true });
            }
            changeKeys(false, m_organisations.keyCount() / 2);
            for (std::size_t i = 0; isFrozen && i < m_gateways.size(); ++i) {
                if (!isAll && i != chosen)
                    continue;
                auto ownLength = length + milliseconds(below(static_cast<int>(afterwards.count())));
                disturb(m_gateways[i]->callers(), ownLength);
                freeze(i, ownLength, true);
            }
        }

        // A planned replacement by the other version.
        void replaceGateway(std::size_t index)
        {
            if (m_expected[index])
                return; // it is stopping already, and a second SIGTERM would force that
            auto& gateway = *m_gateways[index];
            auto isOld = gateway.options().program == m_options.oldProgram;
            gateway.setProgram(isOld ? m_options.program : m_options.oldProgram);
            note(fmt::format("{} is replaced by the {} version", gateway.options().name, isOld ? "newer" : "older"));
            ++m_replaced;
            m_expected[index] = true;
            gateway.signal(SIGTERM);
        }

        void note(const std::string& what)
        {
            m_history.push_back(fmt::format("{:.3f} {}", std::chrono::duration<double>(Clock::now() - m_begun).count(), what));
        }

        void step(milliseconds length)
        {
            std::this_thread::sleep_for(length);
            for (auto it = m_active.begin(); it != m_active.end();) {
                if (Clock::now() < it->until) {
                    ++it;
                    continue;
                }
                it->undo();
                it = m_active.erase(it);
            }
            for (std::size_t i = 0; i < m_gateways.size(); ++i)
                restartIfEnded(i);
        }

        void restartIfEnded(std::size_t index)
        {
            auto status = m_gateways[index]->takeExit();
            if (!status)
                return;
            if (!m_expected[index])
                m_broken.push_back(fmt::format("{} ended by itself with status {:#x}", m_gateways[index]->options().name, *status));
            m_expected[index] = false;
            std::this_thread::sleep_for(milliseconds(restartDelayMs));
            m_gateways[index]->start();
        }

        void endAllFaults()
        {
            for (auto& fault : m_active)
                fault.undo();
            m_active.clear();
            m_thread.call([&] {
                for (std::size_t i = 0; i < m_servers.size(); ++i)
                    putServer(i, false);
            });
        }

        void waitAllReady(const std::string& when)
        {
            auto end = Clock::now() + recoveryLimit;
            for (const auto& gateway : m_gateways) {
                while (statusOf(gateway->ready(), Names::readyPath) != Ok) {
                    step(milliseconds(50));
                    if (Clock::now() > end) {
                        m_broken.push_back(gateway->options().name + " is not ready " + when);
                        break;
                    }
                }
            }
        }

        void checkNewestConfiguration()
        {
            // Of the first organisation, which has no limit.
            while (m_options.organisations && m_organisations.addKey() % m_organisations.limits().size() != 0) { }
            m_thread.call([&] { putConfiguration(); });
            auto target = fmt::format("/v{}/x", m_version);
            auto fields = m_options.organisations ? OrganisationHistory::fieldsOf(m_organisations.keyCount() - 1) : HeaderFields();
            auto end = Clock::now() + recoveryLimit;
            for (const auto& gateway : m_gateways) {
                while (statusOf(gateway->callers(), target) != Ok || (m_options.organisations && statusOf(gateway->callers(), "/safe/x", fields) != Ok)) {
                    step(milliseconds(50));
                    if (Clock::now() > end) {
                        m_broken.push_back(fmt::format("{} does not serve the newest configuration, {}", gateway->options().name, m_version));
                        break;
                    }
                }
            }
        }

        void checkOutcomes()
        {
            for (const auto& outcome : m_outcomes) {
                auto runs = m_runs.runs(outcome.id);
                auto took = outcome.ended - outcome.sent;
                auto at = fmt::format("{} over {} at {:.3f} s", outcome.id, outcome.gateway, std::chrono::duration<double>(outcome.sent - Common::TimePoint(m_begun)).count());
                if (outcome.once && runs > 1)
                    m_broken.push_back(fmt::format("{} ran {} times", at, runs));
                if (promisesNotRun(outcome.status) && outcome.once && runs > 0)
                    m_broken.push_back(fmt::format("{} was answered {} and has run", at, outcome.status));
                if (outcome.wrongBody)
                    m_broken.push_back(at + " got another body than its own");
                // Only an early answer leaves a gateway no other way than to cut off what it has begun to pass on.
                if (outcome.cutBody && !m_options.oddAnswers)
                    m_broken.push_back(at + " got a part of its answer");
                if (!outcome.oddHead.empty())
                    m_broken.push_back(fmt::format("{} got {}", at, outcome.oddHead));
                if (outcome.status == Ok && runs == 0)
                    m_broken.push_back(at + " succeeded without having run");
                if (!isDisturbed(outcome) && outcome.connected && took > milliseconds(callerDeadlineMs) + answerSlack)
                    m_broken.push_back(fmt::format("{} was held for {:.0f} ms", at, Common::toMilliseconds(took)));
                if (!isDisturbed(outcome) && outcome.connected && outcome.status == 0 && runs > 0)
                    m_broken.push_back(at + " was cut beside planned work only");
                ++m_statuses[outcome.status];
            }
        }

        void checkOrganisations()
        {
            // Load probes go on.
            auto evidence = m_thread.call([&] { return m_evidence; });
            evidence.outcomes = m_outcomes;
            for (const auto& finding : findBroken(m_organisations, evidence, m_coverage))
                m_broken.push_back(fmt::format("{}: {} times, first at {:.3f} s: {}", Common::nameOf(promiseNames, finding.promise), finding.count, std::chrono::duration<double>(finding.at - Common::TimePoint(m_begun)).count(), finding.first));
        }

        std::string command() const
        {
            auto options = fmt::format("--seed {} --seconds {} --gateways {} --domains {} --callers {}", m_options.seed, m_options.seconds, m_options.gateways, m_options.domains, m_options.callers);
            for (auto [isSet, name] : { std::pair(m_options.drills, " --drills"), std::pair(m_options.cuts, " --cuts"), std::pair(m_options.oddAnswers, " --odd-answers"), std::pair(m_options.organisations, " --organisations") })
                options += isSet ? name : "";
            return "cowslipledge-bench soak " + options + (m_options.oldProgram.empty() ? "" : " --old-program " + m_options.oldProgram);
        }

        void report()
        {
            for (const auto& broken : m_broken)
                fmt::print("broken: {} ({})\n", broken, command());
            if (!m_broken.empty()) {
                for (const auto& line : m_history)
                    fmt::print("fault: {}\n", line);
            }
            auto [earlyAnswers, oddHeads] = m_thread.call([&] { return std::pair(m_odd.earlyAnswers(), m_odd.spoiledHeads()); });
            std::string organisations;
            if (m_options.organisations)
                organisations = fmt::format("\"rejected\":{},\"limited\":{},\"sent_with_revoked_keys\":{},\"evacuations\":{},\"cold_arrivals\":{},\"full_windows\":{},", m_coverage.rejected, m_coverage.limited, m_coverage.sentTooLate, m_coverage.evacuations, m_coverage.coldArrivals, m_coverage.fullWindows);
            std::string statuses;
            for (const auto& [status, n] : m_statuses)
                statuses += fmt::format("{}\"{}\":{}", statuses.empty() ? "" : ",", status, n);
            fmt::print("{{\"seed\":{},\"requests\":{},\"statuses\":{{{}}},\"faults\":{},\"replaced\":{},\"in_cuts\":{},\"served_in_cuts\":{},\"beside_cuts\":{},\"served_beside_cuts\":{},\"early_answers\":{},\"odd_heads\":{},{}\"broken\":{}}}\n", m_options.seed, m_outcomes.size(), statuses, m_history.size(), m_replaced, m_inCuts.sent, m_inCuts.ok, m_besideCuts.sent, m_besideCuts.ok, earlyAnswers, oddHeads, organisations, m_broken.size());
        }

        SoakOptions m_options;
        std::mt19937_64 m_random;
        OddAnswers m_odd; // used on the thread of m_thread
        OrganisationHistory m_organisations; // changed only while the thread of m_thread waits, or on it
        Evidence m_evidence;
        Coverage m_coverage;
        PlatformStandIn::LoopThread m_thread;
        PlatformStandIn::ExecutionLog m_runs;
        std::unique_ptr<PlatformStandIn::Store> m_store;
        std::map<std::size_t, bool> m_draining; // by server, as registered last
        std::map<std::size_t, int> m_startedMs; // by server: start time of its incarnation
        std::vector<std::unique_ptr<PlatformStandIn::Server>> m_servers;
        std::vector<std::unique_ptr<FaultProxy>> m_serverProxies;
        std::vector<std::unique_ptr<FaultProxy>> m_storeProxies; // one a gateway
        std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
        std::vector<bool> m_expected; // the gateway's end was asked for
        std::vector<ActiveFault> m_active;
        // By gateway and in all: causes why it can't hear of changes.
        std::vector<int> m_frozen;
        std::vector<int> m_storeCuts;
        int m_storeOutages = 0;
        Clock::time_point m_isolatedUntil; // no other revokeUnheard() begins before
        std::map<std::string, std::vector<Interval>> m_disturbed; // by callers' address
        std::vector<Outcome> m_outcomes;
        std::vector<Cut> m_cuts;
        Clock::time_point m_quietUntil; // no fault begins before
        // Judged by checkCuts(): requests to gateways that were cut off, and to the others meanwhile.
        Served m_inCuts;
        Served m_besideCuts;
        std::map<int, int> m_statuses;
        std::vector<std::string> m_broken;
        std::vector<std::string> m_history;
        Clock::time_point m_begun = Clock::now();
        int m_version = 0;
        int m_replaced = 0; // gateways, by the other version
    };

}

bool runSoak(const SoakOptions& options)
{
    auto good = Run(options).run();
    if (good)
        std::filesystem::remove_all(options.folder);
    return good;
}

}
