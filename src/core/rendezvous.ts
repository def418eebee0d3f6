/** Weighted rendezvous (highest random weight) hashing. */
import * as hashing from "./hashing.js";

export interface Node {
    readonly id: string;
    /** Relative capacity; nodes with weight 0 are never chosen. */
    readonly weight: number;
}

/** Orders the nodes for a key, best first. Adding or removing a node does not change the order of the others. */
export function rank<Candidate extends Node>(key: string, nodes: readonly Candidate[]): readonly Candidate[] {
    return nodes
        .filter(node => node.weight > 0)
        .map(node => ({ node, score: score(key, node) }))
        .sort((left, right) => right.score - left.score || (left.node.id < right.node.id ? -1 : 1))
        .map(scored => scored.node);
}

/** The first node in the order of `rank`, without sorting; undefined without nodes. */
export function best<Candidate extends Node>(key: string, nodes: readonly Candidate[]): Candidate | undefined {
    let winner: Candidate | undefined;
    let highest = Number.NEGATIVE_INFINITY;
    for (const node of nodes) {
        const current = node.weight > 0 ? score(key, node) : Number.NEGATIVE_INFINITY;
        if (current > highest || winner !== undefined && current === highest && node.id < winner.id) {
            winner = node;
            highest = current;
        }
    }
    return winner;
}

/** Score of a node for a key; the highest one wins. */
export function score(key: string, node: Node): number {
    return -node.weight / Math.log(hashing.unitHash(`${key}\u0000${node.id}`));
}
