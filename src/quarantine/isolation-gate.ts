/**
 * Gate between the queue of an agent and its server. A trial starts only when nothing else is in flight, and nothing
 * starts while it runs.
 *
 * The verdict of a run is read when the run starts, not when it arrives, so copies that wait for a trial get its
 * outcome. Report a crash or a completed trial to the controller before calling `finish`.
 */
import type * as types from "./types.js";

export interface Run {
    /** Identifies the attempt. */
    readonly id: string;
    readonly fingerprint: string;
    /** Whether the entry sent it as a trial. */
    readonly alone: boolean;
}

export interface Actions {
    readonly start: readonly Run[];
    /** To be refused with `request-quarantined`. */
    readonly refuse: readonly Run[];
    /**
     * To be failed with `request-suspected`: they became suspects while waiting, and the entry selects the trial
     * server.
     */
    readonly sendBack: readonly Run[];
    /**
     * To be cancelled with `suspect-withdrawn`: a copy arrived as a trial before this agent received the crash report.
     */
    readonly withdraw: readonly Run[];
}

export class IsolationGate {
    private readonly running = new Map<string, Run>();
    private waitingRuns: Run[] = [];
    private waitingTrials: Run[] = [];
    /** The trial that runs, or that starts as soon as the runs in flight have ended. */
    private currentTrial: Run | undefined;

    constructor(private readonly verdict: (fingerprint: string) => types.Verdict) {}

    submit(run: Run): Actions {
        (run.alone ? this.waitingTrials : this.waitingRuns).push(run);
        return { ...this.startNext(), withdraw: run.alone ? this.runsToCancel(run.fingerprint) : [] };
    }

    /** Removes a run that ended, or that was cancelled while it waited. */
    finish(id: string): Actions {
        this.running.delete(id);
        this.waitingRuns = this.waitingRuns.filter(run => run.id !== id);
        this.waitingTrials = this.waitingTrials.filter(run => run.id !== id);
        if (this.currentTrial?.id === id) {
            this.currentTrial = undefined;
        }
        return this.startNext();
    }

    /** Removes the runs in flight after a crash and returns their fingerprints. Waiting runs remain. */
    handleCrash(): { readonly inFlight: readonly string[]; readonly trial: boolean; } {
        const runs = [...this.running.values()];
        const trial = runs.length === 1 && runs[0] === this.currentTrial;
        // A trial that had not started yet goes back to the queue.
        if (this.currentTrial !== undefined && !this.running.has(this.currentTrial.id)) {
            this.waitingTrials.unshift(this.currentTrial);
        }
        this.running.clear();
        this.currentTrial = undefined;
        return { inFlight: runs.map(run => run.fingerprint), trial };
    }

    isRunning(id: string): boolean {
        return this.running.has(id);
    }

    isTrial(id: string): boolean {
        return this.running.has(id) && this.currentTrial?.id === id;
    }

    /**
     * Runs to cancel after the verdict of their request became stricter: all of them if it is refused, otherwise all
     * but the trial.
     */
    runsToCancel(fingerprint: string): readonly Run[] {
        const refused = this.verdict(fingerprint) === "refuse";
        return [...this.running.values()]
            .filter(run => run.fingerprint === fingerprint && (refused || run !== this.currentTrial));
    }

    /** Selects the waiting runs that may start now. Also call it when the server is ready again after a crash. */
    startNext(): Actions {
        const start: Run[] = [];
        const refuse = this.removeWaiting(run => this.verdict(run.fingerprint) === "refuse");
        const sendBack = this.removeWaiting(run => !run.alone && this.isSuspect(run.fingerprint));
        // Runs that waited for one trial start before the next trial, so that no run waits for two.
        if (this.currentTrial === undefined) {
            start.push(...this.waitingRuns);
            this.waitingRuns = [];
            this.currentTrial = this.waitingTrials.shift();
        }
        start.forEach(run => this.running.set(run.id, run));
        if (this.currentTrial !== undefined && this.running.size === 0) {
            this.running.set(this.currentTrial.id, this.currentTrial);
            start.push(this.currentTrial);
        }
        return { start, refuse, sendBack, withdraw: [] };
    }

    private isSuspect(fingerprint: string): boolean {
        const allTrials = this.currentTrial === undefined
            ? this.waitingTrials
            : [this.currentTrial, ...this.waitingTrials];
        return this.verdict(fingerprint) === "run-alone" || allTrials.some(run => run.fingerprint === fingerprint);
    }

    /** Removes the waiting runs that match, including a trial that has not started, and returns them. */
    private removeWaiting(predicate: (run: Run) => boolean): readonly Run[] {
        const pendingTrial = this.currentTrial !== undefined && !this.running.has(this.currentTrial.id)
            ? [this.currentTrial]
            : [];
        const removed = new Set([...this.waitingRuns, ...this.waitingTrials, ...pendingTrial].filter(predicate));
        this.waitingRuns = this.waitingRuns.filter(run => !removed.has(run));
        this.waitingTrials = this.waitingTrials.filter(run => !removed.has(run));
        if (this.currentTrial !== undefined && removed.has(this.currentTrial)) {
            this.currentTrial = undefined;
        }
        return [...removed];
    }
}
