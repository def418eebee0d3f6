/**
 * Runs generations through the isolation gate and distinguishes engine crashes from lost connections.
 *
 * The gate counts a run as in flight until it is certain that the engine has ended it. While a lost connection is
 * checked for a crash, no run enters or leaves the gate, so a crash is attributed to exactly the runs in flight.
 */
import type * as clocks from "../clock/clock.js";
import type * as failures from "../core/failure.js";
import type * as outcomes from "../core/outcome.js";
import * as decisions from "../quarantine/decisions.js";
import * as gates from "../quarantine/isolation-gate.js";
import type * as tables from "../quarantine/table.js";
import type * as quarantine from "../quarantine/types.js";
import type * as engineTypes from "./engine-types.js";

/** Time for which a trial waits for a starting engine. If it moved on at once, a copy could start here meanwhile. */
export const TRIAL_ENGINE_WAIT_MS = 3000;
/** Pause between two health checks of the engine. */
const PROBE_INTERVAL_MS = 50;
/**
 * Failed health checks after which the engine counts as crashed; a refused connection counts at once. A crashing engine
 * may reset new connections before it refuses them.
 */
const MAXIMUM_PROBES = 5;

/** The subset of `EngineClient` that the runner uses. */
export interface Engine {
    readonly address: string;
    generate(
        request: engineTypes.EngineRequest,
        signal: AbortSignal,
    ): AsyncGenerator<engineTypes.EngineEvent, void, void>;
    /** Returns false when the engine does not know the request. */
    cancel(requestId: string): Promise<outcomes.Outcome<boolean>>;
    /** Returns the boot identifier of the engine. */
    health(): Promise<outcomes.Outcome<string>>;
}

/** The subset of `QuarantineController` that the runner uses. */
export interface Quarantine {
    decide(fingerprint: string): quarantine.Verdict;
    reportCrash(report: tables.CrashReport): void;
    reportCompleted(fingerprint: string): void;
}

export interface GenerationRunnerOptions {
    /** Address of the agent. */
    readonly server: string;
    readonly engine: Engine;
    /** Last observed boot identifier of the engine; empty when unknown. */
    readonly engineBoot: () => string;
    readonly clock: clocks.Clock;
    /** Creates the controller with a listener that is called when a verdict becomes stricter. Called once. */
    readonly createQuarantine: (
        onVerdictEscalated: (fingerprint: string, verdict: quarantine.Verdict) => void,
    ) => Quarantine;
}

/** The properties of a request that decide how it is isolated. */
export interface RequestIsolation {
    readonly fingerprint: string;
    /** The entry sent the request as a trial, to run without others on the engine. */
    readonly runAlone: boolean;
}

export interface Generation extends RequestIsolation {
    readonly request: engineTypes.EngineRequest;
    /** Called right before the request is sent to the engine, after the gate has admitted it. */
    readonly onStart: () => void;
}

interface ActiveRun {
    readonly run: gates.Run;
    /** Aborts the generation on the engine. */
    readonly abortController: AbortController;
    /** Resolves `admission`: with `undefined` if the run may start, else with the failure. */
    readonly settleAdmission: (refusal: failures.Failure | undefined) => void;
    readonly admission: Promise<failures.Failure | undefined>;
    /** Boot identifier of the engine that received the request; empty when unknown. */
    engineBoot: string;
    /** Failure to return if this agent aborted the run. */
    abortFailure: failures.Failure | undefined;
}

export class GenerationRunner {
    private readonly quarantine: Quarantine;
    private readonly gate: gates.IsolationGate;
    private readonly activeRuns = new Map<string, ActiveRun>();
    /** Crash check in progress after a lost connection. */
    private crashCheck: Promise<void> | undefined;

    constructor(private readonly options: GenerationRunnerOptions) {
        this.gate = new gates.IsolationGate(fingerprint => this.quarantine.decide(fingerprint));
        this.quarantine = options.createQuarantine((fingerprint, verdict) =>
            this.abortExposedRuns(fingerprint, verdict)
        );
    }

    /** Fails with `request-quarantined` or `request-suspected` if the request must not run here; nothing has run. */
    check(isolation: RequestIsolation): outcomes.Outcome<undefined> {
        const { fingerprint, runAlone } = isolation;
        return decisions.checkAtAgent(this.quarantine.decide(fingerprint), runAlone, fingerprint);
    }

    /** Yields the events of a generation; exactly one `end` or `failed` event is yielded, as the last one. */
    async *generate(
        generation: Generation,
        signal: AbortSignal,
    ): AsyncGenerator<engineTypes.EngineEvent, void, void> {
        const { request, fingerprint, runAlone } = generation;
        const activeRun = createActiveRun({ id: request.requestId, fingerprint, alone: runAlone });
        while (this.crashCheck !== undefined) {
            await this.crashCheck;
        }
        const refusal = await this.awaitAdmission(activeRun, signal) ?? await this.resolveEngineBoot(activeRun, signal);
        if (refusal !== undefined) {
            await this.release(activeRun);
            yield { type: "failed", failure: refusal };
            return;
        }
        generation.onStart();
        let ended = false;
        try {
            const abortSignal = AbortSignal.any([signal, activeRun.abortController.signal]);
            for await (const event of this.options.engine.generate(request, abortSignal)) {
                if (event.type === "start" && event.boot !== "") {
                    activeRun.engineBoot = event.boot;
                }
                ended = event.type === "end" || event.type === "failed";
                yield ended ? await this.finish(activeRun, event) : event;
            }
        }
        finally {
            if (!ended) {
                void this.cancel(activeRun);
            }
        }
    }

    private async awaitAdmission(activeRun: ActiveRun, signal: AbortSignal): Promise<failures.Failure | undefined> {
        const { id } = activeRun.run;
        const cancelAdmission = () =>
            activeRun.settleAdmission({ kind: "engine-cancelled", detail: `${id} before its start` });
        signal.addEventListener("abort", cancelAdmission, { once: true });
        this.activeRuns.set(id, activeRun);
        this.apply(this.gate.submit(activeRun.run));
        if (signal.aborted) {
            cancelAdmission();
        }
        const refusal = await activeRun.admission;
        signal.removeEventListener("abort", cancelAdmission);
        return refusal;
    }

    /** Determines the engine boot that will receive the request. A trial waits for an engine that is starting. */
    private async resolveEngineBoot(activeRun: ActiveRun, signal: AbortSignal): Promise<failures.Failure | undefined> {
        activeRun.engineBoot = this.options.engineBoot();
        if (!activeRun.run.alone) {
            return undefined;
        }
        // The last observed boot may be outdated, and an earlier crash must not be attributed to the trial.
        const boot = await this.untilReady(AbortSignal.any([signal, activeRun.abortController.signal]));
        activeRun.engineBoot = boot ?? "";
        return activeRun.abortFailure ?? (boot === undefined
            ? { kind: "engine-unreachable", detail: `${this.options.engine.address}: unreachable before a trial` }
            : undefined);
    }

    /** Boot identifier of the engine, or `undefined` if it does not respond within `TRIAL_ENGINE_WAIT_MS`. */
    private async untilReady(signal: AbortSignal): Promise<string | undefined> {
        const { clock, engine } = this.options;
        const end = clock.now() + TRIAL_ENGINE_WAIT_MS;
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

    /** Handles the last event of a run and returns the event to send to the entry. */
    private async finish(activeRun: ActiveRun, event: engineTypes.EngineEvent): Promise<engineTypes.EngineEvent> {
        const { id, fingerprint } = activeRun.run;
        if (event.type === "end") {
            if (this.gate.isTrial(id)) {
                this.quarantine.reportCompleted(fingerprint);
            }
            await this.release(activeRun);
            return event;
        }
        if (event.type === "failed" && this.activeRuns.get(id) === activeRun) {
            await this.finishFailed(activeRun, event.failure);
        }
        return activeRun.abortFailure === undefined ? event : { type: "failed", failure: activeRun.abortFailure };
    }

    private async finishFailed(activeRun: ActiveRun, failure: failures.Failure): Promise<void> {
        if (failure.kind === "engine-cancelled") {
            void this.cancel(activeRun);
            return;
        }
        if (failure.kind === "engine-connection-lost") {
            await this.checkForCrash(activeRun.engineBoot);
        }
        await this.release(activeRun);
    }

    /** Cancels the run on the engine before the gate may start others in its place. */
    private async cancel(activeRun: ActiveRun): Promise<void> {
        if (this.activeRuns.get(activeRun.run.id) !== activeRun) {
            return;
        }
        const cancelled = await this.options.engine.cancel(activeRun.run.id);
        if (!cancelled.ok) {
            await this.checkForCrash(activeRun.engineBoot);
        }
        await this.release(activeRun);
    }

    private async release(activeRun: ActiveRun): Promise<void> {
        while (this.crashCheck !== undefined) {
            await this.crashCheck;
        }
        const { id } = activeRun.run;
        if (this.activeRuns.get(id) === activeRun) {
            this.activeRuns.delete(id);
            this.apply(this.gate.finish(id));
        }
    }

    /** Checks whether the engine crashed. Runs that lose their connections at the same time share one check. */
    private checkForCrash(boot: string): Promise<void> {
        this.crashCheck ??= this.hasCrashed(boot).then(crashed => {
            this.crashCheck = undefined;
            if (crashed) {
                this.handleCrash(boot);
            }
        });
        return this.crashCheck;
    }

    private async hasCrashed(boot: string): Promise<boolean> {
        const { clock, engine } = this.options;
        for (let probe = 1; probe <= MAXIMUM_PROBES; probe++) {
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

    /** Reports the crash before it fails the runs, because their entries retry them as soon as they learn of the failure. */
    private handleCrash(boot: string): void {
        const lostRuns = [...this.activeRuns.values()].filter(activeRun => this.gate.isRunning(activeRun.run.id));
        const report = this.gate.handleCrash();
        const crashedBoot = boot === "" ? `unknown-${this.options.clock.identifier()}` : boot;
        this.quarantine.reportCrash({ server: this.options.server, boot: crashedBoot, ...report });
        for (const activeRun of lostRuns) {
            const { id, fingerprint } = activeRun.run;
            this.activeRuns.delete(id);
            this.abort(activeRun, decisions.crashFailure(this.quarantine.decide(fingerprint), fingerprint));
        }
        void this.untilReady(new AbortController().signal).then(() => this.apply(this.gate.startNext()));
    }

    private abortExposedRuns(fingerprint: string, verdict: quarantine.Verdict): void {
        // The controller reads known documents in its constructor and may call this before anything runs.
        if (this.activeRuns.size === 0) {
            return;
        }
        const failure = decisions.withdrawalFailure(verdict, fingerprint);
        this.gate.runsToCancel(fingerprint).forEach(run => this.abortRun(run, failure));
    }

    private apply(actions: gates.Actions): void {
        const { refuse, sendBack, withdraw, start } = actions;
        refuse.forEach(run => this.admit(run, { kind: "request-quarantined", detail: run.fingerprint }));
        sendBack.forEach(run => this.admit(run, { kind: "request-suspected", detail: run.fingerprint }));
        withdraw.forEach(run => this.abortRun(run, decisions.withdrawalFailure("run-alone", run.fingerprint)));
        start.forEach(run => this.admit(run, undefined));
    }

    private admit(run: gates.Run, refusal: failures.Failure | undefined): void {
        this.activeRuns.get(run.id)?.settleAdmission(refusal);
    }

    private abortRun(run: gates.Run, failure: failures.Failure): void {
        const activeRun = this.activeRuns.get(run.id);
        if (activeRun !== undefined) {
            this.abort(activeRun, failure);
        }
    }

    private abort(activeRun: ActiveRun, failure: failures.Failure): void {
        activeRun.abortFailure ??= failure;
        activeRun.abortController.abort();
    }
}

function createActiveRun(run: gates.Run): ActiveRun {
    let settleAdmission: ActiveRun["settleAdmission"] = () => undefined;
    const admission = new Promise<failures.Failure | undefined>(resolve => {
        settleAdmission = resolve;
    });
    return {
        run,
        abortController: new AbortController(),
        settleAdmission,
        admission,
        engineBoot: "",
        abortFailure: undefined,
    };
}
