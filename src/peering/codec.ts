/** Datagrams of beats. */
import type * as types from "./types.js";

/** Raised when the layout of a beat changes, so that old and new processes ignore each other's beats. */
const LAYOUT = 1;

export function encode(beat: types.Beat): Buffer {
    return Buffer.from(JSON.stringify({ layout: LAYOUT, ...beat }));
}

/** Returns nothing for a datagram that is no beat of this layout. */
export function decode(datagram: Buffer): types.Beat | undefined {
    try {
        const value = JSON.parse(datagram.toString("utf8")) as Partial<types.Beat> & { readonly layout?: number; };
        const isBeat = value.layout === LAYOUT && typeof value.member?.name === "string"
            && typeof value.incarnation === "string" && typeof value.sequence === "number";
        return isBeat ? value as types.Beat : undefined;
    }
    catch {
        return undefined;
    }
}
