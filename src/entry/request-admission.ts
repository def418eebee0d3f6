/** Admits requests: checks the limit of requests in flight, the API key and the rate of the customer. */
import type * as admission from "../admission/client.js";
import * as catalogue from "../catalogue/failures.js";
import type * as liveRequests from "../configuration/live-requests.js";
import * as failures from "../core/failure.js";
import * as outcomes from "../core/outcome.js";
import type * as drains from "../membership/drain.js";
import type * as recorders from "../metrics/recorder.js";
import type * as settings from "../settings/schema.js";
import * as authentication from "./authentication.js";
import type * as types from "./types.js";

/** Customer label of requests on open routes in the metrics. */
const OPEN_ROUTE_CUSTOMER = "(open)";
const OVERLOAD_RETRY_MS = 500;

export interface RequestAdmissionOptions {
    readonly settings: settings.Settings;
    readonly drain: drains.Drain;
    readonly liveRequests: liveRequests.LiveRequests;
    readonly admission: admission.AdmissionClient;
    readonly recorder: recorders.Recorder;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

export interface AdmissionRules<Validated> {
    /** The request needs no API key. */
    readonly open: boolean;
    /** Class label in the metrics: the priority or the route. */
    readonly measureClass: string;
    /** Runs after the key check and before the rate check, so that an invalid request does not use the rate. */
    readonly validate: () => outcomes.Outcome<Validated>;
}

/** An admitted request with the result of its validation. */
export interface Admission<Validated> {
    readonly request: AdmittedRequest;
    readonly validated: Validated;
}

/** A request that may run; to be disposed when it has ended. */
export interface AdmittedRequest extends Disposable {
    /** Empty on open routes. */
    readonly customer: string;
    /** Monotonic time in milliseconds. */
    readonly arrivedAt: number;
    /** Aborted when the caller disconnects or the key is revoked. */
    readonly signal: AbortSignal;
    /** Failure caused by a revoked key or a disconnected caller; undefined while the request may run. */
    terminationFailure(): failures.Failure | undefined;
    /** Records the duration and the result in the metrics. */
    recordResult(result: outcomes.Outcome<unknown>): void;
}

export class RequestAdmission {
    constructor(private readonly options: RequestAdmissionOptions) {}

    /**
     * Fails with `too-many-requests-in-flight` or a failure of `Drain`, the key check, `rules.validate` or the rate
     * admission; the request has not run then.
     */
    async admit<Validated>(
        request: types.InboundRequest,
        disconnected: AbortSignal,
        rules: AdmissionRules<Validated>,
    ): Promise<outcomes.Outcome<Admission<Validated>>> {
        const startedAt = this.options.now();
        if (this.options.drain.inFlight >= this.options.settings.limits.requests_in_flight) {
            return outcomes.fail(
                "too-many-requests-in-flight",
                String(this.options.drain.inFlight),
                OVERLOAD_RETRY_MS,
            );
        }
        const inFlight = this.options.drain.enter();
        if (!inFlight.ok) {
            return inFlight;
        }
        const liveRequest = rules.open ? undefined : this.registerLiveRequest(request);
        if (liveRequest !== undefined && !liveRequest.ok) {
            inFlight.value[Symbol.dispose]();
            return liveRequest;
        }
        const validated = rules.validate();
        if (!validated.ok) {
            liveRequest?.value[Symbol.dispose]();
            inFlight.value[Symbol.dispose]();
            return validated;
        }
        const admitted = new MeasuredRequest(
            this.options,
            rules.measureClass,
            startedAt,
            inFlight.value,
            liveRequest?.value,
            disconnected,
        );
        if (liveRequest !== undefined) {
            const admission = await this.admitWithinRate(liveRequest.value.customer.name, admitted);
            if (!admission.ok) {
                admitted[Symbol.dispose]();
                return admission;
            }
        }
        return outcomes.succeed({ request: admitted, validated: validated.value });
    }

    private registerLiveRequest(request: types.InboundRequest): outcomes.Outcome<liveRequests.LiveRequest> {
        const hash = authentication.keyHashOf(request.headers.authorization);
        return hash.ok ? this.options.liveRequests.admit(hash.value) : hash;
    }

    private async admitWithinRate(customer: string, admitted: MeasuredRequest): Promise<outcomes.Outcome<void>> {
        const waitMs = this.options.settings.timing.admission_wait_ms;
        const result = await this.options.admission.admit(customer, waitMs, admitted.signal);
        const ended = admitted.terminationFailure();
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

/** Statuses of refusals due to insufficient capacity, as opposed to invalid requests. */
const CAPACITY_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Whether a request was refused for insufficient capacity although it did not exceed the rate of its customer. */
function isInRateRefusal(failure: failures.Failure): boolean {
    const { execution, status } = catalogue.failures[failure.kind];
    return execution === "not-run" && CAPACITY_STATUSES.has(status) && failure.kind !== "rate-exceeded";
}

class MeasuredRequest implements AdmittedRequest {
    readonly customer: string;
    readonly signal: AbortSignal;

    constructor(
        private readonly options: RequestAdmissionOptions,
        private readonly measureClass: string,
        readonly arrivedAt: number,
        private readonly inFlight: Disposable,
        private readonly liveRequest: liveRequests.LiveRequest | undefined,
        private readonly disconnected: AbortSignal,
    ) {
        this.customer = liveRequest?.customer.name ?? "";
        this.signal = liveRequest === undefined ? disconnected : AbortSignal.any([liveRequest.signal, disconnected]);
        options.recorder.count("requests", this.customerLabel);
    }

    terminationFailure(): failures.Failure | undefined {
        const reason: unknown = this.liveRequest?.signal.reason;
        if (reason instanceof failures.FailureError) {
            return reason.failure;
        }
        return this.disconnected.aborted ? { kind: "caller-disconnected", detail: "" } : undefined;
    }

    recordResult(result: outcomes.Outcome<unknown>): void {
        const { recorder, now } = this.options;
        recorder.record("duration", this.customerLabel, this.measureClass, now() - this.arrivedAt);
        recorder.count(result.ok ? "requests-finished" : "requests-failed", this.customerLabel);
        if (!result.ok && isInRateRefusal(result.failure)) {
            recorder.count("in-rate-refusals", this.customerLabel);
        }
        if (!result.ok && result.failure.kind === "outcome-unknown") {
            recorder.count("outcome-unknown", this.customerLabel);
        }
    }

    [Symbol.dispose](): void {
        this.liveRequest?.[Symbol.dispose]();
        this.inFlight[Symbol.dispose]();
    }

    private get customerLabel(): string {
        return this.customer === "" ? OPEN_ROUTE_CUSTOMER : this.customer;
    }
}
