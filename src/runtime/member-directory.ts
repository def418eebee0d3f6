/** Registers this process in the store and reads the other members; heartbeats keep the table current afterwards. */
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import * as addresses from "../peering/address.js";
import type * as memberTables from "../peering/member-table.js";
import type * as peering from "../peering/types.js";
import type * as types from "./types.js";

/** Mean delay in milliseconds between attempts; random jitter is applied. */
const RETRY_DELAY_MS = 700;

export interface DirectoryPorts {
    readonly clock: clocks.Clock;
    readonly journal: event.Journal;
    readonly platform: Pick<types.Platform, "store" | "kinds">;
    readonly members: memberTables.MemberTable;
}

/** Member record of a process, as stored and sent to peers. */
export function memberOf(settings: types.ProcessSettings): peering.Member {
    const { name, role, dataCentre, beatAddress, documentAddress, serverAddress } = settings;
    return { name, role, dataCentre, beatAddress, documentAddress, serverAddress };
}

/** The record of this process in the store, and the other processes that are registered there. */
export class MemberDirectory implements Disposable {
    private readonly stop = new AbortController();
    private isRegistering = false;
    private isOutdated = false;
    private hasReadMembers = false;

    constructor(private readonly self: peering.Member, private readonly ports: DirectoryPorts) {}

    /** Whether the registered members were read since the start. */
    get hasRead(): boolean {
        return this.hasReadMembers;
    }

    /**
     * Registers this process, then adds the listed members to the table; retries until both succeed. Of two processes that
     * start at the same time, at least one finds the other's record, and the other learns of it from its heartbeats.
     *
     * Called at the start, and again when the store has come back from an older copy, which may lack the record: processes
     * that start later would not find this one.
     */
    async register(): Promise<void> {
        this.isOutdated = true;
        if (this.isRegistering) {
            return;
        }
        this.isRegistering = true;
        try {
            while (this.isOutdated && !this.stop.signal.aborted) {
                this.isOutdated = false;
                await this.registerOnce();
            }
        }
        finally {
            this.isRegistering = false;
        }
    }

    [Symbol.dispose](): void {
        this.stop.abort();
    }

    private async registerOnce(): Promise<void> {
        const { journal, clock, members, platform: { store, kinds } } = this.ports;
        let isRegistered = false;
        while (!this.stop.signal.aborted) {
            if (!isRegistered) {
                const outcome = await store.put(kinds.members, this.self.name, this.self);
                isRegistered = outcome.ok;
            }
            const listing = isRegistered ? await store.list(kinds.members) : undefined;
            if (listing?.ok === true) {
                this.hasReadMembers = true;
                members.add(listing.value.records.map(record => record.spec).filter(isMember));
                return;
            }
            const reason = listing === undefined ? "registration" : listing.failure.detail;
            journal.emit("member-registration-failed", { reason });
            await clock.sleep(RETRY_DELAY_MS * (0.5 + clock.random()), this.stop.signal);
        }
    }
}

function isMember(value: unknown): value is peering.Member {
    const member = value as Partial<peering.Member> | undefined;
    return typeof member?.name === "string" && addresses.isAddress(member.beatAddress)
        && addresses.isAddress(member.documentAddress) && (member.role === "entry" || member.role === "agent");
}
