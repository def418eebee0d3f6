/** Lines of one call from structured logs, in the order of their time. */

export interface Entry {
    readonly time: string;
    readonly node: string;
    readonly name: string;
    /** What decided, and the outcome. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** A line may stand behind a prefix that a log collector adds. */
export function ofCall(texts: readonly string[], call: string): readonly Entry[] {
    const lines = texts.flatMap(text => text.split("\n")).filter(line => line.includes(call));
    const entries = lines.map(parse).filter(entry => entry !== undefined && entry.fields["call"] === call);
    return (entries as Entry[]).toSorted((left, right) => left.time < right.time ? -1 : left.time > right.time ? 1 : 0);
}

/** One line of text. */
export function describe(entry: Entry): string {
    const fields = Object.entries(entry.fields).filter(([name]) => name !== "call");
    return [entry.time, entry.node, entry.name, ...fields.map(([name, value]) => `${name}=${String(value)}`)].join(" ");
}

function parse(line: string): Entry | undefined {
    try {
        const { time, node, name, level: _level, event: _event, ...fields } = JSON.parse(line.slice(line.indexOf("{")));
        return { time: String(time), node: String(node), name: String(name), fields };
    }
    catch {
        // A line that was cut or is no log line says nothing of the call.
        return undefined;
    }
}
