/** Handles the document exchanges that other processes initiate. */
import type * as clocks from "../clock/clock.js";
import type * as incarnations from "../core/incarnation.js";
import type * as boards from "../daemon/board.js";
import * as digests from "./digest.js";
import type * as peers from "./peers.js";
import type * as tables from "./table.js";
import type * as types from "./types.js";

export class PeerResponder {
    constructor(
        readonly self: incarnations.Incarnation,
        private readonly documents: tables.DocumentTable,
        private readonly board: boards.Board,
        private readonly clock: clocks.Clock,
    ) {}

    /** Stores pushed documents and returns those that are known in a higher version. */
    push(documents: readonly types.Document[]): readonly types.Document[] {
        documents.forEach(document => this.documents.offer(document));
        return documents.flatMap(document => {
            const known = this.documents.get(document.name);
            return known !== undefined && known.version > document.version ? [known] : [];
        });
    }

    compare(comparison: peers.Comparison): peers.ComparisonReply {
        const own = this.documents.digest();
        const reply = { bucketHashes: own.bucketHashes, newer: [], wanted: [], storeAgeMs: this.storeAgeMs() };
        if (own.totalHash === comparison.totalHash) {
            return { ...reply, equal: true, bucketHashes: [] };
        }
        if (comparison.buckets.length === 0) {
            return { ...reply, equal: false };
        }
        const differences = digests.differences(this.documents.inBuckets(comparison.buckets), comparison.versions);
        return { ...reply, equal: false, newer: this.fetch(differences.newer), wanted: differences.wanted };
    }

    /** Returns the named documents that are known, or all documents if `names` is empty. */
    fetch(names: readonly string[]): readonly types.Document[] {
        if (names.length === 0) {
            return this.documents.list("");
        }
        return names.flatMap(name => this.documents.get(name) ?? []);
    }

    private storeAgeMs(): number {
        return this.clock.now() - this.board.read("storeSeenAt");
    }
}
