/** Journal of a process under load: structured lines, at most so many of each event a second. */
import * as catalogue from "../catalogue/events.js";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as writers from "./line-writer.js";

/** Lines of one event in a second. A standard entry serves some 60 calls a second; a flood is thinned out. */
const LINES_PER_SECOND = 150;
const SECOND_MS = 1000;

interface Window {
    readonly startedAt: number;
    readonly written: number;
    readonly leftOut: number;
}

/** Lines that are left out are counted in the next line of their event. */
export function createBoundedJournal(
    clock: clocks.Clock,
    context: event.Fields,
    writer: writers.LineWriter,
): event.Journal {
    const windows = new Map<event.EventName, Window>();
    return {
        emit: (name, fields = {}) => {
            const now = clock.now();
            const known = windows.get(name);
            const isCurrent = known !== undefined && now - known.startedAt < SECOND_MS;
            const window = isCurrent ? known : { startedAt: now, written: 0, leftOut: known?.leftOut ?? 0 };
            if (window.written >= LINES_PER_SECOND) {
                windows.set(name, { ...window, leftOut: window.leftOut + 1 });
                return;
            }
            windows.set(name, { ...window, written: window.written + 1, leftOut: 0 });
            const definition: event.EventDefinition = catalogue.events[name];
            const leftOut = window.leftOut === 0 ? undefined : window.leftOut;
            const linesDropped = writer.takeDropped() || undefined;
            const time = new Date(clock.wallTime()).toISOString();
            const head = { time, level: definition.level, event: definition.number, name };
            writer.write(`${JSON.stringify({ ...head, ...context, ...fields, leftOut, linesDropped })}\n`);
        },
    };
}
