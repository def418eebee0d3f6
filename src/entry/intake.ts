/** What each request passes first: the limit of requests in flight, its key, and the rate of its customer. */
import type * as admission from "../admission/client.js";
import * as catalogue from "../catalogue/failures.js";
import type * as live from "../configuration/live-requests.js";
import * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import type * as drains from "../membership/drain.js";
import type * as recorders from "../metrics/recorder.js";
import type * as settings from "../settings/schema.js";
import * as authentication from "./authentication.js";
import type * as types from "./types.js";

/** Name of the customer in the measures of open routes. */
const OPEN_CUSTOMER = "(open)";
const OVERLOAD_RETRY_MS = 500;

export interface IntakeOptions {
    readonly settings: settings.Settings;
    readonly drain: drains.Drain;
    readonly live: live.LiveRequests;
    readonly admission: admission.AdmissionClient;
    readonly recorder: recorders.Recorder;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

export interface Classification<Validated> {
    /** The request needs no key. */
    readonly open: boolean;
    /** Class of the measures: priority or route. */
    readonly class: string;
    /** Checks the request after its key and before its rate, so that an invalid one uses up no rate. */
    readonly validate: () => outcomes.Outcome<Validated>;
}

/** An admitted request with the result of its validation. */
export interface Taken<Validated> {
    readonly request: AdmittedRequest;
    readonly validated: Validated;
}

/** A request that may run; disposed when it has ended. */
export interface AdmittedRequest extends Disposable {
    /** Empty on open routes. */
    readonly customer: string;
    /** Monotonic time in milliseconds. */
    readonly arrivedAt: number;
    /** Aborted when the caller disconnects or the key is revoked. */
    readonly signal: AbortSignal;
    /** Failure that ended the request from outside; undefined while it may run. */
    endedBy(): failures.Failure | undefined;
    /** Records the end in the measures. */
    finished(result: outcomes.Outcome<unknown>): void;
}

export class Intake {
    constructor(private readonly options: IntakeOptions) {}

    /** Fails with the failures of `Drain`, of the keys and of the admission; nothing ran. */
    async take<Validated>(
        request: types.InboundRequest,
        disconnected: AbortSignal,
        classification: Classification<Validated>,
    ): Promise<outcomes.Outcome<Taken<Validated>>> {
        const startedAt = this.options.now();
        if (this.options.drain.inFlight >= this.options.settings.limits.requests_in_flight) {
            return outcomes.fail(
                "too-many-requests-in-flight",
                String(this.options.drain.inFlight),
                OVERLOAD_RETRY_MS,
            );
        }
        const entered = this.options.drain.enter();
        if (!entered.ok) {
            return entered;
        }
        const registered = classification.open ? undefined : this.register(request);
        if (registered !== undefined && !registered.ok) {
            entered.value[Symbol.dispose]();
            return registered;
        }
        const validated = classification.validate();
        if (!validated.ok) {
            registered?.value[Symbol.dispose]();
            entered.value[Symbol.dispose]();
            return validated;
        }
        const admitted = new Admitted(
            this.options,
            classification.class,
            startedAt,
            entered.value,
            registered?.value,
            disconnected,
        );
        if (registered !== undefined) {
            const admission = await this.admit(registered.value.customer.name, admitted);
            if (!admission.ok) {
                admitted[Symbol.dispose]();
                return admission;
            }
        }
        return outcomes.succeed({ request: admitted, validated: validated.value });
    }

    private register(request: types.InboundRequest): outcomes.Outcome<live.LiveRequest> {
        const hash = authentication.keyHashOf(request.headers.authorization);
        return hash.ok ? this.options.live.admit(hash.value) : hash;
    }

    private async admit(customer: string, admitted: Admitted): Promise<outcomes.Outcome<void>> {
        const waitMs = this.options.settings.timing.admission_wait_ms;
        const result = await this.options.admission.admit(customer, waitMs, admitted.signal);
        const ended = admitted.endedBy();
        if (!result.ok && ended !== undefined) {
            return { ok: false, failure: ended };
        }
        if (!result.ok) {
            this.options.recorder.count("requests-refused", customer);
            if (isInRateRefusal(result.failure)) {
                this.options.recorder.count("in-rate-refusals", customer);
            }
        }
        return result;
    }
}

/** Statuses of refusals for want of capacity; a refusal for the request's own fault is not an in-rate refusal. */
const CAPACITY_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** An admitted request was inside the rate of its customer; a refusal after that is an in-rate refusal. */
function isInRateRefusal(failure: failures.Failure): boolean {
    const { execution, status } = catalogue.failures[failure.kind];
    return execution === "not-run" && CAPACITY_STATUSES.has(status) && failure.kind !== "rate-exceeded";
}

class Admitted implements AdmittedRequest {
    readonly customer: string;
    readonly signal: AbortSignal;

    constructor(
        private readonly options: IntakeOptions,
        private readonly className: string,
        readonly arrivedAt: number,
        private readonly entered: Disposable,
        private readonly registered: live.LiveRequest | undefined,
        private readonly disconnected: AbortSignal,
    ) {
        this.customer = registered?.customer.name ?? "";
        this.signal = registered === undefined ? disconnected : AbortSignal.any([registered.signal, disconnected]);
        options.recorder.count("requests", this.label);
    }

    endedBy(): failures.Failure | undefined {
        const reason: unknown = this.registered?.signal.reason;
        if (reason instanceof failures.FailureError) {
            return reason.failure;
        }
        return this.disconnected.aborted ? { kind: "caller-disconnected", detail: "" } : undefined;
    }

    finished(result: outcomes.Outcome<unknown>): void {
        const { recorder, now } = this.options;
        recorder.record("duration", this.label, this.className, now() - this.arrivedAt);
        recorder.count(result.ok ? "requests-finished" : "requests-failed", this.label);
        if (!result.ok && isInRateRefusal(result.failure)) {
            recorder.count("in-rate-refusals", this.label);
        }
        if (!result.ok && result.failure.kind === "outcome-unknown") {
            recorder.count("outcome-unknown", this.label);
        }
    }

    [Symbol.dispose](): void {
        this.registered?.[Symbol.dispose]();
        this.entered[Symbol.dispose]();
    }

    private get label(): string {
        return this.customer === "" ? OPEN_CUSTOMER : this.customer;
    }
}
