/** Heads of HTTP/1.1 messages: whether that of a response is valid, and what delimits the body (RFC 9112, section 6.3). */

/** Statuses of final responses. */
const MINIMUM_STATUS = 200;
const MAXIMUM_STATUS = 599;
/** The only transfer coding of a message whose recipient has not offered any other. */
const CHUNKED = "chunked";
/** Blanks around a value that separate nothing; the runtime's parser does not know a coding before a tab. */
const BLANKS_BEFORE = /^[ \t]+/;
const BLANKS_AFTER = / +$/;
/** The only protocol that a server speaks here. Parsers also take heads of RTSP, of ICE and of other versions. */
const STATUS_LINE = /^HTTP\/1\.[01] /;
const INTERIM_STATUS = /^\S+ 1\d\d(?: |$)/;
const TRANSFER_ENCODING = /^transfer-encoding:(.*)$/i;
const LINE_END = "\r\n";
const HEAD_END = LINE_END + LINE_END;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([NO_CONTENT, NOT_MODIFIED]);

/** Values of the fields by their names in lower case. */
export type Fields = Readonly<Record<string, string | readonly string[] | undefined>>;

/** What delimits a body. */
type Framing =
    | { readonly kind: "length"; readonly bytes: number; }
    | { readonly kind: "chunks"; }
    /** No field does: a request has no body, and that of a response ends with its connection. */
    | { readonly kind: "unstated"; }
    /** What arrives is the body in another form. */
    | { readonly kind: "unknown-coding"; readonly codings: string; };

/** Reason why no answer can be read from the response; undefined if its head is valid. */
export function responseFault(status: number, fields: Fields): string | undefined {
    if (status < MINIMUM_STATUS || status > MAXIMUM_STATUS) {
        return `status ${status}`;
    }
    return codingFault(framing(fields));
}

/**
 * Reason why no answer can be read from a response that has arrived as this text, one character for each byte, after its
 * interim responses; undefined if its head is valid. The parsed response shows neither its protocol nor the blanks after a
 * coding.
 */
export function textFault(text: string): string | undefined {
    for (let rest = text;;) {
        const start = rest.search(/[^\r\n]/);
        const end = rest.indexOf(HEAD_END, start);
        const [statusLine = "", ...lines] = rest.slice(Math.max(0, start), end < 0 ? undefined : end).split(LINE_END);
        if (!STATUS_LINE.test(statusLine)) {
            return `status line ${JSON.stringify(statusLine)}`;
        }
        if (end < 0 || !INTERIM_STATUS.test(statusLine)) {
            const codings = lines.map(line => TRANSFER_ENCODING.exec(line)?.[1]).filter(coding => coding !== undefined);
            return codingFault(framing({ "transfer-encoding": codings }));
        }
        rest = rest.slice(end + HEAD_END.length);
    }
}

/** Reason why the body is not what its reader asked for, which offers no content coding; undefined if it is. */
export function contentFault(fields: Fields): string | undefined {
    const coding = fields["content-encoding"];
    return coding === undefined ? undefined : `response in a content encoding that was not requested: ${coding}`;
}

/** Whether a response has no body, whatever its fields say: a length in them is that of another response. */
export function isBodiless(method: string | undefined, status: number): boolean {
    return method === "HEAD" || BODILESS_STATUSES.has(status);
}

/** Whether a response may state a length. */
export function mayStateLength(status: number): boolean {
    return status !== NO_CONTENT;
}

/** Whether the end of the connection is the end of the response to a request with this method. */
export function endsWithConnection(method: string | undefined, status: number, fields: Fields): boolean {
    return !isBodiless(method, status) && framing(fields).kind === "unstated";
}

/** Length of the body in bytes if the head states it. */
export function statedBytes(fields: Fields): number | undefined {
    const stated = framing(fields);
    return stated.kind === "length" ? stated.bytes : undefined;
}

/** Length in bytes of the body of a request; undefined if only its end tells. */
export function requestBytes(fields: Fields): number | undefined {
    return framing(fields).kind === "unstated" ? 0 : statedBytes(fields);
}

function codingFault(stated: Framing): string | undefined {
    return stated.kind === "unknown-coding"
        ? `response in a transfer coding that was not requested: ${JSON.stringify(stated.codings)}`
        : undefined;
}

function framing(fields: Fields): Framing {
    const values = [fields["transfer-encoding"] ?? ""].flat();
    const codings = values.map(value => value.replace(BLANKS_BEFORE, "").replace(BLANKS_AFTER, "")).join(", ");
    // A field without a value names no coding.
    if (codings !== "") {
        return codings.toLowerCase() === CHUNKED ? { kind: "chunks" } : { kind: "unknown-coding", codings };
    }
    const length = fields["content-length"];
    return length === undefined ? { kind: "unstated" } : { kind: "length", bytes: Number(length) };
}
