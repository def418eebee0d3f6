/**
 * Sequential tests of rates, valid at any time: they can be evaluated after each request without a larger error.
 *
 * Both parts are mixtures of likelihood ratios, which are non-negative martingales with mean 1 under the null rate; by
 * Ville's inequality such a ratio ever reaches 1 / e with probability at most e.
 */

export interface Tally {
    readonly count: number;
    /** Requests with the fault. */
    readonly faults: number;
}

/** A difference below this rate is not worth a rollback. */
export const MINIMUM_NULL_RATE = 0.01;

const ALTERNATIVES = 32;
const HIGHEST_ALTERNATIVE = 0.999;
const BISECTIONS = 40;

/** Alternatives in equal steps of the logarithm; fixed in advance, since the null rate moves with the data. */
const alternatives: readonly number[] = Array.from({ length: ALTERNATIVES }, (_, index) => {
    const lowest = 1.5 * MINIMUM_NULL_RATE;
    return lowest * (HIGHEST_ALTERNATIVE / lowest) ** (index / (ALTERNATIVES - 1));
});

/**
 * Upper end of a confidence sequence for the rate: at no time is the true rate above it, but with probability `error`.
 * 1 without data.
 */
export function upperBound(tally: Tally, error: number): number {
    if (tally.count === 0) {
        return 1;
    }
    const estimate = tally.faults / tally.count;
    const logMixture = logBeta(tally.faults + 0.5, tally.count - tally.faults + 0.5) - logBeta(0.5, 0.5);
    let low = estimate;
    let high = 1;
    for (let round = 0; round < BISECTIONS; round++) {
        const middle = (low + high) / 2;
        const isInside = logMixture - logLikelihood(tally, middle) < Math.log(1 / error);
        if (isInside) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return high;
}

/**
 * Natural logarithm of the evidence that the rate exceeds the null rate. Only alternatives above the null rate count, so
 * that the ratio is a supermartingale for each rate up to it.
 */
export function logEvidence(tally: Tally, nullRate: number): number {
    // Below its maximum the likelihood of the null rate grows with it, so a bound that is too high only lowers this.
    if (tally.count === 0 || nullRate >= 1 || tally.faults / tally.count <= nullRate) {
        return Number.NEGATIVE_INFINITY;
    }
    const base = logLikelihood(tally, nullRate);
    const terms = alternatives
        .filter(rate => rate > nullRate)
        .map(rate => logLikelihood(tally, rate) - base - Math.log(ALTERNATIVES));
    const largest = Math.max(...terms);
    return terms.length === 0
        ? Number.NEGATIVE_INFINITY
        : largest + Math.log(terms.reduce((sum, term) => sum + Math.exp(term - largest), 0));
}

/** True when the new version is proved worse than the old one, with the given probability of a false proof. */
export function isProvedWorse(old: Tally, fresh: Tally, error: number): boolean {
    const nullRate = Math.max(MINIMUM_NULL_RATE, upperBound(old, error / 2));
    return logEvidence(fresh, nullRate) >= Math.log(2 / error);
}

function logLikelihood(tally: Tally, rate: number): number {
    const sound = tally.count - tally.faults;
    return (tally.faults === 0 ? 0 : tally.faults * Math.log(rate)) + (sound === 0 ? 0 : sound * Math.log1p(-rate));
}

function logBeta(left: number, right: number): number {
    return logGamma(left) + logGamma(right) - logGamma(left + right);
}

/** Stirling's series after the argument is shifted above 7; exact to about 1e-12 for positive arguments. */
function logGamma(argument: number): number {
    let shift = 0;
    let value = argument;
    while (value < 7) {
        shift -= Math.log(value);
        value++;
    }
    const inverse = 1 / value;
    const square = inverse * inverse;
    const series = inverse * (1 / 12 - square * (1 / 360 - square * (1 / 1260 - square / 1680)));
    return shift + (value - 0.5) * Math.log(value) - value + 0.5 * Math.log(2 * Math.PI) + series;
}
