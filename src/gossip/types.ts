/** Documents that spread between processes. */

export interface Document {
    readonly name: string;
    /** The higher version wins. */
    readonly version: number;
    /** JSON value. */
    readonly value: unknown;
}

export type DocumentListener = (document: Document) => void;

/** Documents as one process knows them. */
export interface Documents {
    get(name: string): Document | undefined;
    list(prefix: string): readonly Document[];
    /** Stores and spreads a document. Returns false when an equal or higher version is known. */
    publish(document: Document): boolean;
    /** Calls the listener for each document with the prefix that is new or newer. */
    subscribe(prefix: string, listener: DocumentListener): Disposable;
}
