/** Structured log with numbered events, one JSON object per line on standard error. */
import * as tslog from "tslog";
import * as catalogue from "../catalogue/events.js";
import type * as clocks from "../clock/clock.js";
import type * as event from "../core/event.js";

/** Creates a journal. `context` holds fields that are added to each event, such as the instance and the role. */
export function createJournal(clock: clocks.Clock, context: event.Fields, minimumLevel: event.Level): event.Journal {
    const logger = new tslog.Logger<unknown>({ type: "hidden" });
    logger.attachTransport(({ _meta, ...record }) => void process.stderr.write(`${JSON.stringify(record)}\n`));
    const threshold = LEVEL_ORDER[minimumLevel];
    return {
        emit: (name, fields = {}) => {
            const definition: event.EventDefinition = catalogue.events[name];
            if (LEVEL_ORDER[definition.level] < threshold) {
                return;
            }
            const record = {
                time: new Date(clock.wallTime()).toISOString(),
                level: definition.level,
                event: definition.number,
                name,
                message: definition.message(fields),
                ...context,
                ...fields,
            };
            LOG_METHODS[definition.level](logger, record);
        },
    };
}

/** Discards all events; for tests and short-lived commands. */
export const silentJournal: event.Journal = { emit: () => undefined };

const LEVEL_ORDER: Readonly<Record<event.Level, number>> = { debug: 0, info: 1, warn: 2, error: 3 };

const LOG_METHODS: Readonly<Record<event.Level, (logger: tslog.Logger<unknown>, record: unknown) => void>> = {
    debug: (logger, record) => void logger.debug(record),
    info: (logger, record) => void logger.info(record),
    warn: (logger, record) => void logger.warn(record),
    error: (logger, record) => void logger.error(record),
};
