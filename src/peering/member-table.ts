/** Which processes are known, and what was heard of each last. */
import type * as types from "./types.js";

export interface Heard {
    readonly beat: types.Beat;
    readonly at: number;
}

export class MemberTable {
    private readonly members = new Map<string, types.Member>();
    private readonly heard = new Map<string, Heard>();

    constructor(private readonly self: string) {}

    /** Adds members that the store or the settings name. A name that moved to another address replaces the old one. */
    learn(members: readonly types.Member[]): void {
        for (const member of members.filter(candidate => candidate.name !== this.self)) {
            // A process under a new name at a known address has replaced the old one.
            for (const [name, known] of this.members) {
                if (known.beatAddress === member.beatAddress && name !== member.name) {
                    this.members.delete(name);
                }
            }
            this.members.set(member.name, member);
        }
    }

    /** Takes a beat. False when it is older than one already heard. */
    hear(beat: types.Beat, now: number): boolean {
        const known = this.heard.get(beat.member.name);
        if (known?.beat.incarnation === beat.incarnation && known.beat.sequence >= beat.sequence) {
            return false;
        }
        this.learn([beat.member]);
        this.heard.set(beat.member.name, { beat, at: now });
        return true;
    }

    /** Members that get this process's beats. */
    others(): readonly types.Member[] {
        return [...this.members.values()];
    }

    /** Beats that are not older than `withinMs`. */
    recent(now: number, withinMs: number): readonly Heard[] {
        return [...this.heard.values()].filter(heard => now - heard.at <= withinMs);
    }

    last(name: string): Heard | undefined {
        return this.heard.get(name);
    }
}
