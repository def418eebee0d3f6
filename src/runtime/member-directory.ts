/** Registers this process in the store and reads the other members once; heartbeats keep the table current afterwards. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as memberTables from "../peering/member-table.js";
import type * as peering from "../peering/types.js";
import type * as types from "./types.js";

/** Mean delay in milliseconds between attempts; random jitter is applied. */
const RETRY_DELAY_MS = 700;

export interface DirectoryPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly platform: types.Platform;
    readonly members: memberTables.MemberTable;
}

/** Member record of a process, as stored and sent to peers. */
export function memberOf(settings: types.ProcessSettings): peering.Member {
    const { name, role, dataCentre, beatAddress, documentAddress, serverAddress } = settings;
    return { name, role, dataCentre, beatAddress, documentAddress, serverAddress };
}

/**
 * Registers `self`, then adds the listed members to the table; retries until both succeed. Of two processes that start at
 * the same time, at least one finds the other's record, and the other learns of it from its heartbeats.
 */
export async function register(self: peering.Member, ports: DirectoryPorts, signal: AbortSignal): Promise<void> {
    const { store, kinds } = ports.platform;
    let isRegistered = false;
    while (!signal.aborted) {
        if (!isRegistered) {
            const outcome = await store.put(kinds.members, self.name, self);
            isRegistered = outcome.ok;
        }
        const listing = isRegistered ? await store.list(kinds.members) : undefined;
        if (listing?.ok === true) {
            ports.members.add(listing.value.records.map(record => record.spec).filter(isMember));
            return;
        }
        const reason = listing === undefined ? "registration" : listing.failure.detail;
        ports.journal.emit("member-registration-failed", { reason });
        await ports.clock.sleep(RETRY_DELAY_MS * (0.5 + ports.clock.random()), signal);
    }
}

function isMember(value: unknown): value is peering.Member {
    const member = value as Partial<peering.Member> | undefined;
    return typeof member?.name === "string" && typeof member.beatAddress === "string"
        && typeof member.documentAddress === "string" && (member.role === "entry" || member.role === "agent");
}
