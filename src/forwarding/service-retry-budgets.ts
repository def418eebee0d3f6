/** Retry budgets by service, divided equally among the entries. */
import * as retryBudgets from "../resilience/retry-budget.js";

export interface RetryBudgetSettings {
    /** Retries per request, for all entries together. */
    readonly retriesPerRequest: number;
    /** Additional retries per window, for all entries together. */
    readonly extraRetriesPerWindow: number;
}

/** Share of the budget that is spent. The rest is a margin because the windows of the entries are not aligned. */
const USABLE_SHARE = 0.7;

export class ServiceRetryBudgets {
    private readonly budgets = new Map<string, retryBudgets.RetryBudget>();

    constructor(private readonly settings: RetryBudgetSettings, private readonly entryCount: (now: number) => number) {}

    /** Budget of a service, set to this entry's current part. */
    of(service: string, now: number): retryBudgets.RetryBudget {
        const policy = {
            retryRatio: this.settings.retriesPerRequest * USABLE_SHARE,
            minimumPerSecond: 0,
            extraPerWindow: this.settings.extraRetriesPerWindow * USABLE_SHARE / Math.max(1, this.entryCount(now)),
        };
        const known = this.budgets.get(service);
        if (known !== undefined) {
            known.setPolicy(policy);
            return known;
        }
        const budget = new retryBudgets.RetryBudget(policy);
        this.budgets.set(service, budget);
        return budget;
    }
}
