/** The lease of the rollout coordinator in the object `rollout/lease`. */
import * as zod from "zod";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as incarnations from "../core/incarnation.js";
import type * as membership from "../membership/types.js";
import * as settledWrites from "../object-api/settled-write.js";
import * as objectApi from "../object-api/types.js";

export const LEASE_OBJECT = "rollout/lease";

/** Time without a change, on the clock of the taker, after which the lease may be taken over. */
const UNCHANGED_MS = 5000;
/** Time after a confirmed renewal was sent in which its holder acts; below the above by more than clocks drift. */
const VALIDITY_MS = 4000;
/** Silence of the holder after which its liveness is probed. */
const SILENCE_BEFORE_PROBE_MS = 2000;
const WRITE_ATTEMPTS = 3;

const content = zod.object({
    fencingNumber: zod.int().positive(),
    holder: zod.object({ address: zod.string(), boot: zod.string() }),
    /** Grows with each renewal, so that each written value is unique. */
    sequence: zod.int().nonnegative(),
    released: zod.boolean(),
});

type Lease = zod.infer<typeof content>;

interface Observation {
    readonly version: number;
    /** Undefined when there is no object, or when it is malformed and so nobody's. */
    readonly lease: Lease | undefined;
    /** Monotonic time of the first look at this version. */
    readonly since: number;
}

export interface LeaseOptions {
    readonly self: incarnations.Incarnation;
    readonly store: objectApi.ObjectStore;
    readonly liveness: membership.LivenessProbe;
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    /** Highest fencing number in the known statuses; a lease that was deleted or damaged must not start below it. */
    readonly knownFencingNumber: () => number;
}

/** `take` when the lease may be taken over; `probe` when that depends on a proof of death; `wait` otherwise. Pure. */
export function decideTakeover(observation: Observation, now: number): "take" | "probe" | "wait" {
    const unchangedMs = now - observation.since;
    if (observation.lease === undefined || observation.lease.released || unchangedMs >= UNCHANGED_MS) {
        return "take";
    }
    return unchangedMs >= SILENCE_BEFORE_PROBE_MS ? "probe" : "wait";
}

/** Acquires, renews and releases the lease. Calls of `step` must not overlap. */
export class LeaseKeeper {
    /** The object API answered the last step. */
    storeAnswers = true;
    private observation: Observation | undefined;
    private held: { readonly fencingNumber: number; readonly validUntil: number; } | undefined;

    constructor(private readonly options: LeaseOptions) {}

    /** Fencing number while the lease is valid; `now` is monotonic. */
    fencingNumber(now: number): number | undefined {
        return this.held !== undefined && now < this.held.validUntil ? this.held.fencingNumber : undefined;
    }

    /** Renews the own lease, or takes it when nobody else can hold it. */
    async step(): Promise<void> {
        if (this.observation === undefined || !this.isOwn(this.observation.lease)) {
            await this.observe();
        }
        if (this.observation === undefined || !this.storeAnswers) {
            return;
        }
        const lease: Lease | undefined = this.observation.lease;
        if (this.isOwn(lease)) {
            await this.write({ ...lease, sequence: lease.sequence + 1 }, "renewed");
            return;
        }
        await this.takeIfFree(this.observation);
    }

    private async takeIfFree(observation: Observation): Promise<void> {
        const { lease } = observation;
        const reason = await this.reasonToTake(observation);
        if (reason !== undefined) {
            const fencingNumber = Math.max(lease?.fencingNumber ?? 0, this.options.knownFencingNumber()) + 1;
            await this.write({ fencingNumber, holder: this.options.self, sequence: 0, released: false }, reason);
        }
    }

    /** Lets another process take the lease at once. */
    async release(): Promise<void> {
        const lease = this.observation?.lease;
        this.held = undefined;
        if (this.isOwn(lease)) {
            await this.write({ ...lease, sequence: lease.sequence + 1, released: true }, "released");
        }
    }

    private async reasonToTake(observation: Observation): Promise<string | undefined> {
        const { lease } = observation;
        const decision = decideTakeover(observation, this.options.clock.now());
        if (decision === "take") {
            return lease === undefined || lease.released ? "nobody held the lease" : "the holder did not renew";
        }
        if (decision === "wait" || lease === undefined) {
            return undefined;
        }
        const liveness = await this.options.liveness.probe(lease.holder);
        return liveness === "dead" ? "the holder is dead" : undefined;
    }

    private async observe(): Promise<void> {
        const found = await this.options.store.get(LEASE_OBJECT);
        this.storeAnswers = found.ok;
        if (!found.ok) {
            return;
        }
        const version = found.value?.version ?? objectApi.ABSENT;
        if (version !== this.observation?.version) {
            const lease = found.value === undefined ? undefined : decode(found.value.value);
            this.observation = { version, lease, since: this.options.clock.now() };
        }
    }

    private async write(lease: Lease, reason: string): Promise<void> {
        const { clock, store, journal } = this.options;
        const expectedVersion = this.observation?.version ?? objectApi.ABSENT;
        const sentAt = clock.now();
        const candidate = { name: LEASE_OBJECT, value: JSON.stringify(lease), expectedVersion };
        const written = await settledWrites.putSettled(store, candidate, WRITE_ATTEMPTS);
        this.storeAnswers = written.ok || written.failure.kind === "store-conflict";
        if (!written.ok) {
            // The write may be in force, so the object is read again before the next step.
            this.observation = undefined;
            if (this.held !== undefined && written.failure.kind === "store-conflict") {
                this.held = undefined;
                journal.emit("rollout-lease-lost", { reason: "another process took the lease" });
            }
            return;
        }
        this.observation = { version: written.value, lease, since: clock.now() };
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
        const parsed = content.safeParse(JSON.parse(text));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}
