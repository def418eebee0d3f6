/**
 * Anytime-valid sequential tests of rates: evaluating them after each request does not increase the error probability.
 *
 * The confidence bound and the test use mixtures of likelihood ratios, which are non-negative martingales with mean 1
 * under the null rate; by Ville's inequality such a ratio ever reaches 1 / e with probability at most e.
 */

export interface Tally {
    /** Number of requests. */
    readonly count: number;
    /** Number of requests that had the fault. */
    readonly faults: number;
}

/** Smallest null rate; fault rates up to this don't justify a rollback. */
export const MINIMUM_NULL_RATE = 0.01;

const ALTERNATIVE_COUNT = 32;
const HIGHEST_ALTERNATIVE_RATE = 0.999;
const BISECTION_ROUNDS = 40;

/** Logarithmically spaced alternative rates; fixed in advance, since the null rate changes with the data. */
const alternativeRates: readonly number[] = Array.from({ length: ALTERNATIVE_COUNT }, (_, index) => {
    const lowest = 1.5 * MINIMUM_NULL_RATE;
    return lowest * (HIGHEST_ALTERNATIVE_RATE / lowest) ** (index / (ALTERNATIVE_COUNT - 1));
});

/**
 * Upper bound of a confidence sequence: the true rate ever exceeds it with probability at most `errorProbability`.
 * Returns 1 without data.
 */
export function upperBound(tally: Tally, errorProbability: number): number {
    if (tally.count === 0) {
        return 1;
    }
    const estimate = tally.faults / tally.count;
    const logMixture = logBeta(tally.faults + 0.5, tally.count - tally.faults + 0.5) - logBeta(0.5, 0.5);
    let low = estimate;
    let high = 1;
    for (let round = 0; round < BISECTION_ROUNDS; round++) {
        const middle = (low + high) / 2;
        const isInside = logMixture - logLikelihood(tally, middle) < Math.log(1 / errorProbability);
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
 * Natural logarithm of the mixture likelihood ratio against the null rate. Only alternatives above the null rate are
 * included, so that the ratio is a supermartingale for each rate up to it.
 */
export function logLikelihoodRatio(tally: Tally, nullRate: number): number {
    // Below the estimate the likelihood grows with the null rate, so overestimating it only lowers the result.
    if (tally.count === 0 || nullRate >= 1 || tally.faults / tally.count <= nullRate) {
        return Number.NEGATIVE_INFINITY;
    }
    const base = logLikelihood(tally, nullRate);
    const terms = alternativeRates
        .filter(rate => rate > nullRate)
        .map(rate => logLikelihood(tally, rate) - base - Math.log(ALTERNATIVE_COUNT));
    const largest = Math.max(...terms);
    return terms.length === 0
        ? Number.NEGATIVE_INFINITY
        : largest + Math.log(terms.reduce((sum, term) => sum + Math.exp(term - largest), 0));
}

/** True if the fault rate of the candidate significantly exceeds the baseline's, with the given false positive rate. */
export function isSignificantlyWorse(baseline: Tally, candidate: Tally, errorProbability: number): boolean {
    const nullRate = Math.max(MINIMUM_NULL_RATE, upperBound(baseline, errorProbability / 2));
    return logLikelihoodRatio(candidate, nullRate) >= Math.log(2 / errorProbability);
}

function logLikelihood(tally: Tally, rate: number): number {
    const successes = tally.count - tally.faults;
    return (tally.faults === 0 ? 0 : tally.faults * Math.log(rate)) +
        (successes === 0 ? 0 : successes * Math.log1p(-rate));
}

function logBeta(left: number, right: number): number {
    return logGamma(left) + logGamma(right) - logGamma(left + right);
}

/** Stirling's series after shifting the argument to 7 or more; accurate to about 1e-12 for positive arguments. */
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
