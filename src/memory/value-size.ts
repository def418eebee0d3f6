/** Estimates what a value of JSON takes in memory. */

/** Bytes of an object or array without its members, of a member or element, and of a text without its characters. */
const CONTAINER_BYTES = 56;
const MEMBER_BYTES = 16;
const TEXT_BYTES = 24;

/** Bytes of a value, whose nesting is bounded. Texts count with one byte for each character. */
export function sizeOf(value: unknown): number {
    if (typeof value === "string") {
        return TEXT_BYTES + value.length;
    }
    if (!(value instanceof Object)) {
        return 0;
    }
    let bytes = CONTAINER_BYTES;
    if (Array.isArray(value)) {
        for (const element of value) {
            bytes += MEMBER_BYTES + sizeOf(element);
        }
        return bytes;
    }
    for (const member of Object.values(value)) {
        bytes += MEMBER_BYTES + sizeOf(member);
    }
    return bytes;
}
