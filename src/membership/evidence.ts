/** Direct evidence that an incarnation is gone, as the process has met it in its own calls. */
import * as incarnations from "../core/incarnation.js";

/** `refused`: its host refused the connection; `replaced`: another incarnation answered at its address. */
export type EvidenceKind = "refused" | "replaced";

export interface Evidence {
    readonly incarnation: incarnations.Incarnation;
    readonly kind: EvidenceKind;
    /** Monotonic time in milliseconds. */
    readonly observedAt: number;
}

/** Latest evidence by address. */
export type EvidenceByAddress = ReadonlyMap<string, Evidence>;

/**
 * A refusal can also come from a full or restarting listener, so it counts for a limited time; then one call tries
 * again. A replaced boot never comes back.
 */
const VALIDITY_MS: Readonly<Record<EvidenceKind, number>> = { refused: 5000, replaced: Number.POSITIVE_INFINITY };

/** Evidence holds against the incarnation that it names and never against a later one at the same address. */
export function holdsAgainst(
    evidence: Evidence | undefined,
    incarnation: incarnations.Incarnation,
    now: number,
): boolean {
    return evidence !== undefined
        && incarnations.sameIncarnation(evidence.incarnation, incarnation)
        && now - evidence.observedAt < VALIDITY_MS[evidence.kind];
}

/** Keeps the evidence that still holds against the present incarnations. */
export function prune(
    evidence: EvidenceByAddress,
    present: ReadonlyMap<string, incarnations.Incarnation>,
    now: number,
): EvidenceByAddress {
    return new Map([...evidence].filter(([address, item]) => {
        const incarnation = present.get(address);
        return incarnation !== undefined && holdsAgainst(item, incarnation, now);
    }));
}
