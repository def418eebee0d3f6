/** Extracts the log entries of one call from structured logs, ordered by time. */

export interface TimelineEntry {
    readonly time: string;
    readonly node: string;
    readonly name: string;
    /** Inputs and outcome of the decision, by the names of the log fields. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Returns the entries of the call, ordered by time. A log collector may have added a prefix to each line. */
export function entriesOfCall(logs: readonly string[], call: string): readonly TimelineEntry[] {
    const lines = logs.flatMap(log => log.split("\n")).filter(line => line.includes(call));
    const entries = lines.map(parse).filter(entry => entry !== undefined && entry.fields["call"] === call);
    return (entries as TimelineEntry[]).toSorted((left, right) =>
        left.time < right.time ? -1 : left.time > right.time ? 1 : 0
    );
}

/** Formats an entry as one line of text. */
export function formatEntry(entry: TimelineEntry): string {
    const fields = Object.entries(entry.fields).filter(([name]) => name !== "call");
    return [entry.time, entry.node, entry.name, ...fields.map(([name, value]) => `${name}=${String(value)}`)].join(" ");
}

function parse(line: string): TimelineEntry | undefined {
    try {
        const { time, node, name, level: _level, event: _event, ...fields } = JSON.parse(line.slice(line.indexOf("{")));
        return { time: String(time), node: String(node), name: String(name), fields };
    }
    catch {
        // The line is truncated or not a log line.
        return undefined;
    }
}
