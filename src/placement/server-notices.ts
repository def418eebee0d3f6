/** What backend servers state in their responses about further calls: that they leave, or want none for a time. */
import type * as fleet from "../fleet/types.js";

/** Longest pause in milliseconds that is kept, so that a faulty response does not exclude its server for good. */
const MAXIMUM_PAUSE_MS = 600_000;
/** Number of servers that are not listed whose notices are kept, since their records may come back. */
const MAXIMUM_UNLISTED = 1000;

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
        this.keep(server.id, { ...notice, isLeaving: true });
        return !notice.isLeaving;
    }

    /** Records that the server wants no calls of this entry for a time; a shorter pause does not end a longer one. */
    recordPause(server: fleet.BackendServer, pauseMs: number, now: number): void {
        const notice = this.noticeOf(server);
        const pausedUntil = Math.max(notice.pausedUntil, now + Math.min(pauseMs, MAXIMUM_PAUSE_MS));
        this.keep(server.id, { ...notice, pausedUntil });
    }

    isLeaving(server: fleet.BackendServer): boolean {
        return this.noticeOf(server).isLeaving;
    }

    /** Time in milliseconds for which the server still wants no calls; 0 if it takes them. */
    remainingPauseMs(server: fleet.BackendServer, now: number): number {
        return Math.max(0, this.noticeOf(server).pausedUntil - now);
    }

    /** Drops the oldest notices of servers that are not listed. */
    retain(servers: ReadonlySet<string>): void {
        const unlisted = [...this.notices.keys()].filter(id => !servers.has(id));
        unlisted.slice(0, Math.max(0, unlisted.length - MAXIMUM_UNLISTED)).forEach(id => this.notices.delete(id));
    }

    /** The last notice is the newest one. */
    private keep(id: string, notice: Notice): void {
        this.notices.delete(id);
        this.notices.set(id, notice);
    }

    /** A record may lack the time of the start; it is then taken for that of the run that gave the notice. */
    private noticeOf({ id, startedAt }: fleet.BackendServer): Notice {
        const known = this.notices.get(id);
        const isSameRun = known?.startedAt === undefined || startedAt === undefined || known.startedAt === startedAt;
        return known !== undefined && isSameRun
            ? { ...known, startedAt: known.startedAt ?? startedAt }
            : { startedAt, isLeaving: false, pausedUntil: Number.NEGATIVE_INFINITY };
    }
}
