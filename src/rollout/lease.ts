/** The lease of the rollout coordinator in the object `rollout/lease`. */
import * as zod from "zod";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as incarnations from "../core/incarnation.js";
import type * as membership from "../membership/types.js";
import * as confirmedWrites from "../object-api/confirmed-write.js";
import * as objectApi from "../object-api/types.js";

export const LEASE_OBJECT = "rollout/lease";

/** Time without a renewal, on the clock of the observer, after which the lease may be taken over. */
const TAKEOVER_DELAY_MS = 5000;
/** Validity of a renewal from the time it was sent; shorter than `TAKEOVER_DELAY_MS` by more than clocks drift. */
const VALIDITY_MS = 4000;
/** Time without a renewal after which the liveness of the holder is probed. */
const PROBE_DELAY_MS = 2000;
const WRITE_ATTEMPTS = 3;

const leaseSchema = zod.object({
    fencingNumber: zod.int().positive(),
    holder: zod.object({ address: zod.string(), boot: zod.string() }),
    /** Incremented with each write of a holder, so that each written value is unique. */
    sequence: zod.int().nonnegative(),
    released: zod.boolean(),
});

type Lease = zod.infer<typeof leaseSchema>;

interface Observation {
    readonly version: number;
    /** `undefined` if the object is absent or malformed; the lease is then free. */
    readonly lease: Lease | undefined;
    /** Monotonic time at which this version was first read. */
    readonly observedAt: number;
}

export interface LeaseOptions {
    readonly self: incarnations.Incarnation;
    readonly store: objectApi.ObjectStore;
    readonly liveness: membership.LivenessProbe;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Highest fencing number in the known statuses; a lease that was deleted or damaged continues above it. */
    readonly knownFencingNumber: () => number;
}

/** Returns `take` if the lease may be taken over, `probe` if only when its holder is dead, `wait` otherwise. */
export function decideTakeover(observation: Observation, now: number): "take" | "probe" | "wait" {
    const unchangedMs = now - observation.observedAt;
    if (observation.lease === undefined || observation.lease.released || unchangedMs >= TAKEOVER_DELAY_MS) {
        return "take";
    }
    return unchangedMs >= PROBE_DELAY_MS ? "probe" : "wait";
}

/** Acquires, renews and releases the lease. Calls of `step` must not overlap. */
export class LeaseManager {
    /** True if the object API responded to the last request. */
    isStoreReachable = true;
    private observation: Observation | undefined;
    private held: { readonly fencingNumber: number; readonly validUntil: number; } | undefined;

    constructor(private readonly options: LeaseOptions) {}

    /** Fencing number of the held lease while it is valid; `now` is monotonic time in milliseconds. */
    fencingNumber(now: number): number | undefined {
        return this.held !== undefined && now < this.held.validUntil ? this.held.fencingNumber : undefined;
    }

    /** Renews the lease if this process holds it; otherwise acquires it if no other process can hold it. */
    async step(): Promise<void> {
        if (this.observation === undefined || !this.isOwn(this.observation.lease)) {
            await this.observe();
        }
        if (this.observation === undefined || !this.isStoreReachable) {
            return;
        }
        const lease: Lease | undefined = this.observation.lease;
        if (this.isOwn(lease)) {
            await this.write({ ...lease, sequence: lease.sequence + 1 }, "renewed");
            return;
        }
        await this.tryAcquire(this.observation);
    }

    private async tryAcquire(observation: Observation): Promise<void> {
        const { lease } = observation;
        const reason = await this.takeoverReason(observation);
        if (reason !== undefined) {
            const fencingNumber = Math.max(lease?.fencingNumber ?? 0, this.options.knownFencingNumber()) + 1;
            await this.write({ fencingNumber, holder: this.options.self, sequence: 0, released: false }, reason);
        }
    }

    /** Releases the lease, so that another process can acquire it immediately. */
    async release(): Promise<void> {
        const lease = this.observation?.lease;
        this.held = undefined;
        if (this.isOwn(lease)) {
            await this.write({ ...lease, sequence: lease.sequence + 1, released: true }, "released");
        }
    }

    private async takeoverReason(observation: Observation): Promise<string | undefined> {
        const { lease } = observation;
        const decision = decideTakeover(observation, this.options.clock.now());
        if (decision === "take") {
            return lease === undefined || lease.released ? "the lease was free" : "the holder did not renew the lease";
        }
        if (decision === "wait" || lease === undefined) {
            return undefined;
        }
        const liveness = await this.options.liveness.probe(lease.holder);
        return liveness === "dead" ? "the holder is dead" : undefined;
    }

    private async observe(): Promise<void> {
        const found = await this.options.store.get(LEASE_OBJECT);
        this.isStoreReachable = found.ok;
        if (!found.ok) {
            return;
        }
        const version = found.value?.version ?? objectApi.ABSENT;
        if (version !== this.observation?.version) {
            const lease = found.value === undefined ? undefined : decode(found.value.value);
            this.observation = { version, lease, observedAt: this.options.clock.now() };
        }
    }

    private async write(lease: Lease, reason: string): Promise<void> {
        const { clock, store, journal } = this.options;
        const expectedVersion = this.observation?.version ?? objectApi.ABSENT;
        const sentAt = clock.now();
        const candidate = { name: LEASE_OBJECT, value: JSON.stringify(lease), expectedVersion };
        const written = await confirmedWrites.putConfirmed(store, candidate, WRITE_ATTEMPTS);
        this.isStoreReachable = written.ok || written.failure.kind === "store-conflict";
        if (!written.ok) {
            // The write may have taken effect, so the next step reads the object again.
            this.observation = undefined;
            if (this.held !== undefined && written.failure.kind === "store-conflict") {
                this.held = undefined;
                journal.emit("rollout-lease-lost", { reason: "another process took the lease" });
            }
            return;
        }
        this.observation = { version: written.value, lease, observedAt: clock.now() };
        if (lease.released) {
            return;
        }
        if (this.held?.fencingNumber !== lease.fencingNumber) {
            journal.emit("rollout-lease-taken", { fencingNumber: lease.fencingNumber, reason });
        }
        this.held = { fencingNumber: lease.fencingNumber, validUntil: sentAt + VALIDITY_MS };
    }

    private isOwn(lease: Lease | undefined): lease is Lease {
        return lease !== undefined && !lease.released
            && incarnations.sameIncarnation(lease.holder, this.options.self);
    }
}

function decode(text: string): Lease | undefined {
    try {
        const parsed = leaseSchema.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
