/** History of the desired weights versions of one model. */
import type * as fleet from "../fleet/types.js";
import * as positions from "../store-access/position.js";

/** Number of versions that are kept; servers with even older weights have been excluded from calls long before. */
const MAXIMUM_VERSIONS = 32;

interface DesiredVersion extends fleet.DesiredWeights {
    /** Time at which this process learned of the version. */
    readonly seenAt: number;
}

export class DesiredVersionHistory {
    private versions: readonly DesiredVersion[] = [];

    /** `ageAtStartMs` is the assumed age of the first version, which dates from before the start of the process. */
    constructor(private readonly ageAtStartMs: number) {}

    get newest(): fleet.DesiredWeights | undefined {
        return this.versions.at(-1);
    }

    /**
     * Adds a version. False when it is not newer than the newest. The position of the newest version never goes back: a
     * restored store gives the same version another one, and peers may tell of a version at its position before that.
     */
    add(desired: fleet.DesiredWeights, now: number): boolean {
        const { newest } = this;
        const position = positions.latest(newest?.position ?? positions.NOWHERE, desired.position);
        if (newest !== undefined && newest.version >= desired.version) {
            this.versions = [...this.versions.slice(0, -1), { ...this.versions.at(-1)!, position }];
            return false;
        }
        const seenAt = newest === undefined ? now - this.ageAtStartMs : now;
        this.versions = [...this.versions, { ...desired, position, seenAt }].slice(-MAXIMUM_VERSIONS);
        return true;
    }

    /** Time in milliseconds since the first newer version than the given one; undefined when there is none. */
    outdatedForMs(version: number, now: number): number | undefined {
        const newer = this.versions.find(candidate => candidate.version > version);
        return newer === undefined ? undefined : now - newer.seenAt;
    }
}
