/** What backend servers state in their responses about further calls: that they leave, or want none for a time. */
import type * as fleet from "../fleet/types.js";

/** Longest pause in milliseconds that is kept, so that a faulty response does not exclude its server for good. */
const MAXIMUM_PAUSE_MS = 600_000;

interface Notice {
    /** Start of the server's run that gave the notice; the next run takes calls again. */
    readonly startedAt: number | undefined;
    readonly isLeaving: boolean;
    readonly pausedUntil: number;
}

export class ServerNotices {
    private readonly notices = new Map<string, Notice>();

    /** Records that the server leaves. Returns false if that was known. */
    recordLeaving(server: fleet.BackendServer): boolean {
        const notice = this.noticeOf(server);
        this.notices.set(server.id, { ...notice, isLeaving: true });
        return !notice.isLeaving;
    }

    /** Records that the server wants no calls of this entry for a time; a shorter pause does not end a longer one. */
    recordPause(server: fleet.BackendServer, pauseMs: number, now: number): void {
        const notice = this.noticeOf(server);
        const pausedUntil = Math.max(notice.pausedUntil, now + Math.min(pauseMs, MAXIMUM_PAUSE_MS));
        this.notices.set(server.id, { ...notice, pausedUntil });
    }

    isLeaving(server: fleet.BackendServer): boolean {
        return this.noticeOf(server).isLeaving;
    }

    /** Time in milliseconds for which the server still wants no calls; 0 if it takes them. */
    remainingPauseMs(server: fleet.BackendServer, now: number): number {
        return Math.max(0, this.noticeOf(server).pausedUntil - now);
    }

    /** Drops the notices of servers that are no longer listed. */
    retain(servers: ReadonlySet<string>): void {
        [...this.notices.keys()].filter(id => !servers.has(id)).forEach(id => this.notices.delete(id));
    }

    private noticeOf({ id, startedAt }: fleet.BackendServer): Notice {
        const known = this.notices.get(id);
        return known !== undefined && known.startedAt === startedAt
            ? known
            : { startedAt, isLeaving: false, pausedUntil: Number.NEGATIVE_INFINITY };
    }
}
