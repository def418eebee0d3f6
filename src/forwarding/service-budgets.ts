/** Retry budgets of the services, shared by all entries in equal parts. */
import * as retryBudgets from "../resilience/retry-budget.js";

export interface BudgetSettings {
    /** Retries per request that all entries together may send. */
    readonly share: number;
    /** Retries of a window that all entries together may send beyond the share. */
    readonly slackPerWindow: number;
}

/** Part of the budget that is used; the rest covers windows of the entries that do not coincide. */
const USED_PART = 0.7;

export class ServiceBudgets {
    private readonly budgets = new Map<string, retryBudgets.RetryBudget>();

    constructor(private readonly settings: BudgetSettings, private readonly entryCount: (now: number) => number) {}

    /** Budget of a service with this entry's part at the moment. */
    of(service: string, now: number): retryBudgets.RetryBudget {
        const policy = {
            retryRatio: this.settings.share * USED_PART,
            minimumPerSecond: 0,
            extraPerWindow: this.settings.slackPerWindow * USED_PART / Math.max(1, this.entryCount(now)),
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
