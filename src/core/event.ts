/** Numbered log events. The names are defined in the `events.ts` catalogue of each feature. */
import type * as catalogue from "../catalogue/events.js";

export type Level = "debug" | "info" | "warn" | "error";

export type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** One entry of an event catalogue. */
export interface EventDefinition {
    readonly number: number;
    readonly level: Level;
    readonly message: (fields: Fields) => string;
    /** What the operator should do; empty for events that need no action. */
    readonly hint: string;
}

export type EventCatalogue = Readonly<Record<string, EventDefinition>>;

export type EventName = keyof typeof catalogue.events;

/** Writes events to the log. Implementations look up the number and the level in the catalogue. */
export interface Journal {
    emit(name: EventName, fields?: Fields): void;
}
