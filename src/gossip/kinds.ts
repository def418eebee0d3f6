/** Kinds of documents and their bounds. A document of another kind is refused, so that a table cannot grow freely. */

export interface DocumentKind {
    /** Name of the document, or prefix of the names when it ends with a slash. */
    readonly name: string;
    /** Documents of the kind that one process keeps. */
    readonly maximumCount: number;
    /** Largest value in bytes of JSON. */
    readonly maximumBytes: number;
    /** What happens to a new document when the kind is full. */
    readonly whenFull: "refuse" | "evict-oldest";
}

/** The object API holds up to 1 MB of TOML; escaping in JSON can double its quotes and line ends. */
const MAXIMUM_STORE_VALUE_BYTES = 2 * 1024 * 1024 + 1024;

const KINDS: readonly DocumentKind[] = [
    { name: "manifest", maximumCount: 1, maximumBytes: MAXIMUM_STORE_VALUE_BYTES, whenFull: "refuse" },
    { name: "budget-holders", maximumCount: 1, maximumBytes: MAXIMUM_STORE_VALUE_BYTES, whenFull: "refuse" },
    { name: "rollouts", maximumCount: 1, maximumBytes: MAXIMUM_STORE_VALUE_BYTES, whenFull: "refuse" },
    { name: "veto/", maximumCount: 1024, maximumBytes: 4096, whenFull: "evict-oldest" },
    { name: "member/", maximumCount: 4096, maximumBytes: 8192, whenFull: "refuse" },
    { name: "suspect/", maximumCount: 4096, maximumBytes: 4096, whenFull: "evict-oldest" },
];

/** The kind of a document, or undefined when the name belongs to none. */
export function kindOf(documentName: string): DocumentKind | undefined {
    return KINDS.find(kind =>
        kind.name.endsWith("/") ? documentName.startsWith(kind.name) : documentName === kind.name
    );
}
