/**
 * Runs generations through the isolation gate, and tells crashes of the engine from broken connections.
 *
 * The gate counts a run until the engine has ended it for certain. While a broken connection is examined the gate does
 * not change, so the runs that it counts are the ones that were in flight.
 */
import type * as clocks from "../clock/clock.js";
import type * as failures from "../core/failure.js";
import type * as outcomes from "../core/outcome.js";
import * as decisions from "../quarantine/decisions.js";
import * as gates from "../quarantine/isolation-gate.js";
import type * as tables from "../quarantine/table.js";
import type * as quarantine from "../quarantine/types.js";
import type * as engineTypes from "./engine-types.js";

/** A trial waits this long for a starting engine: if it moved on at once, a copy could run here at the same time. */
export const TRIAL_HOLD_MS = 3000;
/** Pause between two questions whether the engine answers. */
const PROBE_INTERVAL_MS = 50;
/** A dying engine may reset new connections before it refuses them; after this many questions it counts as gone. */
const PROBE_LIMIT = 5;

/** The part of `EngineClient` that runs need. */
export interface Engine {
    readonly address: string;
    generate(
        request: engineTypes.EngineRequest,
        signal: AbortSignal,
    ): AsyncGenerator<engineTypes.EngineEvent, void, void>;
    /** Returns false when the engine does not know the request. */
    cancel(requestId: string): Promise<outcomes.Outcome<boolean>>;
    /** Returns the boot identifier. */
    health(): Promise<outcomes.Outcome<string>>;
}

/** The part of `QuarantineController` that runs need. */
export interface Quarantine {
    decide(fingerprint: string): quarantine.Verdict;
    reportCrash(report: tables.CrashReport): void;
    reportCompleted(fingerprint: string): void;
}

export interface IsolatedRunsOptions {
    /** Address of the agent. */
    readonly server: string;
    readonly engine: Engine;
    /** Boot identifier of the engine as last seen; empty when unknown. */
    readonly engineBoot: () => string;
    readonly clock: clocks.Clock;
    /** Creates the controller with the listener for worse verdicts; called once. */
    readonly quarantine: (onWorse: (fingerprint: string, verdict: quarantine.Verdict) => void) => Quarantine;
}

/** What the gate needs to know of a request. */
export interface Suspicion {
    readonly fingerprint: string;
    readonly runAlone: boolean;
}

export interface Generation extends Suspicion {
    readonly request: engineTypes.EngineRequest;
    /** Called when the request is sent to the engine, after its wait at the gate. */
    readonly started: () => void;
}

interface Work {
    readonly run: gates.Run;
    /** Aborts the generation on the engine. */
    readonly stop: AbortController;
    /** Ends the wait at the gate, with a failure unless the run may start. */
    readonly admit: (refusal: failures.Failure | undefined) => void;
    readonly admitted: Promise<failures.Failure | undefined>;
    /** Run of the engine that received the request. */
    boot: string;
    /** Answer of a run that this agent ended. */
    ending: failures.Failure | undefined;
}

export class IsolatedRuns {
    private readonly quarantine: Quarantine;
    private readonly gate: gates.IsolationGate;
    private readonly works = new Map<string, Work>();
    /** Examination of a broken connection. */
    private examination: Promise<void> | undefined;

    constructor(private readonly options: IsolatedRunsOptions) {
        this.gate = new gates.IsolationGate(fingerprint => this.quarantine.decide(fingerprint));
        this.quarantine = options.quarantine((fingerprint, verdict) => this.withdraw(fingerprint, verdict));
    }

    /** Fails with `request-quarantined` or `request-suspected`; nothing ran. */
    check(suspicion: Suspicion): outcomes.Outcome<undefined> {
        const { fingerprint, runAlone } = suspicion;
        return decisions.checkAtAgent(this.quarantine.decide(fingerprint), runAlone, fingerprint);
    }

    /** Yields the events of a generation; the last one is its only `end` or `failed` event. */
    async *generate(
        generation: Generation,
        signal: AbortSignal,
    ): AsyncGenerator<engineTypes.EngineEvent, void, void> {
        const { request, fingerprint, runAlone } = generation;
        const work = createWork({ id: request.requestId, fingerprint, alone: runAlone });
        while (this.examination !== undefined) {
            await this.examination;
        }
        const refusal = await this.enter(work, signal) ?? await this.prepare(work, signal);
        if (refusal !== undefined) {
            await this.leave(work);
            yield { type: "failed", failure: refusal };
            return;
        }
        generation.started();
        let ended = false;
        try {
            const stop = AbortSignal.any([signal, work.stop.signal]);
            for await (const event of this.options.engine.generate(request, stop)) {
                if (event.type === "start" && event.boot !== "") {
                    work.boot = event.boot;
                }
                ended = event.type === "end" || event.type === "failed";
                yield ended ? await this.end(work, event) : event;
            }
        }
        finally {
            if (!ended) {
                void this.cancel(work);
            }
        }
    }

    private async enter(work: Work, signal: AbortSignal): Promise<failures.Failure | undefined> {
        const { id } = work.run;
        const abandon = () => work.admit({ kind: "engine-cancelled", detail: `${id} before its start` });
        signal.addEventListener("abort", abandon, { once: true });
        this.works.set(id, work);
        this.apply(this.gate.submit(work.run));
        if (signal.aborted) {
            abandon();
        }
        const refusal = await work.admitted;
        signal.removeEventListener("abort", abandon);
        return refusal;
    }

    /** Finds out which run of the engine receives the request. A trial waits for an engine that is starting. */
    private async prepare(work: Work, signal: AbortSignal): Promise<failures.Failure | undefined> {
        work.boot = this.options.engineBoot();
        if (!work.run.alone) {
            return undefined;
        }
        // Asked anew: a crash before the trial must not count as a crash of the trial.
        const boot = await this.untilReady(AbortSignal.any([signal, work.stop.signal]));
        work.boot = boot ?? "";
        return work.ending ?? (boot === undefined
            ? { kind: "engine-unreachable", detail: `${this.options.engine.address}: down before a trial` }
            : undefined);
    }

    /** Boot identifier of the engine; undefined when it does not answer within `TRIAL_HOLD_MS`. */
    private async untilReady(signal: AbortSignal): Promise<string | undefined> {
        const { clock, engine } = this.options;
        const end = clock.now() + TRIAL_HOLD_MS;
        for (;;) {
            const health = await engine.health();
            if (health.ok) {
                return health.value;
            }
            if (signal.aborted || clock.now() >= end) {
                return undefined;
            }
            await clock.sleep(PROBE_INTERVAL_MS, signal);
        }
    }

    /** Accounts for the last event of a run and returns the one to answer with. */
    private async end(work: Work, event: engineTypes.EngineEvent): Promise<engineTypes.EngineEvent> {
        const { id, fingerprint } = work.run;
        if (event.type === "end") {
            if (this.gate.isTrial(id)) {
                this.quarantine.reportCompleted(fingerprint);
            }
            await this.leave(work);
            return event;
        }
        if (event.type === "failed" && this.works.get(id) === work) {
            await this.endFailed(work, event.failure);
        }
        return work.ending === undefined ? event : { type: "failed", failure: work.ending };
    }

    private async endFailed(work: Work, failure: failures.Failure): Promise<void> {
        if (failure.kind === "engine-cancelled") {
            void this.cancel(work);
            return;
        }
        if (failure.kind === "engine-connection-lost") {
            await this.examine(work.boot);
        }
        await this.leave(work);
    }

    /** Makes sure that the engine has ended the run before the gate starts others in its place. */
    private async cancel(work: Work): Promise<void> {
        if (this.works.get(work.run.id) !== work) {
            return;
        }
        const cancelled = await this.options.engine.cancel(work.run.id);
        if (!cancelled.ok) {
            await this.examine(work.boot);
        }
        await this.leave(work);
    }

    private async leave(work: Work): Promise<void> {
        while (this.examination !== undefined) {
            await this.examination;
        }
        const { id } = work.run;
        if (this.works.get(id) === work) {
            this.works.delete(id);
            this.apply(this.gate.finish(id));
        }
    }

    /** Finds out whether the engine crashed; runs whose connections break at the same time share the answer. */
    private examine(boot: string): Promise<void> {
        this.examination ??= this.isGone(boot).then(gone => {
            this.examination = undefined;
            if (gone) {
                this.crash(boot);
            }
        });
        return this.examination;
    }

    private async isGone(boot: string): Promise<boolean> {
        const { clock, engine } = this.options;
        for (let question = 1; question <= PROBE_LIMIT; question++) {
            const health = await engine.health();
            if (health.ok) {
                return health.value !== boot;
            }
            if (health.failure.kind === "engine-unreachable") {
                return true;
            }
            await clock.sleep(PROBE_INTERVAL_MS);
        }
        return true;
    }

    /** Reports the crash before the runs are answered: their entries send them on as soon as they have the answer. */
    private crash(boot: string): void {
        const lost = [...this.works.values()].filter(work => this.gate.isRunning(work.run.id));
        const report = this.gate.handleCrash();
        const crashed = boot === "" ? `unknown-${this.options.clock.identifier()}` : boot;
        this.quarantine.reportCrash({ server: this.options.server, boot: crashed, ...report });
        for (const work of lost) {
            const { id, fingerprint } = work.run;
            this.works.delete(id);
            this.stop(work, decisions.crashFailure(this.quarantine.decide(fingerprint), fingerprint));
        }
        void this.untilReady(new AbortController().signal).then(() => this.apply(this.gate.startNext()));
    }

    private withdraw(fingerprint: string, verdict: quarantine.Verdict): void {
        // The controller reads the known documents in its constructor, when nothing runs yet.
        if (this.works.size === 0) {
            return;
        }
        const failure = decisions.withdrawalFailure(verdict, fingerprint);
        this.gate.runsToCancel(fingerprint).forEach(run => this.stopRun(run, failure));
    }

    private apply(actions: gates.Actions): void {
        const { refuse, sendBack, withdraw, start } = actions;
        refuse.forEach(run => this.admit(run, { kind: "request-quarantined", detail: run.fingerprint }));
        sendBack.forEach(run => this.admit(run, { kind: "request-suspected", detail: run.fingerprint }));
        withdraw.forEach(run => this.stopRun(run, decisions.withdrawalFailure("run-alone", run.fingerprint)));
        start.forEach(run => this.admit(run, undefined));
    }

    private admit(run: gates.Run, refusal: failures.Failure | undefined): void {
        this.works.get(run.id)?.admit(refusal);
    }

    private stopRun(run: gates.Run, failure: failures.Failure): void {
        const work = this.works.get(run.id);
        if (work !== undefined) {
            this.stop(work, failure);
        }
    }

    private stop(work: Work, failure: failures.Failure): void {
        work.ending ??= failure;
        work.stop.abort();
    }
}

function createWork(run: gates.Run): Work {
    let admit: Work["admit"] = () => undefined;
    const admitted = new Promise<failures.Failure | undefined>(resolve => {
        admit = resolve;
    });
    return { run, stop: new AbortController(), admit, admitted, boot: "", ending: undefined };
}
