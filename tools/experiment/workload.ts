/**
 * Seeded streams of requests with the sizes of `docs/design.md`, section 2.4. Piece names contain the customer, so
 * customers share no prefixes.
 */
import * as generators from "pure-rand/generator/xoroshiro128plus";

/**
 * `networkMs` is the one-way time between data centres and `clientMs` that between a client and its entry. Each
 * customer has `roots` prefixes with `branches` longer ones each. The tail of a prompt is not shared. The rate is that
 * of all entries, the cache that of one engine.
 */
const KREMSAU = {
    engines: 8,
    dataCentres: 3,
    networkMs: 1,
    clientMs: 1,
    prefillMsPerToken: 0.05,
    cachePieces: 200,
    requestsPerSecond: 40,
    roots: 6,
    rootPieces: 4,
    branches: 8,
    branchPieces: 6,
    zipfExponent: 1.2,
    shortestTailTokens: 500,
    longestTailTokens: 3000,
    reviewShare: 0,
};
const FALIKEP: typeof KREMSAU = {
    engines: 13,
    dataCentres: 4,
    networkMs: 1.5,
    clientMs: 3,
    prefillMsPerToken: 0.03,
    cachePieces: 300,
    requestsPerSecond: 130,
    roots: 5,
    rootPieces: 16,
    branches: 5,
    branchPieces: 6,
    zipfExponent: 1.1,
    shortestTailTokens: 300,
    longestTailTokens: 2000,
    reviewShare: 0.25,
};
export const WORKLOADS = { kremsau: KREMSAU, falikep: FALIKEP };
export const SCENARIOS = ["calm", "shift", "surge", "cold server"] as const;
export const ENTRIES = 3;
export const DURATION_MS = 40_000;
export const WARM_UP_MS = 15_000;
export const PIECE_TOKENS = 1024;
export const SURGING_CUSTOMER_INDEX = 3;
/** Share of each customer in the request rate. */
const CUSTOMER_SHARES = [0.4, 0.3, 0.14, 0.1, 0.06];
/** The rate grows over this time, since a start of all servers with empty caches at full rate is not a scenario. */
const RAMP_MS = 12_000;
/** Times in milliseconds; `factor` multiplies the rate of the surging customer. */
const SURGE = { from: 17_000, to: 33_000, factor: 5 };
/** Times at which the popularity of prefixes changes. */
const SHIFTS_MS = [20_000, 30_000];
/** Reviews are conversations of several turns, in which each turn extends the prompt of the turn before. */
const REVIEWS = { concurrent: 60, turns: 8, firstPieces: 6 };

export type Workload = typeof KREMSAU;
export type Scenario = typeof SCENARIOS[number];
export interface Arrival {
    readonly id: number;
    /** Milliseconds from the start of the run. */
    readonly at: number;
    readonly customer: number;
    readonly entry: number;
    readonly chain: readonly string[];
    /** Last piece of the part of the prompt that other requests share. */
    readonly sharedKey: string;
    readonly promptTokens: number;
    readonly pieceTokens: number;
    readonly decodeMs: number;
    readonly isReview: boolean;
}
type Random = () => number;

export function randomFrom(seed: number): Random {
    const generator = generators.xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / 2 ** 32;
}

/** Generates the arrivals of one run. Names replace the hashes of pieces, since the hash function is not measured. */
export function arrivals(workload: Workload, scenario: Scenario, seed: number): readonly Arrival[] {
    const random = randomFrom(seed);
    const weights = Array.from(
        { length: workload.roots * workload.branches },
        (_, rank) => 1 / (rank + 1) ** workload.zipfExponent,
    );
    const shuffle = () => weights.map((_, index) => ({ index, key: random() })).sort((a, b) => a.key - b.key);
    let popularity = CUSTOMER_SHARES.map(shuffle);
    const remainingShifts = scenario === "shift" ? [...SHIFTS_MS] : [];
    const reviews = CUSTOMER_SHARES.map(share =>
        Array.from({ length: Math.ceil(share * REVIEWS.concurrent) }, () => ({
            chain: [] as string[],
            turns: REVIEWS.turns,
        }))
    );
    const result: Arrival[] = [];
    for (let at = 0; at < DURATION_MS;) {
        const isSurging = scenario === "surge" && at >= SURGE.from && at < SURGE.to;
        const shares = CUSTOMER_SHARES.map((share, index) =>
            share * (isSurging && index === SURGING_CUSTOMER_INDEX ? SURGE.factor : 1)
        );
        const rate = workload.requestsPerSecond * sum(shares) * Math.min(1, (at + 1000) / RAMP_MS);
        at += -Math.log(1 - random()) * 1000 / rate;
        if (at >= remainingShifts[0]) {
            remainingShifts.shift();
            popularity = CUSTOMER_SHARES.map(shuffle);
        }
        const id = result.length;
        const customer = pickWeighted(shares, random);
        const branch = popularity[customer][pickWeighted(weights, random)].index;
        const root = createPieces(`${customer}/${Math.floor(branch / workload.branches)}`, workload.rootPieces);
        const isReview = random() < workload.reviewShare;
        const review = reviews[customer][Math.floor(random() * reviews[customer].length)];
        if (isReview && review.turns++ >= REVIEWS.turns) {
            Object.assign(review, { turns: 1, chain: [...root, ...createPieces(`review${id}`, REVIEWS.firstPieces)] });
        }
        else if (isReview) {
            review.chain = [...review.chain, ...createPieces(`turn${id}`, 1 + Math.floor(random() * 3))];
        }
        const shared = isReview
            ? review.chain
            : [...root, ...createPieces(`${customer}//${branch}`, workload.branchPieces)];
        const tail = workload.shortestTailTokens
            + Math.floor(random() * (workload.longestTailTokens - workload.shortestTailTokens));
        const entry = Math.floor(random() * ENTRIES);
        const chain = [...shared, ...createPieces(`tail${id}`, Math.floor(tail / PIECE_TOKENS))];
        const promptTokens = shared.length * PIECE_TOKENS + tail;
        const decodeMs = 20 * (50 + Math.floor(random() * 200));
        const sharedKey = shared[shared.length - 1];
        result.push({
            id,
            at,
            customer,
            entry,
            chain,
            sharedKey,
            promptTokens,
            decodeMs,
            isReview,
            pieceTokens: PIECE_TOKENS,
        });
    }
    return result;
}

export function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function createPieces(name: string, count: number): readonly string[] {
    return Array.from({ length: count }, (_, index) => `${name}.${index}`);
}

function pickWeighted(weights: readonly number[], random: Random): number {
    let remaining = random() * sum(weights);
    return Math.max(0, weights.findIndex(weight => (remaining -= weight) < 0));
}
