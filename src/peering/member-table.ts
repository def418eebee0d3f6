/** Known peers and the last heartbeat of each. */
import type * as types from "./types.js";

/** Members that are known at once, more than the largest deployment has. */
const MAXIMUM_MEMBERS = 4096;
/** Time in milliseconds without a heartbeat after which a member gives way to a new one. */
const FORGOTTEN_AFTER_MS = 30_000;

export interface ReceivedHeartbeat {
    readonly heartbeat: types.Heartbeat;
    /** Time of receipt in milliseconds. */
    readonly receivedAt: number;
}

export class MemberTable {
    private readonly members = new Map<string, types.Member>();
    private readonly lastHeartbeats = new Map<string, ReceivedHeartbeat>();

    /** The incarnation before the current one, by name. A heartbeat that is passed on may arrive after its sender's restart. */
    private readonly endedIncarnations = new Map<string, string>();

    /** `self` is the name of this process, which the table leaves out. */
    constructor(private readonly self: string) {}

    /** Adds members found in the store, in the settings or in heartbeats, and replaces known ones of the same name. */
    add(members: readonly types.Member[]): void {
        for (const member of members.filter(candidate => candidate.name !== this.self)) {
            // A process at the address of a member with another name has replaced that member.
            for (const [name, known] of this.members) {
                if (known.beatAddress === member.beatAddress && name !== member.name) {
                    this.members.delete(name);
                }
            }
            if (this.members.has(member.name) || this.members.size < MAXIMUM_MEMBERS) {
                this.members.set(member.name, member);
            }
        }
    }

    /** Records a heartbeat. Returns false if a newer one of the same or of the next incarnation was received before. */
    receive(heartbeat: types.Heartbeat, now: number): boolean {
        const { incarnation, member: { name } } = heartbeat;
        const last = this.lastHeartbeats.get(name);
        const isRepeated = last?.heartbeat.incarnation === incarnation && last.heartbeat.sequence >= heartbeat.sequence;
        if (isRepeated || this.endedIncarnations.get(name) === incarnation) {
            return false;
        }
        if (last === undefined && !this.makeRoom(now)) {
            return false;
        }
        if (last !== undefined && last.heartbeat.incarnation !== incarnation) {
            this.endedIncarnations.set(name, last.heartbeat.incarnation);
        }
        this.add([heartbeat.member]);
        this.lastHeartbeats.set(heartbeat.member.name, { heartbeat, receivedAt: now });
        return true;
    }

    /** Forgets the member that has been silent for longest if there are too many. Returns false if none is silent. */
    private makeRoom(now: number): boolean {
        if (this.lastHeartbeats.size < MAXIMUM_MEMBERS) {
            return true;
        }
        const ages = [...this.lastHeartbeats].map(([name, { receivedAt }]) => ({ name, ageMs: now - receivedAt }));
        const oldest = ages.reduce((left, right) => right.ageMs > left.ageMs ? right : left);
        if (oldest.ageMs < FORGOTTEN_AFTER_MS) {
            return false;
        }
        this.lastHeartbeats.delete(oldest.name);
        this.endedIncarnations.delete(oldest.name);
        this.members.delete(oldest.name);
        return true;
    }

    /** All known members except this process. */
    peers(): readonly types.Member[] {
        return [...this.members.values()];
    }

    /** Last heartbeats of the peers from which one was received within `maximumAgeMs`. */
    recentHeartbeats(now: number, maximumAgeMs: number): readonly ReceivedHeartbeat[] {
        return [...this.lastHeartbeats.values()].filter(last => now - last.receivedAt <= maximumAgeMs);
    }

    /** Last heartbeat of the process with this name, of any age. */
    lastHeartbeat(name: string): ReceivedHeartbeat | undefined {
        return this.lastHeartbeats.get(name);
    }
}
