/**
 * Gate between the queue of an agent and its server: a trial starts only when nothing else is in flight, and nothing
 * starts beside it.
 *
 * The verdict of each run is read when it starts and not when it arrives, so copies that wait behind a trial follow
 * its outcome. Report a crash or a completed trial to the controller before calling `finish`.
 */
import type * as types from "./types.js";

export interface Run {
    /** Identifies the attempt. */
    readonly id: string;
    readonly fingerprint: string;
    /** The entry sent it as a trial to this server. */
    readonly alone: boolean;
}

export interface Actions {
    readonly start: readonly Run[];
    /** Refused with `request-quarantined`. */
    readonly refuse: readonly Run[];
    /** Sent back with `request-suspected`: they became suspects while they waited, and trials run elsewhere. */
    readonly sendBack: readonly Run[];
    /** Cancelled with `suspect-withdrawn`: a copy arrived as a trial before this agent knew of the crash. */
    readonly withdraw: readonly Run[];
}

export class IsolationGate {
    private readonly running = new Map<string, Run>();
    private ordinary: Run[] = [];
    private trials: Run[] = [];
    /** Trial for which the server is being emptied, or which runs. */
    private selected: Run | undefined;

    constructor(private readonly verdict: (fingerprint: string) => types.Verdict) {}

    submit(run: Run): Actions {
        (run.alone ? this.trials : this.ordinary).push(run);
        return { ...this.proceed(), withdraw: run.alone ? this.exposed(run.fingerprint) : [] };
    }

    /** Removes a run that ended or that its caller gave up while it waited. */
    finish(id: string): Actions {
        this.running.delete(id);
        this.ordinary = this.ordinary.filter(run => run.id !== id);
        this.trials = this.trials.filter(run => run.id !== id);
        if (this.selected?.id === id) {
            this.selected = undefined;
        }
        return this.proceed();
    }

    /** Empties the gate after a crash and returns what was in flight. Runs that wait remain. */
    crash(): { readonly inFlight: readonly string[]; readonly trial: boolean; } {
        const runs = [...this.running.values()];
        const trial = runs.length === 1 && runs[0] === this.selected;
        // A trial that was selected but did not run yet waits again.
        if (this.selected !== undefined && !this.running.has(this.selected.id)) {
            this.trials.unshift(this.selected);
        }
        this.running.clear();
        this.selected = undefined;
        return { inFlight: runs.map(run => run.fingerprint), trial };
    }

    isRunning(id: string): boolean {
        return this.running.has(id);
    }

    isTrial(id: string): boolean {
        return this.running.has(id) && this.selected?.id === id;
    }

    /** Runs that must be cancelled since the verdict of their request worsened: all of a refused one, else all but a trial. */
    exposed(fingerprint: string): readonly Run[] {
        const refused = this.verdict(fingerprint) === "refuse";
        return [...this.running.values()]
            .filter(run => run.fingerprint === fingerprint && (refused || run !== this.selected));
    }

    /** Starts what may start; also called when the server is ready again after a crash. */
    proceed(): Actions {
        const start: Run[] = [];
        const refuse = this.remove(run => this.verdict(run.fingerprint) === "refuse");
        const sendBack = this.remove(run => !run.alone && this.isSuspect(run.fingerprint));
        // Requests that waited for one trial go before the next one, so none waits for two.
        if (this.selected === undefined) {
            start.push(...this.ordinary);
            this.ordinary = [];
            this.selected = this.trials.shift();
        }
        start.forEach(run => this.running.set(run.id, run));
        if (this.selected !== undefined && this.running.size === 0) {
            this.running.set(this.selected.id, this.selected);
            start.push(this.selected);
        }
        return { start, refuse, sendBack, withdraw: [] };
    }

    private isSuspect(fingerprint: string): boolean {
        const trials = this.selected === undefined ? this.trials : [this.selected, ...this.trials];
        return this.verdict(fingerprint) === "run-alone" || trials.some(run => run.fingerprint === fingerprint);
    }

    /** Removes the waiting runs that satisfy the condition. */
    private remove(condition: (run: Run) => boolean): readonly Run[] {
        const emptying = this.selected !== undefined && !this.running.has(this.selected.id) ? [this.selected] : [];
        const removed = new Set([...this.ordinary, ...this.trials, ...emptying].filter(condition));
        this.ordinary = this.ordinary.filter(run => !removed.has(run));
        this.trials = this.trials.filter(run => !removed.has(run));
        if (this.selected !== undefined && removed.has(this.selected)) {
            this.selected = undefined;
        }
        return [...removed];
    }
}
