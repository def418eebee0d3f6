/** Reads the elements of a list in a text that is no JSON as a whole, since some of them have unbalanced quotes or brackets. */
import * as jsonParsing from "./json-parsing.js";

export interface SalvageOptions {
    /** Name of the member of the outermost object that holds the list. */
    readonly list: string;
    /** Depth of the values in an element that are left out if they cannot be read. */
    readonly partsDepth: number;
    /** Whether a value is an element of the list, and not part of one that cannot be read. */
    readonly isElement: (value: unknown) => boolean;
}

export interface Salvage {
    readonly elements: readonly unknown[];
    /** The text before the list, and from the end of its last readable element on. */
    readonly head: string;
    readonly tail: string;
}

/** Characters that may be read in all, as a multiple of the text's, so that no text takes long. */
const MAXIMUM_READS = 16;
/** Elements that are read; a list of the store has about 500. */
const MAXIMUM_ELEMENTS = 5000;
/** End of a text: that of the list, members with simple values, and that of the outermost object. */
const END = /\]\s*(?:,\s*"\w+"\s*:\s*(?:"[^"\\]*"|[^\s",[\]{}]+)\s*)*\}\s*$/;
/** Longest end in characters. */
const MAXIMUM_END_LENGTH = 1000;
/** Begin of a value that may be an element. */
const CANDIDATE = /[[,]\s*(?=\{)/g;

/** Undefined for a text without the list, or one that is cut off: what is missing may be any number of elements. */
export function salvage(text: string, { list, partsDepth, isElement }: SalvageOptions): Salvage | undefined {
    const [listStart] = text.matchAll(new RegExp(`"${list}"\\s*:\\s*(?=\\[)`, "g"));
    if (listStart === undefined || !END.test(text.slice(-MAXIMUM_END_LENGTH))) {
        return undefined;
    }
    const start = listStart.index + listStart[0].length;
    const elements: unknown[] = [];
    let remainingReads = text.length * MAXIMUM_READS;
    let end = start + 1;
    for (const candidate of text.slice(start).matchAll(CANDIDATE)) {
        const from = start + candidate.index + candidate[0].length;
        if (remainingReads <= 0 || elements.length >= MAXIMUM_ELEMENTS) {
            break;
        }
        if (from < end) {
            continue;
        }
        const { length, isComplete } = jsonParsing.measure(text, from);
        remainingReads -= length;
        const value = isComplete ? jsonParsing.parse(text.slice(from, from + length), { partsDepth }) : undefined;
        if (isElement(value)) {
            elements.push(value);
            end = from + length;
        }
    }
    return { elements, head: text.slice(0, listStart.index), tail: text.slice(end) };
}
