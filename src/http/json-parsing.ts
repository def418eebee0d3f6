/** Parses JSON of other processes within bounds, so that no value of theirs exhausts the stack or the heap. */

export interface ParsingOptions {
    /**
     * Depth of the values that are left out if they cannot be read or exceed the bounds, while the others hold; 0 for
     * the whole text, 1 for the members of its object or array, and so on.
     */
    readonly partsDepth: number;
}

/** A text that cannot be read. */
export const UNREADABLE = Symbol("unreadable");

/** Nesting of a value. Recursive functions, such as those that encode or compare values, stand far more. */
const MAXIMUM_NESTING = 64;
/** Objects and arrays in a value. An empty one takes 2 bytes of text and about 60 in memory. */
const MAXIMUM_CONTAINERS = 50_000;
/** Members and elements in a value. One takes 2 bytes of text and up to about 80 in memory. */
const MAXIMUM_MEMBERS = 200_000;
/** Members of an object or array whose members are parsed one by one. */
const MAXIMUM_PARTS = 50_000;

const QUOTE = 0x22;
const COMMA = 0x2c;
const COLON = 0x3a;
const BACKSLASH = 0x5c;
const OPEN_BRACKET = 0x5b;
const OPEN_BRACE = 0x7b;
const CLOSE_BRACKET = 0x5d;
const CLOSE_BRACE = 0x7d;
const COUNTERPARTS: ReadonlyMap<number, number> = new Map([[OPEN_BRACKET, CLOSE_BRACKET], [OPEN_BRACE, CLOSE_BRACE]]);

/** Structure of a text, as far as the brackets and quotes tell it. */
interface Structure {
    /** Each bracket has its counterpart, those below the bound in number only, and no string is left open. */
    readonly isBalanced: boolean;
    readonly nesting: number;
    readonly containers: number;
    /** Number of commas. */
    readonly members: number;
    /**
     * Positions of the commas, and of the first colon of each member, directly within the outermost object or array; of a
     * bounded number of members.
     */
    readonly commas: readonly number[];
    readonly colons: readonly number[];
    /** Number of characters up to the end of the outermost object or array, or up to the first bracket that does not match. */
    readonly length: number;
}

export function parse(text: string, { partsDepth }: ParsingOptions): unknown {
    const structure = scan(text);
    if (isWithinBounds(structure)) {
        const value = parseWhole(text);
        if (value !== UNREADABLE) {
            return value;
        }
    }
    const hasParts = partsDepth > 0 && structure.isBalanced && structure.commas.length < MAXIMUM_PARTS;
    return hasParts ? parseParts(text, structure, partsDepth - 1) : UNREADABLE;
}

function isWithinBounds({ isBalanced, nesting, containers, members }: Structure): boolean {
    return isBalanced && nesting <= MAXIMUM_NESTING && containers <= MAXIMUM_CONTAINERS && members <= MAXIMUM_MEMBERS;
}

/** Length of the object or array that begins at a position of the text, if it is complete there. */
export function measure(text: string, from: number): { readonly length: number; readonly isComplete: boolean; } {
    const { length, isBalanced } = scan(text, from, true);
    return { length, isComplete: isBalanced };
}

function parseWhole(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return UNREADABLE;
    }
}

/** Parses each member by itself. */
function parseParts(text: string, { commas, colons }: Structure, partsDepth: number): unknown {
    const start = text.search(/\S/);
    const end = text.trimEnd().length - 1;
    const parsePart = (from: number, to: number) => parse(text.slice(from, to), { partsDepth });
    const starts = [start, ...commas].map(position => position + 1);
    const ends = [...commas, end];
    if (text[start] === "[") {
        return starts.map((from, index) => parsePart(from, ends[index]!)).filter(value => value !== UNREADABLE);
    }
    if (text[start] !== "{") {
        return UNREADABLE;
    }
    const members = new Map<string, unknown>();
    for (const [index, from] of starts.entries()) {
        const colon = colons[index] ?? from;
        const name = parseWhole(text.slice(from, colon));
        if (typeof name !== "string") {
            return UNREADABLE;
        }
        members.set(name, parsePart(colon + 1, ends[index]!));
    }
    return Object.fromEntries([...members].filter(([, value]) => value !== UNREADABLE));
}

function scan(text: string, from = 0, endsWithValue = false): Structure {
    const commas: number[] = [];
    const colons: number[] = [];
    const openBrackets: number[] = [];
    let depth = 0;
    let nesting = 0;
    let containers = 0;
    let members = 0;
    let isInString = false;
    let awaitsColon = true;
    let index = from;
    for (; index < text.length; index++) {
        const code = text.charCodeAt(index);
        if (isInString) {
            if (code === BACKSLASH) {
                index++;
            }
            isInString = code !== QUOTE;
        }
        else if (code === QUOTE) {
            isInString = true;
        }
        else if (code === OPEN_BRACE || code === OPEN_BRACKET) {
            containers++;
            depth++;
            if (depth <= MAXIMUM_NESTING) {
                openBrackets[depth] = code;
            }
            nesting = Math.max(nesting, depth);
        }
        else if (code === CLOSE_BRACE || code === CLOSE_BRACKET) {
            const isMatch = depth > MAXIMUM_NESTING || code === COUNTERPARTS.get(openBrackets[depth] ?? 0);
            if (depth === 0 || !isMatch) {
                depth = -1;
                break;
            }
            depth--;
            if (depth === 0 && endsWithValue) {
                index++;
                break;
            }
        }
        else if (code === COMMA) {
            members++;
            if (depth === 1 && commas.length < MAXIMUM_PARTS) {
                commas.push(index);
                awaitsColon = true;
            }
        }
        else if (depth === 1 && code === COLON && awaitsColon) {
            colons.push(index);
            awaitsColon = false;
        }
    }
    const isBalanced = depth === 0 && !isInString;
    return { isBalanced, nesting, containers, members, commas, colons, length: index - from };
}
