/** The stored object `rollout/status` and the gossip document `rollouts`, which contain the same JSON. */
import * as zod from "zod";
import * as outcomes from "../core/outcome.js";
import type * as gossip from "../gossip/types.js";
import * as confirmedWrites from "../object-api/confirmed-write.js";
import * as objectApi from "../object-api/types.js";
import type * as types from "./types.js";

export const STATUS_OBJECT = "rollout/status";
export const STATUS_DOCUMENT = "rollouts";
export const VETO_PREFIX = "veto/";

const WRITE_ATTEMPTS = 3;

const statusSchema = zod.object({
    rollout: zod.string(),
    model: zod.string(),
    from: zod.string(),
    to: zod.string(),
    phase: zod.enum(["loading", "shifting", "done", "rolled-back"]),
    share: zod.number().min(0).max(1),
    fencingNumber: zod.int().nonnegative(),
    reason: zod.string(),
    changedAt: zod.number(),
});
const statusesSchema = zod.object({ statuses: zod.array(statusSchema) });

export interface StoredStatuses {
    /** Version of the stored object; 0 if it is absent. */
    readonly version: number;
    readonly statuses: readonly types.RolloutStatus[];
}

/** Validates the parsed JSON. Fails with `rollout-status-invalid`. */
export function decode(value: unknown, version: number): outcomes.Outcome<StoredStatuses> {
    const parsed = statusesSchema.safeParse(value);
    return parsed.success
        ? outcomes.succeed({ version, statuses: parsed.data.statuses })
        : outcomes.fail("rollout-status-invalid", parsed.error.issues.map(issue => issue.message).join("; "));
}

/** Reads the stored statuses. Fails with `store-unavailable` or `rollout-status-invalid`. */
export async function read(store: objectApi.ObjectStore): Promise<outcomes.Outcome<StoredStatuses>> {
    const found = await store.get(STATUS_OBJECT);
    if (!found.ok) {
        return found;
    }
    return found.value === undefined
        ? outcomes.succeed({ version: objectApi.ABSENT, statuses: [] })
        : decode(parse(found.value.value), found.value.version);
}

/**
 * Replaces the statuses that were read as `base`. Each write of a coordinator has its fencing number or a new time, so
 * its value differs from that of any other writer.
 *
 * Fails with the failures of `putConfirmed`, and with `rollout-order-fenced` if a status has a higher fencing number.
 */
export async function write(
    store: objectApi.ObjectStore,
    base: StoredStatuses,
    statuses: readonly types.RolloutStatus[],
    fencingNumber: number,
): Promise<outcomes.Outcome<StoredStatuses>> {
    const highest = highestFencingNumber(base.statuses);
    if (highest > fencingNumber) {
        return outcomes.fail("rollout-order-fenced", `${fencingNumber}, the status has ${highest}`);
    }
    const value = JSON.stringify({ statuses });
    const candidate = { name: STATUS_OBJECT, value, expectedVersion: base.version };
    const written = await confirmedWrites.putConfirmed(store, candidate, WRITE_ATTEMPTS);
    return written.ok ? outcomes.succeed({ version: written.value, statuses }) : written;
}

export function toDocument(stored: StoredStatuses): gossip.Document {
    return { name: STATUS_DOCUMENT, version: stored.version, value: { statuses: stored.statuses } };
}

export function highestFencingNumber(statuses: readonly types.RolloutStatus[]): number {
    return statuses.reduce((highest, item) => Math.max(highest, item.fencingNumber), 0);
}

export function vetoDocument(identity: string, reason: string): gossip.Document {
    return { name: `${VETO_PREFIX}${identity}`, version: 1, value: { reason } };
}

function parse(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
