/** One waiting room per service, stepped when something changed and on a short tick. */
import type * as clocks from "../clock/clock.js";
import * as rooms from "./call-queue.js";

/** Tick in milliseconds for changes that nothing announces, such as the end of a suspicion. */
const TICK_MS = 20;

export class WaitingRooms implements Disposable {
    private readonly byService = new Map<string, rooms.WaitingRoom>();
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly clock: clocks.Clock) {}

    of(service: string): rooms.WaitingRoom {
        const room = this.byService.get(service) ?? new rooms.WaitingRoom();
        this.byService.set(service, room);
        return room;
    }

    enter(service: string, waiter: rooms.Waiter): void {
        this.of(service).enter(waiter);
        this.schedule();
    }

    /** Tries to place waiting calls of a service, or of all. */
    step(service?: string): void {
        const chosen = service === undefined ? [...this.byService.values()] : [this.of(service)];
        for (const room of chosen.filter(candidate => candidate.size > 0)) {
            room.step(this.clock.now());
        }
    }

    [Symbol.dispose](): void {
        clearTimeout(this.timer);
    }

    private schedule(): void {
        this.timer ??= setTimeout(() => {
            this.timer = undefined;
            this.step();
            if ([...this.byService.values()].some(room => room.size > 0)) {
                this.schedule();
            }
        }, TICK_MS);
    }
}
