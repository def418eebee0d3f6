/** Kinds of documents and their limits. A document of an unknown kind is refused, so that the table stays bounded. */

export interface DocumentKind {
    /** Name of the document, or prefix of the names when it ends with a slash. */
    readonly name: string;
    /** Maximum number of documents of the kind in one process. */
    readonly maximumCount: number;
    /** Maximum size of the JSON value in bytes. */
    readonly maximumBytes: number;
    /** Handling of a new document when `maximumCount` is reached. */
    readonly whenFull: "refuse" | "evict-oldest";
}

/** The object API stores up to 1 MB of TOML, whose quotes and line ends can double in size when escaped in JSON. */
const MAXIMUM_STORE_VALUE_BYTES = 2 * 1024 * 1024 + 1024;

const KINDS: readonly DocumentKind[] = [
    { name: "manifest", maximumCount: 1, maximumBytes: MAXIMUM_STORE_VALUE_BYTES, whenFull: "refuse" },
    { name: "budget-holders", maximumCount: 1, maximumBytes: MAXIMUM_STORE_VALUE_BYTES, whenFull: "refuse" },
    { name: "rollouts", maximumCount: 1, maximumBytes: MAXIMUM_STORE_VALUE_BYTES, whenFull: "refuse" },
    { name: "veto/", maximumCount: 1024, maximumBytes: 4096, whenFull: "evict-oldest" },
    { name: "member/", maximumCount: 4096, maximumBytes: 8192, whenFull: "refuse" },
    { name: "suspect/", maximumCount: 4096, maximumBytes: 4096, whenFull: "evict-oldest" },
];

/** Returns the kind of a document, or undefined if the name matches none. */
export function kindOf(documentName: string): DocumentKind | undefined {
    return KINDS.find(kind =>
        kind.name.endsWith("/") ? documentName.startsWith(kind.name) : documentName === kind.name
    );
}
