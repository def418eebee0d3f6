/**
 * Data centres that the operator has evacuated: until the record is removed, no call is sent to their servers. Calls that
 * already run there may end.
 */
import type * as event from "../core/event.js";

export interface EvacuationPorts {
    readonly journal: event.Journal;
    /** Called for each data centre that is used again; its servers may have become cold meanwhile. */
    readonly onReturn: (dataCentre: string) => void;
}

/** Records of the store that name a data centre, and records that cannot be read. */
export interface EvacuationRecords {
    readonly dataCentres: readonly string[];
    readonly unreadable: readonly string[];
}

export class Evacuations {
    private inForce: ReadonlySet<string> | undefined;

    constructor(private readonly ports: EvacuationPorts) {}

    /** The evacuations have been read since the start of this process. */
    get isKnown(): boolean {
        return this.inForce !== undefined;
    }

    /** Number of evacuated data centres. */
    get count(): number {
        return this.inForce?.size ?? 0;
    }

    includes(dataCentre: string): boolean {
        return this.inForce?.has(dataCentre) === true;
    }

    /** Applies the present records. One that has become unreadable neither starts nor ends an evacuation. */
    adopt({ dataCentres, unreadable }: EvacuationRecords): void {
        const before = this.inForce ?? new Set<string>();
        const after = new Set([...dataCentres, ...unreadable.filter(name => before.has(name))]);
        this.inForce = after;
        for (const dataCentre of [...after].filter(name => !before.has(name))) {
            this.ports.journal.emit("data-centre-evacuated", { dataCentre });
        }
        for (const dataCentre of [...before].filter(name => !after.has(name))) {
            this.ports.journal.emit("evacuation-ended", { dataCentre });
            this.ports.onReturn(dataCentre);
        }
    }
}
