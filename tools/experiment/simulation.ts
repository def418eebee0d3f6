/** Simulates one run: requests arrive at entries that share no state and are routed to fake servers. */
import * as prefixIndex from "../../src/routing/prefix-index.js";
import * as redirection from "../../src/routing/redirection.js";
import * as serverLoads from "../../src/routing/server-loads.js";
import * as fakes from "./fake-server.js";
import type * as policies from "./policies.js";
import * as workloads from "./workload.js";

export type Measures = ReturnType<typeof summarize>;
/** Times in milliseconds. */
const CRASH = { at: 20_000, downMs: 3000 };
const SAME_DATA_CENTRE_ROUND_TRIP_MS = 0.2;
const MAXIMUM_ATTEMPTS = 2;

/** Actions sorted by time, the earliest last. Actions with the same time run in the order in which they were added. */
class EventQueue {
    private readonly items: { readonly at: number; readonly action: (now: number) => void; }[] = [];

    add(at: number, action: (now: number) => void): void {
        let low = 0;
        for (let high = this.items.length; low < high;) {
            const middle = (low + high) >> 1;
            [low, high] = this.items[middle].at > at ? [middle + 1, high] : [low, middle];
        }
        this.items.splice(low, 0, { at, action });
    }

    run(): void {
        for (let item = this.items.pop(); item !== undefined; item = this.items.pop()) {
            item.action(item.at);
        }
    }
}

/** Runs a policy on the arrivals and returns the measures of the time after the warm-up. */
export function run(
    workload: workloads.Workload,
    scenario: workloads.Scenario,
    arrivals: readonly workloads.Arrival[],
    policy: policies.Policy,
    seed: number,
) {
    const events = new EventQueue();
    const serverList = Array.from(
        { length: workload.engines },
        (_, index) => new fakes.FakeServer(`server-${index}`, workload, (at, action) => events.add(at, action)),
    );
    const servers = new Map(serverList.map(server => [server.address, server]));
    const entries = Array.from({ length: workloads.ENTRIES }, (_, index): policies.EntryState => ({
        index: new prefixIndex.PrefixIndex(policy.settings),
        loads: new serverLoads.ServerLoads(policy.settings),
        inFlight: new Map(),
        random: workloads.randomFrom(seed * 1000 + index),
        settings: policy.settings,
        servers,
        workload,
        roundRobinTurn: index,
    }));
    const samples: Sample[] = [];
    const refused: workloads.Arrival[] = [];
    const computedPieces = new Set<string>();
    const roundTripTo = (entry: number, server: number) =>
        entry % workload.dataCentres === server % workload.dataCentres
            ? SAME_DATA_CENTRE_ROUND_TRIP_MS
            : 2 * workload.networkMs;

    const route = (arrival: workloads.Arrival, now: number): void => {
        const candidates = serverList.flatMap(({ address, isUp }, index) =>
            isUp ? [{ address, engineBoot: "", weight: 1, networkMs: roundTripTo(arrival.entry, index) }] : []
        );
        const ranked = policy.rank(arrival, candidates, entries[arrival.entry], now);
        send(arrival, 0, ranked, policy.isRouterPolicy, now);
    };

    const send = (
        arrival: workloads.Arrival,
        attempt: number,
        [choice, ...others]: readonly policies.Choice[],
        mayRedirect: boolean,
        now: number,
    ): void => {
        const server = servers.get(choice?.address);
        if (attempt >= MAXIMUM_ATTEMPTS || server === undefined) {
            refused.push(arrival);
            return;
        }
        const { index, loads, inFlight } = entries[arrival.entry];
        const { address } = server;
        const roundTripMs = roundTripTo(arrival.entry, serverList.indexOf(server));
        const attemptId = `${arrival.id}/${attempt}/${mayRedirect}`;
        loads.recordSent(address, attemptId, arrival.promptTokens - choice.expectedCachedTokens, roundTripMs, now);
        if (policy.isRouterPolicy) {
            index.recordSent(arrival.chain, address, now);
        }
        const addInFlight = (change: number) => inFlight.set(address, (inFlight.get(address) ?? 0) + change);
        addInFlight(1);
        const abandon = () => {
            addInFlight(-1);
            loads.removePending(address, attemptId);
        };
        const readLoad = (at: number) => ({ queuedTokens: server.queuedTokens(at), running: 0, waiting: 0 });
        const onLost = (lostAt: number) => {
            abandon();
            index.invalidate(address, lostAt);
            route(arrival, lostAt);
        };
        const onStarted = (cachedTokens: number, startedAt: number) => {
            const receivedAt = startedAt + roundTripMs / 2;
            const uncachedPieces = arrival.chain.slice(cachedTokens / workloads.PIECE_TOKENS);
            const wastedTokens = uncachedPieces.filter(hash => computedPieces.has(hash)).length
                * workloads.PIECE_TOKENS;
            uncachedPieces.forEach(hash => computedPieces.add(hash));
            const firstTokenMs = receivedAt - arrival.at + 2 * workload.clientMs;
            samples.push({ arrival, firstTokenMs, cachedTokens, wastedTokens });
            const cacheReport = { engineBoot: String(server.boot), cachedTokens };
            const load = readLoad(startedAt);
            events.add(receivedAt, at => {
                if (policy.isRouterPolicy) {
                    index.recordReply(arrival, address, cacheReport, now, at);
                }
                loads.recordFirstToken(address, attemptId, arrival.promptTokens - cachedTokens, load, at);
            });
            events.add(receivedAt + arrival.decodeMs, () => addInFlight(-1));
        };
        events.add(now + roundTripMs / 2, at => {
            const ownEstimate = () => ({
                queuedTokens: server.queuedTokens(at),
                uncachedTokens: arrival.promptTokens - server.cachedTokens(arrival, true),
                prefillMsPerToken: workload.prefillMsPerToken,
                networkMs: 0,
            });
            const returnsAt = at + roundTripMs / 2;
            if (mayRedirect && redirection.decide(ownEstimate(), others[0], mayRedirect).kind === "redirect") {
                const load = readLoad(at);
                events.add(returnsAt, returnedAt => {
                    abandon();
                    loads.recordReport(address, load, returnedAt);
                    send(arrival, attempt, others, false, returnedAt);
                });
            }
            else if (!server.submit({ arrival, onStarted, onLost }, at)) {
                abandon();
                events.add(returnsAt, returnedAt => send(arrival, attempt + 1, others, false, returnedAt));
            }
        });
    };

    arrivals.forEach(arrival => events.add(arrival.at, now => route(arrival, now)));
    if (scenario === "cold server") {
        events.add(CRASH.at, now => serverList[0].crash(now));
        events.add(CRASH.at + CRASH.downMs, () => serverList[0].isUp = true);
    }
    events.run();
    const busyMs = workloads.sum(serverList.map(server => server.busyMs));
    return summarize(scenario, samples, refused, busyMs / (workload.engines * workloads.DURATION_MS));
}

interface Sample {
    readonly arrival: workloads.Arrival;
    readonly firstTokenMs: number;
    readonly cachedTokens: number;
    /** Tokens computed again although a server had computed them before. */
    readonly wastedTokens: number;
}

function summarize(
    scenario: workloads.Scenario,
    all: readonly Sample[],
    refused: readonly workloads.Arrival[],
    utilization: number,
) {
    const isInRate = ({ customer }: workloads.Arrival) =>
        scenario !== "surge" || customer !== workloads.SURGING_CUSTOMER_INDEX;
    const samples = all.filter(sample => sample.arrival.at >= workloads.WARM_UP_MS);
    const reviews = samples.filter(sample => sample.arrival.isReview);
    const inRate = samples.filter(({ arrival }) => isInRate(arrival));
    const customers = [...new Set(inRate.map(({ arrival }) => arrival.customer))];
    return {
        hitRate: hitRate(samples),
        p95: quantile(samples, 0.95),
        p99: quantile(samples, 0.99),
        wastedPerRequest: workloads.sum(samples.map(sample => sample.wastedTokens)) / samples.length,
        worstCustomer: Math.max(
            ...customers.map(name => quantile(inRate.filter(({ arrival }) => arrival.customer === name), 0.95)),
        ),
        refused: refused.filter(isInRate).length,
        reviewHitRate: hitRate(reviews),
        reviewP95: quantile(reviews, 0.95),
        utilization,
    };
}

function hitRate(samples: readonly Sample[]): number {
    const cached = workloads.sum(samples.map(sample => sample.cachedTokens));
    return cached / Math.max(1, workloads.sum(samples.map(sample => sample.arrival.promptTokens)));
}

function quantile(samples: readonly Sample[], share: number): number {
    const sorted = samples.map(sample => sample.firstTokenMs).sort((left, right) => left - right);
    return sorted[Math.ceil(share * sorted.length) - 1] ?? 0;
}
