/** Versioned documents that are replicated between processes. */

export interface Document {
    readonly name: string;
    /** The highest version wins. */
    readonly version: number;
    /** JSON value. */
    readonly value: unknown;
}

export type DocumentListener = (document: Document) => void;

/** Documents known to one process. */
export interface Documents {
    get(name: string): Document | undefined;
    list(prefix: string): readonly Document[];
    /** Stores and disseminates a document. Returns false if an equal or higher version is known or it is refused. */
    publish(document: Document): boolean;
    /** Calls the listener for each document with the prefix that is new or newer. */
    subscribe(prefix: string, listener: DocumentListener): Disposable;
}
