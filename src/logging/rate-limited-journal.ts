/** Structured log as JSON lines, with a limit on the lines per second of each event. */
import * as catalogue from "../catalogue/events.js";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";
import type * as writers from "./line-writer.js";

/** Lines of one event per window; a standard entry serves about 60 calls a second, so only bursts are limited. */
const MAXIMUM_LINES_PER_WINDOW = 150;
const WINDOW_MS = 1000;
/** Length of a line from which its texts are cut; they may come from other processes. */
const MAXIMUM_LINE_LENGTH = 8192;
const MAXIMUM_TEXT_LENGTH = 1024;

interface RateWindow {
    readonly startedAt: number;
    readonly written: number;
    readonly suppressed: number;
}

/**
 * Creates a journal. `context` is added to each line. The next line of an event reports how many of its lines were
 * suppressed before (`leftOut`) and how many lines the writer dropped (`linesDropped`).
 */
export function createRateLimitedJournal(
    clock: clocks.Clock,
    context: event.Fields,
    writer: writers.LineWriter,
): event.Journal {
    const windows = new Map<event.EventName, RateWindow>();
    return {
        emit: (name, fields = {}) => {
            const now = clock.now();
            const previous = windows.get(name);
            const isCurrent = previous !== undefined && now - previous.startedAt < WINDOW_MS;
            const window = isCurrent ? previous : { startedAt: now, written: 0, suppressed: previous?.suppressed ?? 0 };
            if (window.written >= MAXIMUM_LINES_PER_WINDOW) {
                windows.set(name, { ...window, suppressed: window.suppressed + 1 });
                return;
            }
            windows.set(name, { ...window, written: window.written + 1, suppressed: 0 });
            const definition: event.EventDefinition = catalogue.events[name];
            const leftOut = window.suppressed === 0 ? undefined : window.suppressed;
            const linesDropped = writer.takeDroppedCount() || undefined;
            const time = new Date(clock.wallTime()).toISOString();
            const head = { time, level: definition.level, event: definition.number, name };
            const line = { ...head, ...context, ...fields, leftOut, linesDropped };
            const text = JSON.stringify(line);
            writer.write(`${text.length <= MAXIMUM_LINE_LENGTH ? text : JSON.stringify(line, cutText)}\n`);
        },
    };
}

function cutText(_name: string, value: unknown): unknown {
    return typeof value === "string" ? value.slice(0, MAXIMUM_TEXT_LENGTH) : value;
}
