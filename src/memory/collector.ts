/**
 * Has released buffers collected before they fill the memory of a small machine. The runtime itself waits until they
 * reach about half the limit of its heap, whatever the process may hold, and longer if the processor is busy.
 */
/** Part of the capacity of the budget that released buffers may take, and the least such limit in bytes. */
const GARBAGE_SHARE = 0.1;
const MINIMUM_GARBAGE_BYTES = 2 * 1024 * 1024;
/** Part of that limit that is released between two checks. */
const CHECK_SHARE = 0.5;
/** Multiple of that limit that is released at least between two collections of the whole heap. */
const MAJOR_INTERVAL = 2;

/** `minor` collects what was allocated a moment ago and is cheap; `major` collects the whole heap. */
export type Collection = "minor" | "major";

export interface CollectorPorts {
    /** Bytes of the buffers of the process, with those that are released but not collected. */
    readonly measureBuffers: () => number;
    /** Undefined if the runtime offers none. */
    readonly collect: ((collection: Collection) => void) | undefined;
}

/** Collections that were asked for. */
export type Collections = Readonly<Record<Collection, number>>;

export class Collector {
    private readonly limitBytes: number;
    private readonly counts = { minor: 0, major: 0 };
    private sinceCheckBytes = 0;
    private sinceMajorBytes = Infinity;
    /** The previous check had released buffers collected as far as they were young. */
    private hasCollected = false;

    /** `capacityBytes` is the capacity of the budget; `Infinity` turns the collector off. */
    constructor(capacityBytes: number, private readonly ports: CollectorPorts) {
        this.limitBytes = Math.max(MINIMUM_GARBAGE_BYTES, capacityBytes * GARBAGE_SHARE);
    }

    get collections(): Collections {
        return this.counts;
    }

    /** Counts bytes of buffers that are released; `heldBytes` is what is still in use. */
    released(bytes: number, heldBytes: number): void {
        this.sinceCheckBytes += bytes;
        this.sinceMajorBytes += bytes;
        if (this.sinceCheckBytes >= this.limitBytes * CHECK_SHARE) {
            this.sinceCheckBytes = 0;
            this.check(heldBytes);
        }
    }

    private check(heldBytes: number): void {
        if (this.ports.measureBuffers() - heldBytes < this.limitBytes) {
            this.hasCollected = false;
            return;
        }
        if (this.hasCollected && this.sinceMajorBytes >= this.limitBytes * MAJOR_INTERVAL) {
            this.sinceMajorBytes = 0;
            this.collect("major");
            this.hasCollected = false;
            return;
        }
        this.collect("minor");
        this.hasCollected = true;
    }

    private collect(collection: Collection): void {
        this.counts[collection]++;
        this.ports.collect?.(collection);
    }
}

/** Collects with the function that the runtime offers to processes that are started with `--expose-gc`. */
export function collectorOfRuntime(): CollectorPorts["collect"] {
    const { gc } = globalThis;
    return gc && (type => gc({ type }));
}
