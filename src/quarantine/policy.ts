/** How crashes become a verdict: the two kinds of evidence that the product has. */

export interface Policy {
    /** Crashes from which a suspect runs only as a trial. */
    readonly crashesForTrial: number;
    /** Crashes from which a suspect is refused, if at least one of them ended a trial. */
    readonly crashesForRefusal: number;
    /** Whether an answer clears crashes of trials too. */
    readonly answerClearsTrials: boolean;
}

/** Trials that run alone on their server: one crash is proof. */
export const isolatedTrials: Policy = { crashesForTrial: 1, crashesForRefusal: 1, answerClearsTrials: false };

/**
 * Trials that run beside other calls. Each call that had not begun at a crash is accused, most of them wrongly, so that
 * it takes several crashes; and an answer on the same prompt part proves that the part crashes nothing.
 */
export const sharedTrials: Policy = { crashesForTrial: 2, crashesForRefusal: 3, answerClearsTrials: true };
