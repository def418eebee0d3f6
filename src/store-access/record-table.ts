/**
 * Records of a kind by name, of a bounded size in memory. Records of other writers may be of any size and number; the
 * largest ones lose their content where there is no room, so that the others hold.
 */
import * as valueSizes from "../memory/value-size.js";
import type * as types from "./types.js";

/** Size in bytes of all records of a kind; a single one with content may be larger. */
export const MAXIMUM_KIND_BYTES = 4 * 1024 * 1024;
/** Bytes of a record without its name and content. */
const RECORD_BYTES = 200;

/** Part of the bound that is in use after contents were removed, so that this is rare. */
const REDUCED_SHARE = 0.9;

export class RecordTable {
    private readonly records = new Map<string, types.StoredRecord>();
    /** Sizes of the contents of the records. */
    private readonly contentSizes = new Map<string, number>();
    /** Sizes of the contents that records have lost. */
    private readonly lostSizes = new Map<string, number>();
    private frameBytes = 0;
    private contentBytes = 0;
    private lostBytes = 0;

    constructor(private readonly maximumBytes: number = MAXIMUM_KIND_BYTES) {}

    /** Estimated size in memory. */
    get bytes(): number {
        return this.frameBytes + this.contentBytes;
    }

    /** Names of the records that have lost their content. */
    get emptiedNames(): readonly string[] {
        return [...this.lostSizes.keys()];
    }

    /** Whether there is room again for all contents that were lost. */
    get canRestore(): boolean {
        return this.lostSizes.size > 0 && this.bytes + this.lostBytes <= this.maximumBytes * REDUCED_SHARE;
    }

    get(name: string): types.StoredRecord | undefined {
        return this.records.get(name);
    }

    has(name: string): boolean {
        return this.records.has(name);
    }

    keys(): IterableIterator<string> {
        return this.records.keys();
    }

    values(): IterableIterator<types.StoredRecord> {
        return this.records.values();
    }

    /** Adds or replaces a record. A new one that does not fit even without its content is left out. */
    set(name: string, record: types.StoredRecord): void {
        if (this.records.has(name)) {
            this.forgetContent(name);
        }
        else if (this.frameBytes + frameBytesOf(name) > this.maximumBytes) {
            return;
        }
        else {
            this.frameBytes += frameBytesOf(name);
        }
        this.records.set(name, record);
        this.addContent(name, valueSizes.sizeOf(record.spec) + valueSizes.sizeOf(record.status));
        if (record.lostBytes !== undefined) {
            this.addLost(name, record.lostBytes);
        }
        if (this.bytes > this.maximumBytes) {
            this.makeRoom(name);
        }
    }

    delete(name: string): boolean {
        if (!this.records.delete(name)) {
            return false;
        }
        this.frameBytes -= frameBytesOf(name);
        this.forgetContent(name);
        return true;
    }

    clear(): void {
        [...this.records.keys()].forEach(name => this.delete(name));
    }

    /** Removes the largest contents; that of the added record if all others together would be too little. */
    private makeRoom(added: string): void {
        const excessBytes = this.bytes - this.maximumBytes * REDUCED_SHARE;
        const otherBytes = this.contentBytes - this.contentSizes.get(added)!;
        if (otherBytes > 0 && otherBytes < excessBytes) {
            this.empty(added);
        }
        if (otherBytes === 0 || this.bytes <= this.maximumBytes) {
            return;
        }
        const bySize = [...this.contentSizes].sort(([, left], [, right]) => right - left);
        for (const [name, bytes] of bySize) {
            if (bytes === 0 || this.bytes <= this.maximumBytes * REDUCED_SHARE) {
                return;
            }
            this.empty(name);
        }
    }

    private empty(name: string): void {
        const lostBytes = this.contentSizes.get(name)!;
        this.records.set(name, { ...this.records.get(name)!, spec: undefined, status: undefined, lostBytes });
        this.addContent(name, 0);
        this.addLost(name, lostBytes);
    }

    private addContent(name: string, bytes: number): void {
        this.contentBytes += bytes - (this.contentSizes.get(name) ?? 0);
        this.contentSizes.set(name, bytes);
    }

    private addLost(name: string, bytes: number): void {
        this.lostBytes += bytes - (this.lostSizes.get(name) ?? 0);
        this.lostSizes.set(name, bytes);
    }

    private forgetContent(name: string): void {
        this.contentBytes -= this.contentSizes.get(name) ?? 0;
        this.contentSizes.delete(name);
        this.lostBytes -= this.lostSizes.get(name) ?? 0;
        this.lostSizes.delete(name);
    }
}

function frameBytesOf(name: string): number {
    return RECORD_BYTES + name.length;
}
