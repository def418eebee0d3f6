/** Evidence from the calls of this process that an incarnation is gone. */
import * as incarnations from "../core/incarnation.js";

/** `refused`: its host refused the connection; `replaced`: another incarnation responded at its address. */
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
 * Validity of evidence in milliseconds. A connection can also be refused by a listener that is full or restarting, so a
 * refusal is valid for a limited time, after which a call tries the address again. A replaced boot never returns.
 */
const VALIDITY_MS: Readonly<Record<EvidenceKind, number>> = { refused: 5000, replaced: Number.POSITIVE_INFINITY };

/** Whether valid evidence concerns this incarnation; evidence never applies to a later one at the same address. */
export function appliesTo(
    evidence: Evidence | undefined,
    incarnation: incarnations.Incarnation,
    now: number,
): boolean {
    return evidence !== undefined
        && incarnations.sameIncarnation(evidence.incarnation, incarnation)
        && now - evidence.observedAt < VALIDITY_MS[evidence.kind];
}

/** Keeps the evidence that still applies to the current incarnations. */
export function prune(
    evidence: EvidenceByAddress,
    currentIncarnations: ReadonlyMap<string, incarnations.Incarnation>,
    now: number,
): EvidenceByAddress {
    return new Map([...evidence].filter(([address, item]) => {
        const incarnation = currentIncarnations.get(address);
        return incarnation !== undefined && appliesTo(item, incarnation, now);
    }));
}
