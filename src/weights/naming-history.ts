/** Versions of the weights of one model in the order in which they were named. */
import type * as fleet from "../fleet/types.js";

/** Versions that are remembered; servers that are older are out of use long before. */
const MAXIMUM_VERSIONS = 32;

interface Naming extends fleet.NamedWeights {
    readonly seenAt: number;
}

export class NamingHistory {
    private namings: readonly Naming[] = [];

    /** `ageAtStartMs` is the age that the first version is taken to have, which was named before the process started. */
    constructor(private readonly ageAtStartMs: number) {}

    get newest(): fleet.NamedWeights | undefined {
        return this.namings.at(-1);
    }

    /** Adds a version. False when it is not newer than the newest. */
    add(named: fleet.NamedWeights, now: number): boolean {
        const { newest } = this;
        if (newest !== undefined && newest.version >= named.version) {
            return false;
        }
        const seenAt = newest === undefined ? now - this.ageAtStartMs : now;
        this.namings = [...this.namings, { ...named, seenAt }].slice(-MAXIMUM_VERSIONS);
        return true;
    }

    /** Time in milliseconds since a version newer than the given one was named; undefined when there is none. */
    outdatedForMs(version: number, now: number): number | undefined {
        const naming = this.namings.find(candidate => candidate.version > version);
        return naming === undefined ? undefined : now - naming.seenAt;
    }
}
